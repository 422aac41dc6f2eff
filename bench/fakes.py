"""Fakes shared by the measurements of this package."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

import anyio
import anyio.abc

from plantainvane import documents
from plantainvane import instances
from plantainvane import settings as settings_module


def make_settings(**changes: Any) -> settings_module.Settings:
    """Makes settings of process `e1` in domain `d1`.

    `slot_settle_s` and `sweep_s` are short so that a measurement starts soon;
    `changes` override fields of the request settings.
    """
    fields: dict[str, Any] = {"slot_settle_s": 0.001, "sweep_s": 0.02}
    return settings_module.Settings(
        id="e1",
        domain="d1",
        domains=("d1",),
        listen=settings_module.Listen(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
        ),
        platform=settings_module.Platform("127.0.0.1:4", "127.0.0.1:5"),
        requests=settings_module.Requests(**(fields | changes)),
    )


def make_service_class(name: str, **changes: Any) -> documents.ServiceClass:
    """Makes a service class, by default urgent with a deadline of 10 s."""
    fields: dict[str, Any] = {
        "priority": documents.Priority.URGENT,
        "deadline_ms": 10_000,
    }
    return documents.ServiceClass(name=name, **(fields | changes))


def make_runner(
    id_: str, address: str, classes: tuple[str, ...]
) -> instances.Instance:
    """Makes a runner as the instance list describes it."""
    return instances.Instance(
        id=id_,
        kind=instances.InstanceKind.RUNNER,
        domain="d1",
        rack="r1",
        address=address,
        classes=classes,
    )


def find_quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which `fraction` (0 to 1) of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


class Configuration:
    """Configuration with a fixed set of service classes."""

    def __init__(self, *classes: documents.ServiceClass):
        self._classes = {item.name: item for item in classes}

    def find_service_class(self, name: str) -> documents.ServiceClass | None:
        """Returns the class of this name, None if there is none."""
        return self._classes.get(name)

    def find_limits(self) -> None:
        """Returns None: no limits are published, so the settings apply."""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A live entry process in the membership view."""

    id: str


class Membership:
    """Membership whose only live member is this process."""

    def list_live(self, domain: str | None, now: float) -> list[Member]:
        """Returns this process only."""
        del domain, now
        return [Member("e1")]

    def pick_spillover_member(self, service_class: str, now: float) -> None:
        """Returns None: no other domain accepts spillover."""


@dataclasses.dataclass(slots=True)
class Runner:
    """A runner in this process; a request body is its run time in seconds.

    Attributes:
      slots: Concurrent requests; further ones are refused as not run.
      address: Host and port on which it listens.
      ran_request_ids: Ids of the requests that it started, in order.
      running: Requests that run now.
      connections: Connections accepted so far.
      slow_factor: Multiplies run times.
      is_silent: Whether the connection of this number never answers.
      cancel_scope: Scope of the listener and its connections.
    """

    slots: int = 8
    address: str = ""
    ran_request_ids: list[str] = dataclasses.field(default_factory=list)
    running: int = 0
    connections: int = 0
    slow_factor: float = 1.0
    is_silent: Callable[[int], bool] = lambda number: False
    cancel_scope: anyio.CancelScope | None = None

    def stop(self) -> None:
        """Closes all connections and refuses new ones from now on."""
        self.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serve_runners(count: int) -> AsyncIterator[list[Runner]]:
    """Serves `count` runners on free loopback ports until the block ends."""
    runners = [Runner() for _ in range(count)]
    async with anyio.create_task_group() as group:
        for runner in runners:
            await group.start(_serve_runner, runner)
        try:
            yield runners
        finally:
            group.cancel_scope.cancel()


async def _serve_runner(
    runner: Runner, *, task_status: anyio.abc.TaskStatus
) -> None:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    runner.address = f"127.0.0.1:{port}"
    task_status.started()

    async def handle(stream: anyio.abc.SocketStream) -> None:
        runner.connections += 1
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                await _serve_stream(runner, stream, runner.connections)

    async with listener, anyio.create_task_group() as group:
        runner.cancel_scope = group.cancel_scope
        await listener.serve(handle, group)


async def _serve_stream(
    runner: Runner, stream: anyio.abc.SocketStream, number: int
) -> None:
    """Answers the requests of one connection.

    Expects each request in one chunk, which is how `targets` sends it.
    """
    while True:
        data = await stream.receive()
        if runner.is_silent(number):
            await anyio.sleep_forever()
        head, _, body = data.partition(b"\r\n\r\n")
        if head.startswith(b"GET"):
            await stream.send(_encode_reply("200 OK", "", b"{}"))
            continue
        line = next(
            line for line in head.split(b"\r\n") if b"equest-" in line[:9]
        )
        request_id = line.partition(b": ")[2].decode()
        await stream.send(await _run_request(runner, request_id, body))


async def _run_request(runner: Runner, request_id: str, body: bytes) -> bytes:
    if runner.running >= runner.slots:
        return _encode_reply("503 Full", request_id, b"", "Not-Run: 1\r\n")
    runner.ran_request_ids.append(request_id)
    runner.running += 1
    try:
        await anyio.sleep(float(body) * runner.slow_factor)
    finally:
        runner.running -= 1
    return _encode_reply(
        "200 OK", request_id, b"answer to " + request_id.encode()
    )


def _encode_reply(
    status: str, request_id: str, body: bytes, extra: str = ""
) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
