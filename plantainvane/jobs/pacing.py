"""Decides at what share of their speed filling tasks may work.

Filling tasks disturb the serving tasks beside them, each image pair in its own
way. The fills that are known to disturb are slowed just enough; when a tail
stays above its target although the model does not explain it, all fills of
that runner are slowed and then halted before the harm bound is reached.
"""

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import runners as runners_module

# Tails are kept below this share of their target.
TARGET_SHARE = 0.86
# A level is extrapolated this far: the age of a figure and half a look.
_EXTRAPOLATION_S = 0.6
# Slower than this, a filling task is halted: it would hardly move.
_MIN_PACE_PERCENT = 10
# A release goes by at most this much at a time, in percent of full speed.
_MAX_PACE_INCREASE_PERCENT = 40
# Changes below this are not worth a call, in percent of full speed.
_MIN_PACE_CHANGE_PERCENT = 12
# Over its target this long, a task gets relief even without an explanation.
# Shares of the harm bound.
_SLOW_AFTER_SHARE = 0.3
_HALT_AFTER_SHARE = 0.65


def track_target_violations(runner: runners_module.Runner, now: float) -> None:
    """Notes since when each serving task has been over its target."""
    for run in interference.list_serving_runs(runner):
        over = run.measurement > run.task.step.step.target_ms
        if not over or run.phase is not attempts.Phase.RUNNING:
            run.over_target_since = None
        elif run.over_target_since is None:
            run.over_target_since = now


def decide_paces(
    learned: interference.InterferenceModel,
    runner: runners_module.Runner,
    harm_s: float,
    now: float,
) -> list[tuple[attempts.Run, int]]:
    """New paces of filling tasks in percent, for those that change."""
    fills = [
        run
        for run in runner.runs
        if run.task.step.step.fills and run.phase is attempts.Phase.RUNNING
    ]
    if not fills:
        return []
    paces = dict.fromkeys(fills, 100.0)
    for serving in interference.list_serving_runs(runner):
        if serving.phase is attempts.Phase.RUNNING:
            effects = _list_effects(learned, serving, paces, now)
            _slow_disturbing_fills(learned, serving, effects, paces)
            _slow_fills_on_violation(serving, effects, paces, harm_s, now)
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
    learned: interference.InterferenceModel,
    serving: attempts.Run,
    paces: dict[attempts.Run, float],
    now: float,
) -> list[tuple[float, attempts.Run]]:
    """Pressure of each fill at full speed on one task, highest first."""
    image = serving.task.step.step.image
    effects = []
    for run in paces:
        step = run.task.step.step
        effect = learned.find_effect(image, step.image, now)
        effects.append((effect * step.amounts.cpu / 1000, run))
    effects.sort(key=lambda row: -row[0])
    return effects


def _slow_disturbing_fills(
    learned: interference.InterferenceModel,
    serving: attempts.Run,
    effects: list[tuple[float, attempts.Run]],
    paces: dict[attempts.Run, float],
) -> None:
    """Slows the most disturbing fills until the expected tail fits."""
    total = sum(effect * paces[run] / 100 for effect, run in effects)
    level = learned.find_level(serving)
    ahead = level.value + max(0.0, level.slope) * _EXTRAPOLATION_S
    limit = learned.find_pressure_limit(
        serving.task.step.step.image, TARGET_SHARE
    )
    excess = ahead + total - limit
    for effect, run in effects:
        if excess <= 0 or effect <= 0:
            return
        cut = min(paces[run], 100 * excess / effect)
        paces[run] -= cut
        excess -= cut / 100 * effect


def _slow_fills_on_violation(
    serving: attempts.Run,
    effects: list[tuple[float, attempts.Run]],
    paces: dict[attempts.Run, float],
    harm_s: float,
    now: float,
) -> None:
    """Slows fills beside a task that stays over its target."""
    if serving.over_target_since is None:
        return
    over_s = now - serving.over_target_since
    for effect, run in effects:
        if over_s >= _HALT_AFTER_SHARE * harm_s:
            paces[run] = 0.0
        elif over_s >= _SLOW_AFTER_SHARE * harm_s and effect > 0:
            paces[run] = min(paces[run], 40.0)
