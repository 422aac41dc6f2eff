"""Large jobs: the owner loads, runs and stores them without a long pause.

An owner whose event loop stands still answers no ping and renews no lease, so
it is replaced, and each successor loads the same job.
"""

import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import model
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions


class CountedSteps(dict):
    """Steps of a job; counts how many are visited."""

    visits = 0

    def items(self):
        for item in super().items():
            CountedSteps.visits += 1
            yield item


def make_job(steps, repeat_count=0):
    return model.Job(
        id="j",
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=steps,
        repeat_count=repeat_count,
    )


@pytest.mark.parametrize(
    "job",
    [
        make_job((decisions.make_step(),), repeat_count=1000),
        make_job(
            tuple(
                decisions.make_step(depends_on=(n - 1,) if n else ())
                for n in range(1000)
            )
        ),
    ],
    ids=["occurrences", "chain"],
)
def test_the_end_of_a_step_visits_only_the_steps_that_wait_for_it(
    job, monkeypatch
):
    # Guards against a job of many steps or occurrences whose load takes a time
    # that grows with their square: 30 s at 20,000 steps.
    monkeypatch.setattr(CountedSteps, "visits", 0)
    table = table_module.JobTable()
    state = table.add_job(job, decisions.QUEUE, None, 1.0, 1)
    state.steps = CountedSteps(state.steps)
    for step_state in state.steps.values():
        (task,) = step_state.tasks
        run = table.begin_run(task, "r", 1.0)
        table.end_run(run, "done", "", 2.0, 2)
    assert state.ended == "completed"
    # Closing the job visits each step once.
    assert CountedSteps.visits <= 2 * len(state.steps)


def test_only_the_steps_that_wait_for_a_step_are_released():
    # Guards against a step that starts early in another occurrence, or not at
    # all because it names a dependency twice.
    table = table_module.JobTable()
    steps = (
        decisions.make_step(),
        decisions.make_step(depends_on=(0, 0)),
        decisions.make_step(depends_on=(0, 1)),
    )
    state = table.add_job(make_job(steps, 2), decisions.QUEUE, None, 1.0, 1)
    assert sorted(table.ready) == ["j.0.0.0", "j.1.0.0"]
    run = table.begin_run(state.steps[1, 0].tasks[0], "r", 1.0)
    table.end_run(run, "done", "", 2.0, 2)
    assert sorted(table.ready) == ["j.0.0.0", "j.1.1.0"]
    assert run.task.result is attempts.Result.DONE
