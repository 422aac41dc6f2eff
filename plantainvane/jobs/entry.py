"""Assembles one entry process of the job scheduler, runs and drains it."""

import dataclasses
import random
import signal
import time
from typing import Any

import anyio
import anyio.abc

from plantainvane import events
from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import ownership as ownership_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import settings as settings_module

_HAND_OVER_TIMEOUT_S = 1.5
# Peers that pinged within this time can be asked to take over.
_PEER_FRESH_S = 1.5


@dataclasses.dataclass(slots=True)
class PeerSeen:
    """The last ping of a peer."""

    at: float
    config_version: int
    may_own: bool


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """State of one entry process.

    Attributes:
      incarnation: Start of the process, in nanoseconds.
      configuration: In force here, or None.
      document: The operator's document that it was decoded from.
      owner: Set while this process is the owner.
      seen: Peers that pinged, by address.
      behind: Newer version that a peer named once, or -1.
      draining: SIGTERM came.
    """

    settings: settings_module.Settings
    surroundings: interfaces.Surroundings
    incarnation: int
    health: journal_module.Health
    ownership: ownership_module.Ownership
    peers: peers_module.Peers
    intake: intake_module.Intake | None = None
    configuration: model.Configuration | None = None
    document: bytes = b""
    owner: owner_module.Owner | None = None
    seen: dict[str, PeerSeen] = dataclasses.field(default_factory=dict)
    behind: int = -1
    draining: bool = False
    stopping: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    claiming: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    group: anyio.abc.TaskGroup | None = None

    @property
    def ready(self) -> bool:
        """Requests of callers can be answered."""
        return self.configuration is not None and not self.draining


def make_entry(
    settings: settings_module.Settings,
    surroundings: interfaces.Surroundings,
) -> Entry:
    """Makes the parts of a process; none of them runs yet."""
    incarnation = time.time_ns()
    health = journal_module.Health()
    entry = Entry(
        settings,
        surroundings,
        incarnation,
        health,
        ownership_module.Ownership(),
        peers_module.Peers(),
    )
    journal = journal_module.Journal(
        settings,
        surroundings.store,
        health,
        owner_module.JOBS_TOPIC,
        f"{settings.id}-{incarnation}",
        0,
    )

    async def ask_owner(question: peers_module.Ask) -> peers_module.Told | None:
        return await _ask_owner(entry, question)

    entry.intake = intake_module.Intake(settings, journal, ask_owner)
    return entry


async def run_entry(entry: Entry, serve_callers: Any) -> None:
    """Runs a process until SIGTERM; `serve_callers(entry)` serves HTTP."""
    async with anyio.create_task_group() as group:
        group.start_soon(_drain_on_signal, entry)
        await run_parts(entry, serve_callers)
        group.cancel_scope.cancel()


async def run_parts(entry: Entry, serve_callers: Any) -> None:
    """Runs the parts of a process until it has drained."""
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
        lambda request: _answer_hand_over(entry, request),
    )
    async with anyio.create_task_group() as group:
        entry.group = group
        group.start_soon(
            peers_module.serve_peers, entry.settings.peer_address, handlers
        )
        group.start_soon(entry.intake.journal.run)
        group.start_soon(_follow_configuration, entry)
        group.start_soon(_follow_owner, entry)
        served = anyio.Event()
        # In a task of its own: the HTTP server leaves its task marked as
        # cancelled, and a task group that it hosts would not end cleanly.
        group.start_soon(_serve, entry, serve_callers, served)
        await served.wait()
        group.cancel_scope.cancel()
    entry.group = None
    entry.peers.close()
    events.log_event(events.PROCESS_STOPPED, process=entry.settings.id)


async def _drain_on_signal(entry: Entry) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for received in signals:
            if received is signal.SIGHUP:
                # Addresses and bounds are fixed for the life of a process.
                events.log_event(
                    events.SETTINGS_RELOADED, process=entry.settings.id
                )
                continue
            break
    await drain(entry)


async def _serve(entry: Entry, serve_callers: Any, served: anyio.Event) -> None:
    await serve_callers(entry)
    served.set()


async def drain(entry: Entry) -> None:
    """Hands over, serves until callers have left, then stops."""
    events.log_event(events.DRAIN_STARTED, process=entry.settings.id)
    started = clock.read_now()
    entry.draining = True
    await _hand_over(entry)
    left_s = entry.settings.drain_s - (clock.read_now() - started)
    await anyio.sleep(max(0.0, left_s))
    entry.stopping.set()


async def _hand_over(entry: Entry) -> None:
    """Stops starting tasks and lets a peer claim the jobs."""
    owner = entry.owner
    if owner is None:
        return
    owner.draining = True
    with anyio.move_on_after(0.5):
        await owner.journal.flush()
    now = clock.read_now()
    fresh = [
        address
        for address, seen in entry.seen.items()
        if seen.may_own and now - seen.at < _PEER_FRESH_S
    ]
    random.shuffle(fresh)
    for address in fresh:
        taken = await entry.peers.call(
            address,
            peers_module.HandOver(owner.epoch),
            _HAND_OVER_TIMEOUT_S,
        )
        if taken.is_ok() and taken.ok_value.epoch > owner.epoch:
            events.log_event(
                events.OWNER_RELEASED,
                epoch=owner.epoch,
                to=address,
                next_epoch=taken.ok_value.epoch,
            )
            owner.lose("handed over")
            return
    events.log_event(events.RELEASE_FAILED, epoch=owner.epoch, peers=len(fresh))


async def _follow_configuration(entry: Entry) -> None:
    """Follows the operator's topic; falls back on what peers have."""
    surroundings, settings = entry.surroundings, entry.settings
    topic = surroundings.configuration_topic
    offset = -1
    while True:
        if offset < 0:
            page = await surroundings.store.list_newest(
                topic, settings.store_timeout_max_s
            )
        else:
            page = await surroundings.store.read(
                topic,
                offset,
                settings.read_wait_s,
                settings.store_timeout_max_s,
            )
        now = clock.read_now()
        if page.is_err():
            entry.health.note_failure(page.err_value.detail, now)
            await _fetch_configuration(entry)
            await anyio.sleep(settings.store_retry_s * (1 + random.random()))
            continue
        entry.health.note_answer(entry.health.latency_s, now)
        if page.ok_value.expired:
            offset = -1
            continue
        for _, key, value in page.ok_value.records:
            if key == surroundings.configuration_key and value:
                _apply_document(entry, value, "log")
        if offset < 0:
            offset = page.ok_value.end_offset
            if entry.configuration is None:
                await _fetch_configuration(entry)
        else:
            offset = max(offset, page.ok_value.next_offset)


def _apply_document(entry: Entry, document: bytes, source: str) -> None:
    """Moves to a higher version; anything else changes nothing."""
    configuration = entry.surroundings.decode_configuration(document)
    if configuration is None:
        events.log_event(
            events.DOCUMENT_UNDECODABLE, source=source, size=len(document)
        )
        return
    before = entry.configuration.version if entry.configuration else -1
    if configuration.version <= before:
        return
    entry.configuration, entry.document = configuration, document
    metrics.CONFIGURATION.set(configuration.version)
    events.log_event(
        events.QUEUES_CHANGED,
        version=configuration.version,
        before=before,
        queues=len(configuration.queues),
        source=source,
    )
    if entry.owner is not None:
        entry.owner.poke()


async def _fetch_configuration(entry: Entry, address: str = "") -> None:
    """Asks the owner, peers and seeds for the document in force."""
    claim = entry.ownership.claim
    addresses = (
        [address]
        if address
        else [
            *([claim.address] if claim else []),
            *entry.settings.seeds,
            *entry.seen,
        ]
    )
    for candidate in dict.fromkeys(addresses):
        if candidate == entry.settings.peer_address:
            continue
        fetched = await entry.peers.call(
            candidate, peers_module.Fetch(), entry.settings.ping_timeout_s
        )
        if fetched.is_ok() and fetched.ok_value.document:
            _apply_document(entry, fetched.ok_value.document, candidate)
            return


async def _follow_owner(entry: Entry) -> None:
    """Pings the owner and claims when it is gone."""
    settings, ownership = entry.settings, entry.ownership
    await _read_claims(entry)
    ownership.heard_at = clock.read_now()
    while True:
        await anyio.sleep(settings.ping_s * (0.8 + 0.4 * random.random()))
        if entry.owner is not None:
            await _renew_claim(entry)
            continue
        await _ping_owner(entry)
        if entry.draining or entry.configuration is None:
            continue
        reason = ownership_module.suspects_owner(
            ownership, settings, clock.read_now()
        )
        if reason:
            await _consider_claim(entry, reason)


async def _ping_owner(entry: Entry) -> None:
    ownership, settings = entry.ownership, entry.settings
    claim = ownership.claim
    if claim is None or claim.released:
        return
    if claim.address == settings.peer_address:
        # An earlier process of this instance, or a claim that was lost.
        ownership.denied = entry.owner is None
        return
    now = clock.read_now()
    ping = peers_module.Ping(
        settings.peer_address,
        ownership.epoch,
        entry.configuration.version if entry.configuration else -1,
        _may_own(entry, now),
    )
    pong = await entry.peers.call(claim.address, ping, settings.ping_timeout_s)
    if entry.ownership.claim is not claim:
        return
    now = clock.read_now()
    if pong.is_err():
        refused = pong.err_value.failure is outcomes.CallFailure.UNREACHED
        if refused:
            ownership.denied = True
        return
    answer = pong.ok_value
    ownership.note_reply(answer.is_owner, answer.silent_for_s, now)
    if answer.epoch > ownership.epoch:
        await _read_claims(entry)
    await _compare_configuration(entry, answer.config_version, claim.address)


async def _compare_configuration(
    entry: Entry, version: int, address: str
) -> None:
    """Fetches a newer version that the own log read did not bring."""
    current = entry.configuration.version if entry.configuration else -1
    if version <= current:
        entry.behind = -1
    elif entry.behind >= 0 or current < 0:
        entry.behind = -1
        await _fetch_configuration(entry, address)
    else:
        # The own read usually brings it before the next ping.
        entry.behind = version


def _may_own(entry: Entry, now: float) -> bool:
    return (
        not entry.draining
        and entry.configuration is not None
        and entry.health.failing_since is None
    )


async def _read_claims(entry: Entry) -> bool:
    """Reads the newest claim; tells whether the log answered."""
    page = await entry.surroundings.store.list_newest(
        ownership_module.TOPIC, entry.settings.store_timeout_s
    )
    now = clock.read_now()
    if page.is_err():
        entry.health.note_failure(page.err_value.detail, now)
        return False
    entry.health.note_answer(entry.health.latency_s, now)
    for offset, _, value in page.ok_value.records:
        entry.ownership.apply_record(offset, value, now)
    entry.ownership.end_offset = page.ok_value.end_offset
    return True


async def _consider_claim(entry: Entry, reason: str) -> None:
    ownership, settings = entry.ownership, entry.settings
    epoch = ownership.epoch
    # Spreads the claimants, so that most of them see the winner's claim.
    await anyio.sleep(random.random() * settings.takeover_step_s)
    if not await _read_claims(entry) or ownership.epoch != epoch:
        return
    now = clock.read_now()
    if not ownership_module.may_claim(ownership, reason, settings, now):
        return
    if reason == "cut_off" and now - entry.health.answered_at > 0.5:
        return
    await _claim(entry, reason)


async def _claim(entry: Entry, reason: str) -> bool:
    """Appends a claim where the topic ended; tells whether it won."""
    async with entry.claiming:
        if entry.owner is not None or entry.draining:
            return entry.owner is not None
        ownership, settings = entry.ownership, entry.settings
        events.log_event(
            events.CLAIM_STARTED,
            reason=reason,
            epoch=ownership.epoch,
            holder=ownership.claim.holder if ownership.claim else "",
            heard_ago_s=round(clock.read_now() - ownership.heard_at, 3),
            end_offset=ownership.end_offset,
        )
        claim = ownership_module.Claim(
            settings.id, entry.incarnation, settings.peer_address
        )
        appended = await entry.surroundings.store.append(
            ownership_module.TOPIC,
            [(ownership_module.KEY, ownership_module.encode_claim(claim))],
            settings.store_timeout_s,
            expected_end=ownership.end_offset,
        )
        now = clock.read_now()
        won = appended.is_ok() and appended.ok_value.offset >= 0
        if appended.is_err():
            # The append may have been carried out; the log tells.
            entry.health.note_failure(appended.err_value.detail, now)
            await _read_claims(entry)
            newest = ownership.claim
            won = (
                newest is not None
                and newest.incarnation == entry.incarnation
                and newest.holder == settings.id
            )
            epoch = ownership.epoch
        elif won:
            epoch = appended.ok_value.offset
            ownership.apply_record(
                epoch, ownership_module.encode_claim(claim), now
            )
            ownership.end_offset = appended.ok_value.end_offset
        outcome = "won" if won else "lost"
        metrics.CLAIMS.labels(outcome).inc()
        events.log_event(
            events.CLAIM_DECIDED, outcome=outcome, epoch=ownership.epoch
        )
        if won:
            ready = anyio.Event()
            entry.group.start_soon(_own, entry, epoch, ready)
            await ready.wait()
        return won


async def _own(entry: Entry, epoch: int, ready: anyio.Event) -> None:
    def announce(owner: owner_module.Owner) -> None:
        entry.owner = owner
        ready.set()

    try:
        await owner_module.run_owner(
            entry.settings,
            entry.surroundings,
            epoch,
            entry.health,
            lambda: entry.configuration,
            announce,
        )
    finally:
        entry.owner = None
        ready.set()


async def _renew_claim(entry: Entry) -> None:
    """Renews the claim, so that peers cut off from here see it live."""
    ownership, settings, owner = entry.ownership, entry.settings, entry.owner
    now = clock.read_now()
    if now - ownership.renewed_at < settings.renew_s or owner is None:
        return
    claim = ownership_module.Claim(
        settings.id, entry.incarnation, settings.peer_address, owner.epoch
    )
    appended = await entry.surroundings.store.append(
        ownership_module.TOPIC,
        [(ownership_module.KEY, ownership_module.encode_claim(claim))],
        settings.store_timeout_s,
        expected_end=ownership.end_offset,
    )
    now = clock.read_now()
    if appended.is_err():
        entry.health.note_failure(appended.err_value.detail, now)
    elif appended.ok_value.offset >= 0:
        entry.health.note_answer(entry.health.latency_s, now)
        ownership.end_offset = appended.ok_value.end_offset
        ownership.offset = appended.ok_value.offset
        ownership.renewed_at = now
        return
    # The end has moved: by a lost answer of ours, or by another claim.
    if await _read_claims(entry) and ownership.epoch > owner.epoch:
        owner.lose("claim")


async def _answer_ping(
    entry: Entry, ping: peers_module.Ping
) -> peers_module.Pong:
    now = clock.read_now()
    entry.seen[ping.address] = PeerSeen(now, ping.config_version, ping.may_own)
    while len(entry.seen) > 400:
        del entry.seen[next(iter(entry.seen))]
    owner = entry.owner
    if owner is not None and ping.epoch > owner.epoch:
        owner.lose("peer")
        owner = None
    version = entry.configuration.version if entry.configuration else -1
    if ping.config_version > version:
        entry.group.start_soon(
            _compare_configuration, entry, ping.config_version, ping.address
        )
    silent_for_s = 0.0
    if entry.health.failing_since is not None:
        silent_for_s = now - max(
            entry.health.answered_at, entry.health.failing_since - 10
        )
    return peers_module.Pong(
        owner is not None and not entry.draining,
        entry.ownership.epoch,
        version,
        silent_for_s,
    )


async def _answer_ask(
    entry: Entry, question: peers_module.Ask
) -> peers_module.Told:
    if entry.owner is None:
        return peers_module.Told(owner=False)
    return await intake_module.answer_question(entry.owner, question)


async def _answer_fetch(
    entry: Entry, fetch: peers_module.Fetch
) -> peers_module.Fetched:
    return peers_module.Fetched(entry.document)


async def _answer_hand_over(
    entry: Entry, request: peers_module.HandOver
) -> peers_module.Taken:
    if not _may_own(entry, clock.read_now()) or not await _read_claims(entry):
        return peers_module.Taken()
    if entry.ownership.epoch == request.epoch:
        await _claim(entry, "handed over")
    owner = entry.owner
    return peers_module.Taken(owner.epoch if owner is not None else -1)


async def _ask_owner(
    entry: Entry, question: peers_module.Ask
) -> peers_module.Told | None:
    if entry.owner is not None:
        told = await intake_module.answer_question(entry.owner, question)
        return told if told.owner else None
    claim = entry.ownership.claim
    if claim is None or claim.address == entry.settings.peer_address:
        return None
    told = await entry.peers.call(
        claim.address, question, entry.settings.ask_timeout_s
    )
    if told.is_err():
        return None
    return told.ok_value if told.ok_value.owner else None
