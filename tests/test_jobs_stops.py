"""Stops of attempts whose job or task has ended, from the end to the order."""

import contextlib
import gc
import time

import anyio
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import stops
from standins import platform_system
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes
from tests import test_platform_sessions as platform

pytestmark = pytest.mark.anyio
ID = platform.ID
# Longest time from a cancel until its tasks are gone (UNASKED): 3 s, and 0.4 s
# that the platform allows a stop.
GONE_LIMIT_S = 3.4
# A ping takes several turns of the event loop and is answered within 0.5 s.
TURN_LIMIT_S = 0.1
# Memory that the stops of one job may take, at 7 KB for each under way.
STOPS_LIMIT_MB = 8
# Orders that a runner without answers may cost in a second, as its polls do.
MAX_REPEATS_PER_S = 12
# Three looks fit into the time until a task has to be gone.
LOOK_LIMIT_S = 1.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def hold_up_passes(monkeypatch, released):
    """Makes each pass go on in slices until `released` is set."""

    def run_pass(owner, current):
        while not released.is_set():
            time.sleep(0.001)
            yield

    monkeypatch.setattr(scheduling, "run_pass", run_pass)


async def test_a_cancel_does_not_wait_for_a_scheduling_pass(monkeypatch):
    # Guards against tasks of a cancelled job that run on until a pass ends,
    # which takes a minute with tens of thousands of ready tasks.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        body = platform_system.make_job(count=4, run_ms=60_000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform.wait_until(lambda: len(system.list_starts()) == 4)
        released = anyio.Event()
        hold_up_passes(monkeypatch, released)
        # The present pass ends, and the next one begins.
        await anyio.sleep(2 * owner_module._PASS_INTERVAL_S)
        try:
            reply = await platform_system.call(system.entries[0], "DELETE", ID)
            assert reply.status_code == 200
            await platform.wait_until(
                lambda: not any(r.running for r in system.runners.values()),
                GONE_LIMIT_S,
            )
        finally:
            released.set()


class CountedCalls:
    """Answers stops after `took_s`, and counts those under way in `counts`."""

    def __init__(self, counts, took_s=0.01):
        self.counts, self.took_s, self.stopped = counts, took_s, []

    async def stop(self, task, *unused):
        self.counts.append(self.counts[-1] + 1)
        try:
            await anyio.sleep(self.took_s)
        finally:
            self.counts.append(self.counts[-1] - 1)
        if self.took_s >= 1.0:
            return interfaces.OrderOutcome.LOST
        self.stopped.append(task)
        return interfaces.OrderOutcome.DONE


def make_large_job(owner, counts, runners, tasks):
    """Makes runners that run a job of many tasks together."""
    for number in range(runners):
        runner = decisions.make_runner(f"i-{number}")
        runner.calls = CountedCalls(counts)
        owner.runners[runner.entry.id] = runner
    step = decisions.make_step(count=tasks, cpu=0, memory_mb=0)
    state = decisions.add_job(owner.table, step)
    known = list(owner.runners.values())
    for number, task in enumerate(list(owner.table.ready.values())):
        runner = known[number % runners]
        run = owner.table.begin_run(task, runner.entry.id, 1.0)
        run.phase = attempts.Phase.RUNNING
        runner.charge(run)
    return state


@contextlib.contextmanager
def freeze_objects():
    """Keeps collections of garbage from looking at what exists already.

    Their pauses grow with all that the process holds, here with all tests.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


async def test_the_stops_of_a_large_job_neither_block_nor_flood():
    # Guards against an owner that answers no ping while it orders the stops of
    # a cancelled job, and against so many at once that none is answered in
    # time; they also wait for no runner that does not answer.
    counts = [0]
    owner = passes.make_owner()
    state = make_large_job(owner, counts, runners=490, tasks=20_000)
    silent = [owner.runners[f"i-{number}"] for number in range(40)]
    for runner in silent:
        runner.silent, runner.calls.took_s = True, 60.0
    turns = []

    def count_stopped():
        return sum(len(r.calls.stopped) for r in owner.runners.values())

    async def watch_turns():
        last = time.thread_time()
        while True:
            await anyio.sleep(0)
            now = time.thread_time()
            turns.append(now - last)
            last = now

    with freeze_objects():
        async with anyio.create_task_group() as owner.group:
            owner.group.start_soon(owner_module._stop_ended_runs, owner)
            await anyio.sleep(0.05)
            owner.group.start_soon(watch_turns)
            await anyio.sleep(0)
            decisions.cancel_job(owner.table, state)
            expected = sum(len(r.runs) for r in owner.runners.values())
            expected -= sum(len(r.runs) for r in silent)
            with anyio.fail_after(30.0):
                while count_stopped() < expected:
                    await anyio.sleep(0.01)
            owner.group.cancel_scope.cancel()
    unanswered = sum(len(r.runs) for r in silent)
    assert max(turns) < TURN_LIMIT_S
    assert (max(counts) - unanswered) * 7 / 1024 < STOPS_LIMIT_MB


class HeldCalls:
    """Answers stops after `hangs` calls that never end; keeps their times."""

    def __init__(self, hangs=0, outcome=interfaces.OrderOutcome.DONE):
        self.hangs, self.outcome, self.times = hangs, outcome, []
        self.took_s = 0.0

    async def stop(self, *unused):
        self.times.append(time.monotonic())
        await anyio.sleep(self.took_s)
        if len(self.times) <= self.hangs:
            await anyio.sleep_forever()
        return self.outcome


def make_running(**fields):
    """Makes an owner with a runner that runs the task of an open job."""
    runner = decisions.make_runner("a")
    runner.calls = HeldCalls()
    owner = passes.make_owner(runner)
    step = decisions.make_step(long_running=True, **fields)
    runs = decisions.place_runs(runner, owner.table, step)
    return owner, runner, runs


def report_running(owner, runner, runs, sent_at):
    """Applies a poll that lists attempts."""
    status = make_status(runner, runs)
    sessions._apply_running(owner, runner, status, sent_at, sent_at + 0.1)


def make_status(runner, runs):
    listed = tuple(
        model.RunningAttempt(run.task.name, run.attempt, "", 1.0, 0.0)
        for run in runs
    )
    return model.RunnerStatus(runner.entry.born_ms, 1, listed, ())


async def end_unseen(owner, runner, run):
    """Ends the job without a stop."""
    decisions.cancel_job(owner.table, run.task.job)
    owner.table.runs_to_stop.clear()


async def give_up(owner, runner, run):
    """Orders the stop while the runner is not known."""
    decisions.cancel_job(owner.table, run.task.job)
    del owner.runners["a"]
    owner_module._stop_ended(owner)
    await stops._send_stop(owner, run)
    owner.runners["a"] = runner


async def add_after_end(owner, runner, run):
    """Adds an attempt to the task of a job that has ended."""
    await end_unseen(owner, runner, run)
    other = owner.table.begin_run(run.task, "a", 1.0)
    other.phase = attempts.Phase.RUNNING
    runner.charge(other)


async def finish_elsewhere(owner, runner, run):
    """Ends the task, of which a copy is left."""
    owner.table._finish_task(run.task, 1.0, 1)
    owner.table.runs_to_stop.clear()


async def fail_to_charge(owner, runner, run):
    """Ends the job; the attempt is charged to no runner."""
    await give_up(owner, runner, run)
    runner.charge(run, -1)


@pytest.mark.parametrize(
    "trouble",
    [end_unseen, give_up, add_after_end, finish_elsewhere, fail_to_charge],
)
async def test_what_outlives_its_job_is_stopped_when_a_poll_lists_it(trouble):
    # Guards against an attempt of an ended job that every poll lists, which
    # renews its lease, and that is not stopped again, whatever went before.
    owner, runner, (run,) = make_running()
    await trouble(owner, runner, run)
    runs = list(run.task.runs)
    owner.group.started.clear()
    for sent_at in (10.0, 10.2):
        report_running(owner, runner, runs, sent_at)
    assert passes.list_stopped(owner) == runs


async def test_an_attempt_of_an_open_job_is_not_stopped():
    # Guards against a poll that stops what is to run.
    owner, runner, runs = make_running(count=3)
    report_running(owner, runner, runs, 10.0)
    assert passes.list_stopped(owner) == []


async def run_stop(owner, run):
    """Ends the job, and sends its stop until it is answered."""
    decisions.cancel_job(owner.table, run.task.job)
    owner_module._stop_ended(owner)
    await stops._send_stop(owner, run)


async def test_a_stop_whose_call_hangs_is_sent_again():
    # Guards against a stop that waits for ever for the end of one call.
    owner, runner, (run,) = make_running()
    runner.calls.hangs = 1
    with anyio.fail_after(GONE_LIMIT_S):
        await run_stop(owner, run)
    assert run.stop.sent == 2


async def test_a_stop_that_hangs_follows_its_runner_to_a_new_address():
    # Guards against the same while the runner is replaced by one at another
    # address, where the attempt runs.
    owner, runner, (run,) = make_running()
    runner.calls.hangs = 100
    moved = decisions.make_runner("a")
    moved.calls = HeldCalls()
    with anyio.fail_after(GONE_LIMIT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(run_stop, owner, run)
            while not runner.calls.times:
                await anyio.sleep(0.01)
            moved.charge(run)
            owner.runners["a"] = moved
    assert moved.calls.times


async def _measure_sleep(seconds):
    """Sleeps; returns the seconds that it took, on a busy machine more."""
    began = time.monotonic()
    await anyio.sleep(seconds)
    return time.monotonic() - began


@pytest.mark.parametrize("took_s", [0.0, 0.005])
async def test_stops_to_a_runner_that_answers_nothing_are_few(took_s):
    # Guards against a storm of orders: 40 stops to one runner that refuses each
    # connection were sent 20 times a second each. Once it answers, guards
    # against stops that wait for each other: 50 of them took 20 s.
    owner, runner, runs = make_running(count=40)
    runner.calls.took_s = took_s
    runner.calls.outcome = interfaces.OrderOutcome.UNREACHED
    async with anyio.create_task_group() as owner.group:
        decisions.cancel_job(owner.table, runs[0].task.job)
        # One call orders stops for the time of a slice only.
        while owner.table.runs_to_stop:
            owner_module._stop_ended(owner)
        first_s = await _measure_sleep(1.0)
        first = len(runner.calls.times)
        second_s = await _measure_sleep(1.0)
        second = len(runner.calls.times) - first
        assert first <= 40 + MAX_REPEATS_PER_S * first_s
        assert second <= MAX_REPEATS_PER_S * second_s
        runner.calls.outcome = interfaces.OrderOutcome.DONE
        with anyio.fail_after(GONE_LIMIT_S / 2):
            while not all(run.stop.answered_at for run in runs):
                await anyio.sleep(0.01)
        owner.group.cancel_scope.cancel()


@pytest.mark.parametrize("foreign", [False, True])
def test_a_runner_that_stops_something_is_looked_at_often(foreign):
    # Guards against a lost or ineffective stop that is found out only after a
    # long poll, later than the task has to be gone.
    owner, runner, (run,) = make_running()
    runner.renewed_at = 9.9
    assert sessions._choose_wait(owner, runner, 10.0) > LOOK_LIMIT_S
    if foreign:
        runner.foreign = frozenset({("other", 1)})
    else:
        stops.stop_run(owner, run, "moved")
    assert sessions._choose_wait(owner, runner, 10.0) <= LOOK_LIMIT_S


async def test_the_stop_of_a_foreign_attempt_is_under_way_once():
    # Guards against calls that pile up at a runner that answers polls and no
    # orders, and against one that hangs and is the last.
    owner, runner, (run,) = make_running()
    runner.charge(run, -1)
    owner.table.drop_run(run, 1.0)
    runner.calls.hangs = 1
    async with anyio.create_task_group() as owner.group:
        for _ in range(20):
            report_running(owner, runner, [run], 10.0)
            await anyio.sleep(0.01)
        assert len(runner.calls.times) == 1
        with anyio.fail_after(GONE_LIMIT_S):
            while len(runner.calls.times) < 2:
                report_running(owner, runner, [run], 10.0)
                await anyio.sleep(0.05)


def answer_polls(owner, runner, runs, *times):
    for now in times:
        status = make_status(runner, runs)
        sessions._apply_reply(owner, runner, status, now - 0.1, now)


def may_start(runner, now):
    return eligibility.accepts_step(runner, decisions.make_step(), now)


def ignore_stop(owner, runner, run):
    """Cancels the job of an attempt; its stop, of 10.0, has no answer."""
    decisions.cancel_job(owner.table, run.task.job)
    stops.stop_run(owner, run, "job ended")
    run.stop.under_way_since = 10.0


def test_nothing_is_started_where_a_stop_has_no_answer():
    # Guards against more tasks on a runner that answers polls and no orders,
    # where none of them could be stopped either.
    owner, runner, (run,) = make_running()
    ignore_stop(owner, runner, run)
    answer_polls(owner, runner, [run], 10.5, 11.0, 11.9)
    assert may_start(runner, 11.9)
    answer_polls(owner, runner, [run], 12.5)
    assert not may_start(runner, 12.5)
    assert 0.0 < sessions._choose_wait(owner, runner, 20.0) <= LOOK_LIMIT_S
    run.stop.under_way_since, run.running_since = None, 12.6
    answer_polls(owner, runner, [run], 12.7)
    assert may_start(runner, 12.7)


def test_a_runner_that_ignored_stops_is_used_again_without_its_attempts():
    # Guards against an idle runner that is left out for ever, as none of its
    # attempts is left and nothing polls it.
    owner, runner, (run,) = make_running()
    ignore_stop(owner, runner, run)
    answer_polls(owner, runner, [run], 11.0, 12.5)
    runner.charge(run, -1)
    owner.table.drop_run(run, 12.6)
    assert sessions._needs_poll(runner, 12.7)
    answer_polls(owner, runner, [], 12.7)
    assert may_start(runner, 12.7) and not sessions._needs_poll(runner, 12.8)


def test_a_runner_that_was_silent_has_time_to_answer_a_stop():
    # Guards against a runner that is taken for one that ignores stops because
    # nothing could reach it before.
    owner, runner, (run,) = make_running()
    ignore_stop(owner, runner, run)
    runner.silent = True
    answer_polls(owner, runner, [run], 13.0, 14.9)
    assert may_start(runner, 14.9)
    answer_polls(owner, runner, [run], 15.1)
    assert not may_start(runner, 15.1)


@pytest.mark.parametrize("beside", [False, True])
def test_leases_are_withheld_only_if_nothing_else_runs_there(beside):
    # Guards against a task of an ended job that runs for as long as its runner
    # ignores its stop, and against tasks of open jobs that lapse for it.
    owner, runner, (run,) = make_running()
    runs = [run]
    if beside:
        step = decisions.make_step(long_running=True)
        runs += decisions.place_runs(runner, owner.table, step, job_id="open")
    answer_polls(owner, runner, runs, 9.9)
    ignore_stop(owner, runner, run)
    answer_polls(owner, runner, runs, 10.1)
    assert leases.choose_lease(owner, runner, 10.2) is not None
    answer_polls(owner, runner, runs, 12.5)
    assert (leases.choose_lease(owner, runner, 12.6) is not None) is beside


@pytest.mark.parametrize("needed", [False, True])
def test_a_foreign_attempt_that_cannot_be_stopped_gets_no_lease(needed):
    # Guards against an attempt that is charged to nobody and runs on for as
    # long as its runner answers polls, as each of them renews the lease. What
    # is needed beside it goes on.
    owner, runner, (run, other) = make_running(count=2)
    runner.clock_ms = 1000
    runner.charge(run, -1)
    owner.table.drop_run(run, 1.0)
    if not needed:
        runner.charge(other, -1)
        owner.table.drop_run(other, 1.0)
    listed = [run, other] if needed else [run]
    answer_polls(owner, runner, listed, 10.0, 11.0, 11.9)
    assert leases.choose_lease(owner, runner, 11.9) is not None
    answer_polls(owner, runner, listed, 12.1)
    assert (leases.choose_lease(owner, runner, 12.1) is not None) == needed
    answer_polls(owner, runner, [other] if needed else [], 13.0)
    assert leases.choose_lease(owner, runner, 13.0) is not None


@pytest.mark.parametrize("way", ["given up", "cancelled"])
async def test_end_of_a_job_is_stored_although_no_other_record_follows(way):
    # Guards against a job that runs on without an end: its end is stored only
    # with the next record, and its tasks are stopped only after that.
    owner = passes.make_owner()
    state = decisions.add_job(owner.table, decisions.make_step())
    added = []

    class Journal:
        def add(self, records):
            added.append((records, list(owner.table.changed)))

    owner.journal = Journal()
    async with anyio.create_task_group() as group:
        group.start_soon(owner_module._store_ends, owner)
        await anyio.wait_all_tasks_blocked()
        assert not added
        if way == "cancelled":
            owner.table.cancel_job(state, 1)
        else:
            owner.table.give_up(state.steps[0, 0].tasks[0], 1)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert added == [([], [state.job.id])]
