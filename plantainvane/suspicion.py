"""Suspicion of workers on which distinct tasks fail that run elsewhere.

A failure speaks against a worker until the same task fails on another worker
too, or its whole class fails in general; then the task is at fault. A worker
that has not yet shown that it can run anything gets few attempts at once, so
that one that fails everything costs few tasks.
"""

import dataclasses
import math
from typing import Any

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class WorkerHistory:
    """What is known about one worker.

    Attributes:
      proven: Ran something to success, or for `proven_s`, since it was new
        or last suspected.
      suspected: Gets one canary at a time.
      canary: Task that is trying the worker now.
      failed_at: Time of the newest failure that counted.
      canaries_passed: Canaries in a row that succeeded.
      evidence: Failed tasks that speak against it, with class and time,
        oldest first.
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
    """What is known about all workers of a shard.

    Attributes:
      workers: By worker id.
      failed_on: Workers on which a task failed, by task id.
      class_failed_on: Workers on which tasks of a class failed since one of
        them last succeeded anywhere, by class.
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
    """Learns from an attempt that succeeded."""
    history.class_failed_on.pop(batch_class, None)
    # Its failures elsewhere are now known to be the workers' fault.
    history.failed_on.pop(task, None)
    state = history.workers.setdefault(worker, WorkerHistory())
    state.proven = True
    if state.canary == task:
        state.canary = None
    if not state.suspected:
        # A class that fails now and then fails on every worker; a success
        # outweighs one such failure.
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
    """Learns from an attempt that failed.

    Returns:
      True when the worker is suspected from now on and was not before.
    """
    state = history.workers.setdefault(worker, WorkerHistory())
    if state.canary == task:
        state.canary = None
    elsewhere = history.failed_on.setdefault(task, set())
    elsewhere.add(worker)
    by_class = history.class_failed_on.setdefault(batch_class, set())
    by_class.add(worker)
    if len(elsewhere) > 1:
        _clear_task(settings, history, task)
        return False
    if len(by_class) >= settings.tasks.max_attempts:
        _clear_class(settings, history, batch_class)
        return False
    _forget_old(settings, state, now)
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


def note_end(history: FailureHistory, worker: str, task: str) -> None:
    """Frees the canary's place when it ended without saying anything."""
    state = history.workers.get(worker)
    if state is not None and state.canary == task:
        state.canary = None


def forget_task(history: FailureHistory, task: str) -> None:
    """Drops what is kept about a task that ended for good."""
    history.failed_on.pop(task, None)


def note_run_time(
    settings: settings_module.Settings,
    history: FailureHistory,
    worker: str,
    run_s: float,
) -> None:
    """Notes that an attempt has been running on the worker for `run_s`."""
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
    """Returns how many more attempts the worker may get now."""
    state = history.workers.get(worker)
    if state is None or not (state.proven or state.suspected):
        failures = 0 if state is None else len(state.evidence)
        # Every attempt of an unproven worker may be lost.
        return max(0, settings.tasks.unproven_attempts - running - failures)
    if not state.suspected:
        return settings.tasks.starts_per_round
    if state.canary is not None or running > 0:
        return 0
    return int(now - state.failed_at >= settings.tasks.probation_s)


def note_start(history: FailureHistory, worker: str, task: str) -> None:
    """Notes an attempt that starts; on a suspected worker, the canary."""
    state = history.workers.setdefault(worker, WorkerHistory())
    if state.suspected:
        state.canary = task


def is_suspected(history: FailureHistory, worker: str) -> bool:
    """Says whether the worker gets canaries only."""
    state = history.workers.get(worker)
    return state is not None and state.suspected


def retain_workers(history: FailureHistory, workers: set[str]) -> None:
    """Forgets workers that left for good."""
    for worker in history.workers.keys() - workers:
        del history.workers[worker]


def dump_history(history: FailureHistory, now: float) -> dict[str, Any]:
    """Returns suspected and unproven workers, JSON-ready."""
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


def _clear_task(
    settings: settings_module.Settings, history: FailureHistory, task: str
) -> None:
    """The task fails everywhere: it speaks against no worker."""
    for worker in history.failed_on[task]:
        state = history.workers.get(worker)
        if state is not None and task in state.evidence:
            _drop_evidence(settings, state, [task])


def _clear_class(
    settings: settings_module.Settings,
    history: FailureHistory,
    batch_class: str,
) -> None:
    """The class fails in general: it speaks against no worker."""
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


def _forget_old(
    settings: settings_module.Settings, state: WorkerHistory, now: float
) -> None:
    limit = now - settings.tasks.evidence_s
    old = [key for key, (_, at) in state.evidence.items() if at < limit]
    for task in old:
        del state.evidence[task]
