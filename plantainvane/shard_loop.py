"""Control loop of an owned shard.

Opens the shard, keeps its queue and workers in line with the task stream,
places tasks and writes snapshots.
"""

import anyio
import anyio.abc

from plantainvane import charges
from plantainvane import documents
from plantainvane import events
from plantainvane import instances
from plantainvane import outcomes
from plantainvane import placement
from plantainvane import records
from plantainvane import shards
from plantainvane import suspicion
from plantainvane import tasks


async def run_shard(shard: shards.Shard) -> None:
    """Opens the shard, then schedules its tasks until cancelled."""
    with shard.scope:
        if not await _open_shard(shard):
            return
        async with anyio.create_task_group() as group:
            group.start_soon(_wake_on_changes, shard)
            group.start_soon(_write_snapshots, shard)
            while True:
                sync_workers(shard, group)
                if shards.may_act(shard):
                    _sync_queue(shard, group)
                    if not shard.draining:
                        _place_pending(shard, group)
                with anyio.move_on_after(shard.settings.tasks.poll_s):
                    await shard.wake.wait()
                shard.wake = anyio.Event()


async def _open_shard(shard: shards.Shard) -> bool:
    """Appends and folds the `shard_open` record of this epoch.

    From then on, every reader ignores records of lower epochs.

    Returns:
      False if a higher epoch is already open.
    """
    while True:
        opened = await shards.append_record(shard, records.ShardOpen)
        if opened.is_ok():
            break
        await anyio.sleep(shard.settings.claims.check_s)
    table = shard.stream_view.table
    if table.epoch > shard.epoch:
        shard.claims.raise_epoch_floor(shard.number, table.epoch)
        shard.superseded = True
        return False
    shard.opened_at = anyio.current_time()
    # Due one claim ttl from now: a snapshot soon after each takeover bounds
    # the age of the newest one.
    shard.snapshot_at = (
        shard.opened_at
        - shard.settings.log.snapshot_age_s
        + shard.settings.claims.ttl_s
    )
    for task in table.list_live():
        table.changed_tasks.add(task.id)
        for worker in task.failed_on:
            # Failures that earlier owners recorded count against the worker.
            suspicion.note_failure(
                shard.settings,
                shard.failure_history,
                worker,
                task.id,
                task.batch_class,
                shard.opened_at,
            )
    events.log_event(
        events.SHARD_OPENED,
        shard=shard.number,
        epoch=shard.epoch,
        pending=len(table.pending),
        started=sum(len(started) for started in table.started.values()),
    )
    return True


async def _wake_on_changes(shard: shards.Shard) -> None:
    """Wakes the shard loop at each change of the task stream."""
    while True:
        await shard.stream_view.changed.wait()
        # Let the other waiters on the fold run first.
        await anyio.sleep(0)
        shards.wake_shard(shard)


async def _write_snapshots(shard: shards.Shard) -> None:
    log = shard.settings.log
    while True:
        await anyio.sleep(shard.settings.tasks.poll_s)
        table = shard.stream_view.table
        due = anyio.current_time() - shard.snapshot_at >= log.snapshot_age_s
        full = table.records_since_snapshot >= log.snapshot_records
        if not (due or full) or not shards.may_act(shard):
            continue
        through, state = table.encode_state()
        appended = await shards.append_record(
            shard, records.ShardSnapshot, through_offset=through, state=state
        )
        if appended.is_ok():
            shard.snapshot_at = anyio.current_time()


def sync_workers(shard: shards.Shard, group: anyio.abc.TaskGroup) -> None:
    """Starts and stops worker loops.

    There is one for each worker that the instance list names or that has
    started tasks.
    """
    listed = shard.list_instances()
    named = set(listed) | set(shard.stream_view.table.started)
    for worker in sorted(named - shard.workers.keys()):
        view = _make_worker_view(shard, worker, listed.get(worker))
        shard.workers[worker] = view
        group.start_soon(shard.run_worker, shard, view)
    for worker, view in list(shard.workers.items()):
        view.in_instance_list = worker in listed
        if view.in_instance_list:
            view.instance = listed[worker]
            if view.client is None:
                view.client = shard.make_client(listed[worker])
                shard.stale_charges.add(worker)
        elif worker not in named:
            view.scope.cancel()
            del shard.workers[worker]
    suspicion.retain_workers(shard.failure_history, named)


def _make_worker_view(
    shard: shards.Shard, worker: str, instance: instances.Instance | None
) -> shards.WorkerView:
    settings = shard.settings
    # An earlier owner may keep renewing leases while it cannot read the log.
    limit_s = (
        settings.claims.ttl_s
        + settings.tasks.outage_renewal_s
        + settings.tasks.lease_s
    )
    return shards.WorkerView(
        id=worker,
        instance=instance,
        client=shard.make_client(instance) if instance is not None else None,
        default_lease_until=anyio.current_time() + limit_s,
    )


def _sync_queue(shard: shards.Shard, group: anyio.abc.TaskGroup) -> None:
    """Updates the queue for all tasks that changed in the task table."""
    table = shard.stream_view.table
    if shard.queue_config_version != shard.configuration.version:
        shard.queue_config_version = shard.configuration.version
        shard.placement_state.queue = placement.Queue()
        shard.stale_charges.update(shard.workers)
        table.changed_tasks.update(table.pending)
    changed_tasks, table.changed_tasks = table.changed_tasks, set()
    for id in sorted(changed_tasks, key=lambda id: _find_order(table, id)):
        shard.placement_state.queue.remove(id)
        shard.unknown_class_since.pop(id, None)
        task = table.pending.get(id)
        if task is None or id in shard.placing:
            continue
        if task.cancelled:
            outcome = tasks.TaskOutcome.CANCELLED
            group.start_soon(_finish_pending, shard, task, outcome, "")
            continue
        batch_class = shards.find_batch_class(shard, task)
        if batch_class is not None:
            shard.placement_state.queue.add(
                _make_key(shard, task, batch_class),
                placement.QueuedTask(id, task.offset, table.pending_since[id]),
            )
        else:
            shard.unknown_class_since[id] = table.pending_since[id]
    _finish_unschedulable(shard, group)


def _find_order(table: tasks.TaskTable, id: str) -> int:
    task = table.pending.get(id)
    return task.offset if task is not None else -1


def _make_key(
    shard: shards.Shard, task: tasks.Task, batch_class: documents.BatchClass
) -> placement.GroupKey:
    return placement.GroupKey(
        batch_class=batch_class.name,
        priority=batch_class.priority,
        team=batch_class.team,
        demand=shards.get_demand(shard, task),
        failed_on=frozenset(task.failed_on),
    )


async def _finish_pending(
    shard: shards.Shard,
    task: tasks.Task,
    outcome: tasks.TaskOutcome,
    detail: str,
) -> None:
    """Ends a pending task; if that fails, queues it for another try."""
    await shards.finish_task(shard, task, outcome, detail)
    if task.id in shard.stream_view.table.pending:
        await anyio.sleep(shard.settings.tasks.poll_s)
        shard.stream_view.table.changed_tasks.add(task.id)
        shards.wake_shard(shard)


def _finish_unschedulable(
    shard: shards.Shard, group: anyio.abc.TaskGroup
) -> None:
    """Ends tasks that can run on no worker of the shard."""
    now = anyio.current_time()
    if now - shard.unschedulable_checked_at < shard.settings.tasks.poll_s:
        return
    shard.unschedulable_checked_at = now
    limit_s = shard.settings.tasks.impossible_after_s
    table = shard.stream_view.table
    views_of_listed = [
        view for view in shard.workers.values() if view.instance is not None
    ]
    all_listed = bool(views_of_listed) and all(
        view.capacity is not None for view in views_of_listed
    )
    for key in list(shard.placement_state.queue.groups):
        reason = placement.explain_unschedulable(
            shard.placement_state, key, all_listed
        )
        if reason is None:
            continue
        for queued in list(shard.placement_state.queue.groups[key].values()):
            # The instance list may lag, so a suitable worker may yet appear.
            if now - queued.since < limit_s:
                continue
            shard.placement_state.queue.remove(queued.task)
            task = table.pending[queued.task]
            outcome = (
                tasks.TaskOutcome.FAILED
                if key.failed_on
                else tasks.TaskOutcome.IMPOSSIBLE
            )
            group.start_soon(_finish_pending, shard, task, outcome, reason)
    for id, since in list(shard.unknown_class_since.items()):
        if now - since >= limit_s and id in table.pending:
            del shard.unknown_class_since[id]
            outcome = tasks.TaskOutcome.IMPOSSIBLE
            reason = "the batch class is not in force"
            group.start_soon(
                _finish_pending, shard, table.pending[id], outcome, reason
            )


def _place_pending(shard: shards.Shard, group: anyio.abc.TaskGroup) -> None:
    if not len(shard.placement_state.queue):
        return
    now = anyio.current_time()
    charges.refresh_charges(shard, now)
    policy = charges.make_policy(shard, dict(shard.team_use))
    decisions = placement.place_tasks(
        shard.settings, shard.placement_state, policy, now
    )
    for decision in decisions:
        shard.placing[decision.task] = decision
        shard.stale_charges.add(decision.worker)
        suspicion.note_start(
            shard.failure_history, decision.worker, decision.task
        )
        group.start_soon(_record_start, shard, decision)


async def _record_start(
    shard: shards.Shard, decision: placement.Decision
) -> None:
    """Appends the start record of a decision.

    The worker loop sends the start command once the record is folded.
    """
    table = shard.stream_view.table
    task = table.pending.get(decision.task)
    if task is not None:
        appended = await shards.append_record(
            shard,
            records.TaskStart,
            task=task.id,
            attempt=task.attempt + 1,
            worker=decision.worker,
        )
        lost = outcomes.CallFailure.LOST
        if appended.is_err() and appended.err_value.failure == lost:
            # The record may still be stored, so the decision stays charged.
            await anyio.sleep(shard.settings.log.append_limit_s)
        if task.phase != tasks.TaskPhase.STARTED:
            suspicion.clear_canary(
                shard.failure_history, decision.worker, decision.task
            )
    del shard.placing[decision.task]
    shard.stale_charges.add(decision.worker)
    table.changed_tasks.add(decision.task)
    shards.wake_worker(shard, decision.worker)
    shards.wake_shard(shard)
