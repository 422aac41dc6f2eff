"""Reports of attempts that outlive their job or task."""

import anyio
import prometheus_client
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import outliving
from plantainvane.jobs import stops
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes
from tests import test_jobs_waits as waits_tests

OUTCOME = interfaces.OrderOutcome
lines = waits_tests.lines


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_owner(count=1):
    """Makes an owner with a cancelled job whose attempts run on."""
    runner = decisions.make_runner("a")
    owner = passes.make_owner(runner)
    step = decisions.make_step(count=count, long_running=True)
    runs = decisions.place_runs(runner, owner.table, step, job_id="j")
    decisions.cancel_job(owner.table, owner.table.jobs["j"])
    return owner, runner, runs


def order_stop(owner, runner, run):
    stops.stop_run(owner, run, "job ended")


def answer_stop(owner, runner, run):
    order_stop(owner, runner, run)
    run.stop.answered_at, run.stop.outcome = 1.0, "done"


def lose_runner(owner, runner, run):
    order_stop(owner, runner, run)
    runner.silent = True


def unlist_runner(owner, runner, run):
    order_stop(owner, runner, run)
    del owner.runners["a"]
    owner.orphans["a"] = [run]


@pytest.mark.parametrize(
    ("change", "state"),
    [
        (lambda *unused: None, "not_ordered"),
        (order_stop, "unanswered"),
        (answer_stop, "runs_on"),
        (lose_runner, "silent"),
        (unlist_runner, "unlisted"),
    ],
)
def test_an_attempt_that_outlives_its_job_is_reported(lines, change, state):
    # Guards against a task that runs on after its cancel without a line that
    # tells whether its stop was ordered, answered or could not be sent.
    owner, runner, (run,) = make_owner()
    change(owner, runner, run)
    reporter = outliving.Reporter()
    for now in (1.0, 1.5, 2.0, 3.0, 4.0):
        outliving.report_outliving(reporter, owner, now)
    first, second = waits_tests.find_lines(lines, "attempts_outlive_task")
    assert (first["state"], first["task"]) == (state, "j.0.0.0")
    assert (first["count"], first["names"]) == (1, ["j.0.0.0"])
    assert (first["seen_for_s"], second["seen_for_s"]) == (1.0, 3.0)
    assert first["job_ended"] == "cancelled"
    assert (first.get("stop_outcome") == "done") == (state == "runs_on")


def test_attempts_of_open_tasks_are_not_reported(lines):
    # Guards against lines about all that runs, and about stops of open tasks.
    runner = decisions.make_runner("a")
    owner = passes.make_owner(runner)
    step = decisions.make_step(count=2, long_running=True)
    run, _ = decisions.place_runs(runner, owner.table, step)
    stops.stop_run(owner, run, "moved")
    reporter = outliving.Reporter()
    for now in (1.0, 9.0):
        outliving.report_outliving(reporter, owner, now)
    assert not waits_tests.find_lines(lines, "attempts_outlive_task")


def test_the_gauge_shows_the_oldest_and_falls_to_zero(lines):
    # Guards against an alert that never ends, and against one line for each of
    # many attempts.
    owner, runner, runs = make_owner(count=9)
    reporter = outliving.Reporter()
    for now in (1.0, 1.9, 4.0):
        outliving.report_outliving(reporter, owner, now)
    assert read_gauge() == 3.0
    (line,) = waits_tests.find_lines(lines, "attempts_outlive_task")
    assert (line["count"], len(line["names"])) == (9, 5)
    for run in runs:
        runner.charge(run, -1)
        owner.table.end_run(run, "stopped", "", 5.0, 1)
    outliving.report_outliving(reporter, owner, 5.0)
    assert read_gauge() == 0.0


def read_gauge():
    name = "plantainvane_oldest_outliving_attempt_seconds"
    return prometheus_client.REGISTRY.get_sample_value(name)


class StopCalls:
    """Answers stops from a script."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)

    async def stop(self, *unused):
        return self.outcomes.pop(0)


@pytest.mark.anyio
async def test_the_answer_of_a_stop_is_logged(lines):
    # Guards against a stop whose outcome, and number of tries, no line tells.
    owner, runner, (run,) = make_owner()
    runner.calls = StopCalls(OUTCOME.LOST, OUTCOME.UNHEALTHY, OUTCOME.OLD)
    stops.stop_run(owner, run, "job ended")
    with anyio.fail_after(5.0):
        await stops._send_stop(owner, run)
    assert run.phase is attempts.Phase.STOPPING
    (line,) = waits_tests.find_lines(lines, "stop_answered")
    assert (line["outcome"], line["sent"]) == ("old", 3)
    assert line["took_ms"] >= 100
