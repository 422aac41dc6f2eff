"""Simulated append-only log of the platform, held in memory only.

Implements the API that plantainvane.log calls, the faults of standins.faults
and `GET /stats`:

    python -m standins.log_service --settings FILE
"""

import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Annotated
from typing import Any
import urllib.parse

import anyio
import msgspec
import result

from plantainvane import asgi
from standins import faults as faults_module
from standins import serving

_BODY_LIMIT_BYTES = 16_777_216


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the stand-in.

    Attributes:
      address: `ip:port` to listen on.
      appends_per_s: Rate limit of appends; those above it are answered 429.
        After one idle second, a burst of this many is accepted.
      retention_records: Maximum number of records kept in a stream.
      retention_s: Time in seconds for which a record is kept.
      faults: Faults in force from the start.
    """

    address: str
    appends_per_s: Annotated[float, msgspec.Meta(gt=0)] = 400.0
    retention_records: Annotated[int, msgspec.Meta(ge=1)] = 1_000_000
    retention_s: Annotated[float, msgspec.Meta(gt=0)] = 3600.0
    faults: faults_module.Faults = faults_module.Faults()


@dataclasses.dataclass(slots=True)
class Entry:
    """One retained record: its JSON encoding and when it was appended."""

    encoded: bytes
    appended_at: float


@dataclasses.dataclass(slots=True)
class Stream:
    """One stream of the log.

    Attributes:
      earliest: Offset of the oldest retained record.
      entries: Retained records in the order of their offsets.
      grown: Wakes waiting readers; set and replaced at each append.
      appends, records, bytes: Totals since the start.
    """

    earliest: int = 0
    entries: collections.deque[Entry] = dataclasses.field(
        default_factory=collections.deque
    )
    grown: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    appends: int = 0
    records: int = 0
    bytes: int = 0

    @property
    def next(self) -> int:
        """Offset that the next appended record gets."""
        return self.earliest + len(self.entries)


class LogState:
    """All streams, with rate limit and retention.

    Times are seconds of a monotonic clock.

    Attributes:
      limited: Number of appends that the rate limit has rejected.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.streams: dict[str, Stream] = {}
        self.limited = 0
        self._tokens = settings.appends_per_s
        self._filled_at = float("-inf")

    def get_stream(self, name: str) -> Stream:
        """Returns the named stream; creates it if it does not exist."""
        return self.streams.setdefault(name, Stream())

    def append_records(
        self, name: str, records: list[bytes], now: float
    ) -> result.Result[int, str]:
        """Appends `records` atomically.

        Returns:
          Ok with the offset of the first record, or Err if the rate limit is
          exceeded.
        """
        if not self._take_token(now):
            self.limited += 1
            return result.Err("append rate limit")
        stream = self.get_stream(name)
        first = stream.next
        stream.entries.extend(Entry(record, now) for record in records)
        stream.appends += 1
        stream.records += len(records)
        stream.bytes += sum(len(record) for record in records)
        self._trim_stream(stream, now)
        stream.grown.set()
        stream.grown = anyio.Event()
        return result.Ok(first)

    def read_page(
        self, name: str, from_offset: int, limit: int, now: float
    ) -> bytes:
        """Encodes as JSON a page of at most `limit` records of a stream.

        It starts at `from_offset`, or at the oldest retained record if that is
        later.
        """
        stream = self.get_stream(name)
        self._trim_stream(stream, now)
        first = max(from_offset, stream.earliest)
        last = min(first + limit, stream.next)
        items = b",".join(
            b'{"offset":%d,"record":%b}'
            % (offset, stream.entries[offset - stream.earliest].encoded)
            for offset in range(first, last)
        )
        return b'{"earliest":%d,"next":%d,"records":[%b]}' % (
            stream.earliest,
            stream.next,
            items,
        )

    def make_stats(self) -> dict[str, Any]:
        """Returns appends, records and bytes since the start, per stream too.

        `limited` counts the appends that the rate limit rejected.
        """
        streams = {
            name: {
                "appends": stream.appends,
                "records": stream.records,
                "bytes": stream.bytes,
                "earliest": stream.earliest,
                "next": stream.next,
            }
            for name, stream in sorted(self.streams.items())
        }
        totals = {
            field: sum(stream[field] for stream in streams.values())
            for field in ("appends", "records", "bytes")
        }
        return totals | {"limited": self.limited, "streams": streams}

    def _take_token(self, now: float) -> bool:
        rate = self.settings.appends_per_s
        if now > self._filled_at:
            gained = min(rate, (now - self._filled_at) * rate)
            self._tokens = min(rate, self._tokens + gained)
            self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _trim_stream(self, stream: Stream, now: float) -> None:
        oldest = now - self.settings.retention_s
        surplus = len(stream.entries) - self.settings.retention_records
        while stream.entries and (
            surplus > 0 or stream.entries[0].appended_at < oldest
        ):
            stream.entries.popleft()
            stream.earliest += 1
            surplus -= 1


class _AppendBody(msgspec.Struct, frozen=True):
    records: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]


_APPEND_DECODER = msgspec.json.Decoder(_AppendBody)


def make_handler(state: LogState, clock: Callable[[], float]) -> asgi.Handler:
    """Makes the handler of the log's API; `clock` returns the current time."""

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        if (request.method, request.path) == ("GET", "/stats"):
            return asgi.make_json_reply(200, state.make_stats())
        parts = request.path.split("/")
        if len(parts) != 4 or (parts[1], parts[3]) != ("streams", "records"):
            return asgi.make_json_reply(404, {"detail": "unknown path"})
        stream = urllib.parse.unquote(parts[2])
        if request.method == "POST":
            return _handle_append(state, stream, request.body, clock())
        return await _handle_read(state, stream, request.query, clock)

    return handle


def make_application(
    state: LogState, clock: Callable[[], float] = time.monotonic
) -> asgi.Application:
    """Makes the stand-in's ASGI application, subject to its faults."""
    application = asgi.make_application(
        make_handler(state, clock), _BODY_LIMIT_BYTES
    )
    switch = faults_module.FaultSwitch(state.settings.faults)
    return faults_module.add_faults(application, switch, _is_append)


async def serve_state(state: LogState, address: str, stop: anyio.Event) -> None:
    """Serves `state` at `ip:port` until `stop` is set."""
    await serving.serve_until(make_application(state), address, stop)


def _is_append(method: str, path: str) -> bool:
    return method == "POST" and path.startswith("/streams/")


def _handle_append(
    state: LogState, stream: str, body: bytes, now: float
) -> asgi.HttpReply:
    try:
        records = _APPEND_DECODER.decode(body).records
    except msgspec.MsgspecError as error:
        return asgi.make_json_reply(400, {"detail": str(error)})
    encoded = [bytes(record) for record in records]
    appended = state.append_records(stream, encoded, now)
    if appended.is_err():
        return asgi.make_json_reply(429, {"detail": appended.err_value})
    return asgi.make_json_reply(200, {"first_offset": appended.ok_value})


async def _handle_read(
    state: LogState,
    stream: str,
    query: dict[str, str],
    clock: Callable[[], float],
) -> asgi.HttpReply:
    try:
        from_offset = int(query.get("from", "0"))
        limit = int(query.get("limit", "1000"))
        wait_s = float(query.get("wait_s", "0"))
    except ValueError as error:
        return asgi.make_json_reply(400, {"detail": str(error)})
    with anyio.move_on_after(wait_s):
        while state.get_stream(stream).next <= from_offset:
            await state.get_stream(stream).grown.wait()
    page = state.read_page(stream, from_offset, limit, clock())
    return asgi.HttpReply(200, page)


async def _serve_log(settings: Settings, stop: anyio.Event) -> None:
    await serve_state(LogState(settings), settings.address, stop)


if __name__ == "__main__":
    serving.run_process(Settings, _serve_log)
