"""Replays of a load that is more than the owner can start.

An owner starts a number of tasks a second. Passes are cut short as long as more
are ready, and entry processes decide on each submission by the waits that the
owner has reported last.
"""

import collections

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from plantainvane.jobs import backlog
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import model
from plantainvane.jobs import peers
from plantainvane.jobs import scheduling
from plantainvane.jobs import state as state_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_intake as intakes
from tests import test_jobs_journal as journals
from tests import test_jobs_scheduling as passes

pytestmark = pytest.mark.anyio
SETTINGS = decisions.SETTINGS
_OUTCOME = intake_module.Outcome
_PASS_S = 0.25
# The platform asks for accepted jobs this long after the end of its traffic.
_FINISH_S = 14.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_queue(priority):
    return msgspec.structs.replace(decisions.QUEUE, priority=priority)


class Fleet:
    """An owner that starts `rate` tasks a second, whatever waits."""

    def __init__(self, rate, limited=True):
        self.owner = passes.make_owner(
            *(decisions.make_runner(f"r{n}", cpu=10**9) for n in range(3))
        )
        for runner in self.owner.runners.values():
            runner.entry = msgspec.structs.replace(
                runner.entry, capacity=model.Amounts(10**9, 10**9, 0)
            )
        self.rate = rate
        self.limited = limited
        self.waits = {}
        self.accepted = {}
        self.refused = collections.Counter()
        self.started = {}

    def submit(self, number, priority, count, now):
        wait_s = backlog.find_wait(self.waits, priority)
        if self.limited and backlog.is_hopeless(SETTINGS, wait_s):
            self.refused[priority] += 1
            return
        job_id = f"{priority}x{number}"
        decisions.add_job(
            self.owner.table,
            decisions.make_step(count=count, cpu=1, memory_mb=0),
            job_id=job_id,
            queue=make_queue(priority),
        )
        state = self.owner.table.jobs[job_id]
        state.deadline += now
        for task in state.steps[0, 0].tasks:
            task.ready_since = now
        self.accepted[job_id] = now

    def run_pass(self, now):
        """Starts as many tasks as the owner can in the time of a pass."""
        owner, left = self.owner, int(self.rate * _PASS_S)
        current = scheduling.begin_pass(owner, now)
        for _ in scheduling._place_ready(owner, current):
            if len(current.placed) >= left:
                # As if the time for placing tasks had passed.
                current.placing_since, current.placing_limit_s = now - 1, 0.5
        scheduling.end_pass(owner, current)
        for run in current.placed:
            owner.backlog.placed[run.task.job.queue.priority] += 1
            self.started.setdefault(run.task.job.job.id, []).append(now)
        owner.backlog.record_pass(bool(owner.table.ready), now)


def play(fleet, load_s=30.0, per_s=2.0, width=39):
    """Submits twice what the owner can start; returns when all had started."""
    now, number = 0.0, 0
    while True:
        tick = round(now / _PASS_S)
        if now < load_s and tick % int(1 / (_PASS_S * per_s)) == 0:
            number += 1
            fleet.submit(number, 2, width, now)
            fleet.submit(number, 0, 5, now)
        fleet.run_pass(now)
        if tick % 4 == 0:
            fleet.owner.backlog.measure(fleet.owner.table.tasks.values(), now)
            fleet.waits = dict(fleet.owner.backlog.waits)
        now += _PASS_S
        if now >= load_s and not fleet.owner.table.ready:
            return now


def test_what_is_accepted_under_twice_the_load_is_started_in_time():
    # Guards against jobs that are accepted and not started within the time in
    # which the platform asks for them, while nothing is ever refused.
    unlimited = Fleet(40, limited=False)
    assert play(unlimited) > 30.0 + _FINISH_S
    fleet = Fleet(40)
    assert play(fleet) < 30.0 + _FINISH_S
    assert fleet.refused[2] and not fleet.refused[0]
    # The owner's time is used all the same.
    started = sum(map(len, fleet.started.values()))
    assert started >= 0.9 * 30 * 40


def test_nothing_that_is_accepted_starves():
    # Guards against a late job that waits for ever, as new ones go before it.
    fleet = Fleet(40)
    play(fleet)
    waits = [fleet.started[j][0] - at for j, at in fleet.accepted.items()]
    assert max(waits) < _FINISH_S


def test_an_owner_that_keeps_up_refuses_nothing():
    # Guards against refusals in a burst that is worked off, or while work waits
    # for room on the runners rather than for the owner.
    fleet = Fleet(120)
    play(fleet)
    assert not fleet.refused
    state = backlog.Backlog()
    tasks = fleet.owner.table.tasks
    decisions.add_job(
        fleet.owner.table, decisions.make_step(count=500), job_id="room"
    )
    for second in range(20):
        state.record_pass(False, second + 0.5)
        state.measure(tasks.values(), second + 1.0)
        assert state.waits == {}


@hypothesis.given(
    waiting=strategies.dictionaries(
        strategies.integers(0, 4), strategies.integers(0, 5000)
    ),
    rates=strategies.dictionaries(
        strategies.integers(0, 4), strategies.floats(0, 500)
    ),
)
def test_waits_are_bounded_and_rise_with_lower_priority(waiting, rates):
    # Guards against an urgent job that is refused before one that is not, and
    # against a wait that cannot be sent.
    waits = backlog.estimate_waits(waiting, rates)
    ordered = [waits[priority] for priority in sorted(waits)]
    assert ordered == sorted(ordered)
    assert all(0 <= wait_s <= backlog.MAX_WAIT_S for wait_s in ordered)


def test_callers_return_when_the_backlog_has_fallen_and_spread_out():
    # Guards against a time to return at which the job is refused again, and at
    # which all callers return at the same moment.
    limit_s = SETTINGS.max_start_wait_s
    times = [
        backlog.choose_retry_after(SETTINGS, limit_s + 10, f"{n:016x}")
        for n in range(200)
    ]
    assert min(times) >= 10 and max(times) <= 16
    assert len(set(times)) >= 5
    assert backlog.choose_retry_after(SETTINGS, 0.0, "a") >= 1


async def submit(known, wait_s):
    """Submits a job that the owner knows or not; returns outcome and log."""
    journal, store = journals.make_journal()
    asked = []

    async def ask_owner(question):
        asked.append(question)
        return known

    intake = intake_module.Intake(
        SETTINGS, journal, ask_owner, lambda queue: wait_s
    )
    async with intakes.anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with intakes.anyio.fail_after(5):
            outcome = await intake_module.submit_job(intake, intakes.JOB, 1.0)
        group.cancel_scope.cancel()
    return outcome, store, asked


async def test_overloaded_owner_refuses_at_once_and_stores_nothing():
    # Guards against a job that waits for its deadline, or is stored, although
    # it is refused.
    reply = peers.AskReply(known=False)
    outcome, store, asked = await submit(reply, 20.0)
    assert outcome is _OUTCOME.OVERLOADED
    assert store.appends == []
    assert asked == [peers.Ask("known", "j")]


async def test_a_repeated_submission_of_a_stored_job_is_not_refused():
    # Guards against a caller that is told that its job never runs, although the
    # answer to an earlier submission was lost and the job runs.
    outcome, store, _ = await submit(peers.AskReply(known=True), 20.0)
    assert outcome is _OUTCOME.ACCEPTED
    assert store.appends == []


async def test_without_an_answer_of_the_owner_nothing_is_refused_as_overload():
    # Guards against the same when the owner cannot tell whether it knows it.
    outcome, store, _ = await submit(None, 20.0)
    assert outcome is _OUTCOME.ACCEPTED
    assert store.appends == [(0, ["j"])]


async def test_owner_answers_known_from_memory():
    # Guards against a question that reads the log for each refused job.
    owner = passes.make_owner(decisions.make_runner())
    owner.recovered = True
    decisions.add_job(owner.table, decisions.make_step())
    for subject, known in (("j", True), ("k", False)):
        reply = await intake_module.answer_question(
            owner, peers.Ask("known", subject)
        )
        assert reply.known is known


def test_groups_that_wait_for_long_are_mixed_in():
    # Guards against the order of urgency alone while passes are cut short.
    table = decisions.table_module.JobTable()
    groups = []
    for number in range(9):
        state = decisions.add_job(
            table, decisions.make_step(), job_id=f"j{number}"
        )
        step = state.steps[0, 0]
        step.tasks[0].ready_since = 20.0 - 2.0 * number
        groups.append(state_module.ReadyGroup(step, step.tasks))
    mixed = list(scheduling.mix_oldest(groups, 20.0))
    names = [group.tasks[0].job.job.id for group in mixed]
    assert names[:4] == ["j0", "j1", "j2", "j8"]
    assert sorted(names) == sorted(f"j{n}" for n in range(9))
