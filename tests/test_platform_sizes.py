"""Jobs whose records are as large as the log takes, on the stand-ins."""

import anyio
import pytest

from plantainvane.jobs import checks
from plantainvane.jobs import clock
from plantainvane.jobs import progress
from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_a_job_that_no_record_can_hold_is_refused_for_good():
    # Guards against a caller that is told to come back with a job that the log
    # never takes, and against other jobs that are refused along with it.
    body = {"Steps": [{"Count": 1}] * 6000}
    replies = {}

    async def submit(job_id, job):
        reply = await platform_system.call(
            system.entries[0], "POST", job_id, job
        )
        replies[job_id] = reply.status_code

    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        async with anyio.create_task_group() as group:
            group.start_soon(submit, ID, body)
            for number in range(10, 30):
                group.start_soon(
                    submit, f"{ID[:-2]}{number}", platform_system.make_job()
                )
        assert replies.pop(ID) == 400
        assert set(replies.values()) == {200}


async def test_a_large_job_completes_over_a_takeover(monkeypatch):
    # Guards against progress that outgrows a record: nothing is stored any
    # more, so nothing starts and no end is acknowledged, whoever is the owner.
    monkeypatch.setattr(progress, "TASKS_PER_RECORD", 12, raising=False)
    async with platform_system.run_system(entries=2) as system:
        system.store.max_record_bytes = 2000
        owner = await system.wait_owner()
        body = platform_system.make_job(count=120, run_ms=300)
        await platform_system.call(system.entries[-1], "POST", ID, body)
        with anyio.fail_after(8.0):
            while len(system.list_starts()) < 70:
                await anyio.sleep(0.01)
        await system.kill(owner)
        await platform_system.wait_state(system, ID, "completed", 20.0)
        starts = system.list_starts()
        assert len({task for task, _ in starts}) == len(starts) == 120


async def test_jobs_that_wait_for_room_complete_over_a_takeover(monkeypatch):
    # Guards against jobs that wait for good, or that a successor forgets, as
    # nothing of them is stored but the job.
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 10)
    jobs = [f"{ID[:-1]}{number}" for number in range(4)]
    async with platform_system.run_system(entries=2) as system:
        owner = await system.wait_owner()
        # As if the owner had not reported yet that it has no room.
        system.entries[-1].intake.find_room = lambda: None
        body = platform_system.make_job(count=6, run_ms=1000)
        for job_id in jobs:
            await platform_system.call(system.entries[-1], "POST", job_id, body)
        with anyio.fail_after(8.0):
            while len(owner.owner.table.deferred) < 3:
                await anyio.sleep(0.01)
        await system.kill(owner)
        for job_id in jobs:
            await platform_system.wait_state(system, job_id, "completed", 20.0)
        starts = system.list_starts()
        assert len({task for task, _ in starts}) == len(starts) == 24


async def test_a_job_that_the_owner_cannot_hold_is_refused(monkeypatch):
    # Guards against a job that is accepted and left, as nothing of it can start
    # until others have ended.
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 12)
    monkeypatch.setattr(checks, "MAX_TASKS", 6)
    first, second, third = (f"{ID[:-1]}{number}" for number in range(3))
    async with platform_system.run_system(entries=2) as system:
        owner = await system.wait_owner()
        standby = next(e for e in system.entries if e is not owner)
        body = platform_system.make_job(count=6, run_ms=3000)
        with anyio.fail_after(8.0):
            while any(e.intake.find_room() is None for e in system.entries):
                await anyio.sleep(0.01)
        reply = await platform_system.call(standby, "POST", first, body)
        assert reply.status_code == 200
        for entry, job_id in ((standby, second), (owner, third)):
            with anyio.fail_after(8.0):
                while entry.intake.find_room().free_tasks:
                    await anyio.sleep(0.01)
            reply = await platform_system.call(entry, "POST", job_id, body)
            assert reply.status_code == 503
            assert int(reply.headers["retry-after"]) >= 1
            reply = await platform_system.call(standby, "GET", job_id)
            assert reply.status_code == 410
        # A repeated submission of what was accepted is not refused.
        reply = await platform_system.call(standby, "POST", first, body)
        assert reply.status_code == 200
        await platform_system.wait_state(system, first, "completed", 20.0)
        with anyio.fail_after(8.0):
            while not standby.intake.find_room().free_tasks:
                await anyio.sleep(0.01)
        reply = await platform_system.call(standby, "POST", second, body)
        assert reply.status_code == 200
        await platform_system.wait_state(system, second, "completed", 20.0)
        starts = system.list_starts()
        assert {task.partition(".")[0] for task, _ in starts} == {first, second}
        assert len(starts) == 12


async def test_jobs_of_many_occurrences_leave_room_for_others():
    # Guards against jobs that are accepted and of which nothing starts, as the
    # occurrences of the next days of six jobs fill what an owner holds.
    async with platform_system.run_system(entries=2) as system:
        await system.wait_owner()
        entry = system.entries[-1]
        body = platform_system.make_job(count=1) | {
            "RepeatCount": 20_000,
            "StartAtMs": clock.read_wall_ms(),
            "IntervalMs": 60_000,
        }
        for number in range(6):
            job_id = f"{ID[:-1]}{number}"
            reply = await platform_system.call(
                entry, "POST", job_id, body, 9000
            )
            assert reply.status_code == 200
        later = f"{ID[:-1]}a"
        reply = await platform_system.call(
            entry, "POST", later, platform_system.make_job(run_ms=100)
        )
        assert reply.status_code == 200
        await platform_system.wait_state(system, later, "completed", 9.0)
