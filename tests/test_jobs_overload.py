"""The owner under load: a large deployment with more work than room."""

import gc
import time

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import recovery
from plantainvane.jobs import state as state_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling_tests

_RUNNERS = 246
_WAITING_JOBS = 400
# Ended jobs are kept for minutes, at some 20 submissions a second.
_STORED_JOBS = 2_000
_SERVING_IMAGES = 5
_FILL_IMAGES = 10
# The weakest processes have this share of a core, and a ping has to be
# answered within `ping_timeout_s`.
_LEAST_CORES = 0.297
_TURN_LIMIT_S = decisions.SETTINGS.ping_timeout_s * _LEAST_CORES / 2

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_busy_runner(number, table):
    """Returns a runner that is nearly full of measured serving tasks."""
    runner = decisions.make_runner(f"r{number}", rack=f"rack{number // 8}")
    image = f"serving{number % _SERVING_IMAGES}"
    serving = decisions.make_step(
        cpu=3_500, count=4, long_running=True, target_ms=100, image=image
    )
    fill = decisions.make_step(
        cpu=1_800, fills=True, image=f"fill{number % _FILL_IMAGES}"
    )
    for run in decisions.place_runs(
        runner, table, serving, fill, job_id=f"running{number}"
    ):
        run.phase = attempts.Phase.RUNNING
        run.progress_percent = 100.0
        run.measurement = (
            1_800.0 if run.task.step.definition.fills else 40 + number % 50
        )
    return runner


def make_loaded_owner():
    owner = scheduling_tests.make_owner()
    for number in range(_RUNNERS):
        runner = make_busy_runner(number, owner.table)
        owner.runners[runner.entry.id] = runner
        owner.interference_model.learn(runner, 1.0)
    for number in range(_WAITING_JOBS):
        step = decisions.make_step(
            cpu=1_800 + number % 7,
            count=20,
            fills=number % 2 == 0,
            image=f"fill{number % _FILL_IMAGES}",
        )
        decisions.add_job(owner.table, step, job_id=f"waiting{number}")
    return owner


@pytest.fixture(autouse=True)
def exclude_other_tests():
    """Keeps the garbage collector from scanning what other tests left."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


async def measure_longest_turn(function, *arguments):
    """Returns the longest processor time that `function` takes in one turn."""
    longest_s = 0.0
    done = anyio.Event()

    async def run():
        await function(*arguments)
        done.set()

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        ends_at = time.monotonic() + 2.0
        while time.monotonic() < ends_at and not done.is_set():
            started = time.thread_time()
            await anyio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - started)
        group.cancel_scope.cancel()
    return longest_s


class FakeLog:
    """A log with accepted jobs, no progress and no runners."""

    def __init__(self, jobs):
        self.jobs = jobs

    async def list_newest(self, topic, timeout_s):
        records = self.jobs if topic == state_module.JOBS_TOPIC else ()
        return result.Ok(interfaces.Page(tuple(records), len(records), 0))


async def test_recovery_lets_other_tasks_run_while_it_loads_many_jobs():
    # Guards against a new owner that answers no ping while it loads the jobs,
    # so that the next process replaces it.
    job = model.Job(
        id="",
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=(decisions.make_step(count=40),),
    )
    records = [
        (
            number,
            f"j{number}",
            msgspec.json.encode(msgspec.structs.replace(job, id=f"j{number}")),
        )
        for number in range(_STORED_JOBS)
    ]
    owner = scheduling_tests.make_owner()
    owner.adapters = interfaces.Adapters(
        FakeLog(records), None, None, None, None, "", "", "runners"
    )
    longest_s = await measure_longest_turn(recovery.recover, owner)
    assert len(owner.table.jobs) == _STORED_JOBS
    assert longest_s < _TURN_LIMIT_S


async def test_scheduling_lets_other_tasks_run_on_a_large_deployment():
    # Guards against a pass that renews no lease and answers no ping until it
    # ends: leases expire and a process that is no faster takes over.
    owner = make_loaded_owner()
    longest_s = await measure_longest_turn(owner_module._schedule, owner)
    assert scheduling_tests.list_placed(owner)
    assert longest_s < _TURN_LIMIT_S
