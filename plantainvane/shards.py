"""The owner's work for one shard: open, queue, place, snapshot."""

from collections.abc import Callable
import dataclasses
import functools
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
      listed: The instance list names the worker; if not, nothing is started.
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
    listed: bool = True
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
class Charge:
    """What one worker's attempts use.

    Attributes:
      state: For placement; None while nothing may be placed there.
      teams: Declared sizes by team.
    """

    state: placement.WorkerState | None
    teams: dict[str, amounts.Amount]


@dataclasses.dataclass(slots=True)
class Shard:
    """One owned shard.

    Attributes:
      list_elsewhere: Returns the started tasks of all other shards, None when
        they are not known now.
      placing: Decisions whose start records are not folded yet; charged.
      charges: What each worker's attempts were last found to use.
      changed: Workers whose charges must be found anew.
      team_use: Sum of the charges by team.
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
    list_elsewhere: Callable[[], list[tasks.Task] | None]
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
    charges: dict[str, Charge] = dataclasses.field(default_factory=dict)
    changed: set[str] = dataclasses.field(default_factory=set)
    team_use: dict[str, amounts.Amount] = dataclasses.field(
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
        view.listed = worker in listed
        if view.listed:
            view.instance = listed[worker]
            if view.client is None:
                view.client = shard.make_client(listed[worker])
                shard.changed.add(worker)
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
        shard.changed.update(shard.workers)
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
    if not len(shard.state.queue):
        return
    now = anyio.current_time()
    refresh_charges(shard, now)
    judgement = _make_judgement(shard, dict(shard.team_use))
    decisions = placement.place_tasks(
        shard.settings, shard.state, judgement, now
    )
    for decision in decisions:
        shard.placing[decision.task] = decision
        shard.changed.add(decision.worker)
        suspicion.note_start(shard.record, decision.worker, decision.task)
        group.start_soon(_launch, shard, decision)


def refresh_charges(shard: Shard, now: float) -> None:
    """Brings the workers' states up to date, for those that changed.

    A charge that is missed here cannot overcommit a worker: before each start
    the commitment is summed anew.
    """
    book = shard.view.book
    moved, book.moved = book.moved, set()
    changed, shard.changed = shard.changed, set()
    placing = _group_placing(shard)
    gone = shard.charges.keys() - shard.workers.keys()
    for worker in moved | changed | gone:
        _replace_charge(shard, worker, placing.get(worker, []))
    shard.state.workers = {}
    for id, charge in shard.charges.items():
        state, view = charge.state, shard.workers[id]
        if state is None or view.instance is None:
            continue
        state.services = tuple(view.ratios)
        state.throttled = view.relief.throttled
        state.open_starts = _count_open(shard, view, state, now)
        shard.state.workers[id] = state


def _group_placing(shard: Shard) -> dict[str, list[placement.Decision]]:
    """Groups decisions by worker; once folded, the book charges them."""
    grouped: dict[str, list[placement.Decision]] = {}
    for decision in shard.placing.values():
        if decision.task in shard.view.book.pending:
            grouped.setdefault(decision.worker, []).append(decision)
    return grouped


def _replace_charge(
    shard: Shard, worker: str, placing: list[placement.Decision]
) -> None:
    none = amounts.Amount()
    old = shard.charges.pop(worker, None)
    if old is not None:
        for team, amount in old.teams.items():
            shard.team_use[team] -= amount
    view = shard.workers.get(worker)
    if view is None:
        return
    charge = _measure_charge(shard, view, placing)
    shard.charges[worker] = charge
    for team, amount in charge.teams.items():
        shard.team_use[team] = shard.team_use.get(team, none) + amount


def _measure_charge(
    shard: Shard, view: WorkerView, placing: list[placement.Decision]
) -> Charge:
    none = amounts.Amount()
    teams: dict[str, amounts.Amount] = {}
    running: dict[str, int] = {}
    load = none
    for task in shard.view.book.started.get(view.id, {}).values():
        amount = measure_task(shard, task)
        batch_class = find_class(shard, task)
        if batch_class is not None:
            team = batch_class.team
            teams[team] = teams.get(team, none) + amount
        running[task.batch_class] = running.get(task.batch_class, 0) + 1
        load += _predict_use(shard, task.batch_class, amount)
    state = None
    if view.capacity is not None and view.instance is not None:
        state = placement.WorkerState(
            id=view.id,
            rack=view.instance.rack,
            capacity=view.capacity,
            committed=measure_commitment(shard, view),
            used=load,
            running=running,
        )
    for decision in placing:
        key = decision.key
        teams[key.team] = teams.get(key.team, none) + key.amount
        if state is not None:
            use = _predict_use(shard, key.batch_class, key.amount)
            placement.charge(state, key, use)
    return Charge(state, teams)


def _predict_use(
    shard: Shard, batch_class: str, amount: amounts.Amount
) -> amounts.Amount:
    estimate = shard.learned.get(batch_class)
    if estimate is None:
        return amount
    return estimates.predict_use(estimate, amount)


def _count_open(
    shard: Shard,
    view: WorkerView,
    state: placement.WorkerState,
    now: float,
) -> int:
    if not view.fenced or not view.reachable:
        return 0
    if not view.listed or view.instance.leaving:
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
    elsewhere: dict[str, amounts.Amount | None] = {}

    def measure_elsewhere(team: str) -> amounts.Amount | None:
        if team not in elsewhere:
            elsewhere[team] = _measure_elsewhere(shard, team)
        return elsewhere[team]

    def allows(key: placement.GroupKey) -> bool:
        quota = shard.configuration.find_quota(key.team)
        mine = used.get(key.team, none)
        measure = functools.partial(measure_elsewhere, key.team)
        return quotas.allows_start(settings, quota, mine, key.amount, measure)

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
        return _predict_use(shard, key.batch_class, key.amount)

    return placement.Judgement(allows, admit, predict_ratio, predict_use)


def _measure_elsewhere(shard: Shard, team: str) -> amounts.Amount | None:
    """Sums what a team runs in all other shards, as far as it is known."""
    started = shard.list_elsewhere()
    if started is None:
        return None
    total = amounts.Amount()
    for task in started:
        batch_class = find_class(shard, task)
        if batch_class is not None and batch_class.team == team:
            total += measure_task(shard, task)
    return total


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
    shard.changed.add(decision.worker)
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
