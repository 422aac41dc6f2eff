"""Calls meant for an earlier life of a runner, over real HTTP.

A runner that is back under its id takes them, as they name only the id.
"""

import contextlib
import types

import anyio
import msgspec
import pytest

from plantainvane.jobs import interfaces
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import tokens
from standins import platform_system
from tests import test_platform_sessions as platform_sessions

pytestmark = pytest.mark.anyio
ID = platform_sessions.ID
EARLIER_ID = "5c0e7a21d94b3700"
OTHER_ID = platform_sessions.OTHER_ID
TASK = f"{OTHER_ID}.0.0.0"
EARLIER_TASK = f"{EARLIER_ID}.0.0.0"
wait_until = platform_sessions.wait_until
# A poll is given up 0.4 s after the time that it may wait.
POLL_WAIT_S = 0.3
# Delay of a poll that is carried out after the next life was found, and long
# after the longest lease was granted there.
LATE_POLL_S = 5.0
# Longest lease where it outlasts the one that an owner requests.
LONGEST_LEASE_S = 10.0
# A lease may be counted as longer by this much: the clock of its runner may be
# slow, and the end is noticed at a poll.
LEASE_SLACK_S = 3.0
# Delay of a poll that is carried out before the next life is found, and after a
# short task has ended there.
UNFOUND_POLL_S = 0.5
# Delay of a start that a new life carries out before such a poll.
LATE_START_S = 0.45
# An end is read and shown in this time although it is not acknowledged.
READ_LIMIT_S = 0.8
# An end is listed, stored and acknowledged in this time.
ACKNOWLEDGED_S = 0.1


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_one_runner(**settings):
    """Yields a deployment of one process and one runner, and both of these."""
    async with platform_system.run_system(
        entries=1, runners=1, poll_wait_s=POLL_WAIT_S, **settings
    ) as system:
        owner = await system.wait_owner()
        yield system, owner, system.runners["i-0"]


async def submit(system, job_id, **fields):
    body = platform_system.make_job(count=1, **fields)
    reply = await platform_system.call(system.entries[0], "POST", job_id, body)
    assert reply.status_code == 200


def delay_polls_after_an_end(runner, delays_s):
    """Delays the polls after the one that lists the next end."""

    def delay_polls(what, *unused):
        if what == "end" and not runner.delayed_polls:
            runner.delayed_polls.extend(delays_s)

    runner.on_run = delay_polls


async def run_earlier_job(system, owner, runner, delay_s):
    """Has a runner list one end beside a task that runs on.

    The poll that acknowledges the end is carried out after the delay, and never
    answered. Returns when it was sent.
    """
    await submit(system, ID, run_ms=60_000)
    known = owner.owner.runners[runner.id]
    await wait_until(lambda: any(run.reported for run in known.runs))
    delay_polls_after_an_end(runner, [delay_s])
    await submit(system, EARLIER_ID)
    await platform_system.wait_state(system, EARLIER_ID, "completed")
    await wait_until(lambda: not runner.delayed_polls)
    runner.on_run = lambda *unused: None
    assert known.last_stored_end == 1
    return anyio.current_time()


def record_noted_ends(runner):
    """Returns a list of the tasks whose ends are acknowledged from now on."""
    noted = []

    def record(what, task, *unused):
        if what == "noted":
            noted.append(task)

    runner.on_run = record
    return noted


def has_done(runner, task):
    """Ends what is due, as the stand-in does so only at a call."""
    runner.end_due_attempts()
    return task in runner.done


async def begin_next_life(system, owner, runner):
    """Restarts a runner and waits until the owner may use it again."""
    known = owner.owner.runners[runner.id]
    runner.restart()
    platform_system.write_entry(system, runner)
    await wait_until(lambda: known.restarted_at > 0)
    await wait_until(lambda: known.fenced and known.listed)


def lose_starts(known):
    """Has no start reach a runner; returns the list of those that were sent."""
    calls, orders = known.calls, []

    async def lose_start(order):
        orders.append(msgspec.structs.replace(order, is_wanted=lambda: True))
        return interfaces.StartReply(interfaces.OrderOutcome.LOST)

    known.calls = types.SimpleNamespace(
        poll=calls.poll,
        start=lose_start,
        stop=calls.stop,
        pace=calls.pace,
        aclose=calls.aclose,
    )
    return orders


async def lose_stop(*unused):
    return interfaces.OrderOutcome.LOST


async def test_poll_that_finds_a_new_life_does_not_acknowledge_its_ends():
    # Guards against a task that runs again although it is done: it has run in a
    # life that no poll had found, and the poll that finds it acknowledges ends
    # by the count of the life before.
    async with run_one_runner() as (system, owner, runner):
        await run_earlier_job(system, owner, runner, 60.0)
        runner.restart()
        await submit(system, OTHER_ID)
        await wait_until(lambda: has_done(runner, TASK))
        known = owner.owner.runners["i-0"]
        assert known.restarted_at < 0
        await wait_until(lambda: known.restarted_at > 0)
        platform_system.write_entry(system, runner)
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1


async def test_late_poll_of_the_life_before_does_not_acknowledge_ends():
    # Guards against a task that runs again although it is done: a poll that the
    # life before has left unanswered makes the next one forget the end before
    # it is read.
    async with run_one_runner() as (system, owner, runner):
        sent_at = await run_earlier_job(system, owner, runner, LATE_POLL_S)
        await begin_next_life(system, owner, runner)
        await submit(system, OTHER_ID, run_ms=1000)
        await wait_until(lambda: TASK in runner.running)
        # No poll reads the end before the late one comes.
        runner.delayed_polls = [60.0]
        await wait_until(lambda: not runner.delayed_polls)
        runner.silent = True
        await wait_until(lambda: has_done(runner, TASK))
        assert runner.ends
        await anyio.sleep(sent_at + LATE_POLL_S + 0.2 - anyio.current_time())
        runner.silent = False
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1


async def test_late_poll_takes_no_end_of_a_life_that_no_poll_has_found():
    # Guards against a task that runs again although it is done: it ran in a new
    # life before any poll of that life, and a poll that the life before had
    # left unanswered acknowledged its end.
    async with run_one_runner() as (system, owner, runner):
        await run_earlier_job(system, owner, runner, UNFOUND_POLL_S)
        runner.restart()
        known = owner.owner.runners[runner.id]
        # Nor does the next poll find it in time.
        runner.delayed_polls = [60.0]
        noted = record_noted_ends(runner)
        await submit(system, OTHER_ID)
        await wait_until(lambda: has_done(runner, TASK))
        assert known.restarted_at < 0
        await wait_until(lambda: known.restarted_at > 0)
        platform_system.write_entry(system, runner)
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1
        # It is acknowledged just after the job is shown as completed.
        await wait_until(lambda: noted)
        assert noted == [TASK]


async def test_late_poll_takes_no_end_of_a_start_sent_before_it():
    # Guards against a task that runs again although it is done: the first try
    # of its start had no answer, the next life of the runner carries out the
    # second, and then a poll sent between the two.
    async with run_one_runner() as (system, owner, runner):
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await submit(system, EARLIER_ID, run_ms=300)
        await wait_until(lambda: len(known.runs) == 2)
        await wait_until(lambda: all(run.reported for run in known.runs))
        runner.delayed_starts = [60.0]
        delay_polls_after_an_end(runner, [UNFOUND_POLL_S, 60.0])
        await submit(system, OTHER_ID)
        await wait_until(lambda: not runner.delayed_starts)
        await wait_until(lambda: len(runner.delayed_polls) == 1)
        runner.restart()
        await wait_until(lambda: has_done(runner, TASK))
        assert known.restarted_at < 0
        await wait_until(lambda: known.restarted_at > 0)
        platform_system.write_entry(system, runner)
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1


async def test_no_end_is_acknowledged_while_a_start_may_come_late():
    # Guards against a task that runs again although it is done: its start and
    # an acknowledgement sent after it are both carried out late, by the next
    # life of the runner, and nothing between them.
    async with run_one_runner() as (system, owner, runner):
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await wait_until(lambda: any(run.reported for run in known.runs))
        await submit(system, EARLIER_ID, run_ms=300)
        await wait_until(lambda: EARLIER_TASK in runner.running)
        runner.delayed_starts = [LATE_START_S, 60.0, 60.0]
        delay_polls_after_an_end(runner, [UNFOUND_POLL_S, 60.0])
        await submit(system, OTHER_ID)
        await wait_until(lambda: has_done(runner, EARLIER_TASK))
        await anyio.sleep(ACKNOWLEDGED_S)
        assert TASK not in runner.running
        runner.restart()
        await wait_until(lambda: has_done(runner, TASK))
        await wait_until(lambda: known.restarted_at > 0)
        platform_system.write_entry(system, runner)
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1


async def test_late_poll_of_the_life_before_does_not_extend_leases():
    # Guards against a task that runs twice: its runner is cut off, and a poll
    # that the life before has left unanswered grants the longest lease there,
    # as it names a time on another clock.
    async with run_one_runner() as (system, owner, runner):
        await run_earlier_job(system, owner, runner, LATE_POLL_S)
        await begin_next_life(system, owner, runner)
        await submit(system, OTHER_ID, run_ms=60_000)
        await wait_until(lambda: TASK in runner.running)
        runner.silent = True
        cut_at = anyio.current_time()
        await platform_system.add_runner(system, "i-1")
        limit_s = runners_module.LATE_CALL_S + runner.max_hold_ms / 1000
        while TASK not in system.runners["i-1"].running:
            await anyio.sleep(0.01)
            assert anyio.current_time() - cut_at < limit_s
        runner.end_due_attempts()
        assert TASK not in runner.running


async def check_unfound_life_is_waited_for(delayed_polls_s, limit_s):
    """Has a task start in a life that is cut off before a poll finds it.

    The task starts at another runner, within the limit, once its lease there
    has expired.
    """
    async with run_one_runner(max_lease_s=LONGEST_LEASE_S) as parts:
        system, owner, runner = parts
        runner.max_hold_ms = LONGEST_LEASE_S * 1000
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await wait_until(lambda: any(run.reported for run in known.runs))
        runner.delayed_polls = delayed_polls_s
        await wait_until(lambda: len(runner.delayed_polls) == 1)
        runner.restart()
        await submit(system, OTHER_ID, run_ms=60_000)
        await wait_until(lambda: TASK in runner.running)
        await anyio.sleep(POLL_WAIT_S)
        runner.silent = True
        assert known.restarted_at < 0
        await platform_system.add_runner(system, "i-1")
        other = system.runners["i-1"]
        await wait_until(lambda: TASK in other.running, limit_s)
        runner.end_due_attempts()
        assert TASK not in runner.running


async def test_task_that_an_unfound_life_has_started_is_waited_for():
    # Guards against a task that runs twice: a start reached a new life before
    # any poll, and the life was cut off before one. It holds the longest lease,
    # which outlasts those of the life before.
    limit_s = LONGEST_LEASE_S + LEASE_SLACK_S
    await check_unfound_life_is_waited_for([60.0, 60.0], limit_s)


async def test_late_start_meant_for_the_life_before_is_refused(monkeypatch):
    # Guards against a task that runs twice: the next life of its runner carries
    # out a start that was never answered, after it was found. No stop of it is
    # sent there, as the order comes later than is expected.
    monkeypatch.setattr(runners_module, "LATE_START_S", 0.0)
    async with run_one_runner() as (system, owner, runner):
        runner.delayed_starts = [LATE_POLL_S]
        await submit(system, OTHER_ID, run_ms=60_000)
        await wait_until(lambda: TASK in runner.running)
        late_at = anyio.current_time() + LATE_POLL_S
        known = owner.owner.runners["i-0"]
        await wait_until(lambda: any(run.reported for run in known.runs))
        earlier_token = runner.token
        await platform_system.add_runner(system, "i-1")
        # The next life has no room, so that the task starts elsewhere.
        runner.cpu = 1
        await begin_next_life(system, owner, runner)
        await wait_until(lambda: TASK in system.runners["i-1"].running)
        await anyio.sleep(late_at + 0.2 - anyio.current_time())
        assert TASK not in runner.running
        assert system.list_starts().count((TASK, 1)) == 1
        assert runner.token > earlier_token
        assert tokens.find_epoch(runner.token) == owner.owner.epoch


async def test_poll_that_finds_a_life_refuses_a_start_given_up_before_it():
    # Guards against a task that runs twice: a start without an answer was given
    # up, the task runs elsewhere, and the next life of the first runner carries
    # the start out after the poll that finds it, before any stop.
    async with run_one_runner() as (system, owner, runner):
        known = owner.owner.runners[runner.id]
        calls = known.calls
        orders = lose_starts(known)
        await submit(system, OTHER_ID, run_ms=60_000)
        await wait_until(lambda: orders)
        # Without room there, the task starts elsewhere.
        runner.cpu = 1
        platform_system.write_entry(system, runner)
        await platform_system.add_runner(system, "i-1")
        await wait_until(lambda: TASK in system.runners["i-1"].running)
        assert not known.runs
        known.calls.stop = lose_stop
        runner.restart()
        assert runner.token == 0
        platform_system.write_entry(system, runner)
        await wait_until(lambda: runner.token > 0)
        reply = await calls.start(orders[0])
        assert reply.outcome is interfaces.OrderOutcome.FENCED
        assert TASK not in runner.running


async def test_late_poll_that_extends_a_lease_of_an_unfound_life_counts():
    # Guards against a task that runs twice: a start reached a life that no poll
    # had found, and a poll meant for the life before extends the lease there
    # seconds later.
    limit_s = 3 * LONGEST_LEASE_S
    await check_unfound_life_is_waited_for([4.0, 60.0], limit_s)


async def test_task_that_an_unfound_life_ends_before_the_retry_is_waited_for():
    # Guards against a task that runs again although it is done: the first try
    # of its start is carried out by a life that no poll has found, which
    # answers the second one that the attempt is old.
    async with run_one_runner(max_lease_s=LONGEST_LEASE_S) as parts:
        system, owner, runner = parts
        runner.max_hold_ms = LONGEST_LEASE_S * 1000
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await wait_until(lambda: any(run.reported for run in known.runs))
        runner.delayed_polls = [60.0] * 4
        await wait_until(lambda: len(runner.delayed_polls) == 3)
        runner.restart()
        runner.delayed_starts = [0.0]
        await submit(system, OTHER_ID)
        await wait_until(lambda: has_done(runner, TASK))
        await wait_until(
            lambda: any(
                run.start_answered
                for run in known.runs
                if run.task.name == TASK
            )
        )
        runner.silent = True
        assert known.restarted_at < 0
        await platform_system.add_runner(system, "i-1")
        # The lease of the new life has not expired by then.
        await anyio.sleep(LONGEST_LEASE_S - 1.5)
        runner.silent = False
        await platform_system.wait_state(system, OTHER_ID, "completed")
        assert platform_sessions.count_starts(system)[TASK] == 1


@pytest.mark.parametrize("answered", [True, False])
async def test_task_of_the_life_before_does_not_wait_for_an_unfound_life(
    answered,
):
    # Guards against a long-running task that waits for longer than 9 s, as
    # another start may have reached a life that no poll has found.
    async with run_one_runner(max_lease_s=LONGEST_LEASE_S) as parts:
        system, owner, runner = parts
        runner.max_hold_ms = LONGEST_LEASE_S * 1000
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await wait_until(lambda: any(run.reported for run in known.runs))
        runner.delayed_polls = [60.0] * 4
        await wait_until(lambda: len(runner.delayed_polls) == 3)
        runner.restart()
        ended_at = anyio.current_time()
        if not answered:
            runner.delayed_starts = [0.0, 60.0, 60.0]
        await submit(system, OTHER_ID, run_ms=60_000)
        await wait_until(lambda: TASK in runner.running)
        if answered:
            await anyio.sleep(POLL_WAIT_S)
        runner.silent = True
        platform_system.write_entry(system, runner)
        assert known.restarted_at < 0
        await platform_system.add_runner(system, "i-1")
        other = system.runners["i-1"]
        await wait_until(lambda: f"{ID}.0.0.0" in other.running, 30.0)
        assert anyio.current_time() - ended_at <= 9.0


async def test_end_beside_a_stop_without_an_answer_is_acknowledged():
    # Guards against a runner whose ends are never acknowledged, and that is
    # polled without a pause, as it answers polls but no orders.
    async with run_one_runner() as (system, owner, runner):
        known = owner.owner.runners[runner.id]
        await submit(system, ID, run_ms=60_000)
        await submit(system, EARLIER_ID, run_ms=1_000)
        await wait_until(lambda: len(known.runs) == 2)
        await wait_until(lambda: all(run.reported for run in known.runs))
        runner.ignores_orders = True
        await submit(system, OTHER_ID)
        await wait_until(lambda: has_done(runner, EARLIER_TASK))
        await wait_until(
            lambda: not runner.ends, runners_module.LATE_START_S + 3.0
        )


async def test_ends_beside_a_start_with_a_lost_try_are_read_at_once():
    # Guards against tasks that end late for their callers, as the runner lists
    # ends that are not acknowledged yet, and is polled less often: one try of a
    # long task's start had no answer.
    async with run_one_runner() as (system, owner, runner):
        known = owner.owner.runners[runner.id]
        runner.delayed_starts = [60.0]
        await submit(system, ID, run_ms=60_000)
        await wait_until(lambda: any(run.reported for run in known.runs))
        for job_id in (EARLIER_ID, OTHER_ID):
            await submit(system, job_id)
            while not has_done(runner, f"{job_id}.0.0.0"):
                await anyio.sleep(0.01)
            with anyio.fail_after(READ_LIMIT_S):
                await platform_system.wait_state(system, job_id, "completed")
        limit_s = runners_module.LATE_START_S + 1.0
        await wait_until(lambda: not runner.ends, limit_s)
