"""Cancels of jobs whose records have not been found in the log.

A caller may have given up on a submission whose append is still being repeated,
or is carried out late. "No such job" acknowledges the cancel, so it is stored
first, and the job is added as cancelled when its record comes in.
"""

import msgspec

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import model
from plantainvane.jobs import state as state_module

# Bounds the records that callers can make the log keep; the oldest go first.
_MAX_CANCELS = 2_000


async def store_cancel(owner: state_module.Owner, job_id: str) -> None:
    """Stores the cancel of a job that is not known, unless it is stored."""
    if job_id in owner.early_cancels:
        return
    progress = model.JobProgress("cancelled", clock.read_wall_ms())
    record = (job_id, msgspec.json.encode(progress))
    await owner.journal.add([record]).stored.wait()
    if job_id in owner.table.jobs or job_id in owner.early_cancels:
        return
    owner.progress[job_id] = progress
    owner.early_cancels[job_id] = clock.read_now()
    events.log_event(events.JOB_CANCELLED_EARLY, job=job_id, epoch=owner.epoch)
    _drop_cancels(owner, list(owner.early_cancels)[:-_MAX_CANCELS])


def restore_cancels(owner: state_module.Owner, now: float) -> None:
    """Restores the cancels that earlier owners stored, from the progress."""
    for job_id, progress in owner.progress.items():
        if progress.ended and job_id not in owner.table.jobs:
            owner.early_cancels[job_id] = now


def forget_cancels(
    owner: state_module.Owner, now: float, retention_s: float
) -> None:
    """Removes the cancels that are older than `retention_s`."""
    old = []
    for job_id, since in list(owner.early_cancels.items()):
        if job_id in owner.table.jobs:
            # Its progress goes with the job.
            del owner.early_cancels[job_id]
        elif now - since > retention_s:
            old.append(job_id)
    _drop_cancels(owner, old)


def _drop_cancels(owner: state_module.Owner, job_ids: list[str]) -> None:
    dropped = []
    for job_id in job_ids:
        del owner.early_cancels[job_id]
        if job_id not in owner.table.jobs:
            owner.progress.pop(job_id, None)
            dropped.append((job_id, None))
    if dropped:
        owner.journal.add(dropped)
