"""Idempotency keys: a non-idempotent request runs at most once.

The first claim of a key in offset order holds it. A finish counts only if it
comes from the holder and names the offset of the claim that holds the key, so a
late finish cannot free a key that was claimed again. A process runs a request
only after it has read its own winning claim from the stream; what it has not
read counts against running the request.
"""

import collections
import dataclasses
import enum
import time
from typing import Any

import anyio

from plantainvane import events
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import writers

PRUNE_INTERVAL_S = 5.0
FINISH_RETRY_INTERVAL_S = 0.5
# Finish records that are appended concurrently; they share group commits.
MAX_CONCURRENT_FINISHES = 100


class Progress(enum.StrEnum):
    """Progress of a key according to the stream."""

    FREE = "free"
    HELD = "held"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a claim: whether this process may dispatch the request.

    Attributes:
      won: The key is held for this request.
      answer: What the caller gets if it is not held: not run, duplicate, or the
        recorded answer of the first request.
    """

    won: bool
    answer: outcomes.Answer | None = None


@dataclasses.dataclass(slots=True)
class _Key:
    """State of one key according to the stream.

    `seen_claims` holds the (writer, incarnation, sequence) of its claims; a
    repeated record of one of them has no effect.
    """

    issued: float
    seen_claims: set[tuple[str, int, int]] = dataclasses.field(
        default_factory=set
    )
    progress: Progress = Progress.FREE
    holder: tuple[str, int] = ("", 0)
    claim_offset: int = -1
    finish: records.KeyFinish | None = None


@dataclasses.dataclass(slots=True)
class _Claim:
    """A claim of this process whose request has not finished.

    `offset` is known once the append has returned; `applied` is set once the
    stream has been applied through that offset.
    """

    issued: float
    offset: int | None = None
    applied: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@dataclasses.dataclass(slots=True)
class _Finish:
    """A finish not yet read back; `appended` tells whether the log has it."""

    claim_offset: int
    issued: float
    answer: outcomes.Answer
    appended: bool = False


class KeyTable:
    """State of all keys, folded from the key stream, and own open claims."""

    def __init__(
        self,
        settings: settings_module.Settings,
        identity: writers.Identity,
        writer: writers.Writer,
    ):
        self._settings = settings
        self._own_identity = (identity.id, identity.incarnation)
        self._writer = writer
        self._keys: dict[str, _Key] = {}
        self._claims: dict[str, _Claim] = {}
        self._finishes: dict[str, _Finish] = {}
        self._applied_offset = -1
        # Seconds since the Unix epoch; keys issued before it may be forgotten.
        self._forgotten_before = float("-inf")
        self._finishes_due = anyio.Event()

    def apply_records(
        self, entries: list[tuple[int, records.KeyRecord]], now: float
    ) -> None:
        """Applies records of the key stream; `entries` are (offset, record)."""
        del now
        for offset, record in entries:
            if isinstance(record, records.KeyClaim):
                self._apply_claim(offset, record)
            elif isinstance(record, records.KeyFinish):
                self._apply_finish(record)
            self._applied_offset = offset
        for claim in self._claims.values():
            if (
                claim.offset is not None
                and claim.offset <= self._applied_offset
            ):
                claim.applied.set()
        for _, record in entries:
            self._release_orphan(record.key)

    async def claim_key(
        self, key: str, issued: float, wall_now: float
    ) -> ClaimResult:
        """Claims a key for a request that is about to be dispatched.

        Args:
          key: The caller's idempotency key.
          issued: When the caller issued it, in seconds since the Unix epoch.
          wall_now: Current time in seconds since the Unix epoch.

        Returns:
          A won result only if the stream shows that this claim holds the key.
          Otherwise, or after `claim_timeout_s`, the request must not run; if
          the claim shows up in the stream later, the key is freed then.
        """
        answer = self._find_refusal(key, issued, wall_now)
        if answer is None:
            answer = await self._append_claim(key, issued)
        outcome = "won" if answer is None else answer.outcome.value
        metrics.KEY_CLAIMS.labels(outcome).inc()
        return ClaimResult(answer is None, answer)

    async def finish_key(self, key: str, answer: outcomes.Answer) -> None:
        """Records the outcome of the request that holds a key.

        Returns once the record is in the log or one append has failed; `run`
        retries failed appends. The outcome not run frees the key.
        """
        claim = self._claims.get(key)
        if claim is None or claim.offset is None or key in self._finishes:
            return
        self._finishes[key] = _Finish(claim.offset, claim.issued, answer)
        if not await self._append_finish(key):
            self._finishes_due.set()

    async def run(self) -> None:
        """Retries failed appends of finishes and prunes old keys, forever."""
        while True:
            with anyio.move_on_after(PRUNE_INTERVAL_S):
                await self._finishes_due.wait()
            self._finishes_due = anyio.Event()
            self.prune_keys(time.time())
            await self._append_finishes()

    def prune_keys(self, wall_now: float) -> None:
        """Removes keys whose requests would be refused as expired."""
        limit_s = self._settings.keys.window_s + self._settings.keys.skew_s
        oldest_issued = wall_now - limit_s
        self._forgotten_before = max(self._forgotten_before, oldest_issued)
        for key, state in list(self._keys.items()):
            if state.issued < oldest_issued and key not in self._claims:
                del self._keys[key]
        for key, finish in list(self._finishes.items()):
            if finish.issued < oldest_issued:
                del self._finishes[key]
                self._claims.pop(key, None)
        self._update_gauge()

    def count_unrecorded(self) -> int:
        """Returns the number of finishes that the log does not have yet."""
        return sum(not finish.appended for finish in self._finishes.values())

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns only counts, because keys may identify callers."""
        del now
        counts = collections.Counter(
            state.progress.value for state in self._keys.values()
        )
        return {
            "keys": dict(sorted(counts.items())),
            "claims": len(self._claims),
            "unrecorded_finishes": len(self._finishes),
            "applied_offset": self._applied_offset,
        }

    def _apply_claim(self, offset: int, record: records.KeyClaim) -> None:
        state = self._keys.setdefault(record.key, _Key(record.issued))
        record_id = (record.writer, record.incarnation, record.sequence)
        if record_id in state.seen_claims:
            return
        state.seen_claims.add(record_id)
        if state.progress is not Progress.FREE:
            return
        state.progress = Progress.HELD
        state.holder = (record.writer, record.incarnation)
        state.claim_offset = offset
        state.issued = max(state.issued, record.issued)

    def _apply_finish(self, record: records.KeyFinish) -> None:
        state = self._keys.get(record.key)
        if (
            state is None
            or state.progress is not Progress.HELD
            or state.holder != (record.writer, record.incarnation)
            or state.claim_offset != record.claim_offset
        ):
            return
        if state.holder == self._own_identity:
            self._forget_claim(record.key, state.claim_offset)
        if record.outcome == outcomes.RequestOutcome.NOT_RUN:
            state.progress = Progress.FREE
            return
        state.progress = Progress.FINISHED
        state.finish = record

    def _forget_claim(self, key: str, offset: int) -> None:
        claim = self._claims.get(key)
        if claim is not None and claim.offset == offset:
            del self._claims[key]
        finish = self._finishes.get(key)
        if finish is not None and finish.claim_offset == offset:
            del self._finishes[key]

    def _find_refusal(
        self, key: str, issued: float, wall_now: float
    ) -> outcomes.Answer | None:
        """Returns the answer if the request needs no claim, else None."""
        keys = self._settings.keys
        if issued > wall_now + keys.skew_s:
            return _make_not_run(
                "issued_in_future", "Plantainvane-Issued is in the future"
            )
        if issued < max(wall_now - keys.window_s, self._forgotten_before):
            detail = f"the key was issued more than {keys.window_s:.0f} s ago"
            return _make_not_run("key_expired", detail)
        state = self._keys.get(key)
        if state is not None and state.progress is not Progress.FREE:
            return self._answer_repeat(key, state)
        if key in self._claims:
            return _make_duplicate("a request with this key is in progress")
        return None

    async def _append_claim(
        self, key: str, issued: float
    ) -> outcomes.Answer | None:
        """Appends a claim and waits until it is read back; None if it won."""
        claim = self._claims[key] = _Claim(issued)
        answer: outcomes.Answer | None = _make_not_run(
            "log_unavailable", "the claim of the key was not confirmed"
        )
        try:
            with anyio.move_on_after(self._settings.keys.claim_timeout_s):
                appended = await self._writer.append(
                    records.KeyClaim, key=key, issued=issued
                )
                if appended.is_ok():
                    claim.offset = appended.ok_value
                    if claim.offset > self._applied_offset:
                        await claim.applied.wait()
                    answer = self._decide_claim(key, claim)
        finally:
            if answer is not None:
                # If the claim shows up in the stream later, it is an orphan.
                del self._claims[key]
                self._release_orphan(key)
        if answer is not None and answer.reason == "log_unavailable":
            events.log_event(events.KEY_CLAIM_FAILED)
        return answer

    def _decide_claim(self, key: str, claim: _Claim) -> outcomes.Answer | None:
        if self._holds_key(key, claim):
            return None
        state = self._keys.get(key)
        if state is None or state.progress is Progress.FREE:
            return _make_not_run(
                "key_contended", "another request claimed and freed the key"
            )
        return self._answer_repeat(key, state)

    def _holds_key(self, key: str, claim: _Claim) -> bool:
        """Tells whether the stream shows that `claim` holds the key."""
        state = self._keys.get(key)
        return (
            state is not None
            and state.progress is Progress.HELD
            and state.holder == self._own_identity
            and state.claim_offset == claim.offset
        )

    def _answer_repeat(self, key: str, state: _Key) -> outcomes.Answer:
        """Returns the answer to a repeat, from what the first request did."""
        finish = state.finish
        if state.progress is Progress.HELD:
            if state.holder == self._own_identity and key not in self._claims:
                return _make_not_run(
                    "key_unsettled",
                    "an unconfirmed claim of the key is being freed",
                )
            return _make_duplicate(
                "the first request is in progress or its outcome is unknown"
            )
        if finish is not None and finish.answer is not None:
            return outcomes.Answer(
                outcomes.RequestOutcome.ANSWERED,
                finish.answer,
                finish.content_type,
                reason="replayed",
            )
        outcome = finish.outcome if finish is not None else "unknown"
        return _make_duplicate(f"the first request ended as {outcome}")

    def _release_orphan(self, key: str) -> None:
        """Frees a key that is held by an orphaned claim of this process.

        The caller of an orphaned claim was told that its request was not run,
        so a repeat must be able to run.
        """
        state = self._keys.get(key)
        if (
            state is None
            or state.progress is not Progress.HELD
            or state.holder != self._own_identity
            or key in self._finishes
        ):
            return
        claim = self._claims.get(key)
        if claim is not None and claim.offset in (None, state.claim_offset):
            return
        self._finishes[key] = _Finish(
            state.claim_offset,
            state.issued,
            _make_not_run(
                "log_unavailable", "the claim was not confirmed in time"
            ),
        )
        self._finishes_due.set()

    async def _append_finishes(self) -> None:
        waiting = [
            key for key, finish in self._finishes.items() if not finish.appended
        ]
        async with anyio.create_task_group() as group:
            for key in waiting[:MAX_CONCURRENT_FINISHES]:
                group.start_soon(self._append_finish, key)
        if any(not finish.appended for finish in self._finishes.values()):
            await anyio.sleep(FINISH_RETRY_INTERVAL_S)
            self._finishes_due.set()

    async def _append_finish(self, key: str) -> bool:
        """Appends one finish; True if the log has it."""
        finish = self._finishes.get(key)
        if finish is None:
            return True
        answer = finish.answer
        answered = answer.outcome is outcomes.RequestOutcome.ANSWERED
        small = len(answer.body) <= self._settings.keys.answer_bytes
        appended = await self._writer.append(
            records.KeyFinish,
            key=key,
            claim_offset=finish.claim_offset,
            outcome=answer.outcome.value,
            content_type=answer.content_type if answered else "",
            answer=answer.body if answered and small else None,
        )
        finish.appended = appended.is_ok()
        return finish.appended

    def _update_gauge(self) -> None:
        counts = collections.Counter(s.progress for s in self._keys.values())
        for progress in Progress:
            metrics.KEYS.labels(progress.value).set(counts[progress])


def _make_not_run(reason: str, detail: str) -> outcomes.Answer:
    return outcomes.Answer(
        outcomes.RequestOutcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=1.0,
    )


def _make_duplicate(detail: str) -> outcomes.Answer:
    return outcomes.Answer(
        outcomes.RequestOutcome.DUPLICATE, reason="duplicate", detail=detail
    )
