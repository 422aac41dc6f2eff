"""Tests of plantainvane.claims."""

import types

from plantainvane import claims
from plantainvane import records
from plantainvane import settings as settings_module

MEMBERS = ["entry-1", "entry-2", "entry-3"]


def make_settings(id: str = "entry-1", **fields) -> settings_module.Settings:
    return settings_module.Settings(
        id=id,
        domain="a",
        domains=("a", "b"),
        listen=settings_module.Listen("", "", ""),
        platform=settings_module.Platform("", ""),
        claims=settings_module.Claims(shards=1, **fields),
    )


class Process:
    """One process and its fold of a shared claims stream.

    Each call passes the time, so that processes may read at different times.
    """

    def __init__(self, id: str, stream: list, incarnation: int = 1):
        self.identity = types.SimpleNamespace(id=id, incarnation=incarnation)
        self.claims = claims.Claims(make_settings(id), self.identity)
        self.stream = stream
        self.sequence = 0

    def append(self, kind, shards) -> int:
        self.sequence += 1
        fields = {"ttl_s": 3.0} if kind is records.Claim else {}
        identity = self.identity
        self.stream.append(
            kind(
                writer=identity.id,
                incarnation=identity.incarnation,
                sequence=self.sequence,
                shards=shards,
                **fields,
            )
        )
        return len(self.stream) - 1

    def read(self, now: float, start: int = 0):
        entries = list(enumerate(self.stream))[start:]
        self.claims.apply_records(entries, now)

    def claim(self, now: float, shards=None) -> None:
        proposed = shards or self.claims.propose_claims(MEMBERS, now)
        offset = self.append(records.Claim, proposed)
        self.read(now)
        self.claims.note_append(offset, now)

    def renew(self, now: float) -> None:
        self.claim(now, [records.ShardClaim(0, self.claims.owners[0].epoch)])

    def holds(self, epoch: int, now: float) -> bool:
        return self.claims.holds_shard(0, epoch, now)


def make_pair(incarnation: int = 1) -> tuple[Process, Process]:
    stream: list = []
    holder, rival = Process("entry-1", stream), Process("entry-2", stream)
    holder.claim(100.0, [records.ShardClaim(0, 1)])
    return holder, rival


def test_a_claim_counts_from_before_the_send():
    # Guards against a holder that acts when a rival may already own the shard.
    holder, _ = make_pair()
    assert holder.holds(1, 102.9)
    assert not holder.holds(1, 103.0)


def test_a_claim_counts_only_once_the_own_fold_shows_it_valid():
    # An acknowledged claim is invalid if a rival's claim was stored first.
    stream: list = []
    first, second = Process("entry-1", stream), Process("entry-2", stream)
    for process in (second, first):
        offset = process.append(records.Claim, [records.ShardClaim(0, 1)])
        process.claims.note_append(offset, 100.0)
        assert not process.holds(1, 100.1)
    first.read(100.2)
    second.read(100.2)
    assert not first.holds(1, 100.3)
    assert second.holds(1, 100.3)


def test_a_claim_that_was_read_counts_though_its_reply_is_lost():
    # Guards against losing a shard because one reply of the log was lost.
    holder, _ = make_pair()
    holder.claims.begin_append(101.0)
    holder.append(records.Claim, [records.ShardClaim(0, 1)])
    holder.claims.begin_append(102.0)
    holder.read(102.5)
    # Counted from the first send, because the record may be that one.
    assert holder.holds(1, 103.9)
    assert not holder.holds(1, 104.0)


def test_a_rival_waits_from_its_own_read_of_the_newest_renewal():
    # Guards against two owners, however late the rival read the renewal.
    holder, rival = make_pair()
    rival.read(100.4)
    assert rival.claims.propose_claims(["entry-2"], 103.8) == []
    assert rival.claims.propose_claims(["entry-2"], 103.9) == [
        records.ShardClaim(0, 2, 0)
    ]


def test_a_renewal_that_lands_first_voids_the_takeover():
    # Guards against a takeover from a holder whose renewal was only slow.
    holder, rival = make_pair()
    rival.read(100.0)
    takeover = rival.claims.propose_claims(["entry-2"], 104.0)
    holder.renew(104.0)
    rival.claim(104.1, takeover)
    holder.read(104.1)
    assert holder.holds(1, 104.2)
    assert not rival.holds(2, 104.2)


def test_a_takeover_must_raise_the_epoch_by_one():
    # Guards against a jump of the epoch that would block the next owner.
    holder, rival = make_pair()
    rival.claim(104.0, [records.ShardClaim(0, 3, 0)])
    assert rival.claims.owners[0].epoch == 1


def test_a_holder_that_was_taken_over_stops_at_its_next_read():
    # Guards against a paused holder that renews leases after it resumes.
    holder, rival = make_pair()
    rival.read(100.0)
    rival.claim(104.0)
    assert holder.claims.may_renew_leases(0, 1, 104.0)
    holder.read(104.1)
    assert not holder.claims.may_renew_leases(0, 1, 104.1)
    holder.renew(104.2)
    assert not holder.holds(1, 104.2)


def test_a_restarted_process_does_not_inherit_its_claim():
    # Guards against two incarnations of a process that act in one epoch.
    holder, _ = make_pair()
    restarted = Process("entry-1", holder.stream, incarnation=2)
    restarted.read(100.0)
    restarted.renew(100.5)
    assert not restarted.holds(1, 100.6)
    assert restarted.claims.propose_claims(["entry-1"], 103.4) == []
    assert len(restarted.claims.propose_claims(["entry-1"], 103.6)) == 1


def test_a_released_shard_passes_at_once():
    # Guards against a restart after which tasks wait for the ttl to expire.
    holder, rival = make_pair()
    holder.append(records.Release, [records.ShardClaim(0, 1)])
    holder.read(101.0)
    rival.read(101.0)
    assert not holder.holds(1, 101.0)
    assert rival.claims.propose_claims(["entry-2"], 101.0) != []


def test_members_take_over_in_turn():
    # Guards against a shard without owner while the preferred member cannot
    # reach the log.
    holder, _ = make_pair()
    holder.renew(100.0)
    times = {}
    for id in ("entry-2", "entry-3"):
        process = Process(id, holder.stream)
        process.read(100.0)
        times[id] = next(
            tenth / 100
            for tenth in range(10000, 10600)
            if process.claims.propose_claims(MEMBERS, tenth / 100)
        )
    assert sorted(times.values()) == [103.5, 103.75]


def test_a_reader_of_a_trimmed_stream_learns_the_owner_from_a_renewal():
    # Guards against a new process that starts an old shard again at epoch 1.
    holder, rival = make_pair()
    holder.claim(104.0, [records.ShardClaim(0, 2, 0)])
    holder.renew(105.0)
    rival.read(105.0, start=2)
    assert rival.claims.owners[0].epoch == 2
    assert rival.claims.owners[0].holder == "entry-1"


def test_a_shard_moves_only_after_a_lasting_preference():
    # Guards against shards that move with each member that joins or leaves.
    holder, _ = make_pair()
    names = [f"entry-{n}" for n in range(1, 20)]
    assert holder.claims.propose_handover(names, 100.0) is None
    assert holder.claims.propose_handover(["entry-1"], 110.0) is None
    assert holder.claims.propose_handover(names, 114.0) is None
    assert holder.claims.propose_handover(names, 128.9) is None
    assert holder.claims.propose_handover(names, 129.0) == 0
