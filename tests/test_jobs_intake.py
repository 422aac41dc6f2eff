"""What callers are told, and what makes an answer true."""

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


async def submit(*answers, deadline_s=1.0, stuck=False):
    """Submits a job while the log gives `answers`; returns both ends."""
    journal, store = journals.make_journal(*answers)
    if stuck:
        journal.stuck_since = 1.0
    intake = intake_module.Intake(decisions.SETTINGS, journal, None)
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            outcome = await intake_module.submit_job(intake, JOB, deadline_s)
        group.cancel_scope.cancel()
    return outcome, store


async def test_job_is_accepted_once_it_is_stored():
    # Guards against an acknowledgement of what can still be lost.
    outcome, store = await submit()
    assert outcome is _OUTCOME.ACCEPTED
    assert store.appends == [(0, ["j"])]


async def test_refused_append_is_answered_at_once_as_not_run():
    # Guards against a caller that is held to its deadline.
    with anyio.fail_after(0.6):
        outcome, _ = await submit(*[journals.REFUSED] * 99, deadline_s=3.0)
    assert outcome is _OUTCOME.NOT_RUN


async def test_job_behind_a_stuck_append_is_refused_without_a_try():
    # Guards against jobs that queue up behind an outage.
    with anyio.fail_after(0.2):
        outcome, store = await submit(deadline_s=3.0, stuck=True)
    assert outcome is _OUTCOME.NOT_RUN
    assert store.appends == []


async def test_lost_append_is_never_said_not_to_have_run():
    # Guards against a refusal of a job that is stored all the same.
    outcome, _ = await submit(*[journals.LOST] * 99, deadline_s=0.6)
    assert outcome is _OUTCOME.UNKNOWN


async def test_lost_answer_that_is_resolved_in_time_is_an_acceptance():
    # Guards against doubt that the log would have settled.
    outcome, _ = await submit(journals.LOST, deadline_s=2.0)
    assert outcome is _OUTCOME.ACCEPTED


async def ask(*told, deadline_s=0.6):
    answers = list(told)

    async def ask_owner(question):
        assert question == peers.Ask("state", "j")
        return answers.pop(0) if answers else None

    intake = intake_module.Intake(decisions.SETTINGS, None, ask_owner)
    return await intake_module.ask(intake, "state", "j", deadline_s)


async def test_question_is_repeated_until_an_owner_answers():
    # Guards against a 503 for each question that meets a takeover.
    known = peers.Told(known=True, state="running")
    outcome, told = await ask(None, None, known)
    assert (outcome, told.state) == (_OUTCOME.DONE, "running")


async def test_question_without_an_owner_ends_before_the_deadline():
    # Guards against a caller that hears nothing in time.
    with anyio.fail_after(0.6):
        outcome, _ = await ask()
    assert outcome is _OUTCOME.NOT_RUN


async def test_unknown_job_is_told_apart_from_a_missing_owner():
    # Guards against "no such job" from a process that cannot know.
    outcome, _ = await ask(peers.Told())
    assert outcome is _OUTCOME.MISSING


async def test_owner_that_has_not_recovered_answers_nothing():
    # Guards against "no such job" before the jobs are loaded.
    owner = scheduling.make_owner()
    told = await intake_module.answer_question(owner, peers.Ask("state", "j"))
    assert told.owner is False


async def test_state_and_pending_are_what_the_book_shows():
    # Guards against counts that include what has started or ended.
    owner = scheduling.make_owner(decisions.make_runner())
    owner.recovered = True
    waiting = decisions.add_job(owner.book, decisions.make_step(), job_id="a")
    decisions.add_job(owner.book, decisions.make_step(), job_id="b")
    decisions.start_all(owner.book)
    waiting.started = False
    pending = await intake_module.answer_question(
        owner, peers.Ask("pending", "q")
    )
    assert pending.count == 1
    for job_id, state in (("a", "queued"), ("b", "running")):
        told = await intake_module.answer_question(
            owner, peers.Ask("state", job_id)
        )
        assert told.state == state


async def test_cancel_is_acknowledged_after_it_is_stored():
    # Guards against tasks that start after a power loss, although their
    # job's cancel was acknowledged.
    owner = scheduling.make_owner(decisions.make_runner())
    owner.recovered = True
    store = journals.FakeStore()
    owner.journal.store = store
    job = decisions.add_job(owner.book, decisions.make_step(), job_id="a")
    decisions.start_all(owner.book)
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
    (run,) = owner.book.runs_to_stop
    assert run.phase is attempts.Phase.RUNNING
