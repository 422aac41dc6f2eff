"""Decides whether a runner accepts tasks of a step, and has room for them."""

from collections.abc import Iterable
import enum

from plantainvane.jobs import model
from plantainvane.jobs import runners as runners_module


class Obstacle(enum.StrEnum):
    """Why a runner cannot start a task now."""

    UNLISTED = "unlisted"
    NOT_FENCED = "not_fenced"
    SILENT = "silent"
    EXPIRY_PROMISED = "expiry_promised"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    FOREIGN_ATTEMPT = "foreign_attempt"
    IGNORES_STOPS = "ignores_stops"
    BACKOFF = "backoff"
    PROBATION = "probation"
    LABEL = "label"
    NO_ROOM = "no_room"
    RESERVED = "reserved"
    NO_FILL_ROOM = "no_fill_room"
    LIMIT_PER_RUNNER = "limit_per_runner"
    KEPT_FOR_TRIAL = "kept_for_trial"
    NO_TRIAL = "no_trial"
    INTERFERENCE = "interference"


def accepts_step(
    runner: runners_module.Runner, step: model.Step, now: float
) -> bool:
    """Tells whether the runner accepts tasks of this step if they fit."""
    return find_refusal(runner, step, now) is None


def find_refusal(
    runner: runners_module.Runner, step: model.Step, now: float
) -> Obstacle | None:
    """Returns why the runner accepts no task of this step, or None.

    What a foreign attempt uses is charged to nobody, so nothing is added to it.
    A runner on probation accepts a task only while nothing else runs there.
    """
    refusal = None
    if not runner.listed:
        refusal = Obstacle.UNLISTED
    elif runner.silent:
        refusal = Obstacle.SILENT
    elif not runner.fenced:
        refusal = Obstacle.NOT_FENCED
    elif runner.expiry_promised:
        refusal = Obstacle.EXPIRY_PROMISED
    elif runner.entry.draining:
        refusal = Obstacle.DRAINING
    elif runner.evacuated:
        refusal = Obstacle.EVACUATED
    elif runner.foreign:
        refusal = Obstacle.FOREIGN_ATTEMPT
    elif runner.ignores_stops:
        refusal = Obstacle.IGNORES_STOPS
    elif runner.backoff_until > now:
        refusal = Obstacle.BACKOFF
    elif runner.probation_until > now and runner.runs:
        refusal = Obstacle.PROBATION
    elif step.required_label and (
        step.required_label not in runner.entry.labels
    ):
        refusal = Obstacle.LABEL
    return refusal


def has_capacity(
    runner: runners_module.Runner, step: model.Step, reserve: float = 0.0
) -> bool:
    """Tells whether the declared resources of one more task fit.

    Nothing fits on a runner that is over its capacity, not even a task that
    needs none of what is short there. `reserve` is the share of the memory that
    has to stay free.
    """
    capacity, amounts = runner.entry.capacity, step.amounts
    if runner.cpu + (0 if step.fills else amounts.cpu) > capacity.cpu:
        return False
    if runner.memory_mb + amounts.memory_mb > capacity.memory_mb * (
        1 - reserve
    ):
        return False
    return runner.accelerators + amounts.accelerators <= capacity.accelerators


def takes_reserved(
    runner: runners_module.Runner,
    step: model.Step,
    priority: int | None = None,
    reserve: float = 0.0,
    task: str = "",
) -> bool:
    """Tells whether one more task would take room that is reserved there.

    A task takes none of an amount that it does not need, and may take what is
    reserved for less urgent ones.

    Args:
      runner: The runner.
      step: Step of the task.
      priority: Priority of its queue, or None to count all that is reserved.
      reserve: Share of the memory that has to stay free.
      task: Name of the task; what is reserved for it does not count.
    """
    if not runner.reservations:
        return False
    capacity, needs = runner.entry.capacity, step.amounts
    reserved = runner.sum_reservations(priority, task)
    memory_mb = capacity.memory_mb * (1 - reserve)
    return bool(
        (
            needs.cpu
            and not step.fills
            and runner.cpu + reserved.cpu + needs.cpu > capacity.cpu
        )
        or (
            needs.memory_mb
            and runner.memory_mb + reserved.memory_mb + needs.memory_mb
            > memory_mb
        )
        or (
            needs.accelerators
            and runner.accelerators + reserved.accelerators + needs.accelerators
            > capacity.accelerators
        )
    )


def needs_no_less(step: model.Step, found: Iterable[model.Amounts]) -> bool:
    """Tells whether any of the amounts is no larger than what a step needs."""
    needs = step.amounts
    return any(
        other.cpu <= needs.cpu
        and other.memory_mb <= needs.memory_mb
        and other.accelerators <= needs.accelerators
        for other in found
    )


def may_fit(
    step: model.Step,
    members: int,
    candidates: Iterable[runners_module.Runner],
    now: float,
) -> bool:
    """Tells whether declared resources could hold all members of a gang.

    It costs a few divisions a runner, whatever the number of members.
    """
    places = 0
    for runner in candidates:
        if has_capacity(runner, step) and accepts_step(runner, step, now):
            if takes_reserved(runner, step):
                continue
            places += _count_places(runner, step, members - places)
        if places >= members:
            return True
    return False


def _count_places(
    runner: runners_module.Runner, step: model.Step, limit: int
) -> int:
    capacity, amounts = runner.entry.capacity, step.amounts
    reserved = runner.reserved
    unused = (
        (
            0 if step.fills else amounts.cpu,
            capacity.cpu - runner.cpu - reserved.cpu,
        ),
        (
            amounts.memory_mb,
            capacity.memory_mb - runner.memory_mb - reserved.memory_mb,
        ),
        (
            amounts.accelerators,
            capacity.accelerators - runner.accelerators - reserved.accelerators,
        ),
    )
    if step.max_per_runner:
        limit = min(limit, step.max_per_runner)
    return min([limit, *(left // need for need, left in unused if need)])


def exceeds_capacity(runner: runners_module.Runner) -> bool:
    """Tells whether more is charged to the runner than it has."""
    capacity = runner.entry.capacity
    return (
        runner.cpu > capacity.cpu
        or runner.memory_mb > capacity.memory_mb
        or runner.accelerators > capacity.accelerators
    )
