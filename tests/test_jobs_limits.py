"""Limits under which a job was accepted, beside changes of its queue."""

import collections

import anyio
import msgspec
import pytest

from plantainvane.jobs import model
from plantainvane.jobs import recovery
from plantainvane.platform import wire
from standins import platform_system
from tests import test_jobs_scheduling as scheduling
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio
ID = sessions.ID
QUEUE = model.Queue(
    "q",
    "h.example",
    "/q/",
    "s",
    priority=1,
    max_failures=2,
    slack_factor=2.0,
    base_objective_s=1.0,
)
BODY = b'{"Spec":"x","Steps":[{"Count":1,"EstimateMs":1000}]}'


@pytest.fixture
def anyio_backend():
    return "asyncio"


def load(job, *configured):
    """Returns the state of a stored job at an owner that has just begun."""
    owner = scheduling.make_owner()
    configuration = model.Configuration(5, tuple(configured))
    owner.get_configuration = lambda: configuration
    recovery._add_job(owner, job.id, msgspec.json.encode(job))
    return owner.table.jobs[job.id]


def accept(queue):
    return wire.decode_job(BODY, ID, queue, 1).ok_value


@pytest.mark.parametrize("present", ["removed", "lower", "higher"])
def test_job_keeps_the_limits_under_which_it_was_accepted(present):
    # Guards against more attempts than the queue allowed, or fewer, after an
    # owner that knows the queue only as it is now.
    configured = {
        "removed": (),
        "lower": (msgspec.structs.replace(QUEUE, max_failures=1),),
        "higher": (
            msgspec.structs.replace(QUEUE, max_failures=9, slack_factor=7.0),
        ),
    }[present]
    state = load(accept(QUEUE), *configured)
    assert state.max_failures == 2
    assert state.objective_s == 2.0 * 1.0 + 1.0
    assert state.queue.service == "s" and state.queue.priority == 1


def test_present_queue_decides_on_service_and_priority():
    # Guards against jobs that go on at a service to which no queue sends them.
    changed = msgspec.structs.replace(QUEUE, service="other", priority=4)
    state = load(accept(QUEUE), changed)
    assert (state.queue.service, state.queue.priority) == ("other", 4)


@pytest.mark.parametrize(
    ("configured", "expected", "limits"),
    [((QUEUE,), 2, "configured"), ((), 1, "strictest")],
)
def test_record_of_the_last_release_gets_no_more_than_it_may_have(
    configured, expected, limits, monkeypatch
):
    # Guards against attempts beyond the limit of a queue that is not known any
    # more, and against records that cannot be read after an upgrade.
    lines = []
    monkeypatch.setattr(
        recovery.events,
        "log_event",
        lambda event, **fields: lines.append(fields),
    )
    old = msgspec.structs.replace(accept(QUEUE), limits=None)
    assert "limits" not in msgspec.json.decode(msgspec.json.encode(old))
    state = load(old, *configured)
    assert state.max_failures == expected
    assert [line["limits"] for line in lines if "limits" in line] == [limits]


def test_job_fails_at_its_own_limit():
    # Guards against a limit that is stored and not applied.
    table = scheduling.make_owner().table
    job = accept(QUEUE)
    lower = msgspec.structs.replace(QUEUE, max_failures=1)
    state = table.add_job(job, lower, None, 0.0, 1)
    for ended in ("", "failed"):
        (task,) = table.ready.values()
        run = table.begin_run(task, "r", 0.0)
        table.end_run(run, "failed", "", 0.1, 2)
        assert state.ended == ended


def write_other_queue(system, version):
    """Writes a configuration in which the queue of the tests is missing."""
    platform_system.write_configuration(
        system.store, version, Name="counts", PathPrefix="/counts/"
    )


async def test_removed_queue_gives_no_further_attempt_over_two_takeovers():
    # Guards against tasks that run three times with one attempt allowed, after
    # their queue was removed and the owner was lost (BUDGET).
    async with platform_system.run_system(entries=3, runners=2) as system:
        platform_system.write_configuration(system.store, 2, Attempts=1)
        owner = await system.wait_owner()
        await sessions.wait_until(
            lambda: all(e.configuration.version == 2 for e in system.entries)
        )
        body = platform_system.make_job(count=4, run_ms=6000, fails=True)
        await platform_system.call(owner, "POST", ID, body)
        await sessions.wait_until(lambda: len(system.list_starts()) == 4)
        write_other_queue(system, 3)
        for _ in range(2):
            owner = await system.wait_owner()
            await system.kill(owner)
        owner = await system.wait_owner()
        await sessions.wait_until(
            lambda: owner.owner.table.jobs[ID].ended == "failed", limit_s=12.0
        )
        await anyio.sleep(1.0)
        starts = collections.Counter(task for task, _ in system.list_starts())
        assert set(starts.values()) == {1}


def test_limits_are_those_of_the_accepting_queue():
    # Guards against a field that is left out of the record.
    advice = model.AdviserTimings(0.1, 0.2, 3.0)
    queue = msgspec.structs.replace(QUEUE, advice=advice)
    removed = model.make_removed_queue(accept(queue))
    expected = msgspec.structs.replace(queue, host="", path_prefix="")
    assert removed == expected
