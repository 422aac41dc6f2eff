"""Keeps leases alive while a new owner loads the stored jobs.

Until the jobs are known, an answer of a runner tells nothing about attempts:
none is foreign, missing or ended, and no end is acknowledged. Nor does a poll
tell that a runner is silent or fenced. The sessions find that out by polls of
their own, which begin once the jobs are loaded.

Only the stored ends of jobs are known, as the progress is read first. What runs
on after one is stopped at once, or its lease would be kept as well.
"""

import dataclasses

import anyio

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops

# An owner that has loaded its jobs by then polls no runner twice.
_BEGIN_AFTER_S = 0.7
# A lease is renewed after this share of its time, which leaves the rest for
# further tries.
_RENEWED_SHARE = 0.5
_RETRY_S = 0.4
# A runner is polled again after this time if anything is being stopped there.
_STOP_RETRY_S = 1.0
_TURN_S = 0.05
# Polls under way at which no more are sent. The weakest process has 0.3 of a
# core and has to handle their answers within the time limit of a call.
_MAX_POLLS = 64


@dataclasses.dataclass(slots=True, eq=False)
class _Kept:
    """A runner whose leases are kept alive.

    Attributes:
      runner: The runner.
      born_ms: Its incarnation, by its entry or by its last answer.
      due_at: When it is to be polled next.
      under_way: A poll has no outcome yet.
      polls: Number of polls sent.
    """

    runner: runners_module.Runner
    born_ms: int
    due_at: float
    under_way: bool = False
    polls: int = 0


async def keep_leases(owner: state_module.Owner) -> None:
    """Renews the leases on the listed runners until the jobs are loaded."""
    begins_at = owner.started_at + _BEGIN_AFTER_S
    await anyio.sleep(max(0.0, begins_at - clock.read_now()))
    if not owner.loading:
        return
    began = clock.read_now()
    kept = [
        _Kept(runner, runner.entry.born_ms, began)
        for runner in owner.runners.values()
    ]
    async with anyio.create_task_group() as group:
        while owner.loading:
            for chosen in _choose_due(owner, kept, clock.read_now()):
                chosen.under_way = True
                group.start_soon(_renew, owner, chosen)
            await anyio.sleep(_TURN_S)
    events.log_event(
        events.LEASES_KEPT,
        epoch=owner.epoch,
        runners=len(kept),
        unanswered=sum(k.runner.lease_withheld for k in kept),
        polls=sum(k.polls for k in kept),
        lasted_s=round(clock.read_now() - began, 3),
    )


def _choose_due(
    owner: state_module.Owner, kept: list[_Kept], now: float
) -> list[_Kept]:
    """Returns the runners to be polled now, the longest due first."""
    under_way = sum(k.under_way for k in kept)
    due = [
        k
        for k in kept
        if not k.under_way
        and k.due_at <= now
        # At another address it has another object, which knows when the leases
        # of this one have expired.
        and owner.runners.get(k.runner.entry.id) is k.runner
    ]
    due.sort(key=lambda k: k.due_at)
    return due[: max(0, _MAX_POLLS - under_way)]


async def _renew(owner: state_module.Owner, kept: _Kept) -> None:
    """Polls a runner once; extends no lease after a poll without an answer.

    Thus the time after which nothing can run on a silent runner stays fixed.
    """
    runner, sent_at = kept.runner, clock.read_now()
    lease = leases.choose_lease(owner, runner, sent_at)
    kept.polls += 1
    token = runner.token
    reply = await runner.calls.poll(token, 0, lease, 0.0)
    now = clock.read_now()
    kept.under_way = False
    owner.load.record_delay(now - sent_at - owner.settings.call_timeout_s, now)
    if reply.is_err():
        metrics.RUNNER_POLLS.labels(reply.err_value.value).inc()
        kept.due_at = now + _RETRY_S
        runner.lease_withheld = True
        if (
            reply.err_value is interfaces.OrderOutcome.FENCED
            and not state_module.note_outdated(owner, runner, token)
        ):
            owner.step_down("runner")
        return
    metrics.RUNNER_POLLS.labels("done").inc()
    if owner.loading:
        _apply_answer(owner, kept, reply.ok_value, lease, sent_at, now)


def _apply_answer(
    owner: state_module.Owner,
    kept: _Kept,
    reply: model.RunnerStatus,
    lease: int | None,
    sent_at: float,
    now: float,
) -> None:
    """Records what an answer tells of the clock and the lease of a runner."""
    runner = kept.runner
    kept.due_at = sent_at + _RENEWED_SHARE * owner.settings.lease_s
    if runner.clock_listed or runner.lease_withheld:
        # It has got no lease, or one on the clock of its entry, which may be
        # too short.
        kept.due_at = now
    runner.lease_withheld = False
    if reply.born_ms != kept.born_ms:
        kept.born_ms = reply.born_ms
        leases.begin_clock(owner, runner, reply.clock_ms, now)
    leases.read_clock(owner, runner, reply, sent_at, now)
    if runner.expiry_promised:
        # Its lease is renewed once the withdrawal of the promise is stored.
        kept.due_at = now + _RETRY_S
        leases.withdraw_promise(owner, runner, now)
    if not runner.heard:
        leases.expect_earlier_grants(
            owner, runner, reply.born_ms, now, clock.read_wall_ms()
        )
    runner.answered_at = runner.up_at = now
    runner.heard = True
    if lease is not None:
        runner.renewed_at = sent_at
    for running in reply.running:
        if _is_of_ended_job(owner, running):
            kept.due_at = min(kept.due_at, now + _STOP_RETRY_S)
            if not stops.is_full(owner):
                owner.group.start_soon(_stop, owner, runner, running)


async def _stop(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    running: model.RunningAttempt,
) -> None:
    owner.stops_in_flight += 1
    try:
        await stops.stop_unknown(owner, runner, running, "job ended")
    finally:
        owner.stops_in_flight -= 1


def _is_of_ended_job(
    owner: state_module.Owner, running: model.RunningAttempt
) -> bool:
    """Tells whether the log holds the end of the job of an attempt."""
    progress = owner.progress.get(running.task.partition(".")[0])
    return progress is not None and bool(progress.ended)
