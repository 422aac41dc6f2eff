"""In-process fake runner whose replies a test writes as raw bytes."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

import anyio
import anyio.abc
import h11


@dataclasses.dataclass(slots=True)
class Seen:
    """A request as the runner received it, and where."""

    path: str
    request_id: str
    body: bytes
    stream: anyio.abc.SocketStream
    connection: int


@dataclasses.dataclass(slots=True)
class FakeRunner:
    """State of a runner.

    Attributes:
      answer: Handles a request; writes the reply to its stream.
      address: `ip:port` that it listens on.
      runs: Ids of the requests that it ran, as recorded by `answer`.
      requests: All requests received.
      connections: Number of connections accepted.
      health: Raw reply to GET /health; empty for a default one.
      silent: Numbers of the connections that never get a reply.
      running: Number of requests in progress.
      most_running: Highest value of `running`.
    """

    answer: Callable[["FakeRunner", Seen], Awaitable[None]]
    address: str = ""
    runs: list[str] = dataclasses.field(default_factory=list)
    requests: list[Seen] = dataclasses.field(default_factory=list)
    connections: int = 0
    health: bytes = b""
    silent: set[int] = dataclasses.field(default_factory=set)
    running: int = 0
    most_running: int = 0


@contextlib.asynccontextmanager
async def serve_runner(
    answer: Callable[[FakeRunner, Seen], Awaitable[None]],
) -> AsyncIterator[FakeRunner]:
    """Serves a runner on a free port until the block ends."""
    runner = FakeRunner(answer)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    runner.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as group:

        async def handle(stream: anyio.abc.SocketStream) -> None:
            runner.connections += 1
            async with stream:
                await _serve_stream(runner, stream, runner.connections)

        group.start_soon(listener.serve, handle)
        try:
            yield runner
        finally:
            group.cancel_scope.cancel()


def make_reply(
    request_id: str,
    body: bytes,
    status: str = "200 OK",
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Encodes a reply; `extra` holds further header lines.

    `length` replaces the real length in the header Content-Length.
    """
    length = len(body) if length is None else length
    named = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status}\r\n{named}{extra}Content-Length: {length}\r\n"
    return head.encode() + b"\r\n" + body


async def echo(runner: FakeRunner, seen: Seen) -> None:
    """Runs the request and answers with its id and body."""
    runner.runs.append(seen.request_id)
    await seen.stream.send(make_reply(seen.request_id, make_answer(seen)))


async def refuse(runner: FakeRunner, seen: Seen) -> None:
    """Refuses the request before running it."""
    del runner
    reply = make_reply(
        seen.request_id, b"", "503 Unavailable", "Not-Run: 1\r\n"
    )
    await seen.stream.send(reply)


def make_answer(seen: Seen) -> bytes:
    """Returns the answer of `echo`, which contains the body of the request."""
    return b"answer to " + seen.body


async def _serve_stream(
    runner: FakeRunner, stream: anyio.abc.SocketStream, number: int
) -> None:
    protocol = h11.Connection(h11.SERVER)
    request: h11.Request | None = None
    body = b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            try:
                protocol.receive_data(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            except anyio.ClosedResourceError:
                return
        elif isinstance(event, h11.Request):
            request, body = event, b""
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            try:
                await _answer(runner, stream, number, request, body)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            # The replies are written as raw bytes, bypassing the protocol
            # state, so the next request needs a new state machine.
            protocol = h11.Connection(h11.SERVER)
        else:
            return


async def _answer(
    runner: FakeRunner,
    stream: anyio.abc.SocketStream,
    number: int,
    request: h11.Request,
    body: bytes,
) -> None:
    path = request.target.decode()
    if number in runner.silent:
        await anyio.sleep_forever()
    if path == "/health":
        await stream.send(runner.health or make_reply("", b"{}"))
        return
    headers = dict(request.headers)
    identity = headers[b"request-id"].decode()
    seen = Seen(path, identity, body, stream, number)
    runner.requests.append(seen)
    runner.running += 1
    runner.most_running = max(runner.most_running, runner.running)
    try:
        await runner.answer(runner, seen)
    finally:
        runner.running -= 1
