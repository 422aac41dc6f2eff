"""Limits of a job, which hold when it is submitted and when it is loaded.

All tasks of a job may be in memory at once, so a job that exceeds a limit could
end each owner that loads it.
"""

from plantainvane.jobs import model

# Tasks of all occurrences; each takes 0.4 KB of the owner's memory, and 0.9 KB
# if it is a step of its own.
MAX_TASKS = 20_000
# Tasks of open jobs that the owner keeps in memory: of a job with occurrences
# those that are due soon or under way. Further jobs are refused.
MAX_HELD_TASKS = 120_000
MAX_SPEC_BYTES = 4000
# Labels, racks and images; pairs of images are stored in one record.
MAX_NAME_BYTES = 1000
# Amounts and times; whole numbers up to here are exact as floats.
MAX_NUMBER = 2**53


def find_fault(job: model.Job) -> str:
    """Returns why a job cannot be run, or an empty string."""
    if not job.steps:
        return "there are no steps"
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return f"the text for the tasks exceeds {MAX_SPEC_BYTES} bytes"
    times = (job.repeat_count, job.start_at_ms, job.interval_ms)
    if not all(0 <= time <= MAX_NUMBER for time in times):
        return "a time or the number of occurrences is negative or too large"
    for number, step in enumerate(job.steps):
        fault = _find_step_fault(number, step)
        if fault:
            return f"step {number}: {fault}"
    tasks = count_tasks(job)
    if tasks > MAX_TASKS:
        return f"{tasks} tasks exceed {MAX_TASKS}"
    return ""


def count_tasks(job: model.Job) -> int:
    """Returns the number of tasks of all occurrences of a job."""
    return count_occurrence_tasks(job) * max(1, job.repeat_count)


def count_occurrence_tasks(job: model.Job) -> int:
    """Returns the number of tasks of one occurrence of a job."""
    return sum(step.count for step in job.steps)


def count_due_occurrences(job: model.Job, elapsed_ms: float) -> int:
    """Returns how many occurrences are due `elapsed_ms` after the first one.

    A job that runs once has one occurrence, which is always due.
    """
    if not job.repeat_count:
        return 1
    if elapsed_ms < 0:
        return 0
    if not job.interval_ms:
        return job.repeat_count
    return min(job.repeat_count, int(elapsed_ms / job.interval_ms) + 1)


def _find_step_fault(number: int, step: model.Step) -> str:
    if step.count < 1:
        return "the number of tasks is below 1"
    numbers = (
        step.amounts.cpu,
        step.amounts.memory_mb,
        step.amounts.accelerators,
        step.estimate_ms,
        step.max_per_runner,
        step.target_ms,
        step.max_unavailable,
    )
    if not all(0 <= amount <= MAX_NUMBER for amount in numbers):
        return "an amount, time or limit is negative or too large"
    if any(not 0 <= other < number for other in step.depends_on):
        return "it depends on no earlier step"
    for name in (step.required_label, step.preferred_rack, step.image):
        if len(name.encode()) > MAX_NAME_BYTES:
            return f"a name exceeds {MAX_NAME_BYTES} bytes"
    return ""
