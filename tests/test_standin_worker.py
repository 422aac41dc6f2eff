"""Tests of standins.worker through its client, plantainvane.workers."""

import contextlib
import time

import anyio
import httpx
import msgspec
import pytest

from plantainvane import documents
from plantainvane import outcomes
from plantainvane import workers
from standins import answers
from standins import serving
from standins import worker as worker_module

WORK = {"steps": 20, "step_ms": 10, "seed": 7}
SIZE = documents.Size(processors=4.0, memory_bytes=1000)
REF = workers.AttemptRef("t1", 1)


@contextlib.asynccontextmanager
async def open_worker(**fields):
    settings = worker_module.WorkerSettings(
        id="w1",
        listen=serving.find_free_address(),
        size=documents.Size(processors=8.0, memory_bytes=4000),
        tick_s=0.01,
        stop_s=0.01,
        checkpoint_s=0.01,
        **fields,
    )
    async with (
        serving.open_standin(worker_module.serve_worker, settings) as address,
        httpx.AsyncClient(
            base_url=f"http://{address}", timeout=0.5, trust_env=False
        ) as client,
    ):
        yield client


def make_start(task="t1", attempt=1, epoch=1, lease_s=5.0, **fields):
    return workers.StartCommand(
        task=task,
        attempt=attempt,
        epoch=epoch,
        lease_s=lease_s,
        size=fields.pop("size", SIZE),
        batch_class="outlook",
        work=fields.pop("work", WORK),
        start_before_s=fields.pop("start_before_s", 1e12),
        **fields,
    )


async def wait_listed(client, accept, epoch=1):
    """Polls the listing until `accept` returns true; returns its attempts."""
    with anyio.fail_after(5):
        while True:
            listing = (await workers.list_attempts(client, epoch)).unwrap()
            if accept(listing.attempts):
                return listing.attempts
            await anyio.sleep(0.01)


async def fetch_audit(client):
    reply = await client.get("/audit")
    return msgspec.json.decode(reply.content, type=worker_module.Audit)


def run_async(function):
    """Makes an async test run on anyio's default backend, as the product."""

    def run():
        anyio.run(function)

    run.__name__ = function.__name__
    run.__doc__ = function.__doc__
    return run


@run_async
async def test_output_proves_every_step():
    """Guards against a check that accepts the output of different work."""
    async with open_worker() as client:
        assert (await workers.start_attempt(client, make_start())).is_ok()
        ended = await wait_listed(client, lambda a: a[0].output is not None)
        assert ended[0].state is workers.AttemptState.SUCCEEDED
        assert answers.check_output(WORK, ended[0].output) == ""
        assert answers.check_output(WORK | {"seed": 8}, ended[0].output)


@run_async
async def test_resumed_attempt_continues_from_checkpoint():
    """Guards against an evicted task that repeats or skips steps."""
    async with open_worker() as client:
        await workers.start_attempt(
            client, make_start(work=WORK | {"step_ms": 30})
        )
        command = workers.AttemptsCommand(1, [REF])
        await workers.checkpoint_attempts(client, command)
        listed = await wait_listed(client, lambda a: a[0].checkpointed)
        await workers.stop_attempts(client, command)
        await wait_listed(
            client, lambda a: a[0].state is workers.AttemptState.STOPPED
        )
        resume = make_start(attempt=2, checkpoint=listed[0].checkpoint)
        await workers.start_attempt(client, resume)
        ended = await wait_listed(client, lambda a: a[-1].output is not None)
        assert answers.check_output(WORK, ended[-1].output) == ""
        audit = await fetch_audit(client)
        step, _ = worker_module.parse_checkpoint(listed[0].checkpoint)
        assert audit.attempts[1].from_step == step


@run_async
async def test_start_beyond_capacity_is_refused():
    """Guards against a worker that is overcommitted."""
    async with open_worker() as client:
        for task in ("t1", "t2"):
            start = make_start(task, work=WORK | {"steps": 10_000})
            assert (await workers.start_attempt(client, start)).is_ok()
            assert (await workers.start_attempt(client, start)).is_ok()
        refused = await workers.start_attempt(client, make_start("t3"))
        assert refused.err_value.failure is outcomes.CallFailure.REFUSED
        audit = await fetch_audit(client)
        assert audit.highest.processors == 8.0
        assert [entry.task for entry in audit.refused] == ["t3"]


@run_async
async def test_a_start_handled_too_late_is_refused():
    """Guards against a delayed start that runs after the task was requeued."""
    async with open_worker() as client:
        clock_s = (await workers.list_attempts(client, 1)).unwrap().clock_s
        late = make_start("t1", start_before_s=clock_s)
        refused = await workers.start_attempt(client, late)
        assert refused.err_value.failure is outcomes.CallFailure.REFUSED
        timely = make_start("t1", start_before_s=clock_s + 60)
        assert (await workers.start_attempt(client, timely)).is_ok()


@run_async
async def test_lease_lapses_by_the_workers_clock():
    """Guards against an attempt that outlives its lease.

    This happens if its owner fails and no longer renews the lease.
    """
    async with open_worker() as client:
        start = make_start(lease_s=0.1, work=WORK | {"steps": 10_000})
        await workers.start_attempt(client, start)
        await wait_listed(
            client, lambda a: a[0].state is workers.AttemptState.LAPSED
        )
        entry = (await fetch_audit(client)).attempts[0]
        assert entry.ended - entry.began == pytest.approx(0.1, abs=1e-6)


@run_async
async def test_lower_epoch_is_refused():
    """Guards against commands of a previous owner (fencing by epoch)."""
    async with open_worker() as client:
        await workers.list_attempts(client, 3)
        stale = await workers.start_attempt(client, make_start(epoch=2))
        assert stale.err_value.failure is outcomes.CallFailure.STALE
        assert (await fetch_audit(client)).attempts == []


@run_async
async def test_stop_before_start_wins():
    """Guards against a start that arrives after the attempt was stopped."""
    async with open_worker() as client:
        await workers.stop_attempts(client, workers.AttemptsCommand(1, [REF]))
        await workers.start_attempt(client, make_start())
        listing = (await workers.list_attempts(client, 1)).unwrap()
        assert listing.attempts[0].state is workers.AttemptState.STOPPED
        assert (await fetch_audit(client)).attempts == []


@run_async
async def test_lost_reply_takes_effect():
    """Guards against a fault that drops the command, not just its reply."""
    async with open_worker() as client:
        await client.post("/faults", json={"lose_replies": True})
        lost = await workers.start_attempt(client, make_start())
        assert lost.err_value.failure is outcomes.CallFailure.LOST
        assert len((await fetch_audit(client)).attempts) == 1


@run_async
async def test_blocked_source_is_cut_off_alone():
    """Guards against `blocked_sources` that also block other processes."""
    async with open_worker() as client:
        await client.post("/faults", json={"blocked_sources": ["e1"]})
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/health", headers={"Client-Id": "e1"})
        reply = await client.get("/health", headers={"Client-Id": "e2"})
        assert reply.status_code == 200


def make_worker():
    settings = worker_module.WorkerSettings("w", "", documents.Size(8.0, 4000))
    return worker_module.Worker(settings, worker_module.gate_module.Gate())


def test_usage_report_lags():
    """Guards against a simulated usage report without lag.

    Other tests would then not cover outdated measurements.
    """
    worker = make_worker()
    for second in range(6):
        worker_module.take_sample(worker, float(second))
    report = worker_module._make_usage(worker, 5.0)
    assert [sample.age_s for sample in report.samples] == [5.0, 4.0, 3.0]


def test_throttled_attempt_slows_down():
    """Guards against a throttle command that changes no resource use."""
    worker = make_worker()
    now = time.monotonic()
    start = make_start(work=WORK | {"use": {"processors": 4.0}}, lease_s=99)
    worker_module._start_attempt(worker, start, now)
    throttle = workers.ThrottleCommand(1, 0.5, [REF])
    worker_module._throttle_attempts(worker, throttle, now)
    worker_module.advance_attempts(worker, now + 0.101)
    assert worker.entries[0].to_step == 5
