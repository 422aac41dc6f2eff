"""Cancels while runners and processes are in trouble, on the stand-ins.

More seeds: `python -m tests.test_platform_cancels FIRST LAST`.
"""

import contextlib
import dataclasses
import random
import sys
import time

import anyio
import pytest

from plantainvane.jobs import scheduling
from standins import platform_system
from tests import test_platform_sessions as platform

pytestmark = pytest.mark.anyio
RUNNERS = 5
JOBS = 5
TROUBLE_S = 2.5
TROUBLEMAKERS = 5
MAX_PAUSE_S = 0.8
# A task has to be gone this long after its cancel, or after the trouble that
# kept it: 3 s, and 0.4 s that the platform allows a stop.
GONE_LIMIT_S = 3.4
# On top of it, after a process was killed: another takes over.
TAKEOVER_LIMIT_S = 4.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclasses.dataclass(slots=True)
class World:
    """A deployment in trouble, and when its cancels were acknowledged."""

    system: platform_system.System
    choices: random.Random
    cancelled: dict[str, float] = dataclasses.field(default_factory=dict)
    log: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    max_kills: int = 0
    kills: int = 0

    def pause(self):
        return anyio.sleep(self.choices.uniform(0.05, MAX_PAUSE_S))

    def list_cancelled(self):
        """Returns what runs of the jobs whose cancel was acknowledged."""
        left = []
        for key, state in self.system.runners.items():
            state.end_due_attempts()
            left += [
                (key, task)
                for task in state.running
                if task.partition(".")[0] in self.cancelled
            ]
        return left


async def fall_silent(world, state):
    state.silent = True
    await world.pause()
    state.silent = False


async def ignore_orders(world, state):
    state.ignores_orders = True
    await world.pause()
    await world.pause()
    state.ignores_orders = False


async def answer_late(world, state):
    state.answer_delay_s = world.choices.uniform(0.05, 0.6)
    await world.pause()
    state.answer_delay_s = 0.0


async def leave_list(world, state):
    platform_system.unlist_runner(world.system, state.id)
    await world.pause()
    platform_system.write_entry(world.system, state)


async def restart(world, state):
    state.restart()
    await world.pause()
    platform_system.write_entry(world.system, state)


async def move(world, state):
    await platform_system.move_runner(world.system, state.id)


async def start_late(world, state):
    state.delayed_starts = [world.choices.uniform(0.1, 2.0)]


async def lose_process(world, unused):
    entry = world.system.find_owner()
    if entry is not None and world.kills < world.max_kills:
        world.kills += 1
        await world.system.kill(entry)


TROUBLES = (
    fall_silent,
    ignore_orders,
    answer_late,
    leave_list,
    restart,
    move,
    start_late,
    lose_process,
)


async def make_trouble(world, until):
    while time.monotonic() < until:
        trouble = world.choices.choice(TROUBLES)
        state = world.choices.choice(list(world.system.runners.values()))
        world.log.append((trouble.__name__, state.id))
        await trouble(world, state)
        await anyio.sleep(world.choices.uniform(0.0, 0.2))


async def cancel(world, job_id):
    """Cancels a job at some time, again until that is acknowledged."""
    await anyio.sleep(world.choices.uniform(0.0, TROUBLE_S))
    while True:
        entry = world.choices.choice(world.system.entries)
        try:
            reply = await platform_system.call(entry, "DELETE", job_id)
        except platform_system.httpx.HTTPError:
            # The process was killed.
            await anyio.sleep(0.05)
            continue
        if reply.status_code == 200:
            world.cancelled[job_id] = time.monotonic()
            return
        await anyio.sleep(0.05)


async def submit_jobs(system, choices):
    jobs = [f"{choices.getrandbits(64):016x}" for _ in range(JOBS)]
    for number, job_id in enumerate(jobs):
        body = platform_system.make_job(
            count=choices.randint(1, 8),
            run_ms=60_000,
            LongRunning=bool(number % 2),
        )
        reply = await platform_system.call(
            system.entries[0], "POST", job_id, body
        )
        assert reply.status_code == 200
    return jobs


@contextlib.contextmanager
def prolong_passes(longest_s):
    """Lets each scheduling pass go on in slices after its work."""
    run_pass = scheduling.run_pass

    def run_longer(owner, current):
        yield from run_pass(owner, current)
        until = time.monotonic() + longest_s
        while time.monotonic() < until:
            time.sleep(0.001)
            yield

    scheduling.run_pass = run_longer
    try:
        yield
    finally:
        scheduling.run_pass = run_pass


async def wait_gone(world, limit_s):
    """Waits until nothing cancelled runs; returns what does, or does again."""
    with anyio.move_on_after(limit_s):
        while world.list_cancelled():
            await anyio.sleep(0.02)
    left = world.list_cancelled()
    await anyio.sleep(0.3)
    return left + world.list_cancelled()


async def run_cancels(seed):
    """Runs one session; returns what still ran, and what was done to it."""
    choices = random.Random(seed)
    async with platform_system.run_system(entries=3, runners=RUNNERS) as system:
        await system.wait_owner()
        world = World(system, choices, max_kills=choices.randrange(2))
        jobs = await submit_jobs(system, choices)
        await platform.wait_until(
            lambda: (
                {t.partition(".")[0] for t, _ in system.list_starts()}
                == set(jobs)
            )
        )
        # The passes are no trouble: they go on when it has ended.
        with prolong_passes(choices.choice((0.0, 0.5, 60.0, 60.0))):
            until = time.monotonic() + TROUBLE_S
            async with anyio.create_task_group() as group:
                for _ in range(TROUBLEMAKERS):
                    group.start_soon(make_trouble, world, until)
                for job_id in jobs[:-1]:
                    group.start_soon(cancel, world, job_id)
            assert len(world.cancelled) == JOBS - 1
            limit_s = GONE_LIMIT_S + TAKEOVER_LIMIT_S * world.kills
            return await wait_gone(world, limit_s), world.log


# Seeds that failed before the stops were ordered during passes.
@pytest.mark.parametrize("seed", [2, 7])
async def test_no_task_of_a_cancelled_job_outlives_the_trouble(seed):
    # Guards against tasks of cancelled jobs that run on after runners fell
    # silent, left the list, restarted, moved, answered late or answered no
    # orders, and after a process was killed.
    left, log = await run_cancels(seed)
    assert left == [], log


async def test_cancel_that_is_not_stored_stops_nothing():
    # Guards against an owner that stops the tasks of a job and is lost before
    # it has stored the cancel, so that the next owner starts them again.
    async with platform_system.run_system(entries=2, runners=2) as system:
        owner = await system.wait_owner()
        (other,) = [entry for entry in system.entries if entry is not owner]
        job_id = "5c0e7a21d94b36f8"
        body = platform_system.make_job(count=4, run_ms=60_000)
        await platform_system.call(owner, "POST", job_id, body)
        await platform.wait_until(lambda: len(system.list_starts()) == 4)
        system.cut_from_log(owner)
        refused = await platform_system.call(owner, "DELETE", job_id)
        assert refused.status_code == 503
        await platform.wait_until(lambda: system.find_owner() is other)
        await anyio.sleep(1.0)
        assert len(system.list_starts()) == 4
        world = World(system, random.Random(0), {job_id: 0.0})
        assert len(world.list_cancelled()) == 4
        reply = await platform_system.call(other, "DELETE", job_id)
        assert reply.status_code == 200
        assert await wait_gone(world, GONE_LIMIT_S) == []


def run_seeds(first, last):
    """Runs sessions one after the other and prints those that failed."""
    for seed in range(first, last + 1):
        started = time.monotonic()
        left, log = anyio.run(run_cancels, seed)
        took_s = round(time.monotonic() - started, 1)
        print(seed, took_s, left or "ok", log if left else "", flush=True)


if __name__ == "__main__":
    run_seeds(int(sys.argv[1]), int(sys.argv[2]))
