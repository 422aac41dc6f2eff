"""Sessions with runners and orders to them, without a network."""

import asyncio
import types

import anyio
import msgspec
import pytest

from plantainvane.jobs import interfaces
from plantainvane.jobs import orders
from plantainvane.jobs import sessions
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
# An idle runner may cost this many wake-ups in one idle wait.
IDLE_WAKE_UPS = 5


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_owner(**changes):
    settings = msgspec.structs.replace(decisions.SETTINGS, **changes)
    return types.SimpleNamespace(
        settings=settings, runners={}, table=table_module.JobTable()
    )


def charge_starting_run(owner, runner):
    owner.runners[runner.entry.id] = runner
    decisions.add_job(owner.table, decisions.make_step())
    (task,) = owner.table.ready.values()
    run = owner.table.begin_run(task, runner.entry.id, 0.0)
    runner.charge(run)
    return run


async def test_an_idle_runner_costs_few_wake_ups(monkeypatch):
    # Guards against sessions of idle runners that keep the process busy.
    owner, runner = make_owner(idle_poll_s=0.5), decisions.make_runner()
    selector = asyncio.get_running_loop()._selector
    wake_ups, select = [], selector.select

    def count(timeout=None):
        wake_ups.append(timeout)
        return select(timeout)

    monkeypatch.setattr(selector, "select", count)
    await sessions._wait_for_runs(owner, runner)
    assert len(wake_ups) <= IDLE_WAKE_UPS


async def test_a_started_attempt_ends_the_wait_of_an_idle_runner():
    # Guards against a lease of a new attempt that is first renewed after the
    # whole idle wait.
    owner, runner = make_owner(idle_poll_s=60.0), decisions.make_runner()
    run = charge_starting_run(owner, runner)
    with anyio.fail_after(5.0):
        async with anyio.create_task_group() as group:
            group.start_soon(sessions._wait_for_runs, owner, runner)
            await anyio.wait_all_tasks_blocked()
            orders._apply_start_outcome(
                owner, runner, run, interfaces.OrderOutcome.DONE, 1.0
            )
