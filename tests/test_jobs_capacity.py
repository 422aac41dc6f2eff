"""Runners whose capacity changes: what is charged, and what may start."""

import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import orders
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes

pytestmark = pytest.mark.anyio
OUTCOME = interfaces.OrderOutcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


class ScriptedCalls:
    """Answers start orders from a script; `on_start` runs at each of them."""

    def __init__(self, *outcomes):
        self.outcomes, self.starts = list(outcomes), []
        self.on_start = lambda: None

    async def start(self, order):
        self.starts.append((order.task, order.attempt))
        self.on_start()
        return self.outcomes.pop(0)


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
