"""Removes ended jobs, and their records, after their retention time."""

import anyio

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import early_cancels
from plantainvane.jobs import orders
from plantainvane.jobs import state as state_module

_INTERVAL_S = 1.0
# Jobs are kept for this multiple of the time for which callers may ask.
_SLACK_FACTOR = 1.5
# Bounds one append, as many jobs may be due after a takeover.
_MAX_RECORDS = 500


async def run_retention(owner: state_module.Owner) -> None:
    """Removes jobs whose retention time has passed, until cancelled."""
    while True:
        await anyio.sleep(_INTERVAL_S)
        await forget_jobs(owner, clock.read_now())


async def forget_jobs(owner: state_module.Owner, now: float) -> None:
    """Removes the jobs whose retention time has passed.

    The time counts from when this process first found the end stored, by its
    monotonic clock, as the time of day may jump and differs between processes.
    It begins anew with each owner.
    """
    _note_ends(owner, now)
    early_cancels.forget_cancels(owner, now, _find_retention_s(owner))
    old = _list_expired_jobs(owner, now)
    if not old or not await _drop_records(owner, old):
        return
    for state in old:
        owner.table.forget_job(state.job.id)
        owner.progress.pop(state.job.id, None)
        owner.ended_since.pop(state.job.id, None)
    orders.forget_tickets(owner, {state.job.id for state in old})
    owner.journal.add([(state.job.id, None) for state in old])


def _note_ends(owner: state_module.Owner, now: float) -> None:
    for job_id, state in owner.table.jobs.items():
        if state.stored_ended:
            owner.ended_since.setdefault(job_id, now)


def _find_retention_s(owner: state_module.Owner) -> float:
    return _SLACK_FACTOR * owner.settings.ended_job_retention_s


def _list_expired_jobs(
    owner: state_module.Owner, now: float
) -> list[attempts.JobState]:
    """Returns jobs to remove; none of which an attempt may be running."""
    retention_s = _find_retention_s(owner)
    # In the order of their ends.
    ended = [
        owner.table.jobs[job_id]
        for job_id, since in owner.ended_since.items()
        if now - since > retention_s
    ]
    old = [state for state in ended if not _has_runs(state)]
    return old[:_MAX_RECORDS]


def _has_runs(state: attempts.JobState) -> bool:
    return any(
        task.runs for step in state.steps.values() for task in step.tasks
    )


async def _drop_records(
    owner: state_module.Owner, old: list[attempts.JobState]
) -> bool:
    """Drops the records of jobs; returns whether the log says that it did.

    Their progress goes later, as a successor takes a job without progress for
    a new one.
    """
    appended = await owner.adapters.store.append(
        state_module.JOBS_TOPIC,
        [(state.job.id, None) for state in old],
        owner.health.choose_timeout(owner.settings),
    )
    if appended.is_err():
        detail = appended.err_value.detail
        owner.health.record_failure(detail, clock.read_now())
        return False
    return appended.ok_value.offset >= 0
