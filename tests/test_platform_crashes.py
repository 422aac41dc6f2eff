"""Sessions with tasks that crash each runner that starts them."""

import anyio
import pytest

from standins import platform_system
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio
# Starts that a task which crashes its runners may get (BUDGET).
MAX_STARTS = 5
DEADLY = f"{sessions.ID}.0.0.0"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def submit(system, job_id, **fields):
    body = platform_system.make_job(**fields)
    reply = await platform_system.call(
        system.entries[0], "POST", job_id, body, deadline_ms=4000
    )
    assert reply.status_code == 200


def count_deadly_starts(system):
    return sessions.count_starts(system)[DEADLY]


@pytest.mark.parametrize("renames", [True, False])
async def test_task_that_crashes_its_runners_is_given_up(renames):
    # Guards against a task that is started without end on one runner after
    # another, and against the loss of jobs that had started beside it.
    async with platform_system.run_system(
        entries=1, runners=4, lease_s=1.5
    ) as system:
        platform_system.revive_after_crashes(system, renames=renames)
        await system.wait_owner()
        await submit(
            system,
            sessions.OTHER_ID,
            count=6,
            run_ms=60_000,
            LongRunning=True,
            EstimateMs=0,
        )
        await sessions.wait_until(lambda: len(system.list_starts()) == 6)
        await submit(
            system, sessions.ID, count=8, run_ms=8000, crashes=["0.0.0"]
        )
        await platform_system.wait_state(system, sessions.ID, "failed", 20.0)
        assert 2 <= count_deadly_starts(system) <= 3
        runners = system.runners.values()
        await sessions.wait_until(
            lambda: (
                not any(
                    task.startswith(sessions.ID)
                    for r in runners
                    for task in r.running
                )
            )
        )
        starts = len(
            [t for t, _ in system.list_starts() if t.startswith(sessions.ID)]
        )
        await sessions.wait_until(
            lambda: sum(len(r.running) for r in runners) == 6
        )
        await anyio.sleep(1.0)
        assert starts == len(
            [t for t, _ in system.list_starts() if t.startswith(sessions.ID)]
        )
        reply = await platform_system.call(
            system.entries[0], "GET", sessions.OTHER_ID
        )
        assert reply.json() == {"State": "running"}


@pytest.mark.parametrize("renames", [True, False])
@pytest.mark.parametrize("lost", ["owner", "all"])
async def test_crashes_count_after_the_owner_is_lost(lost, renames):
    # Guards against a count that begins anew with each owner: each crash takes
    # the owner, or all processes, and the runner is back before the next owner
    # has looked.
    async with platform_system.run_system(
        entries=3, runners=4, lease_s=1.5
    ) as system:
        platform_system.revive_after_crashes(
            system, down_s=0.1, renames=renames
        )
        await system.wait_owner()
        await submit(
            system, sessions.ID, count=2, run_ms=60_000, crashes=["0.0.0"]
        )
        number = 10
        for crashes in (1, 2):
            await sessions.wait_until(
                lambda crashes=crashes: count_deadly_starts(system) >= crashes,
                limit_s=20.0,
            )
            owner = await system.wait_owner()
            for entry in [owner] if lost == "owner" else list(system.entries):
                await system.kill(entry)
                number += 1
                await platform_system.add_entry(system, number, lease_s=1.5)
        await platform_system.wait_state(system, sessions.ID, "failed", 40.0)
        assert 2 <= count_deadly_starts(system) <= MAX_STARTS


async def test_tasks_do_not_wait_for_the_leases_of_a_runner_that_was_replaced():
    # Guards against services that wait for leases on a runner although another
    # life of its machine already answers at its address.
    async with platform_system.run_system(entries=1, runners=1) as system:
        platform_system.revive_after_crashes(system)
        await sessions.start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        system.runners["i-0"].crash()
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2,
            limit_s=sessions.IDLE_LIMIT_S,
        )


async def test_successor_does_not_wait_for_leases_of_a_replaced_runner():
    # Guards against services that wait 11 s after a takeover for the leases of
    # an unlisted runner, although another one answers at its address.
    async with platform_system.run_system(entries=2, runners=1) as system:
        platform_system.revive_after_crashes(system, down_s=0.1)
        owner = await sessions.start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        await system.kill(owner)
        system.runners["i-0"].crash()
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2,
            limit_s=sessions.TAKEOVER_LIMIT_S + sessions.IDLE_LIMIT_S,
        )


async def test_attempts_of_a_runner_whose_address_answers_for_it_are_kept():
    # Guards against a second copy of a task: an entry that names the address of
    # a runner which is out of reach proves nothing until it answers.
    async with platform_system.run_system(entries=1, runners=2) as system:
        owner = await sessions.start_job(system, count=1, run_ms=60_000)
        first = next(r for r in system.runners.values() if r.starts)
        first.silent = True
        await sessions.wait_until(lambda: owner.owner.runners[first.id].silent)
        entry = first.make_entry(
            first.address, platform_system.SERVICE, "ready"
        )
        system.store.put("keyed.servers", "i-8", entry)
        await anyio.sleep(1.5)
        assert "i-8" in owner.owner.runners
        assert len(system.list_starts()) == 1


async def test_gang_that_no_runner_survives_is_given_up():
    # Guards against a gang that is started without end.
    async with platform_system.run_system(
        entries=1, runners=4, lease_s=1.5
    ) as system:
        platform_system.revive_after_crashes(system)
        await system.wait_owner()
        await submit(
            system,
            sessions.ID,
            count=2,
            Gang=True,
            run_ms=8000,
            crashes=[".0", ".1"],
        )
        await platform_system.wait_state(system, sessions.ID, "failed", 30.0)
        assert count_deadly_starts(system) <= MAX_STARTS


async def test_runner_that_was_cut_off_counts_as_no_crash():
    # Guards against a task that is blamed for the silence of a runner that is
    # back in its earlier incarnation.
    async with platform_system.run_system(
        entries=1, runners=2, lease_s=1.5
    ) as system:
        owner = await sessions.start_job(system, count=1, run_ms=60_000)
        first = next(r for r in system.runners.values() if r.starts)
        first.silent = True
        await sessions.wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=8.0
        )
        (task,) = owner.owner.table.tasks.values()
        assert [crash.confirmed for crash in task.crashes] == [False]
        first.silent = False
        await sessions.wait_until(lambda: not task.crashes)
