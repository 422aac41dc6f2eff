"""One task for each runner: renews its leases and applies what it shows."""

import dataclasses

import anyio
import msgspec

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import pacing
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module

_SILENT_RETRY_S = 0.1
# A shorter silence of a listed runner is common; withdrawing needs the log.
_PROMISE_AFTER_S = 1.0
# A runner that has left the list and runs nothing is forgotten after this.
_FORGET_S = 8.0
# With so many more failures than successes, a runner gets one task at a time
# for this long; a faulty one fails them all.
_MOST_FAULTS = 3
_SHUNNED_S = 3.0
# Ends that cannot be stored yet make every look return at once.
_UNSTORED_GAP_S = 0.5


@dataclasses.dataclass(slots=True)
class _Storing:
    """Ends of one look that are being stored."""

    batch: journal.Batch
    number: int
    born_ms: int


async def attend_runner(
    owner: state_module.Owner, runner: runners_module.Runner
) -> None:
    """Looks at a runner until it is gone."""
    storing: _Storing | None = None
    while True:
        now = clock.read_now()
        if owner.runners.get(runner.entry.id) is not runner or (
            not runner.listed
            and not runner.runs
            and now - runner.answered_at > _FORGET_S
        ):
            break
        if storing is not None and storing.batch.stored.is_set():
            if storing.born_ms == runner.entry.born_ms:
                runner.last_stored_end = max(
                    runner.last_stored_end, storing.number
                )
            storing = None
        wait_s = 0.0 if storing else _choose_wait(owner, runner)
        if runner.fenced and not runner.runs and not storing:
            # Nothing is leased there; starts bring leases of their own.
            await _wait_for_runs(owner, runner)
            if not runner.runs:
                continue
        storing = await _look(owner, runner, wait_s, storing)
        if storing is not None:
            with anyio.move_on_after(_UNSTORED_GAP_S):
                await storing.batch.stored.wait()
        else:
            await anyio.sleep(owner.settings.look_gap_s)
    if owner.runners.get(runner.entry.id) is runner:
        del owner.runners[runner.entry.id]
    await runner.calls.aclose()


async def _wait_for_runs(
    owner: state_module.Owner, runner: runners_module.Runner
) -> None:
    with anyio.move_on_after(owner.settings.idle_look_s):
        while not any(
            run.phase is not attempts.Phase.STARTING for run in runner.runs
        ):
            await anyio.sleep(0.02)


def _choose_wait(
    owner: state_module.Owner, runner: runners_module.Runner
) -> float:
    """How long a look may wait for an end."""
    if not runner.fenced:
        return 0.0
    serving = any(run.task.step.step.target_ms for run in runner.runs)
    if serving and runner.fill_cpu:
        return owner.settings.service_look_s
    return min(owner.settings.look_wait_s, owner.settings.lease_s / 3)


async def _look(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    wait_s: float,
    storing: _Storing | None,
) -> _Storing | None:
    sent_at = clock.read_now()
    lease = None
    if runner.clock_ms:
        lease = runner.extend_lease(owner.settings.lease_s, sent_at) or None
    reply = await runner.calls.look(
        owner.epoch, runner.last_stored_end, lease, wait_s
    )
    now = clock.read_now()
    if reply.is_err():
        metrics.LOOKS.labels(reply.err_value.value).inc()
        if reply.err_value is interfaces.StartOutcome.FENCED:
            owner.lose("runner")
            return storing
        _note_silence(owner, runner, reply.err_value, now)
        await anyio.sleep(_SILENT_RETRY_S)
        return storing
    metrics.LOOKS.labels("done").inc()
    return _apply_look(owner, runner, reply.ok_value, sent_at, now) or storing


def _note_silence(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    failure: interfaces.StartOutcome,
    now: float,
) -> None:
    if not runner.silent:
        runner.silent, runner.silent_at = True, now
        events.log_event(
            events.RUNNER_SILENT,
            runner=runner.entry.id,
            failure=failure.value,
            runs=len(runner.runs),
            answered_ago_s=round(now - runner.answered_at, 3),
        )
    expiry = runner.find_lease_expiry(owner.settings)
    if not runner.fenced:
        # An earlier owner's leases are not known here.
        expiry = max(expiry, owner.find_expiry(runner.entry.id))
    lasts = now - runner.silent_at > _PROMISE_AFTER_S or not runner.listed
    if lasts and runner.runs:
        _promise_expiry(owner, runner, expiry, now)
    if now > expiry and runner.runs:
        _drop_runs(owner, runner, list(runner.runs), "lease expired", now)


def _promise_expiry(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    expiry: float,
    now: float,
) -> None:
    """Stores when the leases expire, so that a successor need not guess."""
    if not runner.expiry_promised:
        runner.expiry_promised = True
        owner.expiries.promise(runner.entry.id, expiry)
        state_module.store_expiries(owner, now)


async def _withdraw_expiry(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Allows longer leases again, once that is stored."""
    owner.expiries.withdraw(runner.entry.id)
    await state_module.store_expiries(owner, now).stored.wait()
    runner.expiry_promised = False
    owner.poke()


def _drop_runs(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    runs: list[attempts.Run],
    reason: str,
    now: float,
) -> None:
    for run in runs:
        runner.charge(run, -1)
        owner.learned.forget_run(run)
        owner.book.drop_run(run, now)
        note_loss(owner, run, reason)
    owner.poke()


def note_loss(
    owner: state_module.Owner, run: attempts.Run, reason: str
) -> None:
    """Reports an attempt that has ended unseen."""
    metrics.ENDS.labels("lost").inc()
    events.log_event(
        events.TASK_LOST,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        reason=reason,
        epoch=owner.epoch,
    )


def begin_life(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    born_ms: int,
    now: float,
) -> None:
    """Notes that the runner has started anew and knows nothing of before."""
    events.log_event(
        events.RUNNER_RESTARTED,
        runner=runner.entry.id,
        born_ms=born_ms,
        runs=len(runner.runs),
    )
    runner.last_stored_end = 0
    runner.lease_until_ms = 0
    runner.clock_ms, runner.clock_read_at = 0, now
    # An order under way may reach the new life; its answer settles it.
    ended = [
        run
        for run in runner.runs
        if run.phase is not attempts.Phase.STARTING or run.ordered_at < now - 1
    ]
    _drop_runs(owner, runner, ended, "runner restarted", now)


def _apply_look(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    look: model.RunnerStatus,
    sent_at: float,
    now: float,
) -> _Storing | None:
    if look.born_ms != runner.entry.born_ms:
        _apply_life(owner, runner, look, now)
        if look.born_ms != runner.entry.born_ms:
            return None
    runner.record_clock(look.clock_ms, now)
    runner.answered_at = now
    if runner.silent:
        runner.silent = False
        events.log_event(events.RUNNER_HEARD, runner=runner.entry.id)
    if runner.expiry_promised and runner.entry.id in owner.expiries.expires_at:
        owner.group.start_soon(_withdraw_expiry, owner, runner, now)
    number = _apply_ends(owner, runner, look, now)
    _apply_running(owner, runner, look, sent_at, now)
    if not runner.fenced:
        runner.fenced = True
        owner.poke()
    owner.learned.learn(runner, now)
    pacing.track_target_violations(runner, now)
    orders.pace_fills(owner, runner, now)
    if number <= runner.last_stored_end:
        return None
    owner.poke()
    return _Storing(owner.journal.add([]), number, look.born_ms)


def _apply_life(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    look: model.RunnerStatus,
    now: float,
) -> None:
    if look.born_ms < runner.entry.born_ms:
        return
    shown = {(r.task, r.attempt) for r in look.running}
    begin_life(owner, runner, look.born_ms, now)
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=look.born_ms)
    for run in list(runner.runs):
        if (run.task.name, run.attempt) not in shown:
            continue
        run.phase = attempts.Phase.RUNNING


def _apply_ends(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    look: model.RunnerStatus,
    now: float,
) -> int:
    """Applies new ends and returns the highest number seen."""
    number = runner.last_stored_end
    for end in look.ends:
        number = max(number, end.number)
        if end.number <= runner.last_stored_end:
            continue
        run = owner.book.find_run(end.task, end.attempt)
        if run is None or run.runner != runner.entry.id:
            continue
        runner.charge(run, -1)
        owner.learned.forget_run(run)
        owner.book.end_run(
            run, end.outcome, end.checkpoint, now, clock.read_wall_ms()
        )
        _note_end(owner, runner, run, end, now)
    return number


def _note_end(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    end: model.AttemptEnd,
    now: float,
) -> None:
    metrics.ENDS.labels(end.outcome).inc()
    events.log_event(
        events.TASK_ENDED,
        task=end.task,
        attempt=end.attempt,
        runner=runner.entry.id,
        how=end.outcome,
        number=end.number,
        failures=run.task.failures,
        ran_ms=int((now - run.ordered_at) * 1000),
        epoch=owner.epoch,
    )
    if end.outcome == "done":
        runner.faults = max(0, runner.faults - 1)
    elif end.outcome == "failed":
        runner.faults += 1
        if runner.faults >= _MOST_FAULTS:
            runner.probation_until = now + _SHUNNED_S
    if run.task.step.step.gang and end.outcome != "done":
        for member in run.task.step.tasks:
            for other in member.runs:
                orders.stop_run(owner, other, "gang member ended")


def _apply_running(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    look: model.RunnerStatus,
    sent_at: float,
    now: float,
) -> None:
    shown: set[attempts.Run] = set()
    for running in look.running:
        run = owner.book.find_run(running.task, running.attempt)
        if run is None or run.runner != runner.entry.id:
            owner.group.start_soon(orders.stop_unknown, owner, runner, running)
            continue
        shown.add(run)
        _update_run(run, running, now)
    missing = [
        run
        for run in runner.runs
        if run not in shown and _is_over(runner, run, sent_at)
    ]
    if missing:
        _drop_runs(owner, runner, missing, "not running there", now)


def _is_over(
    runner: runners_module.Runner, run: attempts.Run, sent_at: float
) -> bool:
    """Tells whether an attempt that a look does not show has ended."""
    if run.phase is not attempts.Phase.STARTING:
        return run.running_since < sent_at
    # Ordered by an earlier owner, which this token now fences.
    return run.ordered_at == 0 and not runner.fenced


def _update_run(
    run: attempts.Run, running: model.RunningAttempt, now: float
) -> None:
    if run.phase is attempts.Phase.STARTING:
        run.phase = attempts.Phase.RUNNING
        run.running_since = now
    if running.progress_percent != run.progress_percent:
        run.progress_percent, run.progress_changed_at = (
            running.progress_percent,
            now,
        )
    if running.checkpoint and run.task.step.step.checkpointing:
        run.task.checkpoint = running.checkpoint
    run.measurement = running.measurement
