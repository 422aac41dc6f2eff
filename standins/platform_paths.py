"""Paths from an entry process to runners and peers that a test can cut.

A call on a path that is cut takes its time limit and is not answered, like one
to an instance in a failure domain that is out of reach.
"""

from typing import Any

import anyio
import msgspec
import result

from plantainvane import outcomes
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import peers
from plantainvane.jobs import settings as settings_module

_LOST = interfaces.OrderOutcome.LOST


class RunnerClient:
    """Client of a runner; its calls are lost while the path is cut."""

    def __init__(
        self,
        calls: interfaces.RunnerCalls,
        path: tuple[str, str],
        cuts: set[tuple[str, str]],
        timeout_s: float,
    ):
        """Creates a client for `path`, from an entry process to a runner."""
        self._calls = calls
        self._path = path
        self._cuts = cuts
        self._timeout_s = timeout_s

    async def poll(
        self,
        token: int,
        last_stored_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> result.Result[model.RunnerStatus, interfaces.OrderOutcome]:
        """Polls the runner; an answer during a cut is lost as well."""
        if await self._lose(wait_s):
            return result.Err(_LOST)
        reply = await self._calls.poll(
            token, last_stored_end, lease_until_ms, wait_s
        )
        return result.Err(_LOST) if self._path in self._cuts else reply

    async def start(self, order: model.StartOrder) -> interfaces.OrderOutcome:
        """Orders a start."""
        return _LOST if await self._lose() else await self._calls.start(order)

    async def stop(
        self, task: str, attempt: int, token: int
    ) -> interfaces.OrderOutcome:
        """Orders a stop."""
        if await self._lose():
            return _LOST
        return await self._calls.stop(task, attempt, token)

    async def pace(
        self, task: str, attempt: int, percent: int, token: int
    ) -> interfaces.OrderOutcome:
        """Orders a pace."""
        if await self._lose():
            return _LOST
        return await self._calls.pace(task, attempt, percent, token)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._calls.aclose()

    async def _lose(self, wait_s: float = 0.0) -> bool:
        """Waits for the time limit and returns true if the path is cut."""
        if self._path not in self._cuts:
            return False
        await anyio.sleep(self._timeout_s + wait_s)
        return True


class PeerClient(peers.PeerClient):
    """Client of the other entry processes, with paths that can be cut."""

    def __init__(self, entry_id: str, cuts: set[tuple[str, str]]):
        """Creates the client of the entry process `entry_id`."""
        super().__init__()
        self._entry_id = entry_id
        self._cuts = cuts

    async def call(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, outcomes.CallError]:
        """Sends `message`; it is lost while the path is cut."""
        if (self._entry_id, address) not in self._cuts:
            return await super().call(address, message, timeout_s)
        await anyio.sleep(timeout_s)
        lost = outcomes.CallError(outcomes.CallFailure.LOST, "path is cut")
        return result.Err(lost)


def cut_adapters(
    adapters: interfaces.Adapters,
    settings: settings_module.Settings,
    cuts: set[tuple[str, str]],
) -> interfaces.Adapters:
    """Returns adapters with runner clients that lose calls on cut paths."""

    def connect_runner(address: str, runner_id: str) -> interfaces.RunnerCalls:
        return RunnerClient(
            adapters.connect_runner(address, runner_id),
            (settings.id, runner_id),
            cuts,
            settings.call_timeout_s,
        )

    return msgspec.structs.replace(adapters, connect_runner=connect_runner)
