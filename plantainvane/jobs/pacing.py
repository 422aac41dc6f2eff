"""Decides at what share of their speed filling tasks may work.

Filling tasks disturb the serving tasks beside them, each image pair in its own
way. The fills that are known to disturb are slowed just enough; when a tail
stays above its target although the model does not explain it, all fills of
that runner are slowed and then halted before the harm bound is reached.
"""

import math

from plantainvane.jobs import book
from plantainvane.jobs import interference
from plantainvane.jobs import runners as runners_module

# Tails are kept below this share of their target, as a logarithm.
LIMIT = math.log(0.85)
# Slower than this, a filling task is halted: it would hardly move.
_LEAST_PACE = 10
# A release goes by at most this much at a time, in percent of full speed.
_RELEASE_STEP = 40
# Changes below this are not worth a call, in percent of full speed.
_SMALLEST_CHANGE = 12
# Over its target this long, a task gets relief even without an explanation.
# Shares of the harm bound.
_SLOW_SHARE = 0.3
_HALT_SHARE = 0.5


def note_tails(runner: runners_module.Runner, now: float) -> None:
    """Notes since when each serving task has been over its target."""
    for run in interference.list_serving(runner):
        over = run.figure > run.task.step.step.target_ms
        if not over or run.phase is not book.Phase.RUNNING:
            run.over_since = None
        elif run.over_since is None:
            run.over_since = now


def decide_paces(
    learned: interference.Interference,
    runner: runners_module.Runner,
    harm_s: float,
    now: float,
) -> list[tuple[book.Run, int]]:
    """New paces of filling tasks in percent, for those that change."""
    fills = [
        run
        for run in runner.runs
        if run.task.step.step.fills and run.phase is book.Phase.RUNNING
    ]
    if not fills:
        return []
    paces = dict.fromkeys(fills, 100.0)
    for serving in interference.list_serving(runner):
        if serving.phase is book.Phase.RUNNING:
            _make_room(learned, serving, paces)
            _relieve(serving, paces, harm_s, now)
    changes = []
    for run, wanted in paces.items():
        pace = int(min(wanted, run.pace + _RELEASE_STEP))
        if pace < _LEAST_PACE:
            pace = 0
        if abs(pace - run.pace) >= _SMALLEST_CHANGE or (
            pace != run.pace and pace in (0, 100)
        ):
            changes.append((run, pace))
    return changes


def _make_room(
    learned: interference.Interference,
    serving: book.Run,
    paces: dict[book.Run, float],
) -> None:
    """Slows the most disturbing fills until the expected tail fits."""
    image = serving.task.step.step.image
    effects = []
    for run, pace in paces.items():
        step = run.task.step.step
        effect = learned.find_effect(image, step.image) * step.amounts.cpu
        effects.append((effect / 1000, run, pace))
    total = sum(effect * pace / 100 for effect, _, pace in effects)
    excess = learned.find_level(serving) + total - LIMIT
    effects.sort(key=lambda row: -row[0])
    for effect, run, pace in effects:
        if excess <= 0 or effect <= 0.02:
            return
        cut = min(pace, 100 * excess / effect)
        paces[run] = pace - cut
        excess -= cut / 100 * effect


def _relieve(
    serving: book.Run,
    paces: dict[book.Run, float],
    harm_s: float,
    now: float,
) -> None:
    """Slows every fill beside a task that stays over its target."""
    if serving.over_since is None:
        return
    over_s = now - serving.over_since
    if over_s >= _HALT_SHARE * harm_s:
        factor = 0.0
    elif over_s >= _SLOW_SHARE * harm_s:
        factor = 0.4
    else:
        return
    for run in paces:
        paces[run] = min(paces[run], 100 * factor)
