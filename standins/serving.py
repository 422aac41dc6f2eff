"""Runs stand-ins in a process of their own or inside a test."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import signal
import socket
import sys
from typing import Any

import anyio
import httpx
import msgspec

from plantainvane import asgi

# Short, so that requests left unanswered by a fault do not delay the shutdown.
GRACEFUL_TIMEOUT_S = 0.2
BODY_LIMIT_BYTES = 16_777_216
_END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def find_free_port(host: str = "127.0.0.1") -> int:
    """Returns a TCP port of `host` that is currently free."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def find_free_address(host: str = "127.0.0.1") -> str:
    """Returns an address `ip:port` that is currently free."""
    return f"{host}:{find_free_port(host)}"


def find_free_addresses(host: str, count: int) -> list[str]:
    """Returns `count` distinct free addresses `ip:port`.

    Separate calls of `find_free_address` may return the same address twice.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, 0))
        return [f"{host}:{probe.getsockname()[1]}" for probe in probes]


async def serve_until(
    application: asgi.Application, address: str, stop: anyio.Event
) -> None:
    """Serves `application` at `ip:port` until `stop` is set or cancelled."""
    ended = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_set_at_end, stop, ended)
        # The library fails when it is cancelled while connections are open.
        with anyio.CancelScope(shield=True):
            await asgi.serve_application(
                application, [address], ended.wait, GRACEFUL_TIMEOUT_S
            )
        group.cancel_scope.cancel()


async def _set_at_end(stop: anyio.Event, ended: anyio.Event) -> None:
    """Sets `ended` once `stop` is set or this task is cancelled."""
    try:
        await stop.wait()
    finally:
        ended.set()


async def wait_ready(address: str, timeout_s: float = 10.0) -> None:
    """Waits until `GET /health` at `ip:port` answers 200.

    Raises:
      TimeoutError: It did not answer 200 within `timeout_s`.
    """
    with anyio.fail_after(timeout_s):
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while not await _is_ready(client, address):
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def open_standin(
    serve: Callable[[Any, anyio.Event], Awaitable[None]], settings: Any
) -> AsyncIterator[str]:
    """Serves a stand-in inside this process; yields its address once ready."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serve, settings, stop)
        await wait_ready(settings.listen)
        yield settings.listen
        stop.set()


def load_settings(path: pathlib.Path, kind: Any) -> Any:
    """Decodes a JSON settings file into the struct type `kind`.

    Raises:
      msgspec.ValidationError: The file does not match `kind`.
    """
    return msgspec.json.decode(path.read_bytes(), type=kind)


def run_process(
    kind: Any, serve: Callable[[Any, anyio.Event], Awaitable[None]]
) -> None:
    """Runs `serve` with `--settings FILE` until SIGTERM or SIGINT."""
    if len(sys.argv) != 3 or sys.argv[1] != "--settings":
        sys.exit("usage: python -m standins.NAME --settings FILE")
    settings = load_settings(pathlib.Path(sys.argv[2]), kind)
    anyio.run(_serve_until_signal, settings, serve)


async def _serve_until_signal(
    settings: Any, serve: Callable[[Any, anyio.Event], Awaitable[None]]
) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serve, settings, stop)
        with anyio.open_signal_receiver(*_END_SIGNALS) as signals:
            async for _ in signals:
                stop.set()
                break


async def _is_ready(client: httpx.AsyncClient, address: str) -> bool:
    try:
        reply = await client.get(f"http://{address}/health")
    except httpx.HTTPError:
        return False
    return reply.status_code == 200
