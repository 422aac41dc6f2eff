"""Tests of the scheduler's protocol under faults, against the stand-ins.

Every session ends with an audit of the workers: none was committed beyond its
size, and no task ran twice at the same time.
"""

import anyio
import httpx
import pytest

from plantainvane import charges
from plantainvane import documents
from plantainvane import evictions
from plantainvane import metrics
from plantainvane import records
from plantainvane import rendezvous
from plantainvane import resources
from plantainvane import shards
from plantainvane import tasks
from tests import batch_session

LARGE = documents.Size(processors=3.0, memory_bytes=100)


def get_shard(process):
    return process.scheduler.shards[0]


def find_running(session, id):
    runs = session.list_runs(id)
    return bool(runs) and runs[-1].ended is None


async def wait_owner(session, process):
    await session.wait_for(
        lambda: (shard := process.scheduler.shards.get(0)) and shard.opened_at
    )


async def start_pair(session, *workers):
    """Starts p1, which becomes the owner of the shard, and then p2."""
    session.add_workers(*workers)
    owner = session.add_process("p1")
    await wait_owner(session, owner)
    return owner, session.add_process("p2")


@batch_session.in_session()
async def test_a_task_runs_to_its_end(session):
    # Guards against a break anywhere from submission to result.
    session.add_workers("w1", "w2")
    session.add_process("p1")
    await session.submit("t1", "t2")
    assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_two_processes_that_claim_together_never_overcommit(session):
    # Guards against two owners that each commit the same workers in full.
    session.add_workers("w1", "w2")
    session.add_process("p1")
    session.add_process("p2")
    session.configuration.add_class("large", size=LARGE)
    ids = [f"t{number}" for number in range(8)]
    await session.submit(*ids, batch_class="large", steps=3)
    outcomes = await session.wait_outcome(*ids)
    assert outcomes == ["succeeded"] * 8
    assert session.list_refused() == []
    assert [len(session.list_runs(id)) for id in ids] == [1] * 8


@batch_session.in_session()
async def test_a_start_whose_reply_is_lost_stays_charged(session):
    # The attempt may run, so its resources must not be given to another task.
    session.add_workers("w1", size=documents.Size(3.0, 8000))
    session.add_process("p1")
    session.configuration.add_class("large", size=LARGE)
    session.interfere(
        lambda call: call.path == "/attempts", batch_session.lose_reply
    )
    await session.submit("t1", "t2", batch_class="large")
    assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2
    assert session.list_refused() == []
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_a_start_that_never_arrived_is_sent_again(session):
    # Guards against a task that waits forever for a lost start command.
    session.add_workers("w1")
    session.add_process("p1")
    session.interfere(
        lambda call: call.path == "/attempts", batch_session.lose_request
    )
    await session.submit("t1")
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert [run.attempt for run in session.list_runs("t1")] == [1]


@batch_session.in_session()
async def test_an_owner_paused_in_an_append_starts_nothing_when_it_resumes(
    session,
):
    # Guards against a command sent under a claim that lapsed during a pause.
    owner, rival = await start_pair(session, "w1")

    async def pause(forward):
        session.cut_links.add(("p1", "log"))
        reply = await forward(forced=True)
        await wait_owner(session, rival)
        session.cut_links.clear()
        return reply

    session.interfere(
        lambda call: call.process == "p1" and "task_start" in call.kinds,
        pause,
    )
    await session.submit("t1", steps=40)
    await wait_owner(session, rival)
    assert await session.wait_outcome("t1") == ["succeeded"]
    starts = [call for call in session.calls if call.path == "/attempts"]
    assert {call.process for call in starts} == {"p2"}


@batch_session.in_session()
async def test_a_command_delayed_after_the_check_is_refused(session):
    # Guards against a start that arrives after another process took over.
    owner, rival = await start_pair(session, "w1", "w2")
    resumed = anyio.Event()

    async def pause(forward):
        session.cut_links.add(("p1", "log"))
        await wait_owner(session, rival)
        await session.wait_for(lambda: find_running(session, "t1"))
        reply = await forward()
        resumed.set()
        return reply

    session.interfere(
        lambda call: call.process == "p1" and call.path == "/attempts", pause
    )
    await session.submit("t1", steps=60)
    with anyio.fail_after(5):
        await resumed.wait()
    session.cut_links.clear()
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_the_claim_is_checked_before_each_command(session):
    # A claim checked only once per cycle may lapse during a slow call.
    process = session.add_process("p1")
    await wait_owner(session, process)
    await session.submit("t1", "t2", steps=30)

    async def wait_for_lapse(forward):
        session.cut_links.add(("p1", "log"))
        epoch = get_shard(process).epoch
        await session.wait_for(
            lambda: (
                not process.scheduler.claims.holds_shard(
                    0, epoch, anyio.current_time()
                )
            )
        )
        return await forward()

    session.interfere(lambda call: call.path == "/attempts", wait_for_lapse)
    # Both tasks already wait, so both starts are due in the same cycle.
    session.add_workers("w1")
    await session.wait_for(lambda: find_running(session, "t1"))
    await session.wait_for(
        lambda: session.calls[-1].path in ("/listing", "/renewals")
    )
    assert sum(call.path == "/attempts" for call in session.calls) == 1
    session.cut_links.clear()
    assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2


@batch_session.in_session()
async def test_an_owner_killed_with_starts_in_flight_loses_nothing(session):
    # Guards against tasks that are recorded as started and run nowhere.
    owner, rival = await start_pair(session, "w1", "w2")

    async def kill_before(forward):
        session.kill(owner)
        await anyio.sleep(0)

    session.interfere(
        lambda call: call.process == "p1" and call.path == "/attempts",
        kill_before,
    )
    ids = [f"t{number}" for number in range(12)]
    await session.submit(*ids)
    assert await session.wait_outcome(*ids) == ["succeeded"] * 12
    assert session.list_refused() == []


@batch_session.in_session()
async def test_an_owner_killed_after_a_start_leaves_it_running(session):
    # Guards against a takeover that runs started tasks a second time.
    owner, rival = await start_pair(session, "w1")
    await session.submit("t1", steps=80)
    await session.wait_for(lambda: find_running(session, "t1"))
    session.kill(owner)
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_a_lease_that_lapses_during_a_pause_is_requeued_once(session):
    # Guards against a lapsed attempt that is lost or requeued twice.
    session.add_workers("w1")
    process = session.add_process("p1")
    await session.submit("t1", steps=60)
    await session.wait_for(lambda: find_running(session, "t1"))
    # As in a pause, neither renewals nor log calls get through.
    session.cut_links.update({("p1", "w1"), ("p1", "log")})
    await session.wait_for(lambda: not find_running(session, "t1"))
    session.cut_links.clear()
    await session.wait_for(lambda: find_running(session, "t1"))
    assert await session.wait_outcome("t1") == ["succeeded"]
    states = [run.state for run in session.list_runs("t1")]
    assert states == ["lapsed", "succeeded"]
    assert process.scheduler.claims.owners[0].holder == "p1"


@batch_session.in_session()
async def test_a_start_delivered_after_the_lease_expired_is_refused(session):
    # A start may wait in the buffers of a paused worker while its lease expires
    # and the task is started elsewhere. It must not run afterwards.
    session.add_workers("w1")
    session.add_process("p1")
    delivered = anyio.Event()

    async def pause(forward):
        session.cut_links.add(("p1", "w1"))
        session.add_workers("w2")
        session.group.start_soon(deliver, forward)
        raise httpx.ReadTimeout("the worker is paused")

    async def deliver(forward):
        await session.wait_for(lambda: find_running(session, "t1"))
        await forward(forced=True)
        delivered.set()

    session.interfere(
        lambda call: (call.target, call.path) == ("w1", "/attempts"), pause
    )
    await session.submit("t1", steps=40)
    with anyio.fail_after(8):
        await delivered.wait()
    session.cut_links.clear()
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert [refused.reason for refused in session.list_refused()] == ["late"]
    assert [run.attempt for run in session.list_runs("t1")] == [2]


@batch_session.in_session()
async def test_an_owner_cut_off_from_a_worker_waits_for_the_lease(session):
    # Guards against a second start while the first attempt may still run.
    session.add_workers("w1")
    session.add_process("p1")
    await session.submit("t1", steps=50)
    await session.wait_for(lambda: find_running(session, "t1"))
    session.cut_links.add(("p1", "w1"))
    session.add_workers("w2")
    await session.wait_for(lambda: len(session.list_runs("t1")) == 2)
    first, second = session.list_runs("t1")
    assert first.ended is not None
    assert (second.attempt, second.state) == (2, "running")
    session.cut_links.clear()
    assert await session.wait_outcome("t1") == ["succeeded"]


@batch_session.in_session()
async def test_an_owner_cut_off_from_the_log_only_renews(session):
    # An outage of the log must not end running attempts. Starts, stops and
    # requeues, however, would be unknown to the next owner.
    session.add_workers("w1")
    process = session.add_process("p1")
    await session.submit("t1", steps=120)
    await session.wait_for(lambda: find_running(session, "t1"))
    await session.submit("t2", batch_class="job")
    assert await session.wait_outcome("t2") == ["succeeded"]
    session.set_log_down(True)
    shard = get_shard(process)
    await session.wait_for(
        lambda: (
            not process.scheduler.claims.holds_shard(
                0, shard.epoch, anyio.current_time()
            )
        )
    )
    seen = len(session.calls)
    # Longer than the lease, so that only renewals keep the attempt running.
    await anyio.sleep(0.6)
    paths = {call.path for call in session.calls[seen:] if call.target == "w1"}
    assert paths <= {"/listing", "/renewals"}
    assert find_running(session, "t1")
    session.set_log_down(False)
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_an_owner_cut_off_from_the_log_is_replaced(session):
    # Guards against two owners that both send commands to the workers.
    owner, rival = await start_pair(session, "w1", "w2")
    ids = [f"t{number}" for number in range(6)]
    await session.submit(*ids, steps=80)
    await session.wait_for(lambda: all(find_running(session, id) for id in ids))
    session.cut_links.add(("p1", "log"))
    await wait_owner(session, rival)
    await session.wait_for(
        lambda: all(view.fenced for view in get_shard(rival).workers.values())
    )
    session.processes.pop("p1")
    assert await session.wait_outcome(*ids) == ["succeeded"] * 6
    assert [len(session.list_runs(id)) for id in ids] == [1] * 6


@pytest.mark.parametrize(
    "kind", ["shard_open", "task_start", "task_finish", "claim"]
)
def test_a_lost_reply_of_the_log_changes_nothing(kind):
    # Guards against records that take effect twice or are lost.
    async def run(session):
        session.add_workers("w1")
        session.interfere(
            lambda call: call.target == "log" and kind in call.kinds,
            batch_session.lose_reply,
        )
        session.add_process("p1")
        await session.submit("t1", "t2")
        assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2
        assert [len(session.list_runs(id)) for id in ("t1", "t2")] == [1, 1]

    batch_session.run_session(run)


@batch_session.in_session()
async def test_of_two_claims_that_race_one_wins(session):
    # Guards against a process that lost the race and acts on its acknowledged
    # claim.
    session.add_workers("w1")
    held = anyio.Event()

    async def hold(forward):
        await held.wait()
        return await forward()

    session.interfere(lambda call: "claim" in call.kinds, hold, times=2)
    first, second = session.add_process("p1"), session.add_process("p2")
    await session.wait_for(
        lambda: sum("claim" in call.kinds for call in session.calls) == 2
    )
    held.set()
    await session.submit("t1", "t2", "t3")
    assert await session.wait_outcome("t1", "t2", "t3") == ["succeeded"] * 3
    owners = [p for p in (first, second) if p.scheduler.shards]
    assert len(owners) == 1
    assert len(session.list_records("shard_open")) == 1


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_a_connection_that_goes_silent_costs_no_claim(method):
    # Guards against a takeover whenever a connection goes silent.
    async def run(session):
        owner, rival = await start_pair(session, "w1")
        silent = []

        def matches(call):
            if (call.process, call.method) != ("p1", method):
                return False
            if call.path != "/streams/claims.a/records" or silent:
                return False
            silent.append(call)
            return True

        async def keep_silent(forward):
            await anyio.sleep(silent[0].timeout_s)
            raise httpx.ReadTimeout("silent")

        session.interfere(matches, keep_silent)
        await session.wait_for(lambda: silent)
        # Twice the time after which another process would take over.
        until = anyio.current_time() + 0.7
        claims = owner.scheduler.claims
        gaps = 0
        while anyio.current_time() < until:
            now = anyio.current_time()
            gaps += not claims.holds_shard(0, 1, now)
            await anyio.sleep(0.01)
        assert gaps <= 10
        assert rival.scheduler.claims.owners[0].epoch == 1

    batch_session.run_session(run)


def start_eviction(process, id):
    shard = get_shard(process)
    task = shard.stream_view.table.find_task(id)
    view = shard.workers[task.worker]
    evictions.start_eviction(shard, view, task)
    view.wake.set()


STEPS = {
    "checkpoint sent": lambda call, reply: call.path == "/checkpoints",
    "checkpoint confirmed": lambda call, reply: (
        call.path == "/listing" and b'"checkpointed":true' in reply
    ),
    "stop sent": lambda call, reply: call.path == "/stops",
    "stop confirmed": lambda call, reply: (
        call.path == "/listing" and b'"state":"stopped"' in reply
    ),
    "requeue recorded": lambda call, reply: "task_requeue" in call.kinds,
}


def kill_at(session, step):
    """Kills the owner before it receives the reply of a step."""
    passed = anyio.Event()
    current = None

    def matches(call):
        nonlocal current
        current = call
        return not passed.is_set()

    async def act(forward):
        call = current
        reply = await forward()
        if STEPS[step](call, reply.content) and not passed.is_set():
            passed.set()
            session.kill(session.processes[call.process])
            await anyio.sleep(0)
        return reply

    session.interfere(matches, act, times=10**6)
    return passed


# Short claims, so that the next owner acts while the attempt still runs.
SHORT = {"ttl_s": 0.2, "renew_s": 0.05, "margin_s": 0.05}


async def evict_and_kill(session, steps, log_down=False, owner_steps=30):
    total_steps = 40 + owner_steps * (len(steps) + log_down)
    session.add_workers("w1", "w2")
    process = session.add_process("p0")
    await session.submit("t1", steps=total_steps)
    await session.wait_for(lambda: find_running(session, "t1"))
    await wait_owner(session, process)
    for number, step in enumerate(steps):
        passed = kill_at(session, step)
        if number == 0:
            start_eviction(process, "t1")
        session.add_process(f"p{number + 1}")
        with anyio.fail_after(5):
            await passed.wait()
        if log_down:
            session.set_log_down(True)
            await anyio.sleep(0.2)
            session.set_log_down(False)
    assert await session.wait_outcome("t1") == ["succeeded"]
    runs = session.list_runs("t1")
    assert [run.state for run in runs] == ["stopped", "succeeded"]
    # The second run resumes from the checkpoint and completes the rest.
    assert 0 < runs[1].from_step <= runs[0].to_step
    assert runs[1].to_step == total_steps
    assert (await session.find("t1"))["evictions"] == 1


@pytest.mark.parametrize("step", list(STEPS))
def test_an_eviction_continues_after_its_owner_is_killed(step):
    # Guards against an evicted task that is lost or resumed twice.
    batch_session.run_session(
        lambda session: evict_and_kill(session, [step]), claims=SHORT
    )


@pytest.mark.parametrize(
    "steps",
    [
        ("checkpoint sent", "stop sent"),
        ("checkpoint confirmed", "stop confirmed"),
        ("stop sent", "requeue recorded"),
    ],
)
def test_an_eviction_continues_after_two_owners_are_killed(steps):
    # The second owner may be killed during the eviction like the first. The
    # attempt must neither lapse nor complete before the third owner acts, also
    # if the event loop of the test is held up for a while.
    batch_session.run_session(
        lambda session: evict_and_kill(session, steps, owner_steps=120),
        claims=SHORT,
        tasks={"lease_s": 3.0},
    )


@pytest.mark.parametrize("step", ["checkpoint confirmed", "stop confirmed"])
def test_an_eviction_continues_after_a_kill_and_a_log_outage(step):
    # Guards against losing a task when the owner and the log fail together.
    batch_session.run_session(
        lambda session: evict_and_kill(session, [step], log_down=True),
        claims=SHORT,
    )


@batch_session.in_session()
async def test_a_non_idempotent_task_without_known_end_is_not_rerun(session):
    # Guards against a second run of a non-idempotent task, such as a catalogue
    # sync.
    session.configuration.add_class("sync", idempotent=False)
    session.add_workers("w1")
    session.add_process("p1")
    await session.submit("t1", batch_class="sync", steps=100)
    await session.wait_for(lambda: find_running(session, "t1"))
    session.remove_worker("w1")
    session.add_workers("w2")
    session.list_workers(without="w1")
    assert await session.wait_outcome("t1") == ["unknown"]
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session()
async def test_a_non_idempotent_start_lost_with_its_owner_is_unknown(session):
    # A worker may have run the attempt and no longer know of it.
    owner, rival = await start_pair(session, "w1")
    session.configuration.add_class("sync", idempotent=False)

    async def kill_before(forward):
        session.kill(owner)
        await anyio.sleep(0)

    session.interfere(lambda call: call.path == "/attempts", kill_before)
    await session.submit("t1", batch_class="sync")
    assert await session.wait_outcome("t1") == ["unknown"]
    assert session.list_runs("t1") == []


@batch_session.in_session()
async def test_a_non_idempotent_task_resumes_from_its_checkpoint(session):
    # Guards against losing work that was stopped after a checkpoint.
    session.configuration.add_class("sync", idempotent=False)
    session.add_workers("w1", "w2")
    process = session.add_process("p1")
    await session.submit("t1", batch_class="sync", steps=40)
    await session.wait_for(lambda: find_running(session, "t1"))
    start_eviction(process, "t1")
    assert await session.wait_outcome("t1") == ["succeeded"]
    first, second = session.list_runs("t1")
    assert second.from_step > 0


@batch_session.in_session()
async def test_cancellations_end_waiting_and_running_tasks(session):
    # Guards against cancelled tasks that keep running or start later.
    session.add_workers("w1", size=documents.Size(1.0, 8000))
    process = session.add_process("p1")
    await session.submit("running", steps=1000)
    await session.wait_for(lambda: find_running(session, "running"))
    await session.submit("waiting")
    for id in ("waiting", "running"):
        await session.wait_for(
            lambda id=id: get_shard(process).stream_view.table.find_task(id)
        )
        assert (await process.scheduler.cancel_task(id)).is_ok()
        # The waiting task ends although no worker has become free.
        assert await session.wait_outcome(id) == ["cancelled"]
    assert session.list_runs("waiting") == []
    assert (await process.scheduler.cancel_task("other")).is_err()


@batch_session.in_session()
async def test_a_cancellation_overtakes_a_recorded_start(session):
    # Guards against starting a task that its submitter has cancelled.
    session.add_workers("w1")
    process = session.add_process("p1")
    await wait_owner(session, process)
    other = session.add_process("p2").scheduler

    async def cancel_first(forward):
        assert (await other.cancel_task("t1")).is_ok()
        return await forward()

    session.interfere(lambda call: "task_start" in call.kinds, cancel_first)
    await session.submit("t1")
    assert await session.wait_outcome("t1") == ["cancelled"]
    assert session.list_runs("t1") == []


@batch_session.in_session()
async def test_a_task_that_fails_everywhere_ends_with_the_reason(session):
    # Guards against a broken task that is retried forever.
    session.add_workers("w1", "w2", "w3", "w4")
    process = session.add_process("p1")
    await session.submit("t1", fails=True)
    assert await session.wait_outcome("t1") == ["failed"]
    runs = session.list_runs("t1")
    assert len(runs) == 3
    assert "failed on 3 workers" in (await session.find("t1"))["detail"]
    history = get_shard(process).failure_history
    assert not any(state.suspected for state in history.workers.values())


@batch_session.in_session()
async def test_a_task_that_fits_no_worker_ends_as_impossible(session):
    # Guards against a task that can never run and waits forever.
    session.configuration.add_class("huge", size=documents.Size(64.0))
    session.add_workers("w1")
    session.add_process("p1")
    await session.submit("t1", batch_class="huge")
    assert await session.wait_outcome("t1") == ["impossible"]
    assert "fits no worker" in (await session.find("t1"))["detail"]


@batch_session.in_session()
async def test_a_worker_that_fails_everything_loses_few_tasks(session):
    # A worker that fails all attempts at once always has free capacity.
    session.add_workers("bad", "w1", "w2")
    bad = session.workers["bad"]
    bad.gate.change_faults(b'{"fail_everything": true}')
    process = session.add_process("p1")
    ids = [f"t{number}" for number in range(30)]
    await session.submit(*ids)
    assert await session.wait_outcome(*ids) == ["succeeded"] * 30
    history = get_shard(process).failure_history
    assert history.workers["bad"].suspected
    assert not history.workers["w1"].suspected
    early = [entry for entry in bad.entries if entry.state == "failed"]
    # Three before the worker is suspected, then one canary every 0.3 s.
    assert len(early) <= 3 + 3


@batch_session.in_session()
async def test_a_graceful_release_hands_over_at_once(session):
    # Guards against a rolling restart during which no task starts for seconds.
    owner, rival = await start_pair(session, "w1")
    await session.submit("t1", steps=60)
    await session.wait_for(lambda: find_running(session, "t1"))
    await owner.scheduler.release_claims()
    released_at = anyio.current_time()
    await wait_owner(session, rival)
    # Less than ttl + margin, which is 0.35 s here.
    assert anyio.current_time() - released_at < 0.3
    session.kill(owner)
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert len(session.list_runs("t1")) == 1


@batch_session.in_session(claims={"handover_after_s": 0.1})
async def test_a_shard_moves_to_the_preferred_member(session):
    # Guards against shards that all stay with the process that started first.
    session.add_workers("w1")
    preferred = rendezvous.pick_member(["p1", "p2"], "a/0")
    other = {"p1": "p2", "p2": "p1"}[preferred]
    first = session.add_process(other)
    await wait_owner(session, first)
    await session.submit("t1", steps=60)
    await session.wait_for(lambda: find_running(session, "t1"))
    second = session.add_process(preferred)
    await wait_owner(session, second)
    assert await session.wait_outcome("t1") == ["succeeded"]
    assert len(session.list_runs("t1")) == 1
    assert first.scheduler.shards == {}


@batch_session.in_session(
    claims={
        "ttl_s": 3.0,
        "renew_s": 1.0,
        "margin_s": 0.5,
        "fallback_s": 0.25,
        "check_s": 0.1,
    }
)
async def test_urgent_work_starts_in_time_after_the_owner_is_killed(session):
    # Urgent tasks must start within 5.3 s, including a takeover.
    owner, _ = await start_pair(session, "w1", "w2")
    session.configuration.add_class("now", priority=documents.Priority.URGENT)
    await session.wait_for(lambda: get_shard(owner).workers["w1"].fenced)
    session.kill(owner)
    submitted_at = anyio.current_time()
    await session.submit("t1", batch_class="now")
    await session.wait_for(lambda: session.list_runs("t1"))
    assert anyio.current_time() - submitted_at < 5.3


@batch_session.in_session(log={"snapshot_records": 20})
async def test_a_new_owner_reads_a_trimmed_stream_from_its_snapshot(session):
    # Guards against tasks that are lost when the oldest records are trimmed.
    session.add_workers("w1")
    owner = session.add_process("p1")
    ids = [f"t{number}" for number in range(10)]
    await session.submit(*ids)
    assert await session.wait_outcome(*ids) == ["succeeded"] * 10
    await session.wait_for(lambda: session.list_records("shard_snapshot"))
    stream = session.log_state.get_stream("tasks.a.0")
    while b"task_submit" in stream.entries[0].encoded:
        stream.entries.popleft()
        stream.earliest += 1
    session.kill(owner)
    session.add_process("p2")
    assert await session.wait_outcome(*ids) == ["succeeded"] * 10


@batch_session.in_session()
async def test_the_state_dump_is_json_and_names_the_shard(session):
    # Guards against a state dump that fails when an operator needs it.
    session.add_workers("w1")
    process = session.add_process("p1")
    await session.submit("t1", steps=50)
    await session.wait_for(lambda: find_running(session, "t1"))
    dump = process.scheduler.dump_state(anyio.current_time())
    assert dump["shards"]["0"]["workers"]["w1"]["committed"]["millis"] == 1000
    assert (await session.find("t1"))["state"] == tasks.TaskPhase.STARTED


@batch_session.in_session(tasks={"throttle_share": 0.5})
async def test_a_slowed_service_throttles_then_evicts_the_noisy_class(session):
    # Guards against pressure that is measured but not acted on.
    session.configuration.services["ring"] = documents.ServiceClass(
        name="ring",
        priority=documents.Priority.URGENT,
        deadline_ms=1000,
        latency_target_ms=100,
    )
    session.configuration.add_class("noisy", priority=documents.Priority.BULK)
    session.add_workers("w1", sample_s=0.02, usage_lag_s=0.0)
    process = session.add_process("p1")
    await session.submit("t1", batch_class="noisy", steps=300)
    await session.wait_for(lambda: find_running(session, "t1"))
    session.report_latency("w1", "ring", lambda: 250.0)
    await session.wait_for(
        lambda: any(call.path == "/throttles" for call in session.calls)
    )
    await session.wait_for(lambda: session.list_runs("t1")[0].ended)
    assert session.list_runs("t1")[0].state == "stopped"
    throttles = [c for c in session.calls if c.path == "/throttles"]
    stops = [c for c in session.calls if c.path == "/stops"]
    first_throttle = session.calls.index(throttles[0])
    assert first_throttle < session.calls.index(stops[0])
    session.report_latency("w1", "ring", lambda: 20.0)
    await session.wait_for(
        lambda: not get_shard(process).workers["w1"].service_pressure.throttled
    )
    await session.wait_for(lambda: find_running(session, "t1"))
    gauges = metrics.encode_metrics().decode()
    assert 'plantainvane_throttles_total{step="throttle"}' in gauges
    assert "plantainvane_claims_held 1.0" in gauges


@batch_session.in_session()
async def test_attempts_are_evicted_from_a_leaving_worker(session):
    # Guards against work that is lost with an instance that the instance list
    # shows as leaving.
    session.add_workers("w1")
    session.add_process("p1")
    await session.submit("t1", steps=60)
    await session.wait_for(lambda: find_running(session, "t1"))
    session.list_workers(leaving="w1")
    session.add_workers("w2")
    session.list_workers(leaving="w1")
    assert await session.wait_outcome("t1") == ["succeeded"]
    first, second = session.list_runs("t1")
    assert first.state == "stopped"
    assert second.from_step > 0
    assert len(session.workers["w2"].entries) == 1


@batch_session.in_session()
async def test_an_epoch_below_the_workers_is_raised(session):
    # After the claims stream was trimmed, an owner may start at an epoch that
    # the workers refuse. It must then continue above theirs.
    session.add_workers("w1")
    session.workers["w1"].epoch = 3
    session.add_process("p1")
    await session.submit("t1")
    assert await session.wait_outcome("t1") == ["succeeded"]


@batch_session.in_session()
async def test_charges_kept_between_rounds_equal_a_new_sum(session):
    # Guards against cached charges that are out of date.
    session.add_workers("w1", "w2", size=documents.Size(3.0, 8000))
    process = session.add_process("p1")
    await wait_owner(session, process)
    shard = get_shard(process)
    ids = [f"t{number}" for number in range(20)]
    await session.submit(*ids, steps=8)
    while shard.stream_view.table.list_live():
        now = anyio.current_time()
        charges.refresh_charges(shard, now)
        kept = {id: c.state for id, c in shard.charges.items()}
        team_use = dict(shard.team_use)
        shard.stale_charges.update(shard.workers)
        charges.refresh_charges(shard, now)
        for id, charge in shard.charges.items():
            assert kept[id].committed == charge.state.committed
            assert kept[id].running == charge.state.running
        assert team_use == shard.team_use
        await anyio.sleep(0.002)
    charges.refresh_charges(shard, anyio.current_time())
    assert set(shard.team_use.values()) == {resources.Resources()}


@batch_session.in_session(claims={"shards": 2})
async def test_a_small_quota_holds_over_all_shards(session):
    # Guards against a quota that each shard may use in full.
    session.add_workers(*(f"w{number}" for number in range(6)))
    session.configuration.limit = documents.Size(1.0, 10**9, 10)
    session.add_process("p1")
    # The two ids belong to different shards.
    await session.submit("one", steps=20)
    await session.wait_for(lambda: find_running(session, "one"))
    await session.submit("two", steps=3)
    assert await session.wait_outcome("one", "two") == ["succeeded"] * 2
    (first,), (second,) = session.list_runs("one"), session.list_runs("two")
    assert second.began >= first.ended
    assert session.list_records("task_start", shard=0) != []
    assert session.list_records("task_start", shard=1) != []


@batch_session.in_session()
async def test_a_start_is_withheld_when_the_worker_has_become_full(session):
    # A start record that takes effect late must not overcommit a worker.
    session.add_workers("w1", size=documents.Size(1.0, 8000))
    process = session.add_process("p1")
    await wait_owner(session, process)
    shard = get_shard(process)
    await session.wait_for(lambda: shard.workers["w1"].capacity)
    await session.submit("t1", steps=30)
    await session.wait_for(lambda: find_running(session, "t1"))
    await session.submit("t2")
    await session.wait_for(lambda: shard.stream_view.table.find_task("t2"))
    # As after an append that lost its reply and took effect late.
    await shards.append_record(
        shard, records.TaskStart, task="t2", attempt=1, worker="w1"
    )
    assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2
    assert session.list_refused() == []
    assert (await session.find("t2"))["attempt"] > 1
