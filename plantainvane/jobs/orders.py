"""Sends orders to runners: start and pace attempts.

A start order without a reply may still be carried out. It is retried, then
followed by a stop order. The attempt stays charged to the runner until one of
these is answered, a later poll reports the attempt, or all leases on the runner
have expired.
"""

import anyio

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import colocation
from plantainvane.jobs import crashes
from plantainvane.jobs import eligibility
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import pacing
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import trials

# Time without start orders after a runner has rejected one.
_NO_ROOM_BACKOFF_S = 0.25
_UNHEALTHY_BACKOFF_S = 1.0
_INVALID_RETRY_S = 1.0
# A fill task at this pace or below counts as slowed down.
_SLOWED_PERCENT = 50
# A late process keeps a fill task slowed for this long at most.
_MAX_POSTPONED_S = 2.0
# Limit on the runners in one call to the adviser.
_MAX_ADVISED_RUNNERS = 30
_ADVICE_SLACK_S = 1.0
_ADVICE_RETRY_S = 0.3

_OUTCOME = interfaces.OrderOutcome
_RETRIED = (_OUTCOME.LOST, _OUTCOME.UNREACHED, _OUTCOME.OUTDATED)
_NOT_HEARD = (_OUTCOME.LOST, _OUTCOME.UNREACHED, _OUTCOME.OTHER_INCARNATION)


async def start_runs(
    owner: state_module.Owner, runs: list[attempts.Run]
) -> None:
    """Stores the attempts, then sends their start orders."""
    owner.starts_in_flight += len(runs)
    await owner.journal.flush()
    for run in runs:
        owner.group.start_soon(_start_counted_run, owner, run)


async def _start_counted_run(
    owner: state_module.Owner, run: attempts.Run
) -> None:
    try:
        await _start_run(owner, run)
    finally:
        owner.starts_in_flight -= 1


async def _start_run(owner: state_module.Owner, run: attempts.Run) -> None:
    task = run.task
    runner = owner.runners.get(run.runner)
    if runner is None or run not in task.runs:
        return
    if task.job.ended or run.phase is not attempts.Phase.STARTING:
        _release_run(owner, run)
        return
    outcome, lost = _OUTCOME.LOST, False
    for _ in range(1 + owner.settings.start_retries):
        reason = _find_obstacle(owner, runner, run, clock.read_now())
        if reason:
            _withhold_start(owner, runner, run, reason, lost)
            return
        order = _make_order(owner, runner, run)
        run.sent_at = clock.read_now()
        trials.extend_trial(runner, run)
        runner.expect_late_start(run, run.sent_at)
        reply = await runner.calls.start(order)
        outcome = reply.outcome
        if outcome is _OUTCOME.FENCED and state_module.note_outdated(
            owner, runner, order.token
        ):
            outcome = _OUTCOME.OUTDATED
        if outcome is _OUTCOME.LOST:
            lost = True
            runner.expect_stray_lease(run.sent_at + runners_module.LATE_START_S)
            state_module.outdate_call(owner, runner, order.token)
        leases.note_started(
            owner, runner, run, reply.clock_ms, clock.read_now()
        )
        if not lost:
            runner.late_starts.pop((run.task.name, run.attempt), None)
        if outcome not in _RETRIED:
            break
    now = clock.read_now()
    if outcome in _RETRIED and lost:
        # An earlier try may still be carried out.
        outcome = _OUTCOME.LOST
    if outcome is _OUTCOME.OLD:
        # It has been started there, perhaps by a try whose reply was lost, or
        # the runner knows a later attempt. The next poll reports it or its end.
        outcome = _OUTCOME.DONE
    metrics.STARTS.labels(outcome.value).inc()
    events.log_event(
        events.TASK_ORDERED,
        task=task.name,
        attempt=run.attempt,
        runner=run.runner,
        outcome=outcome.value,
        epoch=owner.epoch,
        waited_ms=int((run.ordered_at - task.ready_since) * 1000),
        took_ms=int((now - run.ordered_at) * 1000),
        cpu=runner.cpu,
        fill_cpu=runner.fill_cpu,
        look_age_ms=int((now - runner.answered_at) * 1000),
    )
    _apply_start_outcome(owner, runner, run, outcome, now, lost)


def _find_obstacle(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    now: float,
) -> str:
    """Returns why a start that is charged must not be ordered, or empty.

    A start grants a lease. An owner that was suspended may have a successor
    that counts on it that all its leases have expired.
    """
    if leases.is_cut_off(owner, now):
        return "log not heard"
    if owner.waives_leases:
        return "ownership is offered"
    if run not in run.task.runs or run.phase is attempts.Phase.STOPPING:
        return "attempt ended or is being stopped"
    if run.task.retry_at > now:
        return "another attempt runs"
    if run.task.job.ended:
        return "job ended"
    if eligibility.exceeds_capacity(runner):
        return "over capacity"
    if not runner.listed:
        return "not listed"
    if runner.evacuated:
        return "its domain is evacuated"
    if runner.is_announced():
        return "its entry tells of another life"
    if runner.foreign:
        return "an attempt runs there that is not charged"
    return ""


def _withhold_start(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    reason: str,
    lost: bool,
) -> None:
    """Gives up a start that must not be ordered any more.

    `lost` tells that an earlier try may still be carried out.
    """
    runner.note_start_answered()
    capacity = runner.entry.capacity
    events.log_event(
        events.START_DROPPED,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        reason=reason,
        in_doubt=lost,
        cpu=runner.cpu,
        memory_mb=runner.memory_mb,
        accelerators=runner.accelerators,
        capacity_cpu=capacity.cpu,
        capacity_memory_mb=capacity.memory_mb,
        capacity_accelerators=capacity.accelerators,
        epoch=owner.epoch,
    )
    if lost:
        stops.stop_run(owner, run, "start not answered")
    elif run in run.task.runs:
        _release_run(owner, run)


def _make_order(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
) -> model.StartOrder:
    task, now = run.task, clock.read_now()
    ticket, _ = owner.tickets.get(
        (_name_step(task.step), run.runner), ("", 0.0)
    )
    return model.StartOrder(
        task=task.name,
        attempt=run.attempt,
        spec=task.job.job.spec,
        lease_until_ms=leases.extend_lease(owner, runner, now),
        token=state_module.choose_start_token(owner, runner),
        checkpoint=task.checkpoint,
        ticket=ticket,
        # It may wait for a connection, while its job is cancelled.
        is_wanted=lambda: (
            not _find_obstacle(owner, runner, run, clock.read_now())
        ),
    )


def _apply_start_outcome(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    outcome: interfaces.OrderOutcome,
    now: float,
    lost: bool = False,
) -> None:
    """Applies the outcome of the last try; `lost` tells that one was lost."""
    runner.note_start_answered()
    if outcome not in _NOT_HEARD:
        runner.up_at = max(runner.up_at, now)
    if run not in run.task.runs:
        return
    if outcome is _OUTCOME.DONE:
        run.start_answered = True
        if run.phase is attempts.Phase.STARTING:
            run.phase = attempts.Phase.RUNNING
            run.running_since = run.progress_changed_at = now
            runner.has_active.set()
        runner.renewed_at = max(runner.renewed_at, run.ordered_at)
        if run.task.job.stored_ended:
            stops.stop_run(owner, run, "job ended")
        elif run.task.step.definition.fills:
            # Tasks start at full speed, also when a lower pace is known to be
            # needed.
            pace_fills(owner, runner, now)
        return
    if outcome is _OUTCOME.FENCED:
        owner.step_down("runner")
        return
    if outcome is _OUTCOME.LOST:
        stops.stop_run(owner, run, "start not answered")
        return
    if outcome is _OUTCOME.NO_ROOM:
        runner.backoff_until = now + _NO_ROOM_BACKOFF_S
    elif outcome in (_OUTCOME.UNHEALTHY, _OUTCOME.UNREACHED):
        runner.backoff_until = now + _UNHEALTHY_BACKOFF_S
        runner.faults += 1
        if outcome is _OUTCOME.UNREACHED and not _is_polled(runner):
            runner.require_poll()
    elif outcome is _OUTCOME.INVALID:
        run.task.retry_at = now + _INVALID_RETRY_S
    elif outcome is _OUTCOME.NO_TICKET:
        owner.tickets.pop((_name_step(run.task.step), run.runner), None)
    elif outcome in (
        _OUTCOME.OTHER_INCARNATION,
        _OUTCOME.LATE,
        _OUTCOME.OUTDATED,
    ):
        # Without a poll it would refuse the next start for the same reason.
        runner.require_poll()
    if lost and outcome is not _OUTCOME.OTHER_INCARNATION:
        # The rejection of a retry does not settle the earlier try.
        stops.stop_run(owner, run, "start not answered")
    else:
        if lost:
            crashes.blame_unanswered(runner, run)
        _release_run(owner, run)


def _is_polled(runner: runners_module.Runner) -> bool:
    return any(run.reported for run in runner.runs)


def _release_run(owner: state_module.Owner, run: attempts.Run) -> None:
    # The runner may have a new address, and a new object, since the order.
    runner = owner.runners.get(run.runner)
    if runner is not None:
        runner.charge(run, -1)
    owner.table.drop_run(run, clock.read_now())
    crashes.count_crash(owner, run, clock.read_wall_ms())
    stops.stop_rest_of_gang(owner, run)
    owner.request_pass()


def pace_fills(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Orders new paces for the fill tasks of a runner.

    A late process postpones increases, but not of a task that has long been
    slowed, as the process may stay late.
    """
    late = owner.load.is_late(now)
    for run, percent in pacing.decide_paces(
        owner.interference_model, runner, owner.settings.max_impact_s, now
    ):
        increases = run.pace_confirmed and percent > run.pace_percent
        if not (late and increases) or _is_long_slowed(run, now):
            owner.group.start_soon(set_pace, owner, run, percent)


def _is_long_slowed(run: attempts.Run, now: float) -> bool:
    since = run.slowed_since
    return since is not None and now - since > _MAX_POSTPONED_S


async def set_pace(
    owner: state_module.Owner, run: attempts.Run, percent: int
) -> None:
    """Orders a pace for an attempt; a lost order is retried after a poll."""
    runner = owner.runners.get(run.runner)
    if runner is None:
        return
    token = runner.token
    outcome = await runner.calls.pace(
        run.task.name, run.attempt, percent, token
    )
    if outcome is _OUTCOME.FENCED and state_module.note_outdated(
        owner, runner, token
    ):
        outcome = _OUTCOME.OUTDATED
    metrics.PACES.labels(outcome.value).inc()
    if outcome in (
        _OUTCOME.UNREACHED,
        _OUTCOME.UNHEALTHY,
        _OUTCOME.OUTDATED,
    ):
        # Nothing was done, so an earlier order may still be in doubt.
        return
    run.pace_confirmed = outcome is not _OUTCOME.LOST
    now = clock.read_now()
    if outcome is _OUTCOME.DONE:
        if not percent and run.pace_percent:
            colocation.report_halt(
                owner.colocation, owner.epoch, runner, run, now
            )
        runner.change_pace(run, percent, now)
        if percent > _SLOWED_PERCENT:
            run.slowed_since = None
        elif run.slowed_since is None:
            run.slowed_since = now
    elif outcome is _OUTCOME.FENCED:
        owner.step_down("runner")


def _name_step(step: attempts.StepState) -> str:
    return f"{step.job.job.id}.{step.occurrence}.{step.number}"


def filter_advised(
    owner: state_module.Owner,
    step: attempts.StepState,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[runners_module.Runner]:
    """Returns the runners with a valid ticket for the step.

    Asks the adviser for more tickets if there are fewer than tasks in the step,
    unless its last answers on all the others are valid.
    """
    name = _name_step(step)
    advised, unknown = [], []
    for runner in candidates:
        ticket, until = _find_advice(owner, name, runner)
        if until <= now:
            if _may_ask_about(runner):
                unknown.append(runner)
        elif ticket:
            advised.append(runner)
    if (
        len(advised) < len(step.tasks)
        and unknown
        and name not in owner.advice_in_flight
    ):
        owner.advice_in_flight.add(name)
        owner.group.start_soon(_ask_adviser, owner, step, unknown)
    return advised


def _find_advice(
    owner: state_module.Owner, name: str, runner: runners_module.Runner
) -> tuple[str, float]:
    """Returns the last ticket, empty without one, and until when it holds."""
    return owner.tickets.get((name, runner.entry.id), ("", 0.0))


def is_advised(
    owner: state_module.Owner,
    step: attempts.StepState,
    runner: runners_module.Runner,
    now: float,
) -> bool:
    """Tells whether there is a valid ticket for a step on a runner."""
    ticket, until = _find_advice(owner, _name_step(step), runner)
    return bool(ticket) and until > now


def forget_tickets(owner: state_module.Owner, jobs: set[str]) -> None:
    """Forgets the tickets of all steps of some jobs."""
    owner.tickets = {
        (step, runner): ticket
        for (step, runner), ticket in owner.tickets.items()
        if step.partition(".")[0] not in jobs
    }


def _may_ask_about(runner: runners_module.Runner) -> bool:
    return runner.listed and runner.fenced and not runner.silent


async def _ask_adviser(
    owner: state_module.Owner,
    step: attempts.StepState,
    candidates: list[runners_module.Runner],
) -> None:
    name, advice = _name_step(step), step.job.queue.advice
    adviser = owner.adapters.adviser
    wanted = sorted(
        filter(_may_ask_about, candidates),
        key=lambda r: (_find_advice(owner, name, r)[1], r.cpu),
    )
    asked = [runner.entry.id for runner in wanted[:_MAX_ADVISED_RUNNERS]]
    started = clock.read_now()
    tickets = None
    if adviser is not None and advice is not None and asked:
        timeout_s = (
            advice.decision_s
            + advice.per_runner_s * len(asked)
            + _ADVICE_SLACK_S
        )
        tickets = await adviser.advise(name, asked, timeout_s)
    if tickets is None:
        events.log_event(
            events.ADVICE_FAILED,
            step=name,
            runners=len(asked),
            adviser=adviser is not None,
            epoch=owner.epoch,
        )
        await anyio.sleep(_ADVICE_RETRY_S)
    else:
        # Validity counts from the start of the call, as the reply took time to
        # arrive.
        until = started + advice.validity_s
        for runner in asked:
            owner.tickets[name, runner] = (tickets.get(runner, ""), until)
    owner.advice_in_flight.discard(name)
    owner.request_pass()
