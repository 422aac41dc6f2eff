"""Handles requests of callers: submit, state, cancel, pending.

Every entry process takes requests. It accepts a submission only after the job
is stored, and forwards all other requests to the owner.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

import anyio
import msgspec

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import backlog
from plantainvane.jobs import checks
from plantainvane.jobs import clock
from plantainvane.jobs import early_cancels
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import peers
from plantainvane.jobs import recovery
from plantainvane.jobs import room as room_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import table as table_module

_ENCODER = msgspec.json.Encoder()
_ASK_RETRY_S = 0.06
# Longest time that a question waits for the end of a recovery. A refusal is
# followed by the next try, and a call is given up after `ask_timeout_s`, also
# if the owner is late.
_RECOVERY_WAIT_S = 0.3
# Shorter than the pause between two tries of an append, as a job can be
# withdrawn only during that pause.
_WITHDRAW_POLL_S = 0.02
# Longest time that a refusal waits for the owner to tell whether it knows the
# job; it fits into the part of the deadline that is reserved for the reply.
_KNOWN_LIMIT_S = 0.2
# Part of the caller's deadline that is reserved for the reply to reach it.
_REPLY_MARGIN_S = 0.25


class Outcome(enum.StrEnum):
    """Answer to a caller.

    ACCEPTED: the job is stored. NOT_RUN: the job is not stored and will not
    be, or the owner did not answer. TOO_LARGE: the log cannot hold the job.
    OVERLOADED: as NOT_RUN, because its tasks would wait for too long. SHUT_OUT:
    as NOT_RUN, because only evacuated runners could run it. FULL: as NOT_RUN,
    because the owner cannot hold its tasks. UNKNOWN: the job may be stored.
    MISSING: no such job or queue. DONE: the
    owner has answered.
    """

    ACCEPTED = "accepted"
    NOT_RUN = "not_run"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    SHUT_OUT = "shut_out"
    FULL = "full"
    UNKNOWN = "unknown"
    MISSING = "missing"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Intake:
    """Dependencies of the functions that serve callers.

    Attributes:
      journal: Stores submitted jobs.
      ask_owner: Forwards a question to the owner; returns None without a reply.
      find_wait: Returns the seconds that new tasks of a queue are expected to
        wait because the owner cannot keep up.
      is_shut_out: Tells whether only evacuated runners could run a job.
      ends_at: Submissions are not waited for after this time.
      find_room: Returns how many tasks the owner takes, or None if that is not
        known.
    """

    settings: settings_module.Settings
    journal: journal_module.Journal
    ask_owner: Callable[[peers.Ask], Awaitable[peers.AskReply | None]]
    find_wait: Callable[[str], float] = lambda queue: 0.0
    is_shut_out: Callable[[model.Job], bool] = lambda job: False
    ends_at: float = float("inf")
    find_room: Callable[[], room_module.Room | None] = lambda: None


async def submit_job(
    intake: Intake, job: model.Job, deadline_s: float
) -> Outcome:
    """Stores a job; a repeated submission changes nothing.

    `deadline_s` is the time that the caller has left, in seconds.
    """
    started = clock.read_now()
    outcome, reason = await _store_job(intake, job, deadline_s)
    if outcome is Outcome.NOT_RUN and await _ask_whether_known(intake, job):
        outcome, reason = Outcome.ACCEPTED, "stored before"
    took_s = clock.read_now() - started
    metrics.SUBMISSIONS.labels(outcome.value).inc()
    metrics.SUBMISSION_SECONDS.observe(took_s)
    event = {
        Outcome.ACCEPTED: events.JOB_ACCEPTED,
        Outcome.NOT_RUN: events.JOB_REFUSED,
        Outcome.TOO_LARGE: events.JOB_REFUSED,
        Outcome.OVERLOADED: events.JOB_REFUSED,
        Outcome.SHUT_OUT: events.JOB_REFUSED,
        Outcome.FULL: events.JOB_REFUSED,
        Outcome.UNKNOWN: events.JOB_UNKNOWN_OUTCOME,
    }[outcome]
    events.log_event(
        event,
        job=job.id,
        queue=job.queue,
        took_ms=int(took_s * 1000),
        reason=reason,
        store_failing=intake.journal.health.failing_since is not None,
    )
    return outcome


async def _store_job(
    intake: Intake, job: model.Job, deadline_s: float
) -> tuple[Outcome, str]:
    journal = intake.journal
    wait_s = intake.find_wait(job.queue)
    room, tasks = intake.find_room(), count_due_tasks(intake, job)
    refusal = None
    if intake.is_shut_out(job):
        refusal = Outcome.SHUT_OUT, "only evacuated runners suit it"
    elif backlog.is_hopeless(intake.settings, wait_s):
        refusal = Outcome.OVERLOADED, f"owner behind by {wait_s:.1f} s"
    elif room is not None and tasks > room.free_tasks:
        free = room.free_tasks
        refusal = Outcome.FULL, f"owner has room for {free} of {tasks} tasks"
    if refusal is not None:
        is_known = await _ask_whether_known(intake, job)
        if is_known:
            return Outcome.ACCEPTED, "stored before"
        if is_known is not None:
            return refusal
    if journal.stalled_since is not None:
        # The current append has failed at least once, and this job would wait
        # behind it.
        return Outcome.NOT_RUN, "log unreachable"
    record = (job.id, _ENCODER.encode(job))
    size = journal_module.measure_record(record)
    if size > intake.settings.max_record_bytes:
        return Outcome.TOO_LARGE, f"its record has {size} bytes"
    if room is None:
        return await _append_job(intake, record, deadline_s)
    taken, is_stored = room.take(tasks, job.id), True
    try:
        outcome, reason = await _append_job(intake, record, deadline_s)
        is_stored = outcome is not Outcome.NOT_RUN
    finally:
        room.settle(taken, is_stored, clock.read_now())
    return outcome, reason


async def _append_job(
    intake: Intake, record: tuple[str, bytes], deadline_s: float
) -> tuple[Outcome, str]:
    """Stores the record of a job unless its deadline ends before."""
    journal = intake.journal
    batch = journal.add([record])
    limit_s = max(0.1, deadline_s - _REPLY_MARGIN_S)
    with anyio.move_on_after(limit_s):
        while clock.read_now() < intake.ends_at:
            with anyio.move_on_after(_WITHDRAW_POLL_S):
                await batch.stored.wait()
            if batch.stored.is_set():
                return Outcome.ACCEPTED, ""
            stalled = journal.stalled_since is not None
            if stalled and journal.withdraw(batch, record):
                return Outcome.NOT_RUN, "log unreachable"
    if journal.withdraw(batch, record):
        return Outcome.NOT_RUN, "deadline"
    return Outcome.UNKNOWN, "append not answered"


def count_due_tasks(intake: Intake, job: model.Job) -> int:
    """Returns how many tasks of a job the owner would hold at once."""
    horizon_ms = intake.settings.occurrence_horizon_s * 1000
    elapsed_ms = clock.read_wall_ms() + horizon_ms - job.start_at_ms
    due = checks.count_due_occurrences(job, elapsed_ms)
    return due * checks.count_occurrence_tasks(job)


def choose_retry_after(intake: Intake, job: model.Job) -> int:
    """Returns the whole seconds after which there should be room for a job."""
    room = intake.find_room()
    if room is None:
        return intake.settings.retry_after_s
    return room_module.choose_retry_after(
        intake.settings, room, count_due_tasks(intake, job), job.id
    )


async def _ask_whether_known(intake: Intake, job: model.Job) -> bool | None:
    """Tells whether the owner knows a job that this process has not stored.

    A refusal tells the caller that the job never runs. It may have been stored
    by an earlier submission whose answer was lost. None without an answer.
    """
    reply = None
    with anyio.move_on_after(_KNOWN_LIMIT_S):
        reply = await intake.ask_owner(peers.Ask("known", job.id))
    return None if reply is None else reply.known


async def ask(
    intake: Intake, what: str, subject: str, deadline_s: float
) -> tuple[Outcome, peers.AskReply]:
    """Asks the owner; retries within the caller's deadline of `deadline_s`."""
    started = clock.read_now()
    limit_s = min(intake.settings.owner_wait_s, deadline_s - _REPLY_MARGIN_S)
    reply: peers.AskReply | None = None
    with anyio.move_on_after(max(0.1, limit_s)):
        while reply is None:
            reply = await intake.ask_owner(peers.Ask(what, subject))
            if reply is None:
                await anyio.sleep(_ASK_RETRY_S)
    if reply is None:
        metrics.QUESTIONS.labels(what, "failed").inc()
        events.log_event(
            events.QUESTION_FAILED, what=what, subject=subject, reason="owner"
        )
        return Outcome.NOT_RUN, peers.AskReply()
    outcome = Outcome.DONE if reply.known else Outcome.MISSING
    metrics.QUESTIONS.labels(what, outcome.value).inc()
    if what == "cancel":
        events.log_event(
            events.CANCEL_ANSWERED,
            job=subject,
            outcome=outcome.value,
            state=reply.state,
            epoch=reply.epoch,
            took_ms=int((clock.read_now() - started) * 1000),
        )
    return outcome, reply


async def answer_question(
    owner: state_module.Owner, question: peers.Ask
) -> peers.AskReply:
    """Answers as the owner; refuses with a reply whose `owner` is False.

    What an owner that steps down has not answered, its successor answers: no
    record of this one is stored any more.
    """
    if owner.stepped_down.is_set():
        return peers.AskReply(owner=False)
    with anyio.CancelScope() as scope:
        owner.questions.add(scope)
        try:
            return await _answer_question(owner, question)
        finally:
            owner.questions.discard(scope)
    return peers.AskReply(owner=False)


async def _answer_question(
    owner: state_module.Owner, question: peers.Ask
) -> peers.AskReply:
    if not owner.recovered:
        with anyio.move_on_after(_RECOVERY_WAIT_S):
            await owner.recovery_ended.wait()
    if not owner.recovered:
        recovering = not owner.stepped_down.is_set()
        return peers.AskReply(owner=False, recovering=recovering)
    if question.what == "pending":
        # Jobs that were stored during a slow recovery have not been read.
        if owner.jobs_behind and not await recovery.read_all_jobs(owner):
            return peers.AskReply(owner=False)
        return peers.AskReply(
            known=True, count=owner.table.count_pending(question.subject)
        )
    state = owner.table.jobs.get(question.subject)
    if question.what == "known":
        return peers.AskReply(known=state is not None)
    if state is None:
        # Another process may have stored it after the last read.
        if not await recovery.read_all_jobs(owner):
            return peers.AskReply(owner=False)
        state = owner.table.jobs.get(question.subject)
    if state is None:
        if question.what == "cancel":
            # It may be stored later, and this answer acknowledges the cancel.
            await early_cancels.store_cancel(owner, question.subject)
        state = owner.table.jobs.get(question.subject)
        if state is None:
            return peers.AskReply()
    if question.what == "cancel":
        return await _cancel(owner, state)
    return peers.AskReply(known=True, state=table_module.describe_state(state))


async def _cancel(
    owner: state_module.Owner, state: attempts.JobState
) -> peers.AskReply:
    if not state.ended:
        owner.table.cancel_job(state, clock.read_wall_ms())
        events.log_event(
            events.JOB_CANCELLED,
            job=state.job.id,
            queue=state.job.queue,
            epoch=owner.epoch,
        )
        owner.request_pass()
    if not state.stored_ended:
        await owner.journal.flush()
    return peers.AskReply(known=True, state=table_module.describe_state(state))
