"""The owner's work for one shard: open, queue, place, snapshot."""

from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
import anyio.abc
import httpx
import msgspec
import result

from plantainvane import amounts
from plantainvane import claims as claims_module
from plantainvane import documents
from plantainvane import estimates
from plantainvane import events
from plantainvane import instances
from plantainvane import interference
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import placement
from plantainvane import pressure
from plantainvane import quotas
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import suspicion
from plantainvane import tasks
from plantainvane import views
from plantainvane import workers
from plantainvane import writers

DUMP_LIMIT = 200


@dataclasses.dataclass(slots=True)
class Call:
    """Start command of one attempt that this owner decided on.

    Attributes:
      created: When the start record was folded.
      sent: The command may have reached the worker.
      lost_at: End of the last call whose reply was lost, None if the outcome
        of every call is known.
      started_at: When the worker confirmed the start.
    """

    created: float
    sent: bool = False
    lost_at: float | None = None
    started_at: float | None = None


@dataclasses.dataclass(slots=True)
class Eviction:
    """An eviction under way.

    Attributes:
      since: When it began.
      asked_at: When the worker confirmed the checkpoint command.
      stopping: The checkpoint is complete, or there is none to wait for.
    """

    since: float
    asked_at: float | None = None
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class WorkerView:
    """What the owner knows about one worker.

    Attributes:
      instance: Entry of the instance list; None for a worker that only the
        task stream names.
      client: HTTP client of the worker; None without an instance.
      listing: Attempts of the newest listing.
      listed_at: Time before the newest successful listing was asked for.
      fenced: The worker was listed with the epoch of this owner.
      reachable: The last listing succeeded.
      capacity: What batch work may commit; None before the first listing.
      calls: Starts that this owner decided on.
      lease_until: Latest time at which a lease may still run, by attempt.
      default_lease_until: The same for attempts of earlier owners.
      renewed_at: When the last batch of renewals was sent.
      running_since: When this owner first saw an attempt run.
      relief: Throttling and eviction for the services here.
      ratios: Newest ratio of p99 to target by service class.
    """

    id: str
    instance: instances.Instance | None
    client: httpx.AsyncClient | None
    default_lease_until: float
    listing: dict[workers.AttemptRef, workers.ListedAttempt] = (
        dataclasses.field(default_factory=dict)
    )
    listed_at: float = float("-inf")
    fenced: bool = False
    reachable: bool = True
    capacity: amounts.Amount | None = None
    calls: dict[workers.AttemptRef, Call] = dataclasses.field(
        default_factory=dict
    )
    running_since: dict[workers.AttemptRef, float] = dataclasses.field(
        default_factory=dict
    )
    lease_until: dict[workers.AttemptRef, float] = dataclasses.field(
        default_factory=dict
    )
    evictions: dict[workers.AttemptRef, Eviction] = dataclasses.field(
        default_factory=dict
    )
    relief: pressure.WorkerPressure = dataclasses.field(
        default_factory=pressure.WorkerPressure
    )
    ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    renewed_at: float = float("-inf")
    usage_at: float = float("-inf")
    sampled_at: float = float("-inf")
    unthrottled: bool = False
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass(slots=True)
class Shard:
    """One owned shard.

    Attributes:
      placing: Decisions whose start records are not folded yet; charged.
      ending: Tasks for which a requeue or finish record is under way.
      learned: Estimates by batch class.
      misfits: Since when tasks of classes that are not in force wait.
      draining: No new starts; the shard is about to be released.
      stale: The task stream has seen a higher epoch than the claims stream.
      opened_at: When the own `open` record was folded; None before.
    """

    settings: settings_module.Settings
    number: int
    epoch: int
    claims: claims_module.Claims
    configuration: Any
    view: views.View
    writer: writers.Writer
    list_instances: Callable[[], dict[str, instances.Instance]]
    make_client: Callable[[instances.Instance], httpx.AsyncClient]
    run_worker: Callable[["Shard", WorkerView], Any]
    workers: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    state: placement.State = dataclasses.field(
        default_factory=lambda: placement.State({}, placement.Queue())
    )
    record: suspicion.Record = dataclasses.field(
        default_factory=suspicion.Record
    )
    model: interference.Model = dataclasses.field(
        default_factory=interference.Model
    )
    learned: dict[str, estimates.ClassEstimate] = dataclasses.field(
        default_factory=dict
    )
    placing: dict[str, placement.Decision] = dataclasses.field(
        default_factory=dict
    )
    ending: set[str] = dataclasses.field(default_factory=set)
    misfits: dict[str, float] = dataclasses.field(default_factory=dict)
    draining: bool = False
    stale: bool = False
    opened_at: float | None = None
    snapshot_at: float = 0.0
    reviewed_at: float = float("-inf")
    configured: int = -1
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


def may_act(shard: Shard) -> bool:
    """Says whether this process may act as owner at this very moment."""
    now = anyio.current_time()
    return shard.claims.holds_shard(shard.number, shard.epoch, now)


def wake_shard(shard: Shard) -> None:
    """Lets the shard look at its queue now."""
    shard.wake.set()


def wake_worker(shard: Shard, worker: str) -> None:
    """Lets a worker's task look at its attempts now."""
    view = shard.workers.get(worker)
    if view is not None:
        view.wake.set()


async def append_record(
    shard: Shard, kind: type[records.Record], **fields: Any
) -> result.Result[int, outcomes.CallError]:
    """Appends a record of this epoch if the claim is valid, and folds it.

    Returns:
      Ok with the offset once the own reader has folded the record.
    """
    if not may_act(shard):
        return result.Err(
            outcomes.CallError(
                outcomes.CallFailure.STALE, "the claim has lapsed"
            )
        )
    appended = await shard.writer.append(kind, epoch=shard.epoch, **fields)
    if appended.is_err():
        return appended
    limit_s = shard.settings.tasks.fold_wait_s
    if not await views.wait_folded(shard.view, appended.ok_value, limit_s):
        return result.Err(
            outcomes.CallError(
                outcomes.CallFailure.LOST, "the record was not read in time"
            )
        )
    return appended


async def finish_task(
    shard: Shard,
    task: tasks.Task,
    outcome: tasks.TaskOutcome,
    detail: str = "",
    output: Any = None,
) -> None:
    """Ends a task; the fold ignores it when the attempt is stale."""
    if task.id in shard.ending:
        return
    shard.ending.add(task.id)
    try:
        appended = await append_record(
            shard,
            records.TaskFinish,
            task=task.id,
            attempt=task.attempt,
            outcome=outcome.value,
            detail=detail,
            output=output,
        )
    finally:
        shard.ending.discard(task.id)
    if appended.is_ok():
        suspicion.forget_task(shard.record, task.id)
        metrics.TASK_ENDS.labels(outcome.value).inc()
        _log_end(shard, task, outcome, detail)
    wake_shard(shard)


async def requeue_task(
    shard: Shard,
    task: tasks.Task,
    cause: tasks.RequeueCause,
    checkpoint: str | None = None,
) -> None:
    """Makes a task pending again after its attempt is known to have ended."""
    if task.id in shard.ending:
        return
    shard.ending.add(task.id)
    try:
        appended = await append_record(
            shard,
            records.TaskRequeue,
            task=task.id,
            attempt=task.attempt,
            cause=cause.value,
            checkpoint=checkpoint,
        )
    finally:
        shard.ending.discard(task.id)
    if appended.is_ok():
        metrics.REQUEUES.labels(cause.value).inc()
    wake_shard(shard)


def find_class(shard: Shard, task: tasks.Task) -> documents.BatchClass | None:
    """Returns the batch class of a task, if it is in force."""
    return shard.configuration.find_batch_class(task.batch_class)


def measure_task(shard: Shard, task: tasks.Task) -> amounts.Amount:
    """Returns the declared size of a task."""
    if task.size is not None:
        return amounts.measure_size(task.size)
    batch_class = find_class(shard, task)
    size = batch_class.size if batch_class is not None else documents.Size()
    return amounts.measure_size(size)


def is_idempotent(shard: Shard, task: tasks.Task) -> bool:
    """Says whether a task may run again after an unknown outcome.

    A class that is no longer in force counts as non-idempotent.
    """
    batch_class = find_class(shard, task)
    return batch_class is not None and batch_class.idempotent


def measure_commitment(shard: Shard, view: WorkerView) -> amounts.Amount:
    """Sums the declared sizes of all attempts not known to have ended.

    Those are the started ones of the stream, and those that the worker runs
    without the stream allowing it.
    """
    total = amounts.Amount()
    started = shard.view.book.started.get(view.id, {})
    for task in started.values():
        ref = workers.AttemptRef(task.id, task.attempt)
        listed = view.listing.get(ref)
        # The worker's own figure counts if the class has changed since.
        if listed is not None:
            total += amounts.measure_size(listed.size)
        else:
            total += measure_task(shard, task)
    for ref, listed in view.listing.items():
        task = started.get(ref.task)
        current = task is not None and task.attempt == ref.attempt
        if listed.state == workers.AttemptState.RUNNING and not current:
            total += amounts.measure_size(listed.size)
    return total


async def run_shard(shard: Shard) -> None:
    """Works for the shard until cancelled: opens it, then places tasks."""
    with shard.scope:
        if not await _open_shard(shard):
            return
        async with anyio.create_task_group() as group:
            group.start_soon(_pass_changes, shard)
            group.start_soon(_keep_snapshots, shard)
            while True:
                sync_workers(shard, group)
                if may_act(shard):
                    _sync_queue(shard, group)
                    if not shard.draining:
                        _place(shard, group)
                with anyio.move_on_after(shard.settings.tasks.poll_s):
                    await shard.wake.wait()
                shard.wake = anyio.Event()


async def _open_shard(shard: Shard) -> bool:
    """Appends and folds the `open` record, after which older epochs are void.

    Returns:
      False when a higher epoch is already open.
    """
    while True:
        opened = await append_record(shard, records.ShardOpen)
        if opened.is_ok():
            break
        await anyio.sleep(shard.settings.claims.check_s)
    book = shard.view.book
    if book.epoch > shard.epoch:
        shard.claims.raise_floor(shard.number, book.epoch)
        shard.stale = True
        return False
    shard.opened_at = anyio.current_time()
    # A snapshot soon after each takeover bounds the age of the newest one.
    shard.snapshot_at = (
        shard.opened_at
        - shard.settings.log.snapshot_age_s
        + shard.settings.claims.ttl_s
    )
    for task in book.list_live():
        book.touched.add(task.id)
        for worker in task.failed_on:
            # What earlier owners saw speaks against the same workers.
            suspicion.note_failure(
                shard.settings,
                shard.record,
                worker,
                task.id,
                task.batch_class,
                shard.opened_at,
            )
    events.log_event(
        events.SHARD_OPENED,
        shard=shard.number,
        epoch=shard.epoch,
        pending=len(book.pending),
        started=sum(len(started) for started in book.started.values()),
    )
    return True


async def _pass_changes(shard: Shard) -> None:
    """Wakes the shard and the workers concerned at each change."""
    while True:
        await shard.view.changed.wait()
        # Let the fold's other waiters look first.
        await anyio.sleep(0)
        wake_shard(shard)


async def _keep_snapshots(shard: Shard) -> None:
    log = shard.settings.log
    while True:
        await anyio.sleep(shard.settings.tasks.poll_s)
        book = shard.view.book
        due = anyio.current_time() - shard.snapshot_at >= log.snapshot_age_s
        full = book.records_since_snapshot >= log.snapshot_records
        if not (due or full) or not may_act(shard):
            continue
        through, state = book.encode_state()
        appended = await append_record(
            shard, records.ShardSnapshot, through_offset=through, state=state
        )
        if appended.is_ok():
            shard.snapshot_at = anyio.current_time()


def sync_workers(shard: Shard, group: anyio.abc.TaskGroup) -> None:
    """Starts and ends the tasks of workers as the lists change."""
    listed = shard.list_instances()
    named = set(listed) | set(shard.view.book.started)
    for worker in sorted(named - shard.workers.keys()):
        view = _make_worker_view(shard, worker, listed.get(worker))
        shard.workers[worker] = view
        group.start_soon(shard.run_worker, shard, view)
    for worker, view in list(shard.workers.items()):
        if worker in listed:
            if view.client is None:
                view.instance = listed[worker]
                view.client = shard.make_client(listed[worker])
            else:
                view.instance = listed[worker]
        elif worker not in named:
            view.scope.cancel()
            del shard.workers[worker]
    suspicion.retain_workers(shard.record, named)


def _make_worker_view(
    shard: Shard, worker: str, instance: instances.Instance | None
) -> WorkerView:
    settings = shard.settings
    # An earlier owner may go on renewing leases while it cannot read the log.
    limit = (
        settings.claims.ttl_s
        + settings.tasks.outage_renewal_s
        + settings.tasks.lease_s
    )
    return WorkerView(
        id=worker,
        instance=instance,
        client=shard.make_client(instance) if instance is not None else None,
        default_lease_until=anyio.current_time() + limit,
    )


def _sync_queue(shard: Shard, group: anyio.abc.TaskGroup) -> None:
    """Brings the queue in line with the book for all touched tasks."""
    book = shard.view.book
    if shard.configured != shard.configuration.version:
        shard.configured = shard.configuration.version
        shard.state.queue = placement.Queue()
        book.touched.update(book.pending)
    touched, book.touched = book.touched, set()
    for id in sorted(touched, key=lambda id: _find_order(book, id)):
        shard.state.queue.remove(id)
        shard.misfits.pop(id, None)
        task = book.pending.get(id)
        if task is None or id in shard.placing:
            continue
        if task.cancelled:
            outcome = tasks.TaskOutcome.CANCELLED
            group.start_soon(_finish_waiting, shard, task, outcome, "")
            continue
        batch_class = find_class(shard, task)
        if batch_class is not None:
            shard.state.queue.add(
                _make_key(shard, task, batch_class),
                placement.Waiting(id, task.offset, book.seen_at[id]),
            )
        else:
            shard.misfits[id] = book.seen_at[id]
    _end_misfits(shard, group)


def _find_order(book: tasks.TaskBook, id: str) -> int:
    task = book.pending.get(id)
    return task.offset if task is not None else -1


def _make_key(
    shard: Shard, task: tasks.Task, batch_class: documents.BatchClass
) -> placement.GroupKey:
    return placement.GroupKey(
        batch_class=batch_class.name,
        priority=batch_class.priority,
        team=batch_class.team,
        amount=measure_task(shard, task),
        failed_on=frozenset(task.failed_on),
    )


async def _finish_waiting(
    shard: Shard, task: tasks.Task, outcome: tasks.TaskOutcome, detail: str
) -> None:
    """Ends a pending task; on failure the next change tries again."""
    await finish_task(shard, task, outcome, detail)
    if task.id in shard.view.book.pending:
        await anyio.sleep(shard.settings.tasks.poll_s)
        shard.view.book.touched.add(task.id)
        wake_shard(shard)


def _end_misfits(shard: Shard, group: anyio.abc.TaskGroup) -> None:
    """Ends tasks that can never run on any worker of the shard."""
    now = anyio.current_time()
    if now - shard.reviewed_at < shard.settings.tasks.poll_s:
        return
    shard.reviewed_at = now
    limit_s = shard.settings.tasks.impossible_after_s
    book = shard.view.book
    views_of_listed = [
        view for view in shard.workers.values() if view.instance is not None
    ]
    all_listed = bool(views_of_listed) and all(
        view.capacity is not None for view in views_of_listed
    )
    for key in list(shard.state.queue.groups):
        reason = placement.find_misfit(shard.state, key, all_listed)
        if reason is None:
            continue
        for waiting in list(shard.state.queue.groups[key].values()):
            # The instance list may lag, so the right worker may yet appear.
            if now - waiting.since < limit_s:
                continue
            shard.state.queue.remove(waiting.task)
            task = book.pending[waiting.task]
            outcome = (
                tasks.TaskOutcome.FAILED
                if key.failed_on
                else tasks.TaskOutcome.IMPOSSIBLE
            )
            group.start_soon(_finish_waiting, shard, task, outcome, reason)
    for id, since in list(shard.misfits.items()):
        if now - since >= limit_s and id in book.pending:
            del shard.misfits[id]
            outcome = tasks.TaskOutcome.IMPOSSIBLE
            reason = "the batch class is not in force"
            group.start_soon(
                _finish_waiting, shard, book.pending[id], outcome, reason
            )


def _place(shard: Shard, group: anyio.abc.TaskGroup) -> None:
    now = anyio.current_time()
    used = _refresh_state(shard, now)
    if not len(shard.state.queue):
        return
    judgement = _make_judgement(shard, used)
    decisions = placement.place_tasks(
        shard.settings, shard.state, judgement, now
    )
    for decision in decisions:
        shard.placing[decision.task] = decision
        suspicion.note_start(shard.record, decision.worker, decision.task)
        group.start_soon(_launch, shard, decision)


def _refresh_state(shard: Shard, now: float) -> dict[str, amounts.Amount]:
    """Computes the workers' states anew; returns the use of each team.

    Summing everything each time keeps the commitment right whatever happened
    in between; it costs about a microsecond for each running attempt.
    """
    used: dict[str, amounts.Amount] = {}
    states = {}
    for view in shard.workers.values():
        state = _make_worker_state(shard, view, used)
        if state is not None:
            states[view.id] = state
    for decision in shard.placing.values():
        team = decision.key.team
        used[team] = used.get(team, amounts.Amount()) + decision.key.amount
        state = states.get(decision.worker)
        # Once the start record is folded, the book charges it.
        pending = decision.task in shard.view.book.pending
        if state is not None and pending:
            estimate = shard.learned.get(decision.key.batch_class)
            use = decision.key.amount
            if estimate is not None:
                use = estimates.predict_use(estimate, use)
            placement.charge(state, decision.key, use)
    for view in shard.workers.values():
        state = states.get(view.id)
        if state is not None:
            state.open_starts = _count_open(shard, view, state, now)
    shard.state.workers = states
    return used


def _make_worker_state(
    shard: Shard, view: WorkerView, used: dict[str, amounts.Amount]
) -> placement.WorkerState | None:
    running: dict[str, int] = {}
    load = amounts.Amount()
    for task in shard.view.book.started.get(view.id, {}).values():
        amount = measure_task(shard, task)
        batch_class = find_class(shard, task)
        if batch_class is not None and task.id not in shard.placing:
            team = batch_class.team
            used[team] = used.get(team, amounts.Amount()) + amount
        running[task.batch_class] = running.get(task.batch_class, 0) + 1
        estimate = shard.learned.get(task.batch_class)
        load += (
            estimates.predict_use(estimate, amount)
            if estimate is not None
            else amount
        )
    if view.capacity is None or view.instance is None:
        return None
    return placement.WorkerState(
        id=view.id,
        rack=view.instance.rack,
        capacity=view.capacity,
        committed=measure_commitment(shard, view),
        used=load,
        running=running,
        services=tuple(view.ratios),
        throttled=view.relief.throttled,
    )


def _count_open(
    shard: Shard,
    view: WorkerView,
    state: placement.WorkerState,
    now: float,
) -> int:
    if not view.fenced or not view.reachable or view.instance.leaving:
        return 0
    running = sum(state.running.values())
    return suspicion.count_open(
        shard.settings, shard.record, view.id, running, now
    )


def _make_judgement(
    shard: Shard, used: dict[str, amounts.Amount]
) -> placement.Judgement:
    settings = shard.settings
    none = amounts.Amount()

    def allows(key: placement.GroupKey) -> bool:
        quota = shard.configuration.find_quota(key.team)
        mine = used.get(key.team, none)
        return quotas.allows_start(settings, quota, mine, key.amount)

    def admit(key: placement.GroupKey) -> None:
        used[key.team] = used.get(key.team, none) + key.amount

    def predict_ratio(worker: placement.WorkerState, batch_class: str) -> float:
        worst = 0.0
        for service in worker.services:
            ratio = interference.predict_ratio(
                settings, shard.model, service, worker.running
            )
            ratio += interference.predict_effect(
                settings, shard.model, service, batch_class
            )
            worst = max(worst, ratio)
        return worst

    def predict_use(key: placement.GroupKey) -> amounts.Amount:
        estimate = shard.learned.get(key.batch_class)
        if estimate is None:
            return key.amount
        return estimates.predict_use(estimate, key.amount)

    return placement.Judgement(allows, admit, predict_ratio, predict_use)


async def _launch(shard: Shard, decision: placement.Decision) -> None:
    """Records a start; the worker's task sends it once it is folded."""
    book = shard.view.book
    task = book.pending.get(decision.task)
    if task is not None:
        appended = await append_record(
            shard,
            records.TaskStart,
            task=task.id,
            attempt=task.attempt + 1,
            worker=decision.worker,
        )
        lost = outcomes.CallFailure.LOST
        if appended.is_err() and appended.err_value.failure == lost:
            # It may still take effect and stays charged meanwhile.
            await anyio.sleep(shard.settings.log.append_limit_s)
        if task.phase != tasks.TaskPhase.STARTED:
            suspicion.note_end(shard.record, decision.worker, decision.task)
    del shard.placing[decision.task]
    book.touched.add(decision.task)
    wake_worker(shard, decision.worker)
    wake_shard(shard)


def _log_end(
    shard: Shard, task: tasks.Task, outcome: tasks.TaskOutcome, detail: str
) -> None:
    event = {
        tasks.TaskOutcome.UNKNOWN: events.TASK_UNKNOWN,
        tasks.TaskOutcome.FAILED: events.TASK_FAILED,
        tasks.TaskOutcome.IMPOSSIBLE: events.TASK_IMPOSSIBLE,
    }.get(outcome)
    if event is not None:
        events.log_event(
            event,
            shard=shard.number,
            task=task.id,
            attempt=task.attempt,
            detail=detail,
        )


def count_states(shard: Shard) -> metrics.BatchCounts:
    """Counts attempts, waiting tasks and suspected workers."""
    counts = metrics.BatchCounts()
    started = shard.view.book.started
    counts.attempts["starting"] = len(shard.placing)
    for worker, tasks_there in started.items():
        view = shard.workers.get(worker)
        if view is None or not view.reachable:
            counts.attempts["unreachable"] += len(tasks_there)
            continue
        evicting = len(view.evictions)
        running = sum(
            workers.AttemptRef(task.id, task.attempt) in view.listing
            for task in tasks_there.values()
        )
        counts.attempts["evicting"] += evicting
        counts.attempts["running"] += max(0, running - evicting)
        counts.attempts["starting"] += len(tasks_there) - running
    for key, group in shard.state.queue.groups.items():
        counts.pending[key.priority.value] += len(group)
    counts.suspected = sum(
        suspicion.is_suspected(shard.record, worker) for worker in shard.workers
    )
    return counts


def dump_shard(shard: Shard, now: float) -> dict[str, Any]:
    """Returns the owner's view of the shard, JSON-ready and bounded."""
    return {
        "epoch": shard.epoch,
        "opened": shard.opened_at is not None,
        "may_act": shard.claims.holds_shard(shard.number, shard.epoch, now),
        "draining": shard.draining,
        "book": shard.view.book.dump_state(now),
        "placing": len(shard.placing),
        "workers": {
            id: _dump_worker(shard, view, now)
            for id, view in sorted(shard.workers.items())[:DUMP_LIMIT]
        },
        "suspicion": suspicion.dump_record(shard.record, now),
        "interference": interference.dump_model(shard.model),
    }


def _dump_worker(shard: Shard, view: WorkerView, now: float) -> dict[str, Any]:
    committed = measure_commitment(shard, view)
    return {
        "reachable": view.reachable,
        "fenced": view.fenced,
        "throttled": view.relief.throttled,
        "attempts": len(view.listing),
        "evicting": len(view.evictions),
        "committed": msgspec.to_builtins(committed),
        "capacity": (
            msgspec.to_builtins(view.capacity) if view.capacity else None
        ),
        "ratios": {
            name: round(ratio, 3) for name, ratio in view.ratios.items()
        },
    }
