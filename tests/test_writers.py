"""Tests of plantainvane.writers against the log stand-in."""

from collections.abc import AsyncIterator
import contextlib
import random
from typing import Any

import anyio
import eliot
import httpx
import pytest

from plantainvane import outcomes
from plantainvane import readers
from plantainvane import records
from plantainvane import writers
from tests import log_server

pytestmark = pytest.mark.anyio

IDENTITY = writers.Identity("entry-1", 1000)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def run_writer(
    local: log_server.LocalLog,
) -> AsyncIterator[writers.Writer]:
    writer = writers.Writer(
        local.settings, local.client, IDENTITY, records.KEYS_STREAM
    )
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            yield writer
            group.cancel_scope.cancel()


async def append_key(writer: writers.Writer, key: str) -> Any:
    return await writer.append(records.KeyClaim, key=key, issued=1.0)


def list_keys(local: log_server.LocalLog) -> list[str]:
    return [record["key"] for record in local.list_records("keys")]


async def test_concurrent_records_share_appends():
    """Guards against one append per record, which exceeds the rate limit."""
    local = log_server.make_local_log()
    offsets: dict[str, int] = {}
    async with run_writer(local) as writer:

        async def append(key: str) -> None:
            offsets[key] = (await append_key(writer, key)).unwrap()

        async with anyio.create_task_group() as group:
            for index in range(100):
                group.start_soon(append, f"k{index}")
    keys = list_keys(local)
    assert {key: keys.index(key) for key in keys} == offsets
    assert local.state.make_stats()["appends"] <= 2


async def test_lost_reply_takes_effect_once():
    """Guards against appending a record twice because the reply was lost."""
    local = log_server.make_local_log()
    local.transport.script = [log_server.lose_reply]
    async with run_writer(local) as writer:
        assert (await append_key(writer, "a")).unwrap() == 0
        assert (await append_key(writer, "b")).unwrap() == 1
    assert list_keys(local) == ["a", "b"]


async def test_lost_request_is_appended_again():
    """Guards against dropping a record because the request was lost."""
    local = log_server.make_local_log()
    local.transport.script = [log_server.lose_request]
    async with run_writer(local) as writer:
        assert (await append_key(writer, "a")).unwrap() == 0
    assert list_keys(local) == ["a"]


async def test_late_copy_is_a_repeat():
    """Guards against a delayed append taking effect a second time."""
    local = log_server.make_local_log()
    delayed = []

    async def delay(request: Any, forward: log_server.Forward) -> Any:
        delayed.append(request)
        return await log_server.lose_request(request, forward)

    async def deliver_late_copy(
        request: Any, forward: log_server.Forward
    ) -> Any:
        await forward(delayed[0])
        return await forward(request)

    local.transport.script = [delay, deliver_late_copy]
    async with run_writer(local) as writer:
        offset = (await append_key(writer, "a")).unwrap()
    seen = readers.SeenSequences()
    copies = [
        seen.add_record(records.KeyClaim(**get_fields(record)))
        for record in local.list_records("keys")
    ]
    assert copies == [True, False]
    # The first copy is valid, not the acknowledged one.
    assert offset == 0


def get_fields(record: dict[str, Any]) -> dict[str, Any]:
    return {name: item for name, item in record.items() if name != "kind"}


async def test_rate_limit_backs_off_and_widens_the_batch():
    """Guards against overloading a log that limits the append rate."""
    local = log_server.make_local_log()
    local.transport.script = [log_server.limit_rate] * 3
    async with run_writer(local) as writer:
        lingers = []

        async def append(key: str) -> None:
            (await append_key(writer, key)).unwrap()
            lingers.append(writer.linger_s)

        async with anyio.create_task_group() as group:
            group.start_soon(append, "a")
            while not writer.dump_state(0.0)["appends"]:
                await anyio.sleep(0)
            group.start_soon(append, "b")
    base_s = local.settings.log.linger_s
    # Doubled three times, then halved after the successful append.
    assert lingers == [4 * base_s, 4 * base_s]
    assert list_keys(local) == ["a", "b"]
    assert local.state.make_stats()["appends"] == 1


async def test_lasting_rate_limit_is_reported():
    """Guards against appends that wait forever because of the rate limit."""
    local = log_server.make_local_log({"append_limit_s": 0.02})
    local.transport.script = [log_server.limit_rate] * 1000
    async with run_writer(local) as writer:
        error = (await append_key(writer, "a")).err_value
    assert error.failure == outcomes.CallFailure.LIMITED
    assert list_keys(local) == []


async def test_unresolved_append_is_lost():
    """Guards against reporting a definite outcome when it is unknown."""
    local = log_server.make_local_log({"append_limit_s": 0.02})

    async def lose_reply_and_reads(
        request: Any, forward: log_server.Forward
    ) -> Any:
        local.transport.fails_reads = True
        return await log_server.lose_reply(request, forward)

    local.transport.script = [lose_reply_and_reads]
    async with run_writer(local) as writer:
        error = (await append_key(writer, "a")).err_value
    assert error.failure == outcomes.CallFailure.LOST


async def test_outage_is_reported_at_once():
    """Guards against appends that hang while the log is down."""
    async with log_server.run_log() as server:
        writer = writers.Writer(
            server.settings, server.client, IDENTITY, records.KEYS_STREAM
        )
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            (await append_key(writer, "a")).unwrap()
            await server.switch_faults(down=True)
            error = (await append_key(writer, "b")).err_value
            await server.switch_faults(down=False)
            offset = (await append_key(writer, "c")).unwrap()
            group.cancel_scope.cancel()
    assert error.failure == outcomes.CallFailure.REFUSED
    assert offset == 1


async def test_cancelled_caller_withdraws_an_unsent_record():
    """Guards against sending a claim after its caller was cancelled."""
    local = log_server.make_local_log({"linger_s": 60.0})
    async with run_writer(local) as writer:
        (await append_key(writer, "a")).unwrap()
        with anyio.move_on_after(0.001):
            await append_key(writer, "withdrawn")
        assert writer.dump_state(0.0)["queued"] == 0
    assert list_keys(local) == ["a"]


async def test_stopping_ends_every_wait():
    """Guards against appends that hang while the process shuts down."""
    local = log_server.make_local_log({"linger_s": 0.001})
    held = anyio.Event()

    async def hold(request: Any, forward: log_server.Forward) -> Any:
        held.set()
        await anyio.sleep_forever()

    local.transport.script = [hold]
    failures = {}
    async with (
        anyio.create_task_group() as group,
        run_writer(local) as writer,
    ):

        async def append(key: str) -> None:
            reply = await append_key(writer, key)
            failures[key] = reply.err_value.failure

        group.start_soon(append, "sent")
        await held.wait()
        group.start_soon(append, "queued")
        await anyio.wait_all_tasks_blocked()
    assert failures == {
        "sent": outcomes.CallFailure.LOST,
        "queued": outcomes.CallFailure.UNREACHED,
    }


async def test_an_outage_is_logged_once():
    """Guards against logging one line per request during an outage."""
    local = log_server.make_local_log()

    async def refuse(request: Any, forward: log_server.Forward) -> Any:
        return httpx.Response(503, request=request)

    local.transport.script = [refuse] * 5
    logged: list[dict[str, Any]] = []
    eliot.add_destinations(logged.append)
    logged.clear()  # eliot passes earlier messages to the first destination.
    try:
        async with run_writer(local) as writer:
            for number in range(6):
                await append_key(writer, str(number))
    finally:
        eliot.remove_destination(logged.append)
    names = [line["message_type"].rpartition(":")[2] for line in logged]
    assert names == ["append_refused", "append_recovered"]


def make_random_fault(rng: random.Random, deliver_later: Any) -> Any:
    """Returns a behaviour that picks a random fault for each append."""

    async def refuse(request: Any, forward: log_server.Forward) -> Any:
        return httpx.Response(503, request=request)

    async def delay(request: Any, forward: log_server.Forward) -> Any:
        deliver_later(forward, request, rng.uniform(0.0, 0.03))
        return await log_server.lose_request(request, forward)

    async def inject_fault(request: Any, forward: log_server.Forward) -> Any:
        fault = rng.choice(
            [
                log_server.lose_reply,
                log_server.lose_request,
                log_server.limit_rate,
                refuse,
                delay,
                lambda request, forward: forward(request),
            ]
        )
        return await fault(request, forward)

    return inject_fault


@pytest.mark.parametrize("seed", range(8))
async def test_what_a_writer_reports_is_what_readers_see(seed):
    """Guards against reporting wrong outcomes under random faults.

    After Ok, readers see the record exactly once, at that offset. After any
    error other than LOST they never see it, although delayed copies of earlier
    appends may still arrive.
    """
    rng = random.Random(seed)
    local = log_server.make_local_log(
        {"linger_s": 0.001, "append_settle_s": 0.005, "append_limit_s": 0.05}
    )
    outcome: dict[str, Any] = {}
    async with anyio.create_task_group() as deliveries:

        async def deliver(forward: Any, request: Any, delay_s: float) -> None:
            await anyio.sleep(delay_s)
            await forward(request)

        inject_fault = make_random_fault(
            rng, lambda *late: deliveries.start_soon(deliver, *late)
        )
        local.transport.script = [inject_fault] * 10_000
        async with run_writer(local) as writer:

            async def append(key: str) -> None:
                outcome[key] = await append_key(writer, key)

            async with anyio.create_task_group() as group:
                for number in range(60):
                    group.start_soon(append, str(number))
                    await anyio.sleep(rng.choice([0, 0, 0.002]))
    seen = readers.SeenSequences()
    counted = {}
    for offset, record in enumerate(local.list_records("keys")):
        if seen.add_record(records.KeyClaim(**get_fields(record))):
            counted[record["key"]] = offset
    for key, reply in outcome.items():
        if reply.is_ok():
            assert counted[key] == reply.ok_value
        elif reply.err_value.failure != outcomes.CallFailure.LOST:
            assert key not in counted
    assert len(outcome) == 60
    assert any(reply.is_ok() for reply in outcome.values())
