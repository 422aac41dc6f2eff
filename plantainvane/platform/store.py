"""Client of the platform's log: topics of keyed records."""

import base64
import json
import re
import struct
from typing import Any
import urllib.parse

import msgspec
import result

from plantainvane import decoding
from plantainvane import events
from plantainvane import http_client
from plantainvane import outcomes
from plantainvane.jobs import interfaces
from plantainvane.jobs import metrics
from plantainvane.jobs import settings as settings_module
from plantainvane.platform import calls

# Each topic has a single partition in use, as the product has a single shard.
_PARTITION = 0
_MAX_READ_KB = 1024
_PREFIX = "/plantainvane/log-"
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _AppendReply(msgspec.Struct, rename="pascal"):
    """Reply to an append.

    `sequence` is the sequence number that the log expects, if `reason` is
    "seq".
    """

    offset: int = -1
    end_offset: int = -1
    reason: str = ""
    sequence: int = -1


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    value: str | None = None
    offset: int = 0


class _NewestPage(msgspec.Struct, rename="pascal"):
    items: list[_Item] = msgspec.field(name="items", default_factory=list)
    has_more: bool = False
    end_offset: int = 0


class _AnyPage(msgspec.Struct, rename="pascal"):
    """A page whose items have not been checked."""

    items: list[Any] = msgspec.field(name="items", default_factory=list)
    has_more: bool = False
    end_offset: int = 0


_SURROGATE = re.compile("[\ud800-\udfff]")

_APPEND_DECODER = msgspec.json.Decoder(_AppendReply)
_PAGE_DECODER = msgspec.json.Decoder(_NewestPage)


def encode_records(records: list[tuple[str, bytes | None]]) -> bytes:
    """Encodes records, each as length, key length, key and value."""
    parts: list[bytes] = []
    for key, value in records:
        name = key.encode()
        body = bytes((len(name),)) + name + (value or b"")
        parts.append(_LENGTH.pack(len(body)))
        parts.append(body)
    return b"".join(parts)


def decode_records(content: bytes, offset: int) -> interfaces.Page:
    """Decodes the reply to a read that started at `offset`.

    Raises:
      ValueError: The content is too short or ends inside a record.
    """
    if len(content) < _OFFSETS.size:
        raise ValueError(
            f"reply to a read has {len(content)} bytes, too few for its offsets"
        )
    end_offset, _ = _OFFSETS.unpack_from(content)
    records: list[tuple[int, str, bytes | None]] = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(content):
        (length,) = _LENGTH.unpack_from(content, position)
        position += _LENGTH.size
        body = content[position : position + length]
        if len(body) < length:
            raise ValueError("the last record is truncated")
        position += length
        records.append((offset, *_split_record(body)))
        offset += 1
    return interfaces.Page(tuple(records), offset, end_offset)


def _split_record(body: bytes) -> tuple[str, bytes | None]:
    size = body[0] if body else 0
    key = body[1 : 1 + size].decode("utf-8", "replace")
    return key, body[1 + size :] or None


class Store:
    """Client of the log; replaces connections that stop responding."""

    def __init__(self, settings: settings_module.Settings):
        """Creates a client that connects on first use."""
        self._client = http_client.Client(
            settings.store_address, settings.store_timeout_max_s
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        timeout_s: float,
        producer: interfaces.Producer | None = None,
        expected_end: int | None = None,
    ) -> result.Result[interfaces.Appended, outcomes.CallError]:
        """Appends `records` atomically.

        With `expected_end`, only if the topic ends at that offset.
        """
        query: dict[str, str | int] = {"Topic": topic, "part": _PARTITION}
        if producer is not None:
            query["Producer"] = producer.name
            query["epoch"] = producer.epoch
            query["Sequence"] = producer.sequence
        if expected_end is not None:
            query["At"] = expected_end
        path = f"{_PREFIX}append?{urllib.parse.urlencode(query)}"
        reply = await calls.call(
            self._client, "POST", path, encode_records(records), timeout_s
        )
        _count_call("append", reply)
        if reply.is_err():
            return result.Err(reply.err_value)
        return _decode_append(reply.ok_value)

    async def read(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads from `offset`; waits up to `wait_s` for the first record."""
        query = {
            "Topic": topic,
            "part": _PARTITION,
            "From": offset,
            "MaxSize": _MAX_READ_KB,
            "WaitMs": int(wait_s * 1000),
        }
        path = f"{_PREFIX}read?{urllib.parse.urlencode(query)}"
        reply = await calls.call(
            self._client, "GET", path, timeout_s=timeout_s + wait_s
        )
        _count_call("read", reply)
        if reply.is_err():
            return result.Err(reply.err_value)
        answer = reply.ok_value
        if answer.status_code == 410:
            return result.Ok(interfaces.Page((), offset, offset, expired=True))
        if answer.status_code != 200:
            return _make_refused_error(answer)
        try:
            return result.Ok(decode_records(answer.content, offset))
        except ValueError as error:
            return _make_lost_error(str(error))

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads the newest record of each key, page by page.

        The pages are not a consistent snapshot. `end_offset` is therefore that
        of the first page, and newer records may be among those returned.
        """
        records: list[tuple[int, str, bytes | None]] = []
        end_offset = -1
        query: dict[str, str | int] = {"Topic": topic, "part": _PARTITION}
        while True:
            path = f"{_PREFIX}newest?{urllib.parse.urlencode(query)}"
            reply = await calls.call(
                self._client, "GET", path, timeout_s=timeout_s
            )
            _count_call("newest", reply)
            if reply.is_err():
                return result.Err(reply.err_value)
            if reply.ok_value.status_code == 404:
                return result.Ok(interfaces.Page((), 0, 0))
            if reply.ok_value.status_code != 200:
                return _make_refused_error(reply.ok_value)
            decoded = _decode_page(topic, reply.ok_value.content)
            if decoded.is_err():
                return _make_lost_error(decoded.err_value)
            page = decoded.ok_value
            if end_offset < 0:
                end_offset = page.end_offset
            records.extend(_decode_items(topic, page.items))
            if not page.has_more:
                return result.Ok(
                    interfaces.Page(tuple(records), end_offset, end_offset)
                )
            last_key = _find_last_key(page.items)
            if last_key in ("", query.get("DependsOn")):
                return _make_lost_error("no key from which the list goes on")
            # DependsOn is the platform's name for the key after which the next
            # page starts.
            query["DependsOn"] = last_key


def _decode_page(topic: str, content: bytes) -> result.Result[_NewestPage, str]:
    """Decodes a page; other writers' items that cannot be read are skipped."""
    decoded = decoding.decode(_PAGE_DECODER, content)
    if decoded.is_ok():
        return decoded
    try:
        # Unlike msgspec, this decodes lone surrogates, with which a key that is
        # not UTF-8 may be written.
        document = json.loads(content.decode("utf-8", "replace"))
        page = msgspec.convert(document, _AnyPage)
    except (ValueError, RecursionError):
        return decoded
    items = []
    for item in page.items:
        try:
            items.append(_convert_item(item))
        except msgspec.ValidationError as error:
            _report_undecodable(topic, "", str(error))
    if page.items and not items:
        return decoded
    return result.Ok(_NewestPage(items, page.has_more, page.end_offset))


def _convert_item(item: Any) -> _Item:
    converted = msgspec.convert(item, _Item)
    converted.key = _SURROGATE.sub("\ufffd", converted.key)
    return converted


def _find_last_key(items: list[_Item]) -> str:
    """Returns the last key that the platform knows by its text, or ""."""
    return next(
        (item.key for item in reversed(items) if "\ufffd" not in item.key), ""
    )


def _decode_items(
    topic: str, items: list[_Item]
) -> list[tuple[int, str, bytes | None]]:
    records = []
    for item in items:
        try:
            value = base64.b64decode(item.value) if item.value else None
        except ValueError as error:
            _report_undecodable(topic, item.key, str(error))
            continue
        records.append((item.offset, item.key, value))
    return records


def _report_undecodable(topic: str, key: str, reason: str) -> None:
    events.log_event(
        events.RECORD_UNDECODABLE, stream=topic, key=key, error=reason
    )


def _decode_append(
    reply: http_client.Reply,
) -> result.Result[interfaces.Appended, outcomes.CallError]:
    if reply.status_code not in (200, 409, 412):
        return _make_refused_error(reply)
    decoded = decoding.decode(_APPEND_DECODER, reply.content)
    if decoded.is_err():
        return _make_lost_error(decoded.err_value)
    answer = decoded.ok_value
    # Numbers that are 0 may be left out.
    end_offset = max(0, answer.end_offset)
    if reply.status_code == 200:
        return result.Ok(interfaces.Appended(max(0, answer.offset), end_offset))
    if reply.status_code == 412:
        return result.Ok(interfaces.Appended(-1, end_offset))
    if reply.status_code == 409 and answer.reason == "fenced":
        return result.Ok(interfaces.Appended(-1, -1, fenced=True))
    if reply.status_code == 409 and answer.reason == "seq":
        expected = max(0, answer.sequence)
        return result.Ok(interfaces.Appended(-1, -1, next_sequence=expected))
    return _make_lost_error(f"status {reply.status_code}: {reply.text[:200]}")


def _make_refused_error(reply: http_client.Reply) -> result.Result:
    detail = f"status {reply.status_code}: {reply.text[:200]}"
    return result.Err(outcomes.CallError(outcomes.CallFailure.REFUSED, detail))


def _make_lost_error(detail: str) -> result.Result:
    return result.Err(outcomes.CallError(outcomes.CallFailure.LOST, detail))


def _count_call(name: str, reply: result.Result) -> None:
    outcome = "answered"
    if reply.is_err():
        outcome = reply.err_value.failure.value
    metrics.STORE_CALLS.labels(name, outcome).inc()
