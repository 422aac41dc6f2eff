"""Prepares for the end of long-running attempts that is known beforehand.

A runner that drains ends what runs there when it leaves, and what runs on one
that does not answer has ended when its leases have. Room for the next attempt
is reserved before; tasks on a draining runner move there once it is free.
"""

import dataclasses

from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import leases
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops

# Room is reserved this long before the leases on a runner end: short tasks that
# are in the way end within that time.
_AHEAD_S = 2.0


@dataclasses.dataclass(slots=True)
class Departure:
    """A long-running attempt that is about to end.

    Attributes:
      run: The attempt.
      movable: It runs on a draining runner that answers, so it can be stopped.
    """

    run: attempts.Run
    movable: bool


def list_departures(owner: state_module.Owner, now: float) -> list[Departure]:
    """Returns the long-running attempts that are about to end."""
    found = []
    for runner in owner.runners.values():
        if not runner.runs:
            continue
        movable = _drains(runner)
        if movable or _expires(owner, runner, now):
            found.extend(
                Departure(run, movable) for run in runner.runs if _lasts(run)
            )
    for name, runs in owner.orphans.items():
        if owner.find_expiry(name) - now <= _AHEAD_S:
            found.extend(Departure(run, False) for run in runs if _lasts(run))
    return found


def _drains(runner: runners_module.Runner) -> bool:
    """Tells whether a runner leaves and answers until then."""
    return (
        runner.entry.draining
        and runner.listed
        and runner.fenced
        and not runner.silent
    )


def _expires(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> bool:
    """Tells whether the leases of a runner that does not answer end soon."""
    if not runner.silent:
        return False
    return leases.find_last_expiry(owner, runner) - now <= _AHEAD_S


def _lasts(run: attempts.Run) -> bool:
    """Tells whether the task of an attempt is to run again after it."""
    step = run.task.step.definition
    return (
        step.long_running
        and not step.gang
        and not run.task.job.ended
        and run in run.task.runs
    )


def move_tasks(owner: state_module.Owner, departures: list[Departure]) -> None:
    """Stops tasks on draining runners whose next runner has room for them."""
    for departure in departures:
        run = departure.run
        reservation = owner.reservations.get(run.task.name)
        if (
            departure.movable
            and reservation is not None
            and run.phase is attempts.Phase.RUNNING
            and _has_room(owner.runners.get(reservation.runner), run.task)
            and _may_move(run.task)
        ):
            stops.stop_run(owner, run, "moved off a draining runner")


def _has_room(
    runner: runners_module.Runner | None, task: attempts.Task
) -> bool:
    """Tells whether a task fits on the runner where room is reserved for it."""
    if runner is None:
        return False
    step = task.step.definition
    if not eligibility.has_capacity(runner, step):
        return False
    runner.release_room(task.name)
    taken = eligibility.takes_reserved(runner, step)
    runner.reserve_room(task.name, step.amounts)
    return not taken


def _may_move(task: attempts.Task) -> bool:
    """Tells whether the disruption budget of a step allows one more move."""
    limit = task.step.definition.max_unavailable
    return not limit or sum(map(_is_away, task.step.tasks)) < limit


def _is_away(task: attempts.Task) -> bool:
    """Tells whether a task is not known to be fully at work."""
    return not any(
        run.phase is attempts.Phase.RUNNING and run.progress_percent >= 100
        for run in task.runs
    )
