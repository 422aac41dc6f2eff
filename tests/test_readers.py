"""Tests of plantainvane.readers against the log stand-in."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time
from typing import Any

import anyio
import msgspec
import pytest

from plantainvane import readers
from plantainvane import records
from tests import log_server

pytestmark = pytest.mark.anyio

STREAM = records.CONFIG_STREAM


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass
class Follower:
    """Records what following a stream applied.

    Attributes:
      position: Position in the stream.
      applied: Offset and type name of each applied record.
      ends: How often the end of the stream was reported.
    """

    position: readers.Position
    applied: list[Any] = dataclasses.field(default_factory=list)
    ends: int = 0

    def apply(self, entries: readers.Entries, now: float) -> None:
        self.applied.extend(
            (offset, type(record).__name__) for offset, record in entries
        )
        self.ends += not entries

    async def wait_until(self, condition: Any) -> None:
        while not condition():
            await anyio.sleep(0.001)


@contextlib.asynccontextmanager
async def follow(
    local: Any, stream: str = STREAM, kind: Any = records.ConfigRecord
) -> AsyncIterator[Follower]:
    follower = Follower(readers.Position(stream))
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(
                readers.follow_stream,
                local.settings,
                local.client,
                follower.position,
                kind,
                follower.apply,
            )
            yield follower
            group.cancel_scope.cancel()


def append(local: Any, *appended: records.Record) -> None:
    encoded = [msgspec.json.encode(record) for record in appended]
    stream = (
        records.KEYS_STREAM
        if isinstance(appended[0], records.KeyClaim)
        else STREAM
    )
    local.state.append_records(stream, encoded, now=time.monotonic()).unwrap()


def make_change(sequence: int) -> records.ConfigChange:
    return records.ConfigChange(
        writer="a",
        incarnation=1,
        sequence=sequence,
        base_revision=0,
        document=None,
        target_kind="quota",
        target_name="team",
    )


def make_snapshot(through_offset: int) -> records.ConfigSnapshot:
    return records.ConfigSnapshot(
        writer="a",
        incarnation=1,
        sequence=99,
        through_offset=through_offset,
        version=1,
        documents=[],
        revisions=[],
    )


async def test_reports_the_end_of_an_empty_stream():
    """Guards against a new deployment that never becomes ready."""
    local = log_server.make_local_log()
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == []
    assert follower.position.caught_up_at > float("-inf")


async def test_reads_pages_in_order_and_then_waits():
    """Guards against losing or repeating records between pages and polls."""
    local = log_server.make_local_log()
    for first in range(0, 2500, 500):
        append(local, *(make_change(first + n) for n in range(500)))
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.ends)
        assert follower.position.next_offset == 2500
        append(local, make_change(2501))
        await follower.wait_until(lambda: follower.ends >= 2)
    offsets = [offset for offset, _ in follower.applied]
    assert offsets == list(range(2501))


async def test_missing_start_without_snapshot_is_unreadable():
    """Guards against treating an expired stream as an empty one."""
    local = log_server.make_local_log(retention_records=2)
    append(local, *(make_change(n) for n in range(5)))
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.position.unreadable)
        assert follower.applied == []
        assert follower.ends == 0
        append(local, make_snapshot(through_offset=4))
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == [(5, "ConfigSnapshot"), (5, "ConfigSnapshot")]
    assert not follower.position.unreadable


async def test_snapshot_below_the_retained_records_is_unusable():
    """Guards against a gap between a snapshot and the records after it."""
    local = log_server.make_local_log(retention_records=3)
    append(local, *(make_change(n) for n in range(5)))
    append(local, make_snapshot(through_offset=2), make_change(6))
    # Records 4, 5 and 6 are retained; record 3 is neither retained nor covered
    # by the snapshot.
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.position.unreadable)
        assert follower.applied == []


async def test_records_between_snapshot_and_its_offset_are_applied():
    """Guards against losing records appended while a snapshot is created."""
    local = log_server.make_local_log(retention_records=4)
    append(local, *(make_change(n) for n in range(5)))
    append(local, make_snapshot(through_offset=2), make_change(6))
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == [
        (5, "ConfigSnapshot"),
        (3, "ConfigChange"),
        (4, "ConfigChange"),
        (5, "ConfigSnapshot"),
        (6, "ConfigChange"),
    ]


async def test_state_of_a_peer_ends_unreadability():
    """Guards against a process staying unready despite a peer's snapshot."""
    local = log_server.make_local_log(retention_records=2)
    append(local, *(make_change(n) for n in range(5)))
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.position.unreadable)
        follower.position.advance_to(4)
        append(local, make_change(6))
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == [(4, "ConfigChange"), (5, "ConfigChange")]


async def test_stream_without_snapshots_starts_at_its_first_record():
    """Guards against a stream of short-lived state becoming unreadable.

    Its old records expire, and it has no snapshots.
    """
    local = log_server.make_local_log(retention_records=1)
    claims = [
        records.KeyClaim(
            writer="a", incarnation=1, sequence=n, key=str(n), issued=0.0
        )
        for n in range(1, 4)
    ]
    append(local, *claims)
    async with follow(local, "keys", records.KeyRecord) as follower:
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == [(2, "KeyClaim")]


async def test_undecodable_record_is_void():
    """Guards against an unknown or malformed record stopping every reader."""
    local = log_server.make_local_log()
    local.state.append_records(
        STREAM, [b'{"kind":"new"}', b"7"], now=time.monotonic()
    )
    append(local, make_change(1))
    async with follow(local) as follower:
        await follower.wait_until(lambda: follower.ends)
    assert follower.applied == [(2, "ConfigChange")]


async def test_reading_goes_on_after_an_outage():
    """Guards against a reader that stops or skips records in an outage."""
    async with log_server.run_log() as server:
        append(server, make_change(1))
        async with follow(server) as follower:
            await follower.wait_until(lambda: follower.ends)
            await server.switch_faults(down=True)
            append(server, make_change(2))
            before = follower.position.caught_up_at
            await server.switch_faults(down=False)
            await follower.wait_until(lambda: len(follower.applied) == 2)
            assert follower.position.caught_up_at > before
    assert [offset for offset, _ in follower.applied] == [0, 1]


async def test_shortened_stream_is_not_followed():
    """Guards against applying records of a new log to state of the old one."""
    local = log_server.make_local_log({"poll_wait_s": 0.01})
    append(local, make_change(1))
    async with follow(local) as follower:
        follower.position.advance_to(7)
        await follower.wait_until(lambda: follower.position.unreadable)
    assert follower.applied == []


async def test_state_of_a_peer_during_a_read_shortens_nothing():
    """Guards against mistaking an outdated page for a log that lost records.

    A peer's snapshot advances the position while the page is being read.
    """
    local = log_server.make_local_log({"poll_wait_s": 60.0})
    append(local, make_change(1))
    async with follow(local) as follower:

        def move_on() -> None:
            append(local, *(make_change(n) for n in range(2, 8)))
            follower.position.advance_to(7)

        local.transport.after_read = move_on
        await follower.wait_until(lambda: follower.ends)
    assert follower.position.next_offset == 7
