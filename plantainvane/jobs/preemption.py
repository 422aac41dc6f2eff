"""Decides which attempts are stopped to make room for a more urgent task."""

from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import model
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import trials

# Core-seconds that a stop costs in addition to the lost work: the call to the
# runner and the restart.
_STOP_COST_CORE_S = 0.1


def find_victims(
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[attempts.Run]:
    """Finds the cheapest attempts to preempt for a task, all on one runner.

    Only attempts of less urgent queues are considered, and no long-running
    ones. The list is empty if no runner can be made to fit the task that way,
    by the same rules as `eligibility.has_capacity`.
    """
    step = task.step.definition
    best: list[attempts.Run] = []
    best_cost = float("inf")
    for runner in candidates:
        if not eligibility.accepts_step(runner, step, now) or (
            trials.is_kept_for_other(runner, task, now)
        ):
            continue
        victims, cost = _pick_victims(task, runner, now)
        if victims and cost < best_cost:
            best, best_cost = victims, cost
    return best


class _Missing:
    """What a runner lacks for a task of a step; not positive if it has it."""

    __slots__ = ("accelerators", "cpu", "memory_mb")

    def __init__(self, task: attempts.Task, runner: runners_module.Runner):
        """Counts as `eligibility` does, without what is reserved for the task.

        A task takes none of an amount that it does not need.
        """
        step = task.step.definition
        capacity, amounts = runner.entry.capacity, step.amounts
        reserve = placement.FILL_MEMORY_RESERVE if step.fills else 0.0
        held = runner.sum_reservations(task.job.queue.priority, task.name)
        self.cpu = runner.cpu - capacity.cpu
        if amounts.cpu and not step.fills:
            self.cpu += amounts.cpu + held.cpu
        self.memory_mb = runner.memory_mb - capacity.memory_mb * (1 - reserve)
        if amounts.memory_mb:
            self.memory_mb += amounts.memory_mb + held.memory_mb
        self.accelerators = runner.accelerators - capacity.accelerators
        if amounts.accelerators:
            self.accelerators += amounts.accelerators + held.accelerators

    def is_nothing(self) -> bool:
        return max(self.cpu, self.memory_mb, self.accelerators) <= 0

    def is_reduced_by(self, step: model.Step) -> bool:
        """Tells whether the end of a task frees anything that is missing."""
        return (
            (self.cpu > 0 and not step.fills)
            or self.memory_mb > 0
            or (self.accelerators > 0 and step.amounts.accelerators > 0)
        )

    def release(self, step: model.Step) -> None:
        self.cpu -= 0 if step.fills else step.amounts.cpu
        self.memory_mb -= step.amounts.memory_mb
        self.accelerators -= step.amounts.accelerators


def _pick_victims(
    task: attempts.Task, runner: runners_module.Runner, now: float
) -> tuple[list[attempts.Run], float]:
    missing = _Missing(task, runner)
    priority = task.job.queue.priority
    chosen: list[attempts.Run] = []
    cost = 0.0
    for run in sorted(
        runner.runs, key=lambda r: measure_preemption_cost(r, now)
    ):
        other = run.task.step.definition
        if run.phase is attempts.Phase.STOPPING:
            # Its resources are about to be released.
            missing.release(other)
            continue
        if run.task.job.queue.priority <= priority or other.long_running:
            continue
        if missing.is_nothing():
            break
        if not missing.is_reduced_by(other):
            continue
        chosen.append(run)
        cost += measure_preemption_cost(run, now)
        missing.release(other)
    return (chosen, cost) if missing.is_nothing() else ([], float("inf"))


def measure_preemption_cost(run: attempts.Run, now: float) -> float:
    """Returns the core-seconds that are lost by stopping an attempt."""
    if run.phase is not attempts.Phase.RUNNING:
        return 0.0
    step = run.task.step.definition
    worked_s = now - run.running_since
    if step.checkpointing:
        worked_s = 0.0
    return worked_s * step.amounts.cpu / 1000 + _STOP_COST_CORE_S
