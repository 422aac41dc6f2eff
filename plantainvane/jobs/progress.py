"""The stored form of a job's progress, which the next owner loads."""

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import model


def build_progress(state: attempts.JobState) -> model.JobProgress:
    """Returns the stored form of a job's progress."""
    progress = model.JobProgress(state.ended, state.ended_ms)
    # The tasks of an ended job are stored only while attempts may be running.
    for (occurrence, number), step_state in state.steps.items():
        for task in step_state.tasks:
            if task.attempt == 0 or (state.ended and not task.runs):
                continue
            progress.tasks.append(
                model.TaskProgress(
                    occurrence,
                    number,
                    task.index,
                    int(task.result),
                    task.attempt,
                    task.failures,
                    task.checkpoint
                    if task.result is attempts.Result.OPEN
                    else "",
                    [
                        model.RunProgress(run.attempt, run.runner)
                        for run in task.runs
                    ],
                )
            )
    return progress


def restore_tasks(
    state: attempts.JobState, progress: model.JobProgress
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
        state.started = True
        for run in stored.runs:
            task.runs.append(
                attempts.Run(
                    task,
                    run.attempt,
                    run.runner,
                    attempts.Phase.STARTING,
                    0.0,
                    pace_confirmed=False,
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
