"""Keeps the operator's configuration up to date; versions only increase.

A new version comes from the log, or from a peer that reports it or is asked.
"""

import random

import anyio
import result

from plantainvane import events
from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import evacuations
from plantainvane.jobs import interfaces
from plantainvane.jobs import metrics
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import sources as sources_module
from plantainvane.jobs import standbys


async def follow_configuration(entry: process_module.Entry) -> None:
    """Follows the operator's topic, and the peers while it is not answered."""
    async with anyio.create_task_group() as group:
        group.start_soon(_follow_peers, entry)
        await _follow_log(entry)


async def _follow_peers(entry: process_module.Entry) -> None:
    """Asks peers while the log answers no read, however long one may take."""
    sources, settings = entry.sources, entry.settings
    while True:
        has_version = entry.configuration is not None
        due_at = sources.find_due(has_version, settings)
        with anyio.move_on_after(due_at - clock.read_now()):
            await sources.failed.wait()
        now = clock.read_now()
        if now < sources.find_due(entry.configuration is not None, settings):
            continue
        known = _list_peers(entry, now)
        await fetch_configuration(
            entry, sources.choose_peers(known, settings, now)
        )


async def _follow_log(entry: process_module.Entry) -> None:
    """Follows the operator's topic; never returns."""
    adapters, settings = entry.adapters, entry.settings
    topic = adapters.configuration_topic
    offset = -1
    while True:
        if offset < 0:
            page = await adapters.store.list_newest(
                topic, settings.store_timeout_max_s
            )
        else:
            page = await _read(entry, topic, offset)
        now = clock.read_now()
        if page is None:
            continue
        if page.is_err():
            entry.health.record_failure(page.err_value.detail, now)
            entry.sources.record_failure()
            await anyio.sleep(settings.store_retry_s * (1 + random.random()))
            continue
        entry.health.record_success(entry.health.latency_s, now)
        if page.ok_value.expired:
            offset = -1
            continue
        # A process that has its first version serves, so it has to know first
        # where nothing may be started.
        _apply_evacuations(entry, page.ok_value, is_whole=offset < 0)
        for _, key, value in page.ok_value.records:
            if key == adapters.configuration_key and value:
                _apply_document(entry, value, "log")
        entry.sources.record_answer(now)
        if offset < 0:
            offset = page.ok_value.end_offset
        else:
            offset = max(offset, page.ok_value.next_offset)


async def _read(
    entry: process_module.Entry, topic: str, offset: int
) -> result.Result[interfaces.Page, outcomes.CallError] | None:
    """Reads on from an offset; None once another call shows the log is back.

    A read that was sent during a silent outage, or on a connection that went
    silent, is never answered. So none waits for new records during an outage,
    one under way is given up when the outage ends, and the time-out is short
    while the log answers.
    """
    settings, health, page = entry.settings, entry.health, None
    wait_s, timeout_s = 0.0, settings.store_timeout_max_s
    if health.failing_since is None:
        wait_s = settings.read_wait_s
        timeout_s = health.choose_timeout(settings)
    regained = health.regained

    async def give_up() -> None:
        await regained.wait()
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(give_up)
        page = await entry.adapters.store.read(topic, offset, wait_s, timeout_s)
        group.cancel_scope.cancel()
    return page


def _apply_evacuations(
    entry: process_module.Entry, page: interfaces.Page, is_whole: bool
) -> None:
    """Applies the evacuations among records of the operator's topic.

    `is_whole` tells that the page has the newest record of each key.
    """
    prefix, held = entry.adapters.evacuation_prefix, entry.evacuations
    if not prefix:
        return
    before = held.domains
    records = evacuations.select_records(
        page.records, prefix, entry.adapters.is_evacuation
    )
    if is_whole:
        held.replace(records, page.end_offset)
    else:
        held.apply(records, page.next_offset)
    _note_evacuations(entry, before, "log")


def _note_evacuations(
    entry: process_module.Entry, before: dict[str, int], source: str
) -> None:
    """Reports the domains that differ from `before`; the owner acts on it."""
    domains = entry.evacuations.domains
    changed = domains.keys() ^ before.keys()
    if not changed:
        return
    metrics.EVACUATED_DOMAINS.set(len(domains))
    for name in sorted(changed):
        events.log_event(
            events.EVACUATION_CHANGED,
            domain=name,
            evacuated=name in domains,
            offset=domains.get(name, -1),
            source=source,
            unconfirmed_s=round(
                clock.read_now() - entry.sources.confirmed_at, 3
            ),
        )
    if entry.owner is not None:
        evacuations.change_domains(entry.owner, frozenset(domains))


def _apply_document(
    entry: process_module.Entry, document: bytes, source: str
) -> int:
    """Applies a document with a higher version; ignores any other.

    Returns the version, or -1 if the document is malformed.
    """
    configuration = entry.adapters.decode_configuration(document)
    if configuration is None:
        events.log_event(
            events.DOCUMENT_UNDECODABLE, source=source, size=len(document)
        )
        return -1
    before = find_version(entry)
    if configuration.version <= before:
        return configuration.version
    entry.configuration, entry.document = configuration, document
    metrics.CONFIGURATION_VERSION.set(configuration.version)
    events.log_event(
        events.QUEUES_CHANGED,
        version=configuration.version,
        before=before,
        queues=len(configuration.queues),
        source=source,
        unconfirmed_s=round(clock.read_now() - entry.sources.confirmed_at, 3),
    )
    if entry.owner is not None:
        entry.owner.request_pass()
    return configuration.version


async def fetch_configuration(
    entry: process_module.Entry, asked: list[str]
) -> None:
    """Asks peers side by side, and applies the newest document.

    Each of them may be behind, so all answers are waited for.
    """
    before = find_version(entry)
    answers: dict[str, int | None] = {}

    async def fetch(address: str) -> None:
        reply = await entry.peers.call(
            address,
            peers_module.Fetch(find_version(entry)),
            entry.settings.ping_timeout_s,
        )
        if reply.is_err():
            answers[address] = None
            entry.sources.forget_address(address)
            return
        fetched = reply.ok_value
        for other in fetched.addresses:
            entry.sources.add_address(other)
        answers[address] = fetched.version
        before_domains = entry.evacuations.domains
        entry.evacuations.merge(fetched.evacuated, fetched.followed_to)
        _note_evacuations(entry, before_domains, address)
        if fetched.document:
            answers[address] = _apply_document(entry, fetched.document, address)

    if not asked:
        return
    async with anyio.create_task_group() as group:
        for address in asked:
            group.start_soon(fetch, address)
    entry.sources.report(before, answers, clock.read_now())


def answer_fetch(
    entry: process_module.Entry, fetch: peers_module.Fetch
) -> peers_module.FetchReply:
    """Answers with the document, if it is newer, and names some other peers."""
    version = find_version(entry)
    known = _list_peers(entry, clock.read_now())
    owner = sources_module.choose_named(known[:1], 1)
    others = sources_module.choose_named(
        known[1:], sources_module.MAX_NAMED - len(owner)
    )
    return peers_module.FetchReply(
        entry.document if version > fetch.version else b"",
        version,
        [*owner, *others],
        *evacuations.describe(entry.evacuations),
    )


def find_version(entry: process_module.Entry) -> int:
    """Returns the version in force, or -1 without one."""
    return entry.configuration.version if entry.configuration else -1


def _list_peers(entry: process_module.Entry, now: float) -> list[str]:
    """Lists the addresses of other processes, that of the owner first."""
    claim = entry.ownership.claim
    known = [
        *([claim.address] if claim else []),
        *entry.settings.seeds,
        *standbys.list_heard(entry.known_peers, entry.settings, now),
        *entry.sources.addresses,
    ]
    return [
        address
        for address in dict.fromkeys(known)
        if address != entry.settings.peer_address
    ]


async def compare_configuration(
    entry: process_module.Entry, version: int, address: str
) -> None:
    """Fetches a newer version that the read from the log has not returned."""
    current = find_version(entry)
    if version <= current:
        entry.reported_version = -1
    elif entry.reported_version >= 0 or current < 0:
        entry.reported_version = -1
        await fetch_configuration(entry, [address])
    else:
        # The read from the log usually returns it before the next ping.
        entry.reported_version = version
