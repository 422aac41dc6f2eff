"""The owner under load: a large deployment with more work than room."""

import time

import anyio
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import owner as owner_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling_tests

_RUNNERS = 246
_WAITING_JOBS = 400
_SERVING_IMAGES = 5
_FILL_IMAGES = 10
# The weakest processes have this share of a core, and a ping has to be
# answered within `ping_timeout_s`.
_LEAST_CORES = 0.297

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


async def test_scheduling_lets_other_tasks_run_on_a_large_deployment():
    # Guards against a pass that renews no lease and answers no ping until it
    # ends: leases expire and a process that is no faster takes over.
    owner = make_loaded_owner()
    longest_s = 0.0
    async with anyio.create_task_group() as group:
        group.start_soon(owner_module._schedule, owner)
        ends_at = time.monotonic() + 2.0
        while time.monotonic() < ends_at:
            started = time.thread_time()
            await anyio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - started)
        group.cancel_scope.cancel()
    assert scheduling_tests.list_placed(owner)
    limit_s = decisions.SETTINGS.ping_timeout_s * _LEAST_CORES / 2
    assert longest_s < limit_s
