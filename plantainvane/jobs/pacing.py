"""Decides at what share of their speed filling tasks may work.

Filling tasks disturb the serving tasks beside them. The tail latency of each
serving task arrives with every look; above its target the fills of that
runner are slowed at once, below it they are released step by step.
"""

from plantainvane.jobs import book
from plantainvane.jobs import runners as runners_module

# Tail over target: from here fills are slowed, and below here released.
SLOW_ABOVE = 0.9
RELEASE_BELOW = 0.65
# One step of a release, in percent of full speed.
RELEASE_STEP = 34
# Over the target this long, fills are stopped from working at all.
HALT_AFTER_S = 1.2


def measure_pressure(runner: runners_module.Runner, now: float) -> float:
    """Highest tail over its target of the runner's serving tasks."""
    worst = 0.0
    for run in runner.runs:
        target_ms = run.task.step.step.target_ms
        if not target_ms or run.phase is not book.Phase.RUNNING:
            continue
        ratio = run.figure / target_ms
        if ratio > 1:
            if run.over_since is None:
                run.over_since = now
        else:
            run.over_since = None
        worst = max(worst, ratio)
    return worst


def decide_paces(
    runner: runners_module.Runner, now: float
) -> list[tuple[book.Run, int]]:
    """New paces of filling tasks in percent, for those that change."""
    fills = [
        run
        for run in runner.runs
        if run.task.step.step.fills and run.phase is book.Phase.RUNNING
    ]
    if not fills:
        return []
    worst = measure_pressure(runner, now)
    halted = any(
        run.over_since is not None and now - run.over_since >= HALT_AFTER_S
        for run in runner.runs
    )
    changes = []
    for run in fills:
        pace = _choose_pace(run.pace, worst, halted)
        if pace != run.pace:
            changes.append((run, pace))
    return changes


def _choose_pace(pace: int, worst: float, halted: bool) -> int:
    if worst > 1:
        return 0 if halted else min(pace, max(0, int(pace * 0.6 / worst)))
    if worst > SLOW_ABOVE:
        return int(pace * 0.75)
    if worst < RELEASE_BELOW:
        return min(100, pace + RELEASE_STEP)
    return pace
