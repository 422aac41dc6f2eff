"""Loopback proxy of one path, whose connections can be held up or broken."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import socket
import struct

import anyio
import anyio.abc

TO_TARGET, FROM_TARGET = 0, 1
_READ_BYTES = 65_536
# Linger of 0 s: closing resets the connection.
_RESET = struct.pack("ii", 1, 0)
# Descriptor of a closed socket.
_NO_DESCRIPTOR = -1
_Streams = tuple[anyio.abc.SocketStream, anyio.abc.SocketStream]


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """The two ends of a proxied connection; a silent one carries nothing."""

    streams: _Streams
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    silent: bool = False


@dataclasses.dataclass(slots=True)
class Link:
    """A path from `address` to `target`, both `ip:port`.

    Attributes:
      refuses: New connections are reset.
      opened: Set while the path carries bytes; they wait otherwise, as behind
        lost packets. One for the way to the target, one for that from it.
      on_request: Called with the bytes of a caller as they come in, which may
        be long before they are carried.
      gone: Number of connections that were reset after an end of theirs had
        gone by itself.
    """

    address: str
    target: str
    refuses: bool = False
    opened: list[anyio.Event] = dataclasses.field(
        default_factory=lambda: [anyio.Event(), anyio.Event()]
    )
    connections: set[_Connection] = dataclasses.field(default_factory=set)
    on_request: Callable[[bytes], None] = lambda data: None
    gone: int = 0

    def hold(self, ways: Iterable[int] = (TO_TARGET, FROM_TARGET)) -> None:
        """Holds up all bytes, or those of one way, until `release`."""
        for way in ways:
            if self.opened[way].is_set():
                self.opened[way] = anyio.Event()

    def release(self) -> None:
        """Carries bytes again, except those of silent connections."""
        for opened in self.opened:
            opened.set()

    def silence(self) -> None:
        """Lets the present connections carry nothing any more."""
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        """Resets the present connections at both ends."""
        for connection in self.connections:
            were_set = [_set_reset(stream) for stream in connection.streams]
            self.gone += not all(were_set)
            connection.scope.cancel()


def _set_reset(stream: anyio.abc.SocketStream) -> bool:
    """Lets a stream end by a reset; returns False if its socket is gone."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    # The socket closes once its peer is gone, before the stream is closed.
    if raw.fileno() == _NO_DESCRIPTOR:
        return False
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    return True


async def serve_link(link: Link) -> None:
    """Carries the connections of a link until it is cancelled."""
    host, _, port = link.address.rpartition(":")
    link.release()
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), backlog=256
    )

    async def handle(stream: anyio.abc.SocketStream) -> None:
        await _carry(link, stream)

    async with listener:
        await listener.serve(handle)


async def _carry(link: Link, stream: anyio.abc.SocketStream) -> None:
    async with stream:
        if link.refuses:
            _set_reset(stream)
            return
        host, _, port = link.target.rpartition(":")
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            _set_reset(stream)
            return
        async with target:
            connection = _Connection((stream, target))
            link.connections.add(connection)
            try:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(_pump, link, connection, TO_TARGET)
                        group.start_soon(_pump, link, connection, FROM_TARGET)
            finally:
                link.connections.discard(connection)


async def _pump(link: Link, connection: _Connection, way: int) -> None:
    """Carries bytes one way; the end of one ends both."""
    source, sink = connection.streams[:: 1 if way == TO_TARGET else -1]
    try:
        while True:
            data = await source.receive(_READ_BYTES)
            if way == TO_TARGET:
                link.on_request(data)
            if connection.silent:
                await anyio.sleep_forever()
            await link.opened[way].wait()
            await sink.send(data)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        # The peer hears of it by the end of the other stream.
        await link.opened[way].wait()
        if connection.silent:
            await anyio.sleep_forever()
        connection.scope.cancel()
