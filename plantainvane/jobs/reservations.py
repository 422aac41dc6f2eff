"""Reserves room on runners for long-running tasks that have lost their run.

On a full service each piece of room that becomes free is taken by the next
short task, so that a larger task would find none before the load ends. Nothing
starts on a runner that would take room reserved there.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import model
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import trials

# A reservation that has not been used for this long is given up, and another
# runner is looked for.
_MAX_HELD_S = 6.0
# No room is reserved where it would take longer than this to become free.
_MAX_EXPECTED_S = 4.0
# Part of a service's runners on which room may be reserved at a time, so that
# short tasks go on.
_MAX_RUNNERS_SHARE = 0.25
# Share of a service's processors that long-running tasks may use before those
# that have lost their run go after tasks that are in time, or these would find
# no room at all.
_MAX_LONG_RUNNING_SHARE = 0.9
# Searches for room in one pass; each looks at all runners of a service. Some
# are left for tasks that are away already.
_MAX_SEARCHES = 4
_MAX_SEARCHES_AHEAD = 2
# Among runners with room about as soon, the one that suits the task best.
_EQUAL_WAIT_S = 0.25
# Expected time until the end of an attempt that is being stopped, and the least
# of any other.
_STOPPING_S = 0.3
_LEAST_LEFT_S = 0.05
_LEAST_PACE_PERCENT = 20


class Use:
    """Processors of each service, and what long-running tasks use of them.

    What is reserved for them counts as in use.
    """

    __slots__ = ("capacity", "crowded_first", "used")

    def __init__(self, runners: Iterable[runners_module.Runner] = ()):
        self.capacity: collections.Counter[str] = collections.Counter()
        self.used: collections.Counter[str] = collections.Counter()
        for runner in runners:
            entry = runner.entry
            leaves = entry.draining or runner.evacuated
            if runner.listed and not runner.silent and not leaves:
                self.capacity[entry.service] += entry.capacity.cpu
                self.used[entry.service] += runner.serving_cpu
                self.used[entry.service] += runner.reserved.cpu
        self.crowded_first = set(filter(self.is_crowded, self.capacity))

    def is_crowded(self, service: str) -> bool:
        """Tells whether long-running tasks leave hardly any room."""
        limit = _MAX_LONG_RUNNING_SHARE * self.capacity[service]
        return self.used[service] > limit

    def has_become_crowded(self, service: str) -> bool:
        """Tells whether that is so only since the pass has ranked its tasks."""
        return self.is_crowded(service) and service not in self.crowded_first


class Search:
    """Searches of one pass, and the amounts for which one found no runner."""

    __slots__ = ("failed", "left")

    def __init__(self):
        self.left = _MAX_SEARCHES
        self.failed: dict[tuple[str, str], list[model.Amounts]] = {}

    def may_look_ahead(self) -> bool:
        """Tells whether a task that still runs may be searched for."""
        return self.left > _MAX_SEARCHES - _MAX_SEARCHES_AHEAD

    def begin(self, service: str, step: model.Step) -> bool:
        """Tells whether a search may be made that can find a runner."""
        failed = self.failed.get((service, step.required_label), ())
        if not self.left or eligibility.needs_no_less(step, failed):
            return False
        self.left -= 1
        return True

    def note_failure(self, service: str, step: model.Step) -> None:
        """Records that no runner has room for a step soon."""
        if not step.max_per_runner:
            key = service, step.required_label
            self.failed.setdefault(key, []).append(step.amounts)


def is_restart(task: attempts.Task) -> bool:
    """Tells whether a task has lost its run and is to run again soon."""
    step = task.step.definition
    return step.long_running and not step.gang and task.attempt > 0


def drop_stale(
    owner: state_module.Owner, departing: set[attempts.Task], now: float
) -> list[str]:
    """Drops the reservations that are not needed or cannot be used any more.

    `departing` are tasks whose attempt is about to end. Returns the runners
    that may have more room.
    """
    changed = []
    for name, reservation in list(owner.reservations.items()):
        reason = _find_fault(owner, reservation, now)
        if not reason and reservation.task not in departing:
            ready = owner.table.ready.get(name) is reservation.task
            reason = "" if ready else "not needed"
        if reason:
            changed.append(reservation.runner)
            release(owner, name, reason, now)
    return changed


def _find_fault(
    owner: state_module.Owner,
    reservation: state_module.Reservation,
    now: float,
) -> str:
    """Returns why a reservation is dropped, or empty."""
    task = reservation.task
    runner = owner.runners.get(reservation.runner)
    if (
        runner is None
        or task.name not in runner.reservations
        or runner.entry.service != task.job.queue.service
        or not _accepts(runner, task, now)
    ):
        return "runner not usable"
    step = task.step.definition
    if runner.serving_cpu + step.amounts.cpu > runner.entry.capacity.cpu:
        return "no room"
    if now - reservation.since > _MAX_HELD_S:
        return "too late"
    return ""


def _accepts(
    runner: runners_module.Runner, task: attempts.Task, now: float
) -> bool:
    """Tells whether a runner would start a task, now or after its backoff."""
    refusal = eligibility.find_refusal(runner, task.step.definition, now)
    return refusal in (None, eligibility.Obstacle.BACKOFF)


def release(
    owner: state_module.Owner, name: str, reason: str, now: float
) -> None:
    """Ends the reservation for a task, if there is one."""
    reservation = owner.reservations.pop(name, None)
    if reservation is None:
        return
    runner = owner.runners.get(reservation.runner)
    if runner is not None:
        runner.release_room(name)
    events.log_event(
        events.RESERVATION_ENDED,
        task=name,
        runner=reservation.runner,
        reason=reason,
        held_s=round(now - reservation.since, 3),
        expected_s=round(reservation.expected_s, 3),
        epoch=owner.epoch,
    )


def reserve(
    owner: state_module.Owner,
    task: attempts.Task,
    search: Search,
    use: Use,
    estimates: placement.Estimates,
    now: float,
    candidates: list[runners_module.Runner] | None = None,
    freed: str = "",
) -> None:
    """Reserves room where a task fits soonest, unless it has a reservation.

    Args:
      owner: The owner.
      task: A long-running task that has lost its run, or is about to.
      search: Searches of this pass.
      use: What long-running tasks use of each service.
      estimates: Intermediate results of the scheduling pass.
      now: Present time, in seconds.
      candidates: The runners that may be used; None for all of the service.
      freed: Id of a runner on which attempts are being stopped for the task.
    """
    service, step = task.job.queue.service, task.step.definition
    if (
        task.name in owner.reservations
        or use.is_crowded(service)
        or not search.begin(service, step)
    ):
        return
    fleet = [r for r in owner.runners.values() if r.entry.service == service]
    if freed:
        candidates = [owner.runners[freed]]
    else:
        candidates = _leave_out_full(
            fleet if candidates is None else candidates, fleet
        )
    found = _find_soonest(owner, task, candidates, estimates, now)
    if found is None:
        search.note_failure(service, step)
        return
    wait_s, runner = found
    runner.reserve_room(task.name, task.job.queue.priority, step.amounts)
    use.used[service] += step.amounts.cpu
    estimates.forget_runner(runner.entry.id)
    owner.reservations[task.name] = state_module.Reservation(
        task, runner.entry.id, now, wait_s
    )
    events.log_event(
        events.ROOM_RESERVED,
        task=task.name,
        runner=runner.entry.id,
        waited_s=round(now - task.ready_since, 3) if not task.runs else None,
        expected_s=round(wait_s, 3),
        cpu=step.amounts.cpu,
        memory_mb=step.amounts.memory_mb,
        used_cpu=runner.cpu,
        used_memory_mb=runner.memory_mb,
        reserved=len(owner.reservations),
        epoch=owner.epoch,
    )


def _leave_out_full(
    candidates: list[runners_module.Runner],
    fleet: list[runners_module.Runner],
) -> list[runners_module.Runner]:
    """Leaves out runners without reservations once enough have some."""
    in_use = sum(bool(runner.reservations) for runner in fleet)
    if in_use < max(1, _MAX_RUNNERS_SHARE * len(fleet)):
        return candidates
    return [runner for runner in candidates if runner.reservations]


def _find_soonest(
    owner: state_module.Owner,
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    estimates: placement.Estimates,
    now: float,
) -> tuple[float, runners_module.Runner] | None:
    """Returns the expected wait and the runner where a task fits soonest."""
    has_place = placement.check_places(task, estimates)
    taken = _list_taken(owner, task)
    found: list[tuple[float, runners_module.Runner]] = []
    for runner in candidates:
        if (
            runner.entry.id in taken
            or not has_place(runner.entry.id)
            or not _accepts(runner, task, now)
            or trials.is_kept_for_other(runner, task, now)
        ):
            continue
        wait_s = estimate_wait(runner, task.step.definition, now)
        if wait_s is not None and wait_s <= _MAX_EXPECTED_S:
            found.append((wait_s, runner))
    if not found:
        return None
    limit = min(wait_s for wait_s, _ in found) + _EQUAL_WAIT_S
    score = _make_score(owner, task, estimates, now)
    return max(
        (item for item in found if item[0] <= limit),
        key=lambda item: score(item[1]),
    )


def _list_taken(owner: state_module.Owner, task: attempts.Task) -> set[str]:
    """Returns runners that other tasks of a step with a limit have reserved."""
    if not task.step.definition.max_per_runner:
        return set()
    return {
        reservation.runner
        for reservation in owner.reservations.values()
        if reservation.task.step is task.step
    }


def _make_score(
    owner: state_module.Owner,
    task: attempts.Task,
    estimates: placement.Estimates,
    now: float,
) -> Callable[[runners_module.Runner], float]:
    return lambda runner: placement.score_runner(
        task, runner, owner.interference_model, estimates, now
    )


def estimate_wait(
    runner: runners_module.Runner, step: model.Step, now: float
) -> float | None:
    """Returns the seconds until a runner has room; None if it never has.

    Long-running tasks are not expected to end. What is reserved there counts as
    in use.
    """
    capacity, needs = runner.entry.capacity, step.amounts
    if runner.serving_cpu + runner.reserved.cpu + needs.cpu > capacity.cpu:
        return None
    cpu = runner.cpu + runner.reserved.cpu + needs.cpu - capacity.cpu
    memory_mb = runner.memory_mb + runner.reserved.memory_mb
    memory_mb += needs.memory_mb - capacity.memory_mb
    accelerators = runner.accelerators + runner.reserved.accelerators
    accelerators += needs.accelerators - capacity.accelerators
    if max(cpu, memory_mb, accelerators) <= 0:
        return 0.0
    ends = sorted(
        (left_s, number, run)
        for number, run in enumerate(runner.runs)
        if (left_s := estimate_left(run, runner, now)) is not None
    )
    for left_s, _, run in ends:
        freed = run.task.step.definition
        cpu -= 0 if freed.fills else freed.amounts.cpu
        memory_mb -= freed.amounts.memory_mb
        accelerators -= freed.amounts.accelerators
        if max(cpu, memory_mb, accelerators) <= 0:
            return left_s
    return None


def estimate_left(
    run: attempts.Run, runner: runners_module.Runner, now: float
) -> float | None:
    """Returns the seconds until an attempt is expected to end, or None."""
    step = run.task.step.definition
    if run.phase is attempts.Phase.STOPPING:
        return _STOPPING_S
    if step.long_running:
        return None
    worked_s = 0.0
    if run.phase is attempts.Phase.RUNNING:
        worked_s = max(0.0, now - max(run.running_since, run.ordered_at))
    left_s = step.estimate_ms / 1000
    if run.progress_percent > 0:
        since_s = max(0.0, now - run.progress_changed_at)
        left_s *= 1 - run.progress_percent / 100
        worked_s = min(worked_s, since_s)
    pace = max(run.pace_percent, _LEAST_PACE_PERCENT) / 100
    left_s = left_s / (max(runner.speed, 0.1) * pace) - worked_s
    # One that is over its estimate is expected to take as long again.
    return max(_LEAST_LEFT_S, abs(left_s))
