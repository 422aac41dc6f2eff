"""Runners whose capacity changes: what is charged, and what may start."""

import types

import anyio
import msgspec
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import recovery
from plantainvane.jobs import sessions
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes

pytestmark = pytest.mark.anyio
OUTCOME = interfaces.OrderOutcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


class ScriptedCalls:
    """Answers start orders from a script; `on_start` runs at each of them.

    `order` is the last one.
    """

    def __init__(self, *outcomes):
        self.outcomes, self.starts = list(outcomes), []
        self.on_start = lambda: None
        self.order = None

    async def start(self, order):
        self.order = order
        self.starts.append((order.task, order.attempt))
        self.on_start()
        return interfaces.StartReply(self.outcomes.pop(0))


class PolledCalls:
    """Answers polls from a script; `polled` is set after the last reply."""

    def __init__(self, *replies):
        self.replies, self.polled = list(replies), anyio.Event()

    async def poll(self, *unused):
        reply = self.replies.pop(0)
        if not self.replies:
            self.polled.set()
        return result.Ok(reply)


def change_capacity(runner, **amounts):
    """Replaces the capacity in the entry of a runner."""
    capacity = msgspec.structs.replace(runner.entry.capacity, **amounts)
    runner.entry = msgspec.structs.replace(runner.entry, capacity=capacity)


def make_placed(*outcomes, **fields):
    """Makes an owner with a task that is placed but not ordered yet."""
    runner = decisions.make_runner(cpu=4000, memory_mb=4000)
    runner.calls = ScriptedCalls(*outcomes)
    owner = passes.make_owner(runner)
    decisions.add_job(owner.table, decisions.make_step(**fields))
    (task,) = owner.table.ready.values()
    run = owner.table.begin_run(task, runner.entry.id, 1.0)
    runner.charge(run)
    return owner, runner, run


@pytest.mark.parametrize(
    "shrunk", [{"cpu": 999}, {"memory_mb": 999}, {"accelerators": -1}], ids=str
)
async def test_no_start_is_sent_after_the_capacity_has_shrunk(shrunk):
    # Guards against a start on a runner that shrank after the task was placed
    # there, while the attempt was being stored.
    owner, runner, run = make_placed(OUTCOME.DONE)
    change_capacity(runner, **shrunk)
    await orders._start_run(owner, run)
    assert runner.calls.starts == []
    assert runner.runs == {} and run.task.name in owner.table.ready


async def test_no_retry_is_sent_after_the_capacity_has_shrunk():
    # Guards against a retry that is carried out on a runner that shrank since
    # the first try. The first try may have started the attempt, so it stays
    # charged until its stop is answered.
    owner, runner, run = make_placed(OUTCOME.LOST, OUTCOME.DONE)
    runner.calls.on_start = lambda: change_capacity(runner, cpu=500)
    await orders._start_run(owner, run)
    assert len(runner.calls.starts) == 1
    assert run in runner.runs and run.phase is attempts.Phase.STOPPING
    assert passes.list_stopped(owner) == [run]


async def test_only_what_is_over_the_shrunk_capacity_is_held_back():
    # Guards against placed tasks that are all sent, or all held back, because
    # they are charged together.
    runner = decisions.make_runner(cpu=4000)
    runner.calls = ScriptedCalls(OUTCOME.DONE, OUTCOME.DONE)
    owner = passes.make_owner(runner)
    decisions.add_job(owner.table, decisions.make_step(count=4))
    runs = [
        owner.table.begin_run(task, "r", 1.0)
        for task in list(owner.table.ready.values())
    ]
    for run in runs:
        runner.charge(run)
    change_capacity(runner, cpu=2000)
    for run in runs:
        await orders._start_run(owner, run)
    assert len(runner.calls.starts) == 2
    assert (runner.cpu, len(owner.table.ready)) == (2000, 2)


@pytest.mark.parametrize("fills", [False, True])
@pytest.mark.parametrize(
    "shrunk", [{"cpu": 2999}, {"memory_mb": 2999}], ids=str
)
def test_nothing_is_placed_on_a_runner_over_its_capacity(shrunk, fills):
    # Guards against fill tasks, whose processors are not counted, and small
    # tasks that are added to a runner that is already over its capacity.
    runner = decisions.make_runner(cpu=4000, memory_mb=4000)
    owner = passes.make_owner(runner)
    decisions.place_runs(
        runner, owner.table, decisions.make_step(count=3, long_running=True)
    )
    decisions.add_job(
        owner.table, decisions.make_step(fills=fills, cpu=0, memory_mb=0)
    )
    change_capacity(runner, **shrunk)
    passes.scheduling.place_ready_tasks(owner, 2.0)
    assert passes.list_placed(owner) == []


def test_capacity_that_grew_back_is_used_by_the_next_pass():
    # Guards against a runner that stays shrunk for the scheduler.
    runner = decisions.make_runner(cpu=1000)
    owner = passes.make_owner(runner)
    decisions.add_job(owner.table, decisions.make_step(cpu=2000))
    passes.scheduling.place_ready_tasks(owner, 1.0)
    assert passes.list_placed(owner) == []
    change_capacity(runner, cpu=2000)
    passes.scheduling.place_ready_tasks(owner, 1.1)
    assert passes.list_placed(owner) == [("j.0.0.0", "r")]


def test_a_runner_that_shrinks_between_two_slices_drops_out():
    # Guards against scores of an earlier slice of the pass that outlive the
    # capacity from which they were computed.
    first, second = decisions.make_runner("a"), decisions.make_runner("b")
    owner = passes.make_owner(first, second)
    decisions.add_job(owner.table, decisions.make_step(count=8))
    current = passes.scheduling.Pass(1.0)
    current.begin_slice(owner.runners, 1.0)
    work = passes.scheduling.run_pass(owner, current)
    next(work)
    change_capacity(first, cpu=500)
    current.begin_slice(owner.runners, 1.01)
    for _ in work:
        pass
    runners = [run.runner for run in current.placed[1:]]
    assert runners == ["b"] * 7


@pytest.mark.parametrize(
    "outcome",
    [
        OUTCOME.UNHEALTHY,
        OUTCOME.NO_ROOM,
        OUTCOME.LATE,
        OUTCOME.INVALID,
        OUTCOME.NO_TICKET,
        OUTCOME.UNREACHED,
    ],
)
async def test_a_rejected_retry_does_not_settle_the_try_before_it(outcome):
    # Guards against a lost start order that is carried out after its resources
    # were released and its task was started elsewhere.
    owner, runner, run = make_placed(OUTCOME.LOST, outcome, outcome)
    await orders._start_run(owner, run)
    assert run in runner.runs and run.phase is attempts.Phase.STOPPING
    assert owner.table.ready == {}
    assert passes.list_stopped(owner) == [run]


@pytest.mark.parametrize(
    "outcome", [OUTCOME.UNHEALTHY, OUTCOME.NO_ROOM, OUTCOME.OTHER_INCARNATION]
)
async def test_a_rejected_start_is_released_at_once(outcome):
    # Guards against a task that waits for a stop although no order of its
    # start can still be carried out.
    owner, runner, run = make_placed(outcome)
    await orders._start_run(owner, run)
    assert runner.runs == {} and run.task.name in owner.table.ready


def make_status(*running, born_ms=1):
    """Makes the reply to a poll that reports (task, attempt) pairs."""
    return model.RunnerStatus(
        born_ms,
        1000,
        tuple(model.RunningAttempt(t, a, "", 0.0, 0.0) for t, a in running),
        (),
    )


def test_an_attempt_of_an_unknown_order_keeps_others_off_its_runner():
    # Guards against starts beside an attempt that this owner has not ordered:
    # it is being stopped, and until then it uses resources that are charged to
    # nobody.
    runner = decisions.make_runner()
    owner = passes.make_owner(runner)
    decisions.add_job(owner.table, decisions.make_step())
    sessions._apply_reply(owner, runner, make_status(("x.0.0.0", 1)), 1.0, 1.1)
    passes.scheduling.place_ready_tasks(owner, 1.2)
    assert passes.list_placed(owner) == []
    sessions._apply_reply(owner, runner, make_status(), 1.3, 1.4)
    passes.scheduling.place_ready_tasks(owner, 1.5)
    assert passes.list_placed(owner) == [("j.0.0.0", "r")]


async def test_no_start_is_sent_after_an_unknown_attempt_was_reported():
    # Guards against a task that was placed before the poll reported it.
    owner, runner, run = make_placed(OUTCOME.DONE)
    sessions._apply_reply(owner, runner, make_status(("x.0.0.0", 1)), 1.0, 1.1)
    await orders._start_run(owner, run)
    assert runner.calls.starts == []
    assert runner.runs == {} and run.task.name in owner.table.ready


def test_an_unknown_attempt_drops_its_runner_from_a_pass():
    # Guards against scores of an earlier slice that outlive the report.
    first, second = decisions.make_runner("a"), decisions.make_runner("b")
    owner = passes.make_owner(first, second)
    decisions.add_job(owner.table, decisions.make_step(count=8))
    current = passes.scheduling.Pass(1.0)
    current.begin_slice(owner.runners, 1.0)
    work = passes.scheduling.run_pass(owner, current)
    next(work)
    sessions._apply_reply(owner, first, make_status(("x.0.0.0", 1)), 1.0, 1.1)
    current.begin_slice(owner.runners, 1.1)
    for _ in work:
        pass
    assert [run.runner for run in current.placed[1:]] == ["b"] * 7


async def test_an_unknown_attempt_is_polled_until_it_has_ended():
    # Guards against an idle runner that stays unused for a whole idle wait
    # after the attempt has ended.
    runner = decisions.make_runner(clock_ms=1)
    owner = passes.make_owner(runner)
    owner.settings = msgspec.structs.replace(owner.settings, idle_poll_s=60.0)
    runner.calls = PolledCalls(make_status(("x.0.0.0", 1)), make_status())
    runner.fenced = False
    async with anyio.create_task_group() as group:
        group.start_soon(sessions.run_session, owner, runner)
        with anyio.fail_after(5.0):
            await runner.calls.polled.wait()
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert not runner.foreign


def make_entry_owner(*runners):
    """Makes an owner that reads entries as they are, without an adapter."""
    owner = passes.make_owner(*runners)
    owner.adapters = types.SimpleNamespace(
        decode_runner=lambda key, value: value,
        runners_topic="runners",
        connect_runner=lambda address, key: None,
    )
    return owner


def test_nothing_starts_on_a_new_incarnation_before_its_entry_is_read():
    # Guards against starts that go by the capacity and the labels of the
    # incarnation before; the new one may be smaller.
    runner = decisions.make_runner()
    owner = make_entry_owner(runner)
    decisions.add_job(owner.table, decisions.make_step(count=8))
    status = make_status(born_ms=2)
    sessions._apply_reply(owner, runner, status, 1.0, 1.1)
    passes.scheduling.place_ready_tasks(owner, 1.2)
    assert passes.list_placed(owner) == []
    small = model.Amounts(2000, 64_000)
    entry = msgspec.structs.replace(runner.entry, born_ms=2, capacity=small)
    recovery._apply_entry(owner, "r", entry)
    passes.scheduling.place_ready_tasks(owner, 1.3)
    # It has not answered a poll with its own token yet.
    assert passes.list_placed(owner) == []
    sessions._apply_reply(owner, runner, status, 1.4, 1.5)
    passes.scheduling.place_ready_tasks(owner, 1.6)
    assert len(passes.list_placed(owner)) == 2


async def test_no_retry_reaches_a_new_incarnation_before_its_entry_is_read():
    # Guards against the retry of an order that goes by an old capacity.
    owner, runner, run = make_placed(OUTCOME.LOST, OUTCOME.DONE)
    run.ordered_at = 9.9
    status = make_status(born_ms=2)
    runner.calls.on_start = lambda: sessions._apply_reply(
        owner, runner, status, 10.0, 10.1
    )
    await orders._start_run(owner, run)
    assert len(runner.calls.starts) == 1


def test_a_change_of_capacity_is_logged_with_what_is_charged(monkeypatch):
    # Guards against a runner that gets no starts for a reason that no log line
    # shows. Entries are rewritten every second, mostly without a change.
    lines = []
    monkeypatch.setattr(
        recovery.events,
        "log_event",
        lambda event, **fields: lines.append((event.name, fields)),
    )
    runner = decisions.make_runner(cpu=4000, memory_mb=4000)
    owner = make_entry_owner(runner)
    decisions.place_runs(runner, owner.table, decisions.make_step(count=3))
    recovery._apply_entry(owner, "r", runner.entry)
    assert lines == []
    for cpu in (2000, 2000, 4000):
        capacity = model.Amounts(cpu, 4000)
        entry = msgspec.structs.replace(runner.entry, capacity=capacity)
        recovery._apply_entry(owner, "r", entry)
    assert [
        (name, f["before_cpu"], f["cpu"], f["charged_cpu"], f["exceeded"])
        for name, f in lines
    ] == [
        ("runner_capacity_changed", 4000, 2000, 3000, True),
        ("runner_capacity_changed", 2000, 4000, 3000, False),
    ]


def test_a_change_of_capacity_requests_a_pass():
    # Guards against tasks that wait for the next pass by the clock although
    # their runner has grown.
    runner = decisions.make_runner()
    owner = make_entry_owner(runner)
    capacity = model.Amounts(32_000, 64_000)
    entry = msgspec.structs.replace(runner.entry, capacity=capacity)
    recovery._apply_entry(owner, "r", runner.entry)
    assert not owner.pass_requested.is_set()
    recovery._apply_entry(owner, "r", entry)
    assert owner.pass_requested.is_set()


def test_nothing_is_stopped_because_its_runner_has_shrunk():
    # Guards against lost work and interrupted services: the users count starts
    # over the capacity, not attempts that were there before, and the capacity
    # may grow back within seconds.
    runner = decisions.make_runner(cpu=4000)
    owner = make_entry_owner(runner)
    decisions.place_runs(
        runner,
        owner.table,
        decisions.make_step(long_running=True),
        decisions.make_step(fills=True, checkpointing=True),
        decisions.make_step(checkpointing=True, count=2),
    )
    capacity = model.Amounts(500, 500)
    entry = msgspec.structs.replace(runner.entry, capacity=capacity)
    recovery._apply_entry(owner, "r", entry)
    passes.scheduling.place_ready_tasks(owner, 2.0)
    assert passes.list_stopped(owner) == []


def test_an_urgent_task_preempts_what_is_over_a_shrunk_capacity_too():
    # Guards against a preemption that frees the amount of the task only, after
    # which the task still does not fit.
    runner = decisions.make_runner(cpu=4000)
    owner = passes.make_owner(runner, queue=passes.URGENT)
    runs = decisions.place_runs(
        runner, owner.table, decisions.make_step(count=4, checkpointing=True)
    )
    change_capacity(runner, cpu=2000)
    decisions.add_job(
        owner.table, decisions.make_step(), job_id="u", queue=passes.URGENT
    )
    passes.scheduling.place_ready_tasks(owner, 2.0)
    assert passes.list_placed(owner) == []
    assert passes.list_stopped(owner) == runs[:3]


def test_an_old_entry_does_not_bring_an_old_capacity_back():
    # Guards against starts by the capacity of the incarnation before: a poll
    # has told of the new one, and an entry that the earlier one wrote is read
    # late, as after an outage of the log.
    runner = decisions.make_runner()
    owner = make_entry_owner(runner)
    old_entry = runner.entry
    decisions.add_job(owner.table, decisions.make_step(count=8))
    status = make_status(born_ms=2)
    sessions._apply_reply(owner, runner, status, 1.0, 1.1)
    recovery._apply_entry(owner, "r", old_entry)
    sessions._apply_reply(owner, runner, status, 1.2, 1.3)
    passes.scheduling.place_ready_tasks(owner, 1.4)
    assert passes.list_placed(owner) == []
    small = model.Amounts(2000, 64_000)
    entry = msgspec.structs.replace(old_entry, born_ms=2, capacity=small)
    recovery._apply_entry(owner, "r", entry)
    sessions._apply_reply(owner, runner, status, 1.5, 1.6)
    passes.scheduling.place_ready_tasks(owner, 1.7)
    assert len(passes.list_placed(owner)) == 2


@pytest.mark.parametrize(
    ("shrunk", "fields"),
    [
        # A fill task does not fit on a runner that is over its processors.
        ({"cpu": 1500, "memory_mb": 4000}, {"fills": True}),
        # Nor where it would use the memory that fill tasks leave free.
        ({"memory_mb": 4300}, {"fills": True}),
        # Nothing fits on a runner that is over its accelerators.
        ({"memory_mb": 4000, "accelerators": -1}, {}),
    ],
    ids=["processors", "reserve", "accelerators"],
)
def test_nothing_is_preempted_for_a_task_that_still_does_not_fit(
    shrunk, fields
):
    # Guards against work that is stopped again and again for nothing: the task
    # found no room by one rule, and victims were counted by another. What is
    # over the processors or accelerators here is long-running, so no victim
    # frees it.
    runner = decisions.make_runner(cpu=8000, memory_mb=8000)
    owner = passes.make_owner(runner, queue=passes.URGENT)
    long_running = decisions.make_step(
        count=2, memory_mb=500, long_running=True
    )
    victim = decisions.make_step(fills=True, checkpointing=True, memory_mb=3000)
    decisions.place_runs(runner, owner.table, long_running, victim)
    change_capacity(runner, **shrunk)
    decisions.add_job(
        owner.table,
        decisions.make_step(memory_mb=3000, **fields),
        job_id="u",
        queue=passes.URGENT,
    )
    passes.scheduling.place_ready_tasks(owner, 2.0)
    assert passes.list_placed(owner) == []
    assert passes.list_stopped(owner) == []


def test_accelerators_are_preempted_if_that_makes_the_task_fit():
    # Guards against an urgent task that waits behind less urgent ones which
    # hold the accelerators that it needs.
    runner = decisions.make_runner(cpu=8000)
    change_capacity(runner, accelerators=1)
    owner = passes.make_owner(runner, queue=passes.URGENT)
    step = decisions.make_step()
    accelerated = msgspec.structs.replace(
        step, amounts=model.Amounts(1000, 1000, 1)
    )
    plain, held = decisions.place_runs(runner, owner.table, step, accelerated)
    decisions.add_job(owner.table, accelerated, job_id="u", queue=passes.URGENT)
    passes.scheduling.place_ready_tasks(owner, 2.0)
    assert passes.list_stopped(owner) == [held]


class SlowStore:
    """Answers each read after a time, unless the reader has given up."""

    def __init__(self, latency_s, page):
        self.latency_s, self.page, self.answered = latency_s, page, 0

    async def read(self, topic, offset, wait_s, timeout_s):
        if timeout_s < self.latency_s:
            await anyio.sleep(0)
            failure = outcomes.CallFailure.LOST
            return result.Err(outcomes.CallError(failure, "time-out"))
        self.answered += 1
        return result.Ok(self.page)


async def test_a_capacity_is_read_while_the_log_is_slow():
    # Guards against starts that go by an old capacity for as long as the log is
    # slow: appends wait longer then, so starts are stored and ordered, while
    # each read of the entries times out.
    runner = decisions.make_runner()
    owner = make_entry_owner(runner)
    small = model.Amounts(2000, 64_000)
    entry = msgspec.structs.replace(runner.entry, capacity=small)
    page = interfaces.Page(((7, "r", entry),), 8, 8)
    store = owner.adapters.store = SlowStore(1.0, page)
    owner.settings = msgspec.structs.replace(
        owner.settings, runner_list_poll_s=0.0
    )
    owner.health.latency_s = 0.9
    async with anyio.create_task_group() as group:
        group.start_soon(recovery.follow_runners, owner)
        for _ in range(20):
            await anyio.sleep(0)
        group.cancel_scope.cancel()
    assert store.answered > 0
    assert runner.entry.capacity == small
    store.page = interfaces.Page((), 8, 8)
    assert await recovery.read_jobs(owner, 0)


def test_an_old_entry_ends_nothing_after_the_time_of_day_was_set_back():
    # Guards against a second copy of a task: the new incarnation, whose clock
    # was set back, has carried out a start late, and an entry that the earlier
    # one wrote is read after the poll that lists the attempt. It looks newer.
    runner = decisions.make_runner()
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=100)
    owner = make_entry_owner(runner)
    old_entry = runner.entry
    state = decisions.add_job(owner.table, decisions.make_step())
    task = state.steps[0, 0].tasks[0]
    run = owner.table.begin_run(task, "r", 1.0)
    runner.charge(run)
    status = make_status((task.name, run.attempt), born_ms=50)
    sessions._apply_reply(owner, runner, status, 1.0, 1.1)
    assert run.reported
    recovery._apply_entry(owner, "r", old_entry)
    assert task.runs == [run]
    sessions._apply_reply(owner, runner, status, 1.2, 1.3)
    assert task.runs == [run]
    assert not runner.listed
    newer = msgspec.structs.replace(old_entry, born_ms=150)
    recovery._apply_entry(owner, "r", newer)
    assert task.runs == [run]
    sessions._apply_reply(owner, runner, make_status(born_ms=150), 1.4, 1.5)
    assert not task.runs
