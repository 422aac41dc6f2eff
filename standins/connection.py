"""HTTP/1.1 client connections for load generation, without pipelining.

Uses h11 directly on a socket, since a call costs a fraction of one of httpx;
otherwise the load generator could be the bottleneck of a measurement.
"""

import dataclasses

import anyio
import anyio.abc
import h11

READ_BYTES = 262_144


@dataclasses.dataclass(slots=True)
class Reply:
    """One complete reply; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class FailedExchange:
    """Result of an exchange that failed before the reply was complete.

    Attributes:
      sent: Whether any part of the request may have been sent.
      detail: Cause of the failure.
    """

    sent: bool
    detail: str


@dataclasses.dataclass(slots=True)
class Connection:
    """An open connection; it must not be used after a failed exchange."""

    address: str
    stream: anyio.abc.SocketStream
    http: h11.Connection


async def open_connection(
    address: str, timeout_s: float
) -> Connection | FailedExchange:
    """Connects to `ip:port`; returns `FailedExchange` if that fails."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as error:
        return FailedExchange(False, f"no connection: {error or 'timeout'}")
    return Connection(address, stream, h11.Connection(h11.CLIENT))


async def close_connection(connection: Connection) -> None:
    """Closes a connection immediately, without a graceful shutdown."""
    await anyio.aclose_forcefully(connection.stream)


async def exchange(
    connection: Connection,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Reply | FailedExchange:
    """Sends a request and reads the complete reply.

    Closes the connection if the exchange fails.
    """
    try:
        with anyio.fail_after(timeout_s):
            await _send(connection, method, path, headers, body)
            reply = await _read_reply(connection)
            if connection.http.their_state is h11.DONE:
                connection.http.start_next_cycle()
            return reply
    except TimeoutError:
        detail = f"no reply within {timeout_s} s"
    except (OSError, anyio.BrokenResourceError, anyio.EndOfStream) as error:
        detail = f"connection broke: {type(error).__name__}"
    except h11.ProtocolError as error:
        detail = f"incomplete reply: {error}"
    await close_connection(connection)
    return FailedExchange(True, detail)


def is_reusable(connection: Connection) -> bool:
    """Returns whether the connection can be used for another exchange."""
    return connection.http.our_state is h11.IDLE


async def _send(
    connection: Connection,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    fields = {
        "Host": connection.address,
        "Content-Length": str(len(body)),
        **headers,
    }
    http = connection.http
    request = h11.Request(
        method=method, target=path, headers=list(fields.items())
    )
    data = http.send(request) + http.send(h11.Data(data=body))
    await connection.stream.send(data + http.send(h11.EndOfMessage()))


async def _read_reply(connection: Connection) -> Reply:
    reply = Reply(0, {}, b"")
    parts: list[bytes] = []
    while True:
        event = connection.http.next_event()
        if event is h11.NEED_DATA:
            connection.http.receive_data(await _receive(connection))
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            reply.body = b"".join(parts)
            return reply
        elif isinstance(event, h11.ConnectionClosed):
            raise anyio.EndOfStream


async def _receive(connection: Connection) -> bytes:
    try:
        return await connection.stream.receive(READ_BYTES)
    except anyio.EndOfStream:
        return b""
