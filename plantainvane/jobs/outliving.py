"""Reports attempts that outlive what they were started for.

Their job, or their task, has ended, but no runner has reported their end yet.
"""

import collections
import dataclasses
import enum
from typing import Any

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import metrics
from plantainvane.jobs import state as state_module

# Age from which an attempt is reported; a stop usually takes less.
_REPORTED_AGE_S = 1.0
# Least time between two lines about the same state.
_LINE_INTERVAL_S = 2.0
# Most attempts that a line names.
_MAX_NAMES = 5


class State(enum.StrEnum):
    """What keeps an attempt from being known to have ended.

    NOT_ORDERED: no stop has been ordered. UNLISTED: its runner is not known.
    SILENT: its runner does not answer. UNANSWERED: the stop has no answer.
    RUNS_ON: the stop was answered, and the end has not been reported since.
    """

    NOT_ORDERED = "not_ordered"
    UNLISTED = "unlisted"
    SILENT = "silent"
    UNANSWERED = "unanswered"
    RUNS_ON = "runs_on"


@dataclasses.dataclass(slots=True)
class Reporter:
    """Times of the reports of one owner.

    Attributes:
      next_line_at: Earliest time of the next line, by state.
      seen_since: Since when an attempt is seen to outlive its task.
    """

    next_line_at: dict[State, float] = dataclasses.field(default_factory=dict)
    seen_since: dict[attempts.Run, float] = dataclasses.field(
        default_factory=dict
    )


def list_outliving(owner: state_module.Owner) -> list[attempts.Run]:
    """Returns the attempts, on all runners, that nothing needs any more."""
    charged = [run for r in owner.runners.values() for run in r.runs]
    in_doubt = [run for runs in owner.orphans.values() for run in runs]
    return [run for run in (*charged, *in_doubt) if is_outliving(run)]


def is_outliving(run: attempts.Run) -> bool:
    """Tells whether the stored end of its job, or its task, has ended it."""
    task = run.task
    ended = task.job.stored_ended or task.result is not attempts.Result.OPEN
    return bool(ended) and run in task.runs


def find_state(owner: state_module.Owner, run: attempts.Run) -> State:
    """Returns what keeps an attempt from being known to have ended."""
    runner = owner.runners.get(run.runner)
    if run.phase is not attempts.Phase.STOPPING:
        return State.NOT_ORDERED
    if runner is None or run not in runner.runs:
        return State.UNLISTED
    if runner.silent:
        return State.SILENT
    if run.stop is None or not run.stop.answered_at:
        return State.UNANSWERED
    return State.RUNS_ON


def report_outliving(
    reporter: Reporter, owner: state_module.Owner, now: float
) -> None:
    """Logs the oldest attempt in each state, and sets the gauge."""
    known = reporter.seen_since
    since = {run: known.get(run, now) for run in list_outliving(owner)}
    reporter.seen_since = since
    oldest_s = now - min(since.values(), default=now)
    metrics.OLDEST_OUTLIVING_SECONDS.set(oldest_s)
    by_state = collections.defaultdict(list)
    for run in sorted(since, key=since.__getitem__):
        if now - since[run] >= _REPORTED_AGE_S:
            by_state[find_state(owner, run)].append(run)
    for state, runs in by_state.items():
        if now < reporter.next_line_at.get(state, now):
            continue
        reporter.next_line_at[state] = now + _LINE_INTERVAL_S
        events.log_event(
            events.ATTEMPTS_OUTLIVE_TASK,
            state=state.value,
            count=len(runs),
            names=[run.task.name for run in runs[:_MAX_NAMES]],
            seen_for_s=round(now - since[runs[0]], 3),
            **_describe_run(owner, runs[0], now),
            epoch=owner.epoch,
        )


def _describe_run(
    owner: state_module.Owner, run: attempts.Run, now: float
) -> dict[str, Any]:
    """Returns what is known of an attempt, its stop and its runner."""
    fields = {
        "task": run.task.name,
        "attempt": run.attempt,
        "job_ended": run.task.job.ended,
        "runner": run.runner,
        "inherited": run.ordered_at == 0,
    }
    if run.stop is not None:
        fields |= {
            "stop_ordered_ago_s": round(now - run.stop.ordered_at, 3),
            "stops_sent": run.stop.sent,
            "stop_outcome": run.stop.outcome,
        }
    runner = owner.runners.get(run.runner)
    if runner is not None:
        fields |= {
            "answered_ago_s": round(now - runner.answered_at, 3),
            "listed": runner.listed,
            "fenced": runner.fenced,
        }
    return fields
