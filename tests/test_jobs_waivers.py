"""What a successor knows of the leases of owners before it."""

import anyio
import pytest

from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import orders
from plantainvane.jobs import ownership
from plantainvane.jobs import recovery
from plantainvane.jobs import succession
from standins import platform_system
from tests import test_jobs_decisions as decisions
from tests import test_jobs_leases as leasing
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio
machine = leasing.machine
# A long-running task has to run again 6 s after its last run, and is lost if it
# does not for 3 s more.
IDLE_LIMIT_S = 6.0 + 3.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def read_claim(state, offset, epoch, now):
    """Applies a claim, or its renewal, to what a process knows."""
    claim = ownership.Claim("a", 1, "10.0.0.1:1", epoch)
    state.apply_record(offset, ownership.encode_claim(claim), now)


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
        return interfaces.OrderOutcome.DONE

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


@pytest.mark.parametrize("leaves", ["before", "after"])
async def test_tasks_of_a_runner_that_leaves_in_a_handover_run_again_in_time(
    leaves,
):
    # Guards against long-running tasks that stay away for 11 s, because a
    # successor waits as if the owner might still extend the leases.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner = await sessions.start_job(
            system, count=1, run_ms=600_000, LongRunning=True
        )
        # The others have pinged the owner.
        await anyio.sleep(1.0)
        runner = next(r for r in system.runners.values() if r.running)
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
