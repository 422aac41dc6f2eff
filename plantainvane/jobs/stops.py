"""Orders runners to stop attempts, until they answer.

An order without a reply may still be carried out, and is sent again. An attempt
that is still listed after the answer is stopped once more: see `sessions`.
"""

import anyio

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module

_STOP_RETRY_S = 0.05
# Stops under way at which no more are ordered for ended jobs. Each takes some
# memory, and more of them would not be answered within the time limit of a call
# by an owner of a third of a core.
_MAX_STOPS = 400
# A call may wait for a connection, open one and wait for the reply.
_MAX_CALL_TIMEOUTS = 3

_LATE_START = "start may be carried out late"
_OUTCOME = interfaces.OrderOutcome
_RETRIED = (
    _OUTCOME.LOST,
    _OUTCOME.UNREACHED,
    _OUTCOME.UNHEALTHY,
    _OUTCOME.OUTDATED,
)


def stop_rest_of_gang(owner: state_module.Owner, run: attempts.Run) -> None:
    """Stops the other members of the gang of an attempt, if it is in one.

    A gang starts as a whole, so a member that is left keeps it from starting.
    """
    if not run.task.step.definition.gang:
        return
    for member in run.task.step.tasks:
        for other in member.runs:
            stop_run(owner, other, "gang incomplete")


def stop_run(owner: state_module.Owner, run: attempts.Run, reason: str) -> None:
    """Orders the stop of an attempt; the runner reports its end later."""
    if run.phase is attempts.Phase.STOPPING or run not in run.task.runs:
        return
    run.phase = attempts.Phase.STOPPING
    runner = owner.runners.get(run.runner)
    if runner is not None:
        runner.has_active.set()
    _begin_stop(owner, run, reason)


def is_full(owner: state_module.Owner) -> bool:
    """Tells whether many stops have been sent and have no outcome yet."""
    return owner.stops_in_flight >= _MAX_STOPS


def repeat_stop(
    owner: state_module.Owner, run: attempts.Run, reason: str
) -> None:
    """Stops an attempt again that runs on, if no stop of it is under way."""
    _begin_stop(owner, run, reason)


def stop_in_next_life(owner: state_module.Owner, run: attempts.Run) -> None:
    """Has the next life of a runner refuse an attempt that it may start late.

    A stop that is under way is sent until that life answers. One that the life
    before has answered is sent again.
    """
    run.reported = False
    if run.phase is not attempts.Phase.STOPPING:
        stop_run(owner, run, _LATE_START)
    elif run.stop is None or run.stop.under_way_since is None:
        repeat_stop(owner, run, _LATE_START)


async def refuse_late_start(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    task: str,
    attempt: int,
) -> None:
    """Has a runner refuse a start that it may carry out late.

    The attempt is not charged to it any more. The stop is sent until it is
    answered, or the start cannot be carried out any more.
    """
    events.log_event(
        events.TASK_STOPPED,
        task=task,
        attempt=attempt,
        runner=runner.entry.id,
        reason="was to run there, and may be started late",
        epoch=owner.epoch,
    )
    ordered_at, sent, outcome = clock.read_now(), 0, _OUTCOME.LOST
    while (
        outcome in _RETRIED
        and owner.runners.get(runner.entry.id) is runner
        and (task, attempt) in runner.list_late_starts(clock.read_now())
    ):
        sent += 1
        outcome = await _call_stop(owner, runner, task, attempt)
        if outcome in _RETRIED:
            now = clock.read_now()
            await anyio.sleep(runner.stop_repeats.reserve(_STOP_RETRY_S, now))
    if outcome not in _RETRIED:
        events.log_event(
            events.STOP_ANSWERED,
            task=task,
            attempt=attempt,
            runner=runner.entry.id,
            outcome=outcome.value,
            sent=sent,
            took_ms=int((clock.read_now() - ordered_at) * 1000),
            epoch=owner.epoch,
        )


def _begin_stop(
    owner: state_module.Owner, run: attempts.Run, reason: str
) -> None:
    run.running_since = float("inf")
    if run.stop is None:
        run.stop = attempts.Stop(clock.read_now())
    events.log_event(
        events.TASK_STOPPED,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        reason=reason,
        epoch=owner.epoch,
    )
    run.stop.under_way_since = clock.read_now()
    owner.group.start_soon(_send_stop, owner, run)


def is_abandoned(run: attempts.Run) -> bool:
    """Tells whether the stop of an attempt was given up without an answer."""
    return (
        run.stop is not None
        and run.stop.under_way_since is None
        and run.running_since == float("inf")
    )


def resume_stops(owner: state_module.Owner, runs: list[attempts.Run]) -> None:
    """Sends the stops that were ordered before their runner was known."""
    for run in runs:
        if is_abandoned(run):
            run.stop.under_way_since = clock.read_now()
            owner.group.start_soon(_send_stop, owner, run)


async def _send_stop(owner: state_module.Owner, run: attempts.Run) -> None:
    """Sends a stop until it is answered, or the runner is not known.

    A poll of the runner that lists the attempt has it sent again.
    """
    runner = owner.runners.get(run.runner)
    # A runner that does not answer is not to keep others from being stopped.
    counted = runner is not None and not runner.silent
    owner.stops_in_flight += counted
    try:
        settled = await _try_stop(owner, run)
    finally:
        owner.stops_in_flight -= counted
    while not settled:
        await _wait_for_turn(owner, run)
        settled = await _try_stop(owner, run)
    run.stop.under_way_since = None


async def _wait_for_turn(owner: state_module.Owner, run: attempts.Run) -> None:
    """Waits until a stop may be repeated.

    All stops of a runner that answers none share few orders a second. Once it
    answers one, the others go on at once.
    """
    runner = owner.runners.get(run.runner)
    if runner is None:
        return
    wait_s = runner.stop_repeats.reserve(_STOP_RETRY_S, clock.read_now())
    with anyio.move_on_after(wait_s):
        await runner.stop_answered.wait()


async def _try_stop(owner: state_module.Owner, run: attempts.Run) -> bool:
    """Sends a stop once; returns whether it need not be sent again."""
    runner = owner.runners.get(run.runner)
    if runner is None or run not in run.task.runs:
        return True
    run.stop.sent += 1
    outcome = await _call_stop(owner, runner, run.task.name, run.attempt)
    run.stop.outcome = outcome.value
    if outcome is _OUTCOME.FENCED:
        owner.step_down("runner")
        return True
    if outcome in _RETRIED:
        return False
    # A poll sent after this reports the attempt unless it has ended. One that
    # reports it for longer has the stop sent again.
    run.running_since = run.stop.answered_at = clock.read_now()
    runner.note_stop_answered()
    _report_answer(owner, run)
    return True


async def _call_stop(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    task: str,
    attempt: int,
) -> interfaces.OrderOutcome:
    """Sends a stop once; a call that does not end in time counts as lost."""
    limit_s = _MAX_CALL_TIMEOUTS * owner.settings.call_timeout_s
    token = runner.token
    with anyio.move_on_after(limit_s):
        outcome = await runner.calls.stop(task, attempt, token)
        if outcome is _OUTCOME.FENCED and state_module.note_outdated(
            owner, runner, token
        ):
            outcome = _OUTCOME.OUTDATED
        return outcome
    events.log_event(
        events.STOP_CALL_HUNG,
        task=task,
        attempt=attempt,
        runner=runner.entry.id,
        limit_s=limit_s,
        epoch=owner.epoch,
    )
    return _OUTCOME.LOST


def _report_answer(owner: state_module.Owner, run: attempts.Run) -> None:
    took_s = run.stop.answered_at - run.stop.ordered_at
    metrics.STOP_ANSWER_SECONDS.observe(took_s)
    events.log_event(
        events.STOP_ANSWERED,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        outcome=run.stop.outcome,
        sent=run.stop.sent,
        took_ms=int(took_s * 1000),
        epoch=owner.epoch,
    )


async def stop_unknown(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    running: model.RunningAttempt,
    reason: str = "not ordered by this owner",
) -> None:
    """Stops an attempt that this owner has not placed on the runner.

    Does nothing while such a stop is under way; a later poll lists the attempt
    again if it is in vain.
    """
    stopped = (running.task, running.attempt)
    if stopped in runner.foreign_stops:
        return
    runner.foreign_stops.add(stopped)
    events.log_event(
        events.TASK_STOPPED,
        task=running.task,
        attempt=running.attempt,
        runner=runner.entry.id,
        reason=reason,
        epoch=owner.epoch,
    )
    await _call_stop(owner, runner, *stopped)
    runner.foreign_stops.discard(stopped)
