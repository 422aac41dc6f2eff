"""Tests of standins.load against a server with predefined answers."""

import random

import anyio
import msgspec

from plantainvane import asgi
from plantainvane import documents
from standins import answers
from standins import balancer as balancer_module
from standins import launcher
from standins import load as load_module
from standins import runner
from standins import serving

RUN_CLASS = runner.RunClass(rounds=2, padding_bytes=16)
REQUEST_LOAD = launcher.RequestLoad(rate_per_s=200.0, body_bytes=100)


def make_load(address, non_idempotent=()):
    deployment = launcher.Deployment(
        name="test",
        domains=("d1",),
        entry_per_domain=1,
        workers=0,
        worker_size=documents.Size(),
        documents=(),
        runner_classes={"preview": RUN_CLASS},
        requests={"preview": REQUEST_LOAD},
    )
    return load_module.Load(
        deployment,
        balancer_module.Balancer([address], {address}),
        random.Random(1),
        frozenset(non_idempotent),
        timeout_s=0.3,
    )


def make_answer(request, request_id=None):
    """Answers as a runner would, or as if the request had `request_id`."""
    own_id = request.headers["request-id"]
    body = answers.make_answer(
        "preview", request_id or own_id, request.body, 2, "r1", 16
    )
    return asgi.HttpReply(
        200, body, headers=((b"request-id", own_id.encode()),)
    )


async def run_with(handle, use, non_idempotent=(), health=(200,)):
    address = serving.find_free_address()
    stop = anyio.Event()

    async def handle_or_health(request):
        if request.path == "/health":
            return asgi.HttpReply(health[0])
        return await handle(request)

    application = asgi.make_application(handle_or_health, 65536)
    async with anyio.create_task_group() as group:
        group.start_soon(serving.serve_until, application, address, stop)
        await serving.wait_ready(address)
        load = make_load(address, non_idempotent)
        await use(load)
        await balancer_module.close_connections(load.balancer)
        stop.set()
    return load


def send_one(handle):
    """Sends one request that `handle` serves; returns its record."""

    async def use(load):
        await load_module.send_one(load, "preview", REQUEST_LOAD)

    return anyio.run(run_with, handle, use).records[0]


def test_right_answer_is_counted():
    """Guards against a check that rejects correct answers."""

    async def handle(request):
        return make_answer(request)

    record = send_one(handle)
    assert (record.outcome, record.detail) == ("answered", "")


def test_answer_of_another_request_is_wrong():
    """Guards against accepting a complete answer to another request."""

    async def handle(request):
        return make_answer(request, "q99")

    record = send_one(handle)
    assert record.outcome == "wrong"
    assert "q99" in record.detail


def test_short_answer_is_wrong():
    """Guards against accepting a partial answer with a valid Content-Length."""

    async def handle(request):
        reply = make_answer(request)
        reply.body = reply.body.replace(b".", b"")
        return reply

    assert send_one(handle).outcome == "wrong"


def test_statuses_map_to_outcomes():
    """Guards against counting a refusal as an unknown outcome."""
    expected = {429: "not_run", 503: "not_run", 504: "unknown", 404: "wrong"}
    for status, outcome in expected.items():

        async def handle(request, status=status):
            return asgi.HttpReply(status)

        assert send_one(handle).outcome == outcome


def test_silent_process_is_unknown():
    """Guards against a caller that waits forever for an answer."""

    async def handle(request):
        await anyio.sleep(5)

    record = send_one(handle)
    assert (record.outcome, record.broken) == ("unknown", True)


def test_unreachable_process_is_not_run():
    """Guards against an unknown outcome of a request that was never sent."""
    load = make_load(serving.find_free_address())
    record = anyio.run(load_module.send_one, load, "preview", REQUEST_LOAD)
    assert record.outcome == "not_run"


def test_open_loop_repeats_some_keys():
    """Guards against a load that never repeats an idempotency key."""

    async def handle(request):
        key = msgspec.json.decode(request.body)["key"]
        assert request.headers["idempotency-key"] == key
        return make_answer(request)

    async def use(load):
        await load_module.run_load(load, 0.5)

    load = anyio.run(run_with, handle, use, ("preview",))
    summary = load_module.summarize(load)
    assert summary["answered"] == summary["requests_sent"] == len(load.records)
    repeated = [key for key, ids in load.sent_ids.items() if len(ids) == 2]
    assert 5 < len(repeated) < len(load.sent_ids) / 2
    assert all(len(ids) <= 2 for ids in load.sent_ids.values())


def test_balancer_skips_a_process_that_is_not_healthy():
    """Guards against requests to a process whose health check fails.

    A draining process fails its health check on purpose.
    """
    statuses = [200]

    async def handle(request):
        return asgi.HttpReply(200)

    async def use(load):
        balancer = load.balancer
        async with anyio.create_task_group() as group:
            group.start_soon(balancer_module.run_checks, balancer)
            statuses[0] = 503
            await wait_until(lambda: not balancer.healthy)
            sent, _ = await balancer_module.send_request(
                balancer, "GET", "/health", {}, b"", 1.0
            )
            assert sent == ""
            statuses[0] = 200
            await wait_until(lambda: balancer.healthy)
            group.cancel_scope.cancel()

    anyio.run(run_with, handle, use, (), statuses)


async def wait_until(holds):
    with anyio.fail_after(5):
        while not holds():
            await anyio.sleep(0.01)


def test_quantiles_are_nearest_rank():
    """Guards against interpolation between two measured values."""
    find = load_module.find_quantile
    assert find([3.0, 1.0, 2.0], 0.5) == 2.0
    assert find([float(n) for n in range(1, 101)], 0.99) == 99.0
    assert find([], 0.5) is None
