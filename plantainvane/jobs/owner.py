"""Event loops of the owner, the process that schedules all jobs.

An epoch has at most one owner. The owner keeps the job state, accounts for the
resources of the runners, stores progress before it acts on it, and steps down
as soon as it sees a higher epoch.
"""

from collections.abc import Callable
from collections.abc import Iterator

import anyio
import anyio.abc
import msgspec

from plantainvane import events
from plantainvane.jobs import absences
from plantainvane.jobs import charges
from plantainvane.jobs import clock
from plantainvane.jobs import colocation
from plantainvane.jobs import crashes
from plantainvane.jobs import evacuations
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import leases
from plantainvane.jobs import load as load_module
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import outliving
from plantainvane.jobs import probes
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import retention
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import table as table_module
from plantainvane.jobs import waits

_PRODUCER = "owner"

_ENCODER = msgspec.json.Encoder()

# Delay before a scheduling pass, so that one pass handles all events that
# arrive together.
_PASS_DEBOUNCE_S = 0.004
# Longest time between scheduling passes, for work that becomes due without an
# event.
_PASS_INTERVAL_S = 0.25
# Time that a pass runs before the event loop gets a turn, and the longest pause
# after it. The weakest process has 0.3 of a core and has to answer a ping,
# which takes several turns, within 0.5 s.
_SLICE_S = 0.006
_MAX_PAUSE_S = 0.05
# Pause while so many stops are under way that no more are ordered.
_FULL_PAUSE_S = 0.01
_SWEEP_INTERVAL_S = 1.0
_ORPHANS_INTERVAL_S = 0.2
# Interval at which learned interference effects are stored for a successor.
_EFFECTS_INTERVAL_S = 2.0
# Interval at which all attempts are checked, which costs a look at each task.
_CHARGES_INTERVAL_S = 5.0
# Time for the first polls after a takeover. Scheduling starts without the
# runners that have not answered by then.
_FENCING_TIMEOUT_S = 0.6


async def run_owner(
    settings: settings_module.Settings,
    adapters: interfaces.Adapters,
    epoch: int,
    health: journal_module.Health,
    get_configuration: Callable[[], model.Configuration | None],
    on_created: Callable[[state_module.Owner], None],
) -> None:
    """Runs as the owner of `epoch` until it steps down or is cancelled."""
    table = table_module.JobTable(horizon_s=settings.occurrence_horizon_s)
    journal = journal_module.Journal(
        settings,
        adapters.store,
        health,
        state_module.PROGRESS_TOPIC,
        _PRODUCER,
        epoch,
    )
    async with anyio.create_task_group() as group:
        owner = state_module.Owner(
            settings,
            adapters,
            epoch,
            health,
            get_configuration,
            clock.read_now(),
            table,
            journal,
            group,
        )
        journal.collect = lambda: _collect_progress(owner)
        journal.on_stored = lambda: _handle_stored(owner)
        on_created(owner)
        group.start_soon(_recover_and_schedule, owner)
        await owner.stepped_down.wait()
        group.cancel_scope.cancel()
    for runner in owner.runners.values():
        await runner.calls.aclose()


async def _recover_and_schedule(owner: state_module.Owner) -> None:
    if not await owner.journal.open_epoch():
        owner.step_down("log")
        return
    # Promised expiries are withdrawn while the jobs are loaded.
    owner.group.start_soon(_run_journal, owner)
    await recovery.recover(owner)
    settle_orphans(owner, clock.read_now())
    owner.group.start_soon(_store_ends, owner)
    owner.group.start_soon(_stop_ended_runs, owner)
    owner.group.start_soon(recovery.follow_jobs, owner)
    owner.group.start_soon(recovery.follow_runners, owner)
    with anyio.move_on_after(_FENCING_TIMEOUT_S):
        while any(not r.fenced for r in owner.runners.values()):
            await anyio.sleep(0.01)
    owner.end_recovery()
    now = clock.read_now()
    metrics.TAKEOVER_SECONDS.observe(now - owner.started_at)
    events.log_event(
        events.OWNER_RECOVERED,
        epoch=owner.epoch,
        took_s=round(now - owner.started_at, 3),
        jobs=len(owner.table.jobs),
        open_tasks=len(owner.table.tasks),
        runners=len(owner.runners),
        unreached=sum(not r.fenced for r in owner.runners.values()),
        in_doubt=sum(map(len, owner.orphans.values())),
        ended_jobs=sum(bool(j.ended) for j in owner.table.jobs.values()),
        outliving=len(outliving.list_outliving(owner)),
        **absences.describe_restored(owner, now),
    )
    evacuations.report_domains(owner, owner.evacuated)
    evacuations.update_shut_out(owner)
    owner.group.start_soon(_sweep, owner)
    owner.group.start_soon(_hold_tasks, owner)
    owner.group.start_soon(_watch_orphans, owner)
    owner.group.start_soon(retention.run_retention, owner)
    owner.group.start_soon(probes.watch_reach, owner)
    await _schedule(owner)


async def _run_journal(owner: state_module.Owner) -> None:
    await owner.journal.run()
    owner.step_down("log")


def _collect_progress(owner: state_module.Owner) -> list[journal_module.Record]:
    owner.appending = [
        (state, state.ended) for state in owner.table.changed.values()
    ]
    owner.table.changed.clear()
    return [
        (key, None if progress is None else _ENCODER.encode(progress))
        for state, _ in owner.appending
        for key, progress in progress_module.take_changed(state)
    ]


def _handle_stored(owner: state_module.Owner) -> None:
    for state, ended in owner.appending:
        if ended and not state.stored_ended:
            owner.table.confirm_end(state)
            metrics.JOBS_ENDED.labels(ended).inc()
            events.log_event(
                events.JOB_ENDED,
                job=state.job.id,
                queue=state.job.queue,
                outcome=ended,
                epoch=owner.epoch,
                late_s=round(clock.read_now() - state.deadline, 3),
            )


async def _sweep(owner: state_module.Owner) -> None:
    """Expires orphaned attempts, reports those that run on, watches the log.

    Steps down when the log has not answered for too long.
    """
    settings, next_check_at = owner.settings, owner.started_at
    reporter = outliving.Reporter()
    while True:
        await anyio.sleep(_SWEEP_INTERVAL_S)
        now = clock.read_now()
        _expire_orphans(owner, now)
        if now - owner.health.answered_at > settings.log_outage_limit_s:
            owner.step_down("log silent")
        _store_effects(owner, now)
        owner.interference_model.forget_ended(owner.runners)
        _measure_backlog(owner, now)
        evacuations.update_shut_out(owner)
        outliving.report_outliving(reporter, owner, now)
        if now >= next_check_at:
            next_check_at = now + _CHARGES_INTERVAL_S
            charges.report_uncharged(owner)
        colocation.summarize(
            owner.colocation,
            owner.epoch,
            owner.interference_model,
            owner.runners.values(),
            now,
        )
        load_module.summarize_owner(
            owner.load,
            owner.epoch,
            owner.runners,
            owner.table.ready,
            owner.health.latency_s,
            now,
        )
        owner.request_pass()


async def _hold_tasks(owner: state_module.Owner) -> None:
    """Adds the tasks that have become due or have room, once a second.

    Many are added in several turns of the event loop.
    """
    while True:
        unfinished = True
        while unfinished:
            began = clock.read_now()
            unfinished = owner.table.add_deferred_tasks(
                began, clock.read_wall_ms()
            )
            took_s = clock.read_now() - began
            await anyio.sleep(min(took_s, _MAX_PAUSE_S))
        _report_room(owner, clock.read_now())
        owner.request_pass()
        await anyio.sleep(_SWEEP_INTERVAL_S)


def _report_room(owner: state_module.Owner, now: float) -> None:
    room, table = owner.room, owner.table
    room.measure(table, now)
    if room.free_tasks and not table.deferred:
        return
    events.log_event(
        events.OWNER_FULL,
        held_tasks=table.held_tasks,
        free_tasks=room.free_tasks,
        freed_per_s=round(room.freed_per_s, 1),
        deferred=len(table.deferred),
        late=table.count_late(now),
        epoch=owner.epoch,
    )


def settle_orphans(owner: state_module.Owner, now: float) -> None:
    """Drops or promises what a new owner knows of unlisted runners.

    The promises are stored with its first records, so that a successor does not
    begin the wait anew, however soon it follows.
    """
    _promise_orphans(owner, owner.epoch)
    _expire_orphans(owner, now)


def _promise_orphans(owner: state_module.Owner, since: int) -> None:
    """Promises when the leases on unlisted runners have expired.

    No owner of the epoch `since` or of a later one has extended them.
    """
    for runner in owner.orphans:
        if not owner.expiries.is_binding(runner):
            expiry = owner.find_expiry(runner)
            owner.expiries.promise(runner, expiry, since)


async def _watch_orphans(owner: state_module.Owner) -> None:
    """Expires orphaned attempts soon after their leases have expired."""
    while True:
        await anyio.sleep(_ORPHANS_INTERVAL_S)
        now = clock.read_now()
        if any(
            now > leases.find_orphan_expiry(owner, run)
            for runs in owner.orphans.values()
            for run in runs
        ):
            _expire_orphans(owner, now)
            owner.request_pass()


def _expire_orphans(owner: state_module.Owner, now: float) -> None:
    """Drops attempts on unlisted runners once their leases have expired."""
    # This owner may have extended leases there before the runner was removed.
    _promise_orphans(owner, owner.epoch + 1)
    started_ms = clock.read_wall_ms() - int((now - owner.started_at) * 1000)
    for runner, runs in list(owner.orphans.items()):
        if now <= owner.find_expiry(runner):
            continue
        lost = [r for r in runs if now > leases.find_orphan_expiry(owner, r)]
        runs[:] = [run for run in runs if run not in lost]
        if not runs:
            del owner.orphans[runner]
        for run in lost:
            crashes.blame_inherited(run, started_ms, False)
            owner.table.drop_run(run, now)
            sessions.report_lost_run(owner, run, "lease expired", now)
            crashes.count_crash(owner, run, clock.read_wall_ms())
        for run in lost:
            stops.stop_rest_of_gang(owner, run)
    unused = [
        runner
        for runner in owner.expiries.expires_at
        if runner not in owner.orphans and runner not in owner.runners
    ]
    if unused:
        # The runner may return, and a successor must not apply the old expiry
        # to its new leases.
        owner.group.start_soon(
            state_module.withdraw_expiries, owner, unused, now
        )
    elif owner.expiries.expires_at:
        # Stored expiries are remaining times, so they are refreshed for a
        # successor that may take over at any time.
        state_module.store_expiries(owner, now)


def _store_effects(owner: state_module.Owner, now: float) -> None:
    if now < owner.next_effects_at:
        return
    owner.next_effects_at = now + _EFFECTS_INTERVAL_S
    effects = owner.interference_model.export_effects(now)
    record = (state_module.LEARNED_KEY, _ENCODER.encode(effects))
    limit_bytes = owner.settings.max_record_bytes
    while journal_module.measure_record(record) > limit_bytes:
        # Those that come last were seen last.
        effects = effects[len(effects) // 2 + 1 :]
        record = (state_module.LEARNED_KEY, _ENCODER.encode(effects))
    if effects:
        owner.journal.add([record])


def _measure_backlog(owner: state_module.Owner, now: float) -> None:
    was_behind = bool(owner.backlog.waits)
    owner.backlog.measure(owner.table.tasks.values(), now)
    waits = owner.backlog.waits
    metrics.BACKLOG_WAIT_SECONDS.set(max(waits.values(), default=0.0))
    if waits or was_behind:
        events.log_event(
            events.OWNER_BEHIND,
            waits={p: round(wait_s, 1) for p, wait_s in waits.items()},
            rates={p: round(r, 1) for p, r in owner.backlog.rates.items()},
            ready=len(owner.table.ready),
            epoch=owner.epoch,
        )


async def _schedule(owner: state_module.Owner) -> None:
    waiting, absent = waits.Reporter(), absences.Reporter()
    while True:
        with anyio.move_on_after(_PASS_INTERVAL_S):
            await owner.pass_requested.wait()
        await anyio.sleep(_PASS_DEBOUNCE_S)
        owner.pass_requested = anyio.Event()
        if not owner.draining:
            current = await _run_pass(owner)
            waits.report_waits(waiting, owner, current)
            absences.report_absences(absent, owner, current.now)


async def _run_pass(owner: state_module.Owner) -> scheduling.Pass:
    """Runs one pass in slices, each followed by a pause of the same length.

    Renewals and answers are handled in the pauses.
    """
    started_at = clock.read_now()
    ready, placed = len(owner.table.ready), 0
    current = scheduling.begin_pass(
        owner, started_at, scheduling.PLACING_LIMIT_S
    )
    work = scheduling.run_pass(owner, current)
    unfinished = True
    while unfinished and not owner.draining:
        began = clock.read_now()
        current.begin_slice(owner.runners, began)
        unfinished = _run_slice(work, began + _SLICE_S)
        placed += len(current.placed)
        scheduling.start_placed(owner, current)
        took_s = clock.read_now() - began
        await anyio.sleep(min(took_s, _MAX_PAUSE_S))
    scheduling.end_pass(owner, current)
    owner.backlog.record_pass(current.out_of_time, clock.read_now())
    _record_pass(owner, ready, placed, started_at)
    if current.out_of_time:
        owner.request_pass()
    return current


def _run_slice(work: Iterator[None], until: float) -> bool:
    """Runs a pass until a time; returns whether anything is left of it."""
    return any(clock.read_now() >= until for _ in work)


def _record_pass(
    owner: state_module.Owner, ready: int, placed: int, started_at: float
) -> None:
    now = clock.read_now()
    waiting_steps = 0
    if now - started_at >= load_module.SLOW_PASS_S:
        waiting_steps = len({id(t.step) for t in owner.table.ready.values()})
    load_module.record_pass(
        owner.load,
        owner.epoch,
        now - started_at,
        ready,
        waiting_steps,
        placed,
        len(owner.runners),
        now,
    )


async def _store_ends(owner: state_module.Owner) -> None:
    """Stores the end of each job, whatever has ended it.

    Nothing is stopped before, and no other record may follow.
    """
    table = owner.table
    while True:
        await table.has_ends_to_store.wait()
        table.has_ends_to_store = anyio.Event()
        owner.journal.add([])


async def _stop_ended_runs(owner: state_module.Owner) -> None:
    """Orders the stops of what has ended, however long a pass goes on."""
    table = owner.table
    while True:
        await table.has_runs_to_stop.wait()
        table.has_runs_to_stop = anyio.Event()
        while table.runs_to_stop:
            began = clock.read_now()
            _stop_ended(owner)
            took_s = clock.read_now() - began
            pause_s = _FULL_PAUSE_S if stops.is_full(owner) else took_s
            await anyio.sleep(min(pause_s, _MAX_PAUSE_S))


def _stop_ended(owner: state_module.Owner) -> None:
    """Orders stops for the time of a slice, while few have no outcome."""
    runs, until = owner.table.runs_to_stop, clock.read_now() + _SLICE_S
    ordered = 0
    for run in runs:
        if stops.is_full(owner) or clock.read_now() > until:
            break
        stops.stop_run(owner, run, "job ended")
        ordered += 1
    del runs[:ordered]
