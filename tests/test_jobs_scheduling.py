"""Scheduling passes: what starts where, in which order, and what moves."""

import random as random_module
import types

import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import eligibility
from plantainvane.jobs import interference
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import placement
from plantainvane.jobs import reservations
from plantainvane.jobs import scheduling
from plantainvane.jobs import state as state_module
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions

URGENT = model.Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeGroup:
    """Records the calls that a task group would run in the background."""

    def __init__(self):
        self.started = []

    def start_soon(self, function, *arguments):
        self.started.append((function.__name__, arguments))


def make_owner(*runners, queue=decisions.QUEUE):
    configuration = model.Configuration(1, (queue,))
    health = journal_module.Health(answered_at=float("inf"))
    owner = state_module.Owner(
        decisions.SETTINGS,
        None,
        5,
        health,
        lambda: configuration,
        0.0,
        table_module.JobTable(),
        journal_module.Journal(
            decisions.SETTINGS, None, health, "topic", "producer", 5
        ),
        FakeGroup(),
    )
    for runner in runners:
        runner.answered_at = 1.0
        owner.runners[runner.entry.id] = runner
    return owner


def list_placed(owner):
    """Returns task name and runner of every ordered attempt, in order."""
    return [
        (run.task.name, run.runner)
        for name, arguments in owner.group.started
        if name == "start_runs"
        for run in arguments[1]
    ]


def take_placed(owner):
    """Returns the ordered attempts, and forgets the orders."""
    started, owner.group.started = owner.group.started, []
    return [
        run
        for name, arguments in started
        if name == "start_runs"
        for run in arguments[1]
    ]


def run_slices(owner, now):
    """Runs a whole pass at one time."""
    current = scheduling.begin_pass(owner, now)
    current.begin_slice(owner.runners, now)
    for _ in scheduling.run_pass(owner, current):
        pass
    scheduling.start_placed(owner, current)
    scheduling.end_pass(owner, current)


def list_stopped(owner):
    return [
        arguments[1]
        for name, arguments in owner.group.started
        if name == "_send_stop"
    ]


def test_tasks_start_by_priority_and_then_by_urgency():
    # Guards against late tasks that take the resources of tasks that can still
    # be in time, and against services that wait behind late tasks.
    owner = make_owner(decisions.make_runner(cpu=1000))
    step = decisions.make_step(cpu=1000)
    service_step = decisions.make_step(cpu=1000, long_running=True)
    for job_id, deadline, added in (
        ("late", -10.0, step),
        ("soon", 6.0, step),
        ("later", 9.0, step),
        ("lasting", 0.0, service_step),
    ):
        job = decisions.add_job(owner.table, added, job_id=job_id)
        job.deadline = deadline
    order = []
    for now in (1.0, 1.1, 1.2, 1.3):
        scheduling.place_ready_tasks(owner, now)
        name, _ = list_placed(owner)[-1]
        order.append(name.partition(".")[0])
        (run,) = owner.table.find_task(name).runs
        owner.runners["r"].charge(run, -1)
        owner.table.end_run(run, "done", "", now, 0)
        owner.table.ready.pop(name, None)
    assert order == ["soon", "later", "lasting", "late"]


def test_urgent_queue_goes_first_and_preempts():
    # Guards against an urgent job that waits until less urgent ones end.
    runner = decisions.make_runner(cpu=2000)
    owner = make_owner(runner, queue=URGENT)
    running = decisions.place_runs(
        runner, owner.table, decisions.make_step(cpu=2000, checkpointing=True)
    )
    decisions.add_job(
        owner.table,
        decisions.make_step(cpu=2000),
        job_id="urgent",
        queue=URGENT,
    )
    # The running job was accepted by a queue of priority 2.
    scheduling.place_ready_tasks(owner, 1.0)
    assert list_placed(owner) == []
    assert list_stopped(owner) == running
    assert running[0].phase is attempts.Phase.STOPPING


@pytest.mark.parametrize(("limit", "stopped"), [(1, 0), (2, 1)])
def test_nothing_is_preempted_where_a_step_is_at_its_limit(limit, stopped):
    # Guards against attempts that are stopped, in each pass again, for a task
    # that may not start on their runner.
    runner = decisions.make_runner("a", cpu=2000)
    owner = make_owner(runner, queue=URGENT)
    decisions.place_runs(runner, owner.table, decisions.make_step(cpu=1000))
    step = decisions.make_step(count=2, cpu=1000, max_per_runner=limit)
    decisions.add_job(owner.table, step, job_id="urgent", queue=URGENT)
    scheduling.place_ready_tasks(owner, 1.0)
    assert list_placed(owner) == [("urgent.0.0.0", "a")]
    assert len(list_stopped(owner)) == stopped


def test_gang_starts_as_a_whole_with_one_attempt_number():
    # Guards against gang members that occupy resources while they wait for
    # others.
    owner = make_owner(
        decisions.make_runner("a", cpu=2000),
        decisions.make_runner("b", cpu=1000),
    )
    step = decisions.make_step(count=3, cpu=1000, gang=True)
    state = decisions.add_job(owner.table, step)
    state.steps[0, 0].tasks[1].attempt = 4
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(list_placed(owner)) == 3
    assert {t.attempt for t in state.steps[0, 0].tasks} == {5}


def test_gang_that_does_not_fit_leaves_the_state_unchanged():
    # Guards against charges and attempt numbers that remain of gang members
    # whose placement was tried.
    runner = decisions.make_runner("a", cpu=2000)
    owner = make_owner(runner)
    step = decisions.make_step(count=3, cpu=1000, gang=True)
    state = decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert list_placed(owner) == []
    assert (runner.cpu, runner.runs) == (0, {})
    tasks = state.steps[0, 0].tasks
    assert [(t.attempt, t.runs) for t in tasks] == [(0, [])] * 3
    assert set(owner.table.ready) == {t.name for t in tasks}


def test_gang_is_placed_on_one_rack_if_possible():
    # Guards against gang tasks that are spread over two racks, where they take
    # 1.5 to 3 times as long.
    owner = make_owner(
        decisions.make_runner("a", cpu=1000, rack="r1"),
        decisions.make_runner("b", cpu=1000, rack="r2"),
        decisions.make_runner("c", cpu=1000, rack="r2"),
    )
    step = decisions.make_step(count=2, cpu=1000, gang=True, same_rack=True)
    decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert {runner for _, runner in list_placed(owner)} == {"b", "c"}


def test_data_rack_is_preferred_but_not_waited_for():
    # Guards against a task that runs far from its data although the rack of
    # the data has capacity, and against one that waits for that rack while
    # another has capacity.
    near = decisions.make_runner("near", cpu=1000, rack="r2")
    owner = make_owner(decisions.make_runner("far", cpu=8000), near)
    step = decisions.make_step(count=2, cpu=1000, preferred_rack="r2")
    decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert [runner for _, runner in list_placed(owner)] == ["near", "far"]


def test_step_that_does_not_fit_does_not_block_others():
    # Guards against small tasks that wait behind a task that fits nowhere.
    owner = make_owner(decisions.make_runner(cpu=1000))
    decisions.add_job(owner.table, decisions.make_step(cpu=4000), job_id="big")
    decisions.add_job(
        owner.table, decisions.make_step(cpu=1000), job_id="small"
    )
    scheduling.place_ready_tasks(owner, 1.0)
    assert list_placed(owner) == [("small.0.0.0", "r")]


def test_task_starts_only_on_runners_of_its_queue():
    # Guards against a start on a runner of another service than the queue's.
    queue = model.Queue("q", "h", "/q/", "another", 2, 2, 2.0, 1.0)
    owner = make_owner(decisions.make_runner(), queue=queue)
    decisions.add_job(owner.table, decisions.make_step())
    scheduling.place_ready_tasks(owner, 1.0)
    assert list_placed(owner) == []


@pytest.mark.parametrize(("now", "started"), [(4.9, 0), (5.1, 1)])
def test_nothing_starts_before_it_is_due(now, started):
    # Guards against an occurrence that runs early.
    owner = make_owner(decisions.make_runner())
    decisions.add_job(
        owner.table, decisions.make_step(), repeat_count=1, start_at_ms=5000
    )
    scheduling.place_ready_tasks(owner, now)
    assert len(list_placed(owner)) == started


@pytest.mark.parametrize(("now", "started"), [(1.9, 0), (2.1, 1)])
def test_refused_task_is_tried_again_after_a_pause(now, started):
    # Guards against a start that is refused again in every scheduling pass.
    owner = make_owner(decisions.make_runner())
    state = decisions.add_job(owner.table, decisions.make_step())
    state.steps[0, 0].tasks[0].retry_at = 2.0
    scheduling.place_ready_tasks(owner, now)
    assert len(list_placed(owner)) == started


def make_halted_fills(count, **fields):
    """Makes halted fill tasks on one runner, and an idle runner."""
    owner = make_owner(
        decisions.make_runner("a"), decisions.make_runner("idle")
    )
    step = decisions.make_step(
        count=count, fills=True, image="noisy", cpu=1000, **fields
    )
    runs = decisions.place_runs(owner.runners["a"], owner.table, step)
    for run in runs:
        run.pace_percent, run.slowed_since = 0, 1.0
    return owner, runs


def test_halted_fills_move_to_an_idle_runner_a_few_at_a_time():
    # Guards against fill tasks that stay halted although another runner is
    # idle, and against moving all of them to it at once.
    owner, runs = make_halted_fills(5, checkpointing=True)
    scheduling.move_slowed_fills(owner, 1.5)
    assert list_stopped(owner) == []
    scheduling.move_slowed_fills(owner, 2.5)
    assert list_stopped(owner) == runs[:3]
    assert all("a" in run.task.avoided_runners for run in runs[:3])


def test_fill_that_cannot_resume_is_not_moved():
    # Guards against losing work that has to be repeated on another runner.
    owner, _ = make_halted_fills(2)
    scheduling.move_slowed_fills(owner, 2.5)
    assert list_stopped(owner) == []


def test_no_runner_is_cleared_while_a_long_running_task_waits():
    # Guards against interrupting a service while another one waits for
    # capacity.
    owner = make_owner(decisions.make_runner("a"), decisions.make_runner("b"))
    interference_model = owner.interference_model
    interference_model.effects["web", "noisy"] = interference.Effect(
        0.2, 0.001, 1.0
    )
    fields = {"long_running": True, "image": "web", "target_ms": 18}
    for name, count in (("a", 1), ("b", 3)):
        for number in range(count):
            step = decisions.make_step(cpu=3000, **fields)
            decisions.place_runs(
                owner.runners[name], owner.table, step, job_id=f"{name}{number}"
            )
    fill = decisions.make_step(count=9, fills=True, image="noisy", cpu=2000)
    halted = decisions.place_runs(
        owner.runners["b"], owner.table, fill, job_id="fill"
    )
    for run in halted:
        run.pace_percent = 0
    decisions.add_job(
        owner.table, decisions.make_step(**fields), job_id="waiting"
    )
    scheduling.clear_runner(owner, 1.0)
    assert list_stopped(owner) == []
    owner.table.ready.clear()
    scheduling.clear_runner(owner, 1.2)
    assert list_stopped(owner) == []
    scheduling.clear_runner(owner, 1.6)
    (moved,) = list_stopped(owner)
    assert moved.runner == "a"


def test_pass_can_be_interrupted_after_each_task():
    # Guards against a pass that renews no lease and answers no ping while it
    # tries hundreds of tasks.
    owner = make_owner(decisions.make_runner(cpu=3000))
    decisions.add_job(owner.table, decisions.make_step(count=2), job_id="a")
    for number in range(3):
        step = decisions.make_step(cpu=9000)
        decisions.add_job(owner.table, step, job_id=f"b{number}")
    current = scheduling.Pass(1.0)
    turns = []
    for _ in scheduling.run_pass(owner, current):
        turns.append(len(current.placed))
        scheduling.start_placed(owner, current)
    assert turns[:5] == [1, 1, 0, 0, 0]


def test_pass_goes_by_the_state_after_an_interruption():
    # Guards against the start of a task that has ended since the pass began,
    # and against one on a runner that has left.
    owner = make_owner(
        decisions.make_runner("a"), decisions.make_runner("b", cpu=2000)
    )
    for job_id in ("first", "gone", "last"):
        decisions.add_job(owner.table, decisions.make_step(), job_id=job_id)
    for job_id, deadline in (("first", 5.0), ("gone", 6.0), ("last", 7.0)):
        owner.table.jobs[job_id].deadline = deadline
    current = scheduling.Pass(1.0)
    work = scheduling.run_pass(owner, current)
    current.begin_slice(owner.runners, 1.0)
    next(work)
    owner.table.cancel_job(owner.table.jobs["gone"], 0)
    del owner.runners["a"]
    current.begin_slice(owner.runners, 1.0)
    for _ in work:
        pass
    placed = [(run.task.name, run.runner) for run in current.placed]
    assert placed == [("first.0.0.0", "a"), ("last.0.0.0", "b")]


def count_calls(monkeypatch, module, name):
    """Makes the calls of a function count; the list gets an item for each."""
    calls, function = [], getattr(module, name)

    def count(*arguments, **fields):
        calls.append(arguments)
        return function(*arguments, **fields)

    monkeypatch.setattr(module, name, count)
    return calls


def test_work_of_a_pass_does_not_grow_with_waiting_jobs(monkeypatch):
    # Guards against passes of seconds: 400 waiting jobs that were each compared
    # with 246 runners, one by one.
    calls = count_calls(monkeypatch, eligibility, "has_capacity")
    counts = []
    for jobs in (2, 200):
        runners = [decisions.make_runner(f"r{i}", cpu=900) for i in range(50)]
        owner = make_owner(*runners)
        for number in range(jobs):
            step = decisions.make_step(count=3, cpu=1000 + number)
            decisions.add_job(owner.table, step, job_id=f"j{number}")
        calls.clear()
        scheduling.place_ready_tasks(owner, 1.0)
        counts.append(len(calls))
    assert counts[1] <= counts[0] + 50


def test_equal_tasks_are_scored_once(monkeypatch):
    # Guards against a step of many tasks that scores every runner for each.
    calls = count_calls(monkeypatch, eligibility, "has_capacity")
    runners = [decisions.make_runner(f"r{i}") for i in range(50)]
    owner = make_owner(*runners)
    decisions.add_job(owner.table, decisions.make_step(count=100))
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(list_placed(owner)) == 100
    assert len(calls) <= 50 + 100


def make_random_owner(random):
    """Makes runners with services and fill tasks, and waiting jobs."""
    images, fills = ("s1", "s2", "s3"), ("f1", "f2", "f3")
    owner = make_owner(
        *(
            decisions.make_runner(
                f"r{i}", cpu=8000, memory_mb=16_000, rack=f"k{i % 3}"
            )
            for i in range(12)
        )
    )
    interference_model = owner.interference_model
    for image in images:
        for fill in fills:
            interference_model.effects[image, fill] = interference.Effect(
                random.choice((0.0, 0.1, 0.3)), 0.001, 1.0
            )
    for runner in owner.runners.values():
        runner.speed = random.choice((0.7, 1.0))
        runner.faults = random.choice((0, 0, 2))
        for number in range(random.randint(0, 3)):
            step = decisions.make_step(
                cpu=1500,
                long_running=True,
                image=random.choice(images),
                target_ms=20,
            )
            name = f"{runner.entry.id}x{number}"
            decisions.place_runs(runner, owner.table, step, job_id=name)
    for number in range(30):
        fields = random.choice(
            (
                {"fills": True, "image": random.choice(fills)},
                {"long_running": True, "image": "s1", "target_ms": 20},
                {"preferred_rack": "k1"},
                {"max_per_runner": 1},
                {"same_rack": True},
            )
        )
        step = decisions.make_step(
            count=random.randint(1, 5),
            cpu=random.choice((500, 1000, 2000, 3000)),
            memory_mb=random.choice((500, 2000)),
            **fields,
        )
        state = decisions.add_job(owner.table, step, job_id=f"j{number}")
        for task in state.steps[0, 0].tasks:
            task.ready_since = random.choice((1.0, 8.0))
            if random.random() < 0.2:
                task.avoided_runners = (f"r{random.randint(0, 11)}",)
    return owner


def list_by_urgency(owner, now):
    listing = scheduling._list_by_urgency(
        owner, reservations.Use(owner.runners.values()), now
    )
    while True:
        try:
            next(listing)
        except StopIteration as end:
            return end.value


@pytest.mark.parametrize("seed", range(20))
def test_reused_results_do_not_change_a_choice(seed):
    # Guards against a placement that follows from scores or obstacles that a
    # task placed earlier in the pass has changed.
    reusing = make_random_owner(random_module.Random(seed))
    scheduling.place_ready_tasks(reusing, 10.0)
    owner = make_random_owner(random_module.Random(seed))
    ready = list(owner.table.ready.values())
    expected, blocked = [], set()
    current = scheduling.Pass(10.0)
    for group in list_by_urgency(owner, current.now):
        for task in sorted(group.tasks, key=lambda task: task.name):
            if id(task.step) in blocked:
                continue
            runners = list(owner.runners.values())
            runner = placement.choose_runner(
                task, runners, owner.interference_model, current.now
            )
            if runner is None:
                blocked.add(id(task.step))
                continue
            runner.charge(
                owner.table.begin_run(task, runner.entry.id, current.now)
            )
            expected.append((task.name, runner.entry.id))
    assert list_placed(reusing) == expected
    assert 0 < len(expected) < len(ready)


def test_every_slowed_fill_gets_its_turn(monkeypatch):
    # Guards against passes that compare hundreds of slowed tasks with every
    # runner, and against slowed tasks that are never tried.
    owner, runs = make_halted_fills(150, checkpointing=True)
    owner.interference_model.effects["web", "noisy"] = interference.Effect(
        0.5, 0.001, 1.0
    )
    fields = {"long_running": True, "image": "web", "target_ms": 18}
    step = decisions.make_step(**fields)
    decisions.place_runs(owner.runners["idle"], owner.table, step, job_id="web")
    tried = count_calls(monkeypatch, placement, "find_full_speed_runner")
    numbers = []
    for turn in range(5):
        before = len(tried)
        scheduling.move_slowed_fills(owner, 9.1 + 0.26 * turn)
        numbers.append(len(tried) - before)
    assert max(numbers) <= 60
    assert {arguments[0] for arguments in tried} == set(runs)


def test_results_outlast_an_interruption(monkeypatch):
    # Guards against a pass that estimates the interference on every runner
    # again for each task that it places.
    calls = count_calls(monkeypatch, interference, "list_pressures")
    owner = make_owner(*(decisions.make_runner(f"r{i}") for i in range(50)))
    step = decisions.make_step(count=30, fills=True, image="batch")
    decisions.add_job(owner.table, step)
    current = scheduling.Pass(1.0)
    current.begin_slice(owner.runners, 1.0)
    for _ in scheduling.run_pass(owner, current):
        current.begin_slice(owner.runners, 1.0)
    assert len(current.placed) == 30
    assert len(calls) <= 50 + 2 * 30


@pytest.mark.parametrize(
    "change", [{"silent": True}, {"backoff_until": 9.0}, {"fenced": False}]
)
def test_no_task_starts_on_a_runner_that_stopped_accepting(change):
    # Guards against a start order to a runner that has fallen silent or has
    # rejected a start since the pass began.
    owner = make_owner(
        decisions.make_runner("a"), decisions.make_runner("b", cpu=8000)
    )
    decisions.add_job(owner.table, decisions.make_step(count=2))
    current = scheduling.Pass(1.0)
    current.begin_slice(owner.runners, 1.0)
    work = scheduling.run_pass(owner, current)
    next(work)
    for name, value in change.items():
        setattr(owner.runners["a"], name, value)
    current.begin_slice(owner.runners, 1.0)
    next(work)
    assert [run.runner for run in current.placed] == ["a", "b"]


class FakeAdviser:
    """Gives tickets for some runners and records whom it was asked about."""

    def __init__(self, allowed):
        self.allowed, self.asked = allowed, []

    async def advise(self, step, runners, timeout_s):
        self.asked.append(runners)
        return {r: f"ticket-{r}" for r in runners if r in self.allowed}


async def ask_until_quiet(owner, step, limit=10):
    """Asks for advice as passes do; returns the advised runners."""
    runners = list(owner.runners.values())
    for _ in range(limit):
        owner.group.started.clear()
        now = clock.read_now()
        advised = orders.filter_advised(owner, step, runners, now)
        if not owner.group.started:
            return [runner.entry.id for runner in advised]
        ((_, arguments),) = owner.group.started
        await orders._ask_adviser(*arguments)
    raise AssertionError(f"the adviser was asked {limit} times")


@pytest.mark.anyio
async def test_adviser_is_asked_about_each_runner_and_not_without_end():
    # Guards against a step that never starts because the adviser is asked about
    # the same runners again and again, which it does not allow, and against
    # calls without end for a step that more tasks than runners are allowed for.
    advice = model.AdviserTimings(0.01, 0.001, 60.0)
    queue = msgspec.structs.replace(decisions.QUEUE, advice=advice)
    runners = [decisions.make_runner(f"r-{i}") for i in range(70)]
    owner = make_owner(*runners, queue=queue)
    adviser = FakeAdviser({"r-66", "r-69"})
    owner.adapters = types.SimpleNamespace(adviser=adviser)
    state = decisions.add_job(
        owner.table, decisions.make_step(count=5), queue=queue
    )
    (step,) = state.steps.values()
    assert await ask_until_quiet(owner, step) == ["r-66", "r-69"]
    asked = [runner for runners in adviser.asked for runner in runners]
    assert sorted(asked) == sorted(owner.runners)
    owner.tickets = {
        key: (ticket, until - 60.0)
        for key, (ticket, until) in owner.tickets.items()
    }
    assert await ask_until_quiet(owner, step) == ["r-66", "r-69"]
