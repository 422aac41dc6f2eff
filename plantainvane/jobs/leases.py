"""Leases of runners: what is requested, and when it has expired.

No lease may be taken for expired before it is, as its task would run twice.
"""

import math
from typing import Any

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import model
from plantainvane.jobs import outliving
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module

# Changes of the end of a stored lease that are not worth an append.
_NOTED_LEASE_S = 0.3


def choose_lease(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> int | None:
    """Returns the end of the lease that a poll requests, or None.

    No lease is renewed for attempts of ended jobs, or for foreign ones, alone
    at a runner on which they cannot be stopped.

    None is requested on the clock of an entry, before the runner has answered:
    one that is gone could not be told from one that has granted it.
    """
    if runner.clock_listed or not runner.clock_ms or runner.lease_withheld:
        return None
    if runner.is_in_doubt():
        # A new life would take a time on the clock of the one before for the
        # longest lease.
        return None
    if runner.ignores_stops and all(map(outliving.is_outliving, runner.runs)):
        # Nothing but what cannot be stopped otherwise is to lapse.
        return None
    if owner.waives_leases or is_cut_off(owner, now):
        return runner.lease_until_ms or None
    return extend_lease(owner, runner, now) or None


def extend_lease(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> int:
    """Extends the lease of a runner as far as the owner's claim allows."""
    limit = owner.renewed_at + owner.settings.lease_reach_s
    return runner.extend_lease(owner.settings, now, limit)


def is_cut_off(owner: state_module.Owner, now: float) -> bool:
    """Tells whether a successor may count on it that no lease is extended.

    The owner steps down somewhat later. One that was suspended has not called
    the log yet.
    """
    silent_s = now - owner.health.answered_at
    return silent_s > owner.settings.log_outage_limit_s


def find_last_expiry(
    owner: state_module.Owner, runner: runners_module.Runner
) -> float:
    """Returns when the leases of this and of earlier owners have expired."""
    expiry = runner.find_lease_expiry(owner.settings)
    if not runner.fenced:
        # Leases granted by an earlier owner are not known to this one.
        expiry = max(expiry, owner.find_expiry(runner.entry.id))
    # It may have answered without a new lease, while its expiry was promised.
    return max(expiry, runner.earlier_leases_until)


def find_run_expiry(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    now: float,
) -> float:
    """Returns when an attempt has ended, if no lease is extended from now on.

    A start may have reached a life of the runner that no poll has found.
    """
    return max(
        find_last_expiry(owner, runner),
        runner.find_stray_expiry(owner.settings, run, now),
        _find_inherited_expiry(owner, run),
    )


def find_orphan_expiry(owner: state_module.Owner, run: attempts.Run) -> float:
    """Returns when an attempt on a runner that is not known has ended."""
    return max(
        owner.find_expiry(run.runner), _find_inherited_expiry(owner, run)
    )


def _find_inherited_expiry(
    owner: state_module.Owner, run: attempts.Run
) -> float:
    """Returns when the longest lease that was stored for an attempt ends.

    Minus infinity if this owner has ordered it, or no such lease was stored.
    """
    if run.ordered_at or not run.longest_lease_s:
        return float("-inf")
    settings = owner.settings
    ordered_by = min(
        run.inherited_at + runners_module.CLOCK_DIFFERENCE_S, owner.started_at
    )
    # The calls that grant it come from earlier owners.
    granted_by = owner.started_at + runners_module.LATE_START_S
    latest = granted_by + runners_module.find_longest_lease_s(settings)
    return min(ordered_by + run.longest_lease_s, latest)


def store_stray_leases(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Stores how long a life that no poll has found may run attempts.

    Without the answer to a start nothing is stored for a long-running task,
    which is not to wait for a runner that may be gone for good.
    """
    for run in runner.runs:
        lasts = run.task.step.definition.long_running
        if runner.strayed or not lasts:
            until = runner.find_stray_expiry(owner.settings, run, now)
            # The entry may be that of an earlier life.
            until = max(until, runner.late_grants_until)
            if not run.ordered_at:
                # The owner before may have known more.
                until = max(until, run.inherited_at + run.longest_lease_s)
            _store_lease_end(owner, run, until)


def _store_lease_end(
    owner: state_module.Owner, run: attempts.Run, until: float
) -> None:
    """Stores until when calls meant for another life may have leased `run`.

    A successor that never hears the runner could not tell that.
    """
    ordered_at = run.ordered_at or run.inherited_at
    lease_s = max(0.0, until - ordered_at)
    if abs(lease_s - run.longest_lease_s) > _NOTED_LEASE_S:
        run.longest_lease_s = lease_s
        owner.table.mark_changed(run.task.job, run.task)
        owner.journal.add([])


def describe_expiry(
    owner: state_module.Owner, run: attempts.Run, now: float, wall_ms: int
) -> dict[str, Any]:
    """Returns fields that tell in how many seconds each lease has expired.

    Negative values have passed; None stands for a lease that is not expected.
    """
    ends = {
        "earlier_leases_in_s": owner.find_expiry(run.runner),
        "inherited_in_s": _find_inherited_expiry(owner, run),
    }
    fields: dict[str, Any] = {}
    runner = owner.runners.get(run.runner)
    if runner is not None:
        ends |= {
            "lease_in_s": runner.find_lease_expiry(owner.settings),
            "late_grants_in_s": runner.late_grants_until,
            "stray_in_s": runner.find_stray_expiry(owner.settings, run, now),
        }
        age_s = (wall_ms - runner.entry.born_ms) / 1000
        fields = {
            "heard": runner.heard,
            "fenced": runner.fenced,
            "life_age_s": round(age_s, 1),
        }
    return fields | {
        name: round(at - now, 3) if math.isfinite(at) else None
        for name, at in ends.items()
    }


def find_latest_expiry(owner: state_module.Owner, now: float) -> float:
    """Returns when all leases have expired, if none is extended from now on."""
    ends = [
        find_last_expiry(owner, runner)
        for runner in owner.runners.values()
        if runner.runs
    ]
    ends.extend(
        find_orphan_expiry(owner, run)
        for runs in owner.orphans.values()
        for run in runs
    )
    if not owner.recovered:
        # What runs on each runner is not known.
        ends.extend(find_last_expiry(owner, r) for r in owner.runners.values())
        ends.append(owner.find_earlier_limit())
    return max(ends, default=now)


def promise_expiry(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    expiry: float,
    now: float,
) -> None:
    """Stores when the leases expire, so that a successor can rely on it."""
    if not runner.expiry_promised:
        runner.expiry_promised = True
        # This owner has extended its leases, the next ones have not.
        since = owner.epoch + 1
        owner.expiries.promise(runner.entry.id, expiry, since)
        state_module.store_expiries(owner, now)


def withdraw_promise(
    owner: state_module.Owner, runner: runners_module.Runner, now: float
) -> None:
    """Withdraws the promise, if there is one, for a runner that answers."""
    if runner.entry.id in owner.expiries.expires_at:
        owner.group.start_soon(
            state_module.withdraw_expiries, owner, [runner.entry.id], now
        )


def begin_clock(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    clock_ms: int,
    now: float,
) -> None:
    """Records the clock of a runner that has restarted.

    Calls named times on the earlier incarnation's clock, which the new one
    takes for the longest lease. Those with its token name times on its own.
    """
    runner.token = owner.issue_token(runner.entry.id)
    runner.was_fenced = False
    runner.record_clock(clock_ms, now, listed=True)
    runner.lease_until_ms, runner.lease_requested_at = 0, now
    runner.expect_late_grants(owner.settings, now)
    for run in runner.runs:
        _store_lease_end(owner, run, runner.late_grants_until)


def note_fenced(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    now: float,
    wall_ms: int,
) -> None:
    """Records that a runner refuses calls to earlier lives, or by others.

    `wall_ms` is the present time, Unix milliseconds.
    """
    was_fenced, born_ms = runner.was_fenced, runner.entry.born_ms
    runner.note_fenced(owner.settings, now)
    if not was_fenced:
        expect_earlier_grants(owner, runner, born_ms, now, wall_ms)
    for run in runner.runs:
        if run.born_ms != born_ms:
            _store_lease_end(owner, run, runner.late_grants_until)


def expect_earlier_grants(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    born_ms: int,
    now: float,
    wall_ms: int,
) -> None:
    """Records what a life may hold by calls of earlier owners.

    It takes none of these calls from now on. `born_ms` is the start of that
    life, and `wall_ms` the present time, both Unix milliseconds.
    """
    if owner.former_renewed_at is not None:
        age_s = (wall_ms - born_ms) / 1000
        runner.expect_earlier_grants(owner.settings, age_s, now)


def note_started(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    run: attempts.Run,
    clock_ms: int | None,
    now: float,
) -> None:
    """Records which life of a runner has answered a start, by its clock.

    A start that was refused has extended the lease as well.
    """
    fits = None
    if clock_ms is not None:
        fits = runner.fits_clock(owner.settings, clock_ms, run.sent_at, now)
    run.start_settled = fits is True
    if fits is False:
        runner.strayed = True
        runner.require_poll()
    if fits is not True:
        runner.expect_stray_lease(now)
        store_stray_leases(owner, runner, now)
    if fits is not False:
        return
    events.log_event(
        events.START_STRAYED,
        task=run.task.name,
        attempt=run.attempt,
        runner=run.runner,
        known_clock_ms=runner.clock_ms,
        known_clock_age_s=round(now - runner.clock_read_at, 3),
        clock_ms=clock_ms,
        epoch=owner.epoch,
    )


def read_clock(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    reply: model.RunnerStatus,
    sent_at: float,
    now: float,
) -> None:
    """Records the clock of an answer to a poll, and corrects the known lease.

    The lease may have been requested on the clock of an entry.
    """
    was_listed, listed_ms = runner.clock_listed, runner.clock_ms
    runner.strayed = False
    runner.record_clock(reply.clock_ms, now)
    if was_listed and runner.limit_lease(owner.settings):
        if runner.lease_requested_at < sent_at:
            runner.expect_late_lease(owner.settings)
        events.log_event(
            events.RUNNER_CLOCK_CORRECTED,
            runner=runner.entry.id,
            listed_clock_ms=listed_ms,
            clock_ms=reply.clock_ms,
            runs=len(runner.runs),
        )
