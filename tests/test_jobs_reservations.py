"""Room for long-running tasks that lost their run, beside a load that is full.

The load is replayed against the decisions alone, in simulated time.
"""

import heapq
import itertools

import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import model
from plantainvane.jobs import placement
from plantainvane.jobs import preemption
from plantainvane.jobs import scheduling
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling_tests

# From the users: a task that lasts runs again within 3 s of the time at which
# it could; the project's own limit where a runner has the room.
MAX_WAIT_S = 2.0
PASS_S = 0.05
SHORT_S = 0.54
# Both kinds of tasks have the same priority at the users' sites.
QUEUE = model.Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)


@pytest.fixture
def timeline(monkeypatch):
    """Lets the code read the simulated time."""
    times = [0.0]
    monkeypatch.setattr(clock, "read_now", lambda: times[0])
    return times


class Fleet:
    """Runners, long-running tasks and an endless queue of short tasks."""

    def __init__(self, timeline, runners, cpu=16_000):
        self.timeline = timeline
        self.owner = scheduling_tests.make_owner(
            *(decisions.make_runner(f"r{n}", cpu) for n in range(runners)),
            queue=QUEUE,
        )
        self.owner.recovered = True
        self.ends = []
        self.order = itertools.count()
        self.jobs = itertools.count()
        self.starts = {}

    def add_lasting(self, runner, count=1, **fields):
        """Adds long-running tasks that run on a runner."""
        step = decisions.make_step(long_running=True, count=count, **fields)
        return decisions.place_runs(
            self.owner.runners[runner],
            self.owner.table,
            step,
            job_id=f"lasting{next(self.jobs)}",
            queue=QUEUE,
        )

    def add_short(self, now, count, cpu, priority=0):
        """Adds short tasks that can meet their objective."""
        step = decisions.make_step(
            count=count, cpu=cpu, estimate_ms=SHORT_S * 1000
        )
        queue = model.Queue("q", "h", "/q/", "s", priority, 2, 2.0, 3600.0)
        job = model.Job(
            id=f"short{next(self.jobs)}",
            queue="q",
            service="s",
            accepted_ms=0,
            spec="",
            steps=(step,),
        )
        self.owner.table.add_job(job, queue, None, now=now, wall_ms=0)

    def lose(self, run, now):
        """Ends an attempt whose lease has ended, and takes its runner away."""
        runner = self.owner.runners[run.runner]
        runner.listed = False
        runner.charge(run, -1)
        self.owner.table.drop_run(run, now)

    def advance(self, now):
        """Ends what ends until `now`, then runs a scheduling pass.

        Returns the number of short tasks that start.
        """
        self.timeline[0] = now
        started = 0
        while self.ends and self.ends[0][0] <= now:
            _, _, run = heapq.heappop(self.ends)
            self.owner.runners[run.runner].charge(run, -1)
            self.owner.table.end_run(run, "done", "", now, 0)
        self._end_stopped(now)
        for runner in self.owner.runners.values():
            if not runner.silent:
                runner.answered_at = now
        scheduling_tests.run_slices(self.owner, now)
        for run in scheduling_tests.take_placed(self.owner):
            run.phase = attempts.Phase.RUNNING
            run.running_since = now
            if run.task.step.definition.long_running:
                run.progress_percent = 100.0
                self.starts[run.task.name] = now
            else:
                entry = now + SHORT_S, next(self.order), run
                heapq.heappush(self.ends, entry)
                started += 1
        self.check_capacity()
        return started

    def _end_stopped(self, now):
        for runner in self.owner.runners.values():
            for run in list(runner.runs):
                if run.phase is attempts.Phase.STOPPING and not runner.silent:
                    runner.charge(run, -1)
                    self.owner.table.end_run(run, "stopped", "", now, 0)

    def check_capacity(self):
        for runner in self.owner.runners.values():
            assert runner.cpu <= runner.entry.capacity.cpu
            assert runner.memory_mb <= runner.entry.capacity.memory_mb


def fill_with_shorts(fleet, cpu=1000):
    """Lets short tasks fill all runners, with ends spread over time."""
    tasks = sum(
        r.entry.capacity.cpu // cpu for r in fleet.owner.runners.values()
    )
    steps = 12
    for number in range(steps):
        fleet.add_short(0.0, tasks // steps + 1, cpu)
        fleet.advance(number * SHORT_S / steps)
    return SHORT_S


def test_long_running_task_that_lost_its_run_goes_before_short_tasks():
    # Guards against a service that stays away while each piece of room goes to
    # short tasks that can still be in time.
    runner = decisions.make_runner(cpu=1000)
    owner = scheduling_tests.make_owner(runner, queue=QUEUE)
    lost = decisions.place_runs(
        runner,
        owner.table,
        decisions.make_step(long_running=True),
        queue=QUEUE,
    )[0]
    runner.charge(lost, -1)
    owner.table.drop_run(lost, 1.0)
    decisions.add_job(owner.table, decisions.make_step(), queue=QUEUE)
    scheduling.place_ready_tasks(owner, 1.0)
    assert scheduling_tests.list_placed(owner)[0][0] == lost.task.name


def test_long_running_task_gets_room_that_short_tasks_leave_in_pieces(timeline):
    # Guards against a service that waits for as long as a queue of short tasks
    # lasts, as each takes the place of the one before it and no runner ever has
    # room for more than one of them.
    fleet = Fleet(timeline, runners=6)
    lost = fleet.add_lasting("r0", cpu=4600, memory_mb=100)[0]
    now = fill_with_shorts(fleet)
    lost_at = now
    fleet.lose(lost, now)
    while lost.task.name not in fleet.starts and now < lost_at + 20.0:
        fleet.add_short(now, 20, 1000)
        fleet.advance(now)
        now += PASS_S
    assert fleet.starts.get(lost.task.name, 99.0) - lost_at <= MAX_WAIT_S


def test_short_tasks_go_on_while_many_long_running_tasks_wait(timeline):
    # Guards against reservations that keep more runners idle than the tasks
    # which wait can use.
    fleet = Fleet(timeline, runners=12)
    lost = [
        run
        for number in range(3)
        for run in fleet.add_lasting(
            f"r{number}", count=3, cpu=2600, memory_mb=100
        )
    ]
    now = lost_at = fill_with_shorts(fleet)
    for run in lost:
        fleet.lose(run, now)
    started = 0
    while now < lost_at + MAX_WAIT_S:
        fleet.add_short(now, 20, 1000)
        started += fleet.advance(now)
        now += PASS_S
    waits = [fleet.starts.get(r.task.name, 99.0) - lost_at for r in lost]
    assert max(waits) <= MAX_WAIT_S
    # What the long-running tasks leave could start this many.
    possible = (9 * 16 - 9 * 2.6) * MAX_WAIT_S / SHORT_S
    assert started >= possible / 2


def test_short_tasks_keep_some_room_where_long_running_ones_need_all(timeline):
    # Guards against short tasks that find no room at all, because services that
    # have lost their runners take all that is left.
    fleet = Fleet(timeline, runners=10)
    for number in range(2, 10):
        fleet.add_lasting(f"r{number}", count=3, cpu=4600, memory_mb=100)
    lost = [
        run
        for number in range(2)
        for run in fleet.add_lasting(
            f"r{number}", count=10, cpu=1000, memory_mb=100
        )
    ]
    for run in lost:
        fleet.lose(run, 0.0)
    now = started = 0
    while now < 4.0:
        fleet.add_short(now, 10, 500)
        started += fleet.advance(now)
        now += PASS_S
    used = [r for r in fleet.owner.runners.values() if r.listed]
    serving = sum(r.serving_cpu for r in used)
    capacity = sum(r.entry.capacity.cpu for r in used)
    assert serving <= 0.92 * capacity
    # Half of a tenth of the processors, in tasks of half a core.
    assert started >= 0.05 * capacity / 500 * 4.0 / SHORT_S


def test_reservations_of_one_service_keep_none_from_another(timeline):
    # Guards against a service without reservations, because another one that
    # is larger has some.
    fleet = Fleet(timeline, runners=4)
    for number in range(6):
        name = f"x{number}"
        runner = decisions.make_runner(name)
        runner.entry = msgspec.structs.replace(runner.entry, service="s2")
        amounts = model.Amounts(4600, 100)
        runner.reserve_room(f"other{number}", 0, amounts)
        fleet.owner.runners[name] = runner
    (lost,) = fleet.add_lasting("r0", cpu=4600, memory_mb=100)
    now = lost_at = fill_with_shorts(fleet)
    fleet.lose(lost, now)
    while lost.task.name not in fleet.starts and now < lost_at + 5.0:
        fleet.add_short(now, 20, 1000)
        fleet.advance(now)
        now += PASS_S
    assert fleet.starts.get(lost.task.name, 99.0) - lost_at <= MAX_WAIT_S


def test_many_lost_tasks_keep_no_short_ones_from_starting(monkeypatch):
    # Guards against passes that spend their time on long-running tasks which
    # find no room, while short ones that fit wait.
    runners = [decisions.make_runner(f"r{n}", 16_000) for n in range(100)]
    owner = scheduling_tests.make_owner(*runners, queue=QUEUE)
    late = model.Queue("low", "h", "/l/", "s", 3, 2, 2.0, 3600.0)
    for runner in runners:
        step = decisions.make_step(count=14, long_running=True)
        name = f"fill-{runner.entry.id}"
        decisions.place_runs(
            runner, owner.table, step, job_id=name, queue=QUEUE
        )
        step = decisions.make_step(count=1, cpu=500)
        name = f"low-{runner.entry.id}"
        decisions.place_runs(runner, owner.table, step, job_id=name, queue=late)
    for number in range(100):
        step = decisions.make_step(long_running=True, cpu=3000)
        job_id = f"lost{number}"
        decisions.add_job(owner.table, step, job_id=job_id, queue=QUEUE)
        owner.table.tasks[f"{job_id}.0.0.0"].attempt = 1
    looked_at = []
    find_victims = preemption.find_victims
    monkeypatch.setattr(
        preemption,
        "find_victims",
        lambda *arguments: looked_at.append(1) or find_victims(*arguments),
    )
    step = decisions.make_step(count=100, cpu=500)
    decisions.add_job(owner.table, step, job_id="short", queue=QUEUE)
    scheduling_tests.run_slices(owner, 1.0)
    assert len(scheduling_tests.list_placed(owner)) == 100
    assert len(looked_at) <= 3


def test_room_reserved_for_one_task_is_not_given_to_one_like_it():
    # Guards against scores that are kept for tasks with the same requirements,
    # and count what is reserved for the first of them as free.
    runner = decisions.make_runner("r", 16_000)
    owner = scheduling_tests.make_owner(runner, queue=QUEUE)
    step = decisions.make_step(count=2, long_running=True, cpu=16_000)
    state = decisions.add_job(owner.table, step, queue=QUEUE)
    first, second = state.steps[0, 0].tasks
    runner.reserve_room(first.name, 0, step.amounts)
    estimates = placement.Estimates()
    for task in (first, second):
        assert not placement.choose_ranked_runner(
            task, "s", owner.runners, owner.interference_model, 1.0, estimates
        )
    assert placement.choose_runner(
        first, [runner], owner.interference_model, 1.0, estimates
    )
