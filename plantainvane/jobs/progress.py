"""The stored form of a job's progress, which the next owner loads."""

from collections.abc import Iterator

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import model

_PART_SEPARATOR = "."
# Tasks in one record; each takes about 0.1 KB and a record holds 256 KB.
TASKS_PER_RECORD = 500


def count_parts(state: attempts.JobState) -> int:
    """Returns the number of records that hold a job's progress."""
    last = next(reversed(state.steps.values()), None)
    tasks = last.first_position + len(last.tasks) if last else 0
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


def _list_part(state: attempts.JobState, part: int) -> Iterator[attempts.Task]:
    first = part * TASKS_PER_RECORD
    end = first + TASKS_PER_RECORD
    for step_state in state.steps.values():
        start = step_state.first_position
        if start < end and first < start + len(step_state.tasks):
            yield from step_state.tasks[max(0, first - start) : end - start]


def build_progress(state: attempts.JobState, part: int) -> model.JobProgress:
    """Returns the stored form of one part of a job's progress."""
    progress = model.JobProgress()
    if part == 0:
        progress.ended, progress.ended_ms = state.ended, state.ended_ms
    # The tasks of an ended job are stored only while attempts may be running.
    for task in _list_part(state, part):
        if task.attempt == 0 or (state.ended and not task.runs):
            continue
        progress.tasks.append(
            model.TaskProgress(
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
                    )
                    for run in task.runs
                ],
                list(task.crashes),
            )
        )
    return progress


def restore_tasks(
    state: attempts.JobState, progress: model.JobProgress, now: float
) -> None:
    """Restores the tasks of a job from its stored progress.

    Stored attempts may still be running, so they are restored as STARTING
    until their runners have reported their state. A row that contradicts the
    job or itself is skipped and logged.
    """
    restored: set[str] = set()
    for stored in progress.tasks:
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
                    address=run.address,
                )
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
