"""Follows a stream of the platform's log; snapshot and retention rules.

A stream whose kind has snapshots holds long-lived state. When its start is no
longer retained, a reader goes on from the newest snapshot from which every
later record is retained. Without one the stream is unreadable and is never
taken for empty.
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

Entries = list[tuple[int, Any]]
ApplyRecords = Callable[[Entries, float], None]


@dataclasses.dataclass(slots=True)
class Position:
    """How far a stream was read.

    Attributes:
      stream: Name of the stream.
      next_offset: Offset of the next record to apply.
      earliest: First retained offset as of the last read.
      caught_up_at: Monotonic time in seconds at which the reply to the last
        read that reached the end of the stream arrived; -inf before the first.
      unreadable: Records that are missing here are no longer retained, and no
        usable snapshot is in the stream.
    """

    stream: str
    next_offset: int = 0
    earliest: int = 0
    caught_up_at: float = float("-inf")
    unreadable: bool = False

    def advance_to(self, next_offset: int) -> None:
        """Moves on, never back, after state through `next_offset` - 1."""
        self.next_offset = max(self.next_offset, next_offset)
        if self.next_offset >= self.earliest:
            self.unreadable = False

    def dump_state(self, now: float) -> dict[str, Any]:
        """Describes the position; `current_s` is null before the first end."""
        current = self.caught_up_at != float("-inf")
        return {
            "stream": self.stream,
            "next_offset": self.next_offset,
            "earliest": self.earliest,
            "current_s": round(now - self.caught_up_at, 3) if current else None,
            "unreadable": self.unreadable,
        }


class SeenSequences:
    """The highest sequence of each writer, to find repeated records.

    Writers append in the order of their sequences, so a record at or below the
    highest one seen is a repeat. The writers that were silent longest are
    forgotten; every reader of a stream forgets the same ones.
    """

    # A repeat follows its first copy within `log.append_limit_s`; fewer
    # processes than this write to one stream within that time.
    WRITERS_KEPT = 256

    def __init__(self, rows: list[tuple[str, int, int]] = ()):
        self._highest = {
            (writer, incarnation): sequence
            for writer, incarnation, sequence in rows
        }

    def add_record(self, record: records.Record) -> bool:
        """Notes a record; returns False for a repeat, which is void."""
        key = (record.writer, record.incarnation)
        highest = self._highest.pop(key, 0)
        self._highest[key] = max(highest, record.sequence)
        if len(self._highest) > self.WRITERS_KEPT:
            del self._highest[next(iter(self._highest))]
        return record.sequence > highest

    def list_rows(self) -> list[tuple[str, int, int]]:
        """Lists [writer, incarnation, sequence], longest silent first."""
        return [(*key, sequence) for key, sequence in self._highest.items()]


async def follow_stream(
    settings: settings_module.Settings,
    client: http_client.Client,
    position: Position,
    kind: Any,
    apply: ApplyRecords,
) -> None:
    """Follows one stream until it is cancelled.

    Calls `apply(list of (offset, record), now)` in offset order, and
    `apply([], now)` each time a read reached the end of the stream. A record
    that does not decode as `kind` is void. A snapshot that replaces missing
    records is applied like any record; the fold takes it over because its
    `through_offset` is above that of the last record applied.

    Args:
      settings: Settings of the process.
      client: The client of the log.
      position: Where to start; changed in place.
      kind: The record union of the stream. When one of its types has the field
        `through_offset`, the stream has snapshots.
      apply: Synchronous fold of the records.
    """
    reader = _Reader(settings, client, position, kind, apply)
    while True:
        # A peer's state may move the position on while the read is under way.
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
        """Reads until a read succeeds; waits for records only at the end."""
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
        """Applies a page that starts where the last one ended."""
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
        """Passes records that are no longer retained.

        Returns when the position is on retained records again: after applying
        a snapshot, or because a peer's state moved it on.
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
        """Reports a stream that lost its end, which the log rules out."""
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
    """Tells whether a record is a snapshot of records before itself."""
    return getattr(record, "through_offset", offset) < offset
