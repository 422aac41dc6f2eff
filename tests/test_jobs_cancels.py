"""Cancelled jobs: their attempts end, and their tasks do not start again."""

import types

import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import retention
from tests import test_jobs_capacity as capacity

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def cancel(owner, run):
    owner.table.cancel_job(run.task.job, 1)


def drop(owner, run):
    owner.runners[run.runner].charge(run, -1)
    owner.table.drop_run(run, 2.0)


def make_cancelled(answer):
    """Makes an owner with a cancelled job and an attempt; the log `answer`s."""
    owner, runner, run = capacity.make_placed()
    cancel(owner, run)
    run.task.job.stored_ended = "cancelled"
    appended = []

    async def append(topic, records, timeout_s):
        appended.append((topic, records))
        return answer

    store = types.SimpleNamespace(append=append)
    owner.adapters = types.SimpleNamespace(store=store)
    return owner, run, appended


def make_late_ms(owner):
    return int(2000 * owner.settings.ended_job_retention_s)


async def test_a_job_is_kept_while_an_attempt_may_be_running():
    # Guards against progress that is stored again, at the end of the attempt,
    # for a job that was forgotten.
    owner, run, appended = make_cancelled(result.Ok(None))
    late_ms = make_late_ms(owner)
    await retention.forget_jobs(owner, late_ms)
    assert owner.table.jobs and not appended
    drop(owner, run)
    await retention.forget_jobs(owner, late_ms)
    assert not owner.table.jobs
    assert appended == [("keyed.jobs", [(run.task.job.job.id, None)])]


async def test_progress_is_kept_until_the_record_of_its_job_is_dropped():
    # Guards against a job without progress, which the next owner would run.
    failure = outcomes.CallError(outcomes.CallFailure.LOST, "no answer")
    owner, run, appended = make_cancelled(result.Err(failure))
    drop(owner, run)
    batch = owner.journal.add([])
    await retention.forget_jobs(owner, make_late_ms(owner))
    assert appended and owner.table.jobs and batch.records == []
