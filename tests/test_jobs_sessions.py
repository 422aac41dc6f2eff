"""Sessions with runners and orders to them, without a network."""

import asyncio
import types

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import leases
from plantainvane.jobs import load as load_module
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import runner_entries
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import sessions
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import table as table_module
from plantainvane.jobs import tokens
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio
# Polls of runners with fill tasks that one owner may make in a second, where
# HARM leaves room for it, and runners of the largest deployment.
POLLS_PER_S = 250
RUNNERS = 246
# An idle runner may cost this many wake-ups in one idle wait.
IDLE_WAKE_UPS = 5


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_owner(**changes):
    settings = msgspec.structs.replace(decisions.SETTINGS, **changes)
    return types.SimpleNamespace(
        settings=settings,
        epoch=1,
        health=journal_module.Health(answered_at=float("inf")),
        runners={},
        table=table_module.JobTable(),
        load=load_module.Load(),
        paced_runners=set(),
        waives_leases=False,
        renewed_at=float("inf"),
        issue_token=lambda runner: 1,
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


@pytest.mark.parametrize(
    ("age_share", "waits"), [(0.0, True), (0.4, True), (0.6, False)]
)
def test_a_poll_that_renews_an_old_lease_does_not_wait(age_share, waits):
    # Guards against a lease that lapses after two polls without an answer.
    owner, runner = make_owner(), decisions.make_runner(renewed_at=100.0)
    now = 100.0 + age_share * owner.settings.lease_s
    assert (sessions._choose_wait(owner, runner, now) > 0) is waits


def test_a_poll_of_a_silent_runner_does_not_wait():
    # Guards against a poll that takes 2 s to find a runner silent again, while
    # the runner is back and a task waits for it.
    owner = make_owner()
    runner = decisions.make_runner(renewed_at=100.0, silent=True)
    assert sessions._choose_wait(owner, runner, 100.1) == 0.0


def count_silent_polls_per_s(owner, runner, monkeypatch, seconds):
    """Polls a runner that refuses connections at once; returns the rate."""
    now, polls = [10.0], [0]

    async def refuse(*unused):
        polls[0] += 1
        return result.Err(interfaces.OrderOutcome.UNREACHED)

    async def pass_time(seconds):
        now[0] += seconds

    runner.calls = types.SimpleNamespace(poll=refuse)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: now[0])
    monkeypatch.setattr(sessions.anyio, "sleep", pass_time)

    async def run():
        while now[0] < 10.0 + seconds:
            await sessions._poll(owner, runner, 0.0, None)

    asyncio.run(run())
    return polls[0] / seconds


@pytest.mark.parametrize(("has_runs", "least"), [(False, 2), (True, 9)])
def test_polls_of_runners_that_refuse_connections_are_bounded(
    monkeypatch, has_runs, least
):
    # Guards against an owner that is busy with polls of runners that are gone,
    # and against a late notice of their return or of an expired lease.
    owner, runner = scheduling.make_owner(), decisions.make_runner()
    if has_runs:
        charge_starting_run(owner, runner)
        owner.settings = msgspec.structs.replace(
            owner.settings, max_lease_s=1000.0
        )
        runner.lease_until_ms = 1_000_000
        runner.lease_requested_at = 0.0
    rate = count_silent_polls_per_s(owner, runner, monkeypatch, 20.0)
    assert rate >= least
    if not has_runs:
        assert rate * RUNNERS / 3 <= POLLS_PER_S


@pytest.mark.parametrize(
    ("late", "answered_ago_s", "silent"),
    [(True, 1.0, False), (False, 1.0, True), (True, 4.0, True)],
)
async def test_a_delay_of_the_owner_is_not_the_silence_of_a_runner(
    monkeypatch, late, answered_ago_s, silent
):
    # Guards against leases that are not extended because the owner was late,
    # and against a dead runner that is never noticed by a late owner.
    owner = make_owner()
    runner = decisions.make_runner(clock_ms=1, answered_at=10 - answered_ago_s)
    runner.calls = types.SimpleNamespace(poll=fail_poll)
    monkeypatch.setattr(sessions, "_SILENT_RETRY_S", 0.0)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 10.0)
    owner.load.record_delay(0.5, 9.0)
    if late:
        owner.load.record_delay(0.5, 10.1)
    await sessions._poll(owner, runner, 0.0, None)
    assert runner.silent is silent


async def fail_poll(*unused):
    return result.Err(interfaces.OrderOutcome.LOST)


def make_paced_runner(owner, runner_id="r", **fields):
    runner = decisions.make_runner(runner_id, renewed_at=10.0, **fields)
    decisions.place_runs(
        runner,
        owner.table,
        decisions.make_step(target_ms=20.0, long_running=True, image="s"),
        decisions.make_step(fills=True, image="f"),
        job_id=runner_id,
    )
    return runner


def test_the_polls_of_paced_runners_are_bounded():
    # Guards against an owner that is busy with polls alone.
    owner = make_owner(max_impact_s=4.5)
    runners = [make_paced_runner(owner, f"r-{i}") for i in range(RUNNERS)]
    waits = []
    for _ in range(2):
        waits = [sessions._choose_wait(owner, r, 10.0) for r in runners]
    assert sum(1 / wait_s for wait_s in waits) <= POLLS_PER_S + 1
    assert max(waits) <= owner.settings.lease_s / 3


def test_a_small_deployment_is_polled_as_often_as_before():
    # Guards against slower pacing where nothing is short.
    owner = make_owner()
    runner = make_paced_runner(owner)
    wait_s = sessions._choose_wait(owner, runner, 10.0)
    assert wait_s == owner.settings.service_poll_wait_s


@pytest.mark.parametrize("max_impact_s", [2.0, 4.0, 4.5, 20.0])
def test_a_late_owner_polls_less_but_halts_fills_in_time(max_impact_s):
    # Guards against renewals that wait behind polls for pacing, and against
    # fill tasks that disturb a service for longer than allowed (rule HARM).
    owner = make_owner(max_impact_s=max_impact_s)
    runner = make_paced_runner(owner)
    owner.load.record_delay(0.5, 9.9)
    usual_s = owner.settings.service_poll_wait_s
    wait_s = sessions._choose_wait(owner, runner, 10.0)
    assert usual_s <= wait_s <= owner.settings.lease_s / 3
    if max_impact_s >= 4.0:
        assert wait_s > usual_s
        assert wait_s + 0.65 * max_impact_s + usual_s <= max_impact_s + 1e-9
    serving = next(r for r in runner.runs if r.task.step.definition.target_ms)
    serving.over_target_since = 9.8
    assert sessions._choose_wait(owner, runner, 10.0) == usual_s


@pytest.mark.parametrize(
    ("percent", "late", "ordered"),
    [(80, False, 1), (80, True, 0), (20, True, 1)],
)
def test_a_late_owner_orders_no_increase_of_a_pace(
    monkeypatch, percent, late, ordered
):
    # Guards against calls that can wait, while leases are at risk.
    owner, sent = make_owner(), []
    owner.interference_model = None
    owner.group = types.SimpleNamespace(start_soon=lambda *call: sent.append(1))
    runner = make_paced_runner(owner)
    fill = next(r for r in runner.runs if r.task.step.definition.fills)
    fill.pace_percent = 50
    if late:
        owner.load.record_delay(0.5, 9.9)
    monkeypatch.setattr(
        orders.pacing, "decide_paces", lambda *unused: [(fill, percent)]
    )
    orders.pace_fills(owner, runner, 10.0)
    assert len(sent) == ordered


@pytest.mark.parametrize(("slowed_s", "ordered"), [(0.5, 0), (3.0, 1)])
def test_an_owner_that_stays_late_still_speeds_up_slowed_fills(
    monkeypatch, slowed_s, ordered
):
    # Guards against fill tasks that stay halted for as long as their owner is
    # short of processor time, which may be as long as it is the owner.
    owner, sent = make_owner(), []
    owner.interference_model = None
    owner.group = types.SimpleNamespace(start_soon=lambda *call: sent.append(1))
    runner = make_paced_runner(owner)
    fill = next(r for r in runner.runs if r.task.step.definition.fills)
    fill.pace_percent, fill.slowed_since = 0, 10.0 - slowed_s
    owner.load.record_delay(0.5, 9.9)
    monkeypatch.setattr(
        orders.pacing, "decide_paces", lambda *unused: [(fill, 40)]
    )
    orders.pace_fills(owner, runner, 10.0)
    assert len(sent) == ordered


@pytest.mark.parametrize(
    "outcome",
    [interfaces.OrderOutcome.UNREACHED, interfaces.OrderOutcome.UNHEALTHY],
)
async def test_a_pace_stays_in_doubt_after_an_order_that_did_nothing(outcome):
    # Guards against a fill task that stays halted for ever, by an order of an
    # earlier owner or one without an answer, while it counts as running at full
    # speed.
    owner = make_owner()
    runner = make_paced_runner(owner)
    owner.runners["r"] = runner
    fill = next(r for r in runner.runs if r.task.step.definition.fills)
    fill.pace_confirmed = False

    async def answer(*unused):
        return outcome

    runner.calls = types.SimpleNamespace(pace=answer)
    await orders.set_pace(owner, fill, 100)
    assert not fill.pace_confirmed


def make_running(owner, runner_id="r", **fields):
    """Returns a runner and an attempt there whose start was answered."""
    runner = decisions.make_runner(runner_id, **fields)
    run = charge_starting_run(owner, runner)
    run.ordered_at = 10.0
    run.phase, run.running_since = attempts.Phase.RUNNING, 10.1
    return runner, run


@pytest.mark.parametrize("reported", [True, False])
def test_entry_of_a_new_incarnation_ends_only_what_the_earlier_one_ran(
    reported,
):
    # Guards against a second start of a task whose start order has reached the
    # new incarnation, although no poll has listed the attempt yet.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    if reported:
        sessions._apply_reply(
            owner, runner, make_status(runner, run), 10.2, 10.3
        )
    entry = msgspec.structs.replace(runner.entry, born_ms=9)
    owner.adapters = types.SimpleNamespace(decode_runner=lambda key, _: entry)
    recovery._apply_entry(owner, "r", b"")
    assert run in run.task.runs and run in runner.runs
    running = () if reported else (run,)
    status = make_status(runner, *running, born_ms=9)
    sessions._apply_reply(owner, runner, status, 10.4, 10.5)
    assert (run in run.task.runs) is not reported
    assert (run in runner.runs) is not reported


@pytest.mark.parametrize("known", ["listed", "answered", "stopped"])
@pytest.mark.parametrize("late", [True, False])
def test_start_that_may_come_late_binds_its_task_in_the_next_incarnation(
    known, late, monkeypatch
):
    # Guards against a task that is started elsewhere while the new incarnation
    # may still carry out an order that the earlier one has left unanswered, and
    # against one that waits although no order can come.
    now = [10.3]
    monkeypatch.setattr(sessions.clock, "read_now", lambda: now[0])
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    if late:
        runner.expect_late_start(run, 10.0)
    if known == "listed":
        sessions._apply_reply(
            owner, runner, make_status(runner, run), 10.2, 10.3
        )
    elif known == "stopped":
        stops.stop_run(owner, run, "moved")
        run.running_since, run.stop.under_way_since = 10.25, None
    sessions._apply_reply(
        owner, runner, make_status(runner, born_ms=9), 10.4, 10.5
    )
    assert (run in run.task.runs) is late
    assert (run in runner.runs) is late
    if not late:
        return
    assert owner.group.started[-1] == ("_send_stop", (owner, run))
    # Any poll that was sent before the answer shows nothing.
    status = make_status(runner)
    sessions._apply_reply(owner, runner, status, 10.6, 10.7)
    assert run in run.task.runs
    run.running_since = run.stop.answered_at = 10.8
    run.stop.under_way_since = None
    assert sessions._choose_wait(owner, runner, 10.8) == 0.0
    sessions._apply_reply(owner, runner, status, 10.9, 11.0)
    assert run not in run.task.runs and run not in runner.runs


def test_late_start_that_the_next_incarnation_lists_stays():
    # Guards against a stop of the attempt that a late order has started, if it
    # is the only one of its task.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    runner.expect_late_start(run, 10.0)
    status = make_status(runner, run, born_ms=9)
    sessions._apply_reply(owner, runner, status, 10.4, 10.5)
    assert run in runner.runs and run.phase is attempts.Phase.RUNNING


def test_start_that_came_too_long_ago_binds_nothing():
    # Guards against a task that waits for a stop although all orders that had
    # no answer can no longer be carried out.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    run.reported = True
    runner.expect_late_start(run, 10.0)
    now = 10.0 + runners_module.LATE_START_S + 0.1
    sessions._apply_reply(
        owner, runner, make_status(runner, born_ms=9), now - 0.1, now
    )
    assert run not in run.task.runs and not runner.late_starts


@pytest.mark.parametrize(
    ("outcomes", "in_doubt"),
    [("done", False), ("lost done", True), ("unreached done", False)],
)
async def test_only_an_order_without_an_answer_may_come_late(
    outcomes, in_doubt, monkeypatch
):
    # Guards against a lost try that is forgotten as a later one is answered.
    owner, runner = scheduling.make_owner(), decisions.make_runner()
    run = charge_starting_run(owner, runner)
    run.ordered_at = 1.0
    answers = [interfaces.OrderOutcome(o) for o in outcomes.split()]
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 1.0)

    async def start(order):
        return interfaces.StartReply(answers.pop(0))

    runner.calls = types.SimpleNamespace(start=start)
    await orders._start_run(owner, run)
    assert run.phase is attempts.Phase.RUNNING
    assert bool(runner.late_starts) is in_doubt


def test_lease_of_an_order_that_reached_a_new_incarnation_is_waited_for():
    # Guards against a task that is started elsewhere while the new incarnation
    # holds the longest lease that it grants: the order named a time on the
    # clock of the incarnation before, which was far ahead.
    owner = scheduling.make_owner()
    runner, run = make_running(owner, clock_ms=300_000, clock_read_at=9.0)
    runner.extend_lease(owner.settings, 10.0)
    status = make_status(runner, run, born_ms=9, clock_ms=2000)
    sessions._apply_reply(owner, runner, status, 10.2, 10.3)
    assert run in runner.runs
    expiry = runner.find_lease_expiry(owner.settings)
    assert expiry >= 10.3 + owner.settings.max_lease_s


def test_lease_that_a_call_to_the_life_before_may_be_granted_is_waited_for():
    # Guards against a task that is started elsewhere while a new life holds the
    # longest lease: it was out of reach before it had seen its own token, and
    # carried out a poll meant for the life before.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    runner.token = owner.issue_token(runner.entry.id)
    earlier_token = runner.token
    longest_s = owner.settings.max_lease_s
    status = make_status(runner, run, born_ms=9)
    sessions._apply_reply(owner, runner, status, 10.4, 10.5)
    assert runner.token > earlier_token and not runner.fenced
    expiry = runner.find_lease_expiry(owner.settings)
    assert expiry >= 10.5 + runners_module.LATE_START_S + longest_s
    sessions._apply_reply(owner, runner, status, 10.6, 10.7)
    assert runner.fenced
    assert runner.find_lease_expiry(owner.settings) >= 10.7 + longest_s
    assert runner.find_lease_expiry(owner.settings) < expiry


@pytest.mark.parametrize("doubt", ["silent", "announced", ""])
async def test_poll_of_a_life_in_doubt_requests_no_lease(doubt, monkeypatch):
    # Guards against a task that runs twice: the poll that finds a new life
    # names a time on another clock, which grants the longest lease.
    owner = scheduling.make_owner()
    runner, run = make_running(
        owner, clock_ms=300_000, clock_read_at=99.0, lease_until_ms=304_000
    )
    if doubt == "silent":
        runner.silent = True
    elif doubt:
        entry = msgspec.structs.replace(runner.entry, born_ms=9)
        runner_entries.announce(runner, entry, 99.5)
    sent = []

    async def poll(token, last_seen, lease, wait_s):
        sent.append(lease)
        return result.Ok(make_status(runner, run, clock_ms=301_000))

    runner.calls = types.SimpleNamespace(poll=poll)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    await sessions._poll(owner, runner, 0.0, None)
    assert (sent == [None]) is bool(doubt)


@pytest.mark.parametrize(
    ("age_s", "is_successor", "waits"),
    [
        (2.0, True, True),
        (-2.0, True, True),
        (60.0, True, False),
        (2.0, False, False),
    ],
)
def test_successor_expects_grants_of_an_owner_that_did_not_know_the_life(
    age_s, is_successor, waits, monkeypatch
):
    # Guards against a task that is started elsewhere while its runner holds the
    # longest lease, granted as the owner before had not found its new life.
    owner = scheduling.make_owner()
    owner.former_renewed_at = 9.0 if is_successor else None
    runner, run = make_running(owner, fenced=False)
    wall_ms = runner.entry.born_ms + int(age_s * 1000)
    monkeypatch.setattr(sessions.clock, "read_wall_ms", lambda: wall_ms)
    sessions._apply_reply(owner, runner, make_status(runner, run), 10.2, 10.3)
    expiry = runner.find_lease_expiry(owner.settings)
    assert (expiry >= 10.3 + owner.settings.max_lease_s) is waits


def test_end_that_a_new_life_lists_first_counts():
    # Guards against a task that runs again although it is done: the life before
    # had listed the attempt, and a late try of its start ran in the next one.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    sessions._apply_reply(owner, runner, make_status(runner, run), 10.2, 10.3)
    end = model.AttemptEnd(1, run.task.name, run.attempt, "done", "")
    status = model.RunnerStatus(9, 1000, (), (end,))
    sessions._apply_reply(owner, runner, status, 10.4, 10.5)
    assert run.task.result is attempts.Result.DONE
    assert run.task.name not in owner.table.ready


def start_beside_unfound_life(owner, monkeypatch, *answers, clock_ms=50):
    """Orders a start while the known clock reads about 300,000 ms.

    Returns the runner, which is silent after that, and the attempt.
    """
    runner = decisions.make_runner(
        clock_ms=300_000, clock_read_at=99.0, answered_at=99.0
    )
    runner.extend_lease(owner.settings, 99.0)
    runner.silent = True
    run = charge_starting_run(owner, runner)
    run.ordered_at = 99.5
    left = list(answers)

    async def start(order):
        outcome = left.pop(0)
        is_lost = outcome is interfaces.OrderOutcome.LOST
        return interfaces.StartReply(outcome, None if is_lost else clock_ms)

    runner.calls = types.SimpleNamespace(start=start)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    asyncio.run(orders._start_run(owner, run))
    return runner, run


def find_drop(owner, runner, run):
    """Returns when a silent runner's attempt counts as ended, in steps."""
    now = 100.0
    while run in runner.runs:
        now += 0.1
        assert now < 200.0
        sessions._handle_silence(
            owner, runner, interfaces.OrderOutcome.LOST, now
        )
    return now


@pytest.mark.parametrize("clock_ms", [50, 290_000, 310_000])
def test_attempt_started_by_an_unfound_life_keeps_its_longest_lease(
    clock_ms, monkeypatch
):
    # Guards against a task that runs twice: a start reached a life of the
    # runner that no poll had found, which holds the longest lease, and the
    # attempt was given up as the leases of the life before had expired.
    owner = scheduling.make_owner()
    done = interfaces.OrderOutcome.DONE
    runner, run = start_beside_unfound_life(
        owner, monkeypatch, done, clock_ms=clock_ms
    )
    assert not runner.fenced
    dropped_at = find_drop(owner, runner, run)
    assert dropped_at >= 100.0 + owner.settings.max_lease_s
    assert dropped_at < 101.0 + 1.1 * owner.settings.max_lease_s


def test_attempt_started_by_the_known_life_waits_for_no_other_lease(
    monkeypatch,
):
    # Guards against a long-running task that waits for a lease that nobody
    # holds, as its runner is gone.
    owner = scheduling.make_owner()
    done = interfaces.OrderOutcome.DONE
    runner, run = start_beside_unfound_life(
        owner, monkeypatch, done, clock_ms=301_000
    )
    assert run.start_settled and not runner.strayed
    expiry = runner.find_lease_expiry(owner.settings)
    assert find_drop(owner, runner, run) < expiry + 0.2


@pytest.mark.parametrize("announced", [True, "then unlisted", False])
def test_start_that_another_life_may_carry_out_binds_its_attempt(
    announced, monkeypatch
):
    # Guards against a task that runs twice: its start had no answer, and its
    # runner's entry tells of a life that no poll reaches.
    owner = scheduling.make_owner()
    lost = interfaces.OrderOutcome.LOST
    runner, run = start_beside_unfound_life(
        owner, monkeypatch, *[lost] * (1 + owner.settings.start_retries)
    )
    before = decisions.place_runs(
        runner, owner.table, decisions.make_step(), job_id="k"
    )
    if announced:
        entry = msgspec.structs.replace(runner.entry, born_ms=9)
        runner_entries.announce(runner, entry, 100.0)
    if announced == "then unlisted":
        recovery._apply_entry(owner, "r", None)
    expiry = runner.find_lease_expiry(owner.settings)
    dropped_at = find_drop(owner, runner, run)
    longest_s = runners_module.LATE_START_S + owner.settings.max_lease_s
    assert (dropped_at >= 100.0 + longest_s) is bool(announced)
    # What the life before has listed ends with its leases.
    (other,) = before
    assert other not in other.task.runs
    assert announced or dropped_at < expiry + 0.2


@pytest.mark.parametrize(
    ("ordered_for", "entry_age_s", "heard", "ordered_ago_s", "waits"),
    [
        (1, 1.0, False, 2.0, True),
        (1, 1.0, False, 60.0, False),
        (1, 6.0, False, 2.0, "unless it lasts"),
        (9, 1.0, False, 2.0, False),
        (1, 1.0, True, 2.0, False),
        # Written by an earlier version.
        (0, 1.0, False, 2.0, False),
    ],
)
@pytest.mark.parametrize("lasts", [True, False])
def test_successor_waits_for_a_life_that_the_owner_before_had_not_found(
    ordered_for, entry_age_s, heard, ordered_ago_s, waits, lasts
):
    # Guards against a task that runs twice: a start of an earlier owner has
    # reached a new life of its runner, which no poll of any owner has reached.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(
        heard=heard, silent=True, entry_read_at=100.0 - entry_age_s
    )
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=9)
    owner.runners["r"] = runner
    step = decisions.make_step(long_running=lasts)
    (run,) = decisions.place_runs(runner, owner.table, step)
    run.born_ms, run.inherited_at = ordered_for, 100.0 - ordered_ago_s
    # A long-running task on a runner that is gone for good is to be back soon.
    # Such a runner writes no entry.
    waits = not lasts if waits == "unless it lasts" else waits
    expiry = leases.find_run_expiry(owner, runner, run, 100.0)
    assert (expiry > 100.0) is waits
    longest_s = runners_module.LATE_START_S + owner.settings.max_lease_s
    assert not waits or expiry > 100.0 - ordered_ago_s + longest_s


@pytest.mark.parametrize(("ahead_s", "inherited_at"), [(-2.0, 98.0), (5, 100)])
def test_restored_attempt_was_ordered_in_the_past(ahead_s, inherited_at):
    # Guards against a wait without end after the time of day was set back.
    table = table_module.JobTable()
    state = decisions.add_job(table, decisions.make_step())
    wall_ms = 1_000_000
    stored = model.RunProgress(1, "r", ordered_ms=wall_ms + int(ahead_s * 1000))
    row = model.TaskProgress(0, 0, 0, attempts.Result.OPEN, 1, 0, "", [stored])
    progress = model.JobProgress(tasks=[row])
    progress_module.restore_tasks(state, progress, 100.0, wall_ms)
    (run,) = state.steps[0, 0].tasks[0].runs
    assert run.inherited_at == inherited_at


@pytest.mark.parametrize("outcome", ["lost", "no_room"])
def test_later_start_extends_the_lease_of_an_unfound_life(outcome, monkeypatch):
    # Guards against a task that runs twice: the life that has started it takes
    # another start, which extends all leases there, also if it is refused for
    # lack of room.
    owner = scheduling.make_owner()
    done = interfaces.OrderOutcome.DONE
    runner, run = start_beside_unfound_life(owner, monkeypatch, done)
    (other,) = decisions.place_runs(
        runner, owner.table, decisions.make_step(), job_id="k"
    )
    other.phase, other.ordered_at = attempts.Phase.STARTING, 102.0

    async def start(order):
        return interfaces.StartReply(interfaces.OrderOutcome[outcome.upper()])

    runner.calls = types.SimpleNamespace(start=start)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 102.0)
    asyncio.run(orders._start_run(owner, other))
    dropped_at = find_drop(owner, runner, run)
    assert dropped_at >= 102.0 + owner.settings.max_lease_s


def test_lost_try_that_an_unfound_life_has_ended_binds_its_attempt(monkeypatch):
    # Guards against a task that runs again although it is done.
    owner = scheduling.make_owner()
    outcomes = interfaces.OrderOutcome.LOST, interfaces.OrderOutcome.OLD
    runner, run = start_beside_unfound_life(owner, monkeypatch, *outcomes)
    dropped_at = find_drop(owner, runner, run)
    assert dropped_at >= 100.0 + owner.settings.max_lease_s


def test_start_that_the_runner_has_ended_waits_for_the_end(monkeypatch):
    # Guards against a task that runs again although it is done: its start was
    # carried out twice, and answered once its first run had ended.
    owner = scheduling.make_owner()
    old = interfaces.OrderOutcome.OLD
    runner, run = start_beside_unfound_life(
        owner, monkeypatch, old, clock_ms=301_000
    )
    assert run in runner.runs
    end = model.AttemptEnd(1, run.task.name, run.attempt, "done", "")
    status = model.RunnerStatus(runner.entry.born_ms, 301_100, (), (end,))
    sessions._apply_reply(owner, runner, status, 100.05, 100.1)
    assert run.task.result is attempts.Result.DONE


def test_ends_are_acknowledged_while_the_list_leaves_one_out():
    # Guards against a list that is cut off for good: the end of an attempt that
    # was stopped after a start without an answer is left out of it.
    owner = scheduling.make_owner()
    runner, run = make_running(owner, answered_at=199.9)
    run.sent_at, run.phase = 100.0, attempts.Phase.STOPPING
    run.running_since = 101.0
    ends = tuple(
        model.AttemptEnd(n, f"x{n}.0.0.0", 1, "done", "") for n in range(1, 501)
    )
    status = model.RunnerStatus(runner.entry.born_ms, 1000, (), ends, False)
    sessions._apply_reply(owner, runner, status, 199.8, 199.9)
    runner.last_stored_end = 500
    assert run in runner.runs
    assert sessions._choose_acknowledged(runner, 200.0) == 500


def test_suspects_whose_leases_end_apart_are_not_blamed_alone():
    # Guards against a sound task that is given up: the crash of its runner
    # counts as its own, as the other suspect may run on for longer.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(up_at=100.0, answered_at=100.0)
    owner.runners["r"] = runner
    step = decisions.make_step()
    (first,) = decisions.place_runs(runner, owner.table, step, job_id="a")
    (second,) = decisions.place_runs(runner, owner.table, step, job_id="b")
    first.sent_at = second.sent_at = 99.9
    sessions._end_expired(owner, runner, [first], 106.0)
    (crash,) = first.task.crashes
    assert not crash.alone


@pytest.mark.parametrize("delay_s", [0.0, 0.3])
def test_start_after_a_poll_whose_answer_came_late_is_no_stray(delay_s):
    # Guards against a runner that gets no tasks until its next poll is
    # answered, because the owner has read the answer to the last one late.
    read_at = 99.0 + delay_s
    runner = decisions.make_runner(clock_ms=300_000, clock_read_at=read_at)
    settings = decisions.SETTINGS
    assert runner.fits_clock(settings, 300_500, 99.5, 99.51) is True


def list_lost_end(owner, runner, run, outcome):
    """Drops an attempt, then lists its end twice, as it is not acknowledged."""
    sessions._drop_runs(owner, runner, [run], "lease expired", 10.4)
    end = model.AttemptEnd(1, run.task.name, run.attempt, outcome, "")
    status = model.RunnerStatus(9, 1000, (), (end,))
    for sent_at in (10.5, 10.7):
        sessions._apply_reply(owner, runner, status, sent_at, sent_at + 0.1)


def test_task_whose_lost_attempt_turns_out_done_is_not_started_again():
    # Guards against a second run of a task that is done: its attempt ran in a
    # life of the runner that no poll had found before the leases of the one
    # before had expired, and its end was acknowledged and ignored.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    list_lost_end(owner, runner, run, "done")
    assert run.task.result is attempts.Result.DONE
    assert run.task.name not in owner.table.ready


def test_later_attempt_is_stopped_when_a_lost_one_turns_out_done():
    # Guards against a task that runs on although an earlier attempt is done.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    sessions._drop_runs(owner, runner, [run], "lease expired", 10.4)
    later = owner.table.begin_run(run.task, "other", 10.45)
    end = model.AttemptEnd(1, run.task.name, run.attempt, "done", "")
    status = model.RunnerStatus(9, 1000, (), (end,))
    sessions._apply_reply(owner, runner, status, 10.5, 10.6)
    assert run.task.result is attempts.Result.DONE
    assert later in owner.table.runs_to_stop


@pytest.mark.parametrize(
    ("attempt", "by_this_owner", "failures"),
    [(1, True, 1), (1, False, 0), (2, True, 0)],
)
def test_failure_of_a_lost_attempt_counts_once(
    attempt, by_this_owner, failures
):
    # Guards against a task that is started again after its last permitted
    # failure, which an unfound life of the runner had listed; and against one
    # that an earlier owner has counted.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    if not by_this_owner:
        run.task.runs.remove(run)
    if by_this_owner and attempt == run.attempt:
        list_lost_end(owner, runner, run, "failed")
    else:
        end = model.AttemptEnd(1, run.task.name, attempt, "failed", "")
        status = model.RunnerStatus(9, 1000, (), (end,))
        sessions._apply_reply(owner, runner, status, 10.5, 10.6)
    assert run.task.failures == failures


@pytest.mark.parametrize("found", [True, False])
@pytest.mark.parametrize("call", ["start", "stop", "pace", "poll"])
async def test_call_that_a_new_life_of_its_runner_refuses_ends_no_ownership(
    call, found, monkeypatch
):
    # Guards against an owner that takes the refusal of a call with its own
    # earlier token for that of a later owner, and steps down.
    fenced = interfaces.OrderOutcome.FENCED
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 10.5)
    answers = []

    async def refuse(*unused):
        answers.append(call)
        if found and len(answers) == 1:
            runner.token = owner.issue_token(runner.entry.id)
        elif found:
            return interfaces.OrderOutcome.DONE
        return fenced

    async def refuse_poll(*unused):
        return result.Err(await refuse())

    async def refuse_start(*unused):
        return interfaces.StartReply(await refuse())

    runner.calls = types.SimpleNamespace(
        start=refuse_start, stop=refuse, pace=refuse, poll=refuse_poll
    )
    if call == "start":
        run.phase, run.running_since = attempts.Phase.STARTING, 0.0
        await orders._start_run(owner, run)
    elif call == "stop":
        stops.stop_run(owner, run, "moved")
        await stops._send_stop(owner, run)
    elif call == "pace":
        await orders.set_pace(owner, run, 50)
    else:
        await sessions._poll(owner, runner, 0.0, None)
    assert owner.stepped_down.is_set() is not found
    if call in ("start", "stop"):
        assert len(answers) == 1 + found


def make_status(runner, *runs, born_ms=None, clock_ms=1000):
    running = tuple(
        model.RunningAttempt(run.task.name, run.attempt, "", 10.0, 0.0)
        for run in runs
    )
    born_ms = runner.entry.born_ms if born_ms is None else born_ms
    return model.RunnerStatus(born_ms, clock_ms, running, ())


@pytest.mark.parametrize(
    ("answered_ago_s", "doubts", "acknowledged", "expected"),
    [
        (0.01, {}, 0, 5),
        (0.01, {}, 3, 5),
        (0.01, {}, 5, 0),
        (1.0, {}, 0, 0),
        (0.01, {"silent": True}, 0, 0),
        (0.01, {"fenced": False}, 0, 0),
    ],
)
async def test_ends_are_acknowledged_once_and_to_the_life_that_listed_them(
    answered_ago_s, doubts, acknowledged, expected, monkeypatch
):
    # Guards against a poll that makes a new life of the runner forget ends that
    # nobody has read, as it carries a number of the life before.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(
        last_stored_end=5,
        acknowledged_end=acknowledged,
        answered_at=100.0 - answered_ago_s,
        **doubts,
    )
    owner.runners["r"] = runner
    sent = []

    async def poll(token, last_seen, lease, wait_s):
        sent.append(last_seen)
        return result.Ok(make_status(runner))

    runner.calls = types.SimpleNamespace(poll=poll)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    await sessions._poll(owner, runner, 0.0, None)
    assert sent == [expected]
    assert runner.acknowledged_end == max(acknowledged, expected)


@pytest.mark.parametrize(
    ("start", "acknowledged"),
    [("none", 5), ("open", 0), ("answered", 0), ("settled", 5), ("late", 0)],
)
def test_no_end_is_acknowledged_beside_a_start_of_which_life_is_unknown(
    start, acknowledged
):
    # Guards against an end that nobody has read: a start and a later poll that
    # acknowledges ends are both carried out by the next life of the runner.
    owner = scheduling.make_owner()
    runner, run = make_running(owner, last_stored_end=5, answered_at=99.99)
    if start != "none":
        run.sent_at = 99.9
    if start in ("open", "late"):
        runner.expect_late_start(run, run.sent_at)
    run.start_settled = start in ("settled", "late")
    assert sessions._choose_acknowledged(runner, 100.0) == acknowledged
    after_s = runners_module.LATE_START_S + 1.0
    runner.answered_at += after_s
    later = sessions._choose_acknowledged(runner, 100.0 + after_s)
    assert later == 5


async def test_poll_waits_for_open_starts_to_acknowledge_ends():
    # Guards against two polls for each end, as the first one is sent while the
    # start that takes the free room has no answer yet.
    owner = scheduling.make_owner()
    runner, run = make_running(owner, last_stored_end=5)
    runner.expect_late_start(run, sessions.clock.read_now())
    with anyio.fail_after(sessions._UNSTORED_POLL_GAP_S / 2):
        async with anyio.create_task_group() as group:
            group.start_soon(sessions._wait_for_starts, runner)
            await anyio.wait_all_tasks_blocked()
            runner.late_starts.clear()
            runner.note_start_answered()


@pytest.mark.parametrize("outcome", ["", "lost", "unreached", "unhealthy"])
async def test_start_carries_a_later_token_than_an_open_acknowledgement(
    outcome, monkeypatch
):
    # Guards against an end that nobody has read: the poll that acknowledged the
    # ends before it is carried out after the attempt has run.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(last_stored_end=5, answered_at=100.0)
    runner.token = owner.issue_token("r")
    owner.runners["r"], sent = runner, []

    async def poll(token, last_seen, lease, wait_s):
        during = state_module.choose_start_token(owner, runner)
        sent.append((token, last_seen, during))
        if outcome:
            return result.Err(interfaces.OrderOutcome(outcome))
        return result.Ok(make_status(runner))

    async def pass_time(seconds):
        del seconds

    runner.calls = types.SimpleNamespace(poll=poll)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    monkeypatch.setattr(sessions.anyio, "sleep", pass_time)
    await sessions._poll(owner, runner, 0.0, None)
    ((token, last_seen, during),) = sent
    assert last_seen == 5 and during > token
    after = state_module.choose_start_token(owner, runner)
    assert after >= during
    assert tokens.find_epoch(after) == owner.epoch


@pytest.mark.parametrize("outcome", ["lost", "unreached", "no_room"])
def test_call_after_a_start_without_an_answer_has_a_later_token(
    outcome, monkeypatch
):
    # Guards against a start that the next life of a runner carries out late,
    # although it was polled or has carried out a later try.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(answered_at=100.0)
    runner.token = before = owner.issue_token("r")
    run = charge_starting_run(owner, runner)
    run.ordered_at = 100.0
    sent = []

    async def start(order):
        sent.append(order.token)
        answer = outcome if len(sent) == 1 else "done"
        return interfaces.StartReply(interfaces.OrderOutcome(answer))

    runner.calls = types.SimpleNamespace(start=start)
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    asyncio.run(orders._start_run(owner, run))
    assert (runner.token > before) is (outcome == "lost")
    assert sent[-1] == runner.token


async def test_ownership_ends_with_its_last_token():
    # Guards against tokens that rise no more, so that late calls to an earlier
    # life of a runner are carried out.
    owner = scheduling.make_owner()
    owner.tokens_issued["r"] = tokens.TOKENS_PER_EPOCH - 3
    assert not tokens.is_last(owner.issue_token("r"))
    assert not owner.stepped_down.is_set()
    assert tokens.is_last(owner.issue_token("r"))
    assert owner.stepped_down.is_set()
    assert owner.issue_token("other") < tokens.make_token(owner.epoch + 1)


@pytest.mark.parametrize("by", ["entry", "reply"])
def test_poll_of_a_runner_whose_clock_was_set_back_is_believed(by):
    # Guards against a runner that restarted under an earlier time of day: its
    # answers counted as those of the incarnation before, so that attempts which
    # had ended with that one were never dropped.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=50)
    sessions._apply_reply(owner, runner, make_status(runner, run), 10.2, 10.3)
    if by == "entry":
        entry = msgspec.structs.replace(runner.entry, born_ms=9)
        owner.adapters = types.SimpleNamespace(
            decode_runner=lambda key, _: entry
        )
        recovery._apply_entry(owner, "r", b"")
    sessions._apply_reply(
        owner, runner, make_status(runner, born_ms=9), 11.0, 11.1
    )
    assert run not in runner.runs and run not in run.task.runs
    assert runner.answered_at == 11.1
    assert runner.entry.born_ms == 9


def test_late_answer_of_an_earlier_incarnation_is_ignored():
    # Guards against an attempt that is dropped, because an answer that was on
    # its way during the restart does not list it.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    sessions._apply_reply(
        owner, runner, make_status(runner, run, born_ms=50), 10.2, 10.3
    )
    sessions._apply_reply(
        owner, runner, make_status(runner, born_ms=9), 10.1, 10.4
    )
    assert run in runner.runs and run in run.task.runs
    assert runner.entry.born_ms == 50


def test_attempt_whose_end_is_cut_off_a_list_is_not_started_again():
    # Guards against a second run of a task that has ended while more ends than
    # one answer lists had not been acknowledged.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    status = make_status(runner)
    cut = msgspec.structs.replace(status, lists_all_ends=False)
    sessions._apply_reply(owner, runner, cut, 10.2, 10.3)
    assert run in runner.runs and run in run.task.runs
    sessions._apply_reply(owner, runner, status, 10.4, 10.5)
    assert run not in runner.runs and run not in run.task.runs


def test_entry_with_an_earlier_start_lists_its_runner_again():
    # Guards against a runner that stays unlisted until it is forgotten, because
    # its clock was set back before it started again.
    owner = scheduling.make_owner()
    runner, _ = make_running(owner)
    entry = msgspec.structs.replace(runner.entry, born_ms=9)
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=50)
    runner.listed = False
    owner.adapters = types.SimpleNamespace(decode_runner=lambda key, _: entry)
    recovery._apply_entry(owner, "r", b"")
    assert runner.listed and not runner.fenced


def test_refused_start_is_released_by_a_runner_that_moved_meanwhile():
    # Guards against an attempt that stays charged to the runner at its new
    # address after its start at the old one was refused.
    owner = scheduling.make_owner()
    owner.adapters = types.SimpleNamespace(connect_runner=lambda *unused: None)
    earlier = decisions.make_runner()
    run = charge_starting_run(owner, earlier)
    entry = msgspec.structs.replace(
        earlier.entry, address="127.0.0.1:10", born_ms=2
    )
    recovery._add_runner(owner, entry, earlier, 1.0)
    assert run in owner.runners["r"].runs
    orders._apply_start_outcome(
        owner, earlier, run, interfaces.OrderOutcome.UNREACHED, 1.2
    )
    assert run.task.name in owner.table.ready
    assert not owner.runners["r"].runs


async def move_during_poll(answer):
    """Polls a runner that is listed at a new address meanwhile.

    Returns the owner, the attempt there and the runner at its new address.
    """
    owner = scheduling.make_owner()
    owner.adapters = types.SimpleNamespace(connect_runner=lambda *unused: None)
    earlier, run = make_running(owner, clock_ms=1000, lease_until_ms=1000)
    entry = msgspec.structs.replace(
        earlier.entry, address="127.0.0.1:10", born_ms=2
    )

    async def poll(*unused):
        recovery._add_runner(owner, entry, earlier, 11.0)
        return answer(earlier, run)

    earlier.calls = types.SimpleNamespace(poll=poll)
    await sessions._poll(owner, earlier, 0.0, None)
    return owner, run, owner.runners["r"]


async def test_failed_poll_of_an_earlier_address_changes_nothing():
    # Guards against a promise that is stored for a runner whose leases are
    # extended at its new address, and against an attempt that is dropped but
    # stays charged there, so that the room is lost.
    owner, run, runner = await move_during_poll(
        lambda *unused: result.Err(interfaces.OrderOutcome.LOST)
    )
    assert not owner.expiries.expires_at
    assert (run in run.task.runs) == (run in runner.runs)


async def test_answer_of_an_earlier_address_changes_nothing():
    # Guards against an attempt that has ended but stays charged to the runner
    # at its new address.
    def answer(earlier, run):
        end = model.AttemptEnd(1, run.task.name, run.attempt, "done", "")
        return result.Ok(
            msgspec.structs.replace(make_status(earlier), ends=(end,))
        )

    _, run, runner = await move_during_poll(answer)
    assert (run in run.task.runs) == (run in runner.runs)


@pytest.mark.parametrize("busy", [False, True])
def test_idle_runner_that_cannot_be_reached_is_polled_before_it_is_used(busy):
    # Guards against tasks that try the idle runners of a domain that is cut off
    # in turn, each for three time-outs, as nothing else polls an idle runner.
    # One with attempts is polled anyway, and a poll there may wait for an end.
    owner = scheduling.make_owner()
    runner = decisions.make_runner()
    run = charge_starting_run(owner, runner)
    if busy:
        step = decisions.make_step()
        (other,) = decisions.place_runs(runner, owner.table, step)
        other.reported = True
    orders._apply_start_outcome(
        owner, runner, run, interfaces.OrderOutcome.UNREACHED, 1.0
    )
    assert run not in runner.runs
    assert runner.fenced is busy


@pytest.mark.parametrize(
    ("answered_at", "repeated"), [(9.0, True), (9.9, False), (None, False)]
)
def test_stop_of_an_attempt_that_runs_on_is_repeated(answered_at, repeated):
    # Guards against an attempt whose stop was answered by the incarnation
    # before, while its start was carried out late by the present one: it counts
    # as being stopped, is not stopped again, and each poll renews its lease.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    stops.stop_run(owner, run, "job ended")
    if answered_at is not None:
        run.running_since = answered_at
    owner.group.started.clear()
    for sent_at in (10.5, 10.6):
        sessions._apply_reply(
            owner, runner, make_status(runner, run), sent_at, sent_at + 0.1
        )
    assert len(scheduling.list_stopped(owner)) == repeated
    assert run in runner.runs


@pytest.mark.parametrize(("gang", "stopped"), [(True, 1), (False, 0)])
@pytest.mark.parametrize("orphan", [True, False])
def test_rest_of_a_gang_is_stopped_when_a_member_is_lost(gang, stopped, orphan):
    # Guards against a gang that never runs again: its members start together,
    # so those that are left keep the lost one from starting.
    owner = scheduling.make_owner(*map(decisions.make_runner, ("a", "b")))
    state = decisions.add_job(owner.table, decisions.make_step(count=2))
    (step,) = state.steps.values()
    step.definition = msgspec.structs.replace(step.definition, gang=gang)
    runs = [
        owner.table.begin_run(task, runner, 1.0)
        for task, runner in zip(step.tasks, "ab", strict=True)
    ]
    for run in runs:
        run.phase, run.running_since = attempts.Phase.RUNNING, 1.0
    owner.runners["b"].charge(runs[1])
    if orphan:
        owner.runners.pop("a")
        owner.orphans["a"] = [runs[0]]
        owner_module._expire_orphans(owner, 1000.0)
    else:
        owner.runners["a"].charge(runs[0])
        sessions._drop_runs(
            owner, owner.runners["a"], [runs[0]], "lease expired", 2.0
        )
    assert len(scheduling.list_stopped(owner)) == stopped


def test_leases_of_an_earlier_owner_outlast_an_answer_that_renewed_none():
    # Guards against a second start of a task on a runner that answers a new
    # owner once: its promised expiry keeps the poll from renewing the leases,
    # and they counted as expired as soon as the runner fell silent again.
    owner = scheduling.make_owner()
    runner, run = make_running(owner)
    runner.expiry_promised = True
    runner.earlier_leases_until = 15.0
    runner.clock_ms, runner.clock_read_at = 500, 9.0
    assert runner.extend_lease(owner.settings, 10.0) == 0
    sessions._apply_reply(owner, runner, make_status(runner, run), 10.5, 10.6)
    runner.expiry_promised = False
    for now, charged in ((11.0, True), (14.9, True), (15.1, False)):
        sessions._handle_silence(
            owner, runner, interfaces.OrderOutcome.LOST, now
        )
        assert (run in runner.runs) is charged


def test_earlier_leases_are_known_when_a_runner_is_added():
    # Guards against the same where the promise was withdrawn meanwhile, and
    # where the runner has moved to a new address.
    owner = scheduling.make_owner()
    owner.adapters = types.SimpleNamespace(connect_runner=lambda *unused: None)
    owner.expiries.promise("r", 14.0)
    entry = decisions.make_runner("r").entry
    recovery._add_runner(owner, entry, None, 10.0)
    assert owner.runners["r"].earlier_leases_until == 14.0
    earlier = owner.runners["r"]
    earlier.expiry_promised = False
    earlier.record_clock(1000, 40.0)
    earlier.extend_lease(owner.settings, 40.0)
    moved = msgspec.structs.replace(entry, address="r:10")
    recovery._add_runner(owner, moved, earlier, 41.0)
    assert owner.runners["r"].earlier_leases_until > 45.0


def test_starts_that_came_to_nothing_are_forgotten():
    # Guards against a list of starts without an answer that grows for as long
    # as a runner does not restart.
    table = table_module.JobTable()
    decisions.add_job(table, decisions.make_step(count=50))
    runner = decisions.make_runner()
    for second, run in enumerate(decisions.start_all(table)):
        runner.expect_late_start(run, float(second))
    assert len(runner.late_starts) <= runners_module.LATE_START_S + 1


def test_line_about_a_lost_attempt_tells_which_lease_was_waited_for():
    # Guards against two runs of a task that no log can explain: the line tells
    # that the lease has expired, but not which one was expected.
    owner = scheduling.make_owner()
    owner.started_at = 5.0
    runner, run = make_running(owner, heard=True)
    runner.late_grants_until = 12.0
    wall_ms = runner.entry.born_ms + 2_500
    line = leases.describe_expiry(owner, run, 10.0, wall_ms)
    earlier_s = 5.0 + owner.settings.old_lease_limit_s - 10.0
    assert line["late_grants_in_s"] == 2.0
    assert line["earlier_leases_in_s"] == pytest.approx(earlier_s, abs=0.001)
    assert (line["heard"], line["life_age_s"]) == (True, 2.5)
    assert line["stray_in_s"] is None
    owner.runners.clear()
    line = leases.describe_expiry(owner, run, 10.0, wall_ms)
    assert line["earlier_leases_in_s"] == pytest.approx(earlier_s, abs=0.001)
    assert "heard" not in line


def make_patient_owner():
    """Returns an owner of runners whose longest lease is 10 s."""
    owner = scheduling.make_owner()
    owner.settings = msgspec.structs.replace(owner.settings, max_lease_s=10.0)
    return owner


def make_found_life(found_at):
    """Returns an owner that has found and fenced a new life of a runner."""
    owner = make_patient_owner()
    runner, run = make_running(owner)
    runner.entry = msgspec.structs.replace(runner.entry, clock_ms=1000)
    status = make_status(runner, run, born_ms=9)
    sessions._apply_reply(owner, runner, status, found_at - 0.2, found_at - 0.1)
    runner.listed = True
    sessions._apply_reply(owner, runner, status, found_at - 0.05, found_at)
    assert runner.fenced
    return owner, runner, run


def make_successor(owner, state, passed_s, is_known):
    """Returns an owner with the stored progress of a job, some time later."""
    wall_ms = scheduling.clock.read_wall_ms() + int(passed_s * 1000)
    (encoded,) = [
        msgspec.json.encode(progress)
        for _, progress in progress_module.take_changed(state)
    ]
    progress = msgspec.json.decode(encoded, type=model.JobProgress)
    successor = make_patient_owner()
    successor.started_at = 100.0
    successor.former_renewed_at = 99.0
    job = successor.table.add_job(
        state.job, decisions.QUEUE, progress, 100.0, wall_ms
    )
    if is_known:
        runner = decisions.make_runner(silent=True, heard=False, fenced=False)
        (task,) = state.steps[0, 0].tasks
        born_ms = task.runs[0].born_ms
        runner.entry = msgspec.structs.replace(runner.entry, born_ms=born_ms)
        successor.runners[runner.entry.id] = runner
        runner.earlier_leases_until = successor.find_earlier_limit()
    recovery._charge_restored(successor, job)
    return successor


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("found_ago_s", [0.3, 3.0, 60.0])
def test_successor_that_never_hears_a_new_life_waits_for_its_longest_lease(
    found_ago_s, is_known
):
    # Guards against two runs of a task: its owner had found a new life of the
    # runner, which holds the longest lease by calls to the one before, started
    # the task there and was lost, and its successor counted from the claim.
    owner, runner, _ = make_found_life(100.0 - found_ago_s)
    state = decisions.add_job(owner.table, decisions.make_step(), job_id="new")
    current = scheduling.scheduling.Pass(100.0)
    (task,) = state.steps[0, 0].tasks
    run = scheduling.scheduling._begin_run(owner, task, runner, current)
    successor = make_successor(owner, state, 0.2, is_known)
    now = 100.2
    while successor.table.find_run("new.0.0.0", run.attempt):
        now += 0.1
        if is_known:
            sessions._handle_silence(
                successor,
                successor.runners["r"],
                interfaces.OrderOutcome.LOST,
                now,
            )
        else:
            owner_module._expire_orphans(successor, now)
    limit = successor.find_earlier_limit()
    longest = 100.0 - found_ago_s + owner.settings.max_lease_s
    assert now >= max(limit, longest)
    assert now < max(limit, longest + 4.0) + 0.2


def test_successor_waits_for_no_longer_lease_of_a_life_that_was_no_new_one():
    # Guards against a long-running task that stays away while its runner is
    # gone for good, as the first life of a runner looks like a young one.
    owner = make_patient_owner()
    runner = decisions.make_runner()
    owner.runners["r"] = runner
    state = decisions.add_job(owner.table, decisions.make_step(), job_id="new")
    (task,) = state.steps[0, 0].tasks
    current = scheduling.scheduling.Pass(100.0)
    scheduling.scheduling._begin_run(owner, task, runner, current)
    successor = make_successor(owner, state, 0.2, True)
    (run,) = successor.runners["r"].runs
    known = successor.runners["r"]
    expiry = leases.find_run_expiry(successor, known, run, 100.3)
    assert expiry == leases.find_last_expiry(successor, known)


def test_lease_of_an_attempt_that_a_new_life_started_is_stored():
    # Guards against two runs of a task: a start reached a life that no poll had
    # found, and the owner that found it is lost, as is the runner's entry.
    owner, runner, run = make_found_life(100.0)
    assert run in runner.runs
    assert run.task.job.job.id in owner.table.changed
    longest = 100.0 - run.ordered_at + owner.settings.max_lease_s
    assert run.longest_lease_s >= longest


def answer_polls(runner, *answers):
    """Has a runner answer polls; returns the leases that they request."""
    sent, left = [], list(answers)

    async def poll(token, last_seen, lease, wait_s):
        sent.append(lease)
        return left.pop(0)

    runner.calls = types.SimpleNamespace(poll=poll)
    return sent


def test_poll_of_a_runner_whose_start_strayed_requests_no_lease(monkeypatch):
    # Guards against two runs of a task: its start has reached a life that no
    # poll has found, and a poll that names a time on the known clock may reach
    # that life seconds later and grant it the longest lease anew.
    owner = make_patient_owner()
    done = interfaces.OrderOutcome.DONE
    runner, _ = start_beside_unfound_life(owner, monkeypatch, done)
    runner.silent, runner.clock_ms = False, 300_000
    sent = answer_polls(runner, result.Err(interfaces.OrderOutcome.LOST))

    async def wait_for_retry(*unused):
        """Returns at once."""

    monkeypatch.setattr(sessions, "_wait_for_retry", wait_for_retry)
    asyncio.run(sessions._poll(owner, runner, 0.0, None))
    assert sent == [None]


def test_late_poll_extends_the_lease_of_an_unfound_life(monkeypatch):
    # Guards against two runs of a task: a poll that was sent before its start
    # turned out to have reached another life grants that one the longest lease
    # when it is carried out late.
    owner = make_patient_owner()
    runner = decisions.make_runner(
        clock_ms=300_000, clock_read_at=99.0, answered_at=99.0
    )
    run = charge_starting_run(owner, runner)
    now = [99.5]
    monkeypatch.setattr(sessions.clock, "read_now", lambda: now[0])

    async def poll(token, last_seen, lease, wait_s):
        assert lease is not None
        now[0] = 101.0
        return result.Err(interfaces.OrderOutcome.LOST)

    async def start(order):
        return interfaces.StartReply(interfaces.OrderOutcome.DONE, 50)

    async def wait_for_retry(*unused):
        """Returns at once."""

    runner.calls = types.SimpleNamespace(poll=poll, start=start)
    monkeypatch.setattr(sessions, "_wait_for_retry", wait_for_retry)
    run.ordered_at = 99.5
    asyncio.run(orders._start_run(owner, run))
    runner.strayed = False
    asyncio.run(sessions._poll(owner, runner, 0.0, None))
    runner.strayed = True
    dropped_at = find_drop(owner, runner, run)
    granted_by = 99.5 + runners_module.LATE_CALL_S
    assert dropped_at >= granted_by + owner.settings.max_lease_s


@pytest.mark.parametrize("lasts", [True, False])
@pytest.mark.parametrize("shown_by", ["clock", "entry"])
def test_lease_of_an_unfound_life_is_stored_for_a_successor(
    shown_by, lasts, monkeypatch
):
    # Guards against two runs of a task: its start has reached a life that no
    # poll has found, the entry of that life is deleted and its owner is lost.
    owner = make_patient_owner()
    lost = interfaces.OrderOutcome.LOST
    answers = [lost] * (1 + owner.settings.start_retries)
    if shown_by == "clock":
        answers = [interfaces.OrderOutcome.DONE]
    runner, run = start_beside_unfound_life(owner, monkeypatch, *answers)
    definition = msgspec.structs.replace(
        run.task.step.definition, long_running=lasts
    )
    run.task.step.definition = definition
    owner.adapters = types.SimpleNamespace(
        decode_runner=lambda key, value: value
    )
    entry = msgspec.structs.replace(runner.entry, born_ms=9)
    recovery._apply_entry(owner, "r", entry)
    until = run.ordered_at + run.longest_lease_s
    is_stored = until >= 100.0 + owner.settings.max_lease_s
    assert is_stored is (shown_by == "clock" or not lasts)
    assert not is_stored or run.task.job.job.id in owner.table.changed


def test_entry_of_a_further_life_shortens_no_stored_lease():
    # Guards against two runs of a task: the lease of a new life is stored with
    # an attempt, and is forgotten as an entry tells of yet another life.
    owner, runner, _ = make_found_life(100.0)
    state = decisions.add_job(owner.table, decisions.make_step(), job_id="new")
    (task,) = state.steps[0, 0].tasks
    current = scheduling.scheduling.Pass(100.1)
    run = scheduling.scheduling._begin_run(owner, task, runner, current)
    run.sent_at, run.start_settled = 100.1, True
    stored_s = run.longest_lease_s
    entry = msgspec.structs.replace(runner.entry, born_ms=77)
    runner_entries.announce(runner, entry, 100.2)
    leases.store_stray_leases(owner, runner, 100.2)
    assert run.longest_lease_s >= stored_s > owner.settings.max_lease_s


def list_foreign(runner, task, attempt, **fields):
    """Returns the answer of a runner that runs an attempt, and nothing else."""
    running = model.RunningAttempt(task.name, attempt, "", 10.0, 0.0)
    return model.RunnerStatus(runner.entry.born_ms, 1000, (running,), ())


@pytest.mark.parametrize("ended_by", ["poll", "life", "lease"])
def test_task_does_not_start_beside_an_attempt_that_a_poll_lists(ended_by):
    # Guards against two runs of a task: a start came late to a life of its
    # runner, the poll that finds that life lists the attempt, which was given
    # up before, and the next one is ordered although that one still runs.
    other = decisions.make_runner("other")
    owner = scheduling.make_owner(other)
    runner, run = make_running(owner, clock_read_at=10.0)
    task = run.task
    sessions._drop_runs(owner, runner, [run], "lease expired", 10.0)
    status = list_foreign(runner, task, run.attempt)
    sessions._apply_reply(owner, runner, status, 10.0, 10.1)
    scheduling.scheduling.place_ready_tasks(owner, 10.2)
    assert task.name in owner.table.ready
    if ended_by == "poll":
        ended = model.RunnerStatus(runner.entry.born_ms, 1200, (), ())
        sessions._apply_reply(owner, runner, ended, 10.2, 10.3)
    elif ended_by == "life":
        ended = model.RunnerStatus(77, 1200, (), ())
        sessions._apply_reply(owner, runner, ended, 10.2, 10.3)
    scheduling.scheduling.place_ready_tasks(owner, 10.4)
    assert (task.name in owner.table.ready) is (ended_by == "lease")
    scheduling.scheduling.place_ready_tasks(
        owner, 10.4 + 1.1 * owner.settings.max_lease_s
    )
    assert task.name not in owner.table.ready


async def test_start_is_withheld_as_a_poll_lists_another_attempt(monkeypatch):
    # Guards against the same where the start was placed just before.
    owner = scheduling.make_owner()
    runner = decisions.make_runner(answered_at=99.9, clock_ms=1_000)
    run = charge_starting_run(owner, runner)
    run.ordered_at, run.task.retry_at = 99.9, 104.0
    monkeypatch.setattr(sessions.clock, "read_now", lambda: 100.0)
    await orders._start_run(owner, run)
    assert run not in runner.runs and not run.sent_at
    assert run.task.name in owner.table.ready
