"""Keeps the operator's configuration up to date; versions only increase.

A new version comes from the log, or from a peer that reports it.
"""

import random

import anyio
import result

from plantainvane import events
from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import metrics
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module


async def follow_configuration(entry: process_module.Entry) -> None:
    """Follows the operator's topic; falls back on the peers' document."""
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
            await fetch_configuration(entry)
            await anyio.sleep(settings.store_retry_s * (1 + random.random()))
            continue
        entry.health.record_success(entry.health.latency_s, now)
        if page.ok_value.expired:
            offset = -1
            continue
        for _, key, value in page.ok_value.records:
            if key == adapters.configuration_key and value:
                _apply_document(entry, value, "log")
        entry.sources.record_answer(now)
        if offset < 0:
            offset = page.ok_value.end_offset
            if entry.configuration is None:
                await fetch_configuration(entry)
        else:
            offset = max(offset, page.ok_value.next_offset)


async def _read(
    entry: process_module.Entry, topic: str, offset: int
) -> result.Result[interfaces.Page, outcomes.CallError] | None:
    """Reads on from an offset; None once another call shows the log is back.

    A read that was sent during a silent outage is never answered, so none waits
    for new records then, and one under way is given up when the outage ends.
    """
    settings, health, page = entry.settings, entry.health, None
    wait_s = settings.read_wait_s if health.failing_since is None else 0.0
    regained = health.regained

    async def give_up() -> None:
        await regained.wait()
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(give_up)
        page = await entry.adapters.store.read(
            topic, offset, wait_s, settings.store_timeout_max_s
        )
        group.cancel_scope.cancel()
    return page


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
    before = entry.configuration.version if entry.configuration else -1
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
    entry: process_module.Entry, address: str = ""
) -> None:
    """Fetches the document from `address`, or from the first peer with one.

    Without an address it tries the owner, the seeds and the known peers.
    """
    claim = entry.ownership.claim
    addresses = (
        [address]
        if address
        else [
            *([claim.address] if claim else []),
            *entry.settings.seeds,
            *entry.known_peers,
        ]
    )
    before = entry.configuration.version if entry.configuration else -1
    answers: dict[str, int | None] = {}
    for candidate in dict.fromkeys(addresses):
        if candidate == entry.settings.peer_address:
            continue
        fetched = await entry.peers.call(
            candidate, peers_module.Fetch(), entry.settings.ping_timeout_s
        )
        answers[candidate] = None
        if fetched.is_ok() and fetched.ok_value.document:
            answers[candidate] = _apply_document(
                entry, fetched.ok_value.document, candidate
            )
            break
    entry.sources.report(before, answers, clock.read_now())


async def compare_configuration(
    entry: process_module.Entry, version: int, address: str
) -> None:
    """Fetches a newer version that the read from the log has not returned."""
    current = entry.configuration.version if entry.configuration else -1
    if version <= current:
        entry.reported_version = -1
    elif entry.reported_version >= 0 or current < 0:
        entry.reported_version = -1
        await fetch_configuration(entry, address)
    else:
        # The read from the log usually returns it before the next ping.
        entry.reported_version = version
