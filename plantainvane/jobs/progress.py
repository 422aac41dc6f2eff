"""The stored form of a job's progress, which the next owner loads."""

import collections
from collections.abc import Iterator

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import model

_PART_SEPARATOR = "."
# Tasks in one record; each takes about 0.1 KB and a record holds 256 KB.
TASKS_PER_RECORD = 500


def count_parts(state: attempts.JobState) -> int:
    """Returns the number of records that hold a job's progress."""
    tasks = state.opened * checks.count_occurrence_tasks(state.job)
    return max(1, -(-tasks // TASKS_PER_RECORD))


def find_part(task: attempts.Task) -> int:
    """Returns the number of the record that holds a task."""
    return (task.step.first_position + task.index) // TASKS_PER_RECORD


def take_changed(
    state: attempts.JobState,
) -> list[tuple[str, model.JobProgress | None]]:
    """Returns the records that have to be stored, by their keys.

    Part 0 of an ended job comes first: it tells the end, and the other parts
    are dropped then. That of an open job comes last, as the last release stored
    all tasks there, and they are dropped from it.
    """
    parts = sorted(state.changed_parts, reverse=not state.ended)
    state.changed_parts = set()
    records: list[tuple[str, model.JobProgress | None]] = []
    for part in parts:
        progress = build_progress(state, part)
        if part == 0:
            records.append((state.job.id, progress))
        else:
            key = f"{state.job.id}{_PART_SEPARATOR}{part}"
            records.append((key, progress if progress.tasks else None))
    return records


def add_part(
    stored: dict[str, model.JobProgress], key: str, progress: model.JobProgress
) -> None:
    """Adds a record to the progress of its job; any order will do.

    If part 0, as the last release stored it, names the same tasks as a later
    part, the rows of the later part come first.
    """
    job_id, _, part = key.partition(_PART_SEPARATOR)
    known = stored.setdefault(job_id, model.JobProgress())
    if part:
        known.tasks = [*progress.tasks, *known.tasks]
        return
    known.tasks = [*known.tasks, *progress.tasks]
    known.ended, known.ended_ms = progress.ended, progress.ended_ms


def build_progress(state: attempts.JobState, part: int) -> model.JobProgress:
    """Returns the stored form of one part of a job's progress."""
    progress = model.JobProgress()
    if part == 0:
        progress.ended, progress.ended_ms = state.ended, state.ended_ms
    first = part * TASKS_PER_RECORD
    end = first + TASKS_PER_RECORD
    length = checks.count_occurrence_tasks(state.job)
    last = min(state.opened, -(-end // length))
    for occurrence in range(first // length, last):
        if state.finished and state.finished[occurrence]:
            if not state.ended:
                progress.tasks += _list_finished(state, occurrence, first, end)
            continue
        for number in range(len(state.job.steps)):
            step_state = state.steps[occurrence, number]
            start = step_state.first_position
            if start >= end:
                break
            # The tasks of an ended job are stored only while attempts may be
            # running.
            progress.tasks += [
                _build_row(task)
                for task in step_state.tasks[
                    max(0, first - start) : end - start
                ]
                if task.attempt and (task.runs or not state.ended)
            ]
    return progress


def _list_finished(
    state: attempts.JobState, occurrence: int, first: int, end: int
) -> Iterator[model.TaskProgress]:
    """Lists the rows of an occurrence that is done and not in memory.

    The numbers of its attempts and failures are not known any more, and nobody
    needs them: a row with an attempt tells that the task has been started.
    """
    position = occurrence * checks.count_occurrence_tasks(state.job)
    for number, step in enumerate(state.job.steps):
        for index in range(step.count):
            if first <= position < end:
                yield model.TaskProgress(
                    occurrence, number, index, int(attempts.Result.DONE), 1, 0
                )
            position += 1


def _build_row(task: attempts.Task) -> model.TaskProgress:
    return model.TaskProgress(
        task.step.occurrence,
        task.step.number,
        task.index,
        int(task.result),
        task.attempt,
        task.failures,
        task.checkpoint if task.result is attempts.Result.OPEN else "",
        [
            model.RunProgress(
                run.attempt,
                run.runner,
                run.born_ms,
                run.place,
                run.ordered_ms,
                run.address,
                round(run.longest_lease_s, 3),
            )
            for run in task.runs
        ],
        list(task.crashes),
    )


def find_stored_occurrences(
    job: model.Job, progress: model.JobProgress
) -> tuple[int, set[int]]:
    """Finds the occurrences that have stored rows.

    Returns:
      The number of occurrences up to the last one with a row, and those whose
      tasks are all done without a run.
    """
    counts = [step.count for step in job.steps]
    last, done = -1, collections.Counter()
    seen: set[tuple[int, int, int]] = set()
    for row in progress.tasks:
        if not (
            0 <= row.occurrence < max(1, job.repeat_count)
            and 0 <= row.step < len(counts)
            and 0 <= row.index < counts[row.step]
        ):
            continue
        last = max(last, row.occurrence)
        key = row.occurrence, row.step, row.index
        # The first row of a task counts.
        if key not in seen and row.result == attempts.Result.DONE:
            done[row.occurrence] += not row.runs and row.attempt > 0
        seen.add(key)
    tasks = sum(counts)
    return last + 1, {k for k, number in done.items() if number == tasks}


def restore_tasks(
    state: attempts.JobState,
    progress: model.JobProgress,
    now: float,
    wall_ms: int,
) -> None:
    """Restores the tasks of a job from its stored progress.

    Stored attempts may still be running, so they are restored as STARTING
    until their runners have reported their state. A row that contradicts the
    job or itself is skipped and logged. The rows of finished occurrences, which
    are not in memory, tell nothing more.
    """
    restored: set[str] = set()
    for stored in progress.tasks:
        if _is_finished(state, stored.occurrence):
            state.started = True
            continue
        step_state = state.steps.get((stored.occurrence, stored.step))
        fault = _find_fault(step_state, stored)
        if not fault and step_state.tasks[stored.index].name in restored:
            # A row in part 0 that precedes the one in the part of the task.
            fault = "names a task twice"
        if fault:
            _report_row(state, stored, fault)
            continue
        task = step_state.tasks[stored.index]
        restored.add(task.name)
        if stored.result in set(attempts.Result):
            task.result = attempts.Result(stored.result)
        else:
            # Written by a later version; what may run stays known.
            _report_row(state, stored, "its result is unknown")
        task.attempt = stored.attempt
        task.failures = stored.failures
        task.checkpoint = stored.checkpoint
        task.crashes = tuple(stored.crashes)
        state.started = True
        for run in stored.runs:
            task.runs.append(
                attempts.Run(
                    task,
                    run.attempt,
                    run.runner,
                    attempts.Phase.STARTING,
                    0.0,
                    now,
                    pace_confirmed=False,
                    born_ms=run.born_ms,
                    place=run.place,
                    ordered_ms=run.ordered_ms,
                    inherited_at=now - max(0, wall_ms - run.ordered_ms) / 1000,
                    address=run.address,
                    longest_lease_s=run.longest_lease_s,
                )
            )


def _is_finished(state: attempts.JobState, occurrence: int) -> bool:
    return (
        0 <= occurrence < len(state.finished)
        and state.finished[occurrence] == 1
    )


def _report_row(
    state: attempts.JobState, stored: model.TaskProgress, reason: str
) -> None:
    events.log_event(
        events.PROGRESS_CONTRADICTORY,
        job=state.job.id,
        row=str(stored),
        reason=reason,
    )


def _find_fault(
    step_state: attempts.StepState | None, stored: model.TaskProgress
) -> str:
    """Returns why a row cannot be restored, or an empty string."""
    if step_state is None or not 0 <= stored.index < len(step_state.tasks):
        return "names no task of the job"
    numbers = [run.attempt for run in stored.runs]
    if len(set(numbers)) < len(numbers):
        return "names an attempt twice"
    if min(stored.failures, stored.attempt) < 0 or min(numbers, default=1) < 1:
        return "has a number below its range"
    if max(numbers, default=0) > stored.attempt:
        return "has an attempt above its number"
    return ""
