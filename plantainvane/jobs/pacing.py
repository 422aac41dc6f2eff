"""Decides at what share of full speed fill tasks may run.

Fill tasks disturb the serving tasks on the same runner, each pair of images to
its own degree. Fill tasks that are known to disturb are slowed just enough. If
a tail latency stays above its target although the model does not explain it,
those tasks are slowed further, and then all fill tasks of that runner are
halted before the time limit `max_impact_s` is reached.
"""

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import settings as settings_module

# Tail latencies are kept below this share of their target.
TARGET_SHARE = 0.86
# Pressure levels are extrapolated this far into the future: the age of a
# measurement plus half the interval between two status reports.
_EXTRAPOLATION_S = 0.6
# A fill task that would be slower than this is halted, as it would hardly make
# progress.
_MIN_PACE_PERCENT = 10
# The pace rises by at most this much at a time, in percent of full speed.
_MAX_PACE_INCREASE_PERCENT = 40
# Smaller changes are not worth a call, in percent of full speed.
_MIN_PACE_CHANGE_PERCENT = 12
# A fill task that presses a serving task less than this at full speed is not
# slowed for it: halted, it would hardly relieve the other.
_MIN_FILL_PRESSURE = 0.03
# The last tasks of a step, up to this share of it, and how much more is lost by
# slowing one of them.
_LAST_TASKS_SHARE = 0.2
_LAST_TASKS_LOSS = 4.0
# A job that is late by so many objectives has no value left, and how much is
# lost by slowing one of its tasks.
_EXPIRED_OBJECTIVES = 2.0
_EXPIRED_LOSS = 0.25
# When a serving task has been over its target for these shares of
# `max_impact_s`, the fill tasks beside it that are known to disturb it are
# slowed, then all fill tasks are halted, even if the model does not explain the
# latency.
_SLOW_AFTER_SHARE = 0.3
_HALT_AFTER_SHARE = 0.65


def choose_poll_wait(
    settings: settings_module.Settings, paced_runners: int, late: bool
) -> float:
    """Chooses how long a poll waits while no serving task is over its target.

    Of `max_impact_s`, the time after the halt of the fill tasks covers this
    wait, as the first measurement over the target may be that late, and one
    `service_poll_wait_s`, as the halt may be.

    Args:
      settings: Settings of the process.
      paced_runners: Number of runners with serving tasks and fill tasks.
      late: This process is short of processor time.
    """
    longest_s = min(
        settings.lease_s / 3,
        (1 - _HALT_AFTER_SHARE) * settings.max_impact_s
        - settings.service_poll_wait_s,
    )
    wait_s = paced_runners / settings.max_service_polls_per_s
    if late:
        wait_s = longest_s
    return max(settings.service_poll_wait_s, min(wait_s, longest_s))


def track_target_violations(runner: runners_module.Runner, now: float) -> None:
    """Records since when each serving task has been over its target."""
    for run in interference.list_serving_runs(runner):
        over = run.measurement > run.task.step.definition.target_ms
        if not over or run.phase is not attempts.Phase.RUNNING:
            run.over_target_since = None
        elif run.over_target_since is None:
            run.over_target_since = now


def decide_paces(
    interference_model: interference.InterferenceModel,
    runner: runners_module.Runner,
    max_impact_s: float,
    now: float,
) -> list[tuple[attempts.Run, int]]:
    """Decides the paces of the fill tasks on a runner.

    Args:
      interference_model: Learned effects of fill images on serving images.
      runner: The runner.
      max_impact_s: Longest time that fill tasks may keep a service over its
        target, in seconds.
      now: Present time, in seconds.

    Returns:
      The attempts whose pace has to be ordered, with the pace in percent.
    """
    fills = [
        run
        for run in runner.runs
        if run.task.step.definition.fills
        and run.phase is attempts.Phase.RUNNING
    ]
    if not fills:
        return []
    paces = dict.fromkeys(fills, 100.0)
    for serving in interference.list_serving_runs(runner):
        if serving.phase is attempts.Phase.RUNNING:
            effects = _list_effects(
                interference_model, runner, serving, paces, now
            )
            _slow_disturbing_fills(
                interference_model, serving, effects, paces, now
            )
            _slow_fills_on_violation(serving, effects, paces, max_impact_s, now)
    changes = []
    for run, wanted in paces.items():
        pace = int(min(wanted, run.pace_percent + _MAX_PACE_INCREASE_PERCENT))
        if pace < _MIN_PACE_PERCENT:
            pace = 0
        if (
            not run.pace_confirmed
            or abs(pace - run.pace_percent) >= _MIN_PACE_CHANGE_PERCENT
            or (pace != run.pace_percent and pace in (0, 100))
        ):
            changes.append((run, pace))
    return changes


def _list_effects(
    interference_model: interference.InterferenceModel,
    runner: runners_module.Runner,
    serving: attempts.Run,
    paces: dict[attempts.Run, float],
    now: float,
) -> list[tuple[float, attempts.Run]]:
    """Returns the pressure of each fill task on one serving task.

    The pressure is the one at full speed. The task that is slowed at the least
    loss for the relief comes first.
    """
    image = serving.task.step.definition.image
    scale = interference.find_scale(runner)
    effects = []
    for run in paces:
        step = run.task.step.definition
        effect = interference_model.estimate_effect(image, step.image, now)
        effects.append((effect * step.amounts.cpu / 1000 * scale, run))
    effects.sort(key=lambda row: -row[0] / weigh_loss(row[1].task, now))
    return effects


def weigh_loss(task: attempts.Task, now: float) -> float:
    """Weighs what is lost while a fill task is slowed, 1 for most tasks.

    The last tasks of a step hold up all that follows. A job far beyond its
    objective has little value left.
    """
    job, step = task.job, task.step
    if now > job.deadline + _EXPIRED_OBJECTIVES * job.objective_s:
        return _EXPIRED_LOSS
    if step.remaining_tasks <= _LAST_TASKS_SHARE * len(step.tasks):
        return _LAST_TASKS_LOSS
    return 1.0


def _slow_disturbing_fills(
    interference_model: interference.InterferenceModel,
    serving: attempts.Run,
    effects: list[tuple[float, attempts.Run]],
    paces: dict[attempts.Run, float],
    now: float,
) -> None:
    """Slows the most disturbing fill tasks until the expected pressure fits."""
    image = serving.task.step.definition.image
    total = sum(effect * paces[run] / 100 for effect, run in effects)
    ahead = interference_model.predict_level(serving, now, _EXTRAPOLATION_S)
    limit = interference_model.find_pressure_limit(image, TARGET_SHARE)
    excess = ahead + total - limit
    for effect, run in effects:
        if excess <= 0:
            return
        if effect < _MIN_FILL_PRESSURE:
            continue
        cut = min(paces[run], 100 * excess / effect)
        if cut > 0:
            run.slowed_for = image
        paces[run] -= cut
        excess -= cut / 100 * effect


def _slow_fills_on_violation(
    serving: attempts.Run,
    effects: list[tuple[float, attempts.Run]],
    paces: dict[attempts.Run, float],
    max_impact_s: float,
    now: float,
) -> None:
    """Slows or halts fill tasks beside a task that stays over its target."""
    if serving.over_target_since is None:
        return
    over_s = now - serving.over_target_since
    image = serving.task.step.definition.image
    for effect, run in effects:
        if over_s >= _HALT_AFTER_SHARE * max_impact_s:
            paces[run], run.slowed_for = 0.0, image
        elif (
            over_s >= _SLOW_AFTER_SHARE * max_impact_s
            and effect >= _MIN_FILL_PRESSURE
        ):
            paces[run], run.slowed_for = min(paces[run], 40.0), image
