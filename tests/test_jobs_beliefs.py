"""The owner is lost at any moment between a cancel and its last end.

A plan names the losses and what else is in trouble, and the moments are reached
by calls, not by time. More plans: `python -m tests.test_jobs_beliefs FIRST
COUNT`.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
import sys
import time
from typing import Any

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import pytest

from plantainvane.jobs import intake
from plantainvane.jobs import peers
from plantainvane.jobs import state as state_module
from standins import platform_runner
from standins import platform_system
from tests import owner_losses

Moment, Kind = owner_losses.Moment, owner_losses.Kind
_ENTRIES = 3
_RUNNERS = 3
# What is cancelled has to end this long after calm returns: 4 s, and 0.4 s that
# the platform allows a stop.
_GONE_LIMIT_S = 4.4
# A start order that is under way at the acknowledgement arrives in this time.
_START_ALLOWANCE_S = 0.4
# Nothing of the job may run for this time before it counts as gone.
_GONE_FOR_S = 0.6
# A lease of a lost runner expires, and the task starts again.
_RESTORED_LIMIT_S = 15.0
_RUNNER_TROUBLES = (
    "",
    "",
    "silent",
    "ignores_orders",
    "answers_late",
    "unlisted",
    "restarts",
    "late_start",
    "slow_stop",
)
_LOG_TROUBLES = (
    "",
    "",
    "",
    "lost_answers",
    "late_appends",
    "slow",
    "down",
    "odd_answers",
    "forgets",
)
_ODD_ANSWERS = ((409, {}), (409, {"Reason": "seq"}), (200, {}))
# When a job comes in whose caller has given up.
_LATE_JOB_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What happens in one session.

    Attributes:
      losses: Losses of the owner, in order.
      count: Tasks of the job that is cancelled.
      cancelled_early: It is cancelled while its tasks start.
      given_up: Its cancel is sent once.
      comes_late: Its record comes in after its cancel was sent.
      runner_trouble: Trouble of all runners, or none.
      log_trouble: Trouble of the log, or none.
      troubled_s: How long the runners and the log are in trouble.
      at_loss: That begins with the first loss, not with the cancel.
    """

    losses: tuple[owner_losses.Loss, ...]
    count: int = 4
    cancelled_early: bool = False
    given_up: bool = False
    comes_late: bool = False
    runner_trouble: str = ""
    log_trouble: str = ""
    troubled_s: float = 0.8
    at_loss: bool = False


@dataclasses.dataclass(slots=True)
class Session:
    """One session.

    Attributes:
      job: Id of the job that is cancelled.
      other: Id of the job that nobody cancels.
      acknowledged_at: When the cancel was acknowledged, or None.
      faults: What was found.
      gone_after_s: Time from calm to the last end of the cancelled job.
    """

    system: platform_system.System
    losses: owner_losses.Losses
    plan: Plan
    job: str = "5c0e7a21d94b36f8"
    other: str = "81d2f0936ab7c54e"
    acknowledged_at: float | None = None
    events: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    gone_after_s: float = 0.0

    def note(self, what: str) -> None:
        """Notes what was done or seen."""
        at = time.monotonic() - self.started_at
        self.events.append(f"{at:.2f} {what}")

    def report(self, fault: str) -> None:
        """Notes a fault, once."""
        if fault not in self.faults:
            self.faults.append(fault)
            self.note(f"FAULT {fault}")

    def list_running(self, job: str) -> list[str]:
        """Returns the tasks of a job that run, on all runners."""
        running = []
        for state in self.system.runners.values():
            state.end_due_attempts()
            running += [t for t in state.running if _find_job(t) == job]
        return running

    def list_starts(self, job: str) -> list[tuple[str, int]]:
        """Returns the starts of the tasks of a job."""
        return [s for s in self.system.list_starts() if _find_job(s[0]) == job]


def _find_job(task: str) -> str:
    return task.partition(".")[0]


async def _call(session: Session, method: str, job: str, **fields: Any) -> int:
    """Calls a process that is not the owner; returns 0 without an answer."""
    entries = [
        entry
        for entry in session.system.entries
        if entry.owner is None
        and entry.settings.id not in session.losses.frozen
        and not entry.draining
    ]
    if not entries:
        return 0
    try:
        reply = await platform_system.call(entries[0], method, job, **fields)
    except httpx.HTTPError:
        return 0
    return reply.status_code


async def _submit(session: Session, job: str, count: int) -> None:
    body = platform_system.make_job(
        count=count, run_ms=60_000, Cpu=10, LongRunning=job == session.other
    )
    with anyio.fail_after(10):
        while await _call(session, "POST", job, body=body) != 200:
            await anyio.sleep(0.05)


async def _submit_late(session: Session) -> None:
    """Submits the job, the append of which is carried out late."""
    appends = session.system.store.late_appends
    appends[state_module.JOBS_TOPIC] = [_LATE_JOB_S]
    body = platform_system.make_job(
        count=session.plan.count, run_ms=60_000, Cpu=10
    )
    await _call(session, "POST", session.job, body=body, deadline_ms=400)


async def _cancel(session: Session) -> None:
    """Cancels the job, again until that is acknowledged."""
    status = 0
    deadline_ms = 400 if session.plan.given_up else 1500
    with anyio.fail_after(30):
        while status not in (200, 410):
            status = await _call(
                session, "DELETE", session.job, deadline_ms=deadline_ms
            )
            session.note(f"cancel answered {status}")
            if session.plan.given_up:
                break
            await anyio.sleep(0.05)
    if status == 410 and not session.plan.comes_late:
        session.report("the cancel is answered with no such job")
    if status in (200, 410):
        session.acknowledged_at = time.monotonic()
    session.losses.acknowledged.set()


async def _disturb(session: Session) -> None:
    """Lets the runners and the log be in trouble for a time."""
    plan, system, losses = session.plan, session.system, session.losses
    if not (plan.runner_trouble or plan.log_trouble):
        return
    losses.begin_trouble()
    if plan.at_loss:
        with anyio.move_on_after(2.0):
            while not losses.happened:
                await anyio.sleep(0.005)
    session.note(f"trouble {plan.runner_trouble} {plan.log_trouble}")
    for state in system.runners.values():
        _begin_runner_trouble(system, state, plan.runner_trouble)
    log = system.store
    late_s = 0.0
    if plan.log_trouble == "lost_answers":
        log.lose_answers = 2
    elif plan.log_trouble == "late_appends":
        late_s = 1.2
        log.late_appends[state_module.PROGRESS_TOPIC] = [late_s, 0.7 * late_s]
    elif plan.log_trouble == "slow":
        log.append_delay_s = 0.3
    elif plan.log_trouble == "down":
        log.down = True
    elif plan.log_trouble == "odd_answers":
        log.odd_answers = list(_ODD_ANSWERS)
    elif plan.log_trouble == "forgets":
        log.forget_sequences()
    await anyio.sleep(plan.troubled_s)
    for state in system.runners.values():
        state.silent = state.ignores_orders = False
        state.answer_delay_s = 0.0
        platform_system.write_entry(system, state)
    log.lose_answers, log.append_delay_s, log.down = 0, 0.0, False
    log.odd_answers.clear()
    log.late_appends.pop(state_module.PROGRESS_TOPIC, None)
    await anyio.sleep(late_s)
    session.note("trouble ends")
    losses.end_trouble()


def _begin_runner_trouble(
    system: platform_system.System,
    state: platform_runner.RunnerState,
    trouble: str,
) -> None:
    if trouble == "silent":
        state.silent = True
    elif trouble == "ignores_orders":
        state.ignores_orders = True
    elif trouble == "answers_late":
        state.answer_delay_s = 0.3
    elif trouble == "unlisted":
        platform_system.unlist_runner(system, state.id)
    elif trouble == "restarts":
        state.restart()


async def _watch(session: Session) -> None:
    """Checks that nothing starts after the cancel, until cancelled."""
    known = len(session.list_starts(session.job))
    while True:
        await anyio.sleep(0.01)
        starts = session.list_starts(session.job)
        at = session.acknowledged_at
        allowance_s = _START_ALLOWANCE_S
        if session.plan.runner_trouble == "late_start":
            allowance_s += session.plan.troubled_s
        if at is not None and time.monotonic() - at > allowance_s:
            for task, attempt in starts[known:]:
                session.report(f"{task} {attempt} starts after the cancel")
        known = len(starts)


async def _check_gone(session: Session) -> None:
    """Checks that what was cancelled ends in time, once calm has returned."""
    losses = session.losses
    last_seen = float("-inf")
    while True:
        await anyio.sleep(0.01)
        now = time.monotonic()
        since = max(session.acknowledged_at, losses.calm_since)
        left = session.list_running(session.job)
        if left:
            last_seen = now
        if losses.troubles:
            continue
        if left and now - since > _GONE_LIMIT_S:
            session.report(f"{left[0]} and {len(left) - 1} more run on")
            return
        session.gone_after_s = max(session.gone_after_s, last_seen - since)
        quiet_since = max(last_seen, since, losses.back_since)
        if not losses.away and now - quiet_since > _GONE_FOR_S:
            return


async def _find_state(session: Session, job: str) -> str:
    """Returns the state of a job as its owner tells it."""
    with anyio.fail_after(10):
        while True:
            entry = session.system.find_owner()
            if entry is not None:
                ask = peers.Ask("state", job)
                reply = await intake.answer_question(entry.owner, ask)
                if reply.owner:
                    return reply.state if reply.known else "unknown"
            await anyio.sleep(0.02)


async def _check_open(session: Session, job: str, count: int) -> None:
    """Checks that a job that nobody has cancelled runs in the end."""
    with anyio.move_on_after(_RESTORED_LIMIT_S):
        while len(set(session.list_running(job))) < count:
            await anyio.sleep(0.02)
    running = session.list_running(job)
    state = await _find_state(session, job)
    if len(running) != count or state != "running":
        session.report(f"job {job} is {state}, {len(running)} tasks run")
    starts = session.list_starts(job)
    calm_runners = session.plan.runner_trouble in ("", "slow_stop", "unlisted")
    if calm_runners and len(starts) != count:
        session.report(f"{len(starts)} starts of {count} tasks of {job}")


async def _check_given_up(session: Session) -> None:
    """Checks a job whose cancel may have been stored."""
    losses = session.losses
    while losses.troubles or losses.away:
        await anyio.sleep(0.02)
    # An append may be repeated after the answer to the caller.
    await anyio.sleep(_GONE_FOR_S)
    if await _find_state(session, session.job) == "cancelled":
        session.acknowledged_at = time.monotonic()
        await _check_gone(session)
    else:
        await _check_open(session, session.job, session.plan.count)


async def _run_plan(session: Session) -> None:
    plan, losses = session.plan, session.losses
    await session.system.wait_owner()
    await _submit(session, session.other, 3)
    if plan.runner_trouble == "late_start":
        for state in session.system.runners.values():
            state.delayed_starts = [plan.troubled_s]
    if plan.runner_trouble == "slow_stop":
        for state in session.system.runners.values():
            state.stop_grace_s = 0.3
    with anyio.fail_after(20):
        while len(session.list_running(session.other)) < 3:
            await anyio.sleep(0.01)
        if plan.comes_late:
            await _submit_late(session)
        else:
            await _submit(session, session.job, plan.count)
            wanted = 1 if plan.cancelled_early else plan.count
            while len(session.list_running(session.job)) < wanted:
                await anyio.sleep(0.005)
    losses.job = session.job
    losses.armed = list(plan.losses)
    losses.group.start_soon(_disturb, session)
    await _cancel(session)
    if session.acknowledged_at is None:
        await _check_given_up(session)
    else:
        await _check_gone(session)
        state = await _find_state(session, session.job)
        with anyio.move_on_after(2 * _LATE_JOB_S):
            while plan.comes_late and state == "unknown":
                await anyio.sleep(0.05)
                state = await _find_state(session, session.job)
        if state != "cancelled":
            session.report(f"the cancelled job is {state}")
    await _check_open(session, session.other, 3)


async def play(plan: Plan) -> Session:
    """Plays one session and returns it."""
    async with (
        platform_system.run_system(entries=0, runners=_RUNNERS) as system,
        anyio.create_task_group() as group,
    ):
        losses = owner_losses.Losses(system, group)
        system.on_entry = losses.wrap
        for _ in range(_ENTRIES):
            await losses.add_entry()
        session = Session(system, losses, plan)
        async with anyio.create_task_group() as watching:
            watching.start_soon(_watch, session)
            await _run_plan(session)
            watching.cancel_scope.cancel()
        losses.armed.clear()
    return session


def make_plan(choose: Callable[[Sequence[Any]], Any]) -> Plan:
    """Makes a plan; `choose` picks one of several values."""
    count = choose((1, 2, 4, 4, 4, 30, 30, 510))
    comes_late = choose((False,) * 7 + (True,))
    losses = tuple(
        owner_losses.Loss(
            choose(list(Moment)[1:] if not number else list(Moment)),
            choose(list(Kind)),
            choose((1, 1, 2)) if count > 1 else 1,
            choose((1.0, 3.0, 4.0)),
        )
        for number in range(choose((1, 1, 2, 3)))
    )
    return Plan(
        losses,
        count=count,
        cancelled_early=choose((False, False, True)),
        given_up=not comes_late and choose((False, False, False, True)),
        comes_late=comes_late,
        runner_trouble=choose(_RUNNER_TROUBLES),
        log_trouble=choose(_LOG_TROUBLES),
        troubled_s=choose((0.3, 0.8, 1.5)),
        at_loss=choose((False, True)),
    )


@strategies.composite
def draw_plans(draw: Any) -> Plan:
    return make_plan(lambda values: draw(strategies.sampled_from(values)))


@hypothesis.settings(max_examples=3, deadline=None, derandomize=True)
@hypothesis.given(plan=draw_plans())
def test_no_loss_of_an_owner_keeps_what_was_cancelled_alive(plan):
    # Guards against an attempt that runs on, or starts, after its cancel was
    # acknowledged, as a belief of the owner was lost with it; and against jobs
    # that end or start anew with it.
    session = anyio.run(play, plan)
    assert not session.faults, "\n".join(session.events)


@pytest.mark.parametrize("moment", list(Moment)[1:])
def test_what_was_cancelled_ends_after_a_loss_at_each_moment(moment):
    # Guards against the same, after a loss of the owner at one of the steps
    # from the record of the cancel to the last end of an attempt.
    session = anyio.run(play, Plan((owner_losses.Loss(moment, Kind.KILLED),)))
    assert not session.faults, "\n".join(session.events)
    assert [loss.moment for loss in session.losses.happened] == [moment]


@pytest.mark.parametrize("trouble", ["unlisted", "ignores_orders"])
def test_what_was_cancelled_ends_after_a_loss_and_trouble_of_its_runners(
    trouble,
):
    # Guards against a successor that gives up the stops of attempts whose
    # runners are not listed, or do not answer, when it takes over.
    loss = owner_losses.Loss(Moment.ACKNOWLEDGED, Kind.KILLED)
    plan = Plan((loss,), runner_trouble=trouble, troubled_s=1.5)
    session = anyio.run(play, plan)
    assert not session.faults, "\n".join(session.events)
    assert session.losses.happened == [loss]


def test_job_whose_cancel_was_not_stored_is_not_disturbed():
    # Guards against attempts that are stopped, and start again under the next
    # owner, for a cancel that the log does not hold.
    loss = owner_losses.Loss(Moment.UNSENT, Kind.LOG_CUT)
    session = anyio.run(play, Plan((loss,), given_up=True))
    assert not session.faults, "\n".join(session.events)
    assert session.losses.happened == [loss]


def main() -> None:
    """Plays the seeds that the command line names."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        plan = make_plan(random.Random(seed).choice)
        started_at = time.monotonic()
        session = anyio.run(play, plan)
        took_s = time.monotonic() - started_at
        happened = [f"{x.moment} {x.kind}" for x in session.losses.happened]
        print(
            f"seed {seed}: lost {happened} of {len(plan.losses)}, gone after"
            f" {session.gone_after_s:.2f} s, {took_s:.1f} s, faults"
            f" {session.faults}",
            flush=True,
        )
        if session.faults:
            print(plan, *session.events, sep="\n", flush=True)


if __name__ == "__main__":
    main()
