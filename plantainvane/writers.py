"""Group commit of records to one stream of the platform's log.

A writer has at most one append in flight, so its sequence numbers reach the
stream in order. It sends nothing until its `run` task is running.
"""

import collections
import dataclasses
import random
from typing import Any

import anyio
import msgspec
import result

from plantainvane import events
from plantainvane import http_client
from plantainvane import log
from plantainvane import outcomes
from plantainvane import records
from plantainvane import settings as settings_module

_ENCODER = msgspec.json.Encoder()

# Higher than any real offset; a read from it returns no records, only the
# offset of the end of the stream.
_END_OFFSET = 2**62


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identifies one run of an entry process.

    Attributes:
      id: Id of the process, from its settings.
      incarnation: Start time in milliseconds since the Unix epoch.
    """

    id: str
    incarnation: int


class _Header(msgspec.Struct, frozen=True):
    """Fields common to all kinds of records."""

    writer: str
    incarnation: int
    sequence: int


_HEADER_DECODER = msgspec.json.Decoder(_Header)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    """A record that has not been assigned an offset yet."""

    sequence: int
    encoded: bytes
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    outcome: result.Result[int, outcomes.CallError] | None = None

    def finish(self, outcome: result.Result[int, outcomes.CallError]) -> None:
        self.outcome = outcome
        self.done.set()


class Writer:
    """Appends the records of one process to one stream in batches."""

    def __init__(
        self,
        settings: settings_module.Settings,
        client: http_client.Client,
        identity: Identity,
        stream: str,
    ):
        self.settings = settings
        self.client = client
        self.identity = identity
        self.stream = stream
        self.linger_s = settings.log.linger_s
        self._sequence = 0
        self._queue: collections.deque[_PendingRecord] = collections.deque()
        self._batch: list[_PendingRecord] = []
        self._arrived = anyio.Event()
        self._stopped = False
        # Lower bound of the offset of the next append, and when it was learned.
        self._known_next_offset = 0
        self._known_at = float("-inf")
        self._sent_at = float("-inf")
        # Batches refused since the last successful append.
        self._refused_batches = 0
        self._append_calls = 0
        self._appended_records = 0

    async def append(
        self, kind: type[records.Record], **fields: Any
    ) -> result.Result[int, outcomes.CallError]:
        """Appends a record of `kind` with `fields`.

        If the calling task is cancelled before the record was sent, the record
        is removed from the queue.

        Returns:
          Ok with the offset. Err LOST if it could not be determined within
          `log.append_limit_s` whether the record was appended; it may still
          appear later. After any other error it never appears.
        """
        if self._stopped:
            return _fail(
                outcomes.CallFailure.UNREACHED, "the writer has stopped"
            )
        self._sequence += 1
        record = kind(
            writer=self.identity.id,
            incarnation=self.identity.incarnation,
            sequence=self._sequence,
            **fields,
        )
        pending = _PendingRecord(self._sequence, _ENCODER.encode(record))
        self._queue.append(pending)
        self._arrived.set()
        try:
            await pending.done.wait()
        finally:
            if pending.outcome is None and pending in self._queue:
                self._queue.remove(pending)
        return pending.outcome

    def is_own_record(self, record: records.Record) -> bool:
        """Returns whether `record` was written by this run of the process."""
        return (record.writer, record.incarnation) == (
            self.identity.id,
            self.identity.incarnation,
        )

    async def run(self) -> None:
        """Sends queued records until cancelled."""
        try:
            while True:
                await self._arrived.wait()
                await self._linger()
                self._take_batch(self.settings.log.batch_records)
                if self._batch:
                    await self._send_batch()
        finally:
            self._stop()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the queue and the append in flight; sizes in records."""
        return {
            "stream": self.stream,
            "queued": len(self._queue),
            "in_flight": len(self._batch),
            "in_flight_s": round(now - self._sent_at, 3) if self._batch else 0,
            "linger_s": self.linger_s,
            "appends": self._append_calls,
            "appended_records": self._appended_records,
            "last_sequence": self._sequence,
        }

    async def _linger(self) -> None:
        """Waits until `linger_s` after the last append was sent.

        An idle writer thus sends a record immediately, while the appends of a
        busy writer are `linger_s` apart. A full batch does not wait.
        """
        due = self._sent_at + self.linger_s
        if len(self._queue) < self.settings.log.batch_records:
            await anyio.sleep(max(0.0, due - anyio.current_time()))

    def _take_batch(self, limit: int) -> None:
        size = min(len(self._queue), limit)
        self._batch = [self._queue.popleft() for _ in range(size)]
        if not self._queue:
            self._arrived = anyio.Event()

    async def _send_batch(self) -> None:
        outcome = await self._commit_batch()
        batch, self._batch = self._batch, []
        for index, pending in enumerate(batch):
            pending.finish(
                outcome.map(lambda first, index=index: first + index)
            )
        self._log_outage(outcome)
        if outcome.is_ok():
            self._appended_records += len(batch)
            after = outcome.ok_value + len(batch)
            self._update_next_offset(max(self._known_next_offset, after))
            self.linger_s = max(self.settings.log.linger_s, self.linger_s / 2)

    async def _commit_batch(self) -> result.Result[int, outcomes.CallError]:
        """Appends the batch, with retries; Ok with its first offset."""
        give_up_at = anyio.current_time() + self.settings.log.append_limit_s
        known = await self._refresh_next_offset()
        if known.is_err():
            return known
        while True:
            reply = await self._append_batch()
            if reply.is_ok():
                return reply
            failure = reply.err_value.failure
            if failure == outcomes.CallFailure.LOST:
                return await self._resolve_batch(give_up_at)
            if failure != outcomes.CallFailure.LIMITED:
                return reply
            if anyio.current_time() + self.linger_s > give_up_at:
                return reply
            await self._back_off()

    async def _append_batch(self) -> result.Result[int, outcomes.CallError]:
        self._sent_at = anyio.current_time()
        self._append_calls += 1
        return await log.append_records(
            self.client,
            self.stream,
            [pending.encoded for pending in self._batch],
        )

    async def _resolve_batch(
        self, give_up_at: float
    ) -> result.Result[int, outcomes.CallError]:
        """Determines by reading whether an append with a lost reply succeeded.

        The reply to a retried append is ignored: the first copy may have been
        appended late, and only the copy with the lowest offset is valid.
        """
        events.log_event(events.APPEND_REPLY_LOST, stream=self.stream)
        settle_s = self.settings.log.append_settle_s
        scan_from = self._known_next_offset
        failures = 0
        while anyio.current_time() < give_up_at:
            settled_at = self._sent_at + settle_s
            # The long poll returns as soon as a late copy is appended.
            wait_s = max(0.0, settled_at - anyio.current_time())
            reply = await log.read_records(
                self.client, self.stream, scan_from, wait_s
            )
            if reply.is_err():
                failures += 1
                await anyio.sleep(compute_backoff(self.settings.log, failures))
                continue
            page = reply.ok_value
            if page.earliest > scan_from:
                break
            offset = self._find_offset(page)
            if offset is not None:
                events.log_event(events.APPEND_RESOLVED, stream=self.stream)
                return result.Ok(offset)
            if page.records:
                scan_from = page.records[-1].offset + 1
            at_end = scan_from >= page.next
            if at_end and anyio.current_time() >= settled_at:
                await self._append_batch()
        error = outcomes.CallError(
            outcomes.CallFailure.LOST,
            "it is unknown whether the append took effect",
        )
        self._log_error(events.APPEND_UNRESOLVED, error)
        return result.Err(error)

    def _find_offset(self, page: log.Page) -> int | None:
        """Returns the offset of the batch's first record in `page`."""
        first = self._batch[0].sequence
        for entry in page.records:
            try:
                header = _HEADER_DECODER.decode(entry.record)
            except msgspec.MsgspecError:
                continue
            if self.is_own_record(header) and header.sequence == first:
                return entry.offset
        return None

    async def _refresh_next_offset(
        self,
    ) -> result.Result[None, outcomes.CallError]:
        """Updates `_known_next_offset` if it is too old to read from.

        Records at an offset learned more than `log.snapshot_age_s` ago may no
        longer be retained.
        """
        age_s = anyio.current_time() - self._known_at
        if age_s <= self.settings.log.snapshot_age_s:
            return result.Ok(None)
        reply = await log.read_records(self.client, self.stream, _END_OFFSET)
        if reply.is_err():
            # No append was sent, so a lost reply to this read is no ambiguity.
            failure = reply.err_value.failure
            if failure == outcomes.CallFailure.LOST:
                failure = outcomes.CallFailure.UNREACHED
            return _fail(failure, reply.err_value.detail)
        self._update_next_offset(reply.ok_value.next)
        return result.Ok(None)

    def _update_next_offset(self, next_offset: int) -> None:
        self._known_next_offset = next_offset
        self._known_at = anyio.current_time()

    async def _back_off(self) -> None:
        """Waits with exponential backoff, then fills up the batch."""
        limit_s = self.settings.log.linger_max_s
        if self.linger_s == self.settings.log.linger_s:
            events.log_event(events.APPEND_LIMITED, stream=self.stream)
        self.linger_s = min(limit_s, self.linger_s * 2)
        await anyio.sleep(_add_jitter(self.linger_s))
        batch = self._batch
        self._take_batch(self.settings.log.batch_records - len(batch))
        self._batch = batch + self._batch

    def _log_error(
        self, event: events.Event, error: outcomes.CallError
    ) -> None:
        events.log_event(
            event,
            stream=self.stream,
            failure=error.failure.value,
            detail=error.detail,
        )

    def _log_outage(
        self, outcome: result.Result[int, outcomes.CallError]
    ) -> None:
        """Logs the start and the end of an outage, but not every refusal."""
        if outcome.is_ok():
            if self._refused_batches:
                events.log_event(
                    events.APPEND_RECOVERED,
                    stream=self.stream,
                    refused=self._refused_batches,
                )
            self._refused_batches = 0
        elif outcome.err_value.failure != outcomes.CallFailure.LOST:
            if not self._refused_batches:
                self._log_error(events.APPEND_REFUSED, outcome.err_value)
            self._refused_batches += 1

    def _stop(self) -> None:
        """Fails all waiting appends; a batch in flight may still succeed."""
        self._stopped = True
        detail = "the writer has stopped"
        for pending in self._batch:
            pending.finish(_fail(outcomes.CallFailure.LOST, detail))
        for pending in self._queue:
            pending.finish(_fail(outcomes.CallFailure.UNREACHED, detail))
        self._queue.clear()


def compute_backoff(settings: settings_module.Log, failures: int) -> float:
    """Returns the seconds to wait after `failures` consecutive failed calls.

    The delay doubles from `linger_s` up to `linger_max_s` and is jittered.
    """
    # With any sensible settings, the delay is at its maximum by 2**10.
    factor = 2 ** min(failures, 10)
    return _add_jitter(min(settings.linger_max_s, settings.linger_s * factor))


def _add_jitter(delay_s: float) -> float:
    """Scales a delay by a random factor between 0.5 and 1.5.

    Otherwise, processes that were refused together would retry together.
    """
    return delay_s * random.uniform(0.5, 1.5)


def _fail(
    failure: outcomes.CallFailure, detail: str
) -> result.Err[outcomes.CallError]:
    return result.Err(outcomes.CallError(failure, detail))
