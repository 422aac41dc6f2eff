"""Tests of standins.log_service and standins.faults over HTTP."""

import time

import anyio
import pytest

from plantainvane import log
from plantainvane import outcomes
from tests import log_server

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_long_poll_wakes_at_the_append():
    """Guards against readers seeing a record only when the poll times out."""
    pages = []
    async with log_server.run_log() as server:

        async def poll() -> None:
            pages.append(await log.read_records(server.client, "s", 0, 30.0))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(poll)
                while "s" not in server.state.streams:
                    await anyio.sleep(0)
                await log.append_records(server.client, "s", [b"1", b"2"])
    page = pages[0].ok_value
    assert [bytes(entry.record) for entry in page.records] == [b"1", b"2"]
    assert (page.earliest, page.next) == (0, 2)


async def test_lost_reply_takes_effect():
    """Guards against a reply fault that also drops the append."""
    async with log_server.run_log() as server:
        await server.switch_faults(lose_replies=True)
        reply = await log.append_records(server.client, "s", [b"1"])
        page = await log.read_records(server.client, "s", 0)
    assert reply.err_value.failure == outcomes.CallFailure.LOST
    assert page.ok_value.next == 1


async def test_blocked_source_is_cut_off_from_a_waiting_poll():
    """Guards against a partitioned process still receiving records."""
    pages = []
    async with log_server.run_log() as server:

        async def poll() -> None:
            pages.append(await log.read_records(server.client, "s", 0, 30.0))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(poll)
                while "s" not in server.state.streams:
                    await anyio.sleep(0)
                await server.switch_faults(blocked_sources=["entry-1"])
                reply = await log.append_records(server.client, "s", [b"1"])
                server.state.append_records("s", [b"2"], now=time.monotonic())
    assert reply.err_value.failure == outcomes.CallFailure.REFUSED
    assert pages[0].err_value.failure == outcomes.CallFailure.REFUSED


async def test_rate_limit_and_retention():
    """Guards against a stand-in without the limits of the platform's log."""
    async with log_server.run_log(
        appends_per_s=2, retention_records=3
    ) as server:
        replies = [
            await log.append_records(server.client, "s", [b"1", b"2"])
            for _ in range(3)
        ]
        page = (await log.read_records(server.client, "s", 0)).ok_value
    assert replies[2].err_value.failure == outcomes.CallFailure.LIMITED
    assert (page.earliest, page.next) == (1, 4)
    assert [entry.offset for entry in page.records] == [1, 2, 3]


async def test_faults_refuse_unknown_fields():
    """Guards against silently ignoring a misspelled fault."""
    async with log_server.run_log() as server:
        reply = await server.client.post("/faults", json={"donw": True})
    assert reply.status_code == 400
    assert reply.json()["faults"][0]["path"] == "$.donw"
