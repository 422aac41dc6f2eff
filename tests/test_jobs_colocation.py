"""Replays of fill tasks beside serving tasks against the pacing decisions.

The tail latency of a serving task is that of a queue: it grows as the
reciprocal of what the load of its step and the fill tasks beside it leave.
"""

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import pacing
from plantainvane.jobs import serving_loads
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions

_TARGET_MS = 18.0
_LOWEST_TAIL_MS = 4.0
_MAX_IMPACT_S = 4.0
_SERVING_STEPS = 4
_FILL_IMAGES = 9
_FILLS_PER_RUNNER = 4
_LOAD_PERIOD_S = 10.0
# The model begins without any knowledge, so the first seconds do not count.
_LEARNING_S = 5.0
_DAY_S = 30.0
_STEP_S = 0.25


class Fleet:
    """Runners with one task of each serving step, and fill tasks that change.

    Attributes:
      effects: Pressure of a fill image that uses a whole runner, by image pair.
      runners: The runners.
    """

    def __init__(self, seed, cores, runners):
        self.random = random.Random(seed)
        self.cores = cores
        self.table = table_module.JobTable()
        self.effects = {
            (f"serving{s}", f"fill{f}"): self.random.choice((0.1, 0.3, 1, 3))
            for s in range(_SERVING_STEPS)
            for f in range(_FILL_IMAGES)
        }
        self.runners = [
            decisions.make_runner(f"r{n}", cpu=cores * 1000)
            for n in range(runners)
        ]
        for number in range(_SERVING_STEPS):
            step = decisions.make_step(
                count=runners,
                long_running=True,
                image=f"serving{number}",
                target_ms=_TARGET_MS,
                cpu=cores * 100,
            )
            state = decisions.add_job(self.table, step, job_id=f"s{number}")
            tasks = state.steps[0, 0].tasks
            for runner, task in zip(self.runners, tasks, strict=True):
                self.place(runner, task)
        self.jobs = 0

    def place(self, runner, task):
        run = self.table.begin_run(task, runner.entry.id, 0.0)
        run.phase, run.progress_percent = attempts.Phase.RUNNING, 100.0
        runner.charge(run)
        return run

    def replace_fills(self, runner, model):
        """Ends the fill tasks of a runner and starts others."""
        for run in list(runner.runs):
            if run.task.step.definition.fills:
                runner.charge(run, -1)
                model.forget_run(run)
        self.jobs += 1
        step = decisions.make_step(
            count=_FILLS_PER_RUNNER,
            fills=True,
            image=f"fill{self.random.randrange(_FILL_IMAGES)}",
            cpu=self.cores * 110,
        )
        state = decisions.add_job(self.table, step, job_id=f"f{self.jobs}")
        for task in state.steps[0, 0].tasks:
            self.place(runner, task)

    def find_load(self, number, now):
        phase = 2 * math.pi * (now / _LOAD_PERIOD_S + number / _SERVING_STEPS)
        return 0.42 * (1 + 0.5 * math.sin(phase))

    def measure(self, runner, now):
        """Sets what the runner reports; returns tasks over target, alone."""
        fills = [r for r in runner.runs if r.task.step.definition.fills]
        for run in fills:
            cpu = run.task.step.definition.amounts.cpu
            run.measurement = cpu * run.pace_percent / 100
            run.measurement *= self.random.uniform(0.85, 1.0)
        over = avoidable = 0
        for number in range(_SERVING_STEPS):
            image = f"serving{number}"
            pressure = alone = self.find_load(number, now)
            for run in fills:
                effect = self.effects[image, run.task.step.definition.image]
                used = run.measurement / 1000 / self.cores
                pressure += effect * used
            for run in runner.runs:
                if run.task.step.definition.image == image:
                    run.measurement = _compute_tail(pressure)
                    is_over = run.measurement > _TARGET_MS
                    over += is_over
                    avoidable += is_over and _compute_tail(alone) <= _TARGET_MS
        return over, avoidable


def _compute_tail(pressure):
    return float(round(_LOWEST_TAIL_MS / (1 - min(0.984, pressure))))


def _play(fleet):
    """Returns the share of serving time over target because of fill tasks."""
    model = interference.InterferenceModel()
    measured = over = 0
    for tick in range(int((_LEARNING_S + _DAY_S) / _STEP_S)):
        now = 1.0 + tick * _STEP_S
        for number, runner in enumerate(fleet.runners):
            if (tick + number) % 10 == 0:
                fleet.replace_fills(runner, model)
                _order_paces(model, runner, now)
            _, avoidable = fleet.measure(runner, now)
            if now > _LEARNING_S:
                measured += _SERVING_STEPS
                over += avoidable
            if (tick + number) % 2 == 0:
                _report(fleet, model, runner, now)
            if number % 3 == 0 and tick % 2:
                # The end of a task returns a poll before the next sample.
                _report(fleet, model, runner, now + 0.1)
    return over / measured


def _report(fleet, model, runner, now):
    model.learn(runner, now)
    pacing.track_target_violations(runner, now)
    _order_paces(model, runner, now)


def _order_paces(model, runner, now):
    for run, percent in pacing.decide_paces(model, runner, _MAX_IMPACT_S, now):
        runner.change_pace(run, percent, now)


@pytest.mark.parametrize("cores", [16, 64, 96])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fills_keep_serving_tasks_under_target(seed, cores):
    # Guards against serving tasks over their target because the load of a
    # service is taken for interference, and on large runners, where each core
    # disturbs less, because the effect of a pair is taken for none.
    assert _play(Fleet(seed, cores, 12)) < 0.04


@pytest.mark.parametrize(
    ("first", "second", "slowed"),
    [
        # The last task of a step, beside one of many that are left.
        ({"done": 9}, {"done": 0}, "second"),
        ({"done": 0}, {"done": 9}, "first"),
        # One whose job has no value left.
        ({"done": 9, "objectives": 5}, {"done": 0}, "first"),
        # Equal ones: the one that disturbs more.
        ({"done": 0}, {"done": 0, "cpu": 2200}, "second"),
    ],
)
def test_fill_with_the_least_loss_for_the_relief_is_slowed(
    first, second, slowed
):
    # Guards against a job that waits for the last task of a step, which is
    # slowed although others are slowed at less loss.
    fleet, now = Fleet(1, 16, 1), 1.0
    (runner,) = fleet.runners
    model = interference.InterferenceModel()
    model.effects["serving0", "fill0"] = interference.Effect(0.1, 0.0001, now)
    step = fleet.table.jobs["s0"].steps[0, 0]
    model.loads[step] = serving_loads.StepLoad(value=0.3, updated_at=now)
    runs = {}
    for name, fields in (("first", first), ("second", second)):
        definition = decisions.make_step(
            count=10, fills=True, image="fill0", cpu=fields.get("cpu", 2000)
        )
        state = decisions.add_job(fleet.table, definition, job_id=name)
        # An objective of 3 s, and the time for all of them.
        state.deadline = now + 3.0 - fields.get("objectives", 0) * 3.0
        state.steps[0, 0].remaining_tasks = 10 - fields["done"]
        runs[name] = fleet.place(runner, state.steps[0, 0].tasks[-1])
    changes = pacing.decide_paces(model, runner, _MAX_IMPACT_S, now)
    assert [run for run, _ in changes] == [runs[slowed]]


def test_a_weak_effect_on_a_worthless_job_ends_no_search():
    # Guards against a serving task that stays over its target, as a task of
    # little effect and less value comes before one that disturbs it.
    fleet, now = Fleet(1, 16, 1), 1.0
    (runner,) = fleet.runners
    model = interference.InterferenceModel()
    step = fleet.table.jobs["s0"].steps[0, 0]
    model.loads[step] = serving_loads.StepLoad(value=0.5, updated_at=now)
    runs = {}
    for image, value, age_s in (("fill0", 0.01, 60.0), ("fill1", 0.04, 0.0)):
        model.effects["serving0", image] = interference.Effect(
            value, 0.0001, now
        )
        definition = decisions.make_step(
            count=10, fills=True, image=image, cpu=2000
        )
        state = decisions.add_job(fleet.table, definition, job_id=image)
        state.deadline = now + 3.0 - age_s
        runs[image] = fleet.place(runner, state.steps[0, 0].tasks[0])
    changes = pacing.decide_paces(model, runner, _MAX_IMPACT_S, now)
    assert [run for run, _ in changes] == [runs["fill1"]]


def test_an_estimate_that_is_no_longer_observed_decays():
    # Guards against a fill task that is slowed for ever for what a pair of
    # images once did.
    model = interference.InterferenceModel()
    model.effects["web", "x"] = interference.Effect(0.4, 0.0001, 1.0)
    assert model.estimate_effect("web", "x", 2.0) == pytest.approx(0.4)
    assert model.estimate_effect("web", "x", 200.0) < interference.MIN_EFFECT


def test_a_report_that_repeats_a_sample_teaches_nothing():
    # Guards against a tail that is learned once more as the effect of what has
    # started since, when a poll returns at the end of a task.
    fleet, model = Fleet(1, 16, 1), interference.InterferenceModel()
    (runner,) = fleet.runners
    fleet.measure(runner, 1.0)
    model.learn(runner, 1.0)
    fleet.replace_fills(runner, model)
    model.learn(runner, 1.1)
    assert model.effects == {}
    assert model.errors.count == _SERVING_STEPS
    for run in runner.runs:
        run.measurement += 1000.0 if run.task.step.definition.fills else 1.0
    model.learn(runner, 1.25)
    assert model.effects


def test_a_core_of_a_large_runner_disturbs_less():
    # Guards against an effect that is learned on small runners and halts fill
    # tasks on large ones.
    model = interference.InterferenceModel()
    model.effects["serving0", "fill0"] = interference.Effect(0.2, 0.0001, 1.0)
    fleet = Fleet(1, 16, 1)
    excess = [
        interference.estimate_excess_pressure(
            model, runner, "fill0", 2.0, 0.86, 1.0
        )
        for runner in (
            fleet.runners[0],
            Fleet(1, 64, 1).runners[0],
        )
    ]
    assert excess[0] - excess[1] == pytest.approx(0.4 - 0.1)


def test_model_keeps_nothing_of_what_has_ended():
    # Guards against an owner whose memory grows with the jobs that it has seen.
    fleet, model = Fleet(1, 16, 2), interference.InterferenceModel()
    for runner in fleet.runners:
        fleet.measure(runner, 1.0)
        model.learn(runner, 1.0)
    assert len(model.loads) == _SERVING_STEPS and len(model.samples) == 2
    fleet.table.cancel_job(fleet.table.jobs["s0"], 1)
    for run in list(fleet.runners[0].runs):
        model.forget_run(run)
    model.forget_ended({"r1": fleet.runners[1]})
    assert len(model.loads) == _SERVING_STEPS - 1
    assert list(model.samples) == ["r1"]
    assert len(model.offsets) == _SERVING_STEPS


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(-10, 1e6), strategies.floats(-1e3, 1e3)
        ),
        max_size=50,
    )
)
def test_any_measurements_leave_a_usable_estimate(rows):
    # Guards against an exception, which ends the owner, after odd tails or a
    # clock that stands still.
    load, now = serving_loads.StepLoad(), 1.0
    for elapsed_s, error in rows:
        now += elapsed_s
        load.advance(now)
        load.correct(error, load.variance + 0.004)
        assert load.variance >= 0 and load.slope_variance >= 0
        assert math.isfinite(load.predict(now, 1.0))
