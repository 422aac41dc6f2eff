"""Paths from an entry process to others that a test can cut.

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

# Names the log in a path.
STORE = "store"
_LOST = interfaces.OrderOutcome.LOST
_CUT = result.Err(outcomes.CallError(outcomes.CallFailure.LOST, "path is cut"))


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

    async def start(self, order: model.StartOrder) -> interfaces.StartReply:
        """Orders a start."""
        if await self._lose():
            return interfaces.StartReply(_LOST)
        return await self._calls.start(order)

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


class StoreClient:
    """Client of the log; its calls are lost while the path is cut.

    A call that waits for a record is lost as well if the path is cut meanwhile.
    """

    def __init__(self, store: Any, path: tuple[str, str], cuts: set):
        """Creates a client for `path`, from an entry process to `STORE`."""
        self._store = store
        self._path = path
        self._cuts = cuts

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        timeout_s: float,
        *arguments: Any,
        **fields: Any,
    ) -> result.Result[interfaces.Appended, outcomes.CallError]:
        """Appends records."""
        call = self._store.append
        return await self._call(
            call, timeout_s, topic, records, timeout_s, *arguments, **fields
        )

    async def read(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads records."""
        call = self._store.read
        limit_s = wait_s + timeout_s
        return await self._call(call, limit_s, topic, offset, wait_s, timeout_s)

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Lists the newest records."""
        call = self._store.list_newest
        return await self._call(call, timeout_s, topic, timeout_s)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._store.aclose()

    async def _call(
        self, call: Any, limit_s: float, *arguments: Any, **fields: Any
    ) -> result.Result[Any, outcomes.CallError]:
        if self._path in self._cuts:
            await anyio.sleep(limit_s)
            return _CUT
        reply = await call(*arguments, **fields)
        return _CUT if self._path in self._cuts else reply


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
        return _CUT


def cut_adapters(
    adapters: interfaces.Adapters,
    settings: settings_module.Settings,
    cuts: set[tuple[str, str]],
) -> interfaces.Adapters:
    """Returns adapters with clients that lose calls on cut paths."""

    def connect_runner(address: str, runner_id: str) -> interfaces.RunnerCalls:
        return RunnerClient(
            adapters.connect_runner(address, runner_id),
            (settings.id, runner_id),
            cuts,
            settings.call_timeout_s,
        )

    return msgspec.structs.replace(
        adapters,
        connect_runner=connect_runner,
        store=StoreClient(adapters.store, (settings.id, STORE), cuts),
    )
