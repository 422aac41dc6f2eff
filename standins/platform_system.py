"""Complete deployment on the platform's stand-ins, within one process."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
from typing import Any

import anyio
import anyio.abc
import httpx
import msgspec

from plantainvane import asgi
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import settings as settings_module
from plantainvane.platform import ingress
from plantainvane.platform import program
from standins import platform_paths
from standins import platform_runner
from standins import platform_store
from standins import serving

SERVICE = "forecast"
HOST = "forecasts.example"
PREFIX = "/outlooks/"


@dataclasses.dataclass(slots=True)
class System:
    """A running deployment.

    Attributes:
      cuts: Paths on which nothing arrives, from the id of an entry process to
        the id of a runner, the peer address of another entry process or the
        log.
      on_entry: Called with each entry process before it runs; may replace its
        clients.
    """

    group: anyio.abc.TaskGroup
    store: platform_store.StoreState
    store_address: str
    runners: dict[str, platform_runner.RunnerState]
    entries: list[process_module.Entry] = dataclasses.field(
        default_factory=list
    )
    stop: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    on_entry: Callable[[process_module.Entry], None] = lambda entry: None

    def cut(
        self,
        entry: process_module.Entry,
        runners: Iterable[str] = (),
        peers: Iterable[process_module.Entry] = (),
    ) -> None:
        """Cuts paths of a process to runners, and to and from peers."""
        own = entry.settings
        self.cuts.update((own.id, runner) for runner in runners)
        for peer in peers:
            self.cuts.add((own.id, peer.settings.peer_address))
            self.cuts.add((peer.settings.id, own.peer_address))

    def cut_from_log(self, entry: process_module.Entry) -> None:
        """Cuts the path of a process to the log."""
        self.cuts.add((entry.settings.id, platform_paths.STORE))

    def isolate(self, entry: process_module.Entry) -> None:
        """Cuts all paths of a process, as a freeze does."""
        others = [peer for peer in self.entries if peer is not entry]
        self.cut(entry, self.runners, others)
        self.cut_from_log(entry)

    def find_owner(self) -> process_module.Entry | None:
        """Returns the entry process that is the owner and has recovered."""
        for entry in self.entries:
            if entry.owner is not None and entry.owner.recovered:
                return entry
        return None

    async def wait_owner(self, limit_s: float = 8.0) -> process_module.Entry:
        """Waits for an owner that has recovered."""
        with anyio.fail_after(limit_s):
            while True:
                entry = self.find_owner()
                if entry is not None:
                    return entry
                await anyio.sleep(0.01)

    def list_starts(self) -> list[tuple[str, int]]:
        """Returns task and attempt of every start, runner by runner."""
        return [s for r in self.runners.values() for s in r.starts]

    async def kill(self, entry: process_module.Entry) -> None:
        """Stops a process as a kill would, without a handover."""
        self.entries.remove(entry)
        entry.stopping.set()
        with anyio.fail_after(15):
            while entry.group is not None:
                await anyio.sleep(0.01)


def write_configuration(
    store: platform_store.StoreState,
    version: int = 1,
    preconditions: bool = True,
    **route: Any,
) -> None:
    """Writes a configuration with one queue; `route` replaces its fields."""
    document = {
        "Version": version,
        "Routes": [
            {
                "Name": "outlooks",
                "Host": HOST,
                "PathPrefix": PREFIX,
                "Service": SERVICE,
                "Attempts": 2,
                "SlackFactor": 2.0,
                "TargetCompletionMs": 1000,
                "Priority": 2,
                **route,
            }
        ],
        "Services": [{"Name": SERVICE, "Preconditions": preconditions}],
    }
    store.put("keyed.op", "config", msgspec.json.encode(document))


@contextlib.asynccontextmanager
async def run_system(
    entries: int = 2, runners: int = 2, **settings: Any
) -> AsyncIterator[System]:
    """Runs a deployment until the block ends; `settings` override defaults."""
    async with anyio.create_task_group() as group:
        store = platform_store.StoreState()
        address = serving.find_free_address()
        system = System(group, store, address, {})
        await _serve(system, platform_store.make_handler(store), address)
        write_configuration(store)
        for number in range(runners):
            await add_runner(system, f"i-{number}")
        for number in range(entries):
            await add_entry(system, number, **settings)
        try:
            yield system
        finally:
            # The servers are stopped by an event, as their library reports a
            # cancellation as an error.
            with anyio.CancelScope(shield=True):
                for entry in list(system.entries):
                    await system.kill(entry)
                system.stop.set()


async def _serve(system: System, handler: Any, address: str) -> None:
    application = asgi.make_application(handler, 16_777_216)
    system.group.start_soon(
        serving.serve_until, application, address, system.stop
    )
    await wait_listening(address)


async def wait_listening(address: str) -> None:
    """Waits until `ip:port` accepts connections."""
    host, _, port = address.rpartition(":")
    with anyio.fail_after(10):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return


async def add_runner(system: System, runner_id: str, **fields: Any) -> None:
    """Starts a runner and writes its entry to the log."""
    state = platform_runner.RunnerState(runner_id, **fields)
    system.runners[runner_id] = state
    await move_runner(system, runner_id)


async def move_runner(system: System, runner_id: str) -> None:
    """Gives a runner a new address, the only one at which it answers."""
    state = system.runners[runner_id]
    state.address = serving.find_free_address()
    handler = platform_runner.make_handler(state, state.address)
    await _serve(system, handler, state.address)
    write_entry(system, state)


def unlist_runner(system: System, runner_id: str) -> None:
    """Removes the entry of a runner from the log."""
    system.store.put("keyed.servers", runner_id, None)


async def _revive(
    system: System,
    state: platform_runner.RunnerState,
    down_s: float,
    renames: bool,
) -> None:
    await anyio.sleep(down_s)
    if renames:
        system.store.put("keyed.servers", state.id, None)
        state.id = f"{state.id}x"
    state.restart()
    write_entry(system, state)


def revive_after_crashes(
    system: System, down_s: float = 0.5, renames: bool = True
) -> None:
    """Lets each runner come back after a crash, at the same address.

    With `renames` it comes back under another id.
    """
    for state in system.runners.values():

        def revive(state: platform_runner.RunnerState = state) -> None:
            system.group.start_soon(_revive, system, state, down_s, renames)

        state.on_crash = revive


def write_entry(
    system: System,
    state: platform_runner.RunnerState,
    condition: str = "ready",
) -> None:
    """Writes the present entry of a runner to the log.

    `condition` is ready or draining.
    """
    entry = state.make_entry(state.address, SERVICE, condition)
    system.store.put("keyed.servers", state.id, entry)


def change_capacity(system: System, runner_id: str, **amounts: int) -> None:
    """Changes the capacity of a runner, which rewrites its entry."""
    state = system.runners[runner_id]
    state.change_capacity(**amounts)
    write_entry(system, state)


async def add_entry(
    system: System, number: int, **fields: Any
) -> process_module.Entry:
    """Starts an entry process on an IP address of its own."""
    callers, health, peer, metrics = serving.find_free_addresses(
        f"127.0.1.{number + 1}", 4
    )
    settings = settings_module.Settings(
        id=f"entry-{number}",
        domain="east",
        callers_address=callers,
        health_address=health,
        peer_address=peer,
        metrics_address=metrics,
        store_address=system.store_address,
        grace_s=0.4,
        **fields,
    )
    adapters = platform_paths.cut_adapters(
        program.make_adapters(settings), settings, system.cuts
    )
    entry = entry_module.make_entry(settings, adapters)
    entry.peers = platform_paths.PeerClient(settings.id, system.cuts)
    system.on_entry(entry)
    system.group.start_soon(entry_module.run_components, entry, ingress.serve)
    system.entries.append(entry)
    await wait_listening(settings.callers_address)
    return entry


async def call(
    entry: process_module.Entry,
    method: str,
    path: str = "",
    body: Any = None,
    deadline_ms: int = 3000,
) -> httpx.Response:
    """Sends a request to an entry process, as a caller does."""
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        return await client.request(
            method,
            f"http://{entry.settings.callers_address}{PREFIX}{path}",
            headers={"Host": HOST, "Deadline-Ms": str(deadline_ms)},
            content=msgspec.json.encode(body) if body is not None else None,
        )


def make_job(
    steps: int = 1, count: int = 2, measured: bool = False, **fields: Any
) -> dict[str, Any]:
    """Creates a submission in which each step depends on the previous one.

    With `measured`, the runners count what the tasks need.
    """
    spec = {
        k: fields.pop(k) for k in ("run_ms", "fails", "crashes") if k in fields
    }
    if measured:
        spec |= {
            "cpu": fields.get("Cpu", 500),
            "memory_mb": fields.get("MemMb", 100),
            "gpu": fields.get("Gpu", 0),
            "fills": fields.get("Fills", False),
        }
    return {
        "Spec": msgspec.json.encode(spec).decode(),
        "Steps": [
            {
                "Count": count,
                "Cpu": 500,
                "MemMb": 100,
                "EstimateMs": 100,
                "DependsOn": [number - 1] if number else [],
                **fields,
            }
            for number in range(steps)
        ],
    }


async def wait_state(
    system: System, job_id: str, state: str, limit_s: float = 10.0
) -> None:
    """Waits until the last entry process reports `state` for a job."""
    with anyio.fail_after(limit_s):
        while True:
            reply = await call(system.entries[-1], "GET", job_id)
            if reply.status_code == 200 and reply.json()["State"] == state:
                return
            await anyio.sleep(0.03)
