"""Aggregate of the entry processes: heartbeats, suspicion and headroom.

Membership proposes owners and routes; it decides nothing about ownership. All
times are seconds of this process's monotonic clock.
"""

import dataclasses
import enum
import math
from typing import Any

from plantainvane import events
from plantainvane import messages_pb2
from plantainvane import rendezvous
from plantainvane import settings as settings_module
from plantainvane import writers

# A heartbeat names all members heard in every so many heartbeats only: with
# 153 members the names would be 7.5 KB of it. New members are named at once.
HEARD_EVERY = 60
# Time for which a member counts as new; several heartbeats, as one may be lost.
NEW_MEMBER_S = 5.0
DUMP_LIMIT = 500


class State(enum.StrEnum):
    """What this process thinks of a member."""

    LIVE = "live"
    DRAINING = "draining"
    STARTING = "starting"
    SUSPECTED = "suspected"
    UNHEARD = "unheard"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry process, as it names itself."""

    id: str
    domain: str
    peer_address: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a member reported `silent_s` seconds ago."""

    member: Member
    ready: bool
    config_version: int
    silent_s: float


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one service class at a member.

    Attributes:
      queued: Requests waiting.
      free_slots: Slots without a request.
      grants: Requests this process may still send there on the strength of
        the member's last heartbeat.
    """

    queued: int
    free_slots: int
    grants: int


@dataclasses.dataclass(slots=True)
class _Entry:
    """State of one other member.

    `heard_at` is the time of its last own heartbeat, None before the first;
    `known_at` is when it was last named or heard, `since` when first.
    """

    member: Member
    since: float
    known_at: float
    heard_at: float | None = None
    sequence: int = -1
    ready: bool = False
    draining: bool = False
    config_version: int = 0
    load: dict[str, Load] = dataclasses.field(default_factory=dict)
    reported: State = State.UNHEARD


class Membership:
    """This process's view of all entry processes."""

    def __init__(
        self,
        settings: settings_module.Settings,
        identity: writers.Identity,
    ):
        self._settings = settings
        self.myself = Member(
            identity.id,
            settings.domain,
            settings.listen.peers,
            identity.incarnation,
        )
        self._entries: dict[str, _Entry] = {}
        self._sequence = 0

    def apply_heartbeat(
        self, heartbeat: messages_pb2.Heartbeat, now: float
    ) -> bool:
        """Takes over what a member reports about itself and others.

        Returns:
          Whether the heartbeat was newer than what was known of its sender;
          an older one changes nothing.
        """
        sender = _read_member(heartbeat.sender)
        if not sender.id or sender.id == self.myself.id:
            return False
        self._add_named(sender, now)
        entry = self._entries[sender.id]
        if sender.incarnation < entry.member.incarnation:
            return False
        if heartbeat.sequence <= entry.sequence:
            return False
        entry.member = sender
        entry.sequence = heartbeat.sequence
        entry.known_at = entry.heard_at = now
        entry.ready = heartbeat.ready
        entry.draining = heartbeat.draining
        entry.config_version = heartbeat.config_version
        entry.load = {
            load.service_class: self._make_load(load) for load in heartbeat.load
        }
        for named in heartbeat.heard:
            self._add_named(_read_member(named), now)
        self._report_state(entry, now)
        return True

    def make_heartbeat(
        self,
        now: float,
        *,
        ready: bool,
        draining: bool,
        config_version: int,
        load: list[tuple[str, int, int]],
        with_heard: bool = False,
    ) -> messages_pb2.Heartbeat:
        """Makes this process's next heartbeat.

        Args:
          now: Present time.
          ready: Whether the process serves requests.
          draining: Whether it is shutting down.
          config_version: Version of the configuration in force here.
          load: (service class, queued, free slots) of each class.
          with_heard: Names the members heard in any case, as in the first
            heartbeat of a stream.
        """
        self._sequence += 1
        name_all = with_heard or self._sequence % HEARD_EVERY == 0
        heard = [
            entry.member
            for entry in self._entries.values()
            if (name_all or now - entry.since <= NEW_MEMBER_S)
            and not self._is_silent(entry, now)
        ]
        return messages_pb2.Heartbeat(
            sender=_write_member(self.myself),
            sequence=self._sequence,
            draining=draining,
            ready=ready,
            config_version=config_version,
            load=[
                messages_pb2.ClassLoad(
                    service_class=name, queued=queued, free_slots=free_slots
                )
                for name, queued, free_slots in load
            ],
            heard=[_write_member(member) for member in heard],
        )

    def list_live(self, domain: str | None, now: float) -> list[Member]:
        """Lists the members that take work, sorted by id.

        Args:
          domain: Failure domain; None for all.
          now: Present time.

        Returns:
          This process always, and each other one that is ready and neither
          suspected nor draining.
        """
        live = [
            entry.member
            for entry in self._entries.values()
            if self._judge_entry(entry, now) is State.LIVE
        ]
        live.append(self.myself)
        return sorted(
            (m for m in live if domain is None or m.domain == domain),
            key=lambda member: member.id,
        )

    def find_headroom(self, service_class: str, now: float) -> Member | None:
        """Picks a member of another domain that can take one more request.

        Each pick uses up one of the `spill_headroom` share of the free slots
        that the member last reported, so that this process cannot fill
        another domain between two heartbeats.
        """
        best, most = None, 0
        for entry in self._entries.values():
            if entry.member.domain == self.myself.domain:
                continue
            load = entry.load.get(service_class)
            if load is None or load.queued or load.grants <= most:
                continue
            if self._judge_entry(entry, now) is State.LIVE:
                best, most = entry, load.grants
        if best is None:
            return None
        best.load[service_class].grants -= 1
        return best.member

    def find_newest(self, now: float) -> tuple[Member, int] | None:
        """Returns the heard member with the highest configuration version."""
        heard = [
            entry
            for entry in self._entries.values()
            if not self._is_silent(entry, now)
        ]
        if not heard:
            return None
        newest = max(heard, key=lambda e: (e.config_version, e.member.id))
        return newest.member, newest.config_version

    def list_heard(self, now: float) -> list[Status]:
        """Lists what each member not silent last reported, by id."""
        return [
            Status(
                entry.member,
                entry.ready,
                entry.config_version,
                now - entry.heard_at,
            )
            for _, entry in sorted(self._entries.items())
            if not self._is_silent(entry, now)
        ]

    def list_peers(self, now: float) -> list[Member]:
        """Lists the members to hold a stream to, sorted by id.

        All of the own domain and `remote_peers` of each other domain. Seeds
        stay listed however long they are silent, or a partition that outlasts
        `drop_intervals` would never heal.
        """
        known = {id: entry.member for id, entry in self._entries.items()}
        for seed in self._settings.seeds:
            if seed.id not in known and seed.id != self.myself.id:
                known[seed.id] = Member(
                    seed.id, seed.domain, seed.peer_address, 0
                )
        peers = []
        for domain in {member.domain for member in known.values()}:
            ids = [id for id, m in known.items() if m.domain == domain]
            if domain != self.myself.domain:
                ids = self._pick_remote(ids, now)
            peers.extend(known[id] for id in ids)
        return sorted(peers, key=lambda member: member.id)

    def find_member(self, id: str) -> Member | None:
        """Returns a known member, this process included."""
        if id == self.myself.id:
            return self.myself
        entry = self._entries.get(id)
        return entry.member if entry else None

    def is_heard(self, id: str, incarnation: int, now: float) -> bool:
        """Tells whether that incarnation of a member is heard at present."""
        if id == self.myself.id:
            return incarnation == self.myself.incarnation
        entry = self._entries.get(id)
        return (
            entry is not None
            and entry.member.incarnation == incarnation
            and not self._is_silent(entry, now)
        )

    def review_members(self, now: float) -> None:
        """Drops members long silent and logs changes of state."""
        for entry in list(self._entries.values()):
            limit = self._settings.membership.drop_intervals
            interval = self.get_interval(entry.member.domain)
            if now - entry.known_at > limit * interval:
                del self._entries[entry.member.id]
                events.log_event(
                    events.MEMBER_DROPPED,
                    member=entry.member.id,
                    silent_s=round(now - entry.known_at, 3),
                )
            else:
                self._report_state(entry, now)

    def get_interval(self, domain: str) -> float:
        """Returns the heartbeat interval towards a domain in seconds."""
        membership = self._settings.membership
        if domain == self.myself.domain:
            return membership.interval_s
        return membership.remote_interval_s

    def count_states(self, now: float) -> dict[str, int]:
        """Counts the other members by state."""
        counts = {state.value: 0 for state in State}
        for entry in self._entries.values():
            counts[self._judge_entry(entry, now).value] += 1
        return counts

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the members with state and age of the last heartbeat."""
        return {
            "myself": dataclasses.asdict(self.myself),
            "sequence": self._sequence,
            "members": [
                self._dump_entry(self._entries[id], now)
                for id in sorted(self._entries)[:DUMP_LIMIT]
            ],
            "peers": [peer.id for peer in self.list_peers(now)][:DUMP_LIMIT],
        }

    def _add_named(self, member: Member, now: float) -> None:
        """Takes over that a member exists or was started anew."""
        if not member.id or member.id == self.myself.id:
            return
        entry = self._entries.get(member.id)
        if entry is None:
            self._entries[member.id] = _Entry(member, now, now)
        elif member.incarnation > entry.member.incarnation:
            # What the earlier incarnation reported says nothing of this one.
            self._entries[member.id] = _Entry(member, now, now)
            events.log_event(
                events.MEMBER_RESTARTED,
                member=member.id,
                incarnation=member.incarnation,
            )
        elif entry.heard_at is None:
            entry.known_at = now

    def _make_load(self, load: messages_pb2.ClassLoad) -> Load:
        share = self._settings.requests.spill_headroom
        grants = math.floor(load.free_slots * share)
        return Load(load.queued, load.free_slots, grants)

    def _is_silent(self, entry: _Entry, now: float) -> bool:
        if entry.heard_at is None:
            return True
        limit = self._settings.membership.suspect_intervals
        interval = self.get_interval(entry.member.domain)
        return now - entry.heard_at > limit * interval

    def _judge_entry(self, entry: _Entry, now: float) -> State:
        if entry.heard_at is None:
            return State.UNHEARD
        if self._is_silent(entry, now):
            return State.SUSPECTED
        if entry.draining:
            return State.DRAINING
        return State.LIVE if entry.ready else State.STARTING

    def _report_state(self, entry: _Entry, now: float) -> None:
        state = self._judge_entry(entry, now)
        if state is entry.reported:
            return
        event = events.MEMBER_CHANGED
        if state is State.SUSPECTED:
            event = events.MEMBER_SUSPECTED
        events.log_event(
            event,
            member=entry.member.id,
            domain=entry.member.domain,
            before=entry.reported.value,
            after=state.value,
        )
        entry.reported = state

    def _pick_remote(self, ids: list[str], now: float) -> list[str]:
        """Picks the peers in another domain, those heard or new first."""
        count = self._settings.membership.remote_peers
        fresh = [id for id in ids if self._is_worth_trying(id, now)]
        picked = rendezvous.rank_members(fresh, self.myself.id)[:count]
        # Of the silent ones, another choice is tried after each drop time.
        period = (
            self._settings.membership.drop_intervals
            * self._settings.membership.remote_interval_s
        )
        key = f"{self.myself.id}/{int(now / period)}"
        silent = [id for id in ids if id not in fresh]
        picked.extend(rendezvous.rank_members(silent, key))
        return picked[:count]

    def _is_worth_trying(self, id: str, now: float) -> bool:
        entry = self._entries.get(id)
        if entry is None:
            return False
        limit = self._settings.membership.suspect_intervals
        is_new = now - entry.since <= limit * self.get_interval(
            entry.member.domain
        )
        return is_new or not self._is_silent(entry, now)

    def _dump_entry(self, entry: _Entry, now: float) -> dict[str, Any]:
        age = None if entry.heard_at is None else now - entry.heard_at
        return {
            **dataclasses.asdict(entry.member),
            "state": self._judge_entry(entry, now).value,
            "silent_s": None if age is None else round(age, 3),
            "config_version": entry.config_version,
            "load": {
                name: dataclasses.asdict(load)
                for name, load in sorted(entry.load.items())
            },
        }


def _read_member(message: messages_pb2.Member) -> Member:
    return Member(
        message.id, message.domain, message.peer_address, message.incarnation
    )


def _write_member(member: Member) -> messages_pb2.Member:
    return messages_pb2.Member(
        id=member.id,
        domain=member.domain,
        peer_address=member.peer_address,
        incarnation=member.incarnation,
    )
