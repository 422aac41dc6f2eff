"""Reports of tasks that wait: why a task is not placed, or not ready."""

import random as random_module

import anyio
import eliot
import prometheus_client
import pytest

from plantainvane.jobs import absences
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import placement
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import waits
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling_tests


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def lines():
    """Collects the log lines of the test."""
    written = []
    eliot.add_destinations(written.append)
    written.clear()  # eliot passes earlier messages to the first destination.
    yield written
    eliot.remove_destination(written.append)


def find_lines(lines, name):
    return [line for line in lines if line["message_type"].endswith(name)]


def make_waiting_owner(*runners, ready_since=1.0, crashes=(), **fields):
    """Makes an owner with a job `j` whose tasks are ready."""
    owner = scheduling_tests.make_owner(*runners)
    fields.setdefault("long_running", True)
    state = decisions.add_job(owner.table, decisions.make_step(**fields))
    for task in state.steps[0, 0].tasks:
        task.ready_since, task.crashes = ready_since, crashes
    return owner


def run_pass(owner, now):
    current = scheduling.Pass(now)
    for _ in scheduling.run_pass(owner, current):
        pass
    scheduling.start_placed(owner, current)
    return current


def report_wait(owner, now, reporter=None):
    current = run_pass(owner, now)
    waits.report_waits(reporter or waits.Reporter(), owner, current)


STATES = {
    "unlisted": {"listed": False},
    "silent": {"silent": True},
    "not_fenced": {"fenced": False},
    "expiry_promised": {"expiry_promised": True},
    "draining": {"draining": True},
    "foreign_attempt": {"foreign": frozenset({("x.0.0.0", 1)})},
    "ignores_stops": {"ignores_stops": True},
    "backoff": {"backoff_until": 9.0},
    "kept_for_trial": {"trial_until": 9.0},
    "no_room": {"cpu": 500},
}


def test_a_wait_names_the_reason_for_each_runner(lines):
    # Guards against a long-running task that waits for 40 s beside its runners
    # without a line that tells what keeps them from starting it.
    runners = [
        decisions.make_runner(name, **fields) for name, fields in STATES.items()
    ]
    owner = make_waiting_owner(*runners)
    busy = decisions.make_runner("probation", probation_until=9.0)
    decisions.place_runs(busy, owner.table, decisions.make_step(cpu=100))
    owner.runners["probation"] = busy
    report_wait(owner, 5.0)
    (line,) = find_lines(lines, "task_waits")
    assert line["left_out"] == dict.fromkeys([*STATES, "probation"], 1)
    assert (line["service"], line["task"]) == ("s", "j.0.0.0")
    assert (line["kind"], line["waited_s"]) == ("long_running", 4.0)
    assert (line["cpu"], line["accepting"]) == (1000, 0)
    assert line["room"]["runner"] == "no_room"
    assert line["room"]["cpu"] == 500


@pytest.mark.parametrize("seed", range(20))
def test_explanations_agree_with_the_choice(seed):
    # Guards against a line that blames a runner on which the task would start,
    # or leaves out why it would not.
    random = random_module.Random(seed)
    owner = scheduling_tests.make_random_owner(random)
    for runner in owner.runners.values():
        changes = random.choice([{}, {}, *STATES.values()])
        for name, value in changes.items():
            if name not in ("cpu", "draining"):
                setattr(runner, name, value)
    run_pass(owner, 8.5)
    model_ = owner.interference_model
    runners, seen = list(owner.runners.values()), set()
    for task in owner.table.tasks.values():
        if random.random() < 0.3:
            task.crashes = (model.Crash("gone", 1, "m", True, False),)
        found = placement.list_obstacles(task, runners, model_, 8.6)
        chosen = placement.choose_runner(task, runners, model_, 8.6)
        accepting = [r for r, obstacle in found if obstacle is None]
        assert (chosen is None) == (not accepting)
        assert chosen is None or chosen in accepting
        seen.update(obstacle for _, obstacle in found)
    assert len(seen) > 2


def test_a_wait_is_reported_at_most_once_in_two_seconds(lines):
    # Guards against a log that grows with the load that it reports.
    owner = make_waiting_owner(decisions.make_runner("a", silent=True), count=9)
    reporter = waits.Reporter()
    for tenth in range(10, 60):
        report_wait(owner, tenth / 10, reporter)
    found = find_lines(lines, "task_waits")
    assert [line["waited_s"] for line in found] == [1.0, 3.0]
    assert [line["waiting"] for line in found] == [9, 9]


def test_the_longest_wait_of_each_kind_is_reported(lines):
    # Guards against a long-running task that hides behind batch tasks that
    # have waited for longer.
    owner = make_waiting_owner(count=2, ready_since=4.0)
    owner.table.ready["j.0.0.1"].ready_since = 3.5
    state = decisions.add_job(owner.table, decisions.make_step(), job_id="b")
    late = decisions.add_job(owner.table, decisions.make_step(), job_id="later")
    late.steps[0, 0].due_at = 100.0
    report_wait(owner, 6.0)
    assert state.steps[0, 0].tasks[0].name == "b.0.0.0"
    found = {line["task"]: line for line in find_lines(lines, "task_waits")}
    assert set(found) == {"j.0.0.1", "b.0.0.0"}
    assert found["j.0.0.1"]["reason"] == "no_runners"


def test_a_wait_names_an_easier_task_and_a_trial(lines):
    # Guards against a suspect that waits for its trial, or for the pass, while
    # the line blames the runners.
    runner = decisions.make_runner("a", trial_until=5.5)
    crash = model.Crash("gone", 1, "m", True, False)
    owner = make_waiting_owner(runner, crashes=(crash,))
    report_wait(owner, 5.0)
    (line,) = find_lines(lines, "task_waits")
    assert line["left_out"] == {"kept_for_trial": 1}
    assert line["crashes"] == 1
    task = owner.table.ready["j.0.0.0"]
    task.crashes = ()
    current = scheduling.Pass(6.0)
    scheduling._mark_blocked(task, "s", current)
    wait = waits.explain_wait(owner, task, current)
    assert (wait.reason, wait.accepting, wait.blocked) == (
        "easier_task",
        1,
        True,
    )


def test_metrics_count_waits_by_kind_and_reason():
    # Guards against alerts that cannot tell a service that waits from a queue.
    read = prometheus_client.REGISTRY.get_sample_value
    labels = {"kind": "long_running", "reason": "silent"}
    name = "plantainvane_task_waits_total"
    before = read(name, labels) or 0
    runner = decisions.make_runner("a", silent=True)
    owner = make_waiting_owner(runner)
    report_wait(owner, 5.0)
    assert read(name, labels) == before + 1
    name, labels = (
        "plantainvane_task_wait_seconds_sum",
        {"kind": labels["kind"]},
    )
    before = read(name, labels) or 0
    runner.silent = False
    run_pass(owner, 7.0)
    assert read(name, labels) == pytest.approx(before + 6.0)


def make_absent_owner(change):
    """Makes an owner whose service is charged to runner `a`, then changed."""
    runner = decisions.make_runner("a", lease_until_ms=5000)
    runner.answered_at = runner.clock_read_at = 1.0
    runner.lease_requested_at = 1.0
    owner = scheduling_tests.make_owner(runner)
    step = decisions.make_step(long_running=True)
    (run,) = decisions.place_runs(runner, owner.table, step, job_id="j")
    runner.answered_at = 1.0
    change(owner, runner, run)
    return owner


def set_silent(owner, runner, run):
    runner.silent = True


def set_unlisted(owner, runner, run):
    runner.listed = False


def set_unfenced(owner, runner, run):
    runner.fenced = False


def set_orphan(owner, runner, run):
    del owner.runners["a"]
    owner.orphans["a"] = [run]


def set_uncharged(owner, runner, run):
    runner.charge(run, -1)


def set_gone(owner, runner, run):
    del owner.runners["a"]


def set_stopping(owner, runner, run):
    run.phase = attempts.Phase.STOPPING


def set_unconfirmed(owner, runner, run):
    run.phase = attempts.Phase.STARTING


def drop_silently(owner, runner, run):
    run.task.runs.remove(run)


@pytest.mark.parametrize(
    ("change", "state", "end"),
    [
        (set_silent, "silent", "lease"),
        (set_unfenced, "not_fenced", "earlier leases"),
        (set_orphan, "orphan", "earlier leases"),
        (set_uncharged, "uncharged", "none"),
        (set_gone, "uncharged", "none"),
        (set_stopping, "stopping", "lease"),
        (set_unconfirmed, "unconfirmed", "lease"),
        (drop_silently, "not_ready", "none"),
    ],
)
def test_an_absence_names_what_the_task_waits_for(lines, change, state, end):
    # Guards against a long-running task that neither runs nor is ready, without
    # a line that tells whether its lease, its runner or nobody holds it.
    owner = make_absent_owner(change)
    reporter = absences.Reporter()
    for now in (1.0, 1.5, 2.0, 2.5, 3.0):
        absences.report_absences(reporter, owner, now)
    (line,) = find_lines(lines, "tasks_not_at_work")
    assert (line["state"], line["task"]) == (state, "j.0.0.0")
    assert line["names"] == ["j.0.0.0"]
    assert (line["tasks"], line["seen_for_s"]) == (1, 1.0)
    settings = decisions.SETTINGS
    lease_s = 5.0 / (1 - settings.clock_rate_error)
    lease_end = 1.0 + lease_s + settings_module.LEASE_MARGIN_S
    ends = {"lease": lease_end, "earlier leases": settings.old_lease_limit_s}
    expected = (
        pytest.approx(ends[end] - 2.0, abs=0.001) if end in ends else None
    )
    assert line["ends_in_s"] == expected


@pytest.mark.parametrize(
    "change", [lambda owner, runner, run: None, set_unlisted]
)
def test_tasks_at_work_or_ready_are_not_absent(change):
    # Guards against lines about tasks that run, also on a runner that answers
    # and has left the list, or that wait for room or for others.
    owner = make_absent_owner(change)
    decisions.add_job(
        owner.table,
        decisions.make_step(long_running=True),
        decisions.make_step(long_running=True, depends_on=(0,)),
        job_id="k",
    )
    assert absences.list_absences(owner) == []


@pytest.mark.parametrize("seed", range(20))
def test_absences_are_those_of_looking_at_each_task(seed, monkeypatch):
    # Guards against a look that blocks the event loop as it asks for the state
    # of each task that is at work, and against one that misses an absence.
    random = random_module.Random(seed)
    owner = scheduling_tests.make_owner(
        *(decisions.make_runner(f"r{number}") for number in range(4))
    )
    names = list(owner.runners)
    step = decisions.make_step(count=40, cpu=1, memory_mb=1, long_running=True)
    decisions.add_job(owner.table, step)
    for task in list(owner.table.tasks.values())[:36]:
        for name in random.sample(names, random.choice((1, 1, 1, 2))):
            run = owner.table.begin_run(task, name, 0.0)
            run.phase = random.choice(list(attempts.Phase))
            if random.random() < 0.8:
                owner.runners[name].charge(run)
            if random.random() < 0.2:
                task.runs.remove(run)
    set_silent(owner, owner.runners["r0"], None)
    set_unfenced(owner, owner.runners["r1"], None)
    if random.random() < 0.5:
        del owner.runners["r2"]
    expected = [
        absence
        for task in owner.table.tasks.values()
        if (absence := absences.find_absence(owner, task)) is not None
    ]
    looked = scheduling_tests.count_calls(monkeypatch, absences, "find_absence")
    assert absences.list_absences(owner) == expected
    assert len(looked) <= len(expected) + len(owner.table.ready)
    assert 0 < len(expected) < 36


def test_two_attempts_that_are_seen_to_stop_are_no_long_absence(lines):
    # Guards against a line about a task that ran between two looks.
    owner = make_absent_owner(set_stopping)
    reporter = absences.Reporter()
    absences.report_absences(reporter, owner, 1.0)
    (run,) = owner.table.tasks["j.0.0.0"].runs
    run.attempt += 1
    absences.report_absences(reporter, owner, 2.0)
    assert not find_lines(lines, "tasks_not_at_work")
    absences.report_absences(reporter, owner, 3.0)
    assert len(find_lines(lines, "tasks_not_at_work")) == 1


def test_a_believed_lease_in_the_line_is_no_longer_than_the_longest(lines):
    # Guards against a belief about a lease that outlasts every lease and cannot
    # be told from a runner that is silent for a moment.
    def change(owner, runner, run):
        runner.silent, runner.lease_until_ms = True, 3_000_000
        runner.lease_requested_at = 8.0

    owner = make_absent_owner(change)
    reporter = absences.Reporter()
    for now in (8.0, 9.0):
        absences.report_absences(reporter, owner, now)
    (line,) = find_lines(lines, "tasks_not_at_work")
    settings = decisions.SETTINGS
    longest_s = settings.max_lease_s / (1 - settings.clock_rate_error)
    expected = 8.0 + longest_s + settings_module.LEASE_MARGIN_S - 9.0
    assert line["lease_in_s"] == pytest.approx(expected, abs=0.001)
    assert line["clock_age_s"] == line["answered_ago_s"] == 8.0


def test_a_takeover_tells_what_restored_attempts_wait_for():
    # Guards against a new owner whose tasks wait for 10 s for leases of earlier
    # owners without a line that names the runner.
    owner = make_absent_owner(set_orphan)
    fields = absences.describe_restored(owner, 1.0)
    assert fields == {
        "restored": 1,
        "waiting": {"orphan": 1},
        "last_end_in_s": pytest.approx(
            decisions.SETTINGS.old_lease_limit_s - 1.0, abs=0.001
        ),
        "last_end_runner": "a",
    }


@pytest.mark.anyio
async def test_the_owner_reports_after_its_passes(lines):
    # Guards against reports that are never asked for.
    runner = decisions.make_runner("a", silent=True)
    owner = make_waiting_owner(runner, ready_since=clock.read_now() - 5.0)
    step = decisions.make_step(long_running=True)
    decisions.place_runs(runner, owner.table, step, job_id="held")
    async with anyio.create_task_group() as group:
        group.start_soon(owner_module._schedule, owner)
        with anyio.fail_after(10.0):
            while not find_lines(lines, "tasks_not_at_work"):
                await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert find_lines(lines, "task_waits")[0]["task"] == "j.0.0.0"
    assert find_lines(lines, "tasks_not_at_work")[0]["names"] == ["held.0.0.0"]


@pytest.mark.parametrize(("ordered_at", "ran_ms"), [(2.0, 6000), (0.0, None)])
def test_run_time_of_an_inherited_attempt_is_not_guessed(
    lines, ordered_at, ran_ms
):
    # Guards against a run time since the start of the clock in the line of an
    # attempt that an earlier owner has ordered.
    owner = make_absent_owner(lambda *unused: None)
    runner = owner.runners["a"]
    (run,) = runner.runs
    run.ordered_at = ordered_at
    end = model.AttemptEnd(1, run.task.name, run.attempt, "lapsed", "")
    status = model.RunnerStatus(runner.entry.born_ms, 9000, (), (end,))
    sessions._apply_reply(owner, runner, status, 7.9, 8.0)
    (line,) = find_lines(lines, "task_ended")
    assert line["ran_ms"] == ran_ms
