"""Readers that follow streams of the platform's log.

Streams with snapshots hold long-lived state. If the start of such a stream is
no longer retained, the reader continues from the newest snapshot after which
all records are still retained. If there is none, the stream is unreadable; it
is never treated as empty.
"""

from collections.abc import Callable
import dataclasses
import typing
from typing import Any

import anyio
import msgspec

from plantainvane import events
from plantainvane import http_client
from plantainvane import log
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import writers

# Records with their offsets, in offset order.
Entries = list[tuple[int, Any]]
ApplyRecords = Callable[[Entries, float], None]


@dataclasses.dataclass(slots=True)
class Position:
    """Read position in a stream.

    Attributes:
      stream: Name of the stream.
      next_offset: Offset of the next record to apply.
      earliest: First retained offset, as of the last read.
      caught_up_at: Monotonic time in seconds at which the reply to the last
        read that reached the end of the stream arrived; -inf before the first.
      unreadable: Whether records that were not applied yet are no longer
        retained, or were lost by the log, and the stream has no usable
        snapshot.
    """

    stream: str
    next_offset: int = 0
    earliest: int = 0
    caught_up_at: float = float("-inf")
    unreadable: bool = False

    def advance_to(self, next_offset: int) -> None:
        """Advances to `next_offset`; a lower offset has no effect.

        Called when the state through `next_offset` - 1 has been obtained.
        """
        self.next_offset = max(self.next_offset, next_offset)
        if self.next_offset >= self.earliest:
            self.unreadable = False

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the position as JSON-compatible values.

        `current_s` is null until the end of the stream was reached once.
        """
        current = self.caught_up_at != float("-inf")
        return {
            "stream": self.stream,
            "next_offset": self.next_offset,
            "earliest": self.earliest,
            "current_s": round(now - self.caught_up_at, 3) if current else None,
            "unreadable": self.unreadable,
        }


class SeenSequences:
    """Highest sequence number of each writer, for detecting duplicate records.

    Writers append in sequence order, so a record is a duplicate if its sequence
    is not above the highest one seen. The least recently active writers are
    evicted; every reader of a stream evicts the same ones.
    """

    # A duplicate follows its original within `log.append_limit_s`, and fewer
    # processes than this write to one stream within that time.
    WRITERS_KEPT = 256

    def __init__(self, rows: list[tuple[str, int, int]] = ()):
        self._highest = {
            (writer, incarnation): sequence
            for writer, incarnation, sequence in rows
        }

    def add_record(self, record: records.Record) -> bool:
        """Registers a record; returns False if it is a duplicate to ignore."""
        key = (record.writer, record.incarnation)
        highest = self._highest.pop(key, 0)
        self._highest[key] = max(highest, record.sequence)
        if len(self._highest) > self.WRITERS_KEPT:
            del self._highest[next(iter(self._highest))]
        return record.sequence > highest

    def list_rows(self) -> list[tuple[str, int, int]]:
        """Lists (writer, incarnation, sequence), longest inactive first."""
        return [(*key, sequence) for key, sequence in self._highest.items()]


async def follow_stream(
    settings: settings_module.Settings,
    client: http_client.Client,
    position: Position,
    kind: Any,
    apply: ApplyRecords,
) -> None:
    """Follows one stream until cancelled.

    Calls `apply(list of (offset, record), now)` in offset order, and
    `apply([], now)` each time a read reaches the end of the stream. Records
    that cannot be decoded as `kind` are skipped. A snapshot that replaces
    missing records is passed to `apply` like any other record; the state
    installs it because its `through_offset` is above the offset of the last
    applied record.

    Args:
      settings: Settings of the process.
      client: HTTP client of the log.
      position: Position to start from; updated in place.
      kind: Union of the stream's record types. If one of them has the field
        `through_offset`, the stream has snapshots.
      apply: Synchronous callback that applies records to a state.
    """
    reader = _Reader(settings, client, position, kind, apply)
    while True:
        # A snapshot from a peer may advance the position during the read.
        from_offset = position.next_offset
        page = await reader.read_page(from_offset)
        position.earliest = page.earliest
        if page.next < from_offset:
            reader.report_shortened(page)
            await anyio.sleep(settings.log.poll_wait_s)
        elif page.earliest > position.next_offset:
            await reader.skip_gap(page.earliest)
        else:
            reader.apply_page(page)


@dataclasses.dataclass(slots=True)
class _Reader:
    settings: settings_module.Settings
    client: http_client.Client
    position: Position
    kind: Any
    apply: ApplyRecords
    decoder: Any = None
    caught_up: bool = False
    failures: int = 0

    def __post_init__(self) -> None:
        self.decoder = msgspec.json.Decoder(self.kind)

    async def read_page(self, from_offset: int) -> log.Page:
        """Reads a page, retrying until a read succeeds.

        Long-polls for new records only when the reader has caught up.
        """
        wait_s = self.settings.log.poll_wait_s if self.caught_up else 0.0
        while True:
            reply = await log.read_records(
                self.client, self.position.stream, from_offset, wait_s
            )
            if reply.is_ok():
                self._note_success()
                return reply.ok_value
            self._note_failure(reply.err_value.detail)
            await anyio.sleep(
                writers.compute_backoff(self.settings.log, self.failures)
            )

    def apply_page(self, page: log.Page) -> None:
        """Applies a page that starts at the current position."""
        position = self.position
        self._mark_readable()
        now = anyio.current_time()
        entries = self._decode_page(page)
        if page.records:
            position.advance_to(page.records[-1].offset + 1)
        if entries:
            self.apply(entries, now)
        self.caught_up = position.next_offset >= page.next
        if self.caught_up:
            position.caught_up_at = now
            self.apply([], now)

    async def skip_gap(self, earliest: int) -> None:
        """Skips records that are no longer retained.

        Returns when the position is back within the retained records, either
        after a snapshot was applied or because a snapshot from a peer advanced
        the position.
        """
        position = self.position
        if not _has_snapshots(self.kind):
            position.advance_to(earliest)
            return
        newest: tuple[int, Any] | None = None
        scan_from = earliest
        self.caught_up = False
        while True:
            page = await self.read_page(scan_from)
            position.earliest = page.earliest
            if position.next_offset >= page.earliest:
                return
            for offset, record in self._decode_page(page):
                if _covers_prefix(record, offset):
                    newest = (offset, record)
            if page.records:
                scan_from = page.records[-1].offset + 1
            self.caught_up = scan_from >= page.next
            if not self.caught_up:
                continue
            if newest and newest[1].through_offset + 1 >= page.earliest:
                self.apply([newest], anyio.current_time())
                position.advance_to(newest[1].through_offset + 1)
                return
            self._mark_unreadable()

    def report_shortened(self, page: log.Page) -> None:
        """Logs that the stream lost records at its end.

        The log guarantees that this does not happen.
        """
        if not self.position.unreadable:
            self.position.unreadable = True
            events.log_event(
                events.STREAM_SHORTENED,
                stream=self.position.stream,
                next_offset=self.position.next_offset,
                log_next=page.next,
            )

    def _decode_page(self, page: log.Page) -> Entries:
        entries = []
        for stored in page.records:
            try:
                record = self.decoder.decode(stored.record)
            except msgspec.MsgspecError as error:
                events.log_event(
                    events.RECORD_UNDECODABLE,
                    stream=self.position.stream,
                    offset=stored.offset,
                    detail=str(error),
                )
                continue
            entries.append((stored.offset, record))
        return entries

    def _mark_unreadable(self) -> None:
        if not self.position.unreadable:
            self.position.unreadable = True
            events.log_event(
                events.STREAM_UNREADABLE,
                stream=self.position.stream,
                next_offset=self.position.next_offset,
                earliest=self.position.earliest,
            )

    def _mark_readable(self) -> None:
        if self.position.unreadable:
            self.position.unreadable = False
            events.log_event(
                events.STREAM_READABLE, stream=self.position.stream
            )

    def _note_success(self) -> None:
        if self.failures:
            events.log_event(
                events.READ_RECOVERED,
                stream=self.position.stream,
                failures=self.failures,
            )
        self.failures = 0

    def _note_failure(self, detail: str) -> None:
        if not self.failures:
            events.log_event(
                events.READ_FAILING,
                stream=self.position.stream,
                detail=detail,
            )
        self.failures += 1


def _has_snapshots(kind: Any) -> bool:
    options = typing.get_args(kind) or (kind,)
    return any(
        "through_offset" in option.__struct_fields__ for option in options
    )


def _covers_prefix(record: Any, offset: int) -> bool:
    """Returns whether a record is a snapshot of records preceding it."""
    return getattr(record, "through_offset", offset) < offset
