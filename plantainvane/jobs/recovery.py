"""Reads the owner's inputs from the log: stored state, new jobs, runners."""

from collections.abc import Callable

import anyio
import msgspec

from plantainvane import decoding
from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import clock
from plantainvane.jobs import crashes
from plantainvane.jobs import early_cancels
from plantainvane.jobs import interfaces
from plantainvane.jobs import keeping
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import probes
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import reach
from plantainvane.jobs import runner_entries
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import sessions
from plantainvane.jobs import state as state_module
from plantainvane.jobs import stops
from plantainvane.jobs import table as table_module

_JOB_DECODER = msgspec.json.Decoder(model.Job)
_PROGRESS_DECODER = msgspec.json.Decoder(model.JobProgress)
_PROGRESS_DECODERS = {
    state_module.EXPIRIES_KEY: msgspec.json.Decoder(dict[str, float]),
    state_module.LEARNED_KEY: msgspec.json.Decoder(
        list[tuple[str, str, float]]
    ),
}

# Records applied between two turns of the event loop, in which pings are
# answered and leases renewed.
_RECORDS_PER_TURN = 16

_Apply = Callable[[state_module.Owner, str, bytes | None], None]


async def _list_newest(
    owner: state_module.Owner, topic: str
) -> interfaces.Page:
    while True:
        page = await owner.adapters.store.list_newest(
            topic, owner.settings.store_timeout_max_s
        )
        now = clock.read_now()
        if page.is_ok():
            owner.health.record_success(owner.health.latency_s, now)
            return page.ok_value
        owner.health.record_failure(page.err_value.detail, now)
        await anyio.sleep(owner.settings.store_retry_s)


async def recover(owner: state_module.Owner) -> None:
    """Loads the state that earlier owners stored.

    The progress comes first, as it holds promises that forbid to extend leases.
    The jobs come last, as they take longest on a weak owner: leases are kept
    alive meanwhile.
    """
    owner.loading = True
    page = await _list_newest(owner, state_module.PROGRESS_TOPIC)
    await _apply_records(owner, page, _load_progress)
    page = await _list_newest(owner, owner.adapters.runners_topic)
    owner.runners_offset = page.end_offset
    for _, key, value in page.records:
        _apply_entry(owner, key, value)
    owner.group.start_soon(keeping.keep_leases, owner)
    page = await _list_newest(owner, state_module.JOBS_TOPIC)
    owner.jobs_offset = page.end_offset
    await _apply_records(owner, page, _add_job)
    early_cancels.restore_cancels(owner, clock.read_now())
    owner.loading = False
    for runner in owner.runners.values():
        leases.store_stray_leases(owner, runner, clock.read_now())
        owner.group.start_soon(sessions.run_session, owner, runner)


async def _apply_records(
    owner: state_module.Owner, page: interfaces.Page, apply: _Apply
) -> None:
    """Applies the records of a page, a few in each turn of the event loop."""
    for number, (_, key, value) in enumerate(page.records, start=1):
        apply(owner, key, value)
        if number % _RECORDS_PER_TURN == 0:
            await anyio.sleep(0)


def _load_progress(
    owner: state_module.Owner, key: str, value: bytes | None
) -> None:
    if value is None:
        return
    decoder = _PROGRESS_DECODERS.get(key, _PROGRESS_DECODER)
    decoded = decoding.decode(decoder, value)
    if decoded.is_err():
        topic = state_module.PROGRESS_TOPIC
        _report_undecodable(topic, key, decoded.err_value)
    elif key == state_module.LEARNED_KEY:
        owner.interference_model.import_effects(
            decoded.ok_value, clock.read_now()
        )
    elif key == state_module.EXPIRIES_KEY:
        owner.expiries.import_remaining_s(
            decoded.ok_value,
            max(0.0, owner.find_earlier_limit() - clock.read_now()),
            clock.read_now(),
            owner.find_lease_limit,
        )
    else:
        progress_module.add_part(owner.progress, key, decoded.ok_value)


def _report_undecodable(topic: str, key: str, reason: str) -> None:
    events.log_event(
        events.RECORD_UNDECODABLE, stream=topic, key=key, error=reason
    )


def _charge_restored(
    owner: state_module.Owner, state: attempts.JobState
) -> None:
    """Charges the restored attempts of a job until a poll corrects it."""
    for step_state in state.steps.values():
        for task in step_state.tasks:
            for run in task.runs:
                _charge_run(owner, run)


def _charge_run(owner: state_module.Owner, run: attempts.Run) -> None:
    """Charges a restored attempt to its runner, or to none if it is unknown."""
    runner = owner.runners.get(run.runner)
    if runner is None:
        owner.orphans.setdefault(run.runner, []).append(run)
    else:
        runner.charge(run)
        runner.require_poll()


def _add_job(owner: state_module.Owner, key: str, value: bytes | None) -> None:
    if value is None or key in owner.table.jobs:
        return
    decoded = decoding.decode(_JOB_DECODER, value)
    if decoded.is_err():
        _report_undecodable(state_module.JOBS_TOPIC, key, decoded.err_value)
        return
    job = decoded.ok_value
    if job.id != key:
        reason = f"the record holds job {job.id[:40]!r}"
        _report_undecodable(state_module.JOBS_TOPIC, key, reason)
        return
    known = state_module.find_queue(owner, job.queue)
    queue = known or model.make_removed_queue(job)
    now = clock.read_now()
    wall_ms = clock.read_wall_ms()
    fault = checks.find_fault(job)
    if fault:
        events.log_event(
            events.JOB_UNSERVABLE, job=key, queue=job.queue, reason=fault
        )
        owner.table.add_unservable_job(job, queue, now, wall_ms)
        return
    progress = owner.progress.get(key)
    state = owner.table.add_job(job, queue, progress, now, wall_ms)
    if progress is not None:
        # The table has the tasks now; the end is still asked for.
        progress.tasks = []
    _charge_restored(owner, state)
    events.log_event(
        events.JOB_LOADED,
        job=job.id,
        queue=job.queue,
        tasks=sum(step.count for step in job.steps),
        age_ms=wall_ms - job.accepted_ms,
        state=table_module.describe_state(state),
        deferred=key in owner.table.deferred,
        max_failures=state.max_failures,
        limits=_describe_limits(job, known),
        epoch=owner.epoch,
    )
    if key in owner.table.deferred:
        events.log_event(
            events.JOB_DEFERRED,
            job=job.id,
            queue=job.queue,
            held_tasks=owner.table.held_tasks,
            deferred=len(owner.table.deferred),
            epoch=owner.epoch,
        )
    owner.request_pass()


def _describe_limits(job: model.Job, known: model.Queue | None) -> str:
    """Returns where the limits of a job come from."""
    if job.limits is not None:
        return "stored"
    return "strictest" if known is None else "configured"


async def read_jobs(owner: state_module.Owner, wait_s: float) -> bool:
    """Reads new jobs once; returns whether the log answered."""
    return await _read_jobs(owner, wait_s) is not None


async def read_all_jobs(owner: state_module.Owner) -> bool:
    """Reads all jobs that are stored by now; returns whether it could.

    One reply may hold only a part of them.
    """
    first_end_offset = None
    while True:
        before = owner.jobs_offset
        end_offset = await _read_jobs(owner, 0)
        if end_offset is None:
            return False
        if first_end_offset is None:
            first_end_offset = end_offset
        if owner.jobs_offset >= first_end_offset:
            return True
        if owner.jobs_offset == before:
            return False


async def _read_jobs(owner: state_module.Owner, wait_s: float) -> int | None:
    """Reads new jobs once; returns where the topic ends, or None."""
    started = clock.read_now()
    page = await owner.adapters.store.read(
        state_module.JOBS_TOPIC,
        owner.jobs_offset,
        wait_s,
        owner.health.choose_timeout(owner.settings),
    )
    now = clock.read_now()
    if page.is_err():
        owner.health.record_failure(page.err_value.detail, now)
        return None
    owner.health.record_success(min(now - started, owner.health.latency_s), now)
    found = page.ok_value
    if found.expired:
        found = await _list_newest(owner, state_module.JOBS_TOPIC)
    await _apply_records(owner, found, _add_job)
    owner.jobs_offset = max(owner.jobs_offset, found.next_offset)
    owner.jobs_behind = owner.jobs_offset < found.end_offset
    return found.end_offset


async def follow_jobs(owner: state_module.Owner) -> None:
    """Reads new jobs until cancelled."""
    while True:
        if not await read_jobs(owner, owner.settings.read_wait_s):
            await anyio.sleep(owner.settings.store_retry_s)


async def follow_runners(owner: state_module.Owner) -> None:
    """Polls the runners topic; one read returns many heartbeats.

    A read that does not reach the end, as replies are limited, is followed by
    the next one at once.
    """
    topic = owner.adapters.runners_topic
    behind = False
    while True:
        await anyio.sleep(0 if behind else owner.settings.runner_list_poll_s)
        behind = False
        page = await owner.adapters.store.read(
            topic,
            owner.runners_offset,
            0,
            owner.health.choose_timeout(owner.settings),
        )
        now = clock.read_now()
        if page.is_err():
            owner.health.record_failure(page.err_value.detail, now)
            continue
        owner.health.record_success(owner.health.latency_s, now)
        found = page.ok_value
        if found.expired:
            found = await _list_newest(owner, topic)
            _remove_unlisted(owner, {key for _, key, _ in found.records})
            owner.runners_offset = found.end_offset
        else:
            behind = owner.runners_offset < found.next_offset < found.end_offset
            owner.runners_offset = max(owner.runners_offset, found.next_offset)
        for _, key, value in found.records:
            _apply_entry(owner, key, value)


def _remove_unlisted(owner: state_module.Owner, listed: set[str]) -> None:
    for key in owner.runners:
        if key not in listed:
            _apply_entry(owner, key, None)


def _apply_entry(
    owner: state_module.Owner, key: str, value: bytes | None
) -> None:
    runner = owner.runners.get(key)
    if value is None:
        owner.malformed_runners.discard(key)
        owner.moved_entries.pop(key, None)
        if runner is not None:
            runner.announced = None
        if runner is not None and runner.listed:
            runner.listed = False
            events.log_event(
                events.RUNNER_UNLISTED, runner=key, runs=len(runner.runs)
            )
        return
    entry = owner.adapters.decode_runner(key, value)
    if entry is None:
        _report_malformed_runner(owner, key, value)
        return
    owner.malformed_runners.discard(key)
    now = clock.read_now()
    if runner is None:
        _add_runner(owner, entry, None, now)
        return
    if runner.entry.address != entry.address:
        _handle_move(owner, runner, entry, now)
        return
    owner.moved_entries.pop(key, None)
    runner.entry_read_at = now
    if runner.silent:
        runner.has_active.set()
    if entry.born_ms != runner.entry.born_ms:
        # An entry that precedes the awaited one is old, and so is its capacity.
        runner.listed = runner.listed or not runner.entry_awaited
        runner_entries.announce(runner, entry, now)
        leases.store_stray_leases(owner, runner, now)
        return
    runner_entries.adopt(owner, runner, entry)


def _handle_move(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    entry: model.RunnerEntry,
    now: float,
) -> None:
    """Replaces a runner by that of an entry with another address.

    One that is not known to be silent is asked first: the entry may come from
    another writer, and the runner would get no leases at the wrong address.
    """
    if runner.silent:
        owner.moved_entries.pop(entry.id, None)
        _add_runner(owner, entry, runner, now)
        return
    is_asked = entry.id in owner.moved_entries
    owner.moved_entries[entry.id] = entry
    if not is_asked:
        owner.group.start_soon(_confirm_move, owner, runner)


async def _confirm_move(
    owner: state_module.Owner, runner: runners_module.Runner
) -> None:
    key, address = runner.entry.id, runner.entry.address
    answers = await probes.ask_runner(
        owner.adapters,
        owner.epoch,
        reach.SampledRunner(key, address, runner.token),
    )
    entry = owner.moved_entries.pop(key, None)
    if entry is None or owner.runners.get(key) is not runner:
        return
    if not answers:
        _add_runner(owner, entry, runner, clock.read_now())
        return
    events.log_event(
        events.RUNNER_MOVE_REFUSED,
        runner=key,
        address=address,
        named=entry.address,
    )


def _report_malformed_runner(
    owner: state_module.Owner, key: str, value: bytes
) -> None:
    """Logs a malformed entry once, as it may be rewritten every second."""
    if key not in owner.malformed_runners:
        owner.malformed_runners.add(key)
        events.log_event(
            events.RECORD_UNDECODABLE,
            stream=owner.adapters.runners_topic,
            key=key,
            error=f"{len(value)} bytes that are not a usable runner entry",
        )


def _add_runner(
    owner: state_module.Owner,
    entry: model.RunnerEntry,
    earlier: runners_module.Runner | None,
    now: float,
) -> None:
    runner = runners_module.Runner(
        entry,
        owner.adapters.connect_runner(entry.address, entry.id),
        runners_module.find_rack(entry.labels),
    )
    runner.record_clock(entry.clock_ms, now, listed=True)
    runner.token = owner.issue_token(entry.id)
    runner.answered_at = runner.born_at = runner.up_at = now
    runner.entry_read_at = now
    runner.evacuated = entry.domain in owner.evacuated
    runner.expiry_promised = owner.expiries.is_binding(entry.id)
    runner.earlier_leases_until = owner.find_expiry(entry.id)
    if earlier is not None:
        runner.moved = True
        runner.earlier_leases_until = max(
            runner.earlier_leases_until,
            earlier.earlier_leases_until,
            earlier.find_lease_expiry(owner.settings),
        )
        # Attempts of the incarnation at the old address stay charged until
        # their leases expire.
        earlier.listed = False
        if earlier.entry.born_ms != entry.born_ms:
            crashes.mark_down(earlier, now)
            crashes.blame_crash(owner, earlier, "moved", entry.born_ms)
        for run in list(earlier.runs):
            runner.charge(run)
    owner.runners[entry.id] = runner
    orphans = owner.orphans.pop(entry.id, [])
    for run in orphans:
        if run in run.task.runs:
            runner.charge(run)
    stops.resume_stops(owner, orphans)
    events.log_event(
        events.RUNNER_ADDED,
        runner=entry.id,
        address=entry.address,
        domain=entry.domain,
        cpu=entry.capacity.cpu,
    )
    if not owner.loading:
        leases.store_stray_leases(owner, runner, now)
        owner.group.start_soon(sessions.run_session, owner, runner)
