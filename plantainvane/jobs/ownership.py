"""Ownership of the jobs, decided by the newest claim in the log.

A claim is a conditional append: it succeeds only if the topic still ends where
it ended when the claimant read it, so only one of several claimants wins. The
offset of the winning claim is the epoch. It only increases; it fences older
producers at the log and, as the fencing token, older owners at the runners.
"""

import dataclasses

import msgspec

from plantainvane import decoding
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import settings as settings_module

TOPIC = "keyed.claims"
KEY = "0"
# Claims whose time is kept; they bound how long leases may last.
_MAX_CLAIMS_SEEN = 64


class Claim(msgspec.Struct, frozen=True):
    """One record of the claims topic.

    Attributes:
      holder: Name of the entry instance.
      incarnation: Start time of the holder's process, in nanoseconds.
      address: Peer address of the holder.
      epoch: Offset of the first record of this claim; -1 in that record.
      released: The holder gives up the ownership.
      reach: What the holder hears of its runners, if that is few.
    """

    holder: str
    incarnation: int
    address: str
    epoch: int = -1
    released: bool = False
    reach: reach_module.Reach | msgspec.UnsetType = msgspec.UNSET


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Encodes a claim for the log."""
    return _ENCODER.encode(claim)


def decode_claim(value: bytes | None, offset: int) -> Claim | None:
    """Decodes the record at an offset; returns None if it is not a claim.

    No claim has an epoch above the offset of its own record, and none names
    runners that cannot be asked.
    """
    if not value:
        return None
    decoded = decoding.decode(_DECODER, value)
    if decoded.is_err() or decoded.ok_value.epoch > offset:
        return None
    claim = decoded.ok_value
    return claim if not claim.reach or claim.reach.is_usable() else None


@dataclasses.dataclass(slots=True, frozen=True)
class Waiver:
    """Statement of an owner that it extends no lease for the time being.

    It does so again only after it has renewed its claim, so the statement binds
    a claimant that finds no later record of the claim.

    Attributes:
      epoch: Epoch of the owner.
      offset: Offset of the newest record of its claim.
      leases_end_at: When all leases on runners have expired, also those of
        owners before it.
    """

    epoch: int
    offset: int
    leases_end_at: float


@dataclasses.dataclass(slots=True)
class Ownership:
    """What this process knows of the owner.

    Times are seconds of this process's clock.

    Attributes:
      claim: Newest known claim, or None.
      epoch: Epoch of `claim`, or -1.
      offset: Offset of the newest record of `claim`, or -1.
      end_offset: End of the topic when it was last read.
      heard_at: When the owner last confirmed its ownership.
      renewed_at: When the newest record of the claim was first seen.
      seen_at: When the last claims were first seen, by epoch.
      read_at: When the topic was last read.
      void_seen_at: When a record that is no claim was first seen. It may hide
        the newest claim until that is renewed.
      void_offset: Offset of the newest such record that has been logged, or -1.
      denied: The process at the owner's address has denied being the owner.
      silent_for_s: How long the owner has not reached the log, as it reports.
      ablest_capacity: Highest capacity of an able standby, as an owner last
        reported it; 0 if none has.
      ping_after_s: Time between pings that the owner has asked for; 0 for the
        default.
      few_runners: The owner hears few of its runners, as it last replied.
      waiver: The last one that an owner has made to this process, or None.
    """

    claim: Claim | None = None
    epoch: int = -1
    offset: int = -1
    end_offset: int = 0
    heard_at: float = 0.0
    renewed_at: float = 0.0
    seen_at: dict[int, float] = dataclasses.field(default_factory=dict)
    read_at: float = 0.0
    void_seen_at: float = float("-inf")
    void_offset: int = -1
    denied: bool = False
    silent_for_s: float = 0.0
    ablest_capacity: float = 0.0
    ping_after_s: float = 0.0
    few_runners: bool = False
    waiver: Waiver | None = None

    def apply_record(
        self, offset: int, value: bytes | None, now: float
    ) -> None:
        """Applies a record of the topic; older records have no effect."""
        claim = decode_claim(value, offset)
        if claim is None or offset <= self.offset:
            return
        epoch = claim.epoch if claim.epoch >= 0 else offset
        if epoch < self.epoch:
            return
        if epoch != self.epoch:
            self.heard_at, self.denied, self.silent_for_s = now, False, 0.0
            self.ping_after_s, self.few_runners = 0.0, False
            self._record_sight(epoch, now)
        self.claim, self.epoch, self.offset = claim, epoch, offset
        self.renewed_at = now

    def record_void(self, offset: int, now: float) -> bool:
        """Records one that is no claim; returns whether it is a new one."""
        if self.void_offset < 0:
            self.void_seen_at = now
        is_new = offset > self.void_offset
        self.void_offset = max(self.void_offset, offset)
        return is_new

    def _record_sight(self, epoch: int, now: float) -> None:
        self.seen_at[epoch] = now
        if len(self.seen_at) > _MAX_CLAIMS_SEEN:
            del self.seen_at[min(self.seen_at)]

    def record_reply(
        self,
        is_owner: bool,
        silent_for_s: float,
        now: float,
        ablest_capacity: float = 0.0,
        ping_after_s: float = 0.0,
        few_runners: bool = False,
    ) -> None:
        """Records the reply of the process at the owner's address."""
        self.denied = not is_owner
        if is_owner:
            self.heard_at, self.silent_for_s = now, silent_for_s
            self.ablest_capacity = ablest_capacity or self.ablest_capacity
            self.ping_after_s = ping_after_s
            self.few_runners = few_runners

    def record_waiver(
        self, epoch: int, offset: int, ends_in_s: float, now: float
    ) -> None:
        """Records the waiver of an owner; there is none below offset 0."""
        if offset >= 0:
            self.waiver = Waiver(epoch, offset, now + ends_in_s)

    def find_waived_end(self) -> float | None:
        """Returns when all leases end, or None without a binding waiver.

        It holds for a claim that is appended where the topic ends by now.
        """
        waiver = self.waiver
        if waiver is None or not self.is_newest():
            return None
        if (waiver.epoch, waiver.offset) != (self.epoch, self.offset):
            return None
        return waiver.leases_end_at

    def is_newest(self) -> bool:
        """Tells whether the topic ended after the known claim when it was read.

        A record by another writer may hide a later claim.
        """
        return self.claim is not None and self.offset + 1 == self.end_offset

    def find_reach(self) -> reach_module.Reach | None:
        """Returns what the owner last reported in the log, or None."""
        if self.claim is None or self.claim.released:
            return None
        return self.claim.reach or None

    def is_reach_low(self) -> bool:
        """Tells whether the owner last reported that it hears few runners."""
        return self.few_runners or self.find_reach() is not None


def choose_ping_interval(
    ownership: Ownership, settings: settings_module.Settings, now: float
) -> float:
    """Returns the time until the next ping; short after an unanswered one."""
    if now - ownership.heard_at > settings.ping_s:
        return settings.ping_s
    return settings.ping_s + _find_extra_interval(ownership, settings)


def _find_extra_interval(
    ownership: Ownership, settings: settings_module.Settings
) -> float:
    # A longer pause would hide that the owner has failed.
    asked_s = min(settings.slow_ping_max_s, ownership.ping_after_s)
    return max(0.0, asked_s - settings.ping_s)


def find_takeover_reason(
    ownership: Ownership, settings: settings_module.Settings, now: float
) -> str:
    """Returns the reason to read the log and claim, or an empty string."""
    if ownership.claim is None:
        return "none"
    if ownership.claim.released:
        return "released"
    if ownership.denied:
        return "denied"
    extra_s = _find_extra_interval(ownership, settings)
    if now - ownership.heard_at > settings.suspect_after_s + extra_s:
        return "silent"
    if ownership.silent_for_s > settings.renew_overdue_s:
        return "cut_off"
    return ""


def needs_log_read(
    ownership: Ownership, settings: settings_module.Settings, now: float
) -> bool:
    """Tells whether to read the last renewal of an unresponsive owner.

    Without this read, the wait for an overdue renewal would begin only when
    the owner is suspected.
    """
    extra_s = _find_extra_interval(ownership, settings)
    return (
        ownership.claim is not None
        and now - ownership.heard_at > settings.reread_after_s + extra_s
        and ownership.read_at < ownership.heard_at
    )


def choose_claim_wait(
    ownership: Ownership, settings: settings_module.Settings
) -> float:
    """Returns the wait before a claim, without jitter, in seconds.

    The ablest process waits least. A weak owner falls behind, and each takeover
    has to read all jobs and to poll all runners again.
    """
    ablest = ownership.ablest_capacity or settings.assumed_ablest_capacity
    lack = 1.0 - settings.capacity / ablest
    return settings.claim_wait_max_s * min(1.0, max(0.0, lack))


def may_claim(
    ownership: Ownership,
    reason: str,
    log_regained_at: float,
    settings: settings_module.Settings,
    now: float,
) -> bool:
    """Tells whether a claim is justified after the log has just been read.

    A silent owner may only mean that this process is cut off from its peers,
    so the owner's renewals have to be overdue as well, and so has the renewal
    of a claim that a record by another writer may hide. An owner that cannot
    reach the log is replaced only by a process that has reached it for longer
    than all processes need to notice the end of an outage of the whole log;
    otherwise the first process that reaches the log again would take over.
    """
    if reason == "none":
        return now - ownership.void_seen_at > settings.renew_overdue_s
    if reason == "silent":
        return now - ownership.renewed_at > settings.renew_overdue_s
    if reason == "cut_off":
        return now - log_regained_at > settings.renew_overdue_s
    return True
