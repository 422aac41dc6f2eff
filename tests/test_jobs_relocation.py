"""Which long-running tasks move so that fill tasks find a runner."""

import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import placement
from plantainvane.jobs import relocation
from plantainvane.jobs import scheduling as scheduling_module
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling

DEMAND = {"noisy": 20_000}


def make_pool(**web_fields):
    """Makes a runner with one disturbed task, and one with several."""
    table = table_module.JobTable()
    interference_model = interference.InterferenceModel()
    interference_model.effects["web", "noisy"] = interference.Effect(
        0.2, 0.001, 9.0
    )
    interference_model.effects["db", "noisy"] = interference.Effect(
        0.0, 0.001, 9.0
    )
    clearable, full = decisions.make_runner("a"), decisions.make_runner("b")
    for runner in (clearable, full):
        runner.answered_at = 10.0
    fields = {"long_running": True, "target_ms": 18, "cpu": 4000}
    undisturbed = decisions.make_step(image="db", **fields)
    web = decisions.make_step(image="web", **{**fields, **web_fields})
    decisions.place_runs(clearable, table, undisturbed, job_id="calm")
    movable = decisions.place_runs(clearable, table, web, job_id="movable")
    for number in range(3):
        fixed = decisions.make_step(image="web", **{**fields, "cpu": 3000})
        decisions.place_runs(full, table, fixed, job_id=f"settled-{number}")
    return table, interference_model, [clearable, full], movable


def test_runner_is_cleared_of_the_task_that_excludes_fill_tasks():
    # Guards against an image that disturbs most services and never finds a
    # runner, although a single task excludes it from a whole runner.
    _, interference_model, runners, movable = make_pool()
    moves = relocation.choose_moves(DEMAND, runners, interference_model, 10.0)
    assert moves == movable


def test_no_task_moves_for_little_work():
    # Guards against interruptions that cost more than they gain.
    _, interference_model, runners, _ = make_pool()
    assert not relocation.choose_moves(
        {"noisy": 4000}, runners, interference_model, 10.0
    )


def test_task_moves_only_while_the_rest_of_its_step_is_serving():
    # Guards against a step with more interrupted tasks than its disruption
    # budget allows.
    for percent, moves in ((40.0, 0), (100.0, 1)):
        table, interference_model, runners, _ = make_pool()
        other = decisions.make_runner("c", answered_at=10.0)
        step = decisions.make_step(
            count=2, long_running=True, image="web", target_ms=18, cpu=4000
        )
        state = decisions.add_job(table, step, job_id="pair")
        first, second = state.steps[0, 0].tasks
        runs = []
        for task, runner in ((first, runners[0]), (second, other)):
            run = table.begin_run(task, runner.entry.id, 0.0)
            run.phase, run.progress_percent = attempts.Phase.RUNNING, 100.0
            runner.charge(run)
            runs.append(run)
        # Releases the single task, so that only the task of the pair remains.
        gone = next(
            r for r in runners[0].runs if r.task.job.job.id == "movable"
        )
        runners[0].charge(gone, -1)
        runs[1].progress_percent = percent
        chosen = relocation.choose_moves(
            DEMAND, [*runners, other], interference_model, 10.0
        )
        assert len(chosen) == moves


def test_task_without_another_runner_stays():
    # Guards against a service that is stopped and then fits nowhere.
    _, interference_model, runners, _ = make_pool()
    runners[1].cpu = 15_000
    assert not relocation.choose_moves(
        DEMAND, runners, interference_model, 10.0
    )


def test_runner_without_a_recent_reply_is_not_cleared():
    # Guards against a disruption budget that is checked with outdated state.
    _, interference_model, runners, _ = make_pool()
    for runner in runners:
        runner.answered_at = 7.0
    assert not relocation.choose_moves(
        DEMAND, runners, interference_model, 10.0
    )


def test_two_tasks_of_one_step_do_not_move_together():
    # Guards against a disruption budget of one that is checked for each task
    # separately.
    _, interference_model, runners, movable = make_pool(count=2)
    assert len(movable) == 2
    assert not relocation.choose_moves(
        DEMAND, runners, interference_model, 10.0
    )


def test_demand_counts_waiting_and_halted_fill_tasks():
    # Guards against moves for fill tasks that run anyway.
    table, _, runners, _ = make_pool()
    fill = decisions.make_step(fills=True, image="noisy", cpu=2000)
    halted, running = (
        decisions.place_runs(runners[0], table, fill, job_id=name)[0]
        for name in ("halted", "running")
    )
    halted.pace_percent, running.pace_percent = 0, 100
    decisions.add_job(table, fill, job_id="waiting")
    assert relocation.measure_blocked_demand(table, runners, 0.5) == {
        "noisy": 2000
    }
    assert relocation.measure_blocked_demand(table, runners, 2.0) == {
        "noisy": 4000
    }


def test_long_running_task_avoids_a_runner_that_fill_tasks_need():
    # Guards against a moved or restarted task that is placed on the runner that
    # was just cleared.
    table, interference_model, runners, _ = make_pool()
    runners[0].charge(
        next(
            r for r in runners[0].runs if r.task.step.definition.image == "web"
        ),
        -1,
    )
    fields = {"long_running": True, "target_ms": 18, "cpu": 1000}
    step = decisions.make_step(image="mail", **fields)
    interference_model.effects["mail", "noisy"] = interference.Effect(
        0.2, 0.001, 9.0
    )
    state = decisions.add_job(table, step, job_id="new")
    task = state.steps[0, 0].tasks[0]
    for candidates in (runners, runners[::-1]):
        chosen = placement.choose_runner(
            task, candidates, interference_model, 10.0
        )
        assert chosen is runners[1]


@pytest.mark.parametrize(("percent", "moves"), [(100.0, 1), (40.0, 0)])
def test_budget_is_checked_again_after_a_search_in_slices(percent, moves):
    # Guards against a step with more interrupted tasks than its disruption
    # budget allows, as one has failed while the search went on.
    table, interference_model, runners, movable = make_pool()
    other = decisions.make_runner("c", answered_at=10.0)
    owner = scheduling.make_owner(*runners, other)
    for runner in owner.runners.values():
        runner.answered_at = 10.0
    owner.table, owner.interference_model = table, interference_model
    fill = decisions.make_step(
        count=10, fills=True, image="noisy", cpu=2000, memory_mb=90_000
    )
    decisions.add_job(table, fill, job_id="waiting")
    current = scheduling_module.Pass(10.0)
    work = scheduling_module._clear_one(owner, current)
    # One turn for the demand, and one before each runner.
    for _ in range(4):
        next(work)
    movable[0].progress_percent = percent
    assert not list(work)
    assert len(scheduling.list_stopped(owner)) == moves
