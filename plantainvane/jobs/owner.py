"""The owner of the jobs: state, recovery and the loops that schedule.

Only one process is the owner of an epoch. It keeps the book, charges the
runners, stores progress before it acts on it, and stops as soon as it learns
of a higher epoch.
"""

from collections.abc import Callable
import dataclasses
import enum

import anyio
import anyio.abc
import msgspec

from plantainvane import events
from plantainvane.jobs import book as book_module
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import interference
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import sessions
from plantainvane.jobs import settings as settings_module

JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
# Key of the learned effects in the topic of progress; no id of a job is like
# it.
_LEARNED_KEY = "learned"
_PRODUCER = "owner"

_JOB = msgspec.json.Decoder(model.Job)
_PROGRESS = msgspec.json.Decoder(model.JobProgress)
_EFFECTS = msgspec.json.Decoder(list[tuple[str, str, float]])
_ENCODER = msgspec.json.Encoder()

# Coalesces the events of one instant into one pass.
_PASS_GAP_S = 0.004
# Work that becomes due by time alone is looked for this often.
_PASS_LIMIT_S = 0.25
_SWEEP_S = 1.0
# Learned effects are stored this often, for a successor.
_LEARNED_S = 2.0
# Estimates are off by half, so a job counts as late only this share of its
# objective after its latest start.
_ESTIMATE_SLACK = 0.25
# A filling task that was slowed this long is moved if it can be; a move costs
# the time to stop and restore it, 1 s here.
_MOVE_AFTER_S = 0.9
_MOVE_GAP_S = 0.25
_MOVES_AT_ONCE = 3
# The first looks after a takeover; a runner that is later is in doubt.
_FIRST_LOOKS_S = 0.6


class _Turn(enum.IntEnum):
    """Order of tasks of one priority.

    A task that can still be in time goes before one that occupies its room
    for long; a late job earns little, and one past three objectives nothing.
    """

    IN_TIME = 0
    LASTING = 1
    LATE = 2
    HOPELESS = 3


@dataclasses.dataclass(slots=True, eq=False)
class Owner:
    """State of the owner of one epoch.

    Attributes:
      epoch: Offset of the claim; the fencing token at the runners.
      started_at: When the claim was won.
      recovered: Stored state is loaded and runners have been fenced.
      lost: Set when a higher epoch was seen.
      doubts: Attempts on runners that are not listed, by runner id.
      tail_offset: Where the next read of the jobs topic starts.
    """

    settings: settings_module.Settings
    surroundings: interfaces.Surroundings
    epoch: int
    health: journal_module.Health
    get_configuration: Callable[[], model.Configuration | None]
    started_at: float
    book: book_module.Book
    journal: journal_module.Journal
    group: anyio.abc.TaskGroup
    runners: dict[str, runners_module.Runner] = dataclasses.field(
        default_factory=dict
    )
    doubts: dict[str, list[book_module.Run]] = dataclasses.field(
        default_factory=dict
    )
    progress: dict[str, model.JobProgress] = dataclasses.field(
        default_factory=dict
    )
    queues: dict[str, model.Queue] = dataclasses.field(default_factory=dict)
    learned: interference.Interference = dataclasses.field(
        default_factory=interference.Interference
    )
    recovered: bool = False
    draining: bool = False
    lost: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    next_move_at: float = 0.0
    next_learned_at: float = 0.0
    tail_offset: int = 0
    list_offset: int = 0
    tickets: dict[tuple[str, str], tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    advising: set[str] = dataclasses.field(default_factory=set)
    encoded: list[tuple[book_module.JobState, str]] = dataclasses.field(
        default_factory=list
    )

    def lose(self, reason: str) -> None:
        """Notes that another process is the owner."""
        if not self.lost.is_set():
            events.log_event(
                events.OWNER_FENCED, epoch=self.epoch, reason=reason
            )
            self.lost.set()

    def poke(self) -> None:
        """Asks for a scheduling pass."""
        self.wake.set()


async def run_owner(
    settings: settings_module.Settings,
    surroundings: interfaces.Surroundings,
    epoch: int,
    health: journal_module.Health,
    get_configuration: Callable[[], model.Configuration | None],
    announce: Callable[[Owner], None],
) -> None:
    """Works as the owner of `epoch` until it is lost or cancelled."""
    book = book_module.Book()
    journal = journal_module.Journal(
        settings,
        surroundings.store,
        health,
        PROGRESS_TOPIC,
        _PRODUCER,
        epoch,
    )
    async with anyio.create_task_group() as group:
        owner = Owner(
            settings,
            surroundings,
            epoch,
            health,
            get_configuration,
            clock.read_now(),
            book,
            journal,
            group,
        )
        journal.collect = lambda: _collect_progress(owner)
        journal.on_stored = lambda: _note_stored(owner)
        announce(owner)
        group.start_soon(_work, owner)
        await owner.lost.wait()
        group.cancel_scope.cancel()
    for runner in owner.runners.values():
        await runner.calls.aclose()


async def _work(owner: Owner) -> None:
    if not await owner.journal.open_epoch():
        owner.lose("log")
        return
    await _recover(owner)
    owner.group.start_soon(_run_journal, owner)
    owner.group.start_soon(_follow_jobs, owner)
    owner.group.start_soon(_follow_runners, owner)
    with anyio.move_on_after(_FIRST_LOOKS_S):
        while any(not r.fenced for r in owner.runners.values()):
            await anyio.sleep(0.01)
    owner.recovered = True
    now = clock.read_now()
    metrics.TAKEOVER_SECONDS.observe(now - owner.started_at)
    events.log_event(
        events.OWNER_RECOVERED,
        epoch=owner.epoch,
        took_s=round(now - owner.started_at, 3),
        jobs=len(owner.book.jobs),
        open_tasks=len(owner.book.tasks),
        runners=len(owner.runners),
        unreached=sum(not r.fenced for r in owner.runners.values()),
        in_doubt=sum(map(len, owner.doubts.values())),
    )
    owner.group.start_soon(_sweep, owner)
    await _schedule(owner)


async def _run_journal(owner: Owner) -> None:
    await owner.journal.run()
    owner.lose("log")


def _collect_progress(owner: Owner) -> list[journal_module.Record]:
    owner.encoded = [
        (state, state.ended) for state in owner.book.changed.values()
    ]
    owner.book.changed.clear()
    return [
        (state.job.id, _ENCODER.encode(book_module.make_progress(state)))
        for state, _ in owner.encoded
    ]


def _note_stored(owner: Owner) -> None:
    for state, ended in owner.encoded:
        if ended and not state.stored_ended:
            state.stored_ended = ended
            metrics.JOBS_ENDED.labels(ended).inc()
            events.log_event(
                events.JOB_ENDED,
                job=state.job.id,
                queue=state.job.queue,
                outcome=ended,
                epoch=owner.epoch,
                late_s=round(clock.read_now() - state.deadline, 3),
            )


async def _list_newest(owner: Owner, topic: str) -> interfaces.Page:
    while True:
        page = await owner.surroundings.store.list_newest(
            topic, owner.settings.store_timeout_max_s
        )
        now = clock.read_now()
        if page.is_ok():
            owner.health.note_answer(owner.health.latency_s, now)
            return page.ok_value
        owner.health.note_failure(page.err_value.detail, now)
        await anyio.sleep(owner.settings.store_retry_s)


async def _recover(owner: Owner) -> None:
    """Loads what earlier owners stored."""
    page = await _list_newest(owner, PROGRESS_TOPIC)
    for _, key, value in page.records:
        if value is not None:
            _load_progress(owner, key, value)
    page = await _list_newest(owner, JOBS_TOPIC)
    owner.tail_offset = page.end_offset
    for _, key, value in page.records:
        _add_job(owner, key, value)
    page = await _list_newest(owner, owner.surroundings.runners_topic)
    owner.list_offset = page.end_offset
    for _, key, value in page.records:
        _apply_entry(owner, key, value)
    _charge_recovered(owner)


def _load_progress(owner: Owner, key: str, value: bytes) -> None:
    try:
        if key == _LEARNED_KEY:
            effects = _EFFECTS.decode(value)
            owner.learned.import_effects(effects, clock.read_now())
        else:
            owner.progress[key] = _PROGRESS.decode(value)
    except msgspec.DecodeError as error:
        _report_record(PROGRESS_TOPIC, key, error)


def _report_record(topic: str, key: str, error: Exception) -> None:
    events.log_event(
        events.RECORD_UNDECODABLE, stream=topic, key=key, error=str(error)
    )


def _charge_recovered(owner: Owner) -> None:
    """Charges stored attempts to their runners until a look shows more."""
    for state in owner.book.jobs.values():
        for entry in state.steps.values():
            for task in entry.tasks:
                for run in task.runs:
                    _charge_run(owner, run)


def _charge_run(owner: Owner, run: book_module.Run) -> None:
    runner = owner.runners.get(run.runner)
    if runner is None:
        owner.doubts.setdefault(run.runner, []).append(run)
    else:
        runner.charge(run)


def _find_queue(owner: Owner, name: str) -> model.Queue | None:
    configuration = owner.get_configuration()
    for queue in configuration.queues if configuration else ():
        if queue.name == name:
            owner.queues[name] = queue
            return queue
    return owner.queues.get(name)


def _add_job(owner: Owner, key: str, value: bytes | None) -> None:
    if value is None or key in owner.book.jobs:
        return
    try:
        job = _JOB.decode(value)
    except msgspec.DecodeError as error:
        _report_record(JOBS_TOPIC, key, error)
        return
    queue = _find_queue(owner, job.queue) or model.Queue(
        job.queue, "", "", job.service, priority=9, attempts=3
    )
    now = clock.read_now()
    wall_ms = clock.read_wall_ms()
    state = owner.book.add_job(
        job, queue, owner.progress.get(key), now, wall_ms
    )
    events.log_event(
        events.JOB_LOADED,
        job=job.id,
        queue=job.queue,
        tasks=sum(step.count for step in job.steps),
        age_ms=wall_ms - job.accepted_ms,
        state=book_module.describe_state(state),
        epoch=owner.epoch,
    )
    owner.poke()


async def read_jobs(owner: Owner, wait_s: float) -> bool:
    """Reads new jobs once; tells whether the log answered."""
    started = clock.read_now()
    page = await owner.surroundings.store.read(
        JOBS_TOPIC, owner.tail_offset, wait_s, owner.settings.store_timeout_s
    )
    now = clock.read_now()
    if page.is_err():
        owner.health.note_failure(page.err_value.detail, now)
        return False
    owner.health.note_answer(min(now - started, owner.health.latency_s), now)
    if page.ok_value.expired:
        newest = await _list_newest(owner, JOBS_TOPIC)
        for _, key, value in newest.records:
            _add_job(owner, key, value)
        owner.tail_offset = max(owner.tail_offset, newest.end_offset)
        return True
    for _, key, value in page.ok_value.records:
        _add_job(owner, key, value)
    owner.tail_offset = max(owner.tail_offset, page.ok_value.next_offset)
    return True


async def _follow_jobs(owner: Owner) -> None:
    while True:
        if not await read_jobs(owner, owner.settings.read_wait_s):
            await anyio.sleep(owner.settings.store_retry_s)


async def _follow_runners(owner: Owner) -> None:
    """Polls the list of runners; each poll brings many heartbeats at once."""
    topic = owner.surroundings.runners_topic
    while True:
        await anyio.sleep(owner.settings.runner_poll_s)
        page = await owner.surroundings.store.read(
            topic, owner.list_offset, 0, owner.settings.store_timeout_s
        )
        now = clock.read_now()
        if page.is_err():
            owner.health.note_failure(page.err_value.detail, now)
            continue
        owner.health.note_answer(owner.health.latency_s, now)
        found = page.ok_value
        if found.expired:
            found = await _list_newest(owner, topic)
            _remove_unlisted(owner, {key for _, key, _ in found.records})
            owner.list_offset = found.end_offset
        else:
            owner.list_offset = max(owner.list_offset, found.next_offset)
        for _, key, value in found.records:
            _apply_entry(owner, key, value)


def _remove_unlisted(owner: Owner, listed: set[str]) -> None:
    for key in owner.runners:
        if key not in listed:
            _apply_entry(owner, key, None)


def _apply_entry(owner: Owner, key: str, value: bytes | None) -> None:
    runner = owner.runners.get(key)
    if value is None:
        if runner is not None and runner.listed:
            runner.listed = False
            events.log_event(
                events.RUNNER_UNLISTED, runner=key, runs=len(runner.runs)
            )
        return
    entry = owner.surroundings.decode_runner(key, value)
    if entry is None:
        return
    now = clock.read_now()
    if runner is None or runner.entry.address != entry.address:
        _add_runner(owner, entry, runner, now)
        return
    if entry.born_ms < runner.entry.born_ms:
        return
    if entry.draining and not runner.entry.draining:
        events.log_event(
            events.RUNNER_DRAINING, runner=key, runs=len(runner.runs)
        )
    reborn = entry.born_ms > runner.entry.born_ms
    runner.entry, runner.listed = entry, True
    if reborn:
        sessions.begin_life(owner, runner, entry.born_ms, now)


def _add_runner(
    owner: Owner,
    entry: model.RunnerEntry,
    earlier: runners_module.Runner | None,
    now: float,
) -> None:
    runner = runners_module.Runner(
        entry,
        owner.surroundings.connect_runner(entry.address, entry.id),
        runners_module.find_rack(entry.labels),
    )
    runner.note_clock(entry.clock_ms, now)
    runner.answered_at = now
    if earlier is not None:
        # The life at the old address keeps its attempts until they expire.
        earlier.listed = False
        for run in list(earlier.runs):
            runner.charge(run)
    owner.runners[entry.id] = runner
    for run in owner.doubts.pop(entry.id, []):
        if run in run.task.runs:
            runner.charge(run)
    events.log_event(
        events.RUNNER_ADDED,
        runner=entry.id,
        address=entry.address,
        domain=entry.domain,
        cpu=entry.room.cpu,
    )
    owner.group.start_soon(sessions.attend_runner, owner, runner)


async def _sweep(owner: Owner) -> None:
    """Frees attempts in doubt, stops what ended, forgets old jobs."""
    settings = owner.settings
    # An earlier owner that is cut off from the log may renew leases for this
    # long, and a lease lasts this much longer.
    doubt_s = settings.unconfirmed_limit_s + settings.lease_s * 1.05
    while True:
        await anyio.sleep(_SWEEP_S)
        now = clock.read_now()
        if now - owner.started_at > doubt_s:
            for runs in owner.doubts.values():
                for run in runs:
                    owner.book.drop_run(run, now)
            owner.doubts.clear()
        if now - owner.health.answered_at > settings.unconfirmed_limit_s:
            owner.lose("log silent")
        _forget_jobs(owner)
        _store_learned(owner, now)
        owner.poke()


def _store_learned(owner: Owner, now: float) -> None:
    if now < owner.next_learned_at:
        return
    owner.next_learned_at = now + _LEARNED_S
    effects = owner.learned.export_effects(now)
    if effects:
        owner.journal.add([(_LEARNED_KEY, _ENCODER.encode(effects))])


def _forget_jobs(owner: Owner) -> None:
    limit_ms = clock.read_wall_ms() - 1.5 * owner.settings.status_s * 1000
    old = [
        state
        for state in owner.book.jobs.values()
        if state.stored_ended and state.ended_ms < limit_ms
    ]
    for state in old:
        owner.book.forget_job(state.job.id)
        owner.progress.pop(state.job.id, None)
        owner.journal.add([(state.job.id, None)])


async def _schedule(owner: Owner) -> None:
    while True:
        with anyio.move_on_after(_PASS_LIMIT_S):
            await owner.wake.wait()
        await anyio.sleep(_PASS_GAP_S)
        owner.wake = anyio.Event()
        _stop_ended(owner)
        if not owner.draining:
            now = clock.read_now()
            _place_ready(owner, now)
            _move_slowed(owner, now)


def _stop_ended(owner: Owner) -> None:
    runs, owner.book.to_stop = owner.book.to_stop, []
    for run in runs:
        orders.stop_run(owner, run, "job ended")


def _place_ready(owner: Owner, now: float) -> None:
    """Starts what fits, most urgent first."""
    if not owner.book.ready:
        return
    placed: list[book_module.Run] = []
    by_service: dict[str, list[runners_module.Runner]] = {}
    for runner in owner.runners.values():
        by_service.setdefault(runner.entry.service, []).append(runner)
    blocked: set[int] = set()
    tasks = [
        task
        for task in owner.book.ready.values()
        if task.retry_at <= now and task.step.due <= now
    ]
    tasks.sort(key=lambda task: _rank_task(task, now))
    for task in tasks:
        if id(task.step) in blocked or task.name not in owner.book.ready:
            continue
        queue = _find_queue(owner, task.job.job.queue) or task.job.queue
        task.job.queue = queue
        candidates = by_service.get(queue.service, [])
        if task.step.step.gang:
            runs = _place_gang(owner, task.step, candidates, now)
            blocked.add(id(task.step))
        else:
            runs = _place_task(owner, task, candidates, now)
        if not runs:
            blocked.add(id(task.step))
        placed.extend(runs)
    if placed:
        owner.group.start_soon(orders.start_runs, owner, placed)


def _move_slowed(owner: Owner, now: float) -> None:
    """Stops slowed fills that could work at full speed elsewhere."""
    if now < owner.next_move_at:
        return
    owner.next_move_at = now + _MOVE_GAP_S
    moved = 0
    for runner in owner.runners.values():
        for run in list(runner.runs):
            step = run.task.step.step
            if (
                not step.fills
                or not step.checkpointing
                or run.phase is not book_module.Phase.RUNNING
                or run.slowed_since is None
                or now - run.slowed_since < _MOVE_AFTER_S
            ):
                continue
            candidates = [
                other
                for other in owner.runners.values()
                if other.entry.service == runner.entry.service
            ]
            if placement.find_quieter(run, candidates, owner.learned, now):
                run.task.avoid = (*run.task.avoid[-3:], run.runner)
                orders.stop_run(owner, run, "moves to a quieter runner")
                moved += 1
                if moved >= _MOVES_AT_ONCE:
                    return


def _rank_task(
    task: book_module.Task, now: float
) -> tuple[int, _Turn, float, str]:
    """Order of starts: by priority, then by what a start still earns."""
    job, step = task.job, task.step
    due = job.deadline - step.tail_s
    if step.step.long_running:
        turn, due = _Turn.LASTING, task.ready_since
    elif now > due + 2 * job.objective_s:
        turn = _Turn.HOPELESS
    elif now > due + _ESTIMATE_SLACK * job.objective_s:
        turn = _Turn.LATE
    else:
        turn = _Turn.IN_TIME
    return job.queue.priority, turn, due, task.name


def _place_task(
    owner: Owner,
    task: book_module.Task,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[book_module.Run]:
    if task.job.queue.advice is not None:
        candidates = orders.filter_advised(owner, task.step, candidates, now)
    runner = placement.choose_runner(task, candidates, owner.learned, now)
    if runner is None:
        for run in placement.find_victims(task, candidates, now):
            orders.stop_run(owner, run, f"makes room for {task.name}")
        return []
    return [_begin_run(owner, task, runner, now)]


def _begin_run(
    owner: Owner,
    task: book_module.Task,
    runner: runners_module.Runner,
    now: float,
) -> book_module.Run:
    run = owner.book.begin_run(task, runner.entry.id, now)
    runner.charge(run)
    return run


def _place_gang(
    owner: Owner,
    step: book_module.StepState,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[book_module.Run]:
    """Places all members or none; they share the number of the attempt."""
    if any(task.runs for task in step.tasks):
        return []
    if step.job.queue.advice is not None:
        candidates = orders.filter_advised(owner, step, candidates, now)
    groups = [candidates]
    if step.step.same_rack:
        racks: dict[str, list[runners_module.Runner]] = {}
        for runner in candidates:
            racks.setdefault(runner.rack, []).append(runner)
        groups = [*racks.values(), candidates]
    for group in groups:
        runs = _try_gang(owner, step, group, now)
        if runs:
            return runs
    return []


def _try_gang(
    owner: Owner,
    step: book_module.StepState,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[book_module.Run]:
    runs: list[book_module.Run] = []
    attempt = max(task.attempt for task in step.tasks)
    before = [task.attempt for task in step.tasks]
    checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
    for task in step.tasks:
        runner = placement.choose_runner(task, candidates, owner.learned, now)
        if runner is None:
            break
        task.attempt, task.checkpoint = attempt, checkpoint
        runs.append(_begin_run(owner, task, runner, now))
    if len(runs) == len(step.tasks):
        return runs
    for run in runs:
        owner.runners[run.runner].charge(run, -1)
        owner.book.drop_run(run, now)
    for task, number in zip(step.tasks, before, strict=True):
        task.attempt = number
    return []
