"""Runs the log stand-in within a test."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
from typing import Any

import anyio
import httpx
import msgspec

from plantainvane import log
from plantainvane import settings as settings_module
from standins import log_service
from standins import serving


@dataclasses.dataclass(slots=True)
class LogServer:
    """A running log stand-in and the settings of a process that uses it."""

    state: log_service.LogState
    settings: settings_module.Settings
    client: httpx.AsyncClient

    async def switch_faults(self, **fields: Any) -> None:
        """Sets the faults that the stand-in injects."""
        reply = await self.client.post("/faults", json=fields)
        reply.raise_for_status()


def make_settings(
    log_address: str, **log_fields: Any
) -> settings_module.Settings:
    """Makes settings of the process `entry-1` with short timeouts."""
    fields = {
        "linger_s": 0.002,
        "linger_max_s": 0.05,
        "call_timeout_s": 0.5,
        "poll_wait_s": 0.5,
        "append_settle_s": 0.05,
    }
    return settings_module.Settings(
        id="entry-1",
        domain="east",
        domains=("east",),
        listen=settings_module.Listen(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
        ),
        platform=settings_module.Platform(log_address, "127.0.0.1:4"),
        log=settings_module.Log(**(fields | log_fields)),
    )


@contextlib.asynccontextmanager
async def run_log(
    log_fields: dict[str, Any] | None = None, **service_fields: Any
) -> AsyncIterator[LogServer]:
    """Serves a new, empty log on a free port while the context is open."""
    address = serving.find_free_address()
    state = log_service.LogState(
        log_service.Settings(address, **service_fields)
    )
    settings = make_settings(address, **(log_fields or {}))
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(log_service.serve_state, state, address, stopped)
        async with log.make_client(settings) as client:
            await wait_listening(address)
            try:
                yield LogServer(state, settings, client)
            finally:
                stopped.set()


class ScriptedTransport(httpx.AsyncBaseTransport):
    """Calls the stand-in without a network and injects faults into appends.

    Each entry of `script` handles one append: it is called with the request
    and a function that forwards a request to the stand-in. Once the script is
    used up, appends are forwarded unchanged.
    """

    def __init__(self, state: log_service.LogState):
        self.script: list[Behaviour] = []
        self.fails_reads = False
        # Called once, after the next read and before its reply is returned.
        self.after_read: Callable[[], None] | None = None
        self._inner = httpx.ASGITransport(log_service.make_application(state))

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Handles one request."""
        forward = self._inner.handle_async_request
        if request.method == "POST" and self.script:
            return await self.script.pop(0)(request, forward)
        if request.method == "GET" and self.fails_reads:
            raise httpx.ConnectError("cut off", request=request)
        reply = await forward(request)
        if request.method == "GET" and self.after_read:
            action, self.after_read = self.after_read, None
            action()
        return reply


Forward = Callable[[httpx.Request], Awaitable[httpx.Response]]
Behaviour = Callable[[httpx.Request, Forward], Awaitable[httpx.Response]]


async def lose_reply(request: httpx.Request, forward: Forward) -> Any:
    """The append takes effect, but its reply is lost."""
    await forward(request)
    raise httpx.ReadError("reply lost", request=request)


async def lose_request(request: httpx.Request, forward: Forward) -> Any:
    """The append never takes effect, but the sender cannot tell."""
    raise httpx.ReadTimeout("request lost", request=request)


async def limit_rate(request: httpx.Request, forward: Forward) -> Any:
    """The append is refused by the rate limit."""
    return httpx.Response(429, request=request)


@dataclasses.dataclass(slots=True)
class LocalLog:
    """A log stand-in that is called without a network."""

    state: log_service.LogState
    settings: settings_module.Settings
    transport: ScriptedTransport
    client: httpx.AsyncClient

    def list_records(self, stream: str) -> list[dict[str, Any]]:
        """Returns the retained records of a stream as JSON objects."""
        page = self.state.read_page(stream, 0, 10**6, now=0.0)
        return [entry["record"] for entry in json.loads(page)["records"]]


def make_local_log(
    log_fields: dict[str, Any] | None = None, **service_fields: Any
) -> LocalLog:
    """Makes a new, empty log that is called without a network."""
    address = "127.0.0.1:9"
    state = log_service.LogState(
        log_service.Settings(address, **service_fields)
    )
    transport = ScriptedTransport(state)
    client = httpx.AsyncClient(
        base_url=f"http://{address}", transport=transport
    )
    settings = make_settings(address, **(log_fields or {}))
    return LocalLog(state, settings, transport, client)


def share_log(local: LocalLog, **fields: Any) -> LocalLog:
    """Makes the log access of another process with other settings.

    It uses the same stand-in as `local`.
    """
    settings = msgspec.structs.replace(local.settings, **fields)
    transport = ScriptedTransport(local.state)
    client = httpx.AsyncClient(
        base_url=local.client.base_url, transport=transport
    )
    return LocalLog(local.state, settings, transport, client)


async def wait_listening(*addresses: str) -> None:
    """Waits until every address accepts connections."""
    for address in addresses:
        host, port = settings_module.split_address(address)
        while True:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp(host, port)).aclose()
                break
            await anyio.sleep(0.002)
