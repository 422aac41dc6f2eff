"""Aggregate: who owns the jobs, by the newest claim in the log.

A claim is appended only where the topic ends as the claimant read it, so one
of several claimants wins. The offset of the winning claim is the epoch: it
only rises, fences older producers at the log and older owners at runners.
"""

import dataclasses

import msgspec

from plantainvane.jobs import settings as settings_module

TOPIC = "keyed.claims"
KEY = "0"


class Claim(msgspec.Struct, frozen=True):
    """One record of the claims topic.

    Attributes:
      holder: Name of the entry instance.
      incarnation: Start of the holder's process, in nanoseconds.
      address: Its peer address.
      epoch: Offset of the first record of this claim; -1 in that record.
      released: The holder hands over.
    """

    holder: str
    incarnation: int
    address: str
    epoch: int = -1
    released: bool = False


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Encodes a claim for the log."""
    return _ENCODER.encode(claim)


def decode_claim(value: bytes | None) -> Claim | None:
    """Decodes a record; None when it is no claim."""
    if not value:
        return None
    try:
        return _DECODER.decode(value)
    except msgspec.DecodeError:
        return None


@dataclasses.dataclass(slots=True)
class Ownership:
    """What this process knows of the owner.

    Attributes:
      claim: Newest claim known, or None.
      epoch: Its epoch, or -1.
      offset: Offset of its newest record.
      end_offset: Where the topic ended when it was last read.
      heard_at: When the owner last confirmed that it is the owner.
      renewed_at: When a newer record of the claim was first seen.
      read_at: When the topic was last read.
      denied: The process at the owner's address is not the owner.
      silent_for_s: How long the owner has not reached the log, by its word.
    """

    claim: Claim | None = None
    epoch: int = -1
    offset: int = -1
    end_offset: int = 0
    heard_at: float = 0.0
    renewed_at: float = 0.0
    read_at: float = 0.0
    denied: bool = False
    silent_for_s: float = 0.0

    def apply_record(
        self, offset: int, value: bytes | None, now: float
    ) -> None:
        """Applies a record of the topic; older ones change nothing."""
        claim = decode_claim(value)
        if claim is None or offset <= self.offset:
            return
        epoch = claim.epoch if claim.epoch >= 0 else offset
        if epoch < self.epoch:
            return
        if epoch != self.epoch:
            self.heard_at, self.denied, self.silent_for_s = now, False, 0.0
        self.claim, self.epoch, self.offset = claim, epoch, offset
        self.renewed_at = now

    def note_reply(
        self, is_owner: bool, silent_for_s: float, now: float
    ) -> None:
        """Notes what the process at the owner's address answered."""
        self.denied = not is_owner
        if is_owner:
            self.heard_at, self.silent_for_s = now, silent_for_s


def suspects_owner(
    ownership: Ownership, settings: settings_module.Settings, now: float
) -> str:
    """Reason to look at the log and claim, or an empty string."""
    if ownership.claim is None:
        return "none"
    if ownership.claim.released:
        return "released"
    if ownership.denied:
        return "denied"
    if now - ownership.heard_at > settings.suspect_after_s:
        return "silent"
    if ownership.silent_for_s > settings.renew_overdue_s:
        return "cut_off"
    return ""


def needs_reading(
    ownership: Ownership, settings: settings_module.Settings, now: float
) -> bool:
    """Tells whether the last renewal of a quiet owner is to be found out.

    Without it, the wait for an overdue renewal would begin only when the owner
    is suspected.
    """
    return (
        ownership.claim is not None
        and now - ownership.heard_at > settings.reread_after_s
        and ownership.read_at < ownership.heard_at
    )


def may_claim(
    ownership: Ownership,
    reason: str,
    regained_at: float,
    settings: settings_module.Settings,
    now: float,
) -> bool:
    """Tells whether the log, just read, supports a claim.

    Silence alone may mean that this process is cut off, so the owner's
    renewals have to be overdue as well. An owner without the log is replaced
    only by a process that has had it for longer than an outage of the whole
    log takes to end everywhere.
    """
    if reason == "silent":
        return now - ownership.renewed_at > settings.renew_overdue_s
    if reason == "cut_off":
        return now - regained_at > settings.renew_overdue_s
    return True
