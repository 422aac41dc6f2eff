"""What a later owner knows of accepted and of cancelled jobs."""

import contextlib
import types

import anyio
import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import clock
from plantainvane.jobs import early_cancels
from plantainvane.jobs import intake
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import peers
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import retention
from plantainvane.jobs import state as state_module
from plantainvane.jobs import table as table_module
from standins import platform_system
from tests import test_jobs_appends as appends
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
JOBS, PROGRESS = state_module.JOBS_TOPIC, state_module.PROGRESS_TOPIC


@pytest.fixture
def anyio_backend():
    return "asyncio"


def put_job(state, job_id, spec="", count=1):
    """Stores a job as an entry process does that accepts it."""
    step = decisions.make_step(count=count)
    job = model.Job(
        id=job_id,
        queue="q",
        service="s",
        accepted_ms=0,
        spec=spec,
        steps=(step,),
    )
    state.put(JOBS, job_id, msgspec.json.encode(job))
    return job


def make_owner(address, epoch=appends.EPOCH):
    owner = scheduling.make_owner(decisions.make_runner())
    owner.epoch = epoch
    owner.journal = appends.make_journal(address, epoch)
    owner.adapters = types.SimpleNamespace(
        store=owner.journal.store, runners_topic="keyed.servers"
    )
    owner.settings = owner.journal.settings
    return owner


@contextlib.asynccontextmanager
async def run_successor():
    """Yields the log and an owner that has not loaded anything yet."""
    async with appends.run_log() as (state, address):
        owner = make_owner(address)
        yield state, owner
        await owner.journal.store.aclose()


async def ask(owner, what, job_id):
    owner.recovered = True
    return await intake.answer_question(owner, peers.Ask(what, job_id))


async def test_job_is_known_to_an_owner_that_is_far_behind():
    # Guards against "no such job", which also acknowledges a cancel, for a job
    # that comes after the end of the first page that the owner reads.
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        for number in range(600):
            put_job(state, f"{number:04}", "x" * 4000)
        for number in (599, 0):
            reply = await ask(owner, "state", f"{number:04}")
            assert reply.known and reply.state == "queued"
        reply = await ask(owner, "state", "none")
        assert reply == peers.AskReply()


async def test_jobs_that_came_during_the_recovery_are_counted_as_pending():
    # Guards against a count without the jobs that were accepted while a slow
    # owner recovered, until it has read them.
    async with run_successor() as (state, owner):
        put_job(state, "first")
        await recovery.recover(owner)
        for number in range(600):
            put_job(state, f"{number:04}", "x" * 4000)
        reply = await ask(owner, "pending", "q")
        assert (reply.owner, reply.count) == (True, 601)


async def test_a_count_is_refused_while_the_jobs_cannot_be_read():
    # Guards against a count that leaves out jobs, from an owner that took over
    # right before an outage of the log.
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        put_job(state, "later")
        state.down = True
        assert not (await ask(owner, "pending", "q")).owner
        state.down = False
        assert (await ask(owner, "pending", "q")).count == 1
        state.down = True
        assert (await ask(owner, "pending", "q")).count == 1


async def test_job_is_known_to_an_owner_whose_place_has_expired():
    # Guards against the same after the log has dropped what comes next.
    async with run_successor() as (state, owner):
        state.page_items = 2
        put_job(state, "0")
        await recovery.recover(owner)
        for number in range(1, 8):
            put_job(state, f"{number}")
        state.find_topic(JOBS).first = 5
        reply = await ask(owner, "state", "7")
        assert reply.known
        assert len(owner.table.jobs) == 8


@pytest.mark.parametrize("fault", ["down", "late"])
async def test_owner_that_cannot_read_the_jobs_does_not_answer(fault):
    # Guards against "no such job" by an owner that cannot know it.
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        put_job(state, "0")
        if fault == "down":
            state.down = True
        else:
            state.read_delay_s = 1.0
        assert not (await ask(owner, "state", "0")).owner
        assert not (await ask(owner, "cancel", "0")).owner


async def test_jobs_that_change_between_two_pages_are_known():
    # Guards against a job that is not listed, as others are accepted and
    # dropped while an owner lists them; the pages are not a snapshot.
    async with run_successor() as (state, owner):
        state.page_items = 2
        for number in range(0, 20, 2):
            put_job(state, f"{number:02}")
        pages, kept = [], {f"{n:02}" for n in range(0, 20, 2)}

        def change(topic):
            if topic != JOBS:
                return
            page = len(pages)
            pages.append(page)
            # The last key of each page is dropped, and both ahead of and
            # behind the place of the next page a job is accepted.
            state.put(JOBS, f"{2 * page:02}", None)
            kept.discard(f"{2 * page:02}")
            for number in (1, 19 - 2 * page):
                put_job(state, f"{number:02}.{page}")
                kept.add(f"{number:02}.{page}")

        state.on_page = change
        await recovery.recover(owner)
        state.on_page = lambda topic: None
        assert len(pages) > 3
        for job_id in sorted(kept):
            assert (await ask(owner, "state", job_id)).known


def make_cancelled(job):
    """Returns progress records of a cancelled job whose attempts may run."""
    table = table_module.JobTable()
    state = table.add_job(job, decisions.QUEUE, None, 0.0, 0)
    decisions.start_all(table)
    opened = progress_module.take_changed(state)
    table.cancel_job(state, 7)
    return opened, progress_module.take_changed(state)


def put_progress(state, records):
    for key, progress in records:
        state.put(PROGRESS, key, progress and msgspec.json.encode(progress))


@pytest.mark.parametrize("count", [1, 500, 501, 1200])
@pytest.mark.parametrize("stored", [1, 2, 3])
async def test_cancel_of_which_only_the_first_parts_are_stored_holds(
    count, stored
):
    # Guards against tasks that run on, or start anew, after an owner that died
    # while it stored the cancel of a large job.
    async with run_successor() as (state, owner):
        state.page_items = 1
        opened, ended = make_cancelled(put_job(state, "j", count=count))
        put_progress(state, opened)
        put_progress(state, ended[:stored])
        await recovery.recover(owner)
        known = owner.table.jobs["j"]
        assert known.ended == known.stored_ended == "cancelled"
        assert not owner.table.ready and not owner.table.held_tasks
        assert len(owner.table.runs_to_stop) == count


@pytest.mark.parametrize("count", [1, 1200])
async def test_cancel_of_a_job_that_is_read_late_holds(count):
    # Guards against tasks that start again, as the record of their job comes in
    # after the jobs were listed.
    async with run_successor() as (state, owner):
        job = put_job(state, "j", count=count)
        opened, ended = make_cancelled(job)
        put_progress(state, opened)
        put_progress(state, ended)
        state.put(JOBS, "j", None)
        await recovery.recover(owner)
        assert not owner.table.jobs
        state.put(JOBS, "j", msgspec.json.encode(job))
        assert await recovery.read_jobs(owner, 0.0)
        assert owner.table.jobs["j"].stored_ended == "cancelled"
        assert not owner.table.ready
        assert len(owner.table.runs_to_stop) == count
        (runner,) = owner.runners.values()
        assert len(runner.runs) == count
        assert {r.phase for r in runner.runs} == {attempts.Phase.STARTING}


@pytest.mark.parametrize("takeover", [False, True])
async def test_cancel_of_a_job_that_is_stored_later_holds(takeover):
    # Guards against a job that runs after its cancel was acknowledged with "no
    # such job": the caller had given up on its submission, the append of which
    # is repeated, or carried out late.
    async with platform_system.run_system(entries=2) as system:
        owner = await system.wait_owner()
        system.store.late_appends = {JOBS: [3.0]}
        body = platform_system.make_job(count=2, run_ms=5000)
        entry = next(e for e in system.entries if e is not owner)
        reply = await platform_system.call(
            entry, "POST", ID, body, deadline_ms=400
        )
        assert reply.status_code == 504
        reply = await platform_system.call(entry, "DELETE", ID)
        assert reply.status_code == 410
        if takeover:
            await system.kill(owner)
            owner = await system.wait_owner()
        await platform_system.wait_state(system, ID, "cancelled")
        for _ in range(2):
            reply = await platform_system.call(entry, "DELETE", ID)
            assert reply.status_code == 200
        await anyio.sleep(0.3)
        assert not system.list_starts()


async def test_job_that_comes_in_while_its_cancel_is_stored_is_cancelled():
    # Guards against a job that starts between the question and the answer.
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        owner.journal.collect = lambda: owner_module._collect_progress(owner)
        owner.journal.on_stored = lambda: owner_module._handle_stored(owner)
        replies = []

        async def cancel():
            replies.append(await ask(owner, "cancel", "j"))

        async with anyio.create_task_group() as group:
            group.start_soon(cancel)
            await anyio.sleep(0.05)
            put_job(state, "j")
            assert await recovery.read_jobs(owner, 0.0)
            decisions.start_all(owner.table)
            assert not replies
            async with appends.run_journal(owner.journal):
                with anyio.fail_after(5):
                    while not replies:
                        await anyio.sleep(0.01)
        assert replies == [peers.AskReply(known=True, state="cancelled")]
        value = state.list_newest(PROGRESS)["j"][1]
        progress = msgspec.json.decode(value, type=model.JobProgress)
        assert progress.ended == "cancelled" and len(progress.tasks) == 1
        assert not owner.early_cancels


async def test_cancel_of_an_unknown_job_is_acknowledged_once_stored():
    # Guards against the same after an owner that dies at that moment.
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        with anyio.move_on_after(0.1):
            await ask(owner, "cancel", "j")
            raise AssertionError("answered")
        async with appends.run_journal(owner.journal):
            assert await ask(owner, "cancel", "j") == peers.AskReply()
            assert "j" in state.list_newest(PROGRESS)
            end = len(state.find_topic(PROGRESS).records)
            assert await ask(owner, "cancel", "j") == peers.AskReply()
            assert len(state.find_topic(PROGRESS).records) == end


async def test_early_cancels_are_forgotten_and_bounded(monkeypatch):
    # Guards against records and memory that grow with each cancel of a job
    # that does not exist, also over takeovers.
    monkeypatch.setattr(early_cancels, "_MAX_CANCELS", 3)
    async with run_successor() as (state, owner):
        await recovery.recover(owner)
        async with appends.run_journal(owner.journal):
            for number in range(5):
                await ask(owner, "cancel", f"{number}")
            await owner.journal.flush()
            assert sorted(state.list_newest(PROGRESS)) == ["2", "3", "4"]
        successor = make_owner(owner.settings.store_address, appends.EPOCH + 1)
        await recovery.recover(successor)
        put_job(state, "3")
        assert await recovery.read_jobs(successor, 0.0)
        await successor.journal.open_epoch()
        limit_s = 2 * successor.settings.ended_job_retention_s
        async with appends.run_journal(successor.journal):
            now = clock.read_now()
            for later_s, left in ((0.0, 3), (limit_s, 0)):
                await retention.forget_jobs(successor, now + later_s)
                await successor.journal.flush()
                assert len(state.list_newest(PROGRESS)) == left
        assert successor.early_cancels == successor.progress == {}
        assert not state.list_newest(JOBS) and not successor.table.jobs
        await successor.journal.store.aclose()


@pytest.mark.parametrize("takeover_first", [False, True])
async def test_cancel_of_a_deferred_job_holds(takeover_first, monkeypatch):
    # Guards against a job that starts once there is room for its tasks, though
    # it was cancelled before, by this owner or by an earlier one.
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 5)
    async with run_successor() as (state, owner):
        for job_id in "abc":
            put_job(state, job_id, count=4)
        for cancels in (not takeover_first, takeover_first):
            owner.journal.collect = lambda o=owner: (
                owner_module._collect_progress(o)
            )
            owner.journal.on_stored = lambda o=owner: (
                owner_module._handle_stored(o)
            )
            assert await owner.journal.open_epoch()
            await recovery.recover(owner)
            assert "a" not in owner.table.deferred
            async with appends.run_journal(owner.journal):
                if cancels:
                    assert "b" in owner.table.deferred
                    reply = await ask(owner, "cancel", "b")
                    assert reply.state == "cancelled"
            earlier = owner
            owner = make_owner(owner.settings.store_address, owner.epoch + 1)
        last = earlier.table
        assert last.jobs["b"].stored_ended == "cancelled"
        last.cancel_job(last.jobs["a"], 1)
        last.add_deferred_tasks(1.0, 1)
        assert {task.job.job.id for task in last.ready.values()} == {"c"}
        assert last.held_tasks == 4 and not last.deferred
        await earlier.journal.store.aclose()
