"""Leases that calls to another life have left, as stored and as believed."""

import asyncio
import types

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import runner_entries
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import sessions
from plantainvane.jobs import state as state_module
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling
from tests import test_jobs_sessions as sessions_tests


@pytest.fixture
def anyio_backend():
    return "asyncio"


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


@pytest.mark.parametrize("call", ["start", "poll"])
def test_stored_lease_follows_a_later_call_without_an_answer(call, monkeypatch):
    # Guards against two runs of a task: a life that no poll has found has
    # started it and may carry out another call late, which extends its lease.
    # The owner waits for that, but its successor does not know.
    owner = sessions_tests.make_patient_owner()
    done, lost = interfaces.OrderOutcome.DONE, interfaces.OrderOutcome.LOST
    runner, run = sessions_tests.start_beside_unfound_life(
        owner, monkeypatch, done
    )
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 102.0)
    if call == "start":
        (other,) = decisions.place_runs(
            runner, owner.table, decisions.make_step(), job_id="k"
        )
        other.phase, other.ordered_at = attempts.Phase.STARTING, 102.0

        async def start(order):
            return interfaces.StartReply(lost)

        runner.calls = types.SimpleNamespace(start=start)
        asyncio.run(orders._start_run(owner, other))
    else:

        async def poll(*unused):
            return result.Err(lost)

        async def wait_for_retry(*unused):
            """Returns at once."""

        runner.calls = types.SimpleNamespace(poll=poll)
        monkeypatch.setattr(sessions, "_wait_for_retry", wait_for_retry)
        # It was sent just before the start turned out to have strayed.
        monkeypatch.setattr(sessions.leases, "choose_lease", lambda *unused: 9)
        asyncio.run(sessions._poll(owner, runner, 0.0, None))
    known = runner.find_stray_expiry(owner.settings, run, 102.0)
    assert known >= 102.0 + 12.0 + owner.settings.max_lease_s
    assert find_stored_end(run) >= known - 0.5


@pytest.mark.parametrize("is_successor", [True, False])
def test_life_that_is_polled_anew_holds_no_further_late_lease(
    is_successor, monkeypatch
):
    # Guards against a long-running task that stays away: its runner is gone for
    # good, and the owner waits for leases by calls to an earlier life that the
    # present one has refused for seconds.
    owner = sessions_tests.make_patient_owner()
    owner.former_renewed_at = 99.0 if is_successor else None
    runner, run = sessions_tests.make_running(owner)
    monkeypatch.setattr(sessions.clock, "read_wall_ms", lambda: 1_009)
    status = sessions_tests.make_status(runner, run, born_ms=9)
    sessions._apply_reply(owner, runner, status, 99.8, 99.9)
    sessions._apply_reply(owner, runner, status, 99.95, 100.0)
    assert runner.fenced
    known = runner.late_grants_until
    assert known >= 100.0 + owner.settings.max_lease_s
    runner.require_poll()
    monkeypatch.setattr(sessions.clock, "read_wall_ms", lambda: 9_009)
    sessions._apply_reply(owner, runner, status, 107.9, 108.0)
    assert runner.fenced
    assert runner.late_grants_until == known


@pytest.mark.parametrize("lasts", [True, False])
def test_life_that_follows_the_first_answer_binds_an_unheard_start(lasts):
    # Guards against two runs of a task: the life before has answered while the
    # jobs were loaded, which tells nothing of the start that an earlier owner
    # has sent, and the entry of a new life is read, which no poll reaches.
    owner = sessions_tests.make_patient_owner()
    runner = decisions.make_runner(
        heard=True, fenced=False, silent=True, entry_read_at=100.0
    )
    owner.runners["r"] = runner
    step = decisions.make_step(long_running=lasts)
    (run,) = decisions.place_runs(runner, owner.table, step)
    run.phase, run.born_ms, run.inherited_at = attempts.Phase.STARTING, 1, 98.0
    entry = msgspec.structs.replace(runner.entry, born_ms=9)
    runner_entries.announce(runner, entry, 100.0)
    expiry = leases.find_run_expiry(owner, runner, run, 100.0)
    longest_s = runners_module.LATE_START_S + owner.settings.max_lease_s
    assert expiry >= 98.0 + longest_s
    # One that a poll has listed runs in the life that has answered.
    run.reported = True
    expiry = leases.find_run_expiry(owner, runner, run, 100.0)
    assert expiry == leases.find_last_expiry(owner, runner)


class FakeStore:
    """Records what is appended."""

    def __init__(self):
        self.records = []

    async def append(self, topic, records, timeout_s, producer):
        first = len(self.records)
        self.records += records
        return result.Ok(interfaces.Appended(first, len(self.records)))


@pytest.mark.anyio
async def test_lease_of_a_found_life_is_appended_without_another_reason():
    # Guards against two runs of a task: an owner that starts and ends nothing
    # finds a new life of a runner, and is lost some seconds later. What a life
    # may hold was marked as changed, but stored with the next start or end.
    owner, _, run = sessions_tests.make_found_life(100.0)
    store = owner.journal.store = FakeStore()
    owner.journal.collect = lambda: owner_module._collect_progress(owner)
    async with anyio.create_task_group() as group:
        group.start_soon(owner.journal.run)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    ((_, value),) = store.records
    progress = msgspec.json.decode(value, type=model.JobProgress)
    ((stored,),) = [row.runs for row in progress.tasks]
    assert stored.longest_lease_s == pytest.approx(run.longest_lease_s, abs=0.1)


class FakeLog:
    """Holds a job with an attempt in one life, and an entry of the next one."""

    def __init__(self, lasts):
        table = table_module.JobTable()
        state = decisions.add_job(
            table, decisions.make_step(long_running=lasts)
        )
        (run,) = decisions.start_all(table, runner="r")
        run.born_ms, run.ordered_ms = 1, sessions.clock.read_wall_ms() - 1_000
        progress = progress_module.build_progress(state, 0)
        runner = decisions.make_runner()
        entry = msgspec.structs.replace(runner.entry, born_ms=9)
        self.newest = {
            state_module.PROGRESS_TOPIC: ("j", msgspec.json.encode(progress)),
            state_module.JOBS_TOPIC: ("j", msgspec.json.encode(state.job)),
            "runners": ("r", entry),
        }

    async def list_newest(self, topic, timeout_s):
        return result.Ok(interfaces.Page(((0, *self.newest[topic]),), 1, 1))


@pytest.mark.anyio
@pytest.mark.parametrize("entry_comes", ["before the jobs", "after the jobs"])
@pytest.mark.parametrize("lasts", [True, False])
async def test_second_successor_waits_for_a_life_that_the_first_has_read_of(
    lasts, entry_comes
):
    # Guards against two runs of a task: its start came late to a life that no
    # poll has found. A successor knows of that life by its entry and waits, but
    # is lost, and the entry is deleted: the next one knows nothing of it.
    owner = sessions_tests.make_patient_owner()
    log = FakeLog(lasts)
    _, entry = log.newest["runners"]
    if entry_comes == "after the jobs":
        log.newest["runners"] = "r", None
    owner.adapters = types.SimpleNamespace(
        store=log,
        runners_topic="runners",
        decode_runner=lambda key, value: value,
        connect_runner=lambda address, runner: None,
    )
    await recovery.recover(owner)
    if entry_comes == "after the jobs":
        recovery._apply_entry(owner, "r", entry)
    (run,) = owner.runners["r"].runs
    now = sessions.clock.read_now()
    known = leases.find_run_expiry(owner, owner.runners["r"], run, now)
    assert known >= now - 1.1 + 12.0 + owner.settings.max_lease_s
    stored = run.inherited_at + run.longest_lease_s
    # A long-running task is to be back soon if its runner is gone for good.
    assert (stored >= known - 0.5) is not lasts


@pytest.mark.parametrize("ahead_s", [-5.0, 0.0, 5.0])
def test_stored_lease_is_waited_for_by_a_successor_whose_clock_jumped(ahead_s):
    # Guards against two runs of a task: the time of day has jumped by some
    # seconds on the machine of the successor, which has that time and the time
    # of the order only to tell when the stored lease has expired.
    found_at = 99.7
    owner, _, run = start_in_found_life(found_at)
    successor = sessions_tests.make_successor(
        owner, run.task.job, 0.2 + ahead_s, True
    )
    runner = successor.runners["r"]
    (restored,) = runner.runs
    expiry = leases.find_run_expiry(successor, runner, restored, 100.2)
    assert expiry >= found_at + owner.settings.max_lease_s
