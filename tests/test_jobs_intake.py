"""Replies to callers, and the conditions under which each may be given."""

import types

import anyio
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import ownership
from plantainvane.jobs import peers
from tests import test_jobs_decisions as decisions
from tests import test_jobs_journal as journals
from tests import test_jobs_scheduling as scheduling
from tests import test_jobs_waits as waits_tests

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
lines = waits_tests.lines


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def submit(*answers, deadline_s=1.0, stalled=False, known=None):
    """Submits a job while the log gives `answers`; returns outcome and log.

    `known` is the owner's answer to whether it knows the job, or None.
    """

    async def ask_owner(question):
        assert question == peers.Ask("known", "j")
        return None if known is None else peers.AskReply(known=known)

    journal, store = journals.make_journal(*answers)
    if stalled:
        journal.stalled_since = 1.0
    intake = intake_module.Intake(decisions.SETTINGS, journal, ask_owner)
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


@pytest.mark.parametrize("stalled", [False, True])
async def test_a_job_that_was_stored_before_is_not_refused(stalled):
    # Guards against a caller that is told that its job never runs: the answer
    # to its first submission was lost, and the second comes to a process that
    # does not reach the log.
    answers = [] if stalled else [journals.REFUSED] * 99
    outcome, _ = await submit(*answers, stalled=stalled, known=True)
    assert outcome is _OUTCOME.ACCEPTED
    outcome, _ = await submit(*answers, stalled=stalled, known=False)
    assert outcome is _OUTCOME.NOT_RUN


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


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (peers.AskReply(known=True, state="cancelled", epoch=7), "done"),
        (peers.AskReply(epoch=7), "missing"),
    ],
)
async def test_answered_cancel_is_logged_with_the_owner_that_knew_it(
    lines, reply, outcome
):
    # Guards against an acknowledged cancel of which no line tells whether the
    # next owner can have known it.
    async def ask_owner(question):
        return reply

    intake = intake_module.Intake(decisions.SETTINGS, None, ask_owner)
    await intake_module.ask(intake, "cancel", "j", 1.0)
    await intake_module.ask(intake, "state", "j", 1.0)
    (line,) = [x for x in lines if ":cancel_answered" in x["message_type"]]
    assert (line["job"], line["outcome"]) == ("j", outcome)
    assert (line["state"], line["epoch"]) == (reply.state, 7)


async def test_reply_names_the_epoch_of_the_owner_that_has_answered():
    # Guards against an answer that no line of an owner can be matched with.
    owner = scheduling.make_owner()
    owner.recovered, owner.jobs_behind, owner.epoch = True, False, 12
    entry = types.SimpleNamespace(owner=owner, draining=False)
    question = peers.Ask("pending", "q")
    assert (await entry_module._answer_ask(entry, question)).epoch == 12
    assert (await entry_module._ask_owner(entry, question)).epoch == 12


async def test_owner_that_has_not_recovered_answers_nothing():
    # Guards against "no such job" before the jobs are loaded.
    owner = scheduling.make_owner()
    reply = await intake_module.answer_question(owner, peers.Ask("state", "j"))
    assert reply.owner is False


async def test_question_during_a_recovery_is_answered_after_it():
    # Guards against an owner that spends its recovery on refusals, as each
    # question that it refuses at once is asked again every 60 ms.
    owner = scheduling.make_owner()
    owner.jobs_behind = False
    decisions.add_job(owner.table, decisions.make_step(), job_id="j")
    question, replies = peers.Ask("state", "j"), []

    async def ask_owner():
        replies.append(await intake_module.answer_question(owner, question))

    async with anyio.create_task_group() as group:
        group.start_soon(ask_owner)
        await anyio.sleep(0.05)
        assert not replies
        owner.end_recovery()
        with anyio.fail_after(0.1):
            while not replies:
                await anyio.sleep(0.001)
    assert replies[0].owner and replies[0].state == "queued"


async def test_owner_that_recovers_for_long_is_asked_few_times():
    # Guards against the load of hundreds of questions, each of which is asked
    # 20 times, and against calls that time out at the peers.
    owner, settings, asked = scheduling.make_owner(), decisions.SETTINGS, []

    async def ask_owner(question):
        asked.append(question)
        with anyio.fail_after(settings.ask_timeout_s / 1.5):
            reply = await intake_module.answer_question(owner, question)
        return reply if reply.owner else None

    intake = intake_module.Intake(settings, None, ask_owner)
    outcome, _ = await intake_module.ask(intake, "state", "j", 3.0)
    assert outcome is _OUTCOME.NOT_RUN
    assert len(asked) <= 6


async def test_question_is_refused_at_once_when_the_owner_steps_down():
    # Guards against questions that the next owner gets late.
    owner = scheduling.make_owner()

    async def step_down():
        owner.step_down("handed over")

    async with anyio.create_task_group() as group:
        with anyio.fail_after(0.2):
            group.start_soon(step_down)
            question = peers.Ask("state", "j")
            reply = await intake_module.answer_question(owner, question)
    assert reply.owner is False


class RecoveringOwner:
    """Refuses questions until `recovered`; `most` is the most at a time."""

    def __init__(self):
        self.recovered, self.asked, self.under_way, self.most = False, 0, 0, 0

    async def call(self, *unused):
        self.asked += 1
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await anyio.sleep(0.05)
        self.under_way -= 1
        if self.recovered:
            return result.Ok(peers.AskReply(known=True, state="queued"))
        return result.Ok(peers.AskReply(owner=False, recovering=True))


def make_asking_entry():
    """Makes a process that knows of an owner that recovers."""
    entry = entry_module.make_entry(
        decisions.SETTINGS, types.SimpleNamespace(store=None)
    )
    claim = ownership.Claim("a", 1, "127.0.0.9:1")
    entry.ownership.apply_record(3, ownership.encode_claim(claim), 10.0)
    entry.peers = RecoveringOwner()
    return entry


async def test_recovering_owner_is_asked_one_question_at_a_time():
    # Guards against a weak owner that recovers late because all processes go on
    # asking it whatever their callers wait for.
    entry = make_asking_entry()
    replies = []

    async def ask_owner(number):
        replies.append(
            await intake_module.ask(entry.intake, "state", str(number), 3.0)
        )

    async with anyio.create_task_group() as group:
        for number in range(30):
            group.start_soon(ask_owner, number)
            await anyio.sleep(0.005)
        await anyio.sleep(0.1)
        # The first ones are sent before anything is known.
        asked = entry.peers.asked
        entry.peers.most = 0
        await anyio.sleep(0.5)
        assert entry.peers.most == 1
        assert entry.peers.asked - asked <= 0.5 / 0.05
        entry.peers.recovered = True
        with anyio.fail_after(0.4):
            while len(replies) < 30:
                await anyio.sleep(0.01)
    assert all(outcome is _OUTCOME.DONE for outcome, _ in replies)


async def test_next_owner_is_asked_although_the_last_one_was_recovering():
    # Guards against questions that wait for an owner that was replaced.
    entry = make_asking_entry()
    question = peers.Ask("state", "j")
    assert await entry.intake.ask_owner(question) is None
    claim = ownership.Claim("b", 1, "127.0.0.8:1")
    entry.ownership.apply_record(4, ownership.encode_claim(claim), 11.0)
    entry.peers.recovered = True
    assert (await entry.intake.ask_owner(question)).known


async def test_question_that_is_given_up_does_not_hold_up_the_others():
    # Guards against questions that nobody asks any more because the one that
    # was under way was cancelled with its caller.
    entry = make_asking_entry()
    question = peers.Ask("state", "j")
    assert await entry.intake.ask_owner(question) is None
    await anyio.sleep(0.1)
    with anyio.move_on_after(0.01):
        await entry.intake.ask_owner(question)
    entry.peers.recovered = True
    with anyio.fail_after(0.2):
        while await entry.intake.ask_owner(question) is None:
            await anyio.sleep(0.01)


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
        assert owner.table.runs_to_stop == []
        owner.journal.collect = lambda: owner_module._collect_progress(owner)
        owner.journal.on_stored = lambda: owner_module._handle_stored(owner)
        group.start_soon(owner.journal.run)
        with anyio.fail_after(5):
            while not acknowledged:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert acknowledged == [[(0, ["a"])]]
    (run,) = owner.table.runs_to_stop
    assert run.phase is attempts.Phase.RUNNING
