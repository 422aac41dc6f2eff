"""The entry process: creates, runs and drains its components."""

import dataclasses
import random
import time
from typing import Any

import anyio
import anyio.abc
import msgspec

from plantainvane import asgi
from plantainvane import callers
from plantainvane import configuration as configuration_module
from plantainvane import dispatcher as dispatcher_module
from plantainvane import drains
from plantainvane import events
from plantainvane import http_client
from plantainvane import instances
from plantainvane import keys
from plantainvane import log
from plantainvane import membership as membership_module
from plantainvane import messages_pb2
from plantainvane import metrics
from plantainvane import operators
from plantainvane import outcomes
from plantainvane import peers as peers_module
from plantainvane import readers
from plantainvane import records
from plantainvane import rendezvous
from plantainvane import scheduler as scheduler_module
from plantainvane import settings as settings_module
from plantainvane import signals
from plantainvane import writers

# How often the process checks its own readiness and its peers' versions.
REVIEW_INTERVAL_S = 0.5
METRICS_INTERVAL_S = 2.0
# A newer configuration is fetched from a peer if the log has not delivered it
# within this time, which is longer than it takes to read a new append.
PEER_FETCH_DELAY_S = 1.0
# A process that cannot connect to any target still becomes ready after this
# time, so that callers get the outcome "not run" when all targets are down.
TARGET_CONNECT_LIMIT_S = 5.0
RELEASE_TIMEOUT_S = 3.0


@dataclasses.dataclass(slots=True)
class Entry:
    """The components and the lifecycle state of one entry process.

    Attributes:
      listed: Whether the platform's instance list has been read.
      opened: Whether the process stopped waiting for its first connection to
        a target: one was open, there was no target, or the time limit passed.
      ready: Whether requests are served; false again while draining.
      draining: Whether the shutdown has started.
      was_ready: Set when the process was ready for the first time.
      closing: Set when the HTTP servers are to stop.
    """

    settings: settings_module.Settings
    identity: writers.Identity
    started_at: float
    configuration: configuration_module.Configuration
    config_position: readers.Position
    config_writer: writers.Writer
    keys_position: readers.Position
    keys_writer: writers.Writer
    key_table: keys.KeyTable
    membership: membership_module.Membership
    dispatcher: dispatcher_module.Dispatcher
    scheduler: scheduler_module.Scheduler
    peers: peers_module.Peers
    listed: bool = False
    opened: bool = False
    ready: bool = False
    draining: bool = False
    was_ready: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    closing: anyio.Event = dataclasses.field(default_factory=anyio.Event)


async def run_entry(
    settings: settings_module.Settings, received: signals.Receiver
) -> None:
    """Runs an entry process until SIGTERM or SIGINT, then drains it."""
    events.start_logging(settings)
    identity = writers.Identity(settings.id, time.time_ns() // 1_000_000)
    events.log_event(
        events.PROCESS_STARTED,
        process=settings.id,
        domain=settings.domain,
        incarnation=identity.incarnation,
    )
    async with (
        log.make_client(settings) as log_client,
        instances.make_client(settings) as list_client,
    ):
        entry = make_entry(settings, identity, log_client)
        async with anyio.create_task_group() as components:
            _start_components(components, entry, log_client, list_client)
            async with anyio.create_task_group() as servers:
                _start_servers(servers, entry)
                await _drain_on_signal(entry, received)
            components.cancel_scope.cancel()
    events.log_event(events.PROCESS_STOPPED, process=settings.id)


def make_entry(
    settings: settings_module.Settings,
    identity: writers.Identity,
    log_client: http_client.Client,
) -> Entry:
    """Creates and connects the components without running them."""
    configuration = configuration_module.Configuration(settings)
    membership = membership_module.Membership(settings, identity)
    config_writer, keys_writer = (
        writers.Writer(settings, log_client, identity, stream)
        for stream in (records.CONFIG_STREAM, records.KEYS_STREAM)
    )
    key_table = keys.KeyTable(settings, identity, keys_writer)

    async def forward(
        member: membership_module.Member,
        request: dispatcher_module.Request,
        deadline_s: float,
    ) -> outcomes.Answer:
        return await _forward_request(entry.peers, member, request, deadline_s)

    async def run_request(
        message: messages_pb2.ForwardedRequest,
    ) -> messages_pb2.ForwardedOutcome:
        return await _run_forwarded_request(entry.dispatcher, message)

    async def fetch_task(
        query: messages_pb2.TaskQuery,
    ) -> messages_pb2.TaskStatus:
        return await _answer_task_query(entry.scheduler, query)

    handlers = peers_module.Handlers(
        lambda now, with_heard: _make_heartbeat(entry, now, with_heard),
        lambda request: _make_configuration_state(entry, request),
        fetch_task,
        run_request,
    )
    entry = Entry(
        settings=settings,
        identity=identity,
        started_at=anyio.current_time(),
        configuration=configuration,
        config_position=readers.Position(records.CONFIG_STREAM),
        config_writer=config_writer,
        keys_position=readers.Position(records.KEYS_STREAM),
        keys_writer=keys_writer,
        key_table=key_table,
        membership=membership,
        dispatcher=dispatcher_module.Dispatcher(
            settings, configuration, membership, key_table, forward
        ),
        scheduler=scheduler_module.Scheduler(
            settings, configuration, membership, log_client, identity
        ),
        peers=peers_module.Peers(settings, membership, handlers),
    )
    return entry


def is_ready(entry: Entry, now: float) -> bool:
    """Returns whether the process can be sent requests.

    It is ready if it knows the configuration and its targets, is not draining,
    and was connected to a target, unless there is none or connecting has taken
    longer than `TARGET_CONNECT_LIMIT_S`.
    """
    if entry.draining or not entry.listed:
        return False
    if not entry.configuration.ready or entry.config_position.unreadable:
        return False
    fleet = entry.dispatcher.fleet
    entry.opened = (
        entry.opened
        or not fleet.targets
        or fleet.open_slots > 0
        or now - entry.started_at > TARGET_CONNECT_LIMIT_S
    )
    return entry.opened


async def drain_entry(entry: Entry) -> None:
    """Shuts the process down after its requests in flight have finished.

    It waits for them up to `drain.limit_s`, and releases its claims meanwhile.
    """
    drain = entry.settings.drain
    started_at = anyio.current_time()
    entry.draining, entry.ready = True, False
    events.log_event(events.DRAIN_STARTED, process=entry.settings.id)
    entry.peers.announce()
    # Requests still arrive, and are served, until the balancer has noticed.
    await anyio.sleep(drain.notice_s)
    entry.dispatcher.start_drain()
    finished = False
    async with anyio.create_task_group() as group:
        # Released concurrently: shards need not wait for the longest request.
        group.start_soon(_release_claims, entry)
        with anyio.move_on_after(drain.limit_s):
            await entry.dispatcher.wait_drained()
            while entry.peers.forwarded_in_flight:
                await anyio.sleep(0.02)
            finished = True
    with anyio.move_on_after(RELEASE_TIMEOUT_S):
        while entry.key_table.count_unrecorded():
            await anyio.sleep(0.02)
    entry.closing.set()
    events.log_event(
        events.DRAIN_ENDED,
        process=entry.settings.id,
        seconds=round(anyio.current_time() - started_at, 3),
        finished=finished,
        unrecorded_keys=entry.key_table.count_unrecorded(),
    )


def dump_state(entry: Entry, now: float) -> dict[str, Any]:
    """Returns the state of every component: JSON-compatible, bounded size."""
    return {
        "process": {
            "id": entry.settings.id,
            "domain": entry.settings.domain,
            "incarnation": entry.identity.incarnation,
            "uptime_s": round(now - entry.started_at, 3),
            "ready": entry.ready,
            "draining": entry.draining,
            "listed": entry.listed,
        },
        "streams": [
            position.dump_state(now)
            for position in (entry.config_position, entry.keys_position)
        ],
        "writers": [
            writer.dump_state(now)
            for writer in (entry.config_writer, entry.keys_writer)
        ],
        "configuration": entry.configuration.dump_state(now),
        "membership": entry.membership.dump_state(now),
        "peers": entry.peers.dump_state(now),
        "keys": entry.key_table.dump_state(now),
        "dispatcher": entry.dispatcher.dump_state(now),
        "scheduler": entry.scheduler.dump_state(now),
    }


def _start_components(
    group: anyio.abc.TaskGroup,
    entry: Entry,
    log_client: http_client.Client,
    list_client: http_client.Client,
) -> None:
    settings, configuration = entry.settings, entry.configuration
    for component in (
        entry.config_writer,
        entry.keys_writer,
        entry.key_table,
        entry.dispatcher,
        entry.peers,
    ):
        group.start_soon(component.run)
    for position, kind, apply in (
        (
            entry.config_position,
            records.ConfigRecord,
            configuration.apply_records,
        ),
        (
            entry.keys_position,
            records.KeyRecord,
            entry.key_table.apply_records,
        ),
    ):
        group.start_soon(
            readers.follow_stream, settings, log_client, position, kind, apply
        )
    group.start_soon(
        configuration_module.write_snapshots,
        configuration,
        entry.config_writer,
        lambda: _is_snapshot_writer(entry, anyio.current_time()),
    )
    group.start_soon(_run_scheduler, entry)
    group.start_soon(_poll_instances, entry, list_client)
    group.start_soon(_review_entry, entry)
    group.start_soon(_update_metrics, entry)


def _start_servers(group: anyio.abc.TaskGroup, entry: Entry) -> None:
    settings = entry.settings
    handle_callers = callers.make_handler(
        settings,
        entry.dispatcher.handle_request,
        callers.TaskCallbacks(
            entry.scheduler.submit_task,
            entry.scheduler.find_task,
            entry.scheduler.cancel_task,
        ),
        lambda: entry.ready,
    )
    handle_operators = operators.make_handler(
        settings,
        entry.configuration,
        entry.config_writer.append,
        lambda: _list_versions(entry, anyio.current_time()),
        lambda: dump_state(entry, anyio.current_time()),
    )
    for handle, address, limit_bytes in (
        (
            handle_callers,
            settings.listen.callers,
            settings.requests.body_limit_bytes,
        ),
        (
            handle_operators,
            settings.listen.operators,
            settings.operators.body_limit_bytes,
        ),
    ):
        group.start_soon(
            asgi.serve_application,
            asgi.make_application(handle, limit_bytes),
            [address],
            entry.closing.wait,
            settings.drain.limit_s,
        )


async def _drain_on_signal(entry: Entry, received: signals.Receiver) -> None:
    """Waits for SIGTERM or SIGINT, and drains the process."""

    async def drain() -> None:
        await drain_entry(entry)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(
            drains.follow_signals, received, entry.settings.id, drain
        )


async def _review_entry(entry: Entry) -> None:
    """Updates `ready`, and fetches the configuration if the log is behind."""
    behind_since: float | None = None
    while True:
        now = anyio.current_time()
        _update_ready(entry, now)
        newest = _find_newer_peer(entry, now)
        if newest is None:
            behind_since = None
        elif behind_since is None:
            behind_since = now
        elif now - behind_since >= PEER_FETCH_DELAY_S:
            await _fetch_configuration(entry, newest)
        # Checks more often until the process is ready: callers wait for it.
        await anyio.sleep(
            REVIEW_INTERVAL_S if entry.ready else REVIEW_INTERVAL_S / 10
        )


def _update_ready(entry: Entry, now: float) -> None:
    """Updates `ready`; announces a change to the peers and logs it."""
    ready = is_ready(entry, now)
    if ready:
        entry.was_ready.set()
    if ready == entry.ready:
        return
    entry.ready = ready
    entry.peers.announce()
    events.log_event(
        events.PROCESS_READY if ready else events.PROCESS_NOT_READY,
        process=entry.settings.id,
        uptime_s=round(now - entry.started_at, 3),
        config_version=entry.configuration.version,
    )


async def _poll_instances(entry: Entry, client: http_client.Client) -> None:
    """Polls the platform's instance list; keeps the last one on failure."""
    failing = False
    while True:
        reply = await instances.fetch_instances(client, entry.settings.domain)
        if reply.is_ok():
            now = anyio.current_time()
            entry.dispatcher.update_targets(reply.ok_value, now)
            entry.scheduler.update_workers(reply.ok_value, now)
            entry.listed = True
        if reply.is_err() != failing:
            failing = reply.is_err()
            events.log_event(
                events.LIST_FAILING if failing else events.LIST_RECOVERED,
                detail=reply.err_value.detail if failing else "",
            )
        poll_s = entry.settings.platform.poll_s
        await anyio.sleep(poll_s * random.uniform(0.9, 1.1))


async def _run_scheduler(entry: Entry) -> None:
    """Runs the scheduler once the process knows its classes and workers."""
    await entry.was_ready.wait()
    await entry.scheduler.run()


async def _release_claims(entry: Entry) -> None:
    with anyio.move_on_after(RELEASE_TIMEOUT_S) as scope:
        await entry.scheduler.release_claims()
    if scope.cancelled_caught:
        events.log_event(events.RELEASE_FAILED, process=entry.settings.id)


def _find_newer_peer(
    entry: Entry, now: float
) -> membership_module.Member | None:
    """Returns a peer with a newer configuration than this process, if any.

    Any heard peer qualifies while this process has no configuration or cannot
    read the config stream.
    """
    newest = entry.membership.find_newest_configuration(now)
    if newest is None:
        return None
    member, version = newest
    configuration = entry.configuration
    lacking = not configuration.ready or entry.config_position.unreadable
    return member if lacking or version > configuration.version else None


async def _fetch_configuration(
    entry: Entry, member: membership_module.Member
) -> None:
    configuration, position = entry.configuration, entry.config_position
    lacking = not configuration.ready or position.unreadable
    reply = await entry.peers.fetch_configuration(
        member, 0 if lacking else configuration.version
    )
    if reply.is_err() or not reply.ok_value.snapshot:
        return
    try:
        snapshot = msgspec.json.decode(
            reply.ok_value.snapshot, type=records.ConfigSnapshot
        )
    except msgspec.MsgspecError as error:
        events.log_event(
            events.CONFIG_FETCH_INVALID, member=member.id, detail=str(error)
        )
        return
    if configuration.load_snapshot(snapshot):
        events.log_event(
            events.CONFIG_FETCHED,
            member=member.id,
            version=configuration.version,
            through_offset=configuration.through_offset,
        )
    position.advance_to(configuration.through_offset + 1)


async def _update_metrics(entry: Entry) -> None:
    while True:
        now = anyio.current_time()
        metrics.CONFIG_VERSION.set(entry.configuration.version)
        for state, count in entry.membership.count_states(now).items():
            metrics.MEMBERS.labels(state).set(count)
        for position in (entry.config_position, entry.keys_position):
            caught_up_at = max(position.caught_up_at, entry.started_at)
            metrics.LOG_LAG.labels(position.stream).set(now - caught_up_at)
        await anyio.sleep(METRICS_INTERVAL_S)


def _list_versions(entry: Entry, now: float) -> list[operators.ProcessVersion]:
    own = operators.ProcessVersion(
        entry.settings.id,
        entry.settings.domain,
        entry.configuration.version,
        entry.ready,
        0.0,
    )
    others = [
        operators.ProcessVersion(
            report.member.id,
            report.member.domain,
            report.config_version,
            report.ready,
            round(report.silent_s, 3),
        )
        for report in entry.membership.list_reports(now)
    ]
    return sorted([own, *others], key=lambda process: process.id)


def _make_heartbeat(
    entry: Entry, now: float, with_heard: bool
) -> messages_pb2.Heartbeat:
    return entry.membership.make_heartbeat(
        now,
        ready=entry.ready,
        draining=entry.draining,
        config_version=entry.configuration.version,
        load=entry.dispatcher.list_load(now),
        with_heard=with_heard,
    )


def _make_configuration_state(
    entry: Entry, request: messages_pb2.FetchRequest
) -> messages_pb2.ConfigurationState:
    """Creates the answer to a peer's configuration fetch.

    It contains a snapshot only if this process knows the configuration and its
    version is above the requested one; 0 requests any version.
    """
    configuration = entry.configuration
    state = messages_pb2.ConfigurationState(
        version=configuration.version,
        through_offset=configuration.through_offset,
    )
    above = request.above_version
    if configuration.ready and (not above or configuration.version > above):
        state.snapshot = msgspec.json.encode(configuration.make_snapshot())
    return state


def _is_snapshot_writer(entry: Entry, now: float) -> bool:
    """Returns whether this process writes the configuration snapshots.

    The writer is picked among the live members by rendezvous hashing.
    """
    if not entry.ready:
        return False
    live = entry.membership.list_live(None, now)
    ids = [member.id for member in live]
    return rendezvous.pick_member(ids, records.CONFIG_STREAM) == (
        entry.settings.id
    )


async def _answer_task_query(
    scheduler: scheduler_module.Scheduler, query: messages_pb2.TaskQuery
) -> messages_pb2.TaskStatus:
    found = await scheduler.find_task(query.task)
    if found is None:
        return messages_pb2.TaskStatus()
    return messages_pb2.TaskStatus(owned=True, task=msgspec.json.encode(found))


async def _forward_request(
    peers: peers_module.Peers,
    member: membership_module.Member,
    request: dispatcher_module.Request,
    deadline_s: float,
) -> outcomes.Answer:
    message = messages_pb2.ForwardedRequest(
        service_class=request.service_class,
        request_id=request.request_id,
        deadline_ms=max(1, round(deadline_s * 1000)),
        body=request.body,
    )
    reply = await peers.forward_request(member, message)
    if reply.is_ok():
        return peers_module.decode_answer(reply.ok_value)
    unreached = reply.err_value.failure is outcomes.CallFailure.UNREACHED
    return outcomes.Answer(
        outcomes.RequestOutcome.NOT_RUN
        if unreached
        else outcomes.RequestOutcome.UNKNOWN,
        reason="peer_unreached" if unreached else "peer_lost",
        detail="the process of another domain did not answer",
        attempts=0 if unreached else 1,
    )


async def _run_forwarded_request(
    dispatcher: dispatcher_module.Dispatcher,
    message: messages_pb2.ForwardedRequest,
) -> messages_pb2.ForwardedOutcome:
    answer = await dispatcher.handle_request(
        dispatcher_module.Request(
            message.service_class,
            message.request_id,
            message.body,
            message.deadline_ms / 1000,
            forwarded=True,
        ),
        anyio.current_time(),
    )
    return peers_module.encode_answer(answer)
