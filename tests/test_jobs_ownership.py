"""Who becomes the owner, and when an owner is replaced."""

import types

import anyio
import msgspec
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import backlog
from plantainvane.jobs import clock
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import load as load_module
from plantainvane.jobs import ownership
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import recovery
from plantainvane.jobs import room
from plantainvane.jobs import standbys
from plantainvane.jobs import succession
from standins import platform_system
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
SETTINGS = decisions.SETTINGS


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_settings(**fields):
    return msgspec.structs.replace(SETTINGS, **fields)


def make_peers(*capacities, pinged_at=10.0, **fields):
    return {
        f"127.0.0.{number}:1": process_module.PeerStatus(
            pinged_at, 1, fields.get("may_own", True), capacity
        )
        for number, capacity in enumerate(capacities)
    }


@pytest.mark.parametrize("ablest", [0.0, 2.15])
def test_weaker_process_claims_later(ablest):
    # Guards against a weak process that claims before an able one does, at the
    # first start and at a failover.
    state = ownership.Ownership(ablest_capacity=ablest)
    waits = [
        ownership.choose_claim_wait(state, make_settings(capacity=capacity))
        for capacity in (2.15, 0.717, 0.516, 0.297, 0.0)
    ]
    assert waits[0] == 0.0
    assert waits == sorted(waits)
    # The next weaker process of the known sites claims after all of the ablest.
    assert waits[1] > SETTINGS.claim_jitter_s
    # A takeover has to leave most of a lease to the successor.
    assert waits[-1] <= 0.6


def test_equal_processes_do_not_wait_for_an_abler_one():
    # Guards against a takeover that is slower for no reason where all
    # processes are alike and weak.
    state = ownership.Ownership()
    claim = ownership.Claim("a", 1, "10.0.0.1:1")
    state.apply_record(3, ownership.encode_claim(claim), 10.0)
    state.record_reply(True, 0.0, 10.1, 0.297)
    settings = make_settings(capacity=0.297)
    assert ownership.choose_claim_wait(state, settings) == 0.0


def test_handover_asks_the_ablest_first():
    # Guards against a planned handover to a process that cannot bear the load.
    peers = make_peers(0.3, 2.15, 0.5, 2.15, 0.3)
    orders = {
        tuple(standbys.list_successors(peers, SETTINGS, 10.5))
        for _ in range(200)
    }
    for order in orders:
        capacities = [peers[address].capacity for address in order]
        assert capacities == [2.15, 2.15, 0.5, 0.3, 0.3]
    # Equals are asked in any order, so that they share the load of failovers.
    assert len(orders) == 4


def test_only_able_peers_that_were_heard_count_as_standbys():
    # Guards against a wait for, or a handover to, an able process that is gone.
    peers = make_peers(2.15, may_own=False)
    assert standbys.find_ablest_capacity(peers, SETTINGS, 10.5) == 0.0
    peers = make_peers(2.15)
    assert standbys.find_ablest_capacity(peers, SETTINGS, 10.5) == 2.15
    assert standbys.find_ablest_capacity(peers, SETTINGS, 12.5) == 0.0
    assert standbys.list_successors(peers, SETTINGS, 12.5) == []


def test_messages_of_earlier_versions_decode():
    # Guards against processes of two versions that take each other for silent.
    ping = msgspec.msgpack.encode(["127.0.0.1:1", 3, 1, True])
    assert msgspec.msgpack.decode(ping, type=peers_module.Ping).may_own
    pong = msgspec.msgpack.encode([True, 3, 1, 0.0])
    assert msgspec.msgpack.decode(pong, type=peers_module.Pong).is_owner


async def add_unequal_entries(system):
    """Adds weak and able standbys; returns the able ones."""
    for number in range(1, 5):
        await platform_system.add_entry(system, number, capacity=0.3)
    able = [
        await platform_system.add_entry(system, number, capacity=2.0)
        for number in (5, 6)
    ]
    with anyio.fail_after(5.0):
        while any(
            e.owner is None and e.ownership.ablest_capacity != 2.0
            for e in system.entries
        ):
            await anyio.sleep(0.01)
    return able


async def test_able_process_takes_over_from_an_owner_that_ends():
    # Guards against an owner that is replaced by whichever process is first.
    async with platform_system.run_system(entries=1, capacity=4.0) as system:
        owner = await system.wait_owner()
        able = await add_unequal_entries(system)
        await system.kill(owner)
        assert await system.wait_owner() in able


async def test_planned_handover_goes_to_an_able_process():
    # Guards against a restart of the owner that leaves the jobs to a weak one.
    async with platform_system.run_system(entries=1, capacity=4.0) as system:
        owner = await system.wait_owner()
        able = await add_unequal_entries(system)
        system.group.start_soon(entry_module.drain, owner)
        with anyio.fail_after(2.0):
            while owner.owner is not None:
                await anyio.sleep(0.01)
        assert await system.wait_owner() in able


def test_only_a_markedly_abler_peer_is_handed_over_to():
    # Guards against handovers back and forth between processes that differ
    # little, and to a peer that is gone.
    weak, able = make_settings(capacity=0.5), make_settings(capacity=2.0)
    peers = make_peers(0.3, 2.0, 0.5)
    assert standbys.find_abler_peer(peers, weak, 10.5) == "127.0.0.1:1"
    assert standbys.find_abler_peer(peers, able, 10.5) == ""
    assert standbys.find_abler_peer(make_peers(0.8), weak, 10.5) == ""
    assert standbys.find_abler_peer(peers, weak, 12.5) == ""
    assert standbys.find_abler_peer({}, weak, 10.5) == ""


async def test_weak_owner_hands_over_to_an_able_process_once():
    # Guards against a weak owner that keeps the jobs while an able process
    # stands by, and against tasks that run twice because of the handover.
    async with platform_system.run_system(entries=1, capacity=0.3) as system:
        weak = await system.wait_owner()
        body = platform_system.make_job(count=2, run_ms=6000)
        await platform_system.call(weak, "POST", "5c0e7a21d94b36f8", body)
        able = await platform_system.add_entry(system, 1, capacity=2.0)
        with anyio.fail_after(3 * SETTINGS.abler_peer_wait_s):
            while system.find_owner() is not able:
                await anyio.sleep(0.01)
        epoch = able.owner.epoch
        await platform_system.wait_state(
            system, "5c0e7a21d94b36f8", "completed"
        )
        assert (able.owner.epoch, weak.owner) == (epoch, None)
        assert len(system.list_starts()) == 2


async def test_hand_over_succeeds_beside_a_renewal(monkeypatch):
    # Guards against a hand-over that fails because the owner renewed its claim
    # after the peer had read the log: the weak owner then keeps the jobs for
    # another 10 s.
    append, delays = succession._append_claim, [0.0]

    async def append_late(entry, claim):
        if claim.epoch < 0 and delays:
            renewed = weak.ownership.offset
            delays.pop()
            while weak.ownership.offset == renewed:
                await anyio.sleep(0.01)
        return await append(entry, claim)

    async with platform_system.run_system(entries=1, capacity=0.3) as system:
        weak = await system.wait_owner()
        able = await platform_system.add_entry(system, 1, capacity=2.0)
        monkeypatch.setattr(succession, "_append_claim", append_late)
        with anyio.fail_after(3 * SETTINGS.abler_peer_wait_s):
            while system.find_owner() is not able:
                await anyio.sleep(0.01)
        assert not delays and weak.owner is None


@pytest.mark.parametrize("late", [True, False])
async def test_weak_owner_that_is_held_up_still_hands_over(monkeypatch, late):
    # Guards against a weak owner that keeps the jobs because it is too busy: at
    # each delay of its own the able peer looked gone for a moment, and the wait
    # began anew. A peer that is gone although the owner is on time is not able.
    find, calls = standbys.find_abler_peer, []

    def lose_at_times(known_peers, settings, now):
        calls.append(now)
        return find(known_peers, settings, now) if len(calls) % 3 else ""

    monkeypatch.setattr(load_module.Load, "is_late", lambda *unused: late)

    async with platform_system.run_system(
        entries=1, capacity=0.3, ping_s=0.1, abler_peer_wait_s=1.0
    ) as system:
        weak = await system.wait_owner()
        monkeypatch.setattr(standbys, "find_abler_peer", lose_at_times)
        able = await platform_system.add_entry(system, 1, capacity=2.0)
        with anyio.move_on_after(4.0):
            while system.find_owner() is not able:
                await anyio.sleep(0.01)
        assert (weak.owner is None) is late


async def test_weak_owner_asks_the_next_able_peer_if_the_ablest_declines(
    monkeypatch,
):
    # Guards against a weak owner that keeps the jobs because the only peer that
    # it asks, each time the same, does not take them.
    answer = succession.answer_hand_over

    async def decline(entry, request):
        if entry.settings.capacity == 4.0:
            return peers_module.HandOverReply()
        return await answer(entry, request)

    monkeypatch.setattr(succession, "answer_hand_over", decline)
    async with platform_system.run_system(
        entries=1, capacity=0.3, abler_peer_wait_s=1.0
    ) as system:
        await system.wait_owner()
        for number, capacity in ((1, 0.4), (2, 4.0), (3, 2.0)):
            able = await platform_system.add_entry(
                system, number, capacity=capacity, abler_peer_wait_s=60.0
            )
        with anyio.fail_after(5.0):
            while system.find_owner() is not able:
                await anyio.sleep(0.01)


async def test_weak_owner_hands_over_while_it_still_recovers(monkeypatch):
    # Guards against cancels without an acknowledgement and tasks that are not
    # stopped for as long as a weak owner takes to load many jobs, although an
    # able process stands by.
    recover, held = recovery.recover, []

    async def recover_slowly(owner):
        if owner.settings.capacity == 0.3:
            held.append(owner)
            await anyio.sleep(60.0)
        await recover(owner)

    monkeypatch.setattr(recovery, "recover", recover_slowly)
    async with platform_system.run_system(
        entries=1, capacity=0.3, abler_peer_wait_s=60.0
    ) as system:
        with anyio.fail_after(5.0):
            while not held:
                await anyio.sleep(0.01)
        able = await platform_system.add_entry(
            system, 1, capacity=2.0, abler_peer_wait_s=60.0
        )
        with anyio.fail_after(4.0):
            while able.owner is None or not able.owner.recovered:
                await anyio.sleep(0.01)
        assert held[0].stepped_down.is_set()
        assert len(held) == 1


@pytest.mark.parametrize("recovered", [True, False])
async def test_the_wait_for_an_abler_peer_is_short_during_a_recovery(
    recovered,
):
    # Guards against a handover that follows a recovery at once, before the peer
    # has proved stable, and one that waits as long during a recovery.
    owner = types.SimpleNamespace(recovered=recovered)
    wait_s = succession.choose_abler_peer_wait(owner, SETTINGS)
    # The peer has pinged more than once.
    assert wait_s > SETTINGS.ping_s
    if recovered:
        assert wait_s == SETTINGS.abler_peer_wait_s
    else:
        # It adds little to a takeover.
        assert wait_s <= 1.0


async def test_capacity_of_standbys_outlives_an_outage_of_the_log():
    # Guards against a weak process that claims as soon as the log is back,
    # although able ones live: none of them can own anything while the log is
    # away, and those that notice it last, the weak ones, counted as the ablest.
    entry = entry_module.make_entry(SETTINGS, types.SimpleNamespace(store=None))
    entry.owner = types.SimpleNamespace(
        epoch=3,
        reach=None,
        backlog=backlog.Backlog(),
        room=room.Room(),
        offers=False,
        shut_out=(),
    )
    state = ownership.Ownership()

    async def ping(address, capacity, may_own=True):
        request = peers_module.Ping(address, 3, -1, may_own, capacity)
        pong = await entry_module._answer_ping(entry, request)
        now = clock.read_now()
        state.record_reply(True, pong.silent_for_s, now, pong.ablest_capacity)

    await ping("127.0.0.1:1", 2.15)
    await ping("127.0.0.2:1", 0.516)
    assert state.ablest_capacity == 2.15
    entry.health.record_failure("status 503", clock.read_now())
    await ping("127.0.0.1:1", 2.15, may_own=False)
    await ping("127.0.0.2:1", 0.516)
    assert state.ablest_capacity == 2.15
    # What has changed meanwhile counts once the log is back.
    entry.health.record_success(0.01, clock.read_now())
    await ping("127.0.0.2:1", 0.516)
    assert state.ablest_capacity == 0.516


async def test_ended_owner_answers_a_ping_that_names_a_later_epoch():
    # Guards against a ping that is answered by an error, after which the peer
    # counts this process as silent: an owner that was suspended closes its
    # connections once its tasks have ended, and starts no more.
    entry = entry_module.make_entry(SETTINGS, types.SimpleNamespace(store=None))
    async with anyio.create_task_group() as group:
        pass
    entry.owner = types.SimpleNamespace(
        epoch=3,
        group=group,
        checks_epoch=False,
        stepped_down=anyio.Event(),
        offers=False,
    )
    entry.owner.stepped_down.set()
    ping = peers_module.Ping("127.0.0.1:1", 4, -1, True, 1.0)
    pong = await entry_module._answer_ping(entry, ping)
    assert not pong.is_owner


class LossyStore:
    """Answers reads with one claim, and no append."""

    def __init__(self, offset, claim):
        record = (offset, ownership.KEY, ownership.encode_claim(claim))
        self.page = interfaces.Page((record,), offset + 1, offset + 1)

    async def append(self, *unused, **unused_too):
        lost = outcomes.CallError(outcomes.CallFailure.LOST, "no answer")
        return result.Err(lost)

    async def list_newest(self, *unused):
        return result.Ok(self.page)


@pytest.mark.parametrize(("newest", "won"), [(5, False), (9, True)])
async def test_claim_without_an_answer_is_not_won_by_an_earlier_claim(
    monkeypatch, newest, won
):
    # Guards against a process that owns the jobs again under its earlier epoch:
    # runners do not reject orders of that epoch that are carried out late, so
    # a task runs twice.
    epochs = []

    async def record_epoch(entry, epoch, ready, *unused):
        epochs.append(epoch)
        ready.set()

    monkeypatch.setattr(succession, "_run_owner", record_epoch)
    entry = entry_module.make_entry(SETTINGS, types.SimpleNamespace(store=None))
    claim = ownership.Claim(SETTINGS.id, entry.incarnation, "127.0.0.1:3")
    entry.adapters.store = LossyStore(newest, claim)
    entry.ownership.apply_record(5, ownership.encode_claim(claim), 10.0)
    async with anyio.create_task_group() as group:
        entry.group = group
        assert await succession._claim(entry, "denied") is won
    assert epochs == ([newest] if won else [])


async def test_renewals_do_not_wait_for_the_loop_that_pings():
    # Guards against a live owner whose renewals are overdue, and which is
    # replaced because it is slow to answer.
    async with platform_system.run_system(entries=1, ping_s=2.5) as system:
        owner = await system.wait_owner()
        seen = set()
        with anyio.fail_after(8.0):
            while len(seen) < 4:
                age_s = clock.read_now() - owner.ownership.renewed_at
                assert age_s < SETTINGS.renew_overdue_s
                seen.add(owner.ownership.offset)
                await anyio.sleep(0.02)


def count_pings(peers, now=10.0):
    """Returns the pings a second that the owner asks of all peers."""
    return sum(
        1 / standbys.choose_ping_interval(peers, address, SETTINGS, now)
        for address in peers
    )


def test_pings_stay_bounded_with_the_number_of_processes():
    # Guards against pings that use up the processor of a weak owner.
    sizes = (12, 20, 30)
    loads = [count_pings(make_peers(*[0.5] * size)) for size in sizes]
    assert max(loads) <= SETTINGS.ping_budget_per_s + 1e-6
    peers = make_peers(*[2.15] * 8, *[0.5] * 33)
    assert count_pings(peers) < 40
    slowest_s = max(
        standbys.choose_ping_interval(peers, address, SETTINGS, 10.0)
        for address in peers
    )
    assert slowest_s <= SETTINGS.owner_wait_s


@pytest.mark.parametrize("capacity", [0.05, 0.069, 0.3])
def test_pings_take_a_weak_owner_a_tenth_of_its_time(capacity):
    # Guards against an owner that has no time to start tasks, as it answers the
    # pings of many standbys.
    settings = msgspec.structs.replace(SETTINGS, capacity=capacity)
    peers = make_peers(*[capacity] * 17)
    pings_per_s = sum(
        1 / standbys.choose_ping_interval(peers, address, settings, 10.0)
        for address in peers
    )
    # Two are fast, and the others find a new owner in time.
    least = 2 / settings.ping_s + 15 / settings.slow_ping_max_s
    assert pings_per_s <= max(
        least + 1e-6,
        capacity * settings.ping_capacity_share / settings.ping_cost_s,
    )


def test_ablest_standbys_ping_often():
    # Guards against a failed owner that is found late because all standbys
    # ping slowly.
    peers = make_peers(*[0.5] * 33, *[2.15] * 7, 4.0)
    fast = [
        peers[address].capacity
        for address in peers
        if standbys.choose_ping_interval(peers, address, SETTINGS, 10.0)
        == SETTINGS.ping_s
    ]
    assert len(fast) == 4 and min(fast) == 2.15 and max(fast) == 4.0
    few = make_peers(*[0.5] * 8)
    assert count_pings(few) == pytest.approx(8 / SETTINGS.ping_s)


def test_process_that_pings_slowly_does_not_suspect_the_owner():
    # Guards against a live owner that looks silent between two slow pings, and
    # against a slow ping after one that was not answered.
    state = ownership.Ownership()
    claim = ownership.Claim("a", 1, "10.0.0.1:1")
    state.apply_record(3, ownership.encode_claim(claim), 10.0)
    state.record_reply(True, 0.0, 10.0, 2.15, 1.4)
    # The jitter lengthens an interval by a fifth at most.
    next_at = 10.0 + 1.2 * 1.4
    assert ownership.choose_ping_interval(state, SETTINGS, 10.0) == 1.4
    assert ownership.find_takeover_reason(state, SETTINGS, next_at) == ""
    assert ownership.choose_ping_interval(state, SETTINGS, next_at) == 0.35
    # It still takes over while a lease of the owner lasts.
    suspect_at = 10.0 + SETTINGS.suspect_after_s + 1.4
    reason = ownership.find_takeover_reason(state, SETTINGS, suspect_at)
    assert reason == "silent"
    # A new owner is not assumed to have asked for slow pings.
    state.apply_record(9, ownership.encode_claim(claim), 20.0)
    assert ownership.choose_ping_interval(state, SETTINGS, 20.0) == 0.35


async def test_slow_standby_finds_the_next_owner_when_it_is_asked():
    # Guards against questions of callers that are answered 503 because the
    # process pings too rarely to know the new owner.
    async with platform_system.run_system(
        entries=3, ping_budget_per_s=0.3, fast_standbys=0, slow_ping_max_s=60
    ) as system:
        owner = await system.wait_owner()
        others = [e for e in system.entries if e is not owner]
        with anyio.fail_after(3.0):
            while any(e.ownership.ping_after_s < 3.0 for e in others):
                await anyio.sleep(0.01)
        system.group.start_soon(entry_module.drain, owner)
        with anyio.fail_after(2.0):
            while owner.owner is not None:
                await anyio.sleep(0.01)
        last = next(e for e in others if e.owner is None)
        body = platform_system.make_job()
        await platform_system.call(last, "POST", "5c0e7a21d94b36f8", body)
        reply = await platform_system.call(last, "GET", "5c0e7a21d94b36f8")
        assert reply.status_code == 200


@pytest.mark.parametrize("epoch", [8, 10**30])
def test_a_claim_above_its_own_offset_is_none(epoch):
    # Guards against a record after which no claim is the highest any more, so
    # that each process that claims steps down and the next one claims.
    claim = ownership.Claim("a", 1, "10.0.0.1:1", epoch)
    state = ownership.Ownership()
    state.apply_record(7, ownership.encode_claim(claim), 1.0)
    assert (state.claim, state.epoch) == (None, -1)


@pytest.mark.parametrize("asked_s", [1e9, float("inf"), float("nan")])
def test_a_long_pause_between_pings_does_not_hide_a_failed_owner(asked_s):
    # Guards against a malformed reply after which the owner is never suspected.
    state = ownership.Ownership(ownership.Claim("a", 1, "10.0.0.1:1"), 1)
    state.record_reply(True, 0.0, 10.0, ping_after_s=asked_s)
    assert ownership.choose_ping_interval(state, SETTINGS, 10.0) < 1.5
    assert ownership.find_takeover_reason(state, SETTINGS, 13.0) == "silent"


def test_a_malformed_capacity_delays_no_claim():
    # Guards against a standby that never claims, since a peer has reported a
    # capacity that is none.
    for ablest in (-1e-9, float("inf"), float("nan")):
        state = ownership.Ownership(ablest_capacity=ablest)
        wait_s = ownership.choose_claim_wait(state, SETTINGS)
        assert 0 <= wait_s <= SETTINGS.claim_wait_max_s
