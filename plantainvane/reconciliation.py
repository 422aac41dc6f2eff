"""Reconciles the task stream with a worker's listing, or with its absence."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from plantainvane import estimates
from plantainvane import events
from plantainvane import metrics
from plantainvane import shards
from plantainvane import suspicion
from plantainvane import tasks
from plantainvane import workers

_STATES = workers.AttemptState
Reconcile = Callable[[], Awaitable[None]]


async def reconcile_listed(
    shard: shards.Shard, view: shards.WorkerView
) -> None:
    """Records the ends of the attempts that the newest listing shows.

    The records are appended concurrently, so that they share a group commit.
    """
    async with anyio.create_task_group() as group:
        for task in list(
            shard.stream_view.table.started.get(view.id, {}).values()
        ):
            if task.id in shard.ending:
                continue
            ref = workers.AttemptRef(task.id, task.attempt)
            listed = view.listing.get(ref)
            if listed is None:
                group.start_soon(_reconcile_unlisted, shard, view, task, ref)
            elif listed.state != _STATES.RUNNING:
                group.start_soon(_reconcile_ended, shard, view, task, listed)
            else:
                _note_running(shard, view, task, ref)


async def reconcile_unreachable(
    shard: shards.Shard, view: shards.WorkerView
) -> None:
    """Handles the attempts of a worker that does not answer.

    Requeues starts that were not sent, and attempts whose leases expired.
    """
    now = anyio.current_time()
    settings = shard.settings.tasks
    for task in list(shard.stream_view.table.started.get(view.id, {}).values()):
        if task.id in shard.ending:
            continue
        ref = workers.AttemptRef(task.id, task.attempt)
        call = view.starts.get(ref)
        if call is not None and not call.sent:
            if now - call.created_at >= settings.start_retry_s:
                cause = tasks.RequeueCause.NOT_STARTED
                await shards.requeue_task(shard, task, cause)
            continue
        until = view.lease_until.get(ref, view.default_lease_until)
        if now >= until + settings.lease_margin_s:
            events.log_event(
                events.ATTEMPT_EXPIRED,
                shard=shard.number,
                worker=view.id,
                task=task.id,
                attempt=task.attempt,
            )
            detail = "the lease expired on a worker that does not answer"
            await _reconcile_lost(shard, task, None, detail)


def credit_inherited_runs(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Marks the worker as proven if attempts of an earlier owner run on it."""
    for listed in view.listing.values():
        if listed.state == _STATES.RUNNING and listed.epoch < shard.epoch:
            # It has run since before the takeover, so the worker can run
            # attempts.
            suspicion.note_run_time(
                shard.settings,
                shard.failure_history,
                view.id,
                shard.settings.tasks.proven_s,
            )


def _note_running(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    ref: workers.AttemptRef,
) -> None:
    now = anyio.current_time()
    call = view.starts.get(ref)
    if call is not None and call.started_at is None:
        call.started_at = now
    since = view.running_since.setdefault(ref, now)
    suspicion.note_run_time(
        shard.settings, shard.failure_history, view.id, now - since
    )


async def _reconcile_unlisted(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    ref: workers.AttemptRef,
) -> None:
    """Handles a started task that is missing from the listing."""
    call = view.starts.get(ref)
    if call is None:
        # An earlier owner decided on the start. The worker now refuses it.
        await _reconcile_never_started(shard, view, task)
        return
    if call.started_at is None:
        # The start will be sent again with the same attempt number.
        return
    if view.listing_requested_at > call.started_at:
        detail = "the worker no longer knows the attempt"
        await _reconcile_lost(shard, task, None, detail)


async def _reconcile_never_started(
    shard: shards.Shard, view: shards.WorkerView, task: tasks.Task
) -> None:
    """Handles an earlier owner's attempt that the fenced worker does not know.

    Most likely its start was never sent. It may also have ended so long ago
    that the worker no longer lists it, or the worker may have lost its state.
    """
    if task.cancelled and shards.is_idempotent(shard, task):
        await shards.finish_task(shard, task, tasks.TaskOutcome.CANCELLED)
    elif shards.is_idempotent(shard, task):
        cause = tasks.RequeueCause.NOT_STARTED
        await shards.requeue_task(shard, task, cause)
    else:
        detail = "the owner was lost while it started the attempt"
        await shards.finish_task(shard, task, tasks.TaskOutcome.UNKNOWN, detail)


async def _reconcile_lost(
    shard: shards.Shard,
    task: tasks.Task,
    checkpoint: str | None,
    detail: str,
) -> None:
    """Handles an attempt that no longer runs and whose progress is unknown."""
    suspicion.clear_canary(shard.failure_history, task.worker, task.id)
    if not shards.is_idempotent(shard, task):
        await shards.finish_task(shard, task, tasks.TaskOutcome.UNKNOWN, detail)
    elif task.cancelled:
        await shards.finish_task(shard, task, tasks.TaskOutcome.CANCELLED)
    else:
        cause = tasks.RequeueCause.LAPSED
        await shards.requeue_task(shard, task, cause, checkpoint)


async def _reconcile_ended(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    listed: workers.ListedAttempt,
) -> None:
    match listed.state:
        case _STATES.SUCCEEDED:
            _note_success(shard, view, task)
            await shards.finish_task(
                shard,
                task,
                tasks.TaskOutcome.SUCCEEDED,
                output=listed.output,
            )
        case _STATES.FAILED:
            await _reconcile_failed(shard, view, task, listed)
        case _STATES.STOPPED:
            await _reconcile_stopped(shard, view, task, listed)
        case _STATES.LAPSED:
            detail = "the lease expired while the attempt ran"
            await _reconcile_lost(shard, task, listed.checkpoint, detail)


def _note_success(
    shard: shards.Shard, view: shards.WorkerView, task: tasks.Task
) -> None:
    suspicion.note_success(
        shard.settings,
        shard.failure_history,
        view.id,
        task.id,
        task.batch_class,
    )
    ref = workers.AttemptRef(task.id, task.attempt)
    batch_class = shards.find_batch_class(shard, task)
    since = view.running_since.get(ref)
    # A resumed attempt ran only a part of the task.
    if batch_class is None or since is None or task.checkpoint:
        return
    estimate = shard.class_estimates.setdefault(
        task.batch_class, estimates.ClassEstimate()
    )
    run_s = anyio.current_time() - since
    estimates.note_run(
        shard.settings, estimate, batch_class.expected_run_s, run_s
    )


async def _reconcile_failed(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    listed: workers.ListedAttempt,
) -> None:
    suspected = suspicion.note_failure(
        shard.settings,
        shard.failure_history,
        view.id,
        task.id,
        task.batch_class,
        anyio.current_time(),
    )
    if suspected:
        events.log_event(
            events.WORKER_SUSPECTED, shard=shard.number, worker=view.id
        )
    failed_on = {*task.failed_on, view.id}
    limit = shard.settings.tasks.max_attempts
    if not shards.is_idempotent(shard, task):
        detail = f"failed on {view.id}: {listed.detail}"
    elif len(failed_on) >= limit:
        detail = f"failed on {limit} workers, last: {listed.detail}"
    elif task.cancelled:
        await shards.finish_task(shard, task, tasks.TaskOutcome.CANCELLED)
        return
    else:
        cause = tasks.RequeueCause.FAILED
        await shards.requeue_task(shard, task, cause, listed.checkpoint)
        return
    await shards.finish_task(shard, task, tasks.TaskOutcome.FAILED, detail)


async def _reconcile_stopped(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    listed: workers.ListedAttempt,
) -> None:
    """Handles an attempt stopped by an eviction, cancellation or operator.

    This is the last step of an eviction, whichever process started it.
    """
    suspicion.clear_canary(shard.failure_history, view.id, task.id)
    resumable = listed.checkpointed and listed.checkpoint is not None
    if task.cancelled:
        await shards.finish_task(shard, task, tasks.TaskOutcome.CANCELLED)
    elif resumable or shards.is_idempotent(shard, task):
        cause = tasks.RequeueCause.EVICTED
        await shards.requeue_task(shard, task, cause, listed.checkpoint)
        metrics.EVICTIONS.labels("completed").inc()
    else:
        detail = "stopped without a confirmed checkpoint"
        await shards.finish_task(shard, task, tasks.TaskOutcome.UNKNOWN, detail)
