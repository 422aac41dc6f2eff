"""Runs the log's stand-in within a test."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import socket
from typing import Any

import anyio
import httpx

from plantainvane import log
from plantainvane import settings as settings_module
from standins import log_service


@dataclasses.dataclass(slots=True)
class LogServer:
    """A running stand-in and the settings of a process that uses it."""

    state: log_service.LogState
    settings: settings_module.Settings
    client: httpx.AsyncClient

    async def switch_faults(self, **fields: Any) -> None:
        """Changes the faults that the stand-in shows."""
        reply = await self.client.post("/faults", json=fields)
        reply.raise_for_status()


def find_address() -> str:
    """Finds a free port on the loopback interface."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_settings(
    log_address: str, **log_fields: Any
) -> settings_module.Settings:
    """Makes settings of the process `entry-1` with short waits."""
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
    """Serves a new log on a free port until the block ends."""
    address = find_address()
    state = log_service.LogState(
        log_service.Settings(address, **service_fields)
    )
    settings = make_settings(address, **(log_fields or {}))
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(log_service.serve_state, state, address, stopped.wait)
        async with log.make_client(settings) as client:
            await _wait_ready(client)
            try:
                yield LogServer(state, settings, client)
            finally:
                stopped.set()


async def _wait_ready(client: httpx.AsyncClient) -> None:
    while True:
        with contextlib.suppress(httpx.HTTPError):
            await client.get("/faults")
            return
        await anyio.sleep(0.002)
