"""Aggregate of shard claims: which process owns which shard of a domain.

The fold is the same in every process. Times are added by each process for
itself: a holder counts its claim from before it sent the renewal, a rival from
after it read it, so the holder always gives up first.
"""

import dataclasses
import math
from typing import Any
import zlib

from plantainvane import readers
from plantainvane import records
from plantainvane import rendezvous
from plantainvane import settings as settings_module
from plantainvane import writers

# Appends whose send time still waits for the fold, and the other way round.
# One renewal is under way at a time; the rest are leftovers of lost replies.
_MAX_UNMATCHED = 16


@dataclasses.dataclass(slots=True)
class Owner:
    """Owner of one shard as folded from the claims stream.

    Attributes:
      holder: Process id, with `incarnation`; empty before the first claim.
      epoch: Epoch of the claim; 0 before the first claim.
      offset: Offset of the newest valid claim of the shard.
      ttl_s: Seconds that the claim is valid for.
      read_at: Monotonic time at which this process read that claim, or its
        release.
      released: The holder gave the shard up.
      inferred_from_renewal: Learned from a renewal because the record of the
        takeover is no longer retained.
      renewal_sent_at: For the own claim, the time before the send of the newest
        renewal known to be valid; -inf when there is none in this epoch.
    """

    holder: str = ""
    incarnation: int = 0
    epoch: int = 0
    offset: int = -1
    ttl_s: float = 0.0
    read_at: float = -math.inf
    released: bool = False
    inferred_from_renewal: bool = False
    renewal_sent_at: float = -math.inf


def find_home_shard(
    settings: settings_module.Settings, task: str, domain: str | None = None
) -> tuple[str, int]:
    """Returns the domain and shard that a task id belongs to."""
    home = domain or rendezvous.pick_member(list(settings.domains), task)
    return home, hash_to_shard(settings, task)


def hash_to_shard(settings: settings_module.Settings, name: str) -> int:
    """Returns the shard of a worker id or task id within its domain."""
    return zlib.crc32(name.encode()) % settings.claims.shards


class Claims:
    """Fold of one domain's claims stream, and the decisions on top of it."""

    def __init__(
        self, settings: settings_module.Settings, identity: writers.Identity
    ):
        self._settings = settings
        self._identity = identity
        self._seen = readers.SeenSequences()
        self._sent_at: dict[int, float] = {}
        self._folded_own: dict[int, list[records.ShardClaim]] = {}
        # Time before the first of the appends whose fate is not known yet.
        self._unresolved_from: float | None = None
        # Since when another member is preferred for a shard held here.
        self._not_preferred_since: dict[int, float] = {}
        # Epochs that are known from elsewhere to be taken.
        self._epoch_floors: dict[int, int] = {}
        # First look at shards that never had an owner.
        self._first_checked_at: float | None = None
        self.next_offset = 0
        self.owners = {
            shard: Owner() for shard in range(settings.claims.shards)
        }

    def apply_records(
        self, entries: list[tuple[int, records.ClaimRecord]], now: float
    ) -> None:
        """Folds records in offset order; `now` is when they were read."""
        for offset, record in entries:
            if offset < self.next_offset:
                continue
            trimmed = offset > self.next_offset
            self.next_offset = offset + 1
            if trimmed:
                for owner in self.owners.values():
                    owner.inferred_from_renewal = True
            if not self._seen.add_record(record):
                continue
            if isinstance(record, records.Claim):
                self._apply_claim(offset, record, now)
            else:
                self._apply_release(record, now)

    def holds_shard(self, shard: int, epoch: int, now: float) -> bool:
        """Says whether this process may act as owner of `shard` at `now`."""
        owner = self.owners[shard]
        return (
            self.is_own(shard, epoch)
            and now < owner.renewal_sent_at + owner.ttl_s
        )

    def may_renew_leases(self, shard: int, epoch: int, now: float) -> bool:
        """Says whether leases may be renewed, also while the log is down."""
        owner = self.owners[shard]
        limit = owner.ttl_s + self._settings.tasks.outage_renewal_s
        return self.is_own(shard, epoch) and now < owner.renewal_sent_at + limit

    def is_own(self, shard: int, epoch: int) -> bool:
        """Says whether the fold names this process as owner in `epoch`."""
        owner = self.owners[shard]
        return (
            owner.epoch == epoch
            and not owner.released
            and self._is_self(owner.holder, owner.incarnation)
        )

    def list_own(self) -> list[records.ShardClaim]:
        """Lists the shards that the fold gives to this process."""
        return [
            records.ShardClaim(shard, owner.epoch)
            for shard, owner in self.owners.items()
            if self.is_own(shard, owner.epoch)
        ]

    def begin_append(self, sent_at: float) -> None:
        """Notes that a claim is about to be sent, not before `sent_at`."""
        if self._unresolved_from is None:
            self._unresolved_from = sent_at

    def note_append(self, offset: int, sent_at: float) -> None:
        """Notes that the claim at `offset` was sent after `sent_at`."""
        self._unresolved_from = None
        self._sent_at[offset] = sent_at
        _trim(self._sent_at)
        self._match_append(offset)

    def propose_claims(
        self, members: list[str], now: float
    ) -> list[records.ShardClaim]:
        """Lists the takeovers that this process should append now.

        The first member in rendezvous order takes over at once when it may;
        each later one waits `fallback_s` longer, in case those before it
        cannot reach the log. The silent holder itself is left out.

        Args:
          members: Ids of the live members, this process included.
          now: Monotonic time; the reads of the stream must be current.
        """
        if self._first_checked_at is None:
            self._first_checked_at = now
        claims = []
        for shard, owner in self.owners.items():
            since = self._find_free_since(owner, self._first_checked_at)
            rank = self._rank_self(shard, owner, members)
            if rank is None or self.is_own(shard, owner.epoch):
                continue
            if now >= since + rank * self._settings.claims.fallback_s:
                claims.append(self._make_takeover(shard, owner))
        return claims

    def raise_epoch_floor(self, shard: int, epoch: int) -> None:
        """Notes that `epoch` was taken before the stream's retained start.

        Claims of a shard are retained while it has an owner; one that nobody
        owned for longer than the retention begins again above `epoch`.
        """
        self._epoch_floors[shard] = max(epoch, self._epoch_floors.get(shard, 0))

    def propose_handover(self, members: list[str], now: float) -> int | None:
        """Returns a held shard to hand over to a preferred member, if any.

        The preference must last `handover_after_s` without a break, so that
        a member that comes and goes moves nothing. One shard at a time.
        """
        for claim in self.list_own():
            preferred = rendezvous.pick_member(
                members, self._name_shard(claim.shard)
            )
            if preferred == self._identity.id or not members:
                self._not_preferred_since.pop(claim.shard, None)
                continue
            since = self._not_preferred_since.setdefault(claim.shard, now)
            if now - since >= self._settings.claims.handover_after_s:
                del self._not_preferred_since[claim.shard]
                return claim.shard
        return None

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the owners of all shards, JSON-ready."""
        return {
            str(shard): {
                "holder": owner.holder,
                "epoch": owner.epoch,
                "offset": owner.offset,
                "released": owner.released,
                "held_here": self.holds_shard(shard, owner.epoch, now),
                "read_s_ago": (
                    round(now - owner.read_at, 3) if owner.epoch else None
                ),
            }
            for shard, owner in self.owners.items()
        }

    def _apply_claim(
        self, offset: int, record: records.Claim, now: float
    ) -> None:
        valid = []
        for claim in record.shards:
            owner = self.owners.get(claim.shard)
            if owner is None or not _is_valid(owner, claim, record):
                continue
            new_epoch = claim.epoch != owner.epoch
            renewal_sent_at = -math.inf if new_epoch else owner.renewal_sent_at
            self.owners[claim.shard] = Owner(
                holder=record.writer,
                incarnation=record.incarnation,
                epoch=claim.epoch,
                offset=offset,
                ttl_s=record.ttl_s,
                read_at=now,
                inferred_from_renewal=owner.inferred_from_renewal
                and claim.base_offset < 0,
                renewal_sent_at=renewal_sent_at,
            )
            valid.append(claim)
        if valid and self._is_self(record.writer, record.incarnation):
            self._folded_own[offset] = valid
            _trim(self._folded_own)
            if self._unresolved_from is not None:
                # The reply may be lost or late. Whichever of the unresolved
                # claims this is, it was sent after the first of them.
                self._extend_claims(valid, self._unresolved_from)
            self._match_append(offset)

    def _apply_release(self, record: records.Release, now: float) -> None:
        for claim in record.shards:
            owner = self.owners.get(claim.shard)
            if owner is not None and _is_renewal(owner, claim, record):
                owner.released = True
                owner.read_at = now

    def _match_append(self, offset: int) -> None:
        """Extends the own claims once both the fold and the reply are known."""
        if offset not in self._sent_at or offset not in self._folded_own:
            return
        sent_at = self._sent_at.pop(offset)
        self._extend_claims(self._folded_own.pop(offset), sent_at)

    def _extend_claims(
        self, claims: list[records.ShardClaim], sent_at: float
    ) -> None:
        for claim in claims:
            owner = self.owners[claim.shard]
            if self.is_own(claim.shard, claim.epoch):
                owner.renewal_sent_at = max(owner.renewal_sent_at, sent_at)

    def _make_takeover(self, shard: int, owner: Owner) -> records.ShardClaim:
        floor = self._epoch_floors.get(shard, 0)
        if owner.inferred_from_renewal and floor > owner.epoch:
            return records.ShardClaim(shard, floor + 1)
        return records.ShardClaim(shard, owner.epoch + 1, owner.offset)

    def _find_free_since(self, owner: Owner, first_checked_at: float) -> float:
        if owner.epoch == 0:
            return first_checked_at
        if owner.released:
            return owner.read_at
        return owner.read_at + owner.ttl_s + self._settings.claims.margin_s

    def _rank_self(
        self, shard: int, owner: Owner, members: list[str]
    ) -> int | None:
        others = [member for member in members if member != owner.holder]
        if self._identity.id not in members:
            return None
        # A restarted process may follow its own earlier incarnation.
        candidates = others if self._identity.id in others else members
        ranked = rendezvous.rank_members(candidates, self._name_shard(shard))
        return ranked.index(self._identity.id)

    def _name_shard(self, shard: int) -> str:
        return f"{self._settings.domain}/{shard}"

    def _is_self(self, writer: str, incarnation: int) -> bool:
        own = self._identity
        return writer == own.id and incarnation == own.incarnation


def _is_renewal(
    owner: Owner,
    claim: records.ShardClaim,
    record: records.Claim | records.Release,
) -> bool:
    return (
        not owner.released
        and claim.epoch == owner.epoch
        and record.writer == owner.holder
        and record.incarnation == owner.incarnation
    )


def _is_valid(
    owner: Owner, claim: records.ShardClaim, record: records.Claim
) -> bool:
    if _is_renewal(owner, claim, record):
        return True
    if claim.base_offset < 0 and owner.inferred_from_renewal:
        # A renewal is sent only by a process whose takeover was valid, so it
        # proves the takeover that this reader can no longer read.
        return claim.epoch > owner.epoch
    return claim.epoch == owner.epoch + 1 and claim.base_offset == owner.offset


def _trim(unmatched: dict[int, Any]) -> None:
    while len(unmatched) > _MAX_UNMATCHED:
        del unmatched[next(iter(unmatched))]
