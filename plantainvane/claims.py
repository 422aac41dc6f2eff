"""Shard claims: which process owns which shard of a failure domain.

Every process folds the same claims stream into the same owners. Each adds its
own times: the holder counts the ttl from before it sent a renewal, other
processes from after they read it, so the holder always stops first.
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

# Limit of the send times that wait for the fold, and of the folded claims that
# wait for their send time. At most one renewal is in flight; the others are
# left over from lost replies.
_MAX_UNMATCHED = 16


@dataclasses.dataclass(slots=True)
class Owner:
    """Owner of one shard, as folded from the claims stream.

    Attributes:
      holder: Process id of the owner; empty before the first claim.
      incarnation: Incarnation of that process.
      epoch: Epoch of the claim; 0 before the first claim.
      offset: Offset of the newest valid claim of the shard.
      ttl_s: Time for which the claim is valid, in seconds.
      read_at: Monotonic time at which this process read that claim, or its
        release.
      released: Whether the holder released the shard.
      history_trimmed: Whether the record of the takeover may be trimmed
        from the stream; a renewal then proves the takeover.
      renewal_sent_at: For a claim of this process, the time just before it
        sent the newest valid renewal; -inf if there is none in this epoch.
    """

    holder: str = ""
    incarnation: int = 0
    epoch: int = 0
    offset: int = -1
    ttl_s: float = 0.0
    read_at: float = -math.inf
    released: bool = False
    history_trimmed: bool = False
    renewal_sent_at: float = -math.inf


def find_home_shard(
    settings: settings_module.Settings, task: str, domain: str | None = None
) -> tuple[str, int]:
    """Returns the failure domain and shard that a task id belongs to."""
    home = domain or rendezvous.pick_member(list(settings.domains), task)
    return home, hash_to_shard(settings, task)


def hash_to_shard(settings: settings_module.Settings, name: str) -> int:
    """Returns the shard number of a worker id or task id in its domain."""
    return zlib.crc32(name.encode()) % settings.claims.shards


class Claims:
    """Fold of one domain's claims stream, and the decisions based on it.

    Attributes:
      next_offset: Offset after the newest folded record.
      owners: Owner of each shard, by shard number.
    """

    def __init__(
        self, settings: settings_module.Settings, identity: writers.Identity
    ):
        self._settings = settings
        self._identity = identity
        self._seen = readers.SeenSequences()
        self._sent_at: dict[int, float] = {}
        self._folded_own: dict[int, list[records.ShardClaim]] = {}
        # Time before the first append whose outcome is not known yet.
        self._unresolved_from: float | None = None
        # Since when another member is preferred for a shard owned here.
        self._not_preferred_since: dict[int, float] = {}
        # Highest epochs in use that other sources than this stream showed.
        self._epoch_floors: dict[int, int] = {}
        # When shards that never had an owner were first checked.
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
                    owner.history_trimmed = True
            if not self._seen.add_record(record):
                continue
            if isinstance(record, records.Claim):
                self._apply_claim(offset, record, now)
            else:
                self._apply_release(record, now)

    def holds_shard(self, shard: int, epoch: int, now: float) -> bool:
        """Returns whether this process may act as owner of `shard` at `now`."""
        owner = self.owners[shard]
        return (
            self.is_own(shard, epoch)
            and now < owner.renewal_sent_at + owner.ttl_s
        )

    def may_renew_leases(self, shard: int, epoch: int, now: float) -> bool:
        """Returns whether this process may renew leases at `now`.

        It may for `outage_renewal_s` longer than it may act as owner, so that
        attempts survive an outage of the log.
        """
        owner = self.owners[shard]
        limit_s = owner.ttl_s + self._settings.tasks.outage_renewal_s
        return (
            self.is_own(shard, epoch) and now < owner.renewal_sent_at + limit_s
        )

    def is_own(self, shard: int, epoch: int) -> bool:
        """Returns whether the fold names this process as owner in `epoch`."""
        owner = self.owners[shard]
        return (
            owner.epoch == epoch
            and not owner.released
            and self._is_self(owner.holder, owner.incarnation)
        )

    def list_own(self) -> list[records.ShardClaim]:
        """Lists the shards that this process owns according to the fold."""
        return [
            records.ShardClaim(shard, owner.epoch)
            for shard, owner in self.owners.items()
            if self.is_own(shard, owner.epoch)
        ]

    def begin_append(self, sent_at: float) -> None:
        """Notes that a claim will be sent at `sent_at` or later."""
        if self._unresolved_from is None:
            self._unresolved_from = sent_at

    def note_append(self, offset: int, sent_at: float) -> None:
        """Notes that the claim stored at `offset` was sent after `sent_at`."""
        self._unresolved_from = None
        self._sent_at[offset] = sent_at
        _drop_oldest(self._sent_at)
        self._match_append(offset)

    def propose_claims(
        self, members: list[str], now: float
    ) -> list[records.ShardClaim]:
        """Lists the takeovers that this process should append now.

        The first member in rendezvous order takes over as soon as the shard
        is free. Each later one waits `fallback_s` longer, in case those before
        it cannot reach the log. The current holder is left out.

        Args:
          members: Ids of the live members, this process included.
          now: Monotonic time; the stream must be read up to date.
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
        """Notes that `epoch` was used by a claim that is no longer retained.

        The stream retains the claims of a shard while it has an owner. A shard
        without an owner for longer than the retention continues above `epoch`.
        """
        self._epoch_floors[shard] = max(epoch, self._epoch_floors.get(shard, 0))

    def propose_handover(self, members: list[str], now: float) -> int | None:
        """Returns one owned shard to hand over to a preferred member, if any.

        The preference must last for `handover_after_s` without a break, so
        that a member that joins and leaves repeatedly moves no shard.
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
        """Returns the owners of all shards as JSON-ready values."""
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
                history_trimmed=owner.history_trimmed and claim.base_offset < 0,
                renewal_sent_at=renewal_sent_at,
            )
            valid.append(claim)
        if valid and self._is_self(record.writer, record.incarnation):
            self._folded_own[offset] = valid
            _drop_oldest(self._folded_own)
            if self._unresolved_from is not None:
                # The reply may be lost or late. This claim may be any of the
                # unresolved ones, all of which were sent after the first.
                self._extend_claims(valid, self._unresolved_from)
            self._match_append(offset)

    def _apply_release(self, record: records.Release, now: float) -> None:
        for claim in record.shards:
            owner = self.owners.get(claim.shard)
            if owner is not None and _is_renewal(owner, claim, record):
                owner.released = True
                owner.read_at = now

    def _match_append(self, offset: int) -> None:
        """Extends claims once the folded record and the reply are known."""
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
        if owner.history_trimmed and floor > owner.epoch:
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
        # A restarted process may take over from its earlier incarnation.
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
    if claim.base_offset < 0 and owner.history_trimmed:
        # Only a process with a valid takeover sends a renewal, so the renewal
        # proves a takeover that is no longer retained.
        return claim.epoch > owner.epoch
    return claim.epoch == owner.epoch + 1 and claim.base_offset == owner.offset


def _drop_oldest(unmatched: dict[int, Any]) -> None:
    while len(unmatched) > _MAX_UNMATCHED:
        del unmatched[next(iter(unmatched))]
