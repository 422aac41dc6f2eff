"""Leases that calls to another life have left, as stored and as believed."""

import types

import msgspec
import pytest

from plantainvane.jobs import recovery
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling
from tests import test_jobs_sessions as sessions_tests


def start_in_found_life(found_at):
    """Returns an owner, a new life that it has found, and a run there."""
    owner, runner, _ = sessions_tests.make_found_life(found_at)
    owner.adapters = types.SimpleNamespace(
        decode_runner=lambda key, value: value
    )
    state = decisions.add_job(owner.table, decisions.make_step(), job_id="new")
    (task,) = state.steps[0, 0].tasks
    current = scheduling.scheduling.Pass(found_at)
    run = scheduling.scheduling._begin_run(owner, task, runner, current)
    run.sent_at = found_at
    return owner, runner, run


def find_stored_end(run):
    """Returns until when a successor waits for an attempt."""
    return run.ordered_at + run.longest_lease_s


@pytest.mark.parametrize("settled", [True, False])
@pytest.mark.parametrize("refuted", [True, False])
def test_entry_of_an_earlier_life_keeps_the_stored_lease(settled, refuted):
    # Guards against two runs of a task: the last entry of the life before is
    # read after the new one was found and has started the task, the owner is
    # lost, and its successor, which never hears the runner, knows no lease.
    owner, runner, run = start_in_found_life(100.0)
    run.start_settled = settled
    earlier = msgspec.structs.replace(runner.entry, born_ms=1)
    if refuted:
        runner.announced, runner.refuted_born_ms = earlier, 1
    recovery._apply_entry(owner, "r", earlier)
    assert find_stored_end(run) >= 100.0 + owner.settings.max_lease_s
