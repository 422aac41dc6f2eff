"""Fleet of a seeded run: real entry processes as tasks, runners and clients."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import itertools
import traceback
from typing import Any

import anyio
import msgspec
import result

from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import settings as settings_module
from standins import explore_runners
from standins import explore_store
from standins import explore_world as world_module
from standins import soak_observations as observations_module

_CONFIGURATION_TOPIC = "keyed.op"
_CONFIGURATION_KEY = "config"
QUEUE = model.Queue(
    "work", "work.example", "/work/", explore_runners.SERVICE, max_failures=3
)
_MAX_STEADY_S = 50_000.0
_MAX_WALL_S = 1.0
_DEADLINE_S = 3.0
_LAST_REQUESTS_S = 0.5
_FAILED_STATUS = 1
_REPLIES = {
    peers_module.Ping: peers_module.Pong,
    peers_module.Ask: peers_module.AskReply,
    peers_module.Fetch: peers_module.FetchReply,
    peers_module.HandOver: peers_module.HandOverReply,
    peers_module.CheckReach: peers_module.CheckReachReply,
}
_HANDLERS = {
    peers_module.Ping: "ping",
    peers_module.Ask: "ask",
    peers_module.Fetch: "fetch",
    peers_module.HandOver: "hand_over",
    peers_module.CheckReach: "check_reach",
}


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """One entry process; `life` counts its lives from 1 on.

    Attributes:
      machine: Clocks of the present life, or None while it is down.
      entry: State of the present life.
      handlers: Its handlers of peers' requests, while it serves them.
      is_ending: It was told to end.
      tasks: Tasks of the present life.
    """

    id: str
    address: str
    domain: str
    life: int = 0
    machine: world_module.Machine | None = None
    entry: process_module.Entry | None = None
    handlers: peers_module.Handlers | None = None
    is_ending: bool = False
    tasks: dict[asyncio.Task, None] = dataclasses.field(default_factory=dict)

    @property
    def is_up(self) -> bool:
        """Whether it runs."""
        return self.machine is not None

    @property
    def is_owner(self) -> bool:
        """Whether it owns the jobs, or believes so."""
        return self.entry is not None and self.entry.owner is not None


@dataclasses.dataclass(slots=True)
class Step:
    """A step of a job: its tasks, and numbers of the steps before it."""

    count: int
    depends_on: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, eq=False)
class Fleet:
    """All parts of a run; `steps` has those of each job by its id."""

    world: world_module.World
    log: explore_store.Log
    max_hold_ms: int
    processes: list[Process] = dataclasses.field(default_factory=list)
    runners: list[explore_runners.Runner] = dataclasses.field(
        default_factory=list
    )
    numbers: Any = dataclasses.field(default_factory=itertools.count)
    steps: dict[str, tuple[Step, ...]] = dataclasses.field(default_factory=dict)

    def find_process(self, address: str) -> Process | None:
        """Returns the process with a peer address, or None."""
        return next((p for p in self.processes if p.address == address), None)

    def list_up(self) -> list[Process]:
        """Returns the processes that run and were not told to end."""
        return [p for p in self.processes if p.is_up and not p.is_ending]

    def record(self, process: Process, kind: str, status: int = 0) -> None:
        """Records an event of a process."""
        self.world.seen.process_events.append(
            observations_module.ProcessEvent(
                self.world.read_now(), process.id, process.life, kind, status
            )
        )
        self.world.note(f"{process.id}: process {kind} {status}")

    def publish_configuration(self) -> None:
        """Writes the operator's document."""
        document = msgspec.json.encode(model.Configuration(1, (QUEUE,)))
        self.log.put(_CONFIGURATION_TOPIC, [(_CONFIGURATION_KEY, document)])
        now = self.world.read_now()
        self.world.seen.configurations.append(
            observations_module.Configuration(1, now, now)
        )

    def start(self, process: Process) -> None:
        """Starts a life of a process."""
        draws = self.world.draws
        process.life += 1
        process.is_ending = False
        process.machine = world_module.Machine(
            process.id,
            draws.uniform(0.0, _MAX_STEADY_S),
            draws.uniform(-_MAX_WALL_S, _MAX_WALL_S),
        )
        self.record(process, "started")
        task = self.spawn(process, self._run(process))
        task.add_done_callback(lambda _: self._note_end(process, task))

    def spawn(self, process: Process, work: Coroutine) -> asyncio.Task:
        """Starts a task that is part of the present life of a process."""
        machine = process.machine

        async def run() -> Any:
            world_module.MACHINE.set(machine)
            world_module.IS_LATE.set(False)
            return await work

        task = self.world.loop.create_task(run())
        process.tasks[task] = None
        task.add_done_callback(lambda _: process.tasks.pop(task, None))
        return task

    async def _run(self, process: Process) -> None:
        settings = self._make_settings(process)
        entry = entry_module.make_entry(
            settings, self._make_adapters(process, settings)
        )
        entry.peers = Peers(self, process.id)
        process.entry = entry
        await entry_module.run_components(entry, _serve_callers)

    def _note_end(self, process: Process, task: asyncio.Task) -> None:
        if task.cancelled():
            return
        status = 0
        if task.exception() is not None:
            status = _FAILED_STATUS
            lines = traceback.format_exception(task.exception())
            self.world.note(f"{process.id}: failed {' | '.join(lines)}")
        self.record(process, "exited", status)
        self._end(process)

    def _end(self, process: Process) -> None:
        process.machine.is_up = False
        process.machine = process.entry = process.handlers = None
        tasks, process.tasks = list(process.tasks), {}
        for task in tasks:
            task.cancel()

    def kill(self, process: Process) -> None:
        """Ends a process at once."""
        self.record(process, "SIGKILL")
        self._end(process)

    def terminate(self, process: Process) -> None:
        """Has a process drain and end."""
        process.is_ending = True
        self.record(process, "SIGTERM")
        self.spawn(process, entry_module.drain(process.entry))

    def _make_settings(self, process: Process) -> settings_module.Settings:
        host = process.address.partition(":")[0]
        max_hold_s = self.max_hold_ms / 1000
        return settings_module.Settings(
            id=process.id,
            domain=process.domain,
            callers_address=f"{host}:1",
            health_address=f"{host}:2",
            peer_address=process.address,
            metrics_address=f"{host}:3",
            store_address="10.9.0.1:1",
            seeds=tuple(p.address for p in self.processes),
            lease_s=min(max_hold_s, settings_module.LEASE_S),
            max_lease_s=max_hold_s,
        )

    def _make_adapters(
        self, process: Process, settings: settings_module.Settings
    ) -> interfaces.Adapters:
        def connect_runner(
            address: str, runner_id: str
        ) -> interfaces.RunnerCalls:
            runner = next(r for r in self.runners if r.id == runner_id)
            return explore_runners.Client(
                runner, process.id, settings.call_timeout_s
            )

        return interfaces.Adapters(
            explore_store.Store(self.log, process.id),
            connect_runner,
            None,
            lambda data: msgspec.json.decode(data, type=model.Configuration),
            lambda key, data: msgspec.json.decode(data, type=model.RunnerEntry),
            _CONFIGURATION_TOPIC,
            _CONFIGURATION_KEY,
            explore_runners.TOPIC,
        )

    async def serve_peers(
        self, address: str, handlers: peers_module.Handlers
    ) -> None:
        """Takes the place of `peers.serve_peers`."""
        self.find_process(address).handlers = handlers
        await anyio.sleep_forever()

    async def ask(
        self, process: Process, kind: str, what: str, work: Coroutine
    ) -> Any:
        """Makes a client's request, and returns its answer or None."""
        exchange = observations_module.Exchange(
            process.id,
            process.life,
            kind,
            what,
            self.world.read_now(),
            float("inf"),
        )
        task = self.spawn(process, work)
        await asyncio.wait([task])
        exchange.ended = self.world.read_now()
        answer = None
        if not task.cancelled():
            answer = task.result()
            exchange.status, exchange.state = _read_answer(answer)
        self.world.seen.exchanges.append(exchange)
        self.world.note(
            f"client: {kind} {what} at {process.id}, sent at"
            f" {exchange.sent:.3f}: {exchange.status} {exchange.state}"
        )
        return exchange

    async def submit(
        self, process: Process, job_id: str, work: explore_runners.Work
    ) -> Any:
        """Submits a job, whose steps are known."""

        async def submit() -> intake_module.Outcome:
            job = model.Job(
                id=job_id,
                queue=QUEUE.name,
                service=QUEUE.service,
                accepted_ms=clock.read_wall_ms(),
                spec=msgspec.json.encode(work).decode(),
                steps=tuple(
                    model.Step(
                        count=step.count,
                        amounts=model.Amounts(work.cpu, 100),
                        estimate_ms=work.run_s * 1000,
                        depends_on=step.depends_on,
                        long_running=not work.run_s,
                    )
                    for step in self.steps[job_id]
                ),
                limits=model.make_limits(QUEUE),
            )
            return await intake_module.submit_job(
                process.entry.intake, job, _DEADLINE_S
            )

        return await self.ask(process, "submit", job_id, submit())

    async def ask_owner(self, process: Process, kind: str, job_id: str) -> Any:
        """Asks for the state of a job, or cancels it."""
        work = intake_module.ask(
            process.entry.intake, kind, job_id, _DEADLINE_S
        )
        return await self.ask(process, kind, job_id, work)


_STATUSES = {
    intake_module.Outcome.ACCEPTED: 200,
    intake_module.Outcome.DONE: 200,
    intake_module.Outcome.MISSING: 410,
    intake_module.Outcome.UNKNOWN: 504,
}
_UNAVAILABLE = 503


def _read_answer(answer: Any) -> tuple[int, str]:
    """Returns the status of an answer and the state of the job in it."""
    if isinstance(answer, tuple):
        outcome, reply = answer
        return _STATUSES.get(outcome, _UNAVAILABLE), reply.state
    return _STATUSES.get(answer, _UNAVAILABLE), ""


async def _serve_callers(entry: process_module.Entry) -> None:
    await entry.stopping.wait()
    await anyio.sleep(_LAST_REQUESTS_S)


@dataclasses.dataclass(slots=True, eq=False)
class Peers:
    """Client of the other processes; takes the place of `PeerClient`."""

    fleet: Fleet
    machine: str

    async def call(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, outcomes.CallError]:
        """Sends `message` and returns the reply."""
        kind = type(message)
        encoded = msgspec.msgpack.encode(message)

        async def carry_out() -> Any:
            process = self.fleet.find_process(address)
            if process is None or process.handlers is None:
                raise world_module.UnreachedError("refused")
            handle = getattr(process.handlers, _HANDLERS[kind])
            received = msgspec.msgpack.decode(encoded, type=kind)
            task = self.fleet.spawn(process, handle(received))
            await asyncio.wait([task])
            if task.cancelled():
                raise world_module.LostError("connection broken")
            reply = msgspec.msgpack.encode(task.result())
            return msgspec.msgpack.decode(reply, type=_REPLIES[kind])

        receiver = self.fleet.find_process(address)
        try:
            reply = await self.fleet.world.call(
                self.machine,
                receiver.id if receiver else address,
                kind.__name__,
                carry_out,
                timeout_s,
                False,
            )
        except world_module.LostError as error:
            failure, detail = outcomes.CallFailure.LOST, str(error)
        except world_module.UnreachedError as error:
            failure, detail = outcomes.CallFailure.UNREACHED, str(error)
        else:
            return result.Ok(reply)
        return result.Err(outcomes.CallError(failure, detail))

    def close(self) -> None:
        """Closes the connections."""
