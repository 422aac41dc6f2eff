"""In-memory stand-in for the platform's partitioned log."""

import base64
from collections.abc import Callable
import dataclasses
import json
import struct
from typing import Any

import anyio

from plantainvane import asgi

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_KEPT_ANSWERS = 5
_PREFIX = "/plantainvane/log-"


@dataclasses.dataclass(slots=True)
class Producer:
    """State of a producer.

    Attributes:
      epoch: Highest epoch seen.
      sequence: Sequence number of its last append in that epoch.
      answers: Replies to its last appends, by sequence number.
    """

    epoch: int = -1
    sequence: int = -1
    answers: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Topic:
    """Records of partition 0; each append sets and replaces `appended`."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    producers: dict[str, Producer] = dataclasses.field(default_factory=dict)
    appended: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@dataclasses.dataclass(slots=True)
class StoreState:
    """Topics and injected faults.

    Attributes:
      down: Every call is answered with status 503.
      append_delay_s: Time that an append takes.
      read_delay_s: Time that a read takes.
      lose_answers: Number of coming appends that are stored but not answered.
      late_appends: Delays in seconds of the coming appends, by topic; such an
        append is not answered, and carried out later if it still can be.
      odd_answers: Status and document of the answers to the coming appends that
        have records, which are not carried out.
      counts_empty: An empty append takes its sequence number.
      page_items: Most records in a page of the newest records.
      page_delays_s: Time that each such page takes, by topic.
      on_page: Called with the topic before each such page is made.
      max_record_bytes: An append with a larger record is refused.
      broken_values: Base64 of the values in a list of newest records that
        replace the sound ones, by key.
      calls: Number of calls by name.
    """

    topics: dict[str, Topic] = dataclasses.field(default_factory=dict)
    down: bool = False
    append_delay_s: float = 0.0
    read_delay_s: float = 0.0
    lose_answers: int = 0
    late_appends: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    odd_answers: list[tuple[int, dict[str, Any]]] = dataclasses.field(
        default_factory=list
    )
    counts_empty: bool = False
    page_items: int = 500
    page_delays_s: dict[str, float] = dataclasses.field(default_factory=dict)
    on_page: Callable[[str], None] = lambda topic: None
    max_record_bytes: int = 262_144
    broken_values: dict[str, str] = dataclasses.field(default_factory=dict)
    calls: dict[str, int] = dataclasses.field(default_factory=dict)

    def find_topic(self, name: str) -> Topic:
        """Returns a topic; creates it on first use."""
        return self.topics.setdefault(name, Topic())

    def forget_sequences(self) -> None:
        """Forgets the sequences of all producers, but not their epochs."""
        for topic in self.topics.values():
            for producer in topic.producers.values():
                producer.sequence = -1
                producer.answers.clear()

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Writes one record, as the operator or a runner does."""
        name = key.encode()
        body = bytes((len(name),)) + name + (value or b"")
        return _append(self.find_topic(topic), [body])

    def put_raw(self, topic: str, body: bytes) -> int:
        """Writes one record, of any bytes, as another writer may."""
        return _append(self.find_topic(topic), [body])

    def compact(self, topic: str) -> None:
        """Deletes all records of a topic but the newest of each key."""
        found = self.find_topic(topic)
        found.first = len(found.records)

    def list_newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and newest value of each key.

        Bytes of a key that are not UTF-8 are lone surrogates.
        """
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, body in enumerate(self.find_topic(topic).records):
            if not body:
                continue
            key = body[1 : 1 + body[0]].decode("utf-8", "surrogateescape")
            value = body[1 + body[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest


def _append(topic: Topic, bodies: list[bytes]) -> int:
    offset = len(topic.records)
    topic.records.extend(bodies)
    topic.appended.set()
    topic.appended = anyio.Event()
    return offset


def make_handler(state: StoreState) -> asgi.Handler:
    """Creates the HTTP handler of the log."""

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        name = request.path.removeprefix(_PREFIX)
        state.calls[name] = state.calls.get(name, 0) + 1
        if state.down:
            return asgi.HttpReply(503)
        if name == "append":
            await anyio.sleep(state.append_delay_s)
            delays_s = state.late_appends.get(request.query["Topic"])
            if delays_s:
                await anyio.sleep(delays_s.pop(0))
                await _handle_append(state, request)
                await anyio.sleep_forever()
            return await _handle_append(state, request)
        if name == "read":
            await anyio.sleep(state.read_delay_s)
            return await _handle_read(state, request)
        if name == "newest":
            topic = request.query["Topic"]
            await anyio.sleep(state.page_delays_s.get(topic, 0.0))
            return _handle_newest(state, request)
        return asgi.HttpReply(404)

    return handle


async def _handle_append(
    state: StoreState, request: asgi.HttpRequest
) -> asgi.HttpReply:
    query = request.query
    topic = state.find_topic(query["Topic"])
    end = len(topic.records)
    if "At" in query and int(query["At"]) != end:
        return asgi.make_json_reply(412, {"EndOffset": end})
    bodies = _split(request.body)
    if any(len(body) > state.max_record_bytes for body in bodies):
        return asgi.HttpReply(400)
    if bodies and state.odd_answers:
        return asgi.make_json_reply(*state.odd_answers.pop(0))
    answer = {"Offset": end, "EndOffset": end + len(bodies)}
    if "Producer" in query:
        counted = bool(bodies) or state.counts_empty
        refusal = _check_producer(topic, query, answer, counted)
        if refusal is not None:
            return refusal
    _append(topic, bodies)
    if state.lose_answers > 0:
        state.lose_answers -= 1
        await anyio.sleep_forever()
    return asgi.make_json_reply(200, answer)


def _check_producer(
    topic: Topic,
    query: dict[str, str],
    answer: dict[str, int],
    counted: bool,
) -> asgi.HttpReply | None:
    producer = topic.producers.setdefault(query["Producer"], Producer())
    epoch, sequence = int(query["epoch"]), int(query["Sequence"])
    if epoch < producer.epoch:
        return asgi.make_json_reply(409, {"Reason": "fenced"})
    if epoch > producer.epoch:
        producer.epoch, producer.sequence = epoch, sequence - 1
        producer.answers.clear()
    if not counted:
        return None
    if sequence in producer.answers:
        return asgi.make_json_reply(200, producer.answers[sequence])
    if sequence != producer.sequence + 1:
        wanted: dict[str, Any] = {
            "Reason": "seq",
            "Sequence": producer.sequence + 1,
        }
        return asgi.make_json_reply(409, wanted)
    producer.sequence = sequence
    producer.answers[sequence] = answer
    for old in list(producer.answers)[:-_KEPT_ANSWERS]:
        del producer.answers[old]
    return None


def _split(body: bytes) -> list[bytes]:
    bodies, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        bodies.append(body[position : position + length])
        position += length
    return bodies


async def _handle_read(
    state: StoreState, request: asgi.HttpRequest
) -> asgi.HttpReply:
    topic = state.find_topic(request.query["Topic"])
    offset = int(request.query["From"])
    if offset < topic.first:
        return asgi.make_json_reply(410, {"FirstOffset": topic.first})
    with anyio.move_on_after(int(request.query.get("WaitMs", 0)) / 1000):
        while len(topic.records) <= offset:
            await topic.appended.wait()
    content = _OFFSETS.pack(len(topic.records), topic.first)
    limit = 1024 * int(request.query.get("MaxSize", 1024))
    for number, body in enumerate(topic.records[offset:]):
        if number and len(content) + _LENGTH.size + len(body) > limit:
            break
        content += _LENGTH.pack(len(body)) + body
    return asgi.HttpReply(200, content, "application/octet-stream")


def _handle_newest(
    state: StoreState, request: asgi.HttpRequest
) -> asgi.HttpReply:
    name = request.query["Topic"]
    state.on_page(name)
    after = request.query.get("DependsOn", "")
    newest = state.list_newest(name)
    keys = sorted(key for key in newest if key > after)
    items = [
        {
            "Key": key,
            "Value": state.broken_values.get(
                key, base64.b64encode(value).decode()
            ),
            "Offset": offset,
        }
        for key in keys[: state.page_items]
        for offset, value in [newest[key]]
    ]
    document = {
        "items": items,
        "HasMore": len(keys) > state.page_items,
        "EndOffset": len(state.find_topic(name).records),
    }
    # Unlike msgspec, this encodes lone surrogates, as escapes.
    return asgi.HttpReply(200, json.dumps(document).encode())
