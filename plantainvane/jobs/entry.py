"""Assembles, runs and drains one entry process of the job scheduler."""

import functools
import time
from typing import Any

import anyio
import anyio.abc
import msgspec

from plantainvane import drains
from plantainvane import events
from plantainvane import signals
from plantainvane.jobs import addresses
from plantainvane.jobs import backlog
from plantainvane.jobs import clock
from plantainvane.jobs import configuration
from plantainvane.jobs import evacuations
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import load as load_module
from plantainvane.jobs import model
from plantainvane.jobs import ownership as ownership_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import room as room_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import sources as sources_module
from plantainvane.jobs import standbys
from plantainvane.jobs import state as state_module
from plantainvane.jobs import succession

# Bounds the table of known peers; the largest deployment has 300.
_MAX_KNOWN_PEERS = 400
# Expected waits are reported with each ping; older ones tell nothing.
_WAITS_AGE_S = 3.0
# Most priorities whose waits are reported.
_MAX_WAITS = 64
# Least log outage that a process reports if it has never reached the log. It is
# above every limit that it is compared with.
_INITIAL_SILENCE_S = 10.0
# Peers that each reply to a ping names.
_PEERS_NAMED = 2
# Part of the time that the HTTP server has to end, which is half of the grace
# period, that is reserved for the replies to submissions.
_LAST_REPLY_S = 0.5
# Pause between two questions to an owner that recovers.
_RECOVERING_PAUSE_S = 0.05


def make_entry(
    settings: settings_module.Settings,
    adapters: interfaces.Adapters,
) -> process_module.Entry:
    """Creates the components of a process without starting them."""
    incarnation = time.time_ns()
    health = journal_module.Health()
    entry = process_module.Entry(
        settings,
        adapters,
        incarnation,
        health,
        ownership_module.Ownership(),
        peers_module.PeerClient(),
    )
    journal = journal_module.Journal(
        settings,
        adapters.store,
        health,
        state_module.JOBS_TOPIC,
        f"{settings.id}-{incarnation}",
        0,
    )

    async def ask_owner(
        question: peers_module.Ask,
    ) -> peers_module.AskReply | None:
        return await _ask_owner(entry, question)

    def find_wait(queue: str) -> float:
        return _find_wait(entry, queue, clock.read_now())

    def is_shut_out(job: model.Job) -> bool:
        return _is_shut_out(entry, job, clock.read_now())

    entry.intake = intake_module.Intake(
        settings,
        journal,
        ask_owner,
        find_wait,
        is_shut_out,
        find_room=lambda: _find_room(entry),
    )
    return entry


def _find_room(entry: process_module.Entry) -> room_module.Room | None:
    """Returns the room of the owner, or None if it is not known."""
    room = entry.room
    if entry.owner is not None:
        room = entry.owner.room
    elif clock.read_now() - entry.waits_at > _WAITS_AGE_S:
        return None
    return None if room is None or room.free_tasks < 0 else room


def _find_wait(entry: process_module.Entry, queue: str, now: float) -> float:
    """Returns how long new tasks of a queue are expected to wait, in seconds.

    0 while the owner keeps up, or has not reported lately.
    """
    owner, waits = entry.owner, entry.waits
    if owner is not None:
        waits = owner.backlog.waits
    elif now - entry.waits_at > _WAITS_AGE_S:
        return 0.0
    if not waits or entry.configuration is None:
        return 0.0
    return max(
        (
            backlog.find_wait(waits, known.priority)
            for known in entry.configuration.queues
            if known.name == queue
        ),
        default=0.0,
    )


def _is_shut_out(
    entry: process_module.Entry, job: model.Job, now: float
) -> bool:
    """Tells whether the owner has said that only evacuated runners suit it."""
    owner, shut_out = entry.owner, entry.shut_out
    if owner is not None:
        shut_out = owner.shut_out
    elif now - entry.waits_at > _WAITS_AGE_S:
        return False
    return bool(shut_out) and evacuations.is_shut_out(
        job, shut_out, clock.read_wall_ms()
    )


async def run_entry(
    entry: process_module.Entry,
    serve_callers: Any,
    received: signals.Receiver,
) -> None:
    """Runs a process until SIGTERM; `serve_callers(entry)` serves HTTP.

    SIGINT ends it as well. SIGHUP is only logged.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(
            drains.follow_signals,
            received,
            entry.settings.id,
            functools.partial(drain, entry),
        )
        await run_components(entry, serve_callers)
        group.cancel_scope.cancel()


async def run_components(
    entry: process_module.Entry, serve_callers: Any
) -> None:
    """Runs the components of a process until it has drained."""
    events.log_event(
        events.PROCESS_STARTED,
        process=entry.settings.id,
        domain=entry.settings.domain,
        incarnation=entry.incarnation,
    )
    handlers = peers_module.Handlers(
        lambda ping: _answer_ping(entry, ping),
        lambda question: _answer_ask(entry, question),
        lambda fetch: _answer_fetch(entry, fetch),
        lambda request: succession.answer_hand_over(entry, request),
        lambda request: succession.answer_check_reach(entry, request),
    )
    async with anyio.create_task_group() as group:
        entry.group = group
        group.start_soon(
            peers_module.serve_peers, entry.settings.peer_address, handlers
        )
        group.start_soon(entry.intake.journal.run)
        group.start_soon(
            load_module.watch_loop, entry.load, lambda: _find_owned_epoch(entry)
        )
        group.start_soon(configuration.follow_configuration, entry)
        group.start_soon(succession.monitor_owner, entry)
        served = anyio.Event()
        # The HTTP server leaves its task marked as cancelled, and a task group
        # hosted by that task would not end cleanly, so it runs in its own task.
        group.start_soon(_serve, entry, serve_callers, served)
        await served.wait()
        group.cancel_scope.cancel()
    entry.group = None
    entry.peers.close()
    events.log_event(events.PROCESS_STOPPED, process=entry.settings.id)


def _find_owned_epoch(entry: process_module.Entry) -> int | None:
    return entry.owner.epoch if entry.owner is not None else None


async def _serve(
    entry: process_module.Entry, serve_callers: Any, served: anyio.Event
) -> None:
    await serve_callers(entry)
    served.set()


async def drain(entry: process_module.Entry) -> None:
    """Hands over ownership, serves for the drain period, then stops."""
    events.log_event(events.DRAIN_STARTED, process=entry.settings.id)
    started = clock.read_now()
    entry.draining = True
    await succession.hand_over(entry)
    left_s = entry.settings.drain_s - (clock.read_now() - started)
    await anyio.sleep(max(0.0, left_s))
    grace_s = entry.settings.grace_s
    entry.intake.ends_at = clock.read_now() + max(
        grace_s / 4, grace_s / 2 - _LAST_REPLY_S
    )
    entry.stopping.set()


async def _answer_ping(
    entry: process_module.Entry, ping: peers_module.Ping
) -> peers_module.Pong:
    now = clock.read_now()
    status = process_module.PeerStatus(
        now, ping.config_version, ping.may_own, ping.capacity
    )
    if addresses.is_callable(ping.address):
        entry.known_peers[ping.address] = status
    while len(entry.known_peers) > _MAX_KNOWN_PEERS:
        del entry.known_peers[next(iter(entry.known_peers))]
    if ping.is_owner and ping.epoch > entry.ownership.epoch:
        entry.successor = process_module.Successor(ping.epoch, ping.address)
    owner = entry.owner
    if owner is not None and ping.epoch > owner.epoch:
        succession.check_epoch(entry, owner, ping.epoch)
        owner = None
    version = configuration.find_version(entry)
    if ping.config_version > version:
        entry.group.start_soon(
            configuration.compare_configuration,
            entry,
            ping.config_version,
            ping.address,
        )
    silent_for_s = 0.0
    if entry.health.failing_since is not None:
        silent_for_s = now - max(
            entry.health.answered_at,
            entry.health.failing_since - _INITIAL_SILENCE_S,
        )
    is_owner = owner is not None and not entry.draining
    ablest_capacity = 0.0
    if is_owner:
        # Without the log fewer and fewer peers are able, the ablest perhaps
        # first, but they are there again once it answers.
        if entry.health.failing_since is None:
            ablest_capacity = standbys.find_ablest_capacity(
                entry.known_peers, entry.settings, now
            )
        status.ping_after_s = standbys.choose_ping_interval(
            entry.known_peers, ping.address, entry.settings, now
        )
    return peers_module.Pong(
        is_owner,
        entry.ownership.epoch,
        version,
        silent_for_s,
        ablest_capacity,
        status.ping_after_s,
        is_owner and owner.reach is not None,
        list(owner.backlog.waits.items())[:_MAX_WAITS] if is_owner else [],
        *succession.describe_leases(entry, now),
        entry.settings.id,
        entry.incarnation,
        max(0.0, now - entry.started_at),
        entry.owner is not None,
        entry.ended_epoch,
        _name_peers(entry, now) if is_owner else [],
        list(owner.shut_out) if is_owner else [],
        *_describe_room(owner if is_owner else None),
    )


def _describe_room(owner: state_module.Owner | None) -> tuple[int, float]:
    """Returns the free tasks and the rate that a reply to a ping reports."""
    if owner is None or owner.room.free_tasks < 0:
        return -1, 0.0
    free = min(owner.room.free_tasks, room_module.count_free(owner.table))
    return free, owner.room.freed_per_s


def _name_peers(entry: process_module.Entry, now: float) -> list[str]:
    """Names a few peers, of which a standby knows none but the owner."""
    return sources_module.choose_named(
        standbys.list_heard(entry.known_peers, entry.settings, now),
        _PEERS_NAMED,
    )


async def _answer_ask(
    entry: process_module.Entry, question: peers_module.Ask
) -> peers_module.AskReply:
    owner = entry.owner
    if owner is None or not await succession.confirm_owner(entry, owner):
        return peers_module.AskReply(owner=False)
    reply = await intake_module.answer_question(owner, question)
    return msgspec.structs.replace(reply, epoch=owner.epoch)


async def _answer_fetch(
    entry: process_module.Entry, fetch: peers_module.Fetch
) -> peers_module.FetchReply:
    return configuration.answer_fetch(entry, fetch)


async def _ask_owner(
    entry: process_module.Entry, question: peers_module.Ask
) -> peers_module.AskReply | None:
    owner = entry.owner
    if owner is not None and not owner.stepped_down.is_set():
        reply = await _answer_ask(entry, question)
        return reply if reply.owner else None
    address, epoch = succession.find_owner_address(entry)
    if not address:
        return None
    is_probe = entry.recovering_epoch == epoch
    if is_probe:
        # One question at a time is enough to find out that it has recovered.
        now = clock.read_now()
        if now < entry.next_question_at:
            return None
        entry.next_question_at = now + entry.settings.ask_timeout_s
    try:
        reply = await entry.peers.call(
            address, question, entry.settings.ask_timeout_s
        )
    finally:
        if is_probe:
            entry.next_question_at = clock.read_now() + _RECOVERING_PAUSE_S
    if reply.is_err() or not reply.ok_value.owner:
        entry.owner_doubted.set()
        if reply.is_ok() and reply.ok_value.recovering:
            entry.recovering_epoch = epoch
        elif reply.is_ok():
            # Only the log can tell who owns by now.
            entry.successor = None
        return None
    if entry.recovering_epoch == epoch:
        entry.recovering_epoch = -1
    return reply.ok_value
