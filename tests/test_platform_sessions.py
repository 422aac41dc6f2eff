"""End-to-end sessions on the platform's stand-ins, over real HTTP and gRPC.

The starts recorded by the runners show what ran, and how often.
"""

import asyncio
import collections

import anyio
import anyio.abc
import httpx
import pytest

from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import sessions
from plantainvane.jobs import state
from plantainvane.jobs import tokens
from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"
# Ends that an answer of a runner lists at most.
LISTED_ENDS = 500
# Limit for steps whose time is not tested.
SETUP_LIMIT_S = 60.0
# Limit for the detection of a failed owner, the claim and the first polls.
TAKEOVER_LIMIT_S = 4.0
# A long-running task may wait this long while a runner has room for it (LOST).
IDLE_LIMIT_S = 3.0
# A task has to be stopped this long after its job was cancelled (UNASKED).
CANCEL_LIMIT_S = 3.4


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_until(condition, limit_s=5.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


def count_starts(system):
    return collections.Counter(task for task, _ in system.list_starts())


async def start_job(system, **fields):
    """Submits a job and waits for its first start; returns the owner."""
    owner = await system.wait_owner()
    body = platform_system.make_job(**fields)
    await platform_system.call(system.entries[0], "POST", ID, body)
    await wait_until(lambda: len(system.list_starts()) == 1)
    return owner


async def test_job_runs_its_steps_in_order_and_once():
    # Guards against a start before its dependencies are done, and against
    # duplicate runs in the absence of faults.
    async with platform_system.run_system(entries=3) as system:
        owner = await system.wait_owner()
        other = next(e for e in system.entries if e is not owner)
        body = platform_system.make_job(steps=2, count=3)
        reply = await platform_system.call(other, "POST", ID, body)
        assert reply.status_code == 200
        await platform_system.wait_state(system, ID, "completed")
        starts = [task for task, _ in system.list_starts()]
        assert count_starts(system) == {
            f"{ID}.0.{step}.{index}": 1 for step in (0, 1) for index in range(3)
        }
        for runner in system.runners.values():
            steps = [int(task.split(".")[2]) for task, _ in runner.starts]
            assert steps == sorted(steps)
        assert len(starts) == 6


async def test_repeated_submission_is_one_job():
    # Guards against a retry at another process that runs the job twice.
    async with platform_system.run_system(entries=2) as system:
        await system.wait_owner()
        body = platform_system.make_job()
        for entry in (*system.entries, *system.entries):
            reply = await platform_system.call(entry, "POST", ID, body)
            assert reply.status_code == 200
        await platform_system.wait_state(system, ID, "completed")
        reply = await platform_system.call(system.entries[0], "POST", ID, body)
        assert reply.status_code == 200
        await anyio.sleep(0.3)
        assert set(count_starts(system).values()) == {1}


async def test_successor_keeps_running_tasks_and_starts_none_twice():
    # Guards against a takeover that restarts running tasks, and against one
    # that loses tasks that had not been started.
    async with platform_system.run_system(entries=3) as system:
        owner = await system.wait_owner()
        body = platform_system.make_job(steps=2, count=4, run_ms=1500)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(system.list_starts()) == 4)
        await system.kill(owner)
        with anyio.fail_after(TAKEOVER_LIMIT_S):
            successor = await system.wait_owner()
        assert successor.ownership.epoch > 0
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_accepted_jobs_survive_the_loss_of_all_processes():
    # Guards against state that is held only in the memory of a process.
    async with platform_system.run_system(entries=2) as system:
        await system.wait_owner()
        body = platform_system.make_job(steps=2, count=2, run_ms=800)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(system.list_starts()) == 2)
        for entry in list(system.entries):
            await system.kill(entry)
        await platform_system.add_entry(system, 7)
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_lost_reply_of_the_log_is_resolved():
    # Guards against a job that is acknowledged but not stored, and against one
    # that is refused but stored and run.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        system.store.lose_answers = 2
        body = platform_system.make_job()
        reply = await platform_system.call(
            system.entries[0], "POST", ID, body, deadline_ms=4000
        )
        assert reply.status_code == 200
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_refused_submission_never_runs():
    # Guards against a 503 for a job that was stored nevertheless, and against a
    # refusal that comes late or has no Retry-After header.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        system.store.down = True
        entry = system.entries[0]
        replies = []
        for job_id in (ID, OTHER_ID):
            with anyio.fail_after(1.5):
                body = platform_system.make_job()
                replies.append(
                    await platform_system.call(entry, "POST", job_id, body)
                )
        assert [r.status_code for r in replies] == [503, 503]
        assert all(int(r.headers["retry-after"]) >= 1 for r in replies)
        system.store.down = False
        await anyio.sleep(1.0)
        assert system.list_starts() == []
        reply = await platform_system.call(entry, "GET", ID)
        assert reply.status_code == 410


async def test_late_start_order_does_not_run_twice():
    # Guards against an unanswered order that is carried out after its task was
    # started elsewhere.
    async with platform_system.run_system(entries=1, runners=2) as system:
        await system.wait_owner()
        for runner in system.runners.values():
            runner.delayed_starts = [1.2]
        body = platform_system.make_job(count=2, run_ms=200)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "completed")
        await anyio.sleep(1.5)
        assert set(count_starts(system).values()) == {1}


async def test_cancelled_job_is_stopped():
    # Guards against tasks that go on after the cancellation was acknowledged.
    async with platform_system.run_system(entries=2) as system:
        await system.wait_owner()
        body = platform_system.make_job(steps=2, count=2, run_ms=5000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(system.list_starts()) == 2)
        reply = await platform_system.call(system.entries[1], "DELETE", ID)
        assert reply.status_code == 200
        await wait_until(
            lambda: not any(r.running for r in system.runners.values())
        )
        reply = await platform_system.call(system.entries[1], "GET", ID)
        assert reply.json() == {"State": "cancelled"}


async def test_job_fails_after_max_failures():
    # Guards against endless retries of a job that always fails, and against a
    # job that fails before one of its tasks has failed `max_failures` times.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        body = platform_system.make_job(count=1, fails=True, run_ms=30)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "failed")
        assert [a for _, a in system.list_starts()] == [1, 2]


async def test_owner_that_stops_hands_over():
    # Guards against a planned restart whose claim lapses instead of being
    # handed over.
    async with platform_system.run_system(entries=3) as system:
        owner = await system.wait_owner()
        await anyio.sleep(0.8)
        body = platform_system.make_job(count=2, run_ms=1500)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(system.list_starts()) == 2)
        epoch = owner.ownership.epoch
        system.group.start_soon(entry_module.drain, owner)
        await wait_until(
            lambda: any(
                e.owner is not None and e.owner.epoch > epoch
                for e in system.entries
            ),
            limit_s=1.0,
        )
        await wait_until(lambda: owner.stopping.is_set(), limit_s=5.0)
        system.entries.remove(owner)
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_newer_configuration_is_fetched_from_a_peer():
    # Guards against a process that serves an old version because its own read
    # of the log hangs on a dead connection.
    async with platform_system.run_system(entries=2) as system:
        owner = await system.wait_owner()
        other = next(e for e in system.entries if e is not owner)
        platform_system.write_configuration(system.store, 2)
        await wait_until(lambda: owner.configuration.version == 2)
        other.configuration = type(other.configuration)(1, ())
        await wait_until(lambda: other.configuration.version == 2, limit_s=1.5)


async def test_silent_runner_is_not_treated_as_idle():
    # Guards against a second copy of a task whose lease may still be valid.
    async with platform_system.run_system(entries=1, runners=1) as system:
        await start_job(system, count=1, run_ms=2500)
        await platform_system.add_runner(system, "i-9")
        system.runners["i-0"].silent = True
        await anyio.sleep(2.0)
        assert len(system.list_starts()) == 1
        system.runners["i-0"].silent = False
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_silent_runner_is_used_again_after_its_tasks_were_dropped():
    # Guards against a runner without attempts that is not polled while it
    # counts as silent, so that it gets no task until another owner takes over.
    async with platform_system.run_system(
        entries=1, runners=1, lease_s=1.5
    ) as system:
        owner = await start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        known = owner.owner.runners["i-0"]
        system.runners["i-0"].silent = True
        await wait_until(lambda: known.silent and not known.runs)
        system.runners["i-0"].silent = False
        await wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=IDLE_LIMIT_S
        )


async def test_leases_are_renewed_soon_after_a_silent_runner_answers(
    monkeypatch,
):
    # Guards against tasks that lapse on a runner that answers again: its leases
    # are not extended before the withdrawal of their promised expiry is stored,
    # and the next poll waited for an end meanwhile.
    monkeypatch.setattr(sessions, "_PROMISE_DELAY_S", 0.1)
    async with platform_system.run_system(
        entries=1, runners=0, lease_s=8.0, max_lease_s=9.0
    ) as system:
        await platform_system.add_runner(system, "i-0", max_hold_ms=9000)
        owner = await start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        known, runner = owner.owner.runners["i-0"], system.runners["i-0"]
        await wait_until(lambda: known.renewed_at > 0)
        runner.silent = True
        await wait_until(lambda: known.expiry_promised, limit_s=8.0)
        system.store.append_delay_s = 0.05
        runner.silent = False
        await wait_until(
            lambda: runner.lease_until_ms - runner.read_clock() > 6000,
            limit_s=1.5,
        )
        assert len(system.list_starts()) == 1


async def test_ends_are_acknowledged_while_the_log_is_slow():
    # Guards against ends that are never acknowledged while an append takes
    # longer than the pause between polls: each poll lists them again, and each
    # time the wait for their storage began anew.
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = (await start_job(system, count=1, run_ms=1500)).owner
        system.store.append_delay_s = 0.56
        runner = owner.runners["i-0"]
        with anyio.fail_after(5.0):
            while not runner.last_stored_end:
                # Other records keep the log busy.
                owner.journal.add([(state.LEARNED_KEY, b"[]")])
                await anyio.sleep(0.02)


@pytest.mark.parametrize("by", ["silence", "takeover"])
async def test_tasks_whose_ends_do_not_fit_one_list_run_once(by):
    # Guards against tasks that run again although they are done, because more
    # ends than one answer lists came while no process polled the runner.
    async with platform_system.run_system(entries=2, runners=1) as system:
        owner = await system.wait_owner()
        runner = system.runners["i-0"]
        runner.cpu = runner.memory_mb = 10_000_000
        system.store.put(
            "keyed.servers",
            "i-0",
            runner.make_entry(
                owner.owner.runners["i-0"].entry.address,
                platform_system.SERVICE,
                "ready",
            ),
        )
        count = 2 * LISTED_ENDS + 100
        body = platform_system.make_job(count=count, run_ms=600_000, Cpu=1)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(
            lambda: len(runner.running) == count, limit_s=SETUP_LIMIT_S
        )
        runner.silent = True
        if by == "takeover":
            await system.kill(owner)
        runner.end_all("done")
        runner.silent = False
        await platform_system.wait_state(system, ID, "completed", SETUP_LIMIT_S)
        assert not runner.repeated and len(runner.done) == count


async def test_runner_that_restarts_while_it_is_silent_is_used_again():
    # Guards against the same for a runner that crashed: its attempts end with
    # their leases before it has answered a poll. Its new entry ends none.
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = await start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        known, runner = owner.owner.runners["i-0"], system.runners["i-0"]
        await wait_until(lambda: all(run.reported for run in known.runs))
        longest_s = owner.owner.settings.old_lease_limit_s
        runner.silent = True
        await wait_until(lambda: known.silent)
        runner.restart()
        entry = runner.make_entry(
            known.entry.address, platform_system.SERVICE, "ready"
        )
        system.store.put("keyed.servers", "i-0", entry)
        await wait_until(lambda: known.announced is not None)
        assert known.runs
        await wait_until(lambda: not known.runs, limit_s=longest_s)
        runner.silent = False
        await wait_until(
            lambda: len(system.list_starts()) == 2, limit_s=IDLE_LIMIT_S
        )


async def test_task_on_a_runner_that_restarted_unnoticed_runs_once():
    # Guards against an attempt that a new incarnation has started and that is
    # dropped with those of the incarnation before.
    async with platform_system.run_system(entries=1, runners=2) as system:
        await system.wait_owner()
        for runner in system.runners.values():
            runner.restart()
        body = platform_system.make_job(count=2, run_ms=800)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "completed")
        assert set(count_starts(system).values()) == {1}


async def test_idle_runner_that_restarted_rejects_orders_of_earlier_owners():
    # Guards against a start order of an earlier owner that a new incarnation
    # carries out, because it has seen no token and is not polled while idle.
    async with platform_system.run_system(entries=2, runners=2) as system:
        await system.kill(await system.wait_owner())
        owner = await system.wait_owner()
        assert owner.owner.epoch > 0
        for runner_id, runner in system.runners.items():
            assert runner.token == owner.owner.runners[runner_id].token
            assert tokens.find_epoch(runner.token) == owner.owner.epoch
            runner.restart()
            address = owner.owner.runners[runner_id].entry.address
            entry = runner.make_entry(address, platform_system.SERVICE, "ready")
            system.store.put("keyed.servers", runner_id, entry)
        await wait_until(
            lambda: all(
                runner.token == owner.owner.runners[runner_id].token
                and tokens.find_epoch(runner.token) == owner.owner.epoch
                for runner_id, runner in system.runners.items()
            ),
            limit_s=1.5,
        )


async def test_task_does_not_wait_for_a_runner_that_refuses_each_start():
    # Guards against a task that is ordered again and again from the same idle
    # runner, whose address another runner has, beside one that would run it.
    async with platform_system.run_system(entries=1, runners=2) as system:
        owner = (await system.wait_owner()).owner
        await wait_until(lambda: all(r.fenced for r in owner.runners.values()))
        first = next(iter(owner.runners))
        system.runners[first].id = "i-77"
        for known in owner.runners.values():
            # The faster runner is preferred.
            known.speed = 1.0 if known.entry.id == first else 0.5
        body = platform_system.make_job(
            count=1, run_ms=60_000, LongRunning=True
        )
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(
            lambda: len(system.list_starts()) == 1, limit_s=IDLE_LIMIT_S
        )
        (start,) = system.list_starts()
        assert start[1] <= 2
        assert owner.runners[first].silent


async def test_malformed_records_are_ignored():
    # Guards against malformed records of other software that crash a process.
    async with platform_system.run_system(entries=1, runners=1) as system:
        await system.wait_owner()
        for value in (b"\xff\xfe", b"{}", b'{"Service":1}', b"[]"):
            system.store.put("keyed.servers", "i-odd", value)
        system.store.put("keyed.jobs", OTHER_ID, b"not a job")
        platform_system.write_configuration(system.store, 2)
        body = platform_system.make_job()
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "completed")
        assert "i-odd" not in system.entries[0].owner.runners


async def test_task_of_a_lost_runner_is_restarted_when_its_lease_expires():
    # Guards against unanswered polls that extend the lease which has to expire
    # before the task may be started elsewhere.
    async with platform_system.run_system(
        entries=1, runners=1, lease_s=1.5
    ) as system:
        await start_job(system, count=1, run_ms=4000)
        await platform_system.add_runner(system, "i-9")
        system.runners["i-0"].silent = True
        await wait_until(lambda: len(system.list_starts()) == 2, limit_s=5.0)
        system.runners["i-0"].end_due_attempts()
        assert system.runners["i-0"].running == {}


async def test_successors_do_not_restart_the_wait_for_a_lost_runner():
    # Guards against a long-running task that is not restarted through repeated
    # takeovers, although all leases on its lost runner have expired.
    async with platform_system.run_system(
        entries=3, runners=1, lease_s=4.0
    ) as system:
        owner = await start_job(
            system, count=1, run_ms=60_000, LongRunning=True
        )
        await platform_system.add_runner(system, "i-9")
        system.runners["i-0"].silent = True
        await anyio.sleep(0.5)
        system.store.put("keyed.servers", "i-0", None)
        await wait_until(lambda: owner.owner.runners["i-0"].silent)
        await anyio.sleep(0.1)
        await system.kill(owner)
        await system.kill(await system.wait_owner())
        await wait_until(lambda: len(system.list_starts()) == 2, limit_s=4.0)
        system.runners["i-0"].end_due_attempts()
        assert system.runners["i-0"].running == {}


async def test_task_cancelled_while_its_runner_is_unlisted_is_stopped():
    # Guards against a stop that is given up because a new owner does not know
    # the runner yet: the attempt runs on, under leases that the owner renews.
    async with platform_system.run_system(
        entries=2, runners=1, lease_s=5.5
    ) as system:
        owner = await start_job(system, count=1, run_ms=60_000)
        runner = system.runners["i-0"]
        address = owner.owner.runners["i-0"].entry.address
        runner.silent = True
        system.store.put("keyed.servers", "i-0", None)
        await system.kill(owner)
        successor = await system.wait_owner()
        reply = await platform_system.call(successor, "DELETE", ID)
        assert reply.status_code == 200
        runner.silent = False
        entry = runner.make_entry(address, platform_system.SERVICE, "ready")
        system.store.put("keyed.servers", "i-0", entry)
        await wait_until(lambda: not runner.running, limit_s=CANCEL_LIMIT_S)
        assert [end[3] for end in runner.ends] == ["stopped"]


async def test_stop_that_an_earlier_incarnation_answered_is_sent_again(
    monkeypatch,
):
    # Guards against an attempt of a cancelled job that runs on, under leases
    # that the owner renews: the runner answered the stop, crashed, and the new
    # incarnation carried out the start, whose reply had been lost.
    # The order comes later than is expected, but before the incarnation is
    # found, so that neither a stop nor a token refuses it.
    monkeypatch.setattr(runners_module, "LATE_START_S", 0.0)
    async with platform_system.run_system(entries=1, runners=1) as system:
        await system.wait_owner()
        runner = system.runners["i-0"]
        runner.delayed_starts = [0.8, 60.0, 60.0]
        body = platform_system.make_job(count=1, run_ms=60_000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(runner.delayed_starts) == 2)
        reply = await platform_system.call(system.entries[0], "DELETE", ID)
        assert reply.status_code == 200
        await wait_until(lambda: runner.highest)
        runner.silent = True
        runner.restart()
        await wait_until(lambda: runner.running)
        runner.silent = False
        await wait_until(lambda: not runner.running, limit_s=CANCEL_LIMIT_S)
        assert [end[3] for end in runner.ends] == ["stopped"]


async def test_late_start_on_an_idle_runner_that_restarted_is_stopped(
    monkeypatch,
):
    # Guards against an attempt of a cancelled job that an idle runner runs
    # until its lease expires: the runner has restarted, so it does not refuse
    # the late order, and nothing polls it.
    # The order comes later than is expected, but before the incarnation is
    # found, so that neither a stop nor a token refuses it.
    monkeypatch.setattr(runners_module, "LATE_START_S", 0.0)
    async with platform_system.run_system(
        entries=1, runners=1, poll_wait_s=0.3
    ) as system:
        owner = await system.wait_owner()
        runner = system.runners["i-0"]
        runner.max_hold_ms = 10_000
        runner.delayed_starts = [2.0, 60.0, 60.0]
        body = platform_system.make_job(count=1, run_ms=60_000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(runner.delayed_starts) == 2)
        reply = await platform_system.call(system.entries[0], "DELETE", ID)
        assert reply.status_code == 200
        await wait_until(lambda: not owner.owner.runners["i-0"].runs)
        runner.silent = True
        runner.restart()
        platform_system.write_entry(system, runner)
        await wait_until(lambda: runner.running)
        runner.silent = False
        await wait_until(lambda: not runner.running, limit_s=CANCEL_LIMIT_S)
        assert [end[3] for end in runner.ends] == ["stopped"]


def count_running(system, task):
    """Returns on how many runners a task runs."""
    return sum(task in runner.running for runner in system.runners.values())


async def watch_running(system, task, seconds):
    """Returns the most runners on which a task has run at a time."""
    most = 0
    with anyio.move_on_after(seconds):
        while True:
            most = max(most, count_running(system, task))
            await anyio.sleep(0.005)
    return most


async def return_without_room(system, runner):
    """Has a runner crash and return under its id, with no room for a task."""
    runner.crash()
    await anyio.sleep(0.1)
    runner.cpu = 1
    runner.restart()
    platform_system.write_entry(system, runner)


async def test_late_try_of_a_start_does_not_run_beside_its_successor():
    # Guards against a task that runs twice: the first order to start it had no
    # answer, the second one had, and the runner is back under its id before the
    # first one is carried out.
    task = f"{ID}.0.0.0"
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = await system.wait_owner()
        runner = system.runners["i-0"]
        runner.delayed_starts = [2.5]
        body = platform_system.make_job(count=1, run_ms=60_000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: runner.running)
        (run,) = owner.owner.table.tasks[task].runs
        await wait_until(lambda: run.reported)
        await platform_system.add_runner(system, "i-1")
        await wait_until(lambda: "i-1" in owner.owner.runners)
        await return_without_room(system, runner)
        returned_at = anyio.current_time()
        await wait_until(lambda: count_running(system, task) == 1)
        # It must not cost the time until the late order.
        assert anyio.current_time() - returned_at < 1.2
        assert await watch_running(system, task, 3.0) == 1
        assert system.list_starts().count((task, 1)) == 1
        assert count_starts(system)[task] == 2


async def test_late_start_is_refused_after_the_task_was_given_to_another():
    # Guards against a second run of a task whose start had no answer, and which
    # another runner runs since the stop was answered: the next life of the
    # first runner has not seen the stop.
    task = f"{ID}.0.0.0"
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = await system.wait_owner()
        runner = system.runners["i-0"]
        runner.delayed_starts = [3.0, 60.0, 60.0]
        body = platform_system.make_job(count=1, run_ms=60_000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(runner.delayed_starts) == 2)
        runner.cpu = 1
        platform_system.write_entry(system, runner)
        await platform_system.add_runner(system, "i-1")
        await wait_until(lambda: system.runners["i-1"].running)
        assert "i-0" in owner.owner.runners
        await return_without_room(system, runner)
        assert await watch_running(system, task, 3.5) == 1
        assert not runner.starts


async def test_return_of_an_idle_runner_is_found_at_once():
    # Guards against a poll that waits for an end for 2 s, on a runner of which
    # nothing is known but that it has a new life. It may carry out late starts.
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = await system.wait_owner()
        body = platform_system.make_job(count=1)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "completed")
        known = owner.owner.runners["i-0"]
        await wait_until(lambda: not known.runs)
        runner = system.runners["i-0"]
        runner.crash()
        runner.restart()
        platform_system.write_entry(system, runner)
        await wait_until(lambda: known.restarted_at > 0, limit_s=1.0)


async def test_forgotten_job_is_not_run_again():
    # Guards against a job whose retention time has passed, and which the next
    # owner takes for a new one: its record was kept, but not its end.
    async with platform_system.run_system(
        entries=2, runners=1, ended_job_retention_s=0.4
    ) as system:
        owner = await start_job(system, count=1, run_ms=60_000)
        await platform_system.call(system.entries[0], "DELETE", ID)
        await wait_until(lambda: ID not in owner.owner.table.jobs)
        await owner.owner.journal.flush()
        await system.kill(owner)
        successor = await system.wait_owner()
        reply = await platform_system.call(successor, "GET", ID)
        assert reply.status_code == 410
        assert len(system.list_starts()) == 1


async def test_expired_promise_does_not_apply_to_later_leases(monkeypatch):
    # Guards against a successor that starts a task a second time, because the
    # log still holds the expiry of earlier leases on its slow runner.
    monkeypatch.setattr(sessions, "_REMOVE_AFTER_S", 0.5)
    async with platform_system.run_system(
        entries=2, runners=1, lease_s=4.0
    ) as system:
        owner = await start_job(system, count=1, run_ms=60_000)
        runner = system.runners["i-0"]
        address = owner.owner.runners["i-0"].entry.address
        runner.silent = True
        system.store.put("keyed.servers", "i-0", None)
        await wait_until(lambda: "i-0" not in owner.owner.runners, 8.0)
        await wait_until(lambda: not owner.owner.expiries.expires_at)
        runner.restart()
        runner.silent = False
        entry = runner.make_entry(address, platform_system.SERVICE, "ready")
        system.store.put("keyed.servers", "i-0", entry)
        await wait_until(lambda: len(runner.starts) == 2)
        await anyio.sleep(0.1)
        runner.silent = True
        await platform_system.add_runner(system, "i-9")
        await system.kill(owner)
        await wait_until(lambda: len(system.list_starts()) == 3, 12.0)
        runner.end_due_attempts()
        assert runner.running == {}


async def test_promised_expiry_holds_until_its_withdrawal_is_stored():
    # Guards against an owner that cannot reach the log and extends a lease that
    # its successor treats as expired.
    async with platform_system.run_system(
        entries=1, runners=1, lease_s=3.0
    ) as system:
        owner = await start_job(system, count=1, run_ms=20_000)
        runner = system.runners["i-0"]
        runner.silent = True
        await wait_until(lambda: "i-0" in owner.owner.expiries.expires_at)
        await owner.owner.journal.flush()
        promised_ms = owner.owner.runners["i-0"].lease_until_ms
        system.store.down = True
        runner.silent = False
        await wait_until(lambda: not owner.owner.runners["i-0"].silent)
        await anyio.sleep(0.3)
        assert runner.lease_until_ms <= promised_ms
        system.store.down = False
        await wait_until(lambda: runner.lease_until_ms > promised_ms)
        assert runner.running


async def test_task_that_ended_behind_a_lost_reply_is_not_started_again():
    # The retry of a start whose reply was lost is answered "old", as the
    # attempt has already run and ended. Guards against taking that for a start
    # that never happened.
    async with platform_system.run_system(entries=1, runners=1) as system:
        await system.wait_owner()
        system.runners["i-0"].delayed_starts = [0.0]
        body = platform_system.make_job(count=1, run_ms=50)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await platform_system.wait_state(system, ID, "completed")
        assert system.list_starts() == [(f"{ID}.0.0.0", 1)]


async def test_lost_connection_to_a_peer_leaves_the_calling_task_usable():
    # Guards against a cancellation that grpclib leaves behind in the calling
    # task. A later time-out would end that task, which then answers 500 or
    # stops monitoring the owner.
    async def drop(stream):
        await anyio.sleep(0.1)
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    peers = peers_module.PeerClient()
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, drop)
        question = peers_module.Ask("pending", "q")
        replied = await peers.call(f"127.0.0.1:{port}", question, 2.0)
        assert replied.is_err()
        assert asyncio.current_task().cancelling() == 0
        group.cancel_scope.cancel()


async def test_two_deployments_run_beside_each_other():
    # Guards against a fixed port that keeps a second process, or a concurrent
    # test run, from starting.
    async with (
        platform_system.run_system(entries=1) as first,
        platform_system.run_system(entries=1) as second,
    ):
        for system in (first, second):
            owner = await system.wait_owner()
            address = owner.settings.metrics_address
            async with httpx.AsyncClient(trust_env=False) as client:
                reply = await client.get(f"http://{address}/metrics")
            assert "plantainvane_job_claims_total" in reply.text
