"""Attempts of earlier owners, as a new owner restores them from the log."""

import types

import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import sessions
from plantainvane.jobs import state as state_module
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio
TASK = "j.0.0.0"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def times(monkeypatch):
    """Replaces the clock; a test sets the present time in the list."""
    now = [100.0]
    monkeypatch.setattr(clock, "read_now", lambda: now[0])
    return now


def make_records(runner="r"):
    """Returns the records of a job with an attempt that an owner started."""
    table = table_module.JobTable()
    state = decisions.add_job(table, decisions.make_step(long_running=True))
    decisions.start_all(table, runner=runner)
    progress = progress_module.build_progress(state, 0)
    return msgspec.json.encode(state.job), msgspec.json.encode(progress)


class FakeStore:
    """Answers each read with the one record of a topic that it holds."""

    def __init__(self, topic, value):
        self.topic, self.value = topic, value

    async def read(self, topic, offset, *unused):
        records = ()
        if topic == self.topic and offset == 0:
            records = ((0, "j", self.value),)
        return result.Ok(interfaces.Page(records, 1, 1))


async def read_job_late(owner, runner="r"):
    """Reads a job whose stored progress was loaded before; returns its run."""
    job, progress = make_records(runner)
    recovery._load_progress(owner, "j", progress)
    store = FakeStore(state_module.JOBS_TOPIC, job)
    owner.adapters = types.SimpleNamespace(store=store)
    assert await recovery.read_jobs(owner, 0.0)
    (run,) = owner.table.find_task(TASK).runs
    return run


def make_status(clock_ms, *runs):
    running = tuple(
        model.RunningAttempt(run.task.name, run.attempt, "", 10.0, 0.0)
        for run in runs
    )
    return model.RunnerStatus(1, clock_ms, running, ())


@pytest.mark.parametrize("listed", [False, True])
async def test_attempt_of_a_job_that_is_read_late_ends_by_a_poll(times, listed):
    # Guards against an attempt that is charged to no runner, so that nothing
    # ends it and its task never starts again.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=99.0)
    owner = scheduling.make_owner(runner)
    run = await read_job_late(owner)
    assert run in runner.runs
    status = make_status(2500, *([run] if listed else []))
    sessions._apply_reply(owner, runner, status, 100.2, 100.3)
    assert (run in runner.runs) is listed
    assert (TASK in owner.table.ready) is not listed


async def test_attempt_of_a_job_that_is_read_late_outlasts_older_polls(times):
    # Guards against an attempt that runs and is started a second time, because
    # the answer to a poll that was sent before does not list it.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=99.0)
    owner = scheduling.make_owner(runner)
    run = await read_job_late(owner)
    status = make_status(1900)
    sessions._apply_reply(owner, runner, status, 99.9, 100.1)
    assert run in runner.runs and run in run.task.runs
    sessions._apply_reply(owner, runner, make_status(2500), 100.2, 100.3)
    assert TASK in owner.table.ready


async def test_attempt_of_a_job_that_is_read_late_ends_by_silence(times):
    # Guards against the same on a runner that does not answer.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=99.0)
    owner = scheduling.make_owner(runner)
    run = await read_job_late(owner)
    limit = owner.started_at + owner.settings.old_lease_limit_s
    for now in (100.5, max(limit, 106.0) + 0.1):
        times[0] = now
        sessions._handle_silence(
            owner, runner, interfaces.OrderOutcome.LOST, now
        )
    assert run not in runner.runs and TASK in owner.table.ready


async def test_attempt_of_a_job_that_is_read_late_ends_without_a_runner(times):
    # Guards against the same on a runner that has left the list.
    owner = scheduling.make_owner()
    await read_job_late(owner, "gone")
    times[0] = 200.0
    owner_module._expire_orphans(owner, 200.0)
    assert TASK in owner.table.ready


async def test_idle_runner_is_polled_when_an_attempt_is_restored_there(times):
    # Guards against a lease that lapses while the session of an idle runner
    # waits, as a restored attempt has not been reported as running.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=99.0)
    owner = scheduling.make_owner(runner)
    run = await read_job_late(owner)
    assert run.phase is attempts.Phase.STARTING
    assert runner.has_active.is_set() and not runner.fenced
