"""Whole sessions with runners that shrink and grow, on the stand-ins.

The runners record every start that brings them over the capacity that counts.
"""

import collections
import time

import anyio
import pytest

from standins import platform_runner
from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"
# A smaller capacity counts after 3 s and more on the platform.
NOTICE_S = 1.5


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_until(condition, limit_s=8.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


async def add_small_runners(system, count, shrink_notice_s=NOTICE_S, **fields):
    for number in range(count):
        await platform_system.add_runner(
            system,
            f"i-{number}",
            cpu=2000,
            memory_mb=1000,
            shrink_notice_s=shrink_notice_s,
            **fields,
        )


async def submit(system, job_id=ID, **fields):
    body = platform_system.make_job(measured=True, **fields)
    reply = await platform_system.call(system.entries[-1], "POST", job_id, body)
    assert reply.status_code == 200


def list_overruns(system):
    return [o for r in system.runners.values() for o in r.overruns]


async def test_no_start_exceeds_a_capacity_that_shrinks_and_grows():
    # Guards against starts on runners that guard nothing and have shrunk, also
    # by a successor that takes over meanwhile, and against runners that are
    # not used again after they have grown back.
    async with platform_system.run_system(entries=3, runners=0) as system:
        platform_system.write_configuration(
            system.store, 2, preconditions=False
        )
        await add_small_runners(system, 2, stop_grace_s=0.4)
        owner = await system.wait_owner()
        await submit(system, count=60, run_ms=300)
        await submit(system, OTHER_ID, count=30, run_ms=60_000)
        await wait_until(lambda: len(system.list_starts()) > 12)
        platform_system.change_capacity(system, "i-0", cpu=500)
        platform_system.change_capacity(system, "i-1", memory_mb=300)
        await anyio.sleep(0.3)
        await system.kill(owner)
        await platform_system.call(system.entries[-1], "DELETE", OTHER_ID)
        await anyio.sleep(NOTICE_S)
        peaks = [r.sum_needs() for r in system.runners.values()]
        platform_system.change_capacity(system, "i-0", cpu=2000)
        platform_system.change_capacity(system, "i-1", memory_mb=1000)
        before = len(system.runners["i-0"].starts)
        await platform_system.wait_state(system, ID, "completed", 30.0)
        assert list_overruns(system) == []
        assert peaks[0].cpu <= 500 and peaks[1].memory_mb <= 300
        assert len(system.runners["i-0"].starts) > before
        counts = collections.Counter(
            task for task, _ in system.list_starts() if ID in task
        )
        assert set(counts.values()) == {1}


async def test_no_start_is_sent_for_a_capacity_that_shrank_meanwhile():
    # Guards against attempts that are placed, wait for a slow log to store
    # them, and are ordered although their runner has shrunk in that time.
    async with platform_system.run_system(entries=1, runners=0) as system:
        await add_small_runners(system, 1, shrink_notice_s=0.8)
        await system.wait_owner()
        await submit(system, count=30, run_ms=150)
        await wait_until(lambda: len(system.list_starts()) >= 4)
        system.store.append_delay_s = 0.55
        for cpu in (500, 2000, 500):
            await anyio.sleep(0.2)
            platform_system.change_capacity(system, "i-0", cpu=cpu)
            await anyio.sleep(2.2)
        system.store.append_delay_s = 0.0
        platform_system.change_capacity(system, "i-0", cpu=2000)
        await platform_system.wait_state(system, ID, "completed", 30.0)
        assert list_overruns(system) == []


async def test_an_attempt_of_an_unknown_order_counts_until_it_has_ended():
    # Guards against starts beside an attempt that is being stopped and is
    # charged to nobody.
    async with platform_system.run_system(entries=1, runners=0) as system:
        await add_small_runners(system, 1, stop_grace_s=1.0)
        runner = system.runners["i-0"]
        needs = platform_runner.Amounts(1800, 100)
        runner.running["unknown.0.0.0"] = platform_runner.Attempt(
            "unknown.0.0.0",
            1,
            time.monotonic() + 60,
            60,
            False,
            "",
            needs=needs,
        )
        runner.lease_until_ms = runner.read_clock() + 5000
        await system.wait_owner()
        await submit(system, count=4, run_ms=100)
        await platform_system.wait_state(system, ID, "completed")
        assert runner.overruns == []


async def test_what_is_being_stopped_counts_until_its_end_is_listed():
    # Guards against starts in place of attempts whose stop takes its time.
    async with platform_system.run_system(entries=1, runners=0) as system:
        await add_small_runners(system, 2, stop_grace_s=0.8)
        await system.wait_owner()
        await submit(system, OTHER_ID, count=8, run_ms=60_000)
        await wait_until(lambda: len(system.list_starts()) == 8)
        await submit(system, count=8, run_ms=100)
        await platform_system.call(system.entries[0], "DELETE", OTHER_ID)
        await platform_system.wait_state(system, ID, "completed")
        assert list_overruns(system) == []


async def test_a_runner_that_guards_its_capacity_is_not_asked_in_vain():
    # Guards against starts that a shrunk runner rejects again and again, which
    # are priced.
    async with platform_system.run_system(entries=1, runners=0) as system:
        await add_small_runners(system, 2, guards=True)
        await system.wait_owner()
        await submit(system, count=40, run_ms=200)
        await wait_until(lambda: len(system.list_starts()) >= 8)
        platform_system.change_capacity(system, "i-0", cpu=0)
        await platform_system.wait_state(system, ID, "completed", 20.0)
        # One list of runners may be out of date by 0.4 s, and a rejection is
        # followed by a pause of 0.25 s; each pass may place four tasks.
        assert system.runners["i-0"].rejected <= 8
