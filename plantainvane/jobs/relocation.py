"""Decides which long-running tasks move so that fill tasks find a runner.

A fill image that disturbs most services can run on few runners. While tasks of
such an image wait, a runner on which it disturbs only one or two tasks is
cleared of them, within the disruption budgets of their steps.
"""

from collections.abc import Generator
from collections.abc import Iterable

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import table as table_module

# Most tasks that are moved to clear one runner; moving more would take longer
# than it gains.
_MAX_MOVED_TASKS = 2
# Blocked fill demand that each moved task has to unblock, in thousandths of a
# core; a restarted task is away for about 2 s and is half used.
_MIN_GAIN_MILLICORES = 5_000
# A running fill task at this pace or below counts as blocked.
_BLOCKED_PACE_PERCENT = 20
# A fill task that has waited longer than this counts as blocked.
_BLOCKED_AFTER_S = 1.0
# The state of a runner that last answered longer ago than this may be out of
# date.
_MAX_STATUS_AGE_S = 1.5


def measure_blocked_demand(
    table: table_module.JobTable,
    runners: Iterable[runners_module.Runner],
    now: float,
) -> dict[str, int]:
    """Returns the blocked fill demand by image, in thousandths of a core.

    Fill tasks that wait for a runner or that are almost halted are blocked.
    """
    demand: dict[str, int] = {}

    def add(task: attempts.Task) -> None:
        step = task.step.definition
        if step.fills:
            cpu = demand.get(step.image, 0) + step.amounts.cpu
            demand[step.image] = cpu

    for task in table.ready.values():
        if now - task.ready_since > _BLOCKED_AFTER_S:
            add(task)
    for runner in runners:
        for run in runner.runs:
            if (
                run.phase is attempts.Phase.RUNNING
                and run.pace_percent <= _BLOCKED_PACE_PERCENT
            ):
                add(run.task)
    return demand


def choose_moves(
    demand: dict[str, int],
    runners: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> list[attempts.Run]:
    """Chooses long-running tasks of one runner that should move elsewhere.

    Args:
      demand: Blocked fill demand by image, in thousandths of a core.
      runners: All runners.
      interference_model: Learned effects of fill images on serving images.
      now: Present time, in seconds.

    Returns:
      The attempts to stop, at most one of each step; empty if no move gains
      enough.
    """
    search = search_moves(demand, runners, interference_model, now)
    while True:
        try:
            next(search)
        except StopIteration as end:
            return end.value


def search_moves(
    demand: dict[str, int],
    runners: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> Generator[None, None, list[attempts.Run]]:
    """Chooses as `choose_moves`, and yields before it examines a runner."""
    if sum(demand.values()) < _MIN_GAIN_MILLICORES:
        return []
    disturbed_images = _find_disturbed_images(demand, interference_model, now)
    best: list[attempts.Run] = []
    best_gain = 0.0
    for runner in runners:
        yield
        if not _is_responsive(runner, now):
            continue
        disturbed = {
            image: _list_disturbed_runs(runner, images)
            for image, images in disturbed_images.items()
        }
        for image, moved in disturbed.items():
            steps = {id(run.task.step) for run in moved}
            if not 0 < len(moved) == len(steps) <= _MAX_MOVED_TASKS:
                continue
            gain = _measure_gain(runner, moved, demand, disturbed)
            gain -= _MIN_GAIN_MILLICORES * len(moved)
            if gain > best_gain and all(
                _may_move(
                    run,
                    disturbed_images[image],
                    runners,
                    interference_model,
                    now,
                )
                for run in moved
            ):
                best, best_gain = moved, gain
    return best


def _is_responsive(runner: runners_module.Runner, now: float) -> bool:
    return (
        runner.listed
        and runner.fenced
        and not runner.silent
        and not runner.entry.draining
        and not runner.evacuated
        and now - runner.answered_at < _MAX_STATUS_AGE_S
    )


def _find_disturbed_images(
    demand: dict[str, int],
    interference_model: interference.InterferenceModel,
    now: float,
) -> dict[str, set[str]]:
    """Returns the serving images that each fill image in demand disturbs."""
    images: dict[str, set[str]] = {image: set() for image in demand}
    for serving_image, image in interference_model.effects:
        if image in images and (
            interference_model.find_effect(serving_image, image, now) > 0
        ):
            images[image].add(serving_image)
    return images


def _list_disturbed_runs(
    runner: runners_module.Runner, images: set[str]
) -> list[attempts.Run]:
    """Returns the attempts of serving tasks with one of the images."""
    runs = []
    for run in runner.runs:
        step = run.task.step.definition
        if step.target_ms and step.image in images:
            runs.append(run)
    return runs


def _is_disturbed(runner: runners_module.Runner, images: set[str]) -> bool:
    """Tells whether the runner has a serving task with one of the images."""
    for run in runner.runs:
        step = run.task.step.definition
        if step.image in images and step.target_ms:
            return True
    return False


def _measure_gain(
    runner: runners_module.Runner,
    moved: list[attempts.Run],
    demand: dict[str, int],
    disturbed: dict[str, list[attempts.Run]],
) -> float:
    """Returns the blocked demand that could run here only after the move."""
    working = sum(
        run.measurement for run in runner.runs if run.task.step.definition.fills
    )
    freed = sum(run.task.step.definition.amounts.cpu for run in moved)
    headroom = placement.measure_unused_cpu(runner) - working
    headroom_after = headroom + freed * placement.SERVING_CPU_UTILIZATION
    before = sum(demand[i] for i, runs in disturbed.items() if not runs)
    after = sum(
        demand[i] for i, runs in disturbed.items() if set(runs) <= set(moved)
    )
    return min(headroom_after, after) - min(headroom, before)


def _may_move(
    run: attempts.Run,
    images: set[str],
    runners: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> bool:
    """Tells whether the budget allows a move and another runner has capacity.

    Only runners with a serving task of one of the images are considered, as
    they are disturbed anyway.
    """
    others = (
        runner
        for runner in runners
        if runner.entry.id != run.runner and _is_disturbed(runner, images)
    )
    return respects_disruption_budget(run, runners, now) and (
        placement.can_start(run.task, others, interference_model, now)
    )


def respects_disruption_budget(
    run: attempts.Run, runners: list[runners_module.Runner], now: float
) -> bool:
    """Tells whether every task of the step is known to be fully at work."""
    responsive = {r.entry.id for r in runners if _is_responsive(r, now)}
    return all(
        any(
            other.phase is attempts.Phase.RUNNING
            and other.progress_percent >= 100
            and other.runner in responsive
            for other in task.runs
        )
        for task in run.task.step.tasks
    )
