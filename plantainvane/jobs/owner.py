"""The owner of the jobs: its loops, from recovery to the last pass.

Only one process is the owner of an epoch. It keeps the book, charges the
runners, stores progress before it acts on it, and stops as soon as it learns
of a higher epoch.
"""

from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from plantainvane import events
from plantainvane.jobs import book as book_module
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module

_PRODUCER = "owner"

_ENCODER = msgspec.json.Encoder()

# Coalesces the events of one instant into one pass.
_PASS_GAP_S = 0.004
# Work that becomes due by time alone is looked for this often.
_PASS_LIMIT_S = 0.25
_SWEEP_S = 1.0
# Learned effects are stored this often, for a successor.
_LEARNED_S = 2.0
# The first looks after a takeover; a runner that is later is in doubt.
_FIRST_LOOKS_S = 0.6


async def run_owner(
    settings: settings_module.Settings,
    surroundings: interfaces.Surroundings,
    epoch: int,
    health: journal_module.Health,
    get_configuration: Callable[[], model.Configuration | None],
    announce: Callable[[state_module.Owner], None],
) -> None:
    """Works as the owner of `epoch` until it is lost or cancelled."""
    book = book_module.Book()
    journal = journal_module.Journal(
        settings,
        surroundings.store,
        health,
        state_module.PROGRESS_TOPIC,
        _PRODUCER,
        epoch,
    )
    async with anyio.create_task_group() as group:
        owner = state_module.Owner(
            settings,
            surroundings,
            epoch,
            health,
            get_configuration,
            clock.read_now(),
            book,
            journal,
            group,
        )
        journal.collect = lambda: _collect_progress(owner)
        journal.on_stored = lambda: _note_stored(owner)
        announce(owner)
        group.start_soon(_work, owner)
        await owner.lost.wait()
        group.cancel_scope.cancel()
    for runner in owner.runners.values():
        await runner.calls.aclose()


async def _work(owner: state_module.Owner) -> None:
    if not await owner.journal.open_epoch():
        owner.lose("log")
        return
    await recovery.recover(owner)
    owner.group.start_soon(_run_journal, owner)
    owner.group.start_soon(recovery.follow_jobs, owner)
    owner.group.start_soon(recovery.follow_runners, owner)
    with anyio.move_on_after(_FIRST_LOOKS_S):
        while any(not r.fenced for r in owner.runners.values()):
            await anyio.sleep(0.01)
    owner.recovered = True
    now = clock.read_now()
    metrics.TAKEOVER_SECONDS.observe(now - owner.started_at)
    events.log_event(
        events.OWNER_RECOVERED,
        epoch=owner.epoch,
        took_s=round(now - owner.started_at, 3),
        jobs=len(owner.book.jobs),
        open_tasks=len(owner.book.tasks),
        runners=len(owner.runners),
        unreached=sum(not r.fenced for r in owner.runners.values()),
        in_doubt=sum(map(len, owner.doubts.values())),
    )
    owner.group.start_soon(_sweep, owner)
    await _schedule(owner)


async def _run_journal(owner: state_module.Owner) -> None:
    await owner.journal.run()
    owner.lose("log")


def _collect_progress(owner: state_module.Owner) -> list[journal_module.Record]:
    owner.encoded = [
        (state, state.ended) for state in owner.book.changed.values()
    ]
    owner.book.changed.clear()
    return [
        (state.job.id, _ENCODER.encode(progress_module.make_progress(state)))
        for state, _ in owner.encoded
    ]


def _note_stored(owner: state_module.Owner) -> None:
    for state, ended in owner.encoded:
        if ended and not state.stored_ended:
            state.stored_ended = ended
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
    """Frees attempts in doubt, stops what ended, forgets old jobs."""
    settings = owner.settings
    while True:
        await anyio.sleep(_SWEEP_S)
        now = clock.read_now()
        _drop_doubtful(owner, now)
        if now - owner.health.answered_at > settings.unconfirmed_limit_s:
            owner.lose("log silent")
        _forget_jobs(owner)
        _store_learned(owner, now)
        owner.poke()


def _drop_doubtful(owner: state_module.Owner, now: float) -> None:
    """Drops attempts on unlisted runners once every lease has expired."""
    for runner in list(owner.doubts):
        expiry = owner.find_expiry(runner)
        if now <= expiry:
            owner.expiries.promise(runner, expiry)
            continue
        owner.expiries.withdraw(runner)
        for run in owner.doubts.pop(runner):
            owner.book.drop_run(run, now)
            sessions.note_loss(owner, run, "lease expired")
    for runner in list(owner.expiries.expires_at):
        if runner not in owner.doubts and runner not in owner.runners:
            owner.expiries.withdraw(runner)
    if owner.expiries.expires_at:
        # What is left shrinks, also for a successor that comes soon.
        state_module.store_expiries(owner, now)


def _store_learned(owner: state_module.Owner, now: float) -> None:
    if now < owner.next_learned_at:
        return
    owner.next_learned_at = now + _LEARNED_S
    effects = owner.learned.export_effects(now)
    if effects:
        owner.journal.add(
            [(state_module.LEARNED_KEY, _ENCODER.encode(effects))]
        )


def _forget_jobs(owner: state_module.Owner) -> None:
    limit_ms = clock.read_wall_ms() - 1.5 * owner.settings.status_s * 1000
    old = [
        state
        for state in owner.book.jobs.values()
        if state.stored_ended and state.ended_ms < limit_ms
    ]
    for state in old:
        owner.book.forget_job(state.job.id)
        owner.progress.pop(state.job.id, None)
        owner.journal.add([(state.job.id, None)])


async def _schedule(owner: state_module.Owner) -> None:
    while True:
        with anyio.move_on_after(_PASS_LIMIT_S):
            await owner.wake.wait()
        await anyio.sleep(_PASS_GAP_S)
        owner.wake = anyio.Event()
        _stop_ended(owner)
        if not owner.draining:
            now = clock.read_now()
            scheduling.place_ready_tasks(owner, now)
            scheduling.move_slowed_fills(owner, now)
            scheduling.clear_runner(owner, now)


def _stop_ended(owner: state_module.Owner) -> None:
    runs, owner.book.runs_to_stop = owner.book.runs_to_stop, []
    for run in runs:
        orders.stop_run(owner, run, "job ended")
