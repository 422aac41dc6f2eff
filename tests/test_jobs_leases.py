"""What the owner believes of leases, against a runner that grants them."""

import random
import types

import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import clock as clock_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import recovery
from plantainvane.jobs import runners
from plantainvane.jobs import sessions
from plantainvane.jobs import settings as settings_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio

_LONGEST_S = decisions.SETTINGS.max_lease_s
_SLOWEST = 1 - decisions.SETTINGS.clock_rate_error
_STEP_S = 0.2


@pytest.fixture
def anyio_backend():
    return "asyncio"


class LeasingRunner:
    """A runner that grants leases on its own clock, and its client.

    Attributes:
      now: Present time of the owner, in seconds.
      offset_ms, rate: Its clock shows `offset_ms` at time 0 and has this rate.
      born_ms: Its incarnation.
      lease_until_ms: End of the lease that it has granted, on its clock.
      answers: It answers calls.
      receives: It receives calls.
      runs: Attempts that it lists.
    """

    def __init__(self, offset_ms=500_000, rate=1.0):
        self.now = 0.0
        self.offset_ms, self.rate = offset_ms, rate
        self.born_ms = 1
        self.lease_until_ms = 0
        self.answers = self.receives = True
        self.runs = []

    def read_clock_ms(self):
        return int(self.offset_ms + self.now * 1000 * self.rate)

    def find_true_expiry(self):
        """Returns the time at which the granted lease expires."""
        return (self.lease_until_ms - self.offset_ms) / 1000 / self.rate

    def grant(self, lease_until_ms):
        longest_ms = self.read_clock_ms() + int(_LONGEST_S * 1000)
        self.lease_until_ms = max(
            self.lease_until_ms, min(lease_until_ms, longest_ms)
        )

    async def poll(self, token, last_stored_end, lease_until_ms, wait_s):
        del token, last_stored_end, wait_s
        if self.receives and lease_until_ms is not None:
            self.grant(lease_until_ms)
        if not (self.receives and self.answers):
            return result.Err(interfaces.OrderOutcome.LOST)
        running = tuple(
            model.RunningAttempt(run.task.name, run.attempt, "", 100.0, 0.0)
            for run in self.runs
        )
        return result.Ok(
            model.RunnerStatus(self.born_ms, self.read_clock_ms(), running, ())
        )

    async def start(self, order):
        if order.lease_until_ms <= self.read_clock_ms():
            return interfaces.StartReply(interfaces.OrderOutcome.LATE)
        self.grant(order.lease_until_ms)
        return interfaces.StartReply(
            interfaces.OrderOutcome.DONE, self.read_clock_ms()
        )


@pytest.fixture
def machine(monkeypatch):
    """A runner whose time is that of the owner too."""
    machine = LeasingRunner()
    monkeypatch.setattr(clock_module, "read_now", lambda: machine.now)
    for name in ("_SILENT_RETRY_S", "_LONG_SILENCE_RETRY_S"):
        monkeypatch.setattr(sessions, name, 0.0)
    return machine


def make_entry(clock_ms, born_ms=1, address="127.0.0.1:9"):
    entry = decisions.make_runner().entry
    return model.RunnerEntry(
        entry.id,
        born_ms,
        entry.service,
        address,
        entry.domain,
        False,
        entry.capacity,
        entry.labels,
        clock_ms,
    )


def make_owner(machine):
    """Makes an owner to which entries are given as they are."""
    owner = scheduling.make_owner()
    owner.adapters = types.SimpleNamespace(
        decode_runner=lambda key, value: value,
        connect_runner=lambda address, key: machine,
    )
    return owner


def charge_running_task(owner, machine):
    """Charges a long-running attempt that the runner runs."""
    runner = owner.runners["r"]
    step = decisions.make_step(long_running=True)
    (run,) = decisions.place_runs(runner, owner.table, step)
    run.phase, run.running_since = attempts.Phase.RUNNING, machine.now
    machine.runs.append(run)
    return run


async def poll_for(owner, machine, seconds):
    """Polls for some seconds; returns when the last poll was sent."""
    end = machine.now + seconds
    sent_at = machine.now
    while machine.now < end:
        sent_at = machine.now
        await sessions._poll(owner, owner.runners["r"], 0.0, None)
        machine.now += _STEP_S
    return sent_at


async def find_drop(owner, machine, run, limit_s=60.0):
    """Polls a runner until its attempt is given up; returns the time."""
    end = machine.now + limit_s
    while run in run.task.runs and machine.now < end:
        await poll_for(owner, machine, _STEP_S)
    return machine.now if run not in run.task.runs else float("inf")


def find_bound(sent_at):
    """Returns when any lease that was requested by `sent_at` has expired."""
    margin_s = settings_module.LEASE_MARGIN_S + 2 * _STEP_S
    return sent_at + _LONGEST_S / _SLOWEST + margin_s


@pytest.mark.parametrize("ahead_ms", [-20_000, 0, 20_000, 2**50])
@pytest.mark.parametrize("rate", [1.0, _SLOWEST])
async def test_clock_of_an_entry_does_not_put_off_the_end_of_a_lease(
    machine, ahead_ms, rate
):
    # Guards against a long-running task that stays on a silent runner for ever,
    # because its entry gave a clock that is ahead of that in its answers.
    machine.rate = rate
    owner = make_owner(machine)
    entry = make_entry(machine.offset_ms + ahead_ms)
    recovery._apply_entry(owner, "r", entry)
    run = charge_running_task(owner, machine)
    sent_at = await poll_for(owner, machine, 15.0)
    machine.receives = False
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at <= find_bound(sent_at)


async def test_no_lease_is_requested_of_a_runner_that_has_not_answered(machine):
    # Guards against a new owner that waits for 6.4 s for a lease that its own
    # first poll may have extended, on a runner that is gone.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    charge_running_task(owner, machine)
    machine.answers = False
    await poll_for(owner, machine, 3 * _STEP_S)
    assert machine.lease_until_ms == 0
    machine.answers = True
    sent_at = await poll_for(owner, machine, 2 * _STEP_S)
    assert machine.find_true_expiry() >= sent_at + owner.settings.lease_s - 0.1


@pytest.mark.parametrize("ahead_ms", [0, 20_000, 2**50])
async def test_runner_that_never_answers_is_given_up_in_time(machine, ahead_ms):
    # Guards against the same where no poll has read the clock: each poll sent
    # the lease again, which a runner with a clock far behind grants each time.
    owner = make_owner(machine)
    entry = make_entry(machine.offset_ms + ahead_ms)
    recovery._apply_entry(owner, "r", entry)
    run = charge_running_task(owner, machine)
    machine.answers = False
    dropped_at = await find_drop(owner, machine, run)
    limit_s = owner.settings.old_lease_limit_s
    assert machine.find_true_expiry() <= dropped_at <= limit_s + 2 * _STEP_S


async def test_lease_on_a_clock_too_far_ahead_is_corrected(machine):
    # Guards against leases of the longest time that a runner grants, on which
    # no successor counts, for as long as the owner lasts.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(2**50))
    charge_running_task(owner, machine)
    sent_at = await poll_for(owner, machine, 15.0)
    # The clock may have lost 2% since the poll before.
    expected = sent_at + owner.settings.lease_s - _STEP_S * (1 - _SLOWEST)
    assert machine.find_true_expiry() == pytest.approx(expected, abs=0.002)


@pytest.mark.parametrize("ahead_ms", [20_000, 2**50])
async def test_entry_of_a_restart_does_not_put_off_the_end_of_a_lease(
    machine, ahead_ms
):
    # Guards against the same where an entry tells of a new incarnation.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    run = charge_running_task(owner, machine)
    machine.born_ms = 9
    entry = make_entry(machine.offset_ms + ahead_ms, born_ms=9)
    recovery._apply_entry(owner, "r", entry)
    sent_at = await poll_for(owner, machine, 8.0)
    machine.receives = False
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at <= find_bound(sent_at)


@pytest.mark.parametrize("heard", [True, False])
async def test_entry_does_not_end_what_a_live_runner_runs(machine, heard):
    # Guards against a second start of a task: an entry by another writer that
    # named a later start under the id of a live runner ended its attempts.
    owner = make_owner(machine)
    owner.started_at = -60.0
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    run = charge_running_task(owner, machine)
    sent_at = await poll_for(owner, machine, 1.0)
    entry = make_entry(machine.offset_ms, born_ms=2**53)
    recovery._apply_entry(owner, "r", entry)
    assert run in run.task.runs
    machine.receives = heard
    if heard:
        await poll_for(owner, machine, 8.0)
        assert run in run.task.runs and run in owner.runners["r"].runs
        assert owner.runners["r"].fenced and owner.runners["r"].listed
        machine.receives, sent_at = False, machine.now
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at <= find_bound(sent_at)


async def test_runner_that_has_started_again_is_usable_once_it_answers(machine):
    # Guards against attempts that count as running after a restart, and against
    # room that is not used until the entry has been written once more.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    run = charge_running_task(owner, machine)
    await poll_for(owner, machine, 1.0)
    machine.born_ms = 9
    machine.runs.clear()
    entry = make_entry(machine.offset_ms, born_ms=9)
    recovery._apply_entry(owner, "r", entry)
    runner = owner.runners["r"]
    earlier_token = runner.token
    assert not runner.fenced
    await poll_for(owner, machine, _STEP_S)
    assert run not in runner.runs and run not in run.task.runs
    assert runner.entry is entry
    # The next poll carries a token of its own.
    assert runner.token > earlier_token and not runner.fenced
    await poll_for(owner, machine, _STEP_S)
    assert runner.listed and runner.fenced and not runner.entry_awaited


async def start_after_idle_time(owner, machine, idle_s):
    """Starts an attempt on a runner that has long been idle."""
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    await poll_for(owner, machine, _STEP_S)
    machine.now += idle_s
    runner = owner.runners["r"]
    state = decisions.add_job(
        owner.table, decisions.make_step(long_running=True)
    )
    run = owner.table.begin_run(state.steps[0, 0].tasks[0], "r", machine.now)
    runner.charge(run)
    await orders._start_run(owner, run)
    machine.runs.append(run)
    return run


async def test_lease_of_a_late_poll_is_waited_for_after_a_long_idle_time(
    machine,
):
    # Guards against a second start of a task: the slow clock of a runner that
    # had not been polled for long was taken to be ahead of itself, so that a
    # poll which was carried out late was granted the longest lease.
    machine.rate = _SLOWEST
    owner = make_owner(machine)
    owner.started_at = -60.0
    run = await start_after_idle_time(owner, machine, 600.0)
    await poll_for(owner, machine, 1.0)
    runner = owner.runners["r"]
    late = leases.choose_lease(owner, runner, machine.now)
    machine.receives = False
    await poll_for(owner, machine, 4.0)
    machine.grant(late)
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at


@pytest.mark.parametrize("rate", [1.0, _SLOWEST])
async def test_first_lease_after_an_idle_time_is_a_whole_one(machine, rate):
    # Guards against a start that is refused as late, or whose lease lapses
    # before the next poll, because the clock was read long before.
    machine.rate = rate
    owner = make_owner(machine)
    idle_s = 0.0
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    await poll_for(owner, machine, _STEP_S)
    runner = owner.runners["r"]
    while not sessions._needs_poll(runner, machine.now) and idle_s < 600.0:
        machine.now, idle_s = machine.now + 1.0, idle_s + 1.0
    until = runner.extend_lease(owner.settings, machine.now)
    left_s = (until - machine.read_clock_ms()) / 1000
    assert 0.8 * owner.settings.lease_s <= left_s
    assert left_s <= owner.settings.lease_s


@pytest.mark.parametrize("born_ms", [1, 9, 2**53])
@pytest.mark.parametrize("ahead_ms", [0, 2**50])
async def test_entry_with_another_address_ends_nothing_and_delays_nothing(
    machine, born_ms, ahead_ms
):
    # Guards against a second start, and against a lease that counts for ever,
    # if an entry by another writer gives a live runner another address.
    owner = make_owner(machine)
    owner.started_at = -60.0
    elsewhere = LeasingRunner()
    elsewhere.receives = False
    owner.adapters.connect_runner = lambda address, key: (
        machine if address == "127.0.0.1:9" else elsewhere
    )
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    run = charge_running_task(owner, machine)
    await poll_for(owner, machine, 1.0)
    entry = make_entry(machine.offset_ms + ahead_ms, born_ms, "127.0.0.1:10")
    recovery._apply_entry(owner, "r", entry)
    await poll_for(owner, machine, 0.9)
    assert run in run.task.runs
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    sent_at = await poll_for(owner, machine, 8.0)
    assert run in owner.runners["r"].runs and run.crash is None
    assert owner.runners["r"].fenced and owner.runners["r"].listed
    machine.receives = False
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at <= find_bound(sent_at)


async def test_runner_that_is_gone_from_its_address_is_given_up_in_time(
    machine,
):
    # Guards against the same where nothing answers at the new address.
    owner = make_owner(machine)
    owner.started_at = -60.0
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    run = charge_running_task(owner, machine)
    await poll_for(owner, machine, 1.0)
    machine.receives = False
    moved_at = machine.now
    entry = make_entry(2**50, 9, "127.0.0.1:10")
    recovery._apply_entry(owner, "r", entry)
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() <= dropped_at <= find_bound(moved_at)


async def test_leases_of_an_earlier_owner_outlast_a_poll_that_extended_none(
    machine,
):
    # Guards against a second start of a task on a runner that fell silent again
    # before the withdrawal of its expiry was stored: a poll that repeats the
    # end of a lease counted as a renewal, and the earlier leases as covered.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    run = charge_running_task(owner, machine)
    machine.receives = False
    await poll_for(owner, machine, 2.0)
    assert owner.runners["r"].expiry_promised
    # An owner that is cut off from the log still reaches the runner, and
    # extends the lease as far as the last renewal of its claim allows.
    reach_ms = int(owner.settings.lease_reach_s * 1000)
    machine.grant(machine.offset_ms + reach_ms)
    machine.receives = True
    await poll_for(owner, machine, 3 * _STEP_S)
    machine.receives = False
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() < dropped_at


@pytest.mark.parametrize("behind_ms", [1000, 3000, 20_000])
async def test_leases_of_an_earlier_owner_outlast_a_poll_by_an_old_clock(
    machine, behind_ms
):
    # Guards against a second start of a task on a runner that answers one poll
    # of a new owner: its entry gave an old clock, so the poll asked for a short
    # lease or a past one, which counted as covering the earlier leases.
    owner = make_owner(machine)
    entry = make_entry(machine.offset_ms - behind_ms)
    recovery._apply_entry(owner, "r", entry)
    run = charge_running_task(owner, machine)
    machine.grant(machine.read_clock_ms() + 5500)
    await poll_for(owner, machine, _STEP_S)
    machine.receives = False
    dropped_at = await find_drop(owner, machine, run)
    assert machine.find_true_expiry() < dropped_at


@pytest.mark.parametrize("rate", [1.0, _SLOWEST])
async def test_owner_that_is_cut_off_from_the_log_leaves_no_late_lease(
    machine, rate
):
    # Guards against a second start: an owner steps down at a sweep, up to a
    # second after the limit for its cut, and its successor counts from the
    # limit.
    machine.rate = rate
    owner = make_owner(machine)
    entry = make_entry(machine.read_clock_ms())
    recovery._apply_entry(owner, "r", entry)
    charge_running_task(owner, machine)
    owner.health.record_success(0.01, machine.now)
    owner.renewed_at = machine.now
    owner.health.record_failure("cut off", machine.now + 0.5)
    limit_s = owner.settings.log_outage_limit_s
    await poll_for(owner, machine, limit_s + owner_module._SWEEP_INTERVAL_S)
    assert machine.find_true_expiry() <= owner.settings.old_lease_limit_s
    # It renews them as soon as the log answers.
    owner.health.record_success(0.01, machine.now)
    owner.renewed_at = machine.now
    sent_at = await poll_for(owner, machine, _STEP_S)
    assert machine.find_true_expiry() >= sent_at + owner.settings.lease_s - 0.1


@pytest.mark.parametrize("rate", [1.0, _SLOWEST])
@pytest.mark.parametrize("seed", range(5))
async def test_no_lease_outlasts_what_the_last_renewal_of_the_claim_allows(
    machine, rate, seed
):
    # Guards against a second start: a successor counts from the last renewal in
    # the log, whatever else the log answers to the owner.
    choices = random.Random(seed)
    machine.rate = rate
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    charge_running_task(owner, machine)
    for _ in range(40):
        owner.health.record_success(0.01, machine.now)
        if choices.random() < 0.3:
            owner.renewed_at = machine.now
        await poll_for(owner, machine, choices.uniform(0.0, 2.0))
        limit = owner.renewed_at + owner.settings.old_lease_limit_s
        assert machine.find_true_expiry() <= limit


@pytest.mark.parametrize("late_s", [1.0, 2.0, 4.0])
async def test_late_lease_on_a_clock_too_far_ahead_is_waited_for(
    machine, late_s
):
    # Guards against a second start of a task: a first poll without an answer
    # asked for a time that the runner never reaches, and was carried out after
    # newer polls, which gave the longest lease once more.
    owner = make_owner(machine)
    owner.started_at = -60.0
    recovery._apply_entry(owner, "r", make_entry(2**50))
    machine.receives = False
    await poll_for(owner, machine, _STEP_S)
    late_lease_ms = owner.runners["r"].lease_until_ms
    machine.receives = True
    await poll_for(owner, machine, 2 * _STEP_S)
    run = charge_running_task(owner, machine)
    await poll_for(owner, machine, _STEP_S)
    machine.receives = False
    await poll_for(owner, machine, late_s)
    machine.grant(late_lease_ms)
    dropped_at = await find_drop(owner, machine, run)
    late_by_s = runners.LATE_CALL_S + 2 * _STEP_S
    assert machine.find_true_expiry() <= dropped_at <= find_bound(late_by_s)


async def test_entry_that_a_poll_has_refuted_does_not_close_a_runner(machine):
    # Guards against a runner that accepts no task for most of the time: another
    # writer names another start every second, and a poll may wait for 2 s.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, _STEP_S)
    runner = owner.runners["r"]
    wrong = make_entry(machine.offset_ms, born_ms=2**53)
    recovery._apply_entry(owner, "r", wrong)
    assert not runner.fenced
    machine.now += _STEP_S
    await poll_for(owner, machine, _STEP_S)
    for entry in (make_entry(machine.offset_ms), wrong):
        recovery._apply_entry(owner, "r", entry)
        assert runner.fenced and runner.listed
    # Another start may be a true one.
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms, born_ms=9))
    assert not runner.fenced


async def test_answer_to_an_older_poll_does_not_refute_an_entry(machine):
    # Guards against a restart that is not noticed, because a poll that was sent
    # before it was answered after its entry.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.offset_ms))
    await poll_for(owner, machine, 1.0)
    sent_at, runner = machine.now - 0.1, owner.runners["r"]
    entry = make_entry(machine.offset_ms, born_ms=9)
    recovery._apply_entry(owner, "r", entry)
    status = model.RunnerStatus(1, machine.read_clock_ms(), (), ())
    sessions._apply_reply(owner, runner, status, sent_at, machine.now)
    recovery._apply_entry(owner, "r", entry)
    assert not runner.fenced


async def test_owner_that_was_suspended_extends_no_lease_at_once(machine):
    # Guards against a second start: an owner that goes on after its successor
    # has counted on expired leases polls before it has heard of that.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    charge_running_task(owner, machine)
    owner.health.record_success(0.01, machine.now)
    await poll_for(owner, machine, 1.0)
    expiry = machine.find_true_expiry()
    machine.now += owner.settings.log_outage_limit_s
    await poll_for(owner, machine, _STEP_S)
    assert machine.find_true_expiry() == expiry


async def test_owner_that_was_suspended_repeats_no_start(machine, monkeypatch):
    # Guards against a second start: an owner is suspended during a start order,
    # its successor counts on it that all its leases have expired, and the order
    # is repeated with a new one.
    owner = make_owner(machine)
    recovery._apply_entry(owner, "r", make_entry(machine.read_clock_ms()))
    owner.health.record_success(0.01, machine.now)
    await poll_for(owner, machine, 1.0)
    owner.health.record_success(0.01, machine.now)
    decisions.add_job(owner.table, decisions.make_step())
    (task,) = owner.table.ready.values()
    run = owner.table.begin_run(task, "r", machine.now)
    owner.runners["r"].charge(run)
    sent = []

    async def lose_start(order):
        sent.append(order)
        machine.now += owner.settings.log_outage_limit_s + 1.0
        return interfaces.StartReply(interfaces.OrderOutcome.LOST)

    monkeypatch.setattr(machine, "start", lose_start)
    expiry = machine.find_true_expiry()
    await orders._start_run(owner, run)
    assert len(sent) == 1
    assert machine.find_true_expiry() == expiry
    # It may be carried out late, so it is stopped and stays charged.
    assert run.phase is attempts.Phase.STOPPING
    assert run in owner.runners["r"].runs
