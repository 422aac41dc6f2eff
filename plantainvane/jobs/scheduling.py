"""Scheduling passes: start ready tasks, and move running ones."""

import collections
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import enum
import heapq
from typing import Any

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import departures
from plantainvane.jobs import eligibility
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import placement
from plantainvane.jobs import preemption
from plantainvane.jobs import relocation
from plantainvane.jobs import reservations
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import trials

# Estimated run times are off by half, so a job counts as late only when its
# latest start has passed by this share of its objective.
_ESTIMATE_TOLERANCE = 0.25
# A fill task that has been slowed for this long is moved if possible; a move
# costs the time to stop and restore it, 1 s here.
_MOVE_SLOWED_AFTER_S = 0.9
_MOVE_INTERVAL_S = 0.25
_MAX_MOVES_PER_PASS = 3
# Most slowed fill tasks that one pass tries to move; the next tries others.
_MAX_TRIED_MOVES = 60
# Interference is estimated again in a pass that lasts longer than this, as
# status reports arrive every 0.5 s.
_MAX_ESTIMATE_AGE_S = 0.5
# Starts in flight at which a pass places no further task; each takes about
# 7 KB of memory until its outcome is known.
_MAX_STARTS = 2000
# Time for which a pass places tasks once it has listed those that are ready. A
# job is to be done 0.25 s after its own run time, so an urgent one must not
# wait for longer than a part of that until the next pass begins.
PLACING_LIMIT_S = 0.1
# Part of that time after which a pass goes on where the last one ended, if the
# most urgent tasks find no runner.
_URGENT_SHARE = 0.5
# While passes are cut short, a group of tasks that has waited for this long is
# tried after each few groups in the order of their urgency.
_STARVING_AFTER_S = 6.0
_URGENT_PER_STARVING = 3
# Items that are listed or sorted in one turn of a pass.
_LISTED_PER_TURN = 1000
# Time between two attempts to clear a runner of long-running tasks; one runner
# is cleared at a time.
_CLEAR_INTERVAL_S = 0.5


class Urgency(enum.IntEnum):
    """Rank of a task among tasks of the same priority; the lowest goes first.

    A long-running task that has lost its run (RESTART) is to run again soon,
    but goes after short tasks where long-running ones leave these hardly any
    room (CROWDED_RESTART). A task that can still meet its objective goes before
    the first run of a long-running one, which occupies its resources for long.
    A late job has little value left, and a job past three objectives (EXPIRED)
    has none.
    """

    RESTART = 0
    ON_TIME = 1
    CROWDED_RESTART = 2
    LONG_RUNNING = 3
    LATE = 4
    EXPIRED = 5


@dataclasses.dataclass(slots=True)
class Pass:
    """A scheduling pass, which is run in slices.

    Everything else may change between two slices.

    Attributes:
      now: Start of the present slice.
      placed: Attempts whose start is not ordered yet.
      estimates: Intermediate results.
      estimated_at: Time to which they apply.
      blocked: Amounts for which no runner was found in this pass, by the other
        requirements.
      preemptible: Runners with attempts of less urgent queues at the first use,
        by service and priority.
      placing_limit_s: Time for which it places tasks.
      placing_since: When it had listed the ready tasks, or None.
      out_of_time: It has ended before it has tried all ready tasks.
      search: Searches for room to reserve.
      use: What long-running tasks use of each service.
      reserved_steps: Steps with a task that has a reservation.
      no_victims: Amounts for which no attempts could be preempted in this pass,
        by the other requirements.
    """

    now: float
    placed: list[attempts.Run] = dataclasses.field(default_factory=list)
    estimates: placement.Estimates = dataclasses.field(
        default_factory=placement.Estimates
    )
    estimated_at: float = 0.0
    blocked: dict[tuple[object, ...], list[model.Amounts]] = dataclasses.field(
        default_factory=dict
    )
    preemptible: dict[tuple[str, int], list[str]] = dataclasses.field(
        default_factory=dict
    )
    placing_limit_s: float = float("inf")
    placing_since: float | None = None
    out_of_time: bool = False
    search: reservations.Search = dataclasses.field(
        default_factory=reservations.Search
    )
    use: reservations.Use = dataclasses.field(default_factory=reservations.Use)
    reserved_steps: set[attempts.StepState] = dataclasses.field(
        default_factory=set
    )
    no_victims: dict[tuple[object, ...], list[model.Amounts]] = (
        dataclasses.field(default_factory=dict)
    )

    def has_placed_for(self, share: float) -> bool:
        """Tells whether a share of the time for placing tasks has passed."""
        if self.placing_since is None:
            return False
        return self.now - self.placing_since >= share * self.placing_limit_s

    def begin_slice(
        self, runners: dict[str, runners_module.Runner], now: float
    ) -> None:
        """Drops what has changed since the last slice."""
        self.now = now
        if now - self.estimated_at > _MAX_ESTIMATE_AGE_S:
            self.estimates, self.estimated_at = placement.Estimates(), now
        placement.forget_changes(self.estimates, runners, now)


def begin_pass(
    owner: state_module.Owner, now: float, placing_limit_s: float = float("inf")
) -> Pass:
    """Begins a pass with the intermediate results of the last one."""
    estimates = owner.estimates
    # The places that ended attempts have left are not counted.
    estimates.counts.clear()
    return Pass(
        now,
        estimates=estimates,
        estimated_at=owner.estimated_at,
        placing_limit_s=placing_limit_s,
    )


def end_pass(owner: state_module.Owner, current: Pass) -> None:
    """Keeps the intermediate results of a pass for the next one."""
    owner.estimates = current.estimates
    owner.estimated_at = current.estimated_at


def run_pass(owner: state_module.Owner, current: Pass) -> Iterator[None]:
    """Places ready tasks and moves running ones.

    Yields where the pass may be interrupted, each time after a bounded amount
    of work.
    """
    yield from _place_ready(owner, current)
    if current.out_of_time:
        # Moves would take the time that the ready tasks need.
        return
    yield from _move_slowed(owner, current)
    yield from _clear_one(owner, current)


def start_placed(owner: state_module.Owner, current: Pass) -> None:
    """Orders the start of the attempts placed since the last call."""
    placed, current.placed = current.placed, []
    for run in placed:
        owner.backlog.placed[run.task.job.queue.priority] += 1
        if run.attempt > 1 and reservations.is_restart(run.task):
            _report_restart(owner, run)
        metrics.TASK_WAIT_SECONDS.labels(
            metrics.name_kind(run.task.step.definition.long_running)
        ).observe(run.ordered_at - find_wait_start(run.task))
    if placed:
        owner.group.start_soon(orders.start_runs, owner, placed)


def _report_restart(owner: state_module.Owner, run: attempts.Run) -> None:
    """Logs how long a long-running task waited for a runner."""
    waited_s = run.ordered_at - find_wait_start(run.task)
    metrics.RESTART_WAIT_SECONDS.observe(waited_s)
    events.log_event(
        events.LONG_RUNNING_RESTARTED,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        waited_s=round(waited_s, 3),
        epoch=owner.epoch,
    )


def find_wait_start(task: attempts.Task) -> float:
    """Returns when a ready task could have started at the earliest."""
    return max(task.ready_since, task.step.due_at)


def place_ready_tasks(owner: state_module.Owner, now: float) -> None:
    """Starts the ready tasks that fit, most urgent first.

    Preempts less urgent attempts for a task that fits nowhere, but not for a
    gang.
    """
    current = Pass(now)
    for _ in _place_ready(owner, current):
        pass
    start_placed(owner, current)


def move_slowed_fills(owner: state_module.Owner, now: float) -> None:
    """Stops slowed fill tasks that could run at full speed on another runner.

    Only tasks that resume from a checkpoint are moved.
    """
    for _ in _move_slowed(owner, Pass(now)):
        pass


def clear_runner(owner: state_module.Owner, now: float) -> None:
    """Moves long-running tasks off a runner so that fill tasks can use it.

    Does nothing while any long-running task is ready and waits for a runner.
    """
    for _ in _clear_one(owner, Pass(now)):
        pass


def _place_ready(owner: state_module.Owner, current: Pass) -> Iterator[None]:
    """Places the ready tasks that fit, most urgent first, while there is time.

    What is not reached is kept for the next passes. Each begins with the tasks
    that are most urgent by then; as soon as they find no runner, it goes on
    where the last one ended. Tasks that become ready in between are not added
    to what is kept, so all of it has its turn however many do.
    """
    yield from _prepare_departures(owner, current)
    kept = owner.unvisited
    listed = yield from _list_by_urgency(owner, current.use, current.now)
    current.placing_since = current.now
    blocked: set[attempts.StepState] = set()
    share = _URGENT_SHARE if kept else 1.0
    yield from _place_listed(owner, listed, blocked, current, share)
    if kept and listed:
        yield from _place_listed(owner, kept, blocked, current, 1.0)
    else:
        owner.unvisited = listed
    current.out_of_time = bool(owner.unvisited) and current.has_placed_for(1.0)


def _prepare_departures(
    owner: state_module.Owner, current: Pass
) -> Iterator[None]:
    """Reserves room for tasks whose attempt is about to end, and moves them."""
    current.use = reservations.Use(owner.runners.values())
    found = departures.list_departures(owner, current.now)
    departing = {run.task for run in found}
    for runner in reservations.drop_stale(owner, departing, current.now):
        current.estimates.note_change(runner)
    for run in found:
        if not current.search.may_look_ahead():
            break
        task, queue = run.task, _renew_queue(owner, run.task)
        if queue.advice is None and departures.may_reserve(owner, task):
            reservations.reserve(
                owner,
                task,
                current.search,
                current.use,
                current.estimates,
                current.now,
            )
            yield
    departures.move_tasks(owner, found, current.now)
    current.reserved_steps = {
        reservation.task.step for reservation in owner.reservations.values()
    }


def _place_listed(
    owner: state_module.Owner,
    groups: collections.deque[state_module.ReadyGroup],
    blocked: set[attempts.StepState],
    current: Pass,
    share: float,
) -> Iterator[None]:
    """Places groups of tasks while there is time, and removes those.

    Args:
      owner: The owner.
      groups: Tasks by step, in order; at least one task is tried.
      blocked: Steps of which a task has found no runner in this pass.
      current: The scheduling pass.
      share: Part of the time for placing, after which the first task that finds
        no runner ends the placing.
    """
    skipped = 0
    while groups:
        group = groups[0]
        if group.step not in blocked and not group.heap:
            yield from _order_tasks(group)
        while group.heap and group.step not in blocked:
            if owner.starts_in_flight + len(current.placed) >= _MAX_STARTS:
                return
            *_, task = heapq.heappop(group.heap)
            ready = owner.table.ready.get(task.name) is task
            if not ready or not _is_due(task, current.now):
                skipped += 1
                if not skipped % _LISTED_PER_TURN:
                    yield
                continue
            runs = _place_task_or_gang(owner, task, current)
            waits = trials.is_waiting_for_trial(task, current.now)
            # Other tasks of the step may have room reserved.
            waits = waits or group.step in current.reserved_steps
            if task.step.definition.gang or not (runs or waits):
                blocked.add(group.step)
            current.placed.extend(runs)
            yield
            if current.has_placed_for(1.0 if runs else share):
                if not group.heap or group.step in blocked:
                    groups.popleft()
                return
        groups.popleft()


def _order_tasks(group: state_module.ReadyGroup) -> Iterator[None]:
    """Makes the heap of a group, which costs less than to sort all of it.

    Suspects go first, as a runner may be kept for one of them when the others
    find none.
    """
    for number, task in enumerate(group.tasks, 1):
        group.heap.append((not task.crashes, task.name, task))
        if not number % _LISTED_PER_TURN:
            yield
    heapq.heapify(group.heap)
    group.tasks.clear()


def _list_by_urgency(
    owner: state_module.Owner, use: reservations.Use, now: float
) -> Generator[None, None, collections.deque[state_module.ReadyGroup]]:
    """Returns the ready tasks that are due, most urgent first.

    Tasks of one step are listed together, as they differ only in their names;
    long-running ones only if they became ready at the same time.
    """
    groups: dict[object, state_module.ReadyGroup] = {}
    for number, task in enumerate(list(owner.table.ready.values()), 1):
        step = task.step
        if _is_due(task, now):
            key: object = step
            if step.definition.long_running:
                key = (step, task.ready_since, task.attempt > 0)
                if task.crashes:
                    key = task
            group = groups.get(key)
            if group is None:
                groups[key] = state_module.ReadyGroup(step, [task])
            else:
                group.tasks.append(task)
        if not number % _LISTED_PER_TURN:
            yield
    ordered = yield from _sort_in_turns(
        list(groups.values()),
        lambda group: _rank_task(group.tasks[0], use, now),
    )
    if owner.unvisited:
        ordered = mix_oldest(list(ordered), now)
    listed: collections.deque[state_module.ReadyGroup] = collections.deque()
    for group in ordered:
        listed.append(group)
        if not len(listed) % _LISTED_PER_TURN:
            yield
    return listed


def mix_oldest(
    groups: list[state_module.ReadyGroup], now: float
) -> Iterator[state_module.ReadyGroup]:
    """Puts a group that has waited for long after each few urgent ones.

    While passes are cut short, new jobs would otherwise go before a late one
    for ever.
    """
    starts = {
        id(group): min(find_wait_start(task) for task in group.tasks)
        for group in groups
    }
    starving = collections.deque(
        sorted(
            (g for g in groups if now - starts[id(g)] > _STARVING_AFTER_S),
            key=lambda g: starts[id(g)],
        )
    )
    placed: set[int] = set()
    for number, group in enumerate(groups, 1):
        if id(group) not in placed:
            placed.add(id(group))
            yield group
        if number % _URGENT_PER_STARVING:
            continue
        while starving and id(starving[0]) in placed:
            starving.popleft()
        if starving:
            placed.add(id(starving[0]))
            yield starving.popleft()


def _is_due(task: attempts.Task, now: float) -> bool:
    """Tells whether a ready task may start, also after an earlier try."""
    return task.retry_at <= now and task.step.due_at <= now


def _sort_in_turns(
    items: list[Any], key: Callable[[Any], Any]
) -> Generator[None, None, Iterator[Any]]:
    """Returns the items as `sorted` would; yields between parts of the work."""
    parts = []
    for start in range(0, len(items), _LISTED_PER_TURN):
        if start:
            yield
        parts.append(sorted(items[start : start + _LISTED_PER_TURN], key=key))
    return heapq.merge(*parts, key=key)


def _place_task_or_gang(
    owner: state_module.Owner, task: attempts.Task, current: Pass
) -> list[attempts.Run]:
    queue = _renew_queue(owner, task)
    if (
        reservations.is_restart(task)
        and task.name not in owner.reservations
        and current.use.has_become_crowded(queue.service)
    ):
        # It goes after short tasks from the next pass on.
        return []
    if task.step.definition.gang:
        return _place_gang(owner, task.step, queue.service, current)
    runner = _choose_reserved(owner, task, current)
    if runner is not None:
        return [_begin_run(owner, task, runner, current)]
    if queue.advice is not None:
        candidates = orders.filter_advised(
            owner,
            task.step,
            list_runners(owner, queue.service),
            current.now,
        )
        runner = placement.choose_runner(
            task,
            candidates,
            owner.interference_model,
            current.now,
            current.estimates,
        )
    else:
        candidates = None
        runner = _choose_unblocked(owner, task, queue.service, current)
    if runner is not None:
        return [_begin_run(owner, task, runner, current)]
    if trials.is_waiting_for_trial(task, current.now) and (
        _wait_for_trial(owner, task, queue.service, candidates, current)
    ):
        return []
    if task.name in owner.reservations:
        return []
    freed = _preempt(owner, task, candidates, current)
    if reservations.is_restart(task):
        reservations.reserve(
            owner,
            task,
            current.search,
            current.use,
            current.estimates,
            current.now,
            candidates,
            freed,
        )
        if task.name in owner.reservations:
            current.reserved_steps.add(task.step)
    return []


def _renew_queue(owner: state_module.Owner, task: attempts.Task) -> model.Queue:
    """Returns the queue of a task as it is configured now."""
    name = task.job.job.queue
    task.job.queue = state_module.find_queue(owner, name) or task.job.queue
    return task.job.queue


def _choose_reserved(
    owner: state_module.Owner, task: attempts.Task, current: Pass
) -> runners_module.Runner | None:
    """Returns the runner on which room is reserved, once the task fits there.

    What is reserved for other tasks stays free.
    """
    reservation = owner.reservations.get(task.name)
    if reservation is None or reservation.runner not in owner.runners:
        return None
    runner, queue = owner.runners[reservation.runner], task.job.queue
    if runner.entry.service != queue.service or (
        queue.advice is not None
        and not orders.is_advised(owner, task.step, runner, current.now)
    ):
        return None
    return placement.choose_runner(
        task,
        [runner],
        owner.interference_model,
        current.now,
        current.estimates,
    )


def _wait_for_trial(
    owner: state_module.Owner,
    task: attempts.Task,
    service: str,
    candidates: list[runners_module.Runner] | None,
    current: Pass,
) -> bool:
    """Keeps a runner free for the trial of a task that found none.

    Returns whether the task waits for its trial; if not, no runner has room.
    """
    # Runners without a ticket for the step are no candidates, which tells
    # nothing about other tasks.
    limited = candidates is not None
    if not limited and is_blocked(owner, task, service, current):
        return False
    if candidates is None:
        candidates = list_runners(owner, service)
    if not task.trial_since:
        if not placement.can_start(
            task, candidates, owner.interference_model, current.now
        ):
            if not limited:
                _mark_blocked(task, service, current)
            return False
        task.trial_since = current.now
    runner = placement.choose_kept_runner(
        task, candidates, owner.interference_model, current.now
    )
    if runner is not None:
        trials.keep_runner(runner, task, current.now)
        current.estimates.forget_runner(runner.entry.id)
    return True


def list_runners(
    owner: state_module.Owner, service: str
) -> list[runners_module.Runner]:
    """Returns the known runners of a service."""
    return [r for r in owner.runners.values() if r.entry.service == service]


def _choose_unblocked(
    owner: state_module.Owner,
    task: attempts.Task,
    service: str,
    current: Pass,
) -> runners_module.Runner | None:
    """Chooses a runner unless an easier task has found none in this pass.

    During a pass the resources of a runner are only charged, so what does not
    fit once does not fit later either.
    """
    if is_blocked(owner, task, service, current):
        return None
    runner = placement.choose_ranked_runner(
        task,
        service,
        owner.runners,
        owner.interference_model,
        current.now,
        current.estimates,
    )
    waits = trials.is_waiting_for_trial(task, current.now)
    if runner is None and not waits:
        _mark_blocked(task, service, current)
    return runner


def is_blocked(
    owner: state_module.Owner,
    task: attempts.Task,
    service: str,
    current: Pass,
) -> bool:
    """Tells whether an easier task has found no runner in this pass.

    The easier task could not use a runner that is kept for this one.
    """
    key = _find_requirements(task, service, current.now)
    found = current.blocked.get(key, ())
    blocked = eligibility.needs_no_less(task.step.definition, found)
    return blocked and not (
        task.crashes
        and any(
            trials.is_kept(runner, task, current.now)
            for runner in owner.runners.values()
        )
    )


def _mark_blocked(task: attempts.Task, service: str, current: Pass) -> None:
    """Records that no runner has room for a task.

    A runner where a step is at its limit may have room for other steps.
    """
    step = task.step.definition
    if not step.max_per_runner or not placement.may_have_room(
        task, service, current.now, current.estimates
    ):
        key = _find_requirements(task, service, current.now)
        current.blocked.setdefault(key, []).append(step.amounts)


def _find_requirements(
    task: attempts.Task, service: str, now: float
) -> tuple[object, ...]:
    """Returns what decides, besides the amounts, whether a runner is found."""
    step = task.step.definition
    if not step.fills:
        return service, step.required_label
    waited = placement.has_waited(task, now)
    return service, step.required_label, step.image, waited


def _preempt(
    owner: state_module.Owner,
    task: attempts.Task,
    candidates: list[runners_module.Runner] | None,
    current: Pass,
) -> str:
    """Stops the cheapest attempts that make room for a task.

    Args:
      owner: The owner.
      task: A task that found no runner.
      candidates: The runners that may be used; None for all of the service.
      current: The scheduling pass.

    Returns:
      The id of the runner on which they are stopped, or empty.
    """
    queue, step = task.job.queue, task.step.definition
    # What these decide differs from task to task.
    alike = candidates is None and not (step.max_per_runner or task.crashes)
    kind = queue.service, queue.priority, step.required_label, step.fills
    if alike and eligibility.needs_no_less(
        step, current.no_victims.get(kind, ())
    ):
        return ""
    if candidates is None:
        key = queue.service, queue.priority
        if key not in current.preemptible:
            current.preemptible[key] = [
                runner.entry.id
                for runner in list_runners(owner, queue.service)
                if _has_less_urgent_run(runner, queue.priority)
            ]
        candidates = [
            owner.runners[runner]
            for runner in current.preemptible[key]
            if runner in owner.runners
        ]
    has_place = placement.check_places(task, current.estimates)
    candidates = [r for r in candidates if has_place(r.entry.id)]
    victims = preemption.find_victims(task, candidates, current.now)
    for run in victims:
        stops.stop_run(owner, run, f"preempted for {task.name}")
    if alike and not victims:
        current.no_victims.setdefault(kind, []).append(step.amounts)
    return victims[0].runner if victims else ""


def _has_less_urgent_run(runner: runners_module.Runner, priority: int) -> bool:
    return any(
        run.task.job.queue.priority > priority
        and not run.task.step.definition.long_running
        for run in runner.runs
    )


def _move_slowed(owner: state_module.Owner, current: Pass) -> Iterator[None]:
    if current.now < owner.next_move_at:
        return
    owner.next_move_at = current.now + _MOVE_INTERVAL_S
    slowed = [
        run
        for runner in owner.runners.values()
        for run in runner.runs
        if _is_slowed(run, current.now)
    ]
    if len(slowed) > _MAX_TRIED_MOVES:
        turn = int(current.now / _MOVE_INTERVAL_S)
        start = turn * _MAX_TRIED_MOVES % len(slowed)
        slowed = [*slowed[start:], *slowed[:start]][:_MAX_TRIED_MOVES]
    moved = 0
    for run in slowed:
        moved += _move_fill(owner, run, current)
        if moved >= _MAX_MOVES_PER_PASS:
            return
        yield


def _is_slowed(run: attempts.Run, now: float) -> bool:
    step = run.task.step.definition
    return (
        step.fills
        and step.checkpointing
        and run.phase is attempts.Phase.RUNNING
        and run.slowed_since is not None
        and now - run.slowed_since >= _MOVE_SLOWED_AFTER_S
    )


def _move_fill(
    owner: state_module.Owner, run: attempts.Run, current: Pass
) -> bool:
    """Stops a slowed fill task if another runner suits it; tells if it did."""
    runner, now = owner.runners.get(run.runner), current.now
    if runner is None or run not in runner.runs or not _is_slowed(run, now):
        return False
    service = runner.entry.service
    if _choose_unblocked(owner, run.task, service, current) is None:
        return False
    if not placement.find_full_speed_runner(
        run,
        service,
        owner.runners,
        owner.interference_model,
        now,
        current.estimates,
    ):
        return False
    run.task.avoided_runners = (*run.task.avoided_runners[-3:], run.runner)
    stops.stop_run(owner, run, "moved to a runner with less interference")
    return True


def _clear_one(owner: state_module.Owner, current: Pass) -> Iterator[None]:
    if current.now < owner.next_clear_at:
        return
    owner.next_clear_at = current.now + _CLEAR_INTERVAL_S
    if any(t.step.definition.long_running for t in owner.table.ready.values()):
        return
    runners = list(owner.runners.values())
    demand = relocation.measure_blocked_demand(
        owner.table, runners, current.now
    )
    yield
    moves = yield from relocation.search_moves(
        demand, runners, owner.interference_model, current.now
    )
    # Tasks may have ended since the search looked at their steps.
    runners = list(owner.runners.values())
    if not all(
        relocation.respects_disruption_budget(run, runners, current.now)
        for run in moves
    ):
        return
    for run in moves:
        run.task.avoided_runners = (*run.task.avoided_runners[-3:], run.runner)
        stops.stop_run(owner, run, "moved to clear the runner for fill tasks")


def _rank_task(
    task: attempts.Task, use: reservations.Use, now: float
) -> tuple[int, Urgency, float, str]:
    """Returns the sort key of a ready task: priority, urgency, due time, name.

    The due time is the latest start that meets the job's deadline; for a
    long-running task it is the time since which the task has been ready.
    """
    job, step = task.job, task.step
    due = job.deadline - step.critical_path_s
    if step.definition.long_running:
        urgency, due = Urgency.LONG_RUNNING, task.ready_since
        if reservations.is_restart(task):
            crowded = use.is_crowded(job.queue.service)
            urgency = Urgency.CROWDED_RESTART if crowded else Urgency.RESTART
    elif now > due + 2 * job.objective_s:
        urgency = Urgency.EXPIRED
    elif now > due + _ESTIMATE_TOLERANCE * job.objective_s:
        urgency = Urgency.LATE
    else:
        urgency = Urgency.ON_TIME
    return job.queue.priority, urgency, due, task.name


def _begin_run(
    owner: state_module.Owner,
    task: attempts.Task,
    runner: runners_module.Runner,
    current: Pass,
) -> attempts.Run:
    run = owner.table.begin_run(task, runner.entry.id, current.now)
    run.born_ms = runner.entry.born_ms
    run.place = runners_module.find_place(runner.entry)
    run.address = runner.entry.address
    run.ordered_ms = clock.read_wall_ms()
    run.longest_lease_s = max(0.0, runner.late_grants_until - current.now)
    trials.begin_trial(runner, task, current.now)
    runner.charge(run)
    step = task.step.definition
    reservation = owner.reservations.get(task.name)
    if reservation is not None:
        used = reservation.runner == runner.entry.id
        reason = "used" if used else "started elsewhere"
        reservations.release(owner, task.name, reason, current.now)
        current.estimates.note_change(reservation.runner)
    elif step.long_running:
        current.use.used[runner.entry.service] += step.amounts.cpu
    current.estimates.forget_runner(runner.entry.id)
    current.estimates.count_run(run)
    return run


def _place_gang(
    owner: state_module.Owner,
    step: attempts.StepState,
    service: str,
    current: Pass,
) -> list[attempts.Run]:
    """Places all tasks of a gang or none; they share one attempt number.

    With `same_rack`, the racks are tried one by one before all candidates.
    """
    if any(task.runs for task in step.tasks):
        return []
    candidates = list_runners(owner, service)
    if step.job.queue.advice is not None:
        candidates = orders.filter_advised(owner, step, candidates, current.now)
    groups = [candidates]
    if step.definition.same_rack:
        racks: dict[str, list[runners_module.Runner]] = {}
        for runner in candidates:
            racks.setdefault(runner.rack, []).append(runner)
        groups = [*racks.values(), candidates]
    for group in groups:
        runs = _try_group(owner, step, group, current)
        if runs:
            return runs
    return []


def _try_group(
    owner: state_module.Owner,
    step: attempts.StepState,
    candidates: list[runners_module.Runner],
    current: Pass,
) -> list[attempts.Run]:
    """Places a gang on the candidates, or restores the state before the try."""
    members = len(step.tasks)
    if not eligibility.may_fit(
        step.definition, members, candidates, current.now
    ):
        return []
    runs: list[attempts.Run] = []
    attempt = max(task.attempt for task in step.tasks)
    before = [task.attempt for task in step.tasks]
    checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
    choose = placement.keep_member_choice(
        step.definition,
        candidates,
        owner.interference_model,
        current.now,
        current.estimates,
    )
    for task in step.tasks:
        runner = choose(task)
        if runner is None:
            break
        task.attempt, task.checkpoint = attempt, checkpoint
        runs.append(_begin_run(owner, task, runner, current))
    if len(runs) == len(step.tasks):
        return runs
    for run in runs:
        owner.runners[run.runner].charge(run, -1)
        current.estimates.forget_runner(run.runner)
        current.estimates.count_run(run, -1)
        owner.table.drop_run(run, current.now)
        if step.definition.long_running:
            service = owner.runners[run.runner].entry.service
            current.use.used[service] -= step.definition.amounts.cpu
    for task, number in zip(step.tasks, before, strict=True):
        task.attempt = number
    return []
