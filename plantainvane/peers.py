"""Connections between entry processes: a gRPC server and one task per peer.

The task of a peer keeps one `Exchange` stream open. Each heartbeat is answered
with a heartbeat, so a missing answer shows that the connection is dead. Of two
processes that hear each other, only the one with the lower id keeps a stream,
which halves the traffic; the other one opens a stream when it stops receiving
heartbeats.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import random
import socket
from typing import Any

import anyio
import anyio.abc
import grpclib.client
import grpclib.exceptions
import grpclib.server
import result

from plantainvane import boundaries
from plantainvane import events
from plantainvane import membership as membership_module
from plantainvane import messages_grpc
from plantainvane import messages_pb2
from plantainvane import outcomes
from plantainvane import rpc_servers
from plantainvane import settings as settings_module

BACKOFF_BASE_S = 0.1
REVIEW_INTERVAL_S = 0.5
# The kernel closes a connection whose peer is unreachable after 10 + 3 * 5 s;
# without keepalive, a partition would leave it open for hours.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_COUNT = 3

_CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


@dataclasses.dataclass(slots=True)
class Handlers:
    """Callbacks that handle the calls of peers.

    Attributes:
      make_heartbeat: (now, whether to list the heard members) -> heartbeat.
      fetch_configuration: Returns a snapshot if the configuration is newer than
        the requested version, otherwise only the version.
      fetch_task: Returns a task of a shard that this process owns.
      run_request: Runs a forwarded request without forwarding it again.
    """

    make_heartbeat: Callable[[float, bool], messages_pb2.Heartbeat]
    fetch_configuration: Callable[
        [messages_pb2.FetchRequest], messages_pb2.ConfigurationState
    ]
    fetch_task: Callable[
        [messages_pb2.TaskQuery], Awaitable[messages_pb2.TaskStatus]
    ]
    run_request: Callable[
        [messages_pb2.ForwardedRequest],
        Awaitable[messages_pb2.ForwardedOutcome],
    ]


@dataclasses.dataclass(slots=True)
class _HeartbeatLink:
    """The heartbeat task of one peer.

    Attributes:
      member: The peer.
      scope: Cancel scope that ends the task.
      channel: Channel of the stream while it works; otherwise None.
      failures: Consecutive failures of the stream.
      failing_since: Time of the first of these failures, if any.
    """

    member: membership_module.Member
    scope: anyio.CancelScope
    channel: grpclib.client.Channel | None = None
    failures: int = 0
    failing_since: float | None = None


@dataclasses.dataclass(slots=True)
class _CallConnection:
    """A connection for unary calls to one peer.

    Attributes:
      channel: The channel of the connection.
      calls: Number of calls in flight.
      retired: Whether the connection is closed after its last call in flight
        and not used for new ones.
    """

    channel: grpclib.client.Channel
    calls: int = 0
    retired: bool = False


class Peers:
    """Serves peers and exchanges heartbeats with each of them.

    Attributes:
      forwarded_in_flight: Number of running requests forwarded by peers.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        membership: membership_module.Membership,
        handlers: Handlers,
    ):
        self._settings = settings
        self._membership = membership
        self._handlers = handlers
        self._links: dict[str, _HeartbeatLink] = {}
        # Connections for unary calls by peer id, kept open between calls.
        self._call_connections: dict[str, _CallConnection] = {}
        # When each peer last sent a heartbeat on a stream that it opened.
        self._inbound_heartbeat_at: dict[str, float] = {}
        self._announcement = anyio.Event()
        self._announced_at = float("-inf")
        self.forwarded_in_flight = 0

    async def run(self) -> None:
        """Serves peers and connects to them until cancelled."""
        server = rpc_servers.Server([_Service(self)])
        await server.start(sock=_bind_listener(self._settings.listen.peers))
        try:
            async with anyio.create_task_group() as group:
                while True:
                    now = anyio.current_time()
                    self._membership.review_members(now)
                    self._update_links(group, now)
                    with anyio.move_on_after(REVIEW_INTERVAL_S):
                        await self._announcement.wait()
        finally:
            server.close()
            for connection in self._call_connections.values():
                connection.channel.close()

    def announce(self) -> None:
        """Sends a heartbeat to every peer immediately."""
        self._announced_at = anyio.current_time()
        self._announcement.set()
        self._announcement = anyio.Event()

    def apply_heartbeat(self, heartbeat: messages_pb2.Heartbeat) -> None:
        """Applies a heartbeat received on a stream that its sender opened."""
        now = anyio.current_time()
        self._inbound_heartbeat_at[heartbeat.sender.id] = now
        self._membership.apply_heartbeat(heartbeat, now)

    def make_heartbeat(self, with_heard: bool) -> messages_pb2.Heartbeat:
        """Creates the next heartbeat of this process."""
        return self._handlers.make_heartbeat(anyio.current_time(), with_heard)

    async def fetch_configuration(
        self, member: membership_module.Member, above_version: int
    ) -> result.Result[messages_pb2.ConfigurationState, outcomes.CallError]:
        """Fetches the configuration of a peer if it is above a version.

        Always opens a new connection: an open one may be dead, and detecting
        that would take most of the 5 s within which a change must take effect.
        """
        if (connection := self._call_connections.get(member.id)) is not None:
            self._retire_connection(connection, member.id)
        request = messages_pb2.FetchRequest(above_version=above_version)
        return await self._call(
            member,
            lambda stub: stub.FetchConfiguration,
            request,
            self._settings.log.call_timeout_s,
        )

    async def fetch_task(
        self, member: membership_module.Member, task: str
    ) -> result.Result[messages_pb2.TaskStatus, outcomes.CallError]:
        """Fetches a task from the owner of its shard."""
        return await self._call(
            member,
            lambda stub: stub.FetchTask,
            messages_pb2.TaskQuery(task=task),
            self._settings.tasks.call_timeout_s,
        )

    async def forward_request(
        self,
        member: membership_module.Member,
        request: messages_pb2.ForwardedRequest,
    ) -> result.Result[messages_pb2.ForwardedOutcome, outcomes.CallError]:
        """Forwards a request to a peer, with the request's deadline as timeout.

        Returns:
          Err UNREACHED if no byte was sent; Err LOST if the peer may have run
          the request.
        """
        return await self._call(
            member,
            lambda stub: stub.ForwardRequest,
            request,
            request.deadline_ms / 1000,
        )

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of the connections as JSON-compatible values."""
        return {
            "forwarded_in_flight": self.forwarded_in_flight,
            "links": {
                id: {
                    "address": link.member.peer_address,
                    "connected": link.channel is not None,
                    "failures": link.failures,
                    "failing_s": None
                    if link.failing_since is None
                    else round(now - link.failing_since, 3),
                }
                for id, link in sorted(self._links.items())
            },
        }

    def _update_links(self, group: anyio.abc.TaskGroup, now: float) -> None:
        """Starts and cancels heartbeat tasks to match the wanted peers.

        Also retires the connections of members that were dropped.
        """
        wanted = {
            peer.id: peer
            for peer in self._membership.list_peers(now)
            if not self._has_inbound_stream(peer, now)
        }
        for id, link in list(self._links.items()):
            peer = wanted.get(id)
            if peer is None or peer.peer_address != link.member.peer_address:
                link.scope.cancel()
                del self._links[id]
        for id, peer in wanted.items():
            if id not in self._links:
                link = _HeartbeatLink(peer, anyio.CancelScope())
                self._links[id] = link
                group.start_soon(self._maintain_link, link)

        for id in list(self._call_connections):
            if self._membership.find_member(id) is None:
                self._retire_connection(self._call_connections[id], id)
        for id in list(self._inbound_heartbeat_at):
            if self._membership.find_member(id) is None:
                del self._inbound_heartbeat_at[id]

    def _has_inbound_stream(
        self, peer: membership_module.Member, now: float
    ) -> bool:
        """Returns whether the peer keeps a working stream to this process."""
        interval = self._membership.get_interval(peer.domain)
        if peer.id > self._settings.id:
            return False
        if now - self._announced_at < 2 * interval:
            return False
        # One and a half intervals: tolerates a late heartbeat, yet leaves time
        # to open a stream of our own before the peer is suspected.
        return (
            now - self._inbound_heartbeat_at.get(peer.id, -1e9)
            <= 1.5 * interval
        )

    async def _maintain_link(self, link: _HeartbeatLink) -> None:
        with link.scope:
            while True:
                ended = await _run_isolated(self._exchange_heartbeats, link)
                if ended.is_err():
                    self._report_failure(link, ended.err_value)
                await anyio.sleep(self._choose_backoff(link))

    async def _exchange_heartbeats(self, link: _HeartbeatLink) -> None:
        """Exchanges heartbeats until the stream ends, fails or times out."""
        interval = self._membership.get_interval(link.member.domain)
        async with self._open_channel(link) as channel:
            stub = messages_grpc.PeerStub(channel)
            async with stub.Exchange.open() as stream:
                first = True
                while True:
                    heartbeat = self.make_heartbeat(first)
                    # Shorter than the suspicion timeout, so that a dead
                    # connection is replaced before its peer is suspected.
                    with anyio.fail_after(interval):
                        await stream.send_message(heartbeat)
                        reply = await stream.recv_message()
                    if reply is None:
                        return
                    self._membership.apply_heartbeat(
                        reply, anyio.current_time()
                    )
                    link.channel, link.failures = channel, 0
                    link.failing_since = None
                    first = False
                    with anyio.move_on_after(
                        interval * _draw_uniform(0.9, 1.0)
                    ):
                        await self._announcement.wait()

    async def _connect(
        self, member: membership_module.Member
    ) -> grpclib.client.Channel:
        host, port = settings_module.split_address(member.peer_address)
        channel = grpclib.client.Channel(host, port)
        try:
            with anyio.fail_after(self._settings.membership.connect_timeout_s):
                await channel.__connect__()
        except BaseException:
            # Also on cancellation, or the channel would keep its socket open.
            channel.close()
            raise
        return channel

    @contextlib.asynccontextmanager
    async def _open_channel(
        self, link: _HeartbeatLink
    ) -> AsyncIterator[grpclib.client.Channel]:
        """Connects to a peer and closes the channel on exit."""
        channel = await self._connect(link.member)
        try:
            yield channel
        finally:
            link.channel = None
            channel.close()

    async def _call(
        self,
        member: membership_module.Member,
        pick_method: Callable[[messages_grpc.PeerStub], Any],
        request: Any,
        timeout_s: float,
    ) -> result.Result[Any, outcomes.CallError]:
        """Makes a unary call on the open connection or on a new one.

        Returns:
          Err UNREACHED if the call failed before anything was sent; Err LOST if
          it failed afterwards.
        """
        sending = False

        async def work() -> Any:
            nonlocal sending
            connection = self._call_connections.get(member.id)
            if connection is None:
                connection = _CallConnection(await self._connect(member))
                # If another call has connected meanwhile, its connection is
                # kept and this one is closed after the call.
                connection.retired = (
                    self._call_connections.setdefault(member.id, connection)
                    is not connection
                )
            method = pick_method(messages_grpc.PeerStub(connection.channel))
            connection.calls += 1
            done = False
            try:
                sending = True
                reply = await method(request)
                done = True
                return reply
            finally:
                connection.calls -= 1
                if connection.retired or not done:
                    self._retire_connection(connection, member.id)

        reply = result.Err(TimeoutError(f"no reply within {timeout_s} s"))
        with anyio.move_on_after(timeout_s):
            reply = await _run_isolated(work)
        failure = outcomes.CallFailure
        return reply.map_err(
            lambda error: outcomes.CallError(
                failure.LOST if sending else failure.UNREACHED,
                f"{type(error).__name__}: {error}",
            )
        )

    def _retire_connection(self, connection: _CallConnection, id: str) -> None:
        """Excludes a connection from new calls; calls in flight continue."""
        connection.retired = True
        if self._call_connections.get(id) is connection:
            del self._call_connections[id]
        if not connection.calls:
            connection.channel.close()

    def _choose_backoff(self, link: _HeartbeatLink) -> float:
        """Returns the jittered delay before reconnecting, in seconds."""
        interval = self._membership.get_interval(link.member.domain)
        pause = min(BACKOFF_BASE_S * 2 ** min(link.failures, 10), interval)
        return pause * _draw_uniform(0.5, 1.0)

    def _report_failure(self, link: _HeartbeatLink, error: Exception) -> None:
        link.failures += 1
        if link.failures == 1:
            link.failing_since = anyio.current_time()
            events.log_event(
                events.PEER_FAILED,
                member=link.member.id,
                address=link.member.peer_address,
                error=f"{type(error).__name__}: {error}",
            )


class _Service(messages_grpc.PeerBase):
    """gRPC service; its method names come from messages.proto."""

    def __init__(self, peers: Peers):
        self._peers = peers

    async def Exchange(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Answers each heartbeat with one until the peer closes the stream."""
        first = True
        async for heartbeat in stream:
            self._peers.apply_heartbeat(heartbeat)
            await stream.send_message(self._peers.make_heartbeat(first))
            first = False

    async def FetchConfiguration(  # noqa: N802
        self, stream: grpclib.server.Stream
    ) -> None:
        """Answers with the current configuration."""
        request = await stream.recv_message()
        await stream.send_message(
            self._peers._handlers.fetch_configuration(request)
        )

    async def FetchTask(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Answers with a task of an owned shard."""
        query = await stream.recv_message()
        await stream.send_message(await self._peers._handlers.fetch_task(query))

    async def ForwardRequest(  # noqa: N802
        self, stream: grpclib.server.Stream
    ) -> None:
        """Runs a request that was received in another domain."""
        request = await stream.recv_message()
        self._peers.forwarded_in_flight += 1
        try:
            outcome = await self._peers._handlers.run_request(request)
            await stream.send_message(outcome)
        finally:
            self._peers.forwarded_in_flight -= 1


def encode_answer(answer: outcomes.Answer) -> messages_pb2.ForwardedOutcome:
    """Encodes the outcome of a forwarded request."""
    return messages_pb2.ForwardedOutcome(
        outcome=answer.outcome.value,
        body=answer.body,
        content_type=answer.content_type,
        reason=answer.reason,
        detail=answer.detail,
        retry_after_ms=round(answer.retry_after_s * 1000),
        attempts=answer.attempts,
    )


def decode_answer(message: messages_pb2.ForwardedOutcome) -> outcomes.Answer:
    """Decodes the outcome of a forwarded request.

    An outcome that this release does not define is decoded as UNKNOWN.
    """
    try:
        outcome = outcomes.RequestOutcome(message.outcome)
    except ValueError:
        outcome = outcomes.RequestOutcome.UNKNOWN
    return outcomes.Answer(
        outcome,
        body=message.body,
        content_type=message.content_type,
        reason=message.reason,
        detail=message.detail,
        retry_after_s=message.retry_after_ms / 1000,
        attempts=message.attempts,
    )


def _bind_listener(address: str) -> socket.socket:
    """Binds the listening socket with TCP keepalive.

    Accepted sockets inherit the keepalive options.
    """
    host, port = settings_module.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    ):
        listener.setsockopt(socket.IPPROTO_TCP, option, value)
    listener.setblocking(False)
    return listener


def _draw_uniform(low: float, high: float) -> float:
    return random.uniform(low, high)


async def _run_isolated(
    work: Callable[..., Awaitable[Any]], *args: Any
) -> result.Result[Any, Exception]:
    """Runs a grpclib call in an asyncio task of its own.

    grpclib aborts a broken call by cancelling the task that makes it. asyncio
    keeps counting that cancellation request, and an anyio cancel scope in a
    task with such a count lets its own cancellation escape to the task group,
    which then ends silently.
    """
    outcome: list[result.Result[Any, Exception]] = []

    async def run_work() -> None:
        try:
            outcome.append(result.Ok(await work(*args)))
        except _CALL_ERRORS as error:
            outcome.append(result.Err(error))
        except Exception as error:  # noqa: BLE001 - grpclib may raise any
            boundaries.take_error(error, anyio.current_time())
            outcome.append(result.Err(error))

    async with anyio.create_task_group() as group:
        group.start_soon(run_work)
    if not outcome:
        return result.Err(ConnectionError("cancelled by grpclib"))
    return outcome[0]
