"""One session per runner: renews its leases and applies its reports."""

from collections.abc import Collection
import dataclasses

import anyio
import msgspec

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import crashes
from plantainvane.jobs import interfaces
from plantainvane.jobs import interference
from plantainvane.jobs import journal
from plantainvane.jobs import leases
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import outliving
from plantainvane.jobs import pacing
from plantainvane.jobs import reach
from plantainvane.jobs import runner_entries
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops

_SILENT_RETRY_S = reach.SILENT_RETRY_S
# A lease is requested for less by what a slow clock may have lost since its
# last reading, which is not to grow on an idle runner.
_CLOCK_AGE_S = 30.0
# A runner that has been silent for longer than the first time, and has no
# attempts whose leases may expire, is polled at the second interval.
_LONG_SILENCE_S = 1.0
_LONG_SILENCE_RETRY_S = 0.4
# A poll that failed this long before its time-out broke off.
_TIMEOUT_MARGIN_S = 0.05
# Listed runners are often silent for less than this, and withdrawing a promised
# expiry takes an append to the log.
_PROMISE_DELAY_S = 1.0
# Longest poll while the withdrawal of a promised expiry is being stored: a poll
# that was sent before extends no lease.
_PROMISED_WAIT_S = 0.3
# Longest poll while anything is being stopped: what is found to run on is to be
# stopped again and to end within 3.4 s of its cancel.
_STOPPING_WAIT_S = 0.5
# An unlisted runner without attempts is removed after this time.
_REMOVE_AFTER_S = 8.0
# A runner with this many more failures than successes gets one task at a time
# for _PROBATION_S, as a faulty runner fails all of its tasks.
_PROBATION_FAULTS = 3
_PROBATION_S = 3.0
# Pause between polls while ends are being stored: the runner lists them until
# they are acknowledged, so every poll returns at once.
_UNSTORED_POLL_GAP_S = 0.5
# Pause between polls while an acknowledgement is withheld, for the same reason.
_WITHHELD_POLL_GAP_S = 0.25
# Longest wait for open starts before ends are acknowledged; less than the time
# after which the life of the runner is in doubt.
_OPEN_START_WAIT_S = 0.1
# A poll acknowledges ends only if the runner has answered this shortly before,
# as one that has crashed takes longer to come back.
_SAME_LIFE_S = 0.2
# An attempt that a runner still reports this long after it has answered a stop
# is stopped again. The platform allows a stop 0.4 s.
_STOP_REPEAT_S = 1.0
# A runner that answers polls, but no stop for this long, gets no starts; a call
# that is lost now and then is repeated much earlier.
_IGNORED_STOP_S = 2.0
# A start order without an answer may be carried out late. The present
# incarnation does not refuse one that the earlier one was told to stop.
_LATE_START_S = runners_module.LATE_START_S
_OUTCOME = interfaces.OrderOutcome
_UNANSWERED = (_OUTCOME.LOST, _OUTCOME.UNREACHED)


@dataclasses.dataclass(slots=True)
class _PendingEnds:
    """Reported ends that are being stored.

    Attributes:
      batch: Append that stores them.
      number: Highest number among them, acknowledged once they are stored.
      born_ms: Incarnation of the runner that reported them.
    """

    batch: journal.Batch
    number: int
    born_ms: int


async def run_session(
    owner: state_module.Owner, runner: runners_module.Runner
) -> None:
    """Polls a runner until it is replaced or has left."""
    pending: _PendingEnds | None = None
    while True:
        now = clock.read_now()
        if owner.runners.get(runner.entry.id) is not runner or (
            not runner.listed
            and not runner.runs
            and now - runner.answered_at > _REMOVE_AFTER_S
            # It may return under its id, and has to refuse these.
            and not runner.list_late_starts(now)
        ):
            break
        if pending is not None and pending.batch.stored.is_set():
            if pending.born_ms == runner.entry.born_ms:
                runner.last_stored_end = max(
                    runner.last_stored_end, pending.number
                )
            pending = None
        wait_s = 0.0 if pending else _choose_wait(owner, runner, now)
        if not pending and not _needs_poll(runner, now):
            await _wait_for_runs(owner, runner)
            now = clock.read_now()
            if not _needs_poll(runner, now):
                continue
            wait_s = min(wait_s, _choose_wait(owner, runner, now))
        if not pending:
            await _wait_for_starts(runner)
        pending = await _poll(owner, runner, wait_s, pending)
        if pending is not None:
            with anyio.move_on_after(_UNSTORED_POLL_GAP_S):
                await pending.batch.stored.wait()
        elif runner.lists_stray_ends(clock.read_now()):
            await anyio.sleep(_WITHHELD_POLL_GAP_S)
        else:
            await anyio.sleep(owner.settings.poll_gap_s)
    owner.paced_runners.discard(runner.entry.id)
    if owner.runners.get(runner.entry.id) is runner:
        del owner.runners[runner.entry.id]
    await runner.calls.aclose()


def _needs_poll(runner: runners_module.Runner, now: float) -> bool:
    """Tells whether a poll has anything to renew or to find out.

    A runner without attempts has no lease to renew: a start order carries a
    lease of its own. Placement leaves out a runner that is silent, not fenced,
    runs a foreign attempt or ignores stops, and only a poll ends that. A late
    start on a runner that has restarted is found by a poll as well, and a start
    needs a reading of the clock that is not old.
    """
    return (
        bool(runner.runs or runner.foreign or runner.ignores_stops)
        or runner.silent
        or not runner.fenced
        or now - runner.restarted_at < _LATE_START_S
        or now - runner.clock_read_at > _CLOCK_AGE_S
    )


async def _wait_for_starts(runner: runners_module.Runner) -> None:
    """Waits until starts have an outcome, or for a while, to acknowledge ends.

    A poll that acknowledges none returns at once, as they are listed.
    """
    if runner.silent or runner.last_stored_end <= runner.acknowledged_end:
        return
    with anyio.move_on_after(_OPEN_START_WAIT_S):
        while runner.has_open_start():
            await runner.start_answered.wait()


async def _wait_for_runs(
    owner: state_module.Owner, runner: runners_module.Runner
) -> None:
    with anyio.move_on_after(owner.settings.idle_poll_s):
        while runner.fenced and not any(
            run.phase is not attempts.Phase.STARTING for run in runner.runs
        ):
            runner.has_active = anyio.Event()
            await runner.has_active.wait()


def _choose_wait(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> float:
    """Returns the seconds that a poll may wait for an end."""
    settings, paced_runners = owner.settings, owner.paced_runners
    serving = interference.list_serving_runs(runner)
    if serving and runner.fill_cpu:
        paced_runners.add(runner.entry.id)
    else:
        paced_runners.discard(runner.entry.id)
    if runner.ignores_stops and runner.fenced and not runner.silent:
        return _STOPPING_WAIT_S
    if (
        not runner.fenced
        or runner.silent
        or now - runner.renewed_at > settings.lease_s / 2
    ):
        return 0.0
    if any(map(_may_be_gone, runner.runs)):
        return 0.0
    if runner.expiry_promised:
        return _PROMISED_WAIT_S
    if _stops_any(runner):
        return _STOPPING_WAIT_S
    if not (serving and runner.fill_cpu):
        return min(settings.poll_wait_s, settings.lease_s / 3)
    if any(run.over_target_since is not None for run in serving):
        return settings.service_poll_wait_s
    return pacing.choose_poll_wait(
        settings, len(paced_runners), owner.load.is_late(now)
    )


def _may_be_gone(run: attempts.Run) -> bool:
    """Tells whether a poll shows that an attempt has never run.

    Its stop has been answered and no poll has listed it, so no end of it may
    come that a poll could wait for.
    """
    return (
        run.phase is attempts.Phase.STOPPING
        and not run.reported
        and run.running_since != float("inf")
    )


def _stops_any(runner: runners_module.Runner) -> bool:
    return bool(runner.foreign) or any(
        run.phase is attempts.Phase.STOPPING for run in runner.runs
    )


async def _poll(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    wait_s: float,
    pending: _PendingEnds | None,
) -> _PendingEnds | None:
    sent_at = clock.read_now()
    if not runner.silent:
        runner.polled_at = sent_at
    lease = leases.choose_lease(owner, runner, sent_at)
    extends = lease is not None and runner.lease_requested_at == sent_at
    born_ms = runner.entry.born_ms
    acknowledged = _choose_acknowledged(runner, sent_at)
    runner.acknowledging_end = acknowledged
    token = runner.token
    changes = acknowledged > 0 or lease is not None
    runner.open_token = token if changes else None
    reply = await runner.calls.poll(token, acknowledged, lease, wait_s)
    now = clock.read_now()
    runner.open_token = None
    limit_s = wait_s + owner.settings.call_timeout_s
    owner.load.record_delay(now - sent_at - limit_s, now)
    if owner.runners.get(runner.entry.id, runner) is not runner:
        # Its attempts are charged to the object with the new address.
        return None
    if reply.is_err():
        metrics.RUNNER_POLLS.labels(reply.err_value.value).inc()
        if (
            lease is not None
            and reply.err_value is _OUTCOME.LOST
            and runner.has_earlier_stray(sent_at)
        ):
            runner.expect_stray_lease(sent_at + _LATE_START_S)
            leases.store_stray_leases(owner, runner, now)
        if changes and reply.err_value is _OUTCOME.LOST:
            state_module.outdate_call(owner, runner, token)
        if acknowledged and reply.err_value is _OUTCOME.LOST:
            _report_ends_in_doubt(owner, runner, acknowledged, token)
        if reply.err_value is interfaces.OrderOutcome.FENCED:
            if not state_module.note_outdated(owner, runner, token):
                owner.step_down("runner")
            return pending
        if _is_own_delay(owner, runner, reply.err_value, sent_at, now):
            return pending
        broke = now - sent_at < limit_s - _TIMEOUT_MARGIN_S
        if broke and reply.err_value is _OUTCOME.LOST and not runner.silent:
            # The connection broke, so the runner was up until then.
            runner.up_at = now
        _handle_silence(owner, runner, reply.err_value, now)
        await _wait_for_retry(owner, runner, now)
        return pending
    metrics.RUNNER_POLLS.labels("done").inc()
    runner.lease_withheld = False
    if lease is not None:
        runner.renewed_at = sent_at
    if extends:
        runner.earlier_leases_until = float("-inf")
    if reply.ok_value.born_ms == born_ms:
        runner.acknowledged_end = max(runner.acknowledged_end, acknowledged)
    found = _apply_reply(owner, runner, reply.ok_value, sent_at, now)
    # The later of two batches is stored later, and the runner lists the ends
    # that came meanwhile again.
    return pending or found


def _report_ends_in_doubt(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    acknowledged: int,
    token: int,
) -> None:
    metrics.ACKNOWLEDGEMENTS_LOST.inc()
    events.log_event(
        events.ENDS_IN_DOUBT,
        runner=runner.entry.id,
        born_ms=runner.entry.born_ms,
        acknowledged=acknowledged,
        token=token,
        runs=len(runner.runs),
        epoch=owner.epoch,
    )


def _choose_acknowledged(runner: runners_module.Runner, now: float) -> int:
    """Returns the number up to which a poll acknowledges ends; 0 for none.

    A later life of the runner counts its ends anew, and would forget those that
    no poll has listed. So nothing is acknowledged twice, or while the present
    life is in doubt. A start that was sent before may have reached a later one;
    what is sent after has a later token.
    """
    in_doubt = (
        runner.silent
        or not runner.fenced
        or now - runner.answered_at > _SAME_LIFE_S
        or runner.has_stray_start(now)
    )
    if in_doubt or runner.last_stored_end <= runner.acknowledged_end:
        return 0
    return runner.last_stored_end


async def _wait_for_retry(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Waits until a silent runner is polled again.

    Without attempts it waits its turn, as there may be any number of entries
    to which nobody answers. One that shows no life is polled rarely until its
    entry is written again.
    """
    silent_s = now - runner.silent_since
    if runner.runs or (runner.heard and silent_s < reach.SILENT_AFTER_S):
        await anyio.sleep(_SILENT_RETRY_S)
        return
    if not runner.shows_life(now):
        runner.has_active = anyio.Event()
        wait_s = owner.lifeless_polls.reserve(_LONG_SILENCE_RETRY_S, now)
        with anyio.move_on_after(wait_s) as scope:
            await runner.has_active.wait()
        if scope.cancelled_caught:
            return
        now = clock.read_now()
    is_long = silent_s >= _LONG_SILENCE_S
    shortest_s = _LONG_SILENCE_RETRY_S if is_long else _SILENT_RETRY_S
    await anyio.sleep(owner.silent_polls.reserve(shortest_s, now))


def _is_own_delay(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    failure: interfaces.OrderOutcome,
    sent_at: float,
    now: float,
) -> bool:
    """Returns whether a poll failed because this process was late.

    A runner that has not answered for half a lease counts as silent in any
    case, so that its tasks are restarted.
    """
    return (
        failure in _UNANSWERED
        and not runner.silent
        and owner.load.was_late_since(sent_at)
        and now - runner.answered_at < owner.settings.lease_s / 2
    )


def _handle_silence(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    failure: interfaces.OrderOutcome,
    now: float,
) -> None:
    if not runner.silent:
        runner.silent, runner.silent_since = True, now
        crashes.mark_down(runner, now)
        events.log_event(
            events.RUNNER_SILENT,
            runner=runner.entry.id,
            failure=failure.value,
            runs=len(runner.runs),
            answered_ago_s=round(now - runner.answered_at, 3),
        )
    lasts = now - runner.silent_since > _PROMISE_DELAY_S or not runner.listed
    if lasts and runner.runs:
        expiry = leases.find_last_expiry(owner, runner)
        leases.promise_expiry(owner, runner, expiry, now)
    _end_replaced(owner, runner, now)
    expired = [
        run
        for run in runner.runs
        if now > leases.find_run_expiry(owner, runner, run, now)
    ]
    if expired:
        _end_expired(owner, runner, expired, now)


def _end_replaced(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Ends the attempts of a silent runner whose machine has a later life.

    The later life answers at the same address, so nothing of the earlier one
    runs any more, and its leases need not be waited for.
    """
    if not runner.runs:
        return
    later = crashes.find_later_life(runner, owner.runners.values())
    if later is not None and later.entry.address == runner.entry.address:
        crashes.blame_crash(
            owner, runner, f"replaced by {later.entry.id}", later.entry.born_ms
        )
        _drop_runs(owner, runner, list(runner.runs), "runner replaced", now)


def _end_expired(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    expired: list[attempts.Run],
    now: float,
) -> None:
    """Ends the attempts of a silent runner whose leases have expired."""
    later = crashes.find_later_life(runner, owner.runners.values())
    if later is not None:
        evidence, until_ms = (
            f"replaced by {later.entry.id}",
            later.entry.born_ms,
        )
    else:
        lease_ms = int(owner.settings.lease_s * 1000)
        evidence, until_ms = "", clock.read_wall_ms() - lease_ms
    crashes.blame_crash(owner, runner, evidence, until_ms)
    _drop_runs(owner, runner, expired, "lease expired", now)


def _drop_runs(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    runs: list[attempts.Run],
    reason: str,
    now: float,
) -> None:
    for run in runs:
        runner.charge(run, -1)
        owner.interference_model.forget_run(run)
        owner.table.drop_run(run, now)
        report_lost_run(owner, run, reason, now)
        crashes.count_crash(owner, run, clock.read_wall_ms())
    for run in runs:
        stops.stop_rest_of_gang(owner, run)
    owner.request_pass()


def report_lost_run(
    owner: state_module.Owner, run: attempts.Run, reason: str, now: float
) -> None:
    """Reports an attempt whose end was not reported by its runner."""
    metrics.ENDS.labels("lost").inc()
    events.log_event(
        events.TASK_LOST,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        reason=reason,
        answered=run.start_answered,
        listed=run.reported,
        **leases.describe_expiry(owner, run, now, clock.read_wall_ms()),
        epoch=owner.epoch,
    )


def handle_restart(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    born_ms: int,
    clock_ms: int,
    now: float,
    running: Collection[attempts.Run] = (),
    acknowledged: int = 0,
) -> None:
    """Resets the state of a restarted runner and drops what ran before.

    An attempt that no poll has listed may have been started by the new
    incarnation; the next poll or the outcome of its order decides. One whose
    start may still be carried out there is stopped first.

    Args:
      owner: The owner.
      runner: The runner.
      born_ms: Start of the new incarnation, Unix milliseconds.
      clock_ms: Reading of its clock.
      now: Present time, in seconds.
      running: Attempts that the new incarnation has listed, or their ends.
      acknowledged: Number up to which the poll that found it has acknowledged
        ends, by the count of the incarnation before.
    """
    events.log_event(
        events.RUNNER_RESTARTED,
        runner=runner.entry.id,
        born_ms=born_ms,
        runs=len(runner.runs),
        unlisted=sum(
            run.start_answered and not run.reported for run in runner.runs
        ),
        acknowledged=acknowledged,
        answered_ago_s=round(now - runner.answered_at, 3),
    )
    if not runner.silent:
        crashes.mark_down(runner, now)
    crashes.blame_crash(owner, runner, "restarted", born_ms, running)
    _resume_starts(owner, runner, (), now)
    runner.foreign = frozenset()
    runner.born_at = runner.restarted_at = now
    runner.last_stored_end = runner.acknowledged_end = 0
    runner.last_listed_end = 0
    for run in runner.runs:
        run.start_settled = False
    # The new incarnation has seen no token, or that of the one before.
    runner.require_poll()
    _stop_late_starts(owner, runner, running, now)
    ended = [run for run in runner.runs if run.reported and run not in running]
    _drop_runs(owner, runner, ended, "runner restarted", now)
    leases.begin_clock(owner, runner, clock_ms, now)


def _stop_late_starts(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    running: Collection[attempts.Run],
    now: float,
) -> None:
    """Has a new incarnation refuse the starts that it may carry out late.

    It refuses none that the earlier one was told to stop, and carries out one
    that the earlier one has carried out on another try. A task whose attempt is
    still charged there starts nowhere else before the stop is answered.
    """
    for task, attempt in runner.list_late_starts(now):
        run = owner.table.find_run(task, attempt)
        charged = run in runner.runs
        if run in running or (
            # The order is under way, and its outcome decides.
            charged and run.phase is attempts.Phase.STARTING
        ):
            continue
        if charged:
            stops.stop_in_next_life(owner, run)
        else:
            owner.group.start_soon(
                stops.refuse_late_start, owner, runner, task, attempt
            )


def _apply_reply(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
    sent_at: float,
    now: float,
) -> _PendingEnds | None:
    carried_token = sent_at >= runner.born_at
    if reply.born_ms != runner.entry.born_ms:
        if reply.born_ms < runner.entry.born_ms and not carried_token:
            # A late answer of the earlier incarnation.
            return None
        _apply_restart(owner, runner, reply, now)
        carried_token = False
    else:
        runner_entries.refute(runner, sent_at)
    leases.read_clock(owner, runner, reply, sent_at, now)
    runner.answered_at = runner.up_at = now
    runner.heard = True
    is_heard_again = runner.silent or not runner.fenced
    if runner.silent:
        runner.silent, runner.heard_since = False, now
        events.log_event(events.RUNNER_HEARD, runner=runner.entry.id)
    leases.withdraw_promise(owner, runner, now)
    if not runner.fenced:
        crashes.blame_earlier_life(runner)
    number = _apply_ends(owner, runner, reply, now)
    _apply_running(owner, runner, reply, sent_at, now)
    _note_ignored_stops(owner, runner, now)
    if is_heard_again:
        crashes.settle_doubts(owner, runner, clock.read_wall_ms())
        _end_orphans(owner, runner, now)
    if not runner.fenced and carried_token:
        leases.note_fenced(owner, runner, now, clock.read_wall_ms())
        owner.request_pass()
    owner.interference_model.learn(runner, now)
    pacing.track_target_violations(runner, now)
    orders.pace_fills(owner, runner, now)
    if number <= runner.last_stored_end:
        return None
    owner.request_pass()
    return _PendingEnds(owner.journal.add([]), number, reply.born_ms)


def _end_orphans(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Blames attempts of an earlier life of the machine, which is unlisted.

    Those that were ordered at the same address end, as in `_end_replaced`.
    """
    for earlier, runs in list(owner.orphans.items()):
        for run in list(runs):
            if not crashes.is_later_life(
                run.runner, run.born_ms, run.place, runner.entry
            ):
                continue
            crashes.blame_inherited(run, runner.entry.born_ms, True)
            if run.address == runner.entry.address:
                runs.remove(run)
                owner.table.drop_run(run, now)
                report_lost_run(owner, run, "runner replaced", now)
                crashes.count_crash(owner, run, clock.read_wall_ms())
                stops.stop_rest_of_gang(owner, run)
                owner.request_pass()
        if not runs:
            del owner.orphans[earlier]


def _apply_restart(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
    now: float,
) -> None:
    # An order to the life before may have started what this one has ended.
    listed = [
        owner.table.find_run(r.task, r.attempt)
        for r in (*reply.running, *reply.ends)
    ]
    running = [run for run in listed if run in runner.runs]
    handle_restart(
        owner,
        runner,
        reply.born_ms,
        reply.clock_ms,
        now,
        running,
        runner.acknowledging_end,
    )
    announced, runner.announced = runner.announced, None
    runner.missed_life, runner.refuted_born_ms = False, None
    if announced is not None and announced.born_ms == reply.born_ms:
        runner_entries.adopt(owner, runner, announced)
        return
    runner.entry = msgspec.structs.replace(runner.entry, born_ms=reply.born_ms)
    # Its capacity and labels are not known before its own entry is read.
    runner.listed, runner.entry_awaited = False, True


def _apply_ends(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
    now: float,
) -> int:
    """Applies new ends and returns the highest end number."""
    _note_missed_ends(owner, runner, reply)
    number = runner.last_stored_end
    for end in reply.ends:
        number = max(number, end.number)
        if end.number <= runner.last_stored_end:
            continue
        run = owner.table.find_run(end.task, end.attempt)
        if run is None or run.runner != runner.entry.id:
            _apply_lost_end(owner, runner, end, now)
            continue
        runner.charge(run, -1)
        owner.interference_model.forget_run(run)
        owner.table.end_run(
            run, end.outcome, end.checkpoint, now, clock.read_wall_ms()
        )
        _handle_end(owner, runner, run, end, now)
    return number


def _apply_lost_end(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    end: model.AttemptEnd,
    now: float,
) -> None:
    """Applies the end of an attempt that counted as lost.

    A life of the runner that no poll had found may have run it.
    """
    if owner.table.end_lost_run(
        end.task,
        end.attempt,
        end.outcome,
        runner.entry.id,
        now,
        clock.read_wall_ms(),
    ):
        metrics.ENDS.labels(end.outcome).inc()
        owner.table.clear_crashes(owner.table.find_task(end.task))
        events.log_event(
            events.LOST_TASK_ENDED,
            task=end.task,
            attempt=end.attempt,
            runner=runner.entry.id,
            how=end.outcome,
            number=end.number,
            epoch=owner.epoch,
        )


def _note_missed_ends(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
) -> None:
    """Logs ends that the runner has forgotten before any poll listed them.

    It numbers the ends of an incarnation without gaps, from 1 on.
    """
    if not reply.ends:
        return
    known, first = runner.last_listed_end, reply.ends[0].number
    if known is not None and first > known + 1:
        metrics.ENDS_MISSED.inc(first - known - 1)
        events.log_event(
            events.RUNNER_ENDS_MISSED,
            runner=runner.entry.id,
            born_ms=reply.born_ms,
            last_number=known,
            next_number=first,
            stored_number=runner.last_stored_end,
            epoch=owner.epoch,
        )
    runner.last_listed_end = max(known or 0, reply.ends[-1].number)


def _handle_end(
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
        ran_ms=_measure_run_ms(run, now),
        stopping_ms=_measure_stop_ms(run, now),
        paced_ms=int(run.measure_lost_s(now) * 1000),
        slowed_for=run.slowed_for,
        epoch=owner.epoch,
    )
    if end.outcome in ("done", "failed"):
        owner.table.clear_crashes(run.task)
    if end.outcome == "done":
        runner.faults = max(0, runner.faults - 1)
    elif end.outcome == "failed":
        runner.faults += 1
        if runner.faults >= _PROBATION_FAULTS:
            runner.probation_until = now + _PROBATION_S
    if run.task.step.definition.gang and end.outcome != "done":
        for member in run.task.step.tasks:
            for other in member.runs:
                stops.stop_run(owner, other, "gang member ended")


def _measure_run_ms(run: attempts.Run, now: float) -> int | None:
    """Returns the time since the order; None if an earlier owner sent it."""
    return int((now - run.ordered_at) * 1000) if run.ordered_at else None


def _measure_stop_ms(run: attempts.Run, now: float) -> int | None:
    """Returns the time since the order of its stop; None without one."""
    return int((now - run.stop.ordered_at) * 1000) if run.stop else None


def _apply_running(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
    sent_at: float,
    now: float,
) -> None:
    reported: set[attempts.Run] = set()
    foreign: set[tuple[str, int]] = set()
    wall_ms = clock.read_wall_ms()
    for running in reply.running:
        run = owner.table.find_run(running.task, running.attempt)
        if run is None or run.runner != runner.entry.id:
            foreign.add((running.task, running.attempt))
            _put_off_start(owner, running.task, now)
            owner.group.start_soon(stops.stop_unknown, owner, runner, running)
            continue
        reported.add(run)
        _update_run(run, running, now)
        _order_due_stop(owner, run, sent_at)
        crashes.record_survival(owner, run, sent_at, wall_ms)
    _resume_starts(owner, runner, foreign, now)
    if runner.foreign and not foreign:
        owner.request_pass()
    if foreign and not runner.foreign:
        runner.foreign_since = now
    runner.foreign = frozenset(foreign)
    missing = [
        run
        for run in runner.runs
        if run not in reported and _has_ended(run, sent_at)
    ]
    if not missing:
        return
    if reply.lists_all_ends:
        _drop_runs(owner, runner, missing, "not running there", now)
        return
    # Their ends are listed once the present ones are acknowledged.
    events.log_event(
        events.RUNNER_ENDS_CUT,
        runner=runner.entry.id,
        ends=len(reply.ends),
        last_number=reply.ends[-1].number if reply.ends else None,
        missing=len(missing),
        runs=len(runner.runs),
        epoch=owner.epoch,
    )


def _put_off_start(owner: state_module.Owner, name: str, now: float) -> None:
    """Puts the next start of a task off until a foreign attempt has ended.

    A poll that does not list the attempt ends the wait; without one the longest
    lease does.
    """
    task = owner.table.find_task(name)
    if task is not None:
        lease_s = runners_module.find_longest_lease_s(owner.settings)
        task.retry_at = max(task.retry_at, now + lease_s)


def _resume_starts(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    foreign: Collection[tuple[str, int]],
    now: float,
) -> None:
    """Ends the waits for foreign attempts that a runner lists no more."""
    for attempt in runner.foreign.difference(foreign):
        task = owner.table.find_task(attempt[0])
        if task is not None:
            task.retry_at = min(task.retry_at, now)


def _order_due_stop(
    owner: state_module.Owner, run: attempts.Run, sent_at: float
) -> None:
    """Stops an attempt that a poll has listed, if nothing needs it any more.

    This does not rely on what was done when its job or task ended.
    """
    if run.phase is not attempts.Phase.STOPPING:
        if outliving.is_outliving(run) and not stops.is_full(owner):
            stops.stop_run(owner, run, "runs on after its end")
    elif stops.is_abandoned(run):
        stops.repeat_stop(owner, run, "runs on and no stop is under way")
    elif _outlives_stop(run, sent_at):
        stops.repeat_stop(owner, run, "runs on after a stop")


def _note_ignored_stops(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Notes whether a runner that answers polls answers no order to stop."""
    ignored = [
        (run.task.name, run.attempt)
        for run in runner.runs
        if _ignores_stop(runner, run, now)
    ]
    foreign_s = now - max(runner.foreign_since, runner.heard_since)
    if foreign_s > _IGNORED_STOP_S:
        ignored.extend(runner.foreign)
    if ignored and not runner.ignores_stops:
        task, attempt = ignored[0]
        events.log_event(
            events.RUNNER_IGNORES_STOPS,
            runner=runner.entry.id,
            task=task,
            attempt=attempt,
            count=len(ignored),
            runs=len(runner.runs),
            epoch=owner.epoch,
        )
    elif runner.ignores_stops and not ignored:
        owner.request_pass()
    runner.ignores_stops = bool(ignored)


def _ignores_stop(
    runner: runners_module.Runner, run: attempts.Run, now: float
) -> bool:
    since = run.stop.under_way_since if run.stop is not None else None
    if since is None:
        return False
    return now - max(since, runner.heard_since) > _IGNORED_STOP_S


def _has_ended(run: attempts.Run, sent_at: float) -> bool:
    """Returns whether an attempt that a poll did not report has ended."""
    if run.phase is attempts.Phase.STARTING and run.ordered_at > 0:
        # Its start may still be carried out. A runner that has answered a poll
        # refuses the starts that earlier owners ordered.
        return False
    return run.running_since < sent_at


def _outlives_stop(run: attempts.Run, sent_at: float) -> bool:
    """Returns whether an attempt ran after its stop, when a poll was sent.

    An earlier incarnation may have answered, and the present one have carried
    out a start order late.
    """
    return (
        run.phase is attempts.Phase.STOPPING
        and sent_at - run.running_since > _STOP_REPEAT_S
    )


def _update_run(
    run: attempts.Run, running: model.RunningAttempt, now: float
) -> None:
    run.reported = run.start_answered = run.start_settled = True
    run.crash = None
    if run.phase is attempts.Phase.STARTING:
        run.phase = attempts.Phase.RUNNING
        run.running_since = now
    if running.progress_percent != run.progress_percent:
        run.progress_percent, run.progress_changed_at = (
            running.progress_percent,
            now,
        )
    if running.checkpoint and run.task.step.definition.checkpointing:
        run.task.checkpoint = running.checkpoint
    run.measurement = running.measurement
