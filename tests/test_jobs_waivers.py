"""What a successor knows of the leases of owners before it."""

import anyio
import pytest

from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import former_owners
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import orders
from plantainvane.jobs import ownership
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import recovery
from plantainvane.jobs import succession
from plantainvane.platform import ingress
from plantainvane.platform import program
from standins import platform_system
from tests import test_jobs_decisions as decisions
from tests import test_jobs_leases as leasing
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio
machine = leasing.machine
# A long-running task has to run again 6 s after its last run, and is lost if it
# does not for 3 s more.
IDLE_LIMIT_S = 6.0 + 3.0
# The entry of a runner that is gone is removed after three heartbeats.
_ENTRY_EXPIRY_S = 3.3


@pytest.fixture
def anyio_backend():
    return "asyncio"


def read_claim(state, offset, epoch, now):
    """Applies a claim, or its renewal, to what a process knows."""
    claim = ownership.Claim("a", 1, "10.0.0.1:1", epoch)
    state.apply_record(offset, ownership.encode_claim(claim), now)
    state.end_offset = offset + 1


def test_waiver_ends_with_the_next_renewal_of_the_claim():
    # Guards against a second start: an owner whose offer has failed extends
    # leases again, and a successor counts on it that they have expired.
    state = ownership.Ownership()
    read_claim(state, 3, -1, 10.0)
    state.record_waiver(3, 3, 2.5, 11.0)
    assert state.find_waived_end() == 13.5
    read_claim(state, 4, 3, 12.0)
    assert state.find_waived_end() is None


def test_waiver_of_another_owner_or_without_an_offset_is_none():
    # Guards against a wait that is cut short by what an earlier owner has said
    # of its own leases, or by a reply of the last release.
    state = ownership.Ownership()
    read_claim(state, 3, -1, 10.0)
    state.record_waiver(3, -1, 0.0, 11.0)
    assert state.find_waived_end() is None
    state.record_waiver(3, 3, 2.5, 11.0)
    # A later record, by another writer, may hide another claim.
    state.end_offset = 5
    assert state.find_waived_end() is None
    read_claim(state, 5, -1, 12.0)
    assert state.find_waived_end() is None


async def test_owner_that_offers_its_ownership_extends_no_lease(
    machine, monkeypatch
):
    # Guards against a second start: the successor counts on the end of the
    # leases that the owner has told it, and one is extended by a poll or by a
    # start on its way.
    owner = leasing.make_owner(machine)
    owner.recovered = True
    entry = leasing.make_entry(machine.read_clock_ms())
    recovery._apply_entry(owner, "r", entry)
    leasing.charge_running_task(owner, machine)
    owner.health.record_success(0.01, machine.now)
    await leasing.poll_for(owner, machine, 1.0)
    owner.waives_leases = True
    told = leases.find_latest_expiry(owner, machine.now)
    await leasing.poll_for(owner, machine, 2.0)
    assert machine.find_true_expiry() <= told
    decisions.add_job(owner.table, decisions.make_step())
    (task,) = owner.table.ready.values()
    run = owner.table.begin_run(task, "r", machine.now)
    owner.runners["r"].charge(run)
    sent = []

    async def start(order):
        sent.append(order)
        return interfaces.StartReply(interfaces.OrderOutcome.DONE)

    monkeypatch.setattr(machine, "start", start)
    await orders._start_run(owner, run)
    assert not sent and task.name in owner.table.ready


async def test_leases_of_owners_before_are_part_of_what_is_told(machine):
    # Guards against a second start: an owner that has not heard a runner tells
    # its successor only when its own leases there end.
    owner = leasing.make_owner(machine)
    recovery._apply_entry(
        owner, "r", leasing.make_entry(machine.read_clock_ms())
    )
    machine.receives = False
    leasing.charge_running_task(owner, machine)
    limit = owner.started_at + owner.settings.old_lease_limit_s
    for owner.recovered in (True, False):
        assert leases.find_latest_expiry(owner, machine.now) >= limit


async def test_leases_are_extended_again_after_an_offer_that_failed():
    # Guards against leases that lapse because nobody took the ownership, and
    # against extensions before the log has shown that nobody did.
    async with platform_system.run_system(entries=1, runners=1) as system:
        entry = await sessions.start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        owner, runner = entry.owner, system.runners["i-0"]
        system.cut_from_log(entry)
        await succession._offer_ownership(entry, owner, [])
        until_ms = runner.lease_until_ms
        await anyio.sleep(2.5)
        assert owner.waives_leases and runner.lease_until_ms == until_ms
        system.cuts.clear()
        await sessions.wait_until(
            lambda: runner.lease_until_ms > until_ms, limit_s=3.0
        )
        assert not runner.ends


FORMER = ownership.Claim("entry-1", 7, "10.0.0.1:1")
FORMER_EPOCH = 8
# The owner before the former one has ended long ago.
LONG_AGO = float("-inf")


def make_reply(**fields):
    """Returns a reply of the former owner, which has stepped down."""
    known = {
        "instance": "entry-1",
        "incarnation": 7,
        "extends": False,
        "ended_epoch": FORMER_EPOCH,
    }
    return peers_module.Pong(False, 9, 1, 0.0, **(known | fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"extends": True},
        {"ended_epoch": FORMER_EPOCH - 1},
        {"instance": "entry-2"},
        {"instance": ""},
    ],
)
def test_reply_that_rules_out_no_lease_shortens_no_wait(fields):
    # Guards against a second start: the former owner still extends leases, or
    # does not know yet that it has won, or another process replies at its
    # address, or one of the last release.
    reply = make_reply(**fields)
    assert (
        former_owners.find_leases_end(
            FORMER, FORMER_EPOCH, reply, LONG_AGO, decisions.SETTINGS, 50.0
        )
        is None
    )


def test_reply_of_the_former_owner_tells_when_all_leases_end():
    # Guards against a successor that waits for as long as an owner without the
    # log could extend leases.
    reply = make_reply(leases_end_in_s=1.5)
    end = former_owners.find_leases_end(
        FORMER, FORMER_EPOCH, reply, LONG_AGO, decisions.SETTINGS, 50.0
    )
    assert end == 51.5


@pytest.mark.parametrize(("earlier", "expected"), [(LONG_AGO, None), (99, 99)])
def test_reply_of_a_later_process_ends_the_leases_of_the_one_before(
    earlier, expected
):
    # Guards against the same after the former owner has been killed, and
    # against a wait that forgets the owner before that one.
    reply = make_reply(incarnation=8, age_s=2.0)
    end = former_owners.find_leases_end(
        FORMER, FORMER_EPOCH, reply, earlier, decisions.SETTINGS, 50.0
    )
    assert end == (expected or 48.0 + decisions.SETTINGS.lease_limit_s)


@pytest.mark.parametrize("promised", [True, False])
async def test_known_end_shortens_the_wait_for_a_silent_runner(
    machine, promised
):
    # Guards against a wait for the longest time because the successor had
    # promised that before the former owner told the end of its leases.
    owner = leasing.make_owner(machine)
    recovery._apply_entry(
        owner, "r", leasing.make_entry(machine.read_clock_ms())
    )
    run = leasing.charge_running_task(owner, machine)
    machine.receives = False
    if promised:
        await leasing.poll_for(owner, machine, 2.0)
        assert owner.runners["r"].expiry_promised
    owner.limit_earlier_leases(4.0)
    dropped_at = await leasing.find_drop(owner, machine, run)
    # The polls that got no answer may have been carried out.
    assert dropped_at <= 0.2 + leasing.find_bound(0.0)
    assert machine.find_true_expiry() <= dropped_at


def test_known_end_does_not_end_leases_that_this_owner_has_extended(machine):
    # Guards against a second start on a runner that this owner has renewed.
    owner = leasing.make_owner(machine)
    owner.expiries.promise("lost", 40.0, owner.epoch + 1)
    owner.expiries.promise("gone", 40.0, owner.epoch)
    owner.limit_earlier_leases(4.0)
    assert owner.expiries.expires_at == {"lost": 40.0, "gone": 4.0}


async def start_lasting_task(system):
    """Starts one; returns the owner, known to the others, and the runner."""
    owner = await sessions.start_job(
        system, count=1, run_ms=600_000, LongRunning=True
    )
    await anyio.sleep(1.0)
    return owner, next(r for r in system.runners.values() if r.running)


async def restart(system, entry):
    """Starts a later process of an instance, at the same addresses."""
    later = entry_module.make_entry(
        entry.settings, program.make_adapters(entry.settings)
    )
    system.group.start_soon(entry_module.run_components, later, ingress.serve)
    system.entries.append(later)


@pytest.mark.parametrize("how", ["killed", "frozen", "cut_off"])
async def test_tasks_of_a_runner_that_dies_with_the_owner_run_again_in_time(
    how,
):
    # Guards against long-running tasks that stay away for 12 s and more, as no
    # process asks the former owner for the end of its leases.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner, runner = await start_lasting_task(system)
        runner.silent = True
        await anyio.sleep(0.5)
        if how == "killed":
            await system.kill(owner)
        elif how == "frozen":
            system.isolate(owner)
        else:
            system.cut_from_log(owner)

        async def return_later():
            await anyio.sleep(1.0 if how == "killed" else 4.0)
            system.cuts.clear()
            if how == "killed":
                await restart(system, owner)

        system.group.start_soon(return_later)
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=IDLE_LIMIT_S
        )
        assert runner.lease_until_ms < runner.read_clock()


@pytest.mark.parametrize("how", ["killed", "frozen", "cut_off"])
async def test_tasks_run_again_in_time_beside_an_owner_that_is_gone_for_good(
    how,
):
    # Guards against long-running tasks that stay away for 11 s and more, as
    # nobody can tell how far the lost owner has extended its leases.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner, runner = await start_lasting_task(system)
        runner.silent = True

        async def unlist_later():
            await anyio.sleep(_ENTRY_EXPIRY_S)
            platform_system.unlist_runner(system, runner.id)

        system.group.start_soon(unlist_later)
        await anyio.sleep(0.5)
        if how == "killed":
            await system.kill(owner)
        else:
            others = [entry for entry in system.entries if entry is not owner]
            system.cut(owner, list(system.runners), others)
            system.cut_from_log(owner)
            if how == "frozen":
                system.isolate(owner)
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=IDLE_LIMIT_S - 0.5
        )
        assert runner.lease_until_ms < runner.read_clock()


async def test_lease_that_only_the_former_owner_extends_is_waited_for():
    # Guards against a second start: the owner and a runner are cut off from the
    # log and from the others, but not from each other.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner, runner = await start_lasting_task(system)
        others = [entry for entry in system.entries if entry is not owner]
        system.cut(owner, [r for r in system.runners if r != runner.id], others)
        system.cut_from_log(owner)
        for other in others:
            system.cut(other, [runner.id])
        platform_system.unlist_runner(system, runner.id)
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=20.0
        )
        assert runner.lease_until_ms < runner.read_clock()


@pytest.mark.parametrize("leaves", ["before", "after"])
async def test_tasks_of_a_runner_that_leaves_in_a_handover_run_again_in_time(
    leaves,
):
    # Guards against long-running tasks that stay away for 11 s, because a
    # successor waits as if the owner might still extend the leases.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner, runner = await start_lasting_task(system)
        released = owner.owner
        if leaves == "after":
            system.group.start_soon(entry_module.drain, owner)
            await sessions.wait_until(lambda: owner.owner is not released)
        runner.silent = True
        platform_system.unlist_runner(system, runner.id)
        if leaves == "before":
            system.group.start_soon(entry_module.drain, owner)
        system.entries.remove(owner)
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=IDLE_LIMIT_S
        )
        # No lease outlasts the second start.
        assert runner.lease_until_ms < runner.read_clock()
