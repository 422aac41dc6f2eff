"""Group commit to one topic of the log; resolves appends with lost replies."""

from collections.abc import Callable
import dataclasses
import random

import anyio

from plantainvane import events
from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import settings as settings_module

# Weight of a new sample in the moving average of the append latency.
_LATENCY_WEIGHT = 0.2
# An append times out after this multiple of the average latency.
_TIMEOUT_FACTOR = 6
# Keeps an append below the platform's limit of 2 MiB.
_MAX_APPEND_BYTES = 1_000_000
# Length that precedes each record of an append.
_LENGTH_BYTES = 4

Record = tuple[str, bytes | None]


@dataclasses.dataclass(slots=True)
class Health:
    """Health of this process's connection to the log.

    Attributes:
      answered_at: When a call was last answered.
      failing_since: Start of the current outage, or None.
      regained_at: End of the last outage.
      regained: Set at the end of the present or the next outage.
      latency_s: Moving average of the append latency.
    """

    answered_at: float = float("-inf")
    failing_since: float | None = None
    regained_at: float = float("-inf")
    regained: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    latency_s: float = 0.02

    def record_success(self, took_s: float, now: float) -> None:
        """Records an answered call that took `took_s` seconds."""
        if self.failing_since is not None:
            self.regained_at = now
            self.regained.set()
            self.regained = anyio.Event()
            events.log_event(
                events.STORE_REGAINED, lost_s=round(now - self.failing_since, 3)
            )
        self.answered_at, self.failing_since = now, None
        self.latency_s += _LATENCY_WEIGHT * (took_s - self.latency_s)

    def record_failure(self, detail: str, now: float) -> None:
        """Records a call without a usable answer."""
        if self.failing_since is None:
            self.failing_since = now
            events.log_event(events.STORE_LOST, detail=detail)

    def choose_timeout(self, settings: settings_module.Settings) -> float:
        """Returns the time-out in seconds; it grows with the latency."""
        return min(
            settings.store_timeout_max_s,
            max(settings.store_timeout_s, _TIMEOUT_FACTOR * self.latency_s),
        )


@dataclasses.dataclass(slots=True)
class Batch:
    """Records to append together.

    Attributes:
      stored: Set when all records are stored.
      sent: The records may have reached the log.
      begun: Some of the records are stored.
    """

    records: list[Record] = dataclasses.field(default_factory=list)
    stored: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    sent: bool = False
    begun: bool = False


@dataclasses.dataclass(slots=True)
class Journal:
    """Writes records to one topic as one producer.

    Attributes:
      collect: Called right before an append; returns more records for it.
      on_stored: Called when a batch with records is stored.
      sequence: Sequence number of the next append.
      fenced: A producer with a higher epoch took over.
      stalled_since: When the current append first failed, or None.
    """

    settings: settings_module.Settings
    store: interfaces.Store
    health: Health
    topic: str
    producer: str
    epoch: int
    collect: Callable[[], list[Record]] | None = None
    on_stored: Callable[[], None] | None = None
    sequence: int = 0
    fenced: bool = False
    stalled_since: float | None = None
    _stored_end: int = 0
    _open: Batch = dataclasses.field(default_factory=Batch)
    _wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def add(self, records: list[Record]) -> Batch:
        """Adds records to the next batch and returns that batch."""
        self._open.records.extend(records)
        self._wake.set()
        return self._open

    def withdraw(self, batch: Batch, record: Record) -> bool:
        """Removes a record unless it was sent; returns whether it did."""
        if batch.sent:
            return False
        batch.records.remove(record)
        return True

    async def flush(self) -> None:
        """Waits until all records added or collectable by now are stored."""
        await self.add([]).stored.wait()

    async def run(self) -> None:
        """Appends batches until cancelled or fenced."""
        while not self.fenced:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch, self._open = self._open, Batch()
            if self.collect is not None:
                batch.records.extend(self.collect())
            written = False
            for part in _split_records(batch.records):
                written |= await self._append(part, batch)
                if self.fenced:
                    return
            if self.on_stored is not None and written:
                self.on_stored()
            batch.stored.set()

    async def open_epoch(self) -> bool:
        """Fences lower epochs; returns whether this epoch is the highest."""
        await self._append([], Batch())
        return not self.fenced

    async def _append(self, records: list[Record], batch: Batch) -> bool:
        """Retries an append until the log says that it is carried out.

        Records of `batch` may be withdrawn as long as none can have reached
        the log. Returns whether anything was written.
        """
        has_records = bool(records)
        maybe_written = batch.begun
        adopted = False
        while True:
            batch.sent = True
            started = clock.read_now()
            appended = await self.store.append(
                self.topic,
                records,
                self.health.choose_timeout(self.settings),
                interfaces.Producer(self.producer, self.epoch, self.sequence),
            )
            now = clock.read_now()
            if appended.is_ok():
                self.health.record_success(now - started, now)
                answer = appended.ok_value
                if self._apply_answer(answer, len(records)):
                    batch.begun |= has_records
                    return has_records
                maybe_written = True
                if answer.next_sequence >= 0 and not adopted:
                    adopted = True
                    continue
            else:
                failure = appended.err_value
                maybe_written |= failure.failure is outcomes.CallFailure.LOST
                self.health.record_failure(failure.detail, now)
            if self.stalled_since is None:
                self.stalled_since = now
            batch.sent = maybe_written
            # Jitter keeps writers from retrying in step after an outage.
            await anyio.sleep(
                self.settings.store_retry_s * (0.5 + random.random())
            )
            if not maybe_written:
                records = [r for r in records if r in batch.records]
                if has_records and not records:
                    self.stalled_since = None
                    return False

    def _apply_answer(self, answer: interfaces.Appended, count: int) -> bool:
        """Applies the log's answer; returns whether the append is complete.

        Any other answer than that `count` records were appended, also that the
        log expects the next sequence number, makes the records be sent again.
        That is harmless, as they are the newest of their keys by then.
        """
        if answer.fenced:
            self.fenced = True
            return True
        if self._confirms(answer, count):
            self.stalled_since = None
            self.sequence += count > 0
            self._stored_end = max(self._stored_end, answer.offset + count)
            return True
        if self.stalled_since is None:
            self._report_unconfirmed(answer, count)
        if answer.next_sequence >= 0:
            self.sequence = answer.next_sequence
            # A sequence is compared only within the epoch that is open.
            return count == 0
        # The number is taken by another append, whose answer this is.
        self.sequence += answer.offset >= 0
        return False

    def _report_unconfirmed(
        self, answer: interfaces.Appended, count: int
    ) -> None:
        events.log_event(
            events.APPEND_UNCONFIRMED,
            stream=self.topic,
            epoch=self.epoch,
            sequence=self.sequence,
            records=count,
            offset=answer.offset,
            end_offset=answer.end_offset,
            next_sequence=answer.next_sequence,
        )

    def _confirms(self, answer: interfaces.Appended, count: int) -> bool:
        """Returns whether an answer says that `count` records were appended."""
        if answer.offset < 0 or not count:
            return answer.offset >= 0
        appended = answer.end_offset - answer.offset
        return appended >= count and answer.offset >= self._stored_end


def measure_record(record: Record) -> int:
    """Returns the bytes that the log counts for a record."""
    key, value = record
    return 1 + len(key.encode()) + len(value or b"")


def _split_records(records: list[Record]) -> list[list[Record]]:
    parts: list[list[Record]] = []
    size = _MAX_APPEND_BYTES
    for record in records:
        length = _LENGTH_BYTES + measure_record(record)
        if size + length > _MAX_APPEND_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(record)
        size += length
    return parts
