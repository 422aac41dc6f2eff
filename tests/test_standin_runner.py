"""Tests of standins.runner and of the faults in standins.gate."""

import contextlib

import anyio
import httpx
import msgspec
import pytest

from plantainvane import documents
from plantainvane import workers
from standins import answers
from standins import runner as runner_module
from standins import serving
from standins import worker as worker_module

CLASSES = {"preview": runner_module.RunClass(run_ms=20, spread=0.0)}
PATH = "/run/preview"


@contextlib.asynccontextmanager
async def open_runner(classes=CLASSES, **fields):
    settings = runner_module.RunnerSettings(
        id="r1", listen=serving.find_free_address(), classes=classes, **fields
    )
    async with (
        serving.open_standin(runner_module.serve_runner, settings) as address,
        httpx.AsyncClient(
            base_url=f"http://{address}", timeout=0.5, trust_env=False
        ) as client,
    ):
        yield client


async def send_request(client, request_id, replies):
    replies[request_id] = await client.post(
        PATH,
        content=f"body of {request_id}",
        headers={"Request-Id": request_id},
    )


async def send_together(client, count):
    replies = {}
    async with anyio.create_task_group() as group:
        for index in range(count):
            group.start_soon(send_request, client, f"q{index}", replies)
    return replies


async def fetch_audit(client):
    reply = await client.get("/audit")
    return msgspec.json.decode(reply.content, type=runner_module.Audit)


def test_answer_belongs_to_its_request():
    """Guards against a check that accepts the answer to another request."""

    async def run():
        async with open_runner() as client:
            replies = await send_together(client, 2)
        body = replies["q0"].content
        assert replies["q0"].headers["request-id"] == "q0"
        check = answers.check_answer
        assert check("preview", "q0", b"body of q0", body, 256) == ""
        assert check("preview", "q1", b"body of q1", body)
        assert check("preview", "q0", b"body of q1", body)
        assert check("preview", "q0", b"body of q0", body[:-1])

    anyio.run(run)


def test_requests_beyond_slots_are_not_run():
    """Guards against running refused requests, or more than the 8 slots."""

    async def run():
        async with open_runner() as client:
            replies = await send_together(client, 12)
            audit = await fetch_audit(client)
        refused = {
            request_id
            for request_id, reply in replies.items()
            if reply.headers.get("not-run") == "1" and reply.status_code == 503
        }
        assert len(refused) == audit.refused == 4
        assert audit.most_at_once == 8
        assert refused.isdisjoint(entry.request_id for entry in audit.runs)
        assert all(entry.ended > entry.began for entry in audit.runs)

    anyio.run(run)


def test_connections_beyond_limit_are_refused():
    """Guards against counting closed connections towards the limit.

    A runner that reached the limit once would then refuse all requests.
    """

    async def run():
        async with open_runner(connections=2) as client:
            statuses = []
            for _ in range(4):
                async with httpx.AsyncClient(
                    base_url=client.base_url, trust_env=False
                ) as single:
                    statuses.append((await single.post(PATH)).status_code)
            assert statuses == [200] * 4
            replies = await send_together(client, 4)
        codes = sorted(reply.status_code for reply in replies.values())
        assert codes == [200, 200, 503, 503]

    anyio.run(run)


def test_leaving_runner_refuses_after_grace():
    """Guards against requests that are served by a runner that is leaving.

    It announces that it leaves during the grace period and refuses afterwards.
    """

    async def run():
        async with open_runner() as client:
            await client.post("/leave", json={"grace_s": 30})
            during = await client.post(PATH)
            assert (during.status_code, during.headers["leaving"]) == (200, "1")
        async with open_runner() as client:
            await client.post("/leave", json={"grace_s": 0})
            after = await client.post(PATH)
            assert (after.status_code, after.headers["not-run"]) == (503, "1")

    anyio.run(run)


def test_open_connection_goes_silent_while_new_ones_work():
    """Guards against a fault that also silences later connections."""

    async def run():
        async with open_runner() as client:
            await client.post(PATH)
            async with httpx.AsyncClient(
                base_url=client.base_url, trust_env=False
            ) as control:
                await control.post("/faults", json={"silent_share": 1.0})
            with pytest.raises(httpx.ReadTimeout):
                await client.post(PATH)
            assert (await client.post(PATH)).status_code == 200

    anyio.run(run)


def test_truncated_answer_breaks_the_connection():
    """Guards against a truncated answer that looks complete to the client."""

    async def run():
        async with open_runner() as client:
            await client.post("/faults", json={"truncate_answers": True})
            with pytest.raises(httpx.RemoteProtocolError):
                await client.post(PATH)
            await client.post("/faults", json={"truncate_answers": False})
            assert (await client.post(PATH)).status_code == 200
            assert (await fetch_audit(client)).ended == 2

    anyio.run(run)


def test_run_time_grows_with_batch_work_on_the_worker():
    """Guards against interference that is not visible in measurements.

    The runner must report its latencies to the worker, and run times must grow
    with the processors that batch work uses there.
    """

    async def run():
        worker = worker_module.WorkerSettings(
            "w1",
            serving.find_free_address(),
            documents.Size(8.0, 1000),
            usage_lag_s=0.0,
            sample_s=0.01,
        )
        async with (
            serving.open_standin(worker_module.serve_worker, worker),
            open_runner(worker=worker.listen, pressure_poll_s=0.01) as client,
        ):
            await client.post(PATH)
            with anyio.fail_after(5):
                while not await fetch_services(worker.listen):
                    await anyio.sleep(0.01)

    anyio.run(run)
    settings = runner_module.RunnerSettings(
        "r", "", {}, interference={"preview": {"sync": 0.25}}
    )
    compute = runner_module.compute_factor
    assert compute(settings, "preview", {"sync": 4.0, "other": 9.0}) == 2.0
    assert compute(settings, "render", {"sync": 4.0}) == 1.0


async def fetch_services(address):
    """Returns the service latencies in the worker's usage report."""
    async with httpx.AsyncClient(trust_env=False) as client:
        reply = await client.get(f"http://{address}/usage")
    report = msgspec.json.decode(reply.content, type=workers.UsageReport)
    return [usage for sample in report.samples for usage in sample.services]
