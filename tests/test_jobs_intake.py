"""Replies to callers, and the conditions under which each may be given."""

import anyio
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import model
from plantainvane.jobs import peers
from tests import test_jobs_decisions as decisions
from tests import test_jobs_journal as journals
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio
JOB = model.Job(
    id="j",
    queue="q",
    service="s",
    accepted_ms=0,
    spec="",
    steps=(decisions.make_step(),),
)
_OUTCOME = intake_module.Outcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def submit(*answers, deadline_s=1.0, stalled=False):
    """Submits a job while the log gives `answers`; returns outcome and log."""
    journal, store = journals.make_journal(*answers)
    if stalled:
        journal.stalled_since = 1.0
    intake = intake_module.Intake(decisions.SETTINGS, journal, None)
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            outcome = await intake_module.submit_job(intake, JOB, deadline_s)
        group.cancel_scope.cancel()
    return outcome, store


async def test_job_is_accepted_once_it_is_stored():
    # Guards against an acknowledged job that can still be lost.
    outcome, store = await submit()
    assert outcome is _OUTCOME.ACCEPTED
    assert store.appends == [(0, ["j"])]


async def test_refused_append_is_answered_at_once_as_not_run():
    # Guards against a caller that waits until its deadline although the outcome
    # is known.
    with anyio.fail_after(0.6):
        outcome, _ = await submit(*[journals.REFUSED] * 99, deadline_s=3.0)
    assert outcome is _OUTCOME.NOT_RUN


async def test_job_behind_a_stalled_append_is_refused_without_a_try():
    # Guards against jobs that queue up during an outage of the log.
    with anyio.fail_after(0.2):
        outcome, store = await submit(deadline_s=3.0, stalled=True)
    assert outcome is _OUTCOME.NOT_RUN
    assert store.appends == []


async def test_lost_append_is_never_reported_as_not_run():
    # Guards against a refused job that is stored nevertheless.
    outcome, _ = await submit(*[journals.LOST] * 99, deadline_s=0.6)
    assert outcome is _OUTCOME.UNKNOWN


async def test_lost_reply_that_is_resolved_in_time_is_an_acceptance():
    # Guards against an unknown outcome that a retry would have resolved.
    outcome, _ = await submit(journals.LOST, deadline_s=2.0)
    assert outcome is _OUTCOME.ACCEPTED


async def ask(*replies, deadline_s=0.6):
    answers = list(replies)

    async def ask_owner(question):
        assert question == peers.Ask("state", "j")
        return answers.pop(0) if answers else None

    intake = intake_module.Intake(decisions.SETTINGS, None, ask_owner)
    return await intake_module.ask(intake, "state", "j", deadline_s)


async def test_question_is_repeated_until_an_owner_answers():
    # Guards against a 503 for every question that arrives during a takeover.
    known = peers.AskReply(known=True, state="running")
    outcome, reply = await ask(None, None, known)
    assert (outcome, reply.state) == (_OUTCOME.DONE, "running")


async def test_question_without_an_owner_ends_before_the_deadline():
    # Guards against a caller that gets no reply before its deadline.
    with anyio.fail_after(0.6):
        outcome, _ = await ask()
    assert outcome is _OUTCOME.NOT_RUN


async def test_unknown_job_differs_from_a_missing_owner():
    # Guards against "no such job" from a process that cannot know it.
    outcome, _ = await ask(peers.AskReply())
    assert outcome is _OUTCOME.MISSING


async def test_owner_that_has_not_recovered_answers_nothing():
    # Guards against "no such job" before the jobs are loaded.
    owner = scheduling.make_owner()
    reply = await intake_module.answer_question(owner, peers.Ask("state", "j"))
    assert reply.owner is False


async def test_state_and_pending_reflect_the_jobs():
    # Guards against pending counts that include started or ended jobs.
    owner = scheduling.make_owner(decisions.make_runner())
    owner.recovered, owner.jobs_behind = True, False
    waiting = decisions.add_job(owner.table, decisions.make_step(), job_id="a")
    decisions.add_job(owner.table, decisions.make_step(), job_id="b")
    decisions.start_all(owner.table)
    waiting.started = False
    pending = await intake_module.answer_question(
        owner, peers.Ask("pending", "q")
    )
    assert pending.count == 1
    for job_id, state in (("a", "queued"), ("b", "running")):
        reply = await intake_module.answer_question(
            owner, peers.Ask("state", job_id)
        )
        assert reply.state == state


async def test_cancel_is_acknowledged_after_it_is_stored():
    # Guards against tasks that start after a power loss although the
    # cancellation of their job was acknowledged.
    owner = scheduling.make_owner(decisions.make_runner())
    owner.recovered = True
    store = journals.FakeStore()
    owner.journal.store = store
    job = decisions.add_job(owner.table, decisions.make_step(), job_id="a")
    decisions.start_all(owner.table)
    acknowledged = []

    async def cancel():
        await intake_module.answer_question(owner, peers.Ask("cancel", "a"))
        acknowledged.append(list(store.appends))

    async with anyio.create_task_group() as group:
        group.start_soon(cancel)
        await anyio.sleep(0.05)
        assert job.ended == "cancelled" and not acknowledged
        owner.journal.collect = lambda: [("a", b"v")]
        group.start_soon(owner.journal.run)
        with anyio.fail_after(5):
            while not acknowledged:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert acknowledged == [[(0, ["a"])]]
    (run,) = owner.table.runs_to_stop
    assert run.phase is attempts.Phase.RUNNING
