"""Length of scheduling passes: the work of a pass, and its bound."""

import math
import random as random_module

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import interference
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import placement
from plantainvane.jobs import scheduling
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes

_FILLS = ("f1", "f2")
_IMAGES = ("s1", "s2")
# The objective of a job is its own run time and this much.
_LEAST_OBJECTIVE_S = 0.25


@pytest.fixture
def anyio_backend():
    return "asyncio"


def choose_by_evaluating_all(task, service, runners, effects, now):
    """Evaluates each runner anew; what a kept choice has to agree with."""
    limit = task.step.definition.max_per_runner
    best, best_score = None, float("-inf")
    for runner in runners.values():
        there = sum(
            run.runner == runner.entry.id
            for other in task.step.tasks
            for run in other.runs
        )
        if runner.entry.service != service or (limit and there >= limit):
            continue
        score = placement._evaluate_runner(
            task, runner, {}, effects, placement.Estimates(), now
        )
        if score is not None and score > best_score:
            best, best_score = runner, score
    return best


def make_random_fleet(random):
    """Makes an owner with busy runners and steps with limits on a runner."""
    owner = passes.make_owner(
        *(
            decisions.make_runner(
                f"r{number}",
                cpu=random.choice((2000, 4000, 8000)),
                memory_mb=random.choice((4000, 16_000)),
                rack=f"k{number % 3}",
                speed=random.choice((0.7, 1.0, 1.0)),
                faults=random.choice((0, 0, 2)),
            )
            for number in range(random.randint(1, 9))
        )
    )
    for image in _IMAGES:
        for fill in _FILLS:
            effect = interference.Effect(random.choice((0.0, 0.2)), 0.001, 1.0)
            owner.interference_model.effects[image, fill] = effect
    for runner in owner.runners.values():
        for number in range(random.randint(0, 2)):
            step = decisions.make_step(
                cpu=1000,
                long_running=True,
                image=random.choice(_IMAGES),
                target_ms=20,
            )
            name = f"{runner.entry.id}x{number}"
            decisions.place_runs(runner, owner.table, step, job_id=name)
    for number in range(random.randint(1, 8)):
        add_random_job(owner, random, f"j{number}")
    return owner


def add_random_job(owner, random, job_id):
    fields = random.choice(
        (
            {"fills": True, "image": random.choice(_FILLS)},
            {"long_running": True, "image": "s1", "target_ms": 20},
            {"long_running": True},
            {"preferred_rack": "k1"},
            {},
        )
    )
    steps = [
        decisions.make_step(
            count=random.randint(1, 9),
            cpu=random.choice((0, 500, 1000)),
            memory_mb=random.choice((0, 500)),
            max_per_runner=random.choice((0, 1, 2, 3)),
            **fields,
        )
        for _ in range(random.choice((1, 2)))
    ]
    state = decisions.add_job(owner.table, *steps, job_id=job_id)
    for step_state in state.steps.values():
        running = random.randint(0, 2)
        for task in step_state.tasks[:running]:
            runner = random.choice(list(owner.runners.values()))
            run = owner.table.begin_run(task, runner.entry.id, 0.0)
            run.phase = attempts.Phase.RUNNING
            runner.charge(run)
        for task in step_state.tasks:
            if random.random() < 0.2:
                number = random.randint(1, 4)
                task.avoided_runners = tuple(
                    f"r{random.randint(0, 9)}" for _ in range(number)
                )
    return state


def interrupt_pass(owner, random, current):
    """Lets other things happen between two slices of a pass."""
    runner = random.choice(list(owner.runners.values()))
    change = random.randint(0, 4)
    if change == 0:
        runner.silent = True
    elif change == 1:
        runner.backoff_until = current.now + 5.0
    elif change == 2 and len(owner.runners) > 1:
        del owner.runners[runner.entry.id]
    elif change == 3:
        add_random_job(owner, random, f"late{len(owner.table.jobs)}")
    current.begin_slice(owner.runners, current.now + 0.01)


@hypothesis.given(seed=strategies.integers(0, 2**32))
@hypothesis.settings(deadline=None, max_examples=150)
def test_a_kept_choice_is_the_one_of_evaluating_all_runners(seed):
    # Guards against tasks that start elsewhere, or more of them on a runner
    # than its step allows, because a choice is kept between the tasks.
    random = random_module.Random(seed)
    owner = make_random_fleet(random)
    hypothesis.assume(owner.table.ready)
    choose, compared = placement.choose_ranked_runner, []

    def compare(task, service, runners, effects, now, estimates):
        expected = choose_by_evaluating_all(
            task, service, runners, effects, now
        )
        chosen = choose(task, service, runners, effects, now, estimates)
        compared.append((task.name, chosen, expected))
        return chosen

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placement, "choose_ranked_runner", compare)
        current = scheduling.Pass(10.0)
        current.begin_slice(owner.runners, 10.0)
        for _ in scheduling.run_pass(owner, current):
            if random.random() < 0.15:
                interrupt_pass(owner, random, current)
    assert compared
    assert [row for row in compared if row[1] is not row[2]] == []


def change_fleet(owner, random, now):
    """Lets attempts end, and runners come and change, between two passes."""
    for runner in owner.runners.values():
        for run in list(runner.runs):
            if random.random() < 0.4:
                runner.charge(run, -1)
                owner.table.end_run(run, "failed", "", now, 1)
    runner = random.choice(list(owner.runners.values()))
    runner.backoff_until = now + random.choice((-1.0, 0.05, 5.0))
    runner.ignores_stops = random.random() < 0.2
    if random.random() < 0.5:
        added = decisions.make_runner(f"added{now}", cpu=4000)
        owner.runners[added.entry.id] = added
    add_random_job(owner, random, f"later{now}")


@pytest.mark.parametrize(
    ("interval_s", "decays"),
    # Estimates of interference, which change with time, may be 0.5 s old.
    [(0.05, False), (0.6, True)],
)
@hypothesis.given(seed=strategies.integers(0, 2**32))
@hypothesis.example(seed=1048575)
@hypothesis.example(seed=2690)
@hypothesis.example(seed=89573)
@hypothesis.example(seed=170714)
@hypothesis.settings(deadline=None, max_examples=150)
def test_scores_kept_between_passes_are_those_of_evaluating_all(
    interval_s, decays, seed
):
    # Guards against runners that stay empty, or are used although they refuse,
    # because a pass goes on with the scores of an earlier one.
    random = random_module.Random(seed)
    owner = make_random_fleet(random)
    if not decays:
        for effect in owner.interference_model.effects.values():
            effect.updated_at = 100.0
    choose, compared = placement.choose_ranked_runner, []

    def evaluate(task, runner):
        return placement._evaluate_runner(
            task,
            runner,
            {},
            owner.interference_model,
            placement.Estimates(),
            current.now,
        )

    def compare(task, service, runners, effects, now, estimates, excluded=""):
        expected = choose_by_evaluating_all(
            task, service, runners, effects, now
        )
        chosen = choose(task, service, runners, effects, now, estimates)
        scores = [
            None if runner is None else evaluate(task, runner)
            for runner in (chosen, expected)
        ]
        compared.append((task.name, *scores))
        return chosen

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placement, "choose_ranked_runner", compare)
        for number in range(6):
            now = 10.0 + number * interval_s
            current = scheduling.begin_pass(owner, now)
            current.begin_slice(owner.runners, now)
            for _ in scheduling.run_pass(owner, current):
                pass
            scheduling.end_pass(owner, current)
            change_fleet(owner, random, now)
    assert [row for row in compared if row[1] != row[2]] == []


def test_a_pass_evaluates_only_what_has_changed_since_the_last(monkeypatch):
    # Guards against passes whose cost grows with what waits and with the fleet
    # instead of what they place: an owner short of processor time falls behind.
    evaluated = passes.count_calls(monkeypatch, placement, "_evaluate_runner")
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{number}") for number in range(200))
    )
    for number in range(30):
        step = decisions.make_step(count=1, cpu=100 + number)
        decisions.add_job(owner.table, step, job_id=f"first{number}")

    def run_pass(now):
        current = scheduling.begin_pass(owner, now)
        current.begin_slice(owner.runners, now)
        for _ in scheduling.run_pass(owner, current):
            pass
        scheduling.end_pass(owner, current)

    run_pass(1.0)
    first = len(evaluated)
    assert first >= 30 * 200
    for number in range(30):
        step = decisions.make_step(count=1, cpu=100 + number)
        decisions.add_job(owner.table, step, job_id=f"second{number}")
    run_pass(1.1)
    # Each of 30 requirements looks at the 30 runners charged by the first pass,
    # and at those charged since.
    assert len(evaluated) - first <= 30 * 60
    assert not owner.table.ready


@pytest.mark.parametrize("long_running", [False, True])
@pytest.mark.parametrize("limit", [1, 20])
def test_a_step_with_a_limit_evaluates_a_runner_once_and_after_each_start(
    limit, long_running, monkeypatch
):
    # Guards against passes of many seconds: a step with a limit on a runner
    # that evaluates every runner for each of its tasks.
    evaluated = passes.count_calls(monkeypatch, placement, "_evaluate_runner")
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{number}") for number in range(50))
    )
    step = decisions.make_step(
        count=60 * limit,
        cpu=10,
        memory_mb=1,
        max_per_runner=limit,
        long_running=long_running,
    )
    decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(passes.list_placed(owner)) == 50 * limit
    assert len(evaluated) <= 50 + 50 * limit


def test_steps_with_a_limit_that_fit_nowhere_are_tried_once(monkeypatch):
    # Guards against passes that compare each of many steps with a limit with
    # every runner although an easier one has found no room.
    evaluated = passes.count_calls(monkeypatch, placement, "_evaluate_runner")
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{number}", cpu=900) for number in range(50))
    )
    for number in range(200):
        step = decisions.make_step(cpu=1000 + number, max_per_runner=2)
        decisions.add_job(owner.table, step, job_id=f"j{number:03}")
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(evaluated) <= 50


def test_a_step_at_its_limit_does_not_block_others():
    # Guards against tasks that wait although there is room, because a step
    # with a limit on a runner has used up its places.
    owner = passes.make_owner(decisions.make_runner("a", cpu=2000))
    for job_id, limit in (("first", 1), ("second", 2)):
        step = decisions.make_step(count=2, max_per_runner=limit)
        decisions.add_job(owner.table, step, job_id=job_id)
    scheduling.place_ready_tasks(owner, 1.0)
    placed = [name for name, _ in passes.list_placed(owner)]
    assert placed == ["first.0.0.0", "second.0.0.0"]


def add_blocked_steps(owner, count, first, prefix):
    """Adds steps that fit nowhere, less urgent and easier with the number."""
    for number in range(first, first + count):
        step = decisions.make_step(cpu=10**6 - number)
        job = decisions.add_job(owner.table, step, job_id=f"{prefix}{number}")
        job.deadline = number * 1e-3


class SlowClock:
    """A clock on which each reading takes a fixed time, and little else."""

    def __init__(self, step_s):
        self.now, self.step_s = 100.0, step_s

    def read_now(self):
        self.now += self.step_s
        return self.now


def run_limited_pass(owner, now, turn_s):
    """Runs a pass on which each turn takes a fixed time; returns its end."""
    current = scheduling.Pass(now, placing_limit_s=scheduling.PLACING_LIMIT_S)
    current.begin_slice(owner.runners, now)
    for _ in scheduling.run_pass(owner, current):
        now += turn_s
        current.begin_slice(owner.runners, now)
    scheduling.start_placed(owner, current)
    return now, current


def test_a_task_that_fits_is_reached_behind_a_stream_of_blocked_ones():
    # Guards against tasks at the end of the list that never start, because
    # each pass ends before it has tried all that is more urgent.
    owner = passes.make_owner(decisions.make_runner())
    waiting, turn_s = 200, 1 / 128
    add_blocked_steps(owner, waiting, 0, "first")
    last = decisions.add_job(owner.table, decisions.make_step(), job_id="last")
    last.deadline = 50.0
    now = 128.0
    # Half of each pass, down to a whole turn, is for what the last one has not
    # reached.
    turns = scheduling.PLACING_LIMIT_S / turn_s
    passes_needed = 1 + math.ceil((waiting + 1 - turns) / (turns // 2))
    count = 0
    while not passes.list_placed(owner) and count < waiting:
        now, _ = run_limited_pass(owner, now, turn_s)
        count += 1
        add_blocked_steps(owner, 20, -20 * count, "more")
    assert passes.list_placed(owner) == [("last.0.0.0", "r")]
    assert count <= passes_needed


def test_passes_that_run_out_of_time_start_tasks_in_order():
    # Guards against tasks that start before more urgent ones, or twice, because
    # a pass goes on where the last one ended.
    owner = passes.make_owner(decisions.make_runner(cpu=10**6))
    for number in range(40):
        step = decisions.make_step(count=3, cpu=1, memory_mb=1)
        state = decisions.add_job(owner.table, step, job_id=f"j{number:02}")
        state.deadline = 200.0 + number
    expected = [f"j{n:02}.0.0.{i}" for n in range(40) for i in range(3)]
    now, unfinished, count = 128.0, True, 0
    while unfinished:
        now, current = run_limited_pass(owner, now, 1 / 128)
        unfinished, count = current.out_of_time, count + 1
    assert [name for name, _ in passes.list_placed(owner)] == expected
    # Each pass takes its time, and one more task of those that were kept.
    turns = scheduling.PLACING_LIMIT_S * 128
    assert len(expected) / (turns + 2) <= count <= len(expected) / turns + 1
    assert not owner.unvisited


def test_a_long_running_task_is_tried_once_its_step_has_found_no_runner(
    monkeypatch,
):
    # Guards against lists with an entry for each long-running task of a step.
    owner = passes.make_owner(decisions.make_runner())
    step = decisions.make_step(count=500, cpu=10**6, long_running=True)
    decisions.add_job(owner.table, step)
    assert len(passes.list_by_urgency(owner, 1.0)) == 1
    tried = passes.count_calls(monkeypatch, scheduling, "_place_task_or_gang")
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(tried) == 1


@pytest.mark.anyio
async def test_an_urgent_job_does_not_wait_for_the_work_of_a_pass(monkeypatch):
    # Guards against an urgent job that waits for seconds until a pass has tried
    # all the tasks that were ready when it began.
    slow_clock = SlowClock(0.002)
    monkeypatch.setattr(clock, "read_now", slow_clock.read_now)
    owner = passes.make_owner(decisions.make_runner())
    add_blocked_steps(owner, 1000, 0, "j")
    owner.request_pass()
    async with anyio.create_task_group() as group:
        group.start_soon(owner_module._schedule, owner)
        while slow_clock.now < 100.05:
            await anyio.sleep(0)
        urgent = decisions.add_job(
            owner.table,
            decisions.make_step(),
            job_id="urgent",
            queue=passes.URGENT,
        )
        owner.request_pass()
        arrived_at, (task,) = slow_clock.now, urgent.steps[0, 0].tasks
        with anyio.fail_after(20):
            while not task.runs:
                await anyio.sleep(0)
        group.cancel_scope.cancel()
    assert slow_clock.now - arrived_at < _LEAST_OBJECTIVE_S


@pytest.mark.anyio
async def test_a_pass_ends_when_the_process_drains(monkeypatch):
    # Guards against a process that goes on placing tasks after it was told to
    # leave.
    monkeypatch.setattr(clock, "read_now", SlowClock(0.002).read_now)
    owner = passes.make_owner(decisions.make_runner())
    add_blocked_steps(owner, 300, 0, "j")
    slices, begin_slice = [], scheduling.Pass.begin_slice

    def begin(current, runners, now):
        slices.append(now)
        owner.draining = len(slices) == 3
        begin_slice(current, runners, now)

    monkeypatch.setattr(scheduling.Pass, "begin_slice", begin)
    await owner_module._run_pass(owner)
    assert len(slices) == 3


@hypothesis.given(seed=strategies.integers(0, 2**32))
@hypothesis.settings(deadline=None, max_examples=150)
def test_a_gang_is_placed_as_by_evaluating_all_runners_for_each_member(seed):
    # Guards against a gang that starts elsewhere, or that is taken apart,
    # because a choice is kept between its members.
    random = random_module.Random(seed)
    owner = make_random_fleet(random)
    step = decisions.make_step(
        count=random.randint(1, 12),
        cpu=random.choice((0, 500, 1000)),
        memory_mb=random.choice((0, 500)),
        max_per_runner=random.choice((0, 1, 2, 3)),
        gang=True,
        same_rack=random.choice((False, False, True)),
        fills=random.choice((False, False, True)),
        image="f1",
    )
    state = decisions.add_job(owner.table, step, job_id="gang")
    names = list(owner.runners)
    for task in state.steps[0, 0].tasks:
        if random.random() < 0.2:
            task.avoided_runners = (random.choice(names),)
        if random.random() < 0.1:
            crash = model.Crash(random.choice(names), 1, "127.0.0.1:9")
            owner.table.record_crash(task, crash)
    keep, compared = placement.keep_member_choice, []

    def compare(definition, candidates, interference_model, now, estimates):
        choose = keep(
            definition, candidates, interference_model, now, estimates
        )

        def choose_both(task):
            expected = placement.choose_runner(
                task, candidates, interference_model, now
            )
            chosen = choose(task)
            compared.append((task.name, chosen, expected))
            return chosen

        return choose_both

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placement, "keep_member_choice", compare)
        scheduling.place_ready_tasks(owner, 10.0)
    assert [row for row in compared if row[1] is not row[2]] == []


@pytest.mark.parametrize("fields", [{}, {"max_per_runner": 20}], ids=str)
def test_a_gang_evaluates_a_runner_once_and_after_each_start(
    fields, monkeypatch
):
    # Guards against a large gang that keeps the process from answering pings
    # and from renewing leases, as it compares each member with every runner.
    evaluated = passes.count_calls(monkeypatch, placement, "_evaluate_runner")
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{number}") for number in range(50))
    )
    step = decisions.make_step(
        count=1000, cpu=0, memory_mb=0, gang=True, **fields
    )
    decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(passes.list_placed(owner)) == 1000
    assert len(evaluated) <= 50 + 1000


class CountedRuns(dict):
    """Attempts of a runner that counts how often all of them are visited."""

    visits = 0

    def __iter__(self):
        self.visits += 1
        return super().__iter__()


def test_a_slice_visits_no_attempts_before_it_places_a_task():
    # Guards against slices that take longer than their time before they begin,
    # as they compare all attempts of all runners with those of the last one.
    runner = decisions.make_runner()
    owner = passes.make_owner(runner)
    runs = decisions.place_runs(
        runner, owner.table, decisions.make_step(count=5)
    )
    runner.runs = counted = CountedRuns(runner.runs)
    current = scheduling.Pass(1.0)
    for number in range(4):
        current.begin_slice(owner.runners, 1.0 + number / 100)
    assert counted.visits == 0
    changes = len(current.estimates.changed)
    runner.charge(runs[0], -1)
    runner.charge(runs[0])
    current.begin_slice(owner.runners, 1.1)
    assert current.estimates.changed[changes:] == ["r"]


def test_tasks_that_avoid_a_runner_share_the_scores_of_the_others(monkeypatch):
    # Guards against a large step whose tasks have all failed once, and that
    # compares every runner with each of them from then on.
    evaluated = passes.count_calls(monkeypatch, placement, "_evaluate_runner")
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{number}") for number in range(50))
    )
    step = decisions.make_step(count=500, cpu=10, memory_mb=1)
    state = decisions.add_job(owner.table, step)
    for number, task in enumerate(state.steps[0, 0].tasks):
        task.avoided_runners = (f"r{number % 50}",)
    scheduling.place_ready_tasks(owner, 1.0)
    placed = passes.list_placed(owner)
    assert len(placed) == 500
    assert len(evaluated) <= 50 + 2 * 500
    avoided = {t.name: t.avoided_runners for t in state.steps[0, 0].tasks}
    assert not [name for name, runner in placed if runner in avoided[name]]


def test_a_pass_yields_while_it_skips_tasks_that_are_not_ready_any_more():
    # Guards against a turn that grows with the tasks that have been kept for
    # later passes and were cancelled since.
    owner = passes.make_owner(decisions.make_runner())
    step = decisions.make_step(count=5000)
    state = decisions.add_job(owner.table, step)
    current = scheduling.Pass(1.0, placing_limit_s=0.0)
    for _ in scheduling.run_pass(owner, current):
        pass
    assert len(owner.unvisited[0].heap) == 4999
    owner.table.cancel_job(state, 1)
    decisions.add_job(owner.table, decisions.make_step(count=2), job_id="k")
    turns, current = 0, scheduling.Pass(2.0, placing_limit_s=0.0)
    for _ in scheduling.run_pass(owner, current):
        turns += 1
    assert turns >= 4999 // 1000
    assert not owner.unvisited


@pytest.mark.parametrize(("retry_at", "started"), [(1.5, True), (2.5, False)])
def test_a_kept_task_that_was_refused_since_waits_for_its_next_try(
    retry_at, started
):
    # Guards against a start that follows a refused one at once, because an
    # earlier pass has listed the task.
    owner = passes.make_owner(decisions.make_runner())
    for job_id in ("a", "b"):
        step = decisions.make_step(count=3)
        decisions.add_job(owner.table, step, job_id=job_id)
    for _ in scheduling.run_pass(
        owner, scheduling.Pass(1.0, placing_limit_s=0.0)
    ):
        pass
    for task in owner.table.ready.values():
        if task.name.startswith("a"):
            task.retry_at = retry_at
    # The first of the list and the first of what is kept are tried.
    current = scheduling.Pass(2.0, placing_limit_s=0.0)
    for _ in scheduling.run_pass(owner, current):
        pass
    names = [run.task.name for run in current.placed]
    assert ("a.0.0.1" in names) is started
    assert len(names) == len(set(names)) == 2


def test_an_avoided_runner_that_has_refused_since_is_left_out():
    # Guards against an exception, which ends the owner, when a runner that the
    # task avoids was ranked and takes no starts any more.
    runners = [decisions.make_runner(name) for name in ("a", "b")]
    owner = passes.make_owner(*runners)
    state = decisions.add_job(owner.table, decisions.make_step(count=2))
    first, second = state.steps[0, 0].tasks
    estimates = placement.Estimates()
    second.avoided_runners = ("a",)

    def choose(task):
        return placement.choose_ranked_runner(
            task, "s", owner.runners, owner.interference_model, 1.0, estimates
        )

    assert choose(first) is not None
    runners[0].backoff_until = 2.0
    assert choose(second) is runners[1]
    runners[1].backoff_until = 2.0
    second.avoided_runners = ("a", "b")
    assert choose(second) is None
