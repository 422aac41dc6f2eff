"""The platform's log in memory, with the answers of its pages."""

import asyncio
import dataclasses

import result

from plantainvane import outcomes
from plantainvane.jobs import interfaces
from standins import explore_world as world_module

# Repeats of that many last appends get their first answer again.
_KEPT_ANSWERS = 5
_APPEND_S = 0.004
_MAX_PAGE = 1000


@dataclasses.dataclass(slots=True)
class _Producer:
    """Highest epoch, last sequence number and last answers of a producer."""

    epoch: int = -1
    sequence: int = -1
    answers: dict[int, interfaces.Appended] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Topic:
    """Records by offset; each append sets and replaces `appended`."""

    records: list[tuple[str, bytes | None]] = dataclasses.field(
        default_factory=list
    )
    newest: dict[str, int] = dataclasses.field(default_factory=dict)
    producers: dict[str, _Producer] = dataclasses.field(default_factory=dict)
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True, eq=False)
class Log:
    """All topics; `is_down` refuses calls, `append_s` is the time of one."""

    world: world_module.World
    topics: dict[str, _Topic] = dataclasses.field(default_factory=dict)
    is_down: bool = False
    append_s: float = _APPEND_S

    def find_topic(self, name: str) -> _Topic:
        """Returns a topic; creates it on first use."""
        return self.topics.setdefault(name, _Topic())

    def put(self, name: str, records: list[tuple[str, bytes | None]]) -> int:
        """Appends records and returns the offset of the first."""
        topic = self.find_topic(name)
        offset = len(topic.records)
        for key, value in records:
            topic.newest.pop(key, None)
            if value:
                topic.newest[key] = len(topic.records)
            topic.records.append((key, value))
        if records:
            topic.appended.set()
            topic.appended = asyncio.Event()
        return offset

    def list_newest(self, name: str) -> interfaces.Page:
        """Returns the newest record of each key, by key."""
        topic = self.find_topic(name)
        records = tuple(
            (offset, key, topic.records[offset][1])
            for key, offset in sorted(topic.newest.items())
        )
        end = len(topic.records)
        return interfaces.Page(records, end, end)

    def append(
        self,
        name: str,
        records: list[tuple[str, bytes | None]],
        producer: interfaces.Producer | None,
        expected_end: int | None,
    ) -> interfaces.Appended:
        """Appends under conditions, as the pages tell."""
        topic = self.find_topic(name)
        end = len(topic.records)
        if expected_end is not None and expected_end != end:
            return interfaces.Appended(-1, end)
        answer = interfaces.Appended(end, end + len(records))
        if producer is not None:
            refusal = _check_producer(topic, producer, answer, bool(records))
            if refusal is not None:
                return refusal
        self.put(name, records)
        return answer


def _check_producer(
    topic: _Topic,
    producer: interfaces.Producer,
    answer: interfaces.Appended,
    has_records: bool,
) -> interfaces.Appended | None:
    known = topic.producers.setdefault(producer.name, _Producer())
    if producer.epoch < known.epoch:
        return interfaces.Appended(-1, -1, fenced=True)
    if producer.epoch > known.epoch:
        known.epoch, known.sequence = producer.epoch, producer.sequence - 1
        known.answers.clear()
    if not has_records:
        return None
    if producer.sequence in known.answers:
        return known.answers[producer.sequence]
    if producer.sequence != known.sequence + 1:
        return interfaces.Appended(-1, -1, next_sequence=known.sequence + 1)
    known.sequence = producer.sequence
    known.answers[producer.sequence] = answer
    for old in list(known.answers)[:-_KEPT_ANSWERS]:
        del known.answers[old]
    return None


def _make_error(failure: outcomes.CallFailure, detail: str) -> result.Result:
    return result.Err(outcomes.CallError(failure, detail))


@dataclasses.dataclass(slots=True, eq=False)
class Store:
    """Client of the log on one machine; implements `interfaces.Store`."""

    log: Log
    machine: str

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        timeout_s: float,
        producer: interfaces.Producer | None = None,
        expected_end: int | None = None,
    ) -> result.Result[interfaces.Appended, outcomes.CallError]:
        """Appends `records` atomically."""
        copied = list(records)

        async def carry_out() -> interfaces.Appended:
            if self.log.is_down:
                raise world_module.UnreachedError("status 503")
            await asyncio.sleep(self.log.append_s)
            return self.log.append(topic, copied, producer, expected_end)

        return await self._call(f"append {topic}", carry_out, timeout_s)

    async def read(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads from `offset`; waits up to `wait_s` for the first record."""
        found = self.log.find_topic(topic)

        async def carry_out() -> interfaces.Page:
            if self.log.is_down:
                raise world_module.UnreachedError("status 503")
            if len(found.records) <= offset and wait_s > 0:
                try:
                    async with asyncio.timeout(wait_s):
                        while len(found.records) <= offset:
                            await found.appended.wait()
                except TimeoutError:
                    pass
            page = found.records[offset : offset + _MAX_PAGE]
            records = tuple(
                (offset + index, key, value)
                for index, (key, value) in enumerate(page)
            )
            return interfaces.Page(
                records, offset + len(records), len(found.records)
            )

        return await self._call(
            f"read {topic}", carry_out, timeout_s + wait_s, False
        )

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads the newest record of each key."""

        async def carry_out() -> interfaces.Page:
            if self.log.is_down:
                raise world_module.UnreachedError("status 503")
            return self.log.list_newest(topic)

        return await self._call(f"newest {topic}", carry_out, timeout_s, False)

    async def _call(
        self, what: str, carry_out, timeout_s: float, may_be_late: bool = True
    ) -> result.Result:
        try:
            reply = await self.log.world.call(
                self.machine,
                world_module.STORE,
                f"{self.machine} {what}",
                carry_out,
                timeout_s,
                may_be_late,
            )
        except world_module.LostError as error:
            return _make_error(outcomes.CallFailure.LOST, str(error))
        except world_module.UnreachedError as error:
            return _make_error(outcomes.CallFailure.REFUSED, str(error))
        return result.Ok(reply)
