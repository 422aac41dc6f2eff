"""The stored form of a job's progress, which the next owner loads."""

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
    state: attempts.JobState, progress: model.JobProgress
) -> None:
    """Restores the tasks of a job from its stored progress.

    Stored attempts may still be running, so they are restored as STARTING
    until their runners have reported their state.
    """
    for stored in progress.tasks:
        step_state = state.steps.get((stored.occurrence, stored.step))
        if step_state is None or stored.index >= len(step_state.tasks):
            continue
        task = step_state.tasks[stored.index]
        task.result = attempts.Result(stored.result)
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
                    pace_confirmed=False,
                    born_ms=run.born_ms,
                    place=run.place,
                    ordered_ms=run.ordered_ms,
                    address=run.address,
                )
            )
