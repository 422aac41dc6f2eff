"""Evictions and cancellations of running attempts.

An eviction requests a checkpoint, waits until the listing confirms it, then
stops the attempt. When the listing shows the attempt as stopped, the module
reconciliation appends the only requeue record. Each step is repeated until the
listing confirms it, so any later owner can continue from the listing.
"""

import anyio

from plantainvane import documents
from plantainvane import events
from plantainvane import metrics
from plantainvane import shards
from plantainvane import tasks
from plantainvane import workers

_STATES = workers.AttemptState


def may_evict(shard: shards.Shard, task: tasks.Task) -> bool:
    """Returns whether the batch class of the task allows evictions."""
    batch_class = shards.find_batch_class(shard, task)
    if batch_class is None or not batch_class.evictable:
        return False
    return batch_class.idempotent or batch_class.checkpoints


def start_eviction(
    shard: shards.Shard, view: shards.WorkerView, task: tasks.Task
) -> None:
    """Starts to evict the current attempt of a task on the worker."""
    batch_class = shards.find_batch_class(shard, task)
    ref = workers.AttemptRef(task.id, task.attempt)
    view.evictions[ref] = shards.Eviction(
        started_at=anyio.current_time(),
        stopping=not _has_checkpoints(batch_class),
    )
    metrics.EVICTIONS.labels("started").inc()
    events.log_event(
        events.EVICTION_STARTED,
        shard=shard.number,
        worker=view.id,
        task=task.id,
        attempt=task.attempt,
    )


def evict_leaving(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Starts to evict all evictable attempts from a worker that is leaving.

    Otherwise the work would be lost with the worker, and its loss noticed only
    when the lease expires.
    """
    if view.instance is None or not view.instance.leaving:
        return
    for task in shard.stream_view.table.started.get(view.id, {}).values():
        ref = workers.AttemptRef(task.id, task.attempt)
        listed = view.listing.get(ref)
        running = listed is not None and listed.state == _STATES.RUNNING
        known = ref in view.evictions
        if running and not known and may_evict(shard, task):
            start_eviction(shard, view, task)


async def advance_evictions(
    shard: shards.Shard, view: shards.WorkerView
) -> None:
    """Performs the next step of each eviction and cancellation on the worker.

    Sends at most one checkpoint and one stop command.
    """
    to_checkpoint: list[workers.AttemptRef] = []
    to_stop: list[workers.AttemptRef] = []
    for task in shard.stream_view.table.started.get(view.id, {}).values():
        ref = workers.AttemptRef(task.id, task.attempt)
        listed = view.listing.get(ref)
        if listed is None or listed.state != _STATES.RUNNING:
            continue
        if task.cancelled:
            to_stop.append(ref)
            continue
        _advance_eviction(shard, view, task, listed)
        eviction = view.evictions.get(ref)
        if eviction is None:
            continue
        if eviction.stopping:
            to_stop.append(ref)
        elif eviction.accepted_at is None:
            to_checkpoint.append(ref)
    if to_checkpoint and shards.may_act(shard):
        command = workers.AttemptsCommand(shard.epoch, to_checkpoint)
        asked = await workers.checkpoint_attempts(view.client, command)
        if asked.is_ok():
            for ref in to_checkpoint:
                view.evictions[ref].accepted_at = anyio.current_time()
    if to_stop and shards.may_act(shard):
        command = workers.AttemptsCommand(shard.epoch, to_stop)
        await workers.stop_attempts(view.client, command)


def _advance_eviction(
    shard: shards.Shard,
    view: shards.WorkerView,
    task: tasks.Task,
    listed: workers.ListedAttempt,
) -> None:
    ref = workers.AttemptRef(listed.task, listed.attempt)
    eviction = view.evictions.get(ref)
    now = anyio.current_time()
    if eviction is None:
        # A checkpoint is complete that this owner did not request: an earlier
        # owner was evicting the attempt.
        if listed.checkpointed and listed.epoch < shard.epoch:
            view.evictions[ref] = shards.Eviction(started_at=now, stopping=True)
        return
    if eviction.stopping:
        return
    accepted_at = eviction.accepted_at
    if accepted_at is not None and listed.checkpointed:
        # Only a listing requested after the command shows its effect.
        eviction.stopping = view.listing_requested_at > accepted_at
    limit_s = shard.settings.tasks.checkpoint_limit_s
    if not eviction.stopping and now - eviction.started_at > limit_s:
        del view.evictions[ref]
        metrics.EVICTIONS.labels("abandoned").inc()
        events.log_event(
            events.EVICTION_ABANDONED,
            shard=shard.number,
            worker=view.id,
            task=task.id,
            attempt=task.attempt,
        )


def _has_checkpoints(batch_class: documents.BatchClass | None) -> bool:
    return batch_class is not None and batch_class.checkpoints
