"""Leases that a new owner keeps alive before it knows the jobs."""

import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import clock as clock_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import keeping
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import recovery
from plantainvane.jobs import sessions
from plantainvane.jobs import table
from plantainvane.jobs import tokens
from tests import test_jobs_decisions as decisions
from tests import test_jobs_leases as leases_tests
from tests import test_jobs_recovery as recovery_tests
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio

_STEP_S = 0.2


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def machine(monkeypatch):
    """A runner whose time is that of the owner too."""
    machine = leases_tests.LeasingRunner()
    monkeypatch.setattr(clock_module, "read_now", lambda: machine.now)
    for name in ("_SILENT_RETRY_S", "_LONG_SILENCE_RETRY_S"):
        monkeypatch.setattr(sessions, name, 0.0)
    return machine


def make_loading_owner(machine, clock_ms=None, promised_at=None):
    """Makes an owner that has read the runners and loads the jobs."""
    owner = leases_tests.make_owner(machine)
    owner.loading = True
    if promised_at is not None:
        owner.expiries.promise("r", promised_at)
    if clock_ms is None:
        clock_ms = machine.read_clock_ms()
    recovery._apply_entry(owner, "r", leases_tests.make_entry(clock_ms))
    return owner


async def keep_for(owner, machine, seconds):
    """Keeps the leases for some seconds; returns when it last polled."""
    (runner,) = owner.runners.values()
    kept = keeping._Kept(runner, runner.entry.born_ms, machine.now)
    end, sent_at = machine.now + seconds, None
    while machine.now < end:
        for chosen in keeping._choose_due(owner, [kept], machine.now):
            sent_at = machine.now
            await keeping._renew(owner, chosen)
        machine.now += _STEP_S
    return sent_at


def load_job(owner, machine):
    """Ends the loading with a job whose attempt an earlier owner started."""
    job, progress = recovery_tests.make_records()
    recovery._load_progress(owner, "j", progress)
    recovery._add_job(owner, "j", job)
    owner.loading = False
    (run,) = owner.table.find_task(recovery_tests.TASK).runs
    machine.runs.append(run)
    return run


async def test_no_session_begins_before_the_jobs_are_loaded(machine):
    # Guards against a poll that is applied in full while no job is known, so
    # that all that runs is stopped as foreign.
    owner = make_loading_owner(machine)
    assert not owner.group.started
    owner.loading = False
    del owner.runners["r"]
    entry = leases_tests.make_entry(machine.read_clock_ms())
    recovery._apply_entry(owner, "r", entry)
    assert [name for name, _ in owner.group.started] == ["run_session"]


async def test_leases_are_kept_alive(machine):
    # Guards against leases that lapse while a weak owner loads the jobs.
    owner = make_loading_owner(machine, clock_ms=machine.offset_ms - 20_000)
    shortest_s = 10.0
    await keep_for(owner, machine, 2 * _STEP_S)
    for _ in range(20):
        await keep_for(owner, machine, 4 * _STEP_S)
        left_s = machine.find_true_expiry() - machine.now
        shortest_s = min(shortest_s, left_s)
    assert shortest_s > owner.settings.lease_s / 3


async def test_an_answer_has_no_other_effect(machine, monkeypatch):
    # Guards against attempts that are stopped, ended, dropped or blamed, and
    # against ends that are acknowledged, by an owner that does not know them.
    owner = make_loading_owner(machine)
    seen = []

    async def poll(token, last_stored_end, lease_until_ms, wait_s):
        seen.append((token, last_stored_end, wait_s))
        running = model.RunningAttempt("a.0.0.0", 1, "c", 10.0, 0.0)
        end = model.AttemptEnd(7, "b.0.0.0", 2, "failed", "")
        clock_ms = machine.read_clock_ms()
        return result.Ok(model.RunnerStatus(1, clock_ms, (running,), (end,)))

    monkeypatch.setattr(machine, "poll", poll)
    await keep_for(owner, machine, 8.0)
    runner = owner.runners["r"]
    assert len(seen) > 2 and set(seen) == {(runner.token, 0, 0.0)}
    assert tokens.find_epoch(runner.token) == owner.epoch
    assert not owner.group.started and not owner.table.changed
    assert not owner.pass_requested.is_set()
    assert not runner.foreign and not runner.last_stored_end
    assert not runner.fenced and not runner.silent and not runner.faults
    assert runner.heard


@pytest.mark.parametrize("outcome", ["", "cancelled"])
async def test_what_outlives_a_stored_end_is_stopped_while_jobs_load(
    machine, outcome
):
    # Guards against tasks of a cancelled job that run on, with a lease that is
    # kept alive, for as long as a weak owner takes to load the jobs.
    owner = make_loading_owner(machine)
    _, value = recovery_tests.make_records()
    progress = msgspec.json.decode(value, type=model.JobProgress)
    progress.ended = outcome
    recovery._load_progress(owner, "j", msgspec.json.encode(progress))
    job = decisions.add_job(table.JobTable(), decisions.make_step())
    task = job.steps[0, 0].tasks[0]
    machine.runs.append(attempts.Run(task, 1, "r", attempts.Phase.RUNNING, 0.0))
    stopped = []

    async def stop(*arguments):
        stopped.append(arguments)
        return interfaces.OrderOutcome.DONE

    machine.stop = stop
    await keep_for(owner, machine, _STEP_S)
    for name, arguments in owner.group.started:
        assert name == "_stop"
        await keeping._stop(*arguments)
    token = owner.runners["r"].token
    assert tokens.find_epoch(token) == owner.epoch
    expected = [(task.name, 1, token)] if outcome else []
    assert stopped == expected
    assert not owner.runners["r"].foreign_stops and not owner.stops_in_flight


@pytest.mark.parametrize("ahead_ms", [-20_000, 0, 2**50])
async def test_no_lease_is_extended_against_a_promise(machine, ahead_ms):
    # Guards against a second start of a task: an earlier owner has promised
    # when the leases of the runner have expired.
    clock_ms = machine.offset_ms + ahead_ms
    owner = make_loading_owner(machine, clock_ms, promised_at=3.0)
    machine.grant(machine.read_clock_ms() + 3000)
    await keep_for(owner, machine, 8.0)
    assert machine.find_true_expiry() <= 3.0
    runner = owner.runners["r"]
    assert runner.heard and runner.expiry_promised
    # The withdrawal has been asked for, begins, and is stored.
    names = {name for name, _ in owner.group.started}
    assert names == {"withdraw_expiries"}
    owner.expiries.withdraw("r")
    await keep_for(owner, machine, 2.0)
    assert machine.find_true_expiry() <= 3.0
    owner.expiries.complete_withdrawal("r")
    runner.expiry_promised = False
    await keep_for(owner, machine, 2 * _STEP_S)
    assert machine.find_true_expiry() > machine.now


@pytest.mark.parametrize("ahead_ms", [-20_000, 0, 20_000, 2**50])
@pytest.mark.parametrize("answered_s", [0.0, 4.0])
async def test_silence_does_not_put_off_the_end_of_a_lease(
    machine, ahead_ms, answered_s
):
    # Guards against a second start of a task before its lease has expired, and
    # against a wait that begins anew with each poll that is not answered.
    clock_ms = machine.offset_ms + ahead_ms
    owner = make_loading_owner(machine, clock_ms)
    machine.answers = answered_s > 0
    await keep_for(owner, machine, answered_s or _STEP_S)
    machine.answers = False
    await keep_for(owner, machine, 6.0)
    lost_at = answered_s + keeping._RENEWED_SHARE * owner.settings.lease_s
    run = load_job(owner, machine)
    machine.receives = False
    dropped_at = await leases_tests.find_drop(owner, machine, run)
    limit_s = owner.settings.old_lease_limit_s
    bound = max(limit_s, leases_tests.find_bound(lost_at))
    assert machine.find_true_expiry() <= dropped_at <= bound + 2 * _STEP_S


@pytest.mark.parametrize("born_ms", [0, 9])
@pytest.mark.parametrize("silent", [False, True])
async def test_restart_is_handled_when_the_jobs_are_known(
    machine, born_ms, silent
):
    # Guards against a runner whose restart goes unnoticed, or whose attempts
    # count as ended before their leases have expired on the new clock.
    owner = make_loading_owner(machine)
    await keep_for(owner, machine, 3.0)
    runner = owner.runners["r"]
    assert not runner.clock_listed
    machine.born_ms, machine.offset_ms = born_ms, -3000
    machine.lease_until_ms = 0
    await keep_for(owner, machine, 6.0)
    assert runner.entry.born_ms == 1
    expiry = runner.find_lease_expiry(owner.settings)
    assert machine.find_true_expiry() <= expiry
    run = load_job(owner, machine)
    if silent:
        machine.receives = False
        dropped_at = await leases_tests.find_drop(owner, machine, run)
        assert machine.find_true_expiry() <= dropped_at
        return
    machine.runs.clear()
    await leases_tests.poll_for(owner, machine, 2 * _STEP_S)
    assert runner.entry.born_ms == born_ms and runner.entry_awaited
    assert run not in runner.runs and run not in run.task.runs


async def test_owner_that_is_fenced_while_it_loads_steps_down(
    machine, monkeypatch
):
    # Guards against an owner that keeps leases alive beside its successor.
    owner = make_loading_owner(machine)

    async def refuse(*unused):
        return result.Err(interfaces.OrderOutcome.FENCED)

    monkeypatch.setattr(machine, "poll", refuse)
    await keep_for(owner, machine, _STEP_S)
    assert owner.stepped_down.is_set()


async def test_answer_after_the_loading_changes_nothing(machine, monkeypatch):
    # Guards against an answer that comes after those of the session, and sets
    # the clock of the runner back.
    owner = make_loading_owner(machine)
    await keep_for(owner, machine, _STEP_S)
    runner = owner.runners["r"]
    poll = machine.poll

    async def end_loading(*arguments):
        reply = await poll(*arguments)
        owner.loading = False
        return reply

    monkeypatch.setattr(machine, "poll", end_loading)
    before = runner.clock_read_at, runner.answered_at
    machine.now += 3.0
    await keep_for(owner, machine, _STEP_S)
    assert (runner.clock_read_at, runner.answered_at) == before
    # The lease that was requested counts.
    expiry = runner.find_lease_expiry(owner.settings)
    assert machine.find_true_expiry() <= expiry


async def test_owner_that_is_cut_off_from_the_log_extends_no_lease(machine):
    # Guards against a lease that outlasts what a successor counts on.
    owner = make_loading_owner(machine)
    owner.health.record_success(0.01, machine.now)
    owner.renewed_at = machine.now
    owner.health.record_failure("cut off", machine.now + 0.5)
    await keep_for(owner, machine, 9.0)
    limit_s = owner.settings.old_lease_limit_s
    assert machine.find_true_expiry() <= limit_s
    assert leases.choose_lease(owner, owner.runners["r"], machine.now)


async def test_polls_are_few_at_a_time_and_in_turn(monkeypatch):
    # Guards against a weak owner that sends so many polls together that it
    # finds all of them unanswered, and against runners that are never polled.
    monkeypatch.setattr(keeping, "_MAX_POLLS", 2)
    runners = [decisions.make_runner(f"r{n}") for n in range(5)]
    owner = scheduling.make_owner(*runners)
    kept = [keeping._Kept(r, 1, float(n)) for n, r in enumerate(runners)]
    kept[1].under_way = True
    assert keeping._choose_due(owner, kept, 9.0) == [kept[0]]
    kept[0].under_way = True
    assert keeping._choose_due(owner, kept, 9.0) == []
    kept[0].under_way = kept[1].under_way = False
    kept[0].due_at = 8.0
    assert keeping._choose_due(owner, kept, 9.0) == [kept[1], kept[2]]
    owner.runners["r2"] = decisions.make_runner("r2")
    assert keeping._choose_due(owner, kept, 9.0) == [kept[1], kept[3]]


@pytest.mark.parametrize(("age_s", "waits"), [(2.0, True), (60.0, False)])
async def test_answer_while_jobs_load_leaves_leases_by_earlier_owners(
    machine, monkeypatch, age_s, waits
):
    # Guards against two runs of a task: a young life has the longest lease by
    # calls of an earlier owner to the one before, answers once while the jobs
    # are loaded, and is cut off.
    owner = make_loading_owner(machine)
    owner.settings = msgspec.structs.replace(owner.settings, max_lease_s=10.0)
    owner.former_renewed_at = -0.5
    wall_ms = machine.born_ms + int(age_s * 1000)
    monkeypatch.setattr(clock_module, "read_wall_ms", lambda: wall_ms)
    machine.lease_until_ms = machine.offset_ms + 10_000
    await keep_for(owner, machine, _STEP_S)
    assert owner.runners["r"].heard
    run = load_job(owner, machine)
    machine.receives = False
    dropped_at = await leases_tests.find_drop(owner, machine, run)
    assert (dropped_at >= machine.find_true_expiry()) is waits
