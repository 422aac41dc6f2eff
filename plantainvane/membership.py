"""Membership of the entry processes: heartbeats, suspicion and headroom.

Membership only suggests owners and routes; ownership is decided elsewhere. All
times are in seconds of this process's monotonic clock.
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

# Only one in this many heartbeats lists all members that the sender hears: with
# 153 members the list takes 7.5 KB. New members are listed immediately.
HEARTBEATS_PER_HEARD_LIST = 60
# How long a member counts as new; several heartbeats, since one may be lost.
NEW_MEMBER_S = 5.0
DUMP_LIMIT = 500


class State(enum.StrEnum):
    """State of a member as seen by this process."""

    LIVE = "live"
    DRAINING = "draining"
    STARTING = "starting"
    SUSPECTED = "suspected"
    UNHEARD = "unheard"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identity of an entry process, as it announces itself.

    Attributes:
      id: Id of the process.
      domain: Its failure domain.
      peer_address: Address for peers, `ip:port`.
      incarnation: Start time in milliseconds since the Unix epoch; 0 if the
        process is known only as a seed.
    """

    id: str
    domain: str
    peer_address: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member last reported, `silent_s` seconds ago."""

    member: Member
    ready: bool
    config_version: int
    silent_s: float


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one service class at a member.

    Attributes:
      queued: Number of queued requests.
      free_slots: Number of slots without a request.
      grants: Number of requests that this process may still send to the member
        before its next heartbeat.
    """

    queued: int
    free_slots: int
    grants: int


@dataclasses.dataclass(slots=True)
class _TrackedMember:
    """What this process knows about one other member.

    Attributes:
      member: Identity of the member.
      known_since: When this incarnation was first heard or listed by another
        member.
      known_at: When it was last heard; before its first heartbeat, when it was
        last listed by another member.
      heard_at: When its last heartbeat arrived; None before the first.
      sequence: Sequence number of that heartbeat; -1 before the first.
      ready: Whether the member serves requests.
      draining: Whether the member is shutting down.
      config_version: Version of the configuration of the member.
      load: Load by service class.
      logged_state: State of the member that was last logged.
    """

    member: Member
    known_since: float
    known_at: float
    heard_at: float | None = None
    sequence: int = -1
    ready: bool = False
    draining: bool = False
    config_version: int = 0
    load: dict[str, Load] = dataclasses.field(default_factory=dict)
    logged_state: State = State.UNHEARD


class Membership:
    """View that this process has of all entry processes."""

    def __init__(
        self,
        settings: settings_module.Settings,
        identity: writers.Identity,
    ):
        self._settings = settings
        self.local_member = Member(
            identity.id,
            settings.domain,
            settings.listen.peers,
            identity.incarnation,
        )
        self._tracked: dict[str, _TrackedMember] = {}
        self._sequence = 0

    def apply_heartbeat(
        self, heartbeat: messages_pb2.Heartbeat, now: float
    ) -> bool:
        """Applies what a member reports about itself and other members.

        Returns:
          Whether the heartbeat was newer than the last one of its sender; an
          older one does not change the sender's state.
        """
        sender = _decode_member(heartbeat.sender)
        if not sender.id or sender.id == self.local_member.id:
            return False
        self._register_member(sender, now)
        tracked = self._tracked[sender.id]
        if sender.incarnation < tracked.member.incarnation:
            return False
        if heartbeat.sequence <= tracked.sequence:
            return False
        tracked.member = sender
        tracked.sequence = heartbeat.sequence
        tracked.known_at = tracked.heard_at = now
        tracked.ready = heartbeat.ready
        tracked.draining = heartbeat.draining
        tracked.config_version = heartbeat.config_version
        tracked.load = {
            load.service_class: self._make_load(load) for load in heartbeat.load
        }
        for named in heartbeat.heard:
            self._register_member(_decode_member(named), now)
        self._log_state_change(tracked, now)
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
        """Creates the next heartbeat of this process.

        Args:
          now: Current time.
          ready: Whether the process serves requests.
          draining: Whether it is shutting down.
          config_version: Version of the current configuration.
          load: (service class, queued, free slots) of each class.
          with_heard: Whether to list all heard members regardless of the
            sequence number, as in the first heartbeat of a stream.
        """
        self._sequence += 1
        name_all = with_heard or self._sequence % HEARTBEATS_PER_HEARD_LIST == 0
        heard = [
            tracked.member
            for tracked in self._tracked.values()
            if (name_all or now - tracked.known_since <= NEW_MEMBER_S)
            and not self._is_silent(tracked, now)
        ]
        return messages_pb2.Heartbeat(
            sender=_encode_member(self.local_member),
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
            heard=[_encode_member(member) for member in heard],
        )

    def list_live(self, domain: str | None, now: float) -> list[Member]:
        """Lists the members that accept work, sorted by id.

        Args:
          domain: Failure domain; None for all.
          now: Current time.

        Returns:
          This process in any state, and every other member that is ready and
          neither suspected nor draining.
        """
        live = [
            tracked.member
            for tracked in self._tracked.values()
            if self._classify_member(tracked, now) is State.LIVE
        ]
        live.append(self.local_member)
        return sorted(
            (m for m in live if domain is None or m.domain == domain),
            key=lambda member: member.id,
        )

    def pick_spillover_member(
        self, service_class: str, now: float
    ) -> Member | None:
        """Picks a member of another domain with capacity for one more request.

        Each pick uses up one grant. The grants of a member are the
        `spill_headroom` fraction of the free slots in its last heartbeat, so
        that this process cannot fill another domain between two heartbeats.

        Returns:
          The member with the most grants, or None if there is none.
        """
        best, most = None, 0
        for tracked in self._tracked.values():
            if tracked.member.domain == self.local_member.domain:
                continue
            load = tracked.load.get(service_class)
            if load is None or load.queued or load.grants <= most:
                continue
            if self._classify_member(tracked, now) is State.LIVE:
                best, most = tracked, load.grants
        if best is None:
            return None
        best.load[service_class].grants -= 1
        return best.member

    def find_newest_configuration(
        self, now: float
    ) -> tuple[Member, int] | None:
        """Returns the heard member with the newest configuration, if any.

        Returns:
          The member and the version of its configuration.
        """
        heard = [
            tracked
            for tracked in self._tracked.values()
            if not self._is_silent(tracked, now)
        ]
        if not heard:
            return None
        newest = max(heard, key=lambda e: (e.config_version, e.member.id))
        return newest.member, newest.config_version

    def list_reports(self, now: float) -> list[MemberReport]:
        """Lists the last report of every heard member, sorted by id."""
        return [
            MemberReport(
                tracked.member,
                tracked.ready,
                tracked.config_version,
                now - tracked.heard_at,
            )
            for _, tracked in sorted(self._tracked.items())
            if not self._is_silent(tracked, now)
        ]

    def list_peers(self, now: float) -> list[Member]:
        """Lists the members to keep a heartbeat stream to, sorted by id.

        These are all members of the local domain and `remote_peers` members of
        each other domain. Seeds are listed however long they have been silent;
        otherwise, a partition longer than `drop_intervals` would never heal.
        """
        known = {id: tracked.member for id, tracked in self._tracked.items()}
        for seed in self._settings.seeds:
            if seed.id not in known and seed.id != self.local_member.id:
                known[seed.id] = Member(
                    seed.id, seed.domain, seed.peer_address, 0
                )
        peers = []
        for domain in {member.domain for member in known.values()}:
            ids = [id for id, m in known.items() if m.domain == domain]
            if domain != self.local_member.domain:
                ids = self._pick_remote(ids, now)
            peers.extend(known[id] for id in ids)
        return sorted(peers, key=lambda member: member.id)

    def find_member(self, id: str) -> Member | None:
        """Returns a known member, including this process."""
        if id == self.local_member.id:
            return self.local_member
        tracked = self._tracked.get(id)
        return tracked.member if tracked else None

    def is_heard(self, id: str, incarnation: int, now: float) -> bool:
        """Returns whether this incarnation of a member is currently heard."""
        if id == self.local_member.id:
            return incarnation == self.local_member.incarnation
        tracked = self._tracked.get(id)
        return (
            tracked is not None
            and tracked.member.incarnation == incarnation
            and not self._is_silent(tracked, now)
        )

    def review_members(self, now: float) -> None:
        """Drops members that were silent too long and logs state changes."""
        for tracked in list(self._tracked.values()):
            limit = self._settings.membership.drop_intervals
            interval = self.get_interval(tracked.member.domain)
            if now - tracked.known_at > limit * interval:
                del self._tracked[tracked.member.id]
                events.log_event(
                    events.MEMBER_DROPPED,
                    member=tracked.member.id,
                    silent_s=round(now - tracked.known_at, 3),
                )
            else:
                self._log_state_change(tracked, now)

    def get_interval(self, domain: str) -> float:
        """Returns the heartbeat interval to a domain, in seconds."""
        membership = self._settings.membership
        if domain == self.local_member.domain:
            return membership.interval_s
        return membership.remote_interval_s

    def count_states(self, now: float) -> dict[str, int]:
        """Counts the other members by state."""
        counts = {state.value: 0 for state in State}
        for tracked in self._tracked.values():
            counts[self._classify_member(tracked, now).value] += 1
        return counts

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the members with their states as JSON-compatible values.

        At most `DUMP_LIMIT` members and peers are listed.
        """
        return {
            "myself": dataclasses.asdict(self.local_member),
            "sequence": self._sequence,
            "members": [
                self._dump_member(self._tracked[id], now)
                for id in sorted(self._tracked)[:DUMP_LIMIT]
            ],
            "peers": [peer.id for peer in self.list_peers(now)][:DUMP_LIMIT],
        }

    def _register_member(self, member: Member, now: float) -> None:
        """Registers a member or a new incarnation of a known one."""
        if not member.id or member.id == self.local_member.id:
            return
        tracked = self._tracked.get(member.id)
        if tracked is None:
            self._tracked[member.id] = _TrackedMember(member, now, now)
        elif member.incarnation > tracked.member.incarnation:
            # Reports of the previous incarnation do not apply to this one.
            self._tracked[member.id] = _TrackedMember(member, now, now)
            events.log_event(
                events.MEMBER_RESTARTED,
                member=member.id,
                incarnation=member.incarnation,
            )
        elif tracked.heard_at is None:
            tracked.known_at = now

    def _make_load(self, load: messages_pb2.ClassLoad) -> Load:
        share = self._settings.requests.spill_headroom
        grants = math.floor(load.free_slots * share)
        return Load(load.queued, load.free_slots, grants)

    def _is_silent(self, tracked: _TrackedMember, now: float) -> bool:
        if tracked.heard_at is None:
            return True
        limit = self._settings.membership.suspect_intervals
        interval = self.get_interval(tracked.member.domain)
        return now - tracked.heard_at > limit * interval

    def _classify_member(self, tracked: _TrackedMember, now: float) -> State:
        if tracked.heard_at is None:
            return State.UNHEARD
        if self._is_silent(tracked, now):
            return State.SUSPECTED
        if tracked.draining:
            return State.DRAINING
        return State.LIVE if tracked.ready else State.STARTING

    def _log_state_change(self, tracked: _TrackedMember, now: float) -> None:
        state = self._classify_member(tracked, now)
        if state is tracked.logged_state:
            return
        event = events.MEMBER_CHANGED
        if state is State.SUSPECTED:
            event = events.MEMBER_SUSPECTED
        events.log_event(
            event,
            member=tracked.member.id,
            domain=tracked.member.domain,
            before=tracked.logged_state.value,
            after=state.value,
        )
        tracked.logged_state = state

    def _pick_remote(self, ids: list[str], now: float) -> list[str]:
        """Picks peers in another domain, preferring heard and new members."""
        count = self._settings.membership.remote_peers
        preferred = [id for id in ids if self._is_heard_or_new(id, now)]
        picked = rendezvous.rank_members(preferred, self.local_member.id)[
            :count
        ]
        # A different choice of silent members is tried in each drop period.
        period = (
            self._settings.membership.drop_intervals
            * self._settings.membership.remote_interval_s
        )
        key = f"{self.local_member.id}/{int(now / period)}"
        silent = [id for id in ids if id not in preferred]
        picked.extend(rendezvous.rank_members(silent, key))
        return picked[:count]

    def _is_heard_or_new(self, id: str, now: float) -> bool:
        tracked = self._tracked.get(id)
        if tracked is None:
            return False
        limit = self._settings.membership.suspect_intervals
        is_new = now - tracked.known_since <= limit * self.get_interval(
            tracked.member.domain
        )
        return is_new or not self._is_silent(tracked, now)

    def _dump_member(
        self, tracked: _TrackedMember, now: float
    ) -> dict[str, Any]:
        age = None if tracked.heard_at is None else now - tracked.heard_at
        return {
            **dataclasses.asdict(tracked.member),
            "state": self._classify_member(tracked, now).value,
            "silent_s": None if age is None else round(age, 3),
            "config_version": tracked.config_version,
            "load": {
                name: dataclasses.asdict(load)
                for name, load in sorted(tracked.load.items())
            },
        }


def _decode_member(message: messages_pb2.Member) -> Member:
    return Member(
        message.id, message.domain, message.peer_address, message.incarnation
    )


def _encode_member(member: Member) -> messages_pb2.Member:
    return messages_pb2.Member(
        id=member.id,
        domain=member.domain,
        peer_address=member.peer_address,
        incarnation=member.incarnation,
    )
