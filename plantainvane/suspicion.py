"""Detection of faulty workers, on which tasks fail that succeed elsewhere.

A failure counts as evidence against a worker until the same task fails on
another worker, or its batch class fails on several workers; then the task or
the class is at fault. A suspected worker gets one canary task at a time. A
worker that has not yet proven that it can run anything gets few attempts at
once, so that a worker that fails everything costs few tasks.
"""

import dataclasses
import math
from typing import Any

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class WorkerHistory:
    """Evidence about one worker.

    Attributes:
      proven: Whether an attempt succeeded, or ran for `proven_s`, since the
        worker was new or became suspected.
      suspected: Whether the worker gets canaries only.
      canary: Id of the task that tests the worker now, if any.
      failed_at: Monotonic time of the newest failure that counted.
      canaries_passed: Number of successes in a row while suspected.
      evidence: (batch class, time) of the failures that count against the
        worker, by task id, oldest first.
    """

    proven: bool = False
    suspected: bool = False
    canary: str | None = None
    failed_at: float = -math.inf
    canaries_passed: int = 0
    evidence: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """Evidence about all workers of a shard.

    Attributes:
      workers: History of each worker, by worker id.
      failed_on: Ids of the workers on which a task failed, by task id.
      class_failed_on: Ids of the workers on which tasks of a class failed
        since a task of the class last succeeded anywhere, by class.
    """

    workers: dict[str, WorkerHistory] = dataclasses.field(default_factory=dict)
    failed_on: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    class_failed_on: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )


def note_success(
    settings: settings_module.Settings,
    history: FailureHistory,
    worker: str,
    task: str,
    batch_class: str,
) -> None:
    """Updates the history for an attempt that succeeded."""
    history.class_failed_on.pop(batch_class, None)
    # The task can succeed, so its failures elsewhere were the workers' fault.
    history.failed_on.pop(task, None)
    state = history.workers.setdefault(worker, WorkerHistory())
    state.proven = True
    if state.canary == task:
        state.canary = None
    if not state.suspected:
        # A class that fails occasionally does so on every worker. Each success
        # cancels one failure, so that healthy workers do not collect them.
        if state.evidence:
            del state.evidence[next(iter(state.evidence))]
        return
    state.canaries_passed += 1
    if state.canaries_passed >= settings.tasks.suspect_failures:
        state.suspected = False
        state.canaries_passed = 0
        state.evidence.clear()


def note_failure(
    settings: settings_module.Settings,
    history: FailureHistory,
    worker: str,
    task: str,
    batch_class: str,
    now: float,
) -> bool:
    """Updates the history for an attempt that failed.

    Returns:
      Whether the worker became suspected by this failure.
    """
    state = history.workers.setdefault(worker, WorkerHistory())
    if state.canary == task:
        state.canary = None
    elsewhere = history.failed_on.setdefault(task, set())
    elsewhere.add(worker)
    by_class = history.class_failed_on.setdefault(batch_class, set())
    by_class.add(worker)
    if len(elsewhere) > 1:
        _drop_task_evidence(settings, history, task)
        return False
    if len(by_class) >= settings.tasks.max_attempts:
        _drop_class_evidence(settings, history, batch_class)
        return False
    _drop_expired_evidence(settings, state, now)
    state.evidence[task] = (batch_class, now)
    state.failed_at = now
    state.canaries_passed = 0
    if state.suspected:
        return False
    if len(state.evidence) < settings.tasks.suspect_failures:
        return False
    state.suspected = True
    state.proven = False
    return True


def clear_canary(history: FailureHistory, worker: str, task: str) -> None:
    """Clears the canary if this attempt, which ended inconclusively, was it."""
    state = history.workers.get(worker)
    if state is not None and state.canary == task:
        state.canary = None


def forget_task(history: FailureHistory, task: str) -> None:
    """Drops the failures of a task that has finished."""
    history.failed_on.pop(task, None)


def note_run_time(
    settings: settings_module.Settings,
    history: FailureHistory,
    worker: str,
    run_s: float,
) -> None:
    """Marks the worker as proven if an attempt has run for long enough."""
    state = history.workers.setdefault(worker, WorkerHistory())
    if run_s >= settings.tasks.proven_s and not state.suspected:
        state.proven = True


def count_open_starts(
    settings: settings_module.Settings,
    history: FailureHistory,
    worker: str,
    running: int,
    now: float,
) -> int:
    """Returns how many more attempts may be started on the worker now."""
    state = history.workers.get(worker)
    if state is None or not (state.proven or state.suspected):
        failures = 0 if state is None else len(state.evidence)
        # All attempts on an unproven worker may fail.
        return max(0, settings.tasks.unproven_attempts - running - failures)
    if not state.suspected:
        return settings.tasks.starts_per_round
    if state.canary is not None or running > 0:
        return 0
    return int(now - state.failed_at >= settings.tasks.probation_s)


def note_start(history: FailureHistory, worker: str, task: str) -> None:
    """Notes a started attempt, which is the canary of a suspected worker."""
    state = history.workers.setdefault(worker, WorkerHistory())
    if state.suspected:
        state.canary = task


def is_suspected(history: FailureHistory, worker: str) -> bool:
    """Returns whether the worker is suspected and gets canaries only."""
    state = history.workers.get(worker)
    return state is not None and state.suspected


def retain_workers(history: FailureHistory, workers: set[str]) -> None:
    """Drops all workers but the given ones."""
    for worker in history.workers.keys() - workers:
        del history.workers[worker]


def dump_history(history: FailureHistory, now: float) -> dict[str, Any]:
    """Returns workers that are suspected or have evidence, JSON-ready."""
    return {
        worker: {
            "suspected": state.suspected,
            "proven": state.proven,
            "canary": state.canary,
            "evidence": sorted(state.evidence)[:10],
        }
        for worker, state in sorted(history.workers.items())[:500]
        if state.suspected or state.evidence
    }


def _drop_task_evidence(
    settings: settings_module.Settings, history: FailureHistory, task: str
) -> None:
    """Drops the evidence of a task that fails on several workers."""
    for worker in history.failed_on[task]:
        state = history.workers.get(worker)
        if state is not None and task in state.evidence:
            _drop_evidence(settings, state, [task])


def _drop_class_evidence(
    settings: settings_module.Settings,
    history: FailureHistory,
    batch_class: str,
) -> None:
    """Drops the evidence of a class that fails on several workers."""
    for state in history.workers.values():
        evidence = state.evidence.items()
        found = [task for task, (name, _) in evidence if name == batch_class]
        if found:
            _drop_evidence(settings, state, found)


def _drop_evidence(
    settings: settings_module.Settings, state: WorkerHistory, found: list[str]
) -> None:
    for task in found:
        del state.evidence[task]
    if len(state.evidence) < settings.tasks.suspect_failures:
        state.suspected = False


def _drop_expired_evidence(
    settings: settings_module.Settings, state: WorkerHistory, now: float
) -> None:
    limit = now - settings.tasks.evidence_s
    old = [key for key, (_, at) in state.evidence.items() if at < limit]
    for task in old:
        del state.evidence[task]
