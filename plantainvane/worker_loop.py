"""Control loop of one worker.

Each cycle lists the worker's attempts, renews leases, reconciles the task
stream with the listing, sends stops, evictions and starts, and reads the usage
report. The claim is checked before every command. If a worker does not answer,
the only conclusion drawn is that its leases expire.
"""

import contextlib

import anyio

from plantainvane import charges
from plantainvane import documents
from plantainvane import events
from plantainvane import evictions
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import reconciliation
from plantainvane import resources
from plantainvane import shards
from plantainvane import tasks
from plantainvane import usage
from plantainvane import workers

_STATES = workers.AttemptState


async def run_worker(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Manages one worker until cancelled."""
    with view.scope:
        try:
            while True:
                view.wake = anyio.Event()
                await _reconcile_worker(shard, view)
                with anyio.move_on_after(_choose_interval(shard, view)):
                    await view.wake.wait()
        finally:
            if view.client is not None:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                    await view.client.aclose()


def _choose_interval(shard: shards.Shard, view: shards.WorkerView) -> float:
    """Returns the time until the next cycle, in seconds."""
    busy = view.id in shard.stream_view.table.started or not view.reachable
    lease_s = shard.settings.tasks.lease_s
    return shard.settings.tasks.poll_s if busy else lease_s / 3


async def _reconcile_worker(
    shard: shards.Shard, view: shards.WorkerView
) -> None:
    """Runs one cycle: lists the worker, then acts on the listing."""
    listed = await _fetch_listing(shard, view)
    if listed:
        await _renew_leases(shard, view)
    if not shards.may_act(shard):
        return
    _track_starts(shard, view)
    if listed:
        await reconciliation.reconcile_listed(shard, view)
        evictions.evict_leaving(shard, view)
        await _stop_foreign(shard, view)
        await evictions.advance_evictions(shard, view)
        await _send_starts(shard, view)
        await usage.poll_usage(shard, view)
    else:
        await reconciliation.reconcile_unreachable(shard, view)
    _drop_ended(shard, view)


async def _fetch_listing(shard: shards.Shard, view: shards.WorkerView) -> bool:
    """Fences the worker with this epoch and lists its attempts.

    Returns:
      False if the worker has no address, leases may no longer be renewed, or
      the listing failed.
    """
    now = anyio.current_time()
    allowed = shard.claims.may_renew_leases(shard.number, shard.epoch, now)
    if view.client is None or not allowed:
        return False
    listed = await workers.list_attempts(view.client, shard.epoch)
    if listed.is_err():
        _note_unreachable(shard, view, listed.err_value)
        return False
    listing = listed.ok_value
    if listing.worker != view.id:
        # The address now belongs to another instance.
        detail = f"the address now belongs to worker {listing.worker}"
        _note_unreachable(
            shard,
            view,
            outcomes.CallError(outcomes.CallFailure.REFUSED, detail),
        )
        return False
    _apply_listing(shard, view, listing, now)
    return True


def _apply_listing(
    shard: shards.Shard,
    view: shards.WorkerView,
    listing: workers.Listing,
    now: float,
) -> None:
    first = not view.fenced
    view.listing_requested_at = now
    view.worker_clock_s = listing.clock_s
    view.listing_received_at = anyio.current_time()
    view.listing = {
        workers.AttemptRef(listed.task, listed.attempt): listed
        for listed in listing.attempts
    }
    limits = shard.configuration.find_limits()
    fraction = (
        limits.batch_fraction
        if limits is not None
        else shard.settings.tasks.batch_fraction
    )
    view.capacity = resources.compute_batch_capacity(listing.size, fraction)
    shard.stale_charges.add(view.id)
    if not view.reachable or first:
        view.reachable = True
        shards.wake_shard(shard)
    if first:
        view.fenced = True
        # The worker now refuses earlier owners, so none of their leases can
        # last longer than this.
        lease_s = shard.settings.tasks.lease_s
        view.default_lease_until = anyio.current_time() + lease_s
        reconciliation.credit_inherited_runs(shard, view)
        events.log_event(
            events.WORKER_FENCED,
            shard=shard.number,
            worker=view.id,
            epoch=shard.epoch,
            attempts=len(listing.attempts),
        )


def _note_unreachable(
    shard: shards.Shard, view: shards.WorkerView, error: outcomes.CallError
) -> None:
    stale = error.failure == outcomes.CallFailure.STALE
    if stale and shards.may_act(shard):
        # The worker has seen a higher epoch, of an owner that the claims
        # stream no longer retains.
        shard.claims.raise_epoch_floor(shard.number, shard.epoch)
        shard.superseded = True
    if view.reachable:
        events.log_event(
            events.WORKER_SUPERSEDED if stale else events.WORKER_UNREACHABLE,
            shard=shard.number,
            worker=view.id,
            epoch=shard.epoch,
            detail=error.detail,
        )
    view.reachable = False


async def _renew_leases(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Renews the leases of all expected attempts in one call."""
    settings = shard.settings.tasks
    now = anyio.current_time()
    if now - view.renewed_at < settings.lease_s / 3:
        return
    refs = [
        ref for ref in view.listing if _is_expected_to_run(shard, view, ref)
    ]
    if not refs:
        return
    if not shard.claims.may_renew_leases(shard.number, shard.epoch, now):
        return
    view.renewed_at = now
    command = workers.RenewCommand(shard.epoch, settings.lease_s, refs)
    renewed = await workers.renew_attempts(view.client, command)
    lost = renewed.is_err() and (
        renewed.err_value.failure == outcomes.CallFailure.LOST
    )
    if renewed.is_ok() or lost:
        for ref in refs:
            view.lease_until[ref] = anyio.current_time() + settings.lease_s


def _is_expected_to_run(
    shard: shards.Shard, view: shards.WorkerView, ref: workers.AttemptRef
) -> bool:
    task = shard.stream_view.table.started.get(view.id, {}).get(ref.task)
    running = view.listing[ref].state == _STATES.RUNNING
    return running and task is not None and task.attempt == ref.attempt


def _track_starts(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Tracks the start command of each start recorded in this epoch."""
    now = anyio.current_time()
    for task in shard.stream_view.table.started.get(view.id, {}).values():
        ref = workers.AttemptRef(task.id, task.attempt)
        if task.epoch == shard.epoch and ref not in view.starts:
            view.starts[ref] = shards.StartCall(created_at=now)


async def _stop_foreign(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Stops attempts that should not run here according to the task stream."""
    refs = [
        ref
        for ref, listed in view.listing.items()
        if listed.state == _STATES.RUNNING
        and not _is_expected_to_run(shard, view, ref)
    ]
    # The stream may be newer than the listing. That is safe: an attempt that
    # was requeued or finished is never started again.
    if not refs or not shards.may_act(shard):
        return
    for ref in refs:
        events.log_event(
            events.ATTEMPT_FOREIGN,
            shard=shard.number,
            worker=view.id,
            task=ref.task,
            attempt=ref.attempt,
        )
    command = workers.AttemptsCommand(shard.epoch, refs)
    await workers.stop_attempts(view.client, command)


async def _send_starts(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Sends the recorded starts that the worker has not yet confirmed."""
    started = shard.stream_view.table.started.get(view.id, {})
    for task in sorted(started.values(), key=lambda task: task.offset):
        ref = workers.AttemptRef(task.id, task.attempt)
        call = view.starts.get(ref)
        if call is None or call.started_at is not None:
            continue
        if ref in view.listing or task.id in shard.ending:
            continue
        if task.cancelled and not call.sent:
            await shards.finish_task(shard, task, tasks.TaskOutcome.CANCELLED)
        elif not _is_within_capacity(shard, view) and not call.sent:
            await _withhold_start(shard, view, task)
        elif not _is_listing_fresh(shard, view):
            view.wake.set()
            return
        elif not await _send_start(shard, view, task, call):
            return


def _is_listing_fresh(shard: shards.Shard, view: shards.WorkerView) -> bool:
    """Returns whether the listing is recent enough to send starts.

    `start_before_s` counts from the listing, so a start sent after an old one
    would probably be handled too late.
    """
    age_s = anyio.current_time() - view.listing_received_at
    return age_s < shard.settings.tasks.start_valid_s / 2


def _is_within_capacity(shard: shards.Shard, view: shards.WorkerView) -> bool:
    return charges.sum_commitment(shard, view).fits_within(view.capacity)


async def _withhold_start(
    shard: shards.Shard, view: shards.WorkerView, task: tasks.Task
) -> None:
    """Requeues a recorded start that no longer fits the worker.

    A start record that took effect late, or a lower limit, can overcommit it.
    """
    events.log_event(
        events.START_WITHHELD,
        shard=shard.number,
        worker=view.id,
        task=task.id,
    )
    cause = tasks.RequeueCause.NOT_STARTED
    await shards.requeue_task(shard, task, cause)


async def _send_start(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    call: shards.StartCall,
) -> bool:
    """Sends one start command.

    Returns:
      False if no further start should be sent in this cycle.
    """
    batch_class = shards.find_batch_class(shard, task)
    size = task.size
    if size is None:
        size = batch_class.size if batch_class else documents.Size()
    settings = shard.settings.tasks
    command = workers.StartCommand(
        task=task.id,
        attempt=task.attempt,
        epoch=shard.epoch,
        lease_s=settings.lease_s,
        size=size,
        batch_class=task.batch_class,
        work=task.work,
        start_before_s=view.worker_clock_s + settings.start_valid_s,
        checkpoint=task.checkpoint,
    )
    # There must be no await between this check and the command.
    if not shards.may_act(shard):
        return False
    reply = await workers.start_attempt(view.client, command)
    now = anyio.current_time()
    ref = workers.AttemptRef(task.id, task.attempt)
    if reply.is_ok():
        call.sent, call.started_at = True, now
        view.running_since.setdefault(ref, now)
        view.lease_until[ref] = now + settings.lease_s
        metrics.TASK_STARTS.labels("started").inc()
        return True
    failure = reply.err_value.failure
    metrics.TASK_STARTS.labels(failure.value).inc()
    if failure == outcomes.CallFailure.LOST:
        call.sent, call.lost_at = True, now
        # The worker may handle the command until `start_before_s`.
        latest = view.listing_received_at + settings.start_valid_s
        view.lease_until[ref] = latest + settings.lease_s
        view.wake.set()
        return False
    if failure == outcomes.CallFailure.REFUSED and not call.sent:
        cause = tasks.RequeueCause.NOT_STARTED
        await shards.requeue_task(shard, task, cause)
    elif failure == outcomes.CallFailure.REFUSED:
        # An earlier copy of the command may still be in flight.
        command = workers.AttemptsCommand(shard.epoch, [ref])
        if shards.may_act(shard):
            await workers.stop_attempts(view.client, command)
    return failure == outcomes.CallFailure.REFUSED


def _drop_ended(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Drops the state of attempts that are no longer started here."""
    started = shard.stream_view.table.started.get(view.id, {})
    current = {
        workers.AttemptRef(task.id, task.attempt) for task in started.values()
    }
    for by_attempt in (
        view.starts,
        view.lease_until,
        view.running_since,
        view.evictions,
    ):
        for ref in by_attempt.keys() - current:
            with contextlib.suppress(KeyError):
                del by_attempt[ref]
