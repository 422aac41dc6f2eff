"""Reports long-running tasks that are neither ready nor known to run.

Their last attempt is charged to a runner that does not answer, or to none. The
next attempt starts only when that one has certainly ended.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import leases
from plantainvane.jobs import metrics
from plantainvane.jobs import state as state_module

_LOOK_INTERVAL_S = 1.0
# An absence is reported when it has lasted for this long; a start or a stop
# takes less.
_ABSENCE_S = 1.0
# Least time between two lines about the same state.
_LINE_INTERVAL_S = 2.0
# Most tasks that a line names.
_MAX_NAMES = 5


class State(enum.StrEnum):
    """What keeps an open task from being at work or ready."""

    NOT_READY = "not_ready"
    UNCHARGED = "uncharged"
    ORPHAN = "orphan"
    SILENT = "silent"
    NOT_FENCED = "not_fenced"
    STOPPING = "stopping"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(slots=True)
class Absence:
    """A task that is not at work.

    Attributes:
      task: The task.
      run: Its last attempt, or None.
      state: What keeps it from being at work or ready.
    """

    task: attempts.Task
    run: attempts.Run | None
    state: State


@dataclasses.dataclass(slots=True)
class Reporter:
    """Times of the reports of one owner.

    Attributes:
      next_look_at: Earliest time of the next look at the tasks.
      next_line_at: Earliest time of the next line, by state.
      seen_since: Since when a task is seen to be absent, by `find_key`.
    """

    next_look_at: float = float("-inf")
    next_line_at: dict[State, float] = dataclasses.field(default_factory=dict)
    seen_since: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )


def report_absences(
    reporter: Reporter, owner: state_module.Owner, now: float
) -> None:
    """Logs the longest absence in each state, within the limits."""
    if now < reporter.next_look_at:
        return
    reporter.next_look_at = now + _LOOK_INTERVAL_S
    found = list_absences(owner)
    known = reporter.seen_since
    since = {find_key(a): known.get(find_key(a), now) for a in found}
    reporter.seen_since = since
    by_state = collections.defaultdict(list)
    for absence in sorted(found, key=lambda a: since[find_key(a)]):
        if now - since[find_key(absence)] >= _ABSENCE_S:
            by_state[absence.state].append(absence)
    for state, absences in by_state.items():
        if now < reporter.next_line_at.get(state, now):
            continue
        reporter.next_line_at[state] = now + _LINE_INTERVAL_S
        metrics.TASKS_NOT_AT_WORK.labels(state.value).inc()
        seen_for_s = now - since[find_key(absences[0])]
        _log_absences(owner, absences, seen_for_s, now)


def find_key(absence: Absence) -> tuple[str, int]:
    """Returns the task and its last attempt; it may have run between two."""
    run = absence.run
    number = absence.task.attempt if run is None else run.attempt
    return absence.task.name, number


def list_absences(owner: state_module.Owner) -> list[Absence]:
    """Returns the open long-running tasks that are not at work nor ready."""
    at_work = _list_at_work(owner)
    return [
        absence
        for task in owner.table.tasks.values()
        if task.step.definition.long_running
        and task not in at_work
        and (absence := find_absence(owner, task)) is not None
    ]


def _list_at_work(owner: state_module.Owner) -> set[attempts.Task]:
    """Returns the tasks with an attempt for which `find_state` is None."""
    return {
        run.task
        for runner in owner.runners.values()
        if runner.fenced and not runner.silent
        for run in runner.runs
        if run.phase is attempts.Phase.RUNNING and run in run.task.runs
    }


def find_absence(
    owner: state_module.Owner, task: attempts.Task
) -> Absence | None:
    """Returns what is known of an open task that is not at work, or None."""
    if task.step.pending_dependencies or task.name in owner.table.ready:
        return None
    if not task.runs:
        return Absence(task, None, State.NOT_READY)
    states = [(run, find_state(owner, run)) for run in task.runs]
    if any(state is None for _, state in states):
        return None
    run, state = states[-1]
    return Absence(task, run, state)


def find_state(owner: state_module.Owner, run: attempts.Run) -> State | None:
    """Returns why an attempt is not known to run, or None if it is."""
    runner = owner.runners.get(run.runner)
    if runner is None or run not in runner.runs:
        orphan = run in owner.orphans.get(run.runner, ())
        return State.ORPHAN if orphan else State.UNCHARGED
    state = None
    if runner.silent:
        state = State.SILENT
    elif not runner.fenced:
        state = State.NOT_FENCED
    elif run.phase is attempts.Phase.STOPPING:
        state = State.STOPPING
    elif run.phase is attempts.Phase.STARTING:
        state = State.UNCONFIRMED
    return state


def find_end(
    owner: state_module.Owner, run: attempts.Run, now: float
) -> float | None:
    """Returns when an attempt ends without an answer; None if it does not."""
    state = find_state(owner, run)
    if state is State.UNCHARGED:
        return None
    if state is State.ORPHAN:
        return leases.find_orphan_expiry(owner, run)
    return leases.find_run_expiry(owner, owner.runners[run.runner], run, now)


def describe_restored(owner: state_module.Owner, now: float) -> dict[str, Any]:
    """Returns fields that tell what the attempts of earlier owners wait for."""
    runs = [run for task in owner.table.tasks.values() for run in task.runs]
    states = [(run, find_state(owner, run)) for run in runs]
    waiting = [run for run, state in states if state is not None]
    end, last = find_last_end(owner, waiting, now) or (None, None)
    return {
        "restored": len(runs),
        "waiting": dict(
            collections.Counter(
                state.value for _, state in states if state is not None
            )
        ),
        "last_end_in_s": _subtract(end, now),
        "last_end_runner": None if last is None else last.runner,
    }


def find_last_end(
    owner: state_module.Owner, runs: Iterable[attempts.Run], now: float
) -> tuple[float, attempts.Run] | None:
    """Returns the last end of `find_end`, and its attempt."""
    ends = [(find_end(owner, run, now), run) for run in runs]
    return max(
        ((end, run) for end, run in ends if end is not None),
        key=lambda pair: pair[0],
        default=None,
    )


def _log_absences(
    owner: state_module.Owner,
    absences: list[Absence],
    seen_for_s: float,
    now: float,
) -> None:
    first = absences[0]
    events.log_event(
        events.TASKS_NOT_AT_WORK,
        state=first.state.value,
        task=first.task.name,
        tasks=len(absences),
        names=[absence.task.name for absence in absences[:_MAX_NAMES]],
        seen_for_s=round(seen_for_s, 3),
        **_describe_run(owner, first.run, now),
        epoch=owner.epoch,
    )


def _describe_run(
    owner: state_module.Owner, run: attempts.Run | None, now: float
) -> dict[str, Any]:
    """Returns what is believed of an attempt and of its runner."""
    if run is None:
        return {"attempt": None, "runner": None, "ends_in_s": None}
    fields: dict[str, Any] = {
        "attempt": run.attempt,
        "runner": run.runner,
        "ends_in_s": _subtract(find_end(owner, run, now), now),
        "phase": run.phase.name.lower(),
        "inherited": run.ordered_at == 0,
        "earlier_leases_in_s": _subtract(owner.find_expiry(run.runner), now),
    }
    runner = owner.runners.get(run.runner)
    if runner is None:
        return fields
    lease_end = runner.find_lease_expiry(owner.settings)
    return fields | {
        "lease_in_s": _subtract(lease_end, now),
        "answered_ago_s": round(now - runner.answered_at, 3),
        "clock_age_s": round(now - runner.clock_read_at, 3),
        "silent": runner.silent,
        "fenced": runner.fenced,
        "listed": runner.listed,
        "promised": runner.expiry_promised,
    }


def _subtract(at: float | None, now: float) -> float | None:
    return None if at is None else round(at - now, 3)
