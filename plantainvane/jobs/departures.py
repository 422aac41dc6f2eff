"""Prepares for the end of long-running attempts that is known beforehand.

A runner that drains ends what runs there when it leaves, and what runs on one
that does not answer has ended when its leases have. Room for the next attempt
is reserved before; tasks on a draining runner, or in an evacuated failure
domain, move there once it is free.
"""

from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import leases
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import trials

# Room is reserved this long before the leases on a runner end: short tasks that
# are in the way end within that time.
_AHEAD_S = 2.0
# Least time between two moves of a task, whatever the entries of runners say.
_MOVE_INTERVAL_S = 5.0
# The state of a runner that last answered longer ago than this may be out of
# date.
_MAX_STATUS_AGE_S = 1.5


def list_departures(
    owner: state_module.Owner, now: float
) -> list[attempts.Run]:
    """Returns the long-running attempts that are about to end."""
    found = []
    for runner in owner.runners.values():
        leaves = _leaves(runner)
        found.extend(
            run
            for run in runner.runs
            if _lasts(run) and (leaves or _expires(owner, runner, run, now))
        )
    for runs in owner.orphans.values():
        found.extend(
            run
            for run in runs
            if _lasts(run)
            and leases.find_orphan_expiry(owner, run) - now <= _AHEAD_S
        )
    return found


def _leaves(runner: runners_module.Runner) -> bool:
    """Tells whether a runner is to be left, and answers until then."""
    return (
        (runner.entry.draining or runner.evacuated)
        and runner.listed
        and runner.fenced
        and not runner.silent
    )


def _expires(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    now: float,
) -> bool:
    """Tells whether an attempt on a runner that does not answer ends soon."""
    if not runner.silent:
        return False
    return leases.find_run_expiry(owner, runner, run, now) - now <= _AHEAD_S


def _lasts(run: attempts.Run) -> bool:
    """Tells whether the task of an attempt is to run again after it."""
    step = run.task.step.definition
    return (
        step.long_running
        and not step.gang
        and not run.task.job.ended
        and run in run.task.runs
    )


def may_reserve(owner: state_module.Owner, task: attempts.Task) -> bool:
    """Tells whether room may be reserved for a task that still runs.

    No more tasks of a step than may be away have room reserved at a time.
    """
    limit = task.step.definition.max_unavailable
    if task.name in owner.reservations or task.job.ended:
        return False
    return not limit or limit > sum(
        other.name in owner.reservations for other in task.step.tasks
    )


def move_tasks(
    owner: state_module.Owner, runs: list[attempts.Run], now: float
) -> None:
    """Stops tasks on runners to be left whose next runner has room for them."""
    for run in runs:
        task, runner = run.task, owner.runners.get(run.runner)
        reservation = owner.reservations.get(task.name)
        if (
            reservation is not None
            and runner is not None
            and run in runner.runs
            and run.phase is attempts.Phase.RUNNING
            and _leaves(runner)
            and now - task.moved_at >= _MOVE_INTERVAL_S
            and _has_room(owner, reservation, now)
            and _may_move(owner, task, now)
        ):
            task.moved_at = now
            stops.stop_run(owner, run, "moved off a runner that is to be left")


def _has_room(
    owner: state_module.Owner,
    reservation: state_module.Reservation,
    now: float,
) -> bool:
    """Tells whether a task can start at once where room is reserved for it."""
    task = reservation.task
    runner = owner.runners.get(reservation.runner)
    step, queue = task.step.definition, task.job.queue
    has_place = placement.check_places(task, placement.Estimates())
    return (
        runner is not None
        and eligibility.has_capacity(runner, step)
        and eligibility.accepts_step(runner, step, now)
        and not trials.is_kept_for_other(runner, task, now)
        and not eligibility.takes_reserved(
            runner, step, queue.priority, task=task.name
        )
        and has_place(runner.entry.id)
    )


def _may_move(
    owner: state_module.Owner, task: attempts.Task, now: float
) -> bool:
    """Tells whether the disruption budget of a step allows one more move."""
    limit = task.step.definition.max_unavailable
    if not limit:
        return True
    away = sum(_is_away(owner, other, now) for other in task.step.tasks)
    return away < limit


def _is_away(
    owner: state_module.Owner, task: attempts.Task, now: float
) -> bool:
    """Tells whether a task is not known to be fully at work."""
    return not any(
        run.phase is attempts.Phase.RUNNING
        and run.progress_percent >= 100
        and (runner := owner.runners.get(run.runner)) is not None
        and runner.listed
        and runner.fenced
        and not runner.silent
        and now - runner.answered_at < _MAX_STATUS_AGE_S
        for run in task.runs
    )
