"""Client of the runners; the only module that knows their interface.

It relies on these properties: a runner that refuses a request before running
it answers 503 with `Not-Run: 1`; every answer echoes `Request-Id`; every reply
has a `Content-Length`; `Leaving: 1` on any reply says that the runner takes no
new work.

Protocol, HTTP/1.1:
  POST /run/{class}  200 with Content-Length and the same Request-Id;
                     503 with Not-Run: 1 when it refused before running
  GET /health        any complete reply shows that the connection works

A connection belongs to one anyio task. After a timeout, a cancellation, a
framing error or a wrong id it is closed, because data that arrives on it later
belongs to no request that is still waited for.
"""

import dataclasses
import enum
import itertools
import select
import socket

import anyio
import anyio.abc
import h11
import result

from plantainvane import boundaries
from plantainvane import outcomes
from plantainvane import settings as settings_module

# The read size of asyncio itself; a smaller one would split its chunks.
_READ_BYTES = 262_144
_END_OF_MESSAGE = h11.EndOfMessage()  # Immutable; creating one costs 1.7 us.
_CONNECTION_IDS = itertools.count(1)
_LOST_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, OSError)
_CLOSED_ERRORS = (anyio.ClosedResourceError,)


class ReplyKind(enum.Enum):
    """What is known after an exchange.

    NOT_SENT: no byte of the request was sent.
    REFUSED: the target refused it before running.
    ANSWERED: the complete answer to this request was received.
    UNKNOWN: bytes were sent and none of the above is certain.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """Result of one exchange.

    Attributes:
      kind: What is known about the request.
      body: The complete answer when `kind` is ANSWERED, else empty.
      content_type: Media type of `body`.
      leaving: The target said that it is leaving.
      reason: Short machine-readable cause; empty when answered.
    """

    kind: ReplyKind
    body: bytes = b""
    content_type: str = "application/octet-stream"
    leaving: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One TCP connection to a runner.

    Attributes:
      id: Unique within the process.
      host: Value of the Host header, `ip:port`.
      poll: Polls the socket for unread data or a hang-up.
      sent: A byte of the current request may have been sent.
      usable: False once the connection must not carry another request.
    """

    id: int
    host: bytes
    stream: anyio.abc.SocketStream
    poll: select.poll
    protocol: h11.Connection
    sent: bool = False
    usable: bool = True


async def open_connection(
    settings: settings_module.Settings, address: str
) -> result.Result[Connection, outcomes.CallError]:
    """Connects to the runner at `address` (`ip:port`).

    Returns:
      The connection, or UNREACHED when it failed or timed out.
    """
    host, port = settings_module.split_address(address)
    try:
        with anyio.fail_after(settings.requests.connect_timeout_s):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        return _make_unreached_error(str(error) or type(error).__name__)
    except Exception as error:  # noqa: BLE001 - anyio may raise any
        return _make_unreached_error(
            boundaries.take_error(error, anyio.current_time())
        )
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    # Nagle's algorithm would delay a small request until a delayed ACK.
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    poll = select.poll()
    poll.register(raw_socket.fileno(), select.POLLIN)
    return result.Ok(
        Connection(
            id=next(_CONNECTION_IDS),
            host=address.encode(),
            stream=stream,
            poll=poll,
            protocol=h11.Connection(h11.CLIENT),
        )
    )


def _make_unreached_error(
    detail: str,
) -> result.Result[Connection, outcomes.CallError]:
    return result.Err(
        outcomes.CallError(outcomes.CallFailure.UNREACHED, detail)
    )


async def close_connection(connection: Connection) -> None:
    """Closes the connection, also within a cancelled scope."""
    connection.usable = False
    with anyio.CancelScope(shield=True):
        await connection.stream.aclose()


def is_stale(connection: Connection) -> bool:
    """Tells whether an idle connection was closed or has unexpected data.

    The stream does not read while it is idle, so the socket itself is polled.
    """
    return not connection.usable or bool(connection.poll.poll(0))


async def exchange(
    connection: Connection,
    target_path: bytes,
    request_id: str,
    body: bytes,
    timeout_s: float,
    answer_limit_bytes: int,
) -> Reply:
    """Sends one request and reads its reply.

    Args:
      connection: An idle connection; unusable afterwards unless a complete
        reply to this request was received.
      target_path: Encoded path, for example b"/run/preview".
      request_id: Sent as Request-Id; the reply must echo it.
      body: Body of the request.
      timeout_s: Limit for sending the request and receiving the whole reply.
      answer_limit_bytes: Longest reply body that is accepted.

    Raises:
      Only the cancellation of anyio; `connection.sent` then tells whether a
      byte may have been sent.
    """
    connection.sent = False
    if is_stale(connection):
        connection.usable = False
        return Reply(ReplyKind.NOT_SENT, reason="connection_closed")
    if timeout_s <= 0.0:
        return Reply(ReplyKind.NOT_SENT, reason="late")
    # Only a complete reply makes the connection usable again.
    connection.usable = False
    encoded_id = request_id.encode()
    data = _encode_request(connection, target_path, encoded_id, body)
    with anyio.move_on_after(timeout_s):
        connection.sent = True
        try:
            await connection.stream.send(data)
            return await _read_reply(connection, encoded_id, answer_limit_bytes)
        except _LOST_ERRORS as error:
            return _make_unknown(type(error).__name__)
        except _CLOSED_ERRORS:
            return _make_unknown("closed")
        except h11.RemoteProtocolError:
            return _make_unknown("framing")
        except Exception as error:  # noqa: BLE001 - a library may raise any
            boundaries.take_error(error, anyio.current_time())
            return _make_unknown("library_error")
    return _make_unknown("timeout")


async def probe(connection: Connection, timeout_s: float) -> Reply:
    """Requests the runner's health; any complete reply is ANSWERED."""
    connection.sent = False
    if is_stale(connection):
        connection.usable = False
        return Reply(ReplyKind.NOT_SENT, reason="connection_closed")
    connection.usable = False
    request = h11.Request(
        method="GET", target="/health", headers=[("Host", connection.host)]
    )
    protocol = connection.protocol
    data = protocol.send(request) + protocol.send(_END_OF_MESSAGE)
    with anyio.move_on_after(timeout_s):
        try:
            await connection.stream.send(data)
            head = await _next_event(connection)
            if not isinstance(head, h11.Response):
                return _make_unknown("framing")
            await _read_body(connection, 65536)
            _finish_cycle(connection)
            return Reply(
                ReplyKind.ANSWERED, leaving=_is_leaving(dict(head.headers))
            )
        except _LOST_ERRORS as error:
            return _make_unknown(type(error).__name__)
        except _CLOSED_ERRORS:
            return _make_unknown("closed")
        except h11.RemoteProtocolError:
            return _make_unknown("framing")
        except Exception as error:  # noqa: BLE001 - a library may raise any
            boundaries.take_error(error, anyio.current_time())
            return _make_unknown("library_error")
    return _make_unknown("timeout")


def make_cancelled_reply(connection: Connection) -> Reply:
    """Returns the reply that stands for a cancelled exchange."""
    if connection.sent:
        return _make_unknown("cancelled")
    return Reply(ReplyKind.NOT_SENT, reason="cancelled")


def _encode_request(
    connection: Connection, target_path: bytes, encoded_id: bytes, body: bytes
) -> bytes:
    protocol = connection.protocol
    request = h11.Request(
        method=b"POST",
        target=target_path,
        headers=[
            (b"Host", connection.host),
            (b"Request-Id", encoded_id),
            (b"Content-Length", b"%d" % len(body)),
        ],
    )
    head = protocol.send(request)
    content = protocol.send(h11.Data(data=body)) if body else b""
    return head + content + protocol.send(_END_OF_MESSAGE)


async def _read_reply(
    connection: Connection, encoded_id: bytes, limit: int
) -> Reply:
    head = await _next_event(connection)
    if not isinstance(head, h11.Response):
        return _make_unknown("framing")
    headers = dict(head.headers)
    leaving = _is_leaving(headers)
    refused = head.status_code == 503 and headers.get(b"not-run") == b"1"
    reply_id = headers.get(b"request-id")
    if reply_id != encoded_id and not (refused and reply_id is None):
        return _make_unknown("wrong_id", leaving)
    length = headers.get(b"content-length")
    if length is None:
        return _make_unknown("no_length", leaving)
    if int(length) > limit:
        return _make_unknown("answer_too_large", leaving)
    body = await _read_body(connection, limit)
    if len(body) != int(length):
        return _make_unknown("truncated", leaving)
    if refused and reply_id is None:
        # A late copy of a refusal without an id could be mistaken for the
        # refusal of the next request, so the connection is not reused.
        return Reply(ReplyKind.REFUSED, leaving=leaving, reason="refused")
    _finish_cycle(connection)
    if head.status_code == 200:
        content_type = headers.get(b"content-type", b"application/octet-stream")
        return Reply(
            ReplyKind.ANSWERED, body, content_type.decode("latin-1"), leaving
        )
    if refused:
        return Reply(ReplyKind.REFUSED, leaving=leaving, reason="refused")
    return _make_unknown(f"status_{head.status_code // 100}xx", leaving)


async def _read_body(connection: Connection, limit: int) -> bytes:
    parts: list[bytes] = []
    length = 0
    while True:
        event = await _next_event(connection)
        if not isinstance(event, h11.Data):
            return parts[0] if len(parts) == 1 else b"".join(parts)
        length += len(event.data)
        if length > limit:
            raise h11.RemoteProtocolError("the body exceeds the limit")
        parts.append(bytes(event.data))


async def _next_event(connection: Connection) -> object:
    protocol = connection.protocol
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            data = await connection.stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        protocol.receive_data(data)


def _finish_cycle(connection: Connection) -> None:
    """Makes the connection usable again if it is kept alive.

    Data after the reply leaves it unusable.
    """
    protocol = connection.protocol
    clean = not protocol.trailing_data[0]
    if clean and protocol.their_state is h11.DONE is protocol.our_state:
        protocol.start_next_cycle()
        connection.usable = True


def _is_leaving(headers: dict[bytes, bytes]) -> bool:
    return headers.get(b"leaving") == b"1"


def _make_unknown(reason: str, leaving: bool = False) -> Reply:
    return Reply(ReplyKind.UNKNOWN, leaving=leaving, reason=reason)
