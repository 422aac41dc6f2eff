"""Cancelled jobs: their attempts end, and their tasks do not start again."""

import types

import anyio
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import orders
from plantainvane.jobs import retention
from plantainvane.jobs import sessions
from plantainvane.jobs import stops
from tests import test_jobs_capacity as capacity
from tests import test_jobs_scheduling as passes

pytestmark = pytest.mark.anyio
OUTCOME = capacity.OUTCOME
DROPPED = result.Ok(interfaces.Appended(3, 4))


@pytest.fixture
def anyio_backend():
    return "asyncio"


def cancel(owner, run):
    owner.table.cancel_job(run.task.job, 1)


def cancel_and_stop(owner, run):
    cancel(owner, run)
    stops.stop_run(owner, run, "job ended")


def drop(owner, run):
    owner.runners[run.runner].charge(run, -1)
    owner.table.drop_run(run, 2.0)


@pytest.mark.parametrize("end", [cancel, cancel_and_stop, drop])
@pytest.mark.parametrize("first", [OUTCOME.LOST, OUTCOME.UNREACHED])
async def test_no_retry_of_a_start_is_sent_after_its_attempt_ended(end, first):
    # Guards against a task of a cancelled job that is started by a retry, on
    # a runner that has restarted since it answered the stop.
    owner, runner, run = capacity.make_placed(first, OUTCOME.DONE)
    runner.calls.on_start = lambda: end(owner, run)
    await orders._start_run(owner, run)
    assert len(runner.calls.starts) == 1
    if first is OUTCOME.LOST and end is not drop:
        assert run in runner.runs and passes.list_stopped(owner) == [run]
    else:
        assert run not in runner.runs


@pytest.mark.parametrize("end", [cancel, cancel_and_stop, drop])
async def test_an_order_that_waits_is_withdrawn_as_its_attempt_ends(end):
    # Guards against a start that is sent after the cancel of its job was
    # acknowledged, as it had to wait for a connection.
    owner, runner, run = capacity.make_placed(OUTCOME.UNREACHED)
    wanted = []

    def end_while_it_waits():
        wanted.append(runner.calls.order.is_wanted())
        end(owner, run)
        wanted.append(runner.calls.order.is_wanted())

    runner.calls.on_start = end_while_it_waits
    await orders._start_run(owner, run)
    assert wanted == [True, False]
    assert run not in runner.runs


@pytest.mark.parametrize(
    ("answered_ago_s", "repeated"),
    [(None, False), (0.5, False), (1.5, True)],
)
def test_a_stop_is_repeated_while_its_attempt_is_reported(
    answered_ago_s, repeated
):
    # Guards against an attempt that runs on after the answer to its stop, and
    # against stops that are sent with each poll while a runner carries one out.
    owner, runner, run = capacity.make_placed()
    run.phase, run.running_since = attempts.Phase.STOPPING, float("inf")
    if answered_ago_s is not None:
        run.running_since = 10.0 - answered_ago_s
    status = capacity.make_status((run.task.name, run.attempt))
    for _ in range(2):
        sessions._apply_running(owner, runner, status, 9.9, 10.0)
    assert passes.list_stopped(owner) == [run] * repeated


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


async def forget_late(owner):
    """Lets the retention time of the jobs that have ended pass."""
    await retention.forget_jobs(owner, 100.0)
    late = 100.0 + 2 * owner.settings.ended_job_retention_s
    await retention.forget_jobs(owner, late)


async def test_a_job_is_kept_while_an_attempt_may_be_running():
    # Guards against progress that is stored again, at the end of the attempt,
    # for a job that was forgotten.
    owner, run, appended = make_cancelled(DROPPED)
    await forget_late(owner)
    assert owner.table.jobs and not appended
    drop(owner, run)
    await forget_late(owner)
    assert not owner.table.jobs
    assert appended == [("keyed.jobs", [(run.task.job.job.id, None)])]


@pytest.mark.parametrize("jump_s", [-600, 130, 600])
async def test_a_job_is_kept_for_its_time_whatever_the_time_of_day(
    jump_s, monkeypatch
):
    # Guards against a job that is forgotten, and whose state or cancel is
    # answered with "no such job", as the time of day jumps ahead, or as its end
    # was stored by an owner whose clock was behind.
    owner, run, appended = make_cancelled(DROPPED)
    run.task.job.ended_ms = clock.read_wall_ms()
    drop(owner, run)
    wall_ms, now = clock.read_wall_ms() + 1000 * jump_s, [0.0]
    monkeypatch.setattr(
        clock, "read_wall_ms", lambda: wall_ms + int(1000 * now[0])
    )
    monkeypatch.setattr(clock, "read_now", lambda: now[0])
    monkeypatch.setattr(retention, "_INTERVAL_S", 0.001)
    async with anyio.create_task_group() as group:
        group.start_soon(retention.run_retention, owner)
        await anyio.sleep(0.05)
        now[0] += owner.settings.ended_job_retention_s + 1.0
        await anyio.sleep(0.05)
        assert owner.table.jobs and not appended
        now[0] += owner.settings.ended_job_retention_s
        with anyio.fail_after(5):
            while owner.table.jobs:
                await anyio.sleep(0.001)
        group.cancel_scope.cancel()
    assert not owner.ended_since


async def test_tickets_of_a_job_are_forgotten_with_it():
    # Guards against an owner whose memory grows with each step that the adviser
    # was asked about.
    owner, run, _ = make_cancelled(DROPPED)
    drop(owner, run)
    job = run.task.job.job.id
    owner.tickets = {
        (f"{job}.0.0", "r"): ("ticket", 1.0),
        (f"{job}0.0.0", "r"): ("other", 1.0),
    }
    await forget_late(owner)
    assert list(owner.tickets.values()) == [("other", 1.0)]


@pytest.mark.parametrize(
    "answer",
    [
        result.Err(outcomes.CallError(outcomes.CallFailure.LOST, "no answer")),
        result.Ok(interfaces.Appended(-1, 4)),
        result.Ok(interfaces.Appended(-1, -1, next_sequence=2)),
    ],
)
async def test_progress_is_kept_until_the_record_of_its_job_is_dropped(answer):
    # Guards against a job without progress, which the next owner would run.
    owner, run, appended = make_cancelled(answer)
    drop(owner, run)
    batch = owner.journal.add([])
    await forget_late(owner)
    assert appended and owner.table.jobs and batch.records == []
