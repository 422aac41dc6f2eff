"""Takeovers that load the stored jobs for long, on the stand-ins."""

import contextlib

import anyio
import msgspec
import pytest

from plantainvane.jobs import state as state_module
from plantainvane.jobs import tokens
from standins import platform_system
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio

PROGRESS, EXPIRIES = state_module.PROGRESS_TOPIC, state_module.EXPIRIES_KEY
_LEASE_S = 3.0
_PAGE_S = 1.0
_JOBS = 7


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_loading(promised=False, **fields):
    """Yields a system and its second owner, which loads jobs for 7 s.

    Each job has a task, of the given fields, that an earlier owner started. It
    has promised the expiry of the leases on all runners if `promised`.
    """
    async with platform_system.run_system(
        entries=2, runners=2, lease_s=_LEASE_S
    ) as system:
        owner = await system.wait_owner()
        for number in range(_JOBS):
            body = platform_system.make_job(count=1, **fields)
            job_id = f"{sessions.ID[:-2]}{number:02}"
            await platform_system.call(owner, "POST", job_id, body)
        await sessions.wait_until(lambda: len(system.list_starts()) == _JOBS)
        await anyio.sleep(0.3)
        system.store.page_items = 1
        system.store.page_delays_s = {state_module.JOBS_TOPIC: _PAGE_S}
        if promised:
            left_s = dict.fromkeys(system.runners, _LEASE_S)
            system.store.put(PROGRESS, EXPIRIES, msgspec.json.encode(left_s))
        await system.kill(owner)
        (successor,) = system.entries
        await sessions.wait_until(lambda: successor.owner is not None)
        yield system, successor.owner


async def wait_recovered(owner):
    with anyio.fail_after(_JOBS * _PAGE_S + 5.0):
        await owner.recovery_ended.wait()
    assert owner.recovered


def find_busiest(system):
    return max(system.runners.values(), key=lambda r: len(r.starts))


def count_ends(system, how):
    return sum(
        end[3] == how
        for runner in system.runners.values()
        for end in runner.ends
    )


@pytest.mark.parametrize("promised", [False, True])
async def test_running_tasks_survive_an_owner_that_loads_for_long(promised):
    # Guards against the loss of all that runs, as leases lapse while a weak
    # owner beside a backlog loads the jobs; also on runners that were silent
    # for an earlier owner.
    async with run_loading(promised, run_ms=60_000, LongRunning=True) as (
        system,
        owner,
    ):
        await wait_recovered(owner)
        await anyio.sleep(_LEASE_S)
        for runner in system.runners.values():
            runner.end_due_attempts()
        running = sum(len(r.running) for r in system.runners.values())
        assert (running, count_ends(system, "lapsed")) == (_JOBS, 0)
        assert set(sessions.count_starts(system).values()) == {1}
        for runner in system.runners.values():
            assert runner.token == owner.runners[runner.id].token
            assert tokens.find_epoch(runner.token) == owner.epoch


async def test_ends_during_the_loading_are_not_lost():
    # Guards against an end that is acknowledged before it is stored, so that
    # its task runs a second time.
    async with run_loading(run_ms=3000) as (system, owner):
        await anyio.sleep(4.0)
        assert owner.loading
        assert count_ends(system, "done") == _JOBS
        assert not any(r.last_stored_end for r in owner.runners.values())
        await wait_recovered(owner)
        for number in range(_JOBS):
            job_id = f"{sessions.ID[:-2]}{number:02}"
            await platform_system.wait_state(system, job_id, "completed")
        assert set(sessions.count_starts(system).values()) == {1}
        await sessions.wait_until(
            lambda: all(r.last_stored_end for r in owner.runners.values())
        )


async def test_runner_that_falls_silent_during_the_loading_is_waited_for():
    # Guards against a second start while the lease of the first may hold, and
    # against tasks that wait for good.
    async with run_loading(run_ms=60_000, LongRunning=True) as (system, owner):
        await anyio.sleep(4.0)
        assert owner.loading
        silent = find_busiest(system)
        lost = len(silent.starts)
        silent.silent = True
        await wait_recovered(owner)
        assert len(system.list_starts()) == _JOBS
        await sessions.wait_until(
            lambda: len(system.list_starts()) > _JOBS, limit_s=10.0
        )
        assert silent.read_clock() > silent.lease_until_ms
        # They are suspects, which start one after the other.
        await sessions.wait_until(
            lambda: len(system.list_starts()) == _JOBS + lost, limit_s=20.0
        )
        await anyio.sleep(0.5)
        starts = sessions.count_starts(system)
        assert sorted(starts.values()) == [1] * (_JOBS - lost) + [2] * lost


async def test_runner_that_restarts_during_the_loading_is_used_again():
    # Guards against tasks that count as running after a restart which only the
    # polls of the loading have seen.
    async with run_loading(run_ms=60_000, LongRunning=True) as (system, owner):
        await anyio.sleep(2.0)
        assert owner.loading
        restarted = find_busiest(system)
        lost = len(restarted.starts)
        restarted.restart()
        platform_system.write_entry(system, restarted)
        await anyio.sleep(1.0)
        assert owner.loading
        assert len(system.list_starts()) == _JOBS
        await wait_recovered(owner)
        await sessions.wait_until(
            lambda: len(system.list_starts()) == _JOBS + lost
        )
        await anyio.sleep(0.5)
        starts = sessions.count_starts(system)
        assert sorted(starts.values()) == [1] * (_JOBS - lost) + [2] * lost


async def test_owner_that_is_replaced_while_it_loads_steps_down():
    # Guards against two owners that keep leases alive.
    async with run_loading(run_ms=60_000, LongRunning=True) as (system, owner):
        for runner in system.runners.values():
            runner.token = tokens.make_token(owner.epoch + 1)
        await sessions.wait_until(owner.stepped_down.is_set)
        assert not owner.recovered
