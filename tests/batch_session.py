"""Runs schedulers against the stand-ins of the log and of the workers.

Everything runs in the test process. Calls go through in-memory transports, so
that a test can delay, lose or block any single call.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
import types
from typing import Any

import anyio
import httpx

from plantainvane import asgi
from plantainvane import documents
from plantainvane import instances
from plantainvane import scheduler
from plantainvane import settings as settings_module
from plantainvane import workers
from plantainvane import writers
from standins import gate
from standins import log_service
from standins import worker as worker_module

DOMAIN = "a"
WORKER_SIZE = documents.Size(processors=8.0, memory_bytes=8000, accelerators=2)
TASK_SIZE = documents.Size(processors=1.0, memory_bytes=100)


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One call by a process; `target` is `log` or a worker id.

    `timeout_s` is the time for which the sender waits for a reply.
    """

    process: str
    target: str
    path: str
    body: dict[str, Any]
    method: str
    timeout_s: float

    @property
    def kinds(self) -> set[str]:
        """Kinds of the records that an append contains."""
        return {record["kind"] for record in self.body.get("records", ())}


# `forced=True` ignores `Session.cut_links`.
Forward = Callable[..., Awaitable[httpx.Response]]
Interfere = Callable[[Call, Forward], Awaitable[httpx.Response]]


def make_settings(id: str, **sections: Any) -> settings_module.Settings:
    """Makes settings with times of a tenth of the defaults or less."""
    tasks = {
        "lease_s": 0.45,
        "lease_margin_s": 0.1,
        "start_valid_s": 0.5,
        "outage_renewal_s": 2.0,
        "poll_s": 0.03,
        "call_timeout_s": 0.3,
        "start_retry_s": 0.1,
        "usage_s": 0.05,
        "probation_s": 0.3,
        "proven_s": 0.1,
        "evict_after_s": 0.2,
        "release_after_s": 0.2,
        "checkpoint_limit_s": 2.0,
        "impossible_after_s": 0.2,
        "fold_wait_s": 1.0,
        "batch_fraction": 1.0,
    }
    claims = {
        "shards": 1,
        "ttl_s": 0.3,
        "renew_s": 0.08,
        "margin_s": 0.05,
        "fallback_s": 0.05,
        "check_s": 0.02,
        "handover_after_s": 60.0,
    }
    log = {
        "linger_s": 0.002,
        "linger_max_s": 0.02,
        "call_timeout_s": 0.3,
        "poll_wait_s": 0.2,
        "append_settle_s": 0.05,
        "append_limit_s": 0.6,
    }
    return settings_module.Settings(
        id=id,
        domain=DOMAIN,
        domains=(DOMAIN,),
        listen=settings_module.Listen("", "", ""),
        platform=settings_module.Platform("log", "instances"),
        tasks=settings_module.Tasks(**tasks | sections.get("tasks", {})),
        claims=settings_module.Claims(**claims | sections.get("claims", {})),
        log=settings_module.Log(**log | sections.get("log", {})),
    )


class Configuration:
    """The documents in force, without a config stream."""

    def __init__(self):
        self.version = 1
        self.classes: dict[str, documents.BatchClass] = {}
        self.services: dict[str, documents.ServiceClass] = {}
        self.limit = documents.Size(1000.0, 10**9, 1000)

    def add_class(self, name: str, **fields: Any) -> None:
        """Puts a batch class in force."""
        fields = {
            "team": "team",
            "priority": documents.Priority.NORMAL,
            "size": TASK_SIZE,
            **fields,
        }
        self.classes[name] = documents.BatchClass(name=name, **fields)
        self.version += 1

    def find_batch_class(self, name: str):
        return self.classes.get(name)

    def find_service_class(self, name: str):
        return self.services.get(name)

    def find_quota(self, team: str):
        return documents.Quota(name=team, limit=self.limit)

    def find_limits(self):
        return None


class _Transport(httpx.AsyncBaseTransport):
    """Transports the calls of one process to one target."""

    def __init__(self, session: "Session", process: str, target: str):
        self._session = session
        self._process = process
        self._target = target

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        session = self._session
        body = json.loads(request.content) if request.content else {}
        timeout_s = request.extensions["timeout"]["read"]
        call = Call(
            self._process,
            self._target,
            request.url.path,
            body,
            request.method,
            timeout_s,
        )
        session.calls.append(call)

        async def forward(forced: bool = False) -> httpx.Response:
            link = (call.process, call.target)
            if link in session.cut_links and not forced:
                raise httpx.ConnectError("cut off", request=request)
            reply = await session.answer(request, call.target)
            if link in session.cut_links and not forced:
                raise httpx.ReadError("cut off", request=request)
            return reply

        for interfere in session.rules:
            if interfere.matches(call):
                return await interfere.act(forward)
        return await forward()


@dataclasses.dataclass(slots=True, eq=False)
class Rule:
    """Runs `act` instead of a call for which `matches` returns True."""

    matches: Callable[[Call], bool]
    act: Callable[[Forward], Awaitable[httpx.Response]]


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """One scheduler; cancelling `scope` acts like a kill."""

    id: str
    scheduler: scheduler.Scheduler
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


class Session:
    """A log, workers and processes.

    Attributes:
      cut_links: (process, target) pairs that cannot reach each other.
      rules: Rules for calls; the first that matches a call acts on it.
      calls: All calls so far.
    """

    def __init__(self, group: Any, **sections: Any):
        self.group = group
        self.sections = sections
        self.configuration = Configuration()
        self.configuration.add_class("job")
        self.log_state = log_service.LogState(
            log_service.Settings("log", appends_per_s=100000.0)
        )
        application = log_service.make_application(self.log_state)
        self.log = httpx.ASGITransport(application)
        self.workers: dict[str, worker_module.Worker] = {}
        self.processes: dict[str, Process] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.rules: list[Rule] = []
        self.calls: list[Call] = []
        self.started = 0
        self.latencies: dict[str, tuple[str, Callable[[], float]]] = {}
        self.sampled: set[str] = set()

    def add_workers(
        self, *ids: str, size: documents.Size = WORKER_SIZE, **fields: Any
    ) -> None:
        """Adds workers and sends all processes the new instance list."""
        for id in ids:
            fields = {"stop_s": 0.02, "checkpoint_s": 0.02, **fields}
            self.workers[id] = worker_module.Worker(
                worker_module.WorkerSettings(
                    id=id, listen=f"{id}:1", size=size, **fields
                ),
                gate.Gate(),
            )
        self.list_workers()

    def remove_worker(self, id: str) -> None:
        """Removes a worker from the network and from the instance list."""
        self.cut_links.update((process, id) for process in self.processes)
        self.list_workers(without=id)

    def list_workers(self, without: str = "", leaving: str = "") -> None:
        """Sends every process the instance list."""
        listed = [
            instances.Instance(
                id=id,
                kind=instances.InstanceKind.WORKER,
                domain=DOMAIN,
                rack=f"rack-{index % 2}",
                address=f"{id}:1",
                size=worker.settings.size,
                leaving=id == leaving,
            )
            for index, (id, worker) in enumerate(self.workers.items())
            if id != without
        ]
        for process in self.processes.values():
            process.scheduler.update_workers(listed, anyio.current_time())

    def add_process(self, id: str) -> Process:
        """Starts a scheduler."""
        self.started += 1
        settings = make_settings(id, **self.sections)

        def make_client(settings: settings_module.Settings):
            return httpx.AsyncClient(
                base_url="http://log",
                transport=_Transport(self, id, "log"),
                timeout=settings.log.call_timeout_s,
            )

        process = Process(
            id,
            scheduler.Scheduler(
                settings,
                self.configuration,
                types.SimpleNamespace(list_live=self.list_live),
                make_client(settings),
                writers.Identity(id, self.started),
                lambda _, address: httpx.AsyncClient(
                    base_url=f"http://{address}",
                    transport=_Transport(self, id, address.split(":")[0]),
                ),
                make_client,
            ),
        )
        self.processes[id] = process
        self.list_workers()
        self.group.start_soon(self._run_process, process)
        return process

    async def _run_process(self, process: Process) -> None:
        with process.scope:
            await process.scheduler.run()

    def list_live(self, domain: str, now: float) -> list[Any]:
        """Lists the processes that have not been killed."""
        return [types.SimpleNamespace(id=id) for id in sorted(self.processes)]

    def kill(self, process: Process) -> None:
        """Ends a process at once; calls in flight may still arrive."""
        process.scope.cancel()
        self.processes.pop(process.id, None)

    def set_log_down(self, down: bool) -> None:
        """Blocks or restores the access of all processes to the log."""
        for id in self.processes:
            (self.cut_links.add if down else self.cut_links.discard)(
                (id, "log")
            )

    async def answer(
        self, request: httpx.Request, target: str
    ) -> httpx.Response:
        """Answers a request with the stand-in of its target."""
        if target == "log":
            reply = await self.log.handle_async_request(request)
            content = await reply.aread()
            return httpx.Response(reply.status_code, content=content)
        worker = self.workers[target]
        now = time.monotonic()
        worker_module.advance_attempts(worker, now)
        handled = worker_module.handle_request(
            worker,
            asgi.HttpRequest(
                request.method, request.url.path, {}, {}, request.content
            ),
            now,
        )
        return httpx.Response(handled.status, content=handled.body)

    def report_latency(
        self, id: str, service: str, measure: Callable[[], float]
    ) -> None:
        """Adds a latency in milliseconds to a worker's usage reports."""
        worker = self.workers[id]
        self.latencies[id] = (service, measure)
        if id not in self.sampled:
            self.sampled.add(id)
            self.group.start_soon(self._sample_worker, id, worker)

    async def _sample_worker(
        self, id: str, worker: worker_module.Worker
    ) -> None:
        while True:
            service, measure = self.latencies[id]
            usage = [
                workers.AttemptUsage(e.task, e.attempt, e.batch_class, 1.0, 10)
                for e in worker.entries
                if e.ended is None
            ]
            services = [workers.ServiceUsage(service, measure(), 10)]
            worker.samples.append((time.monotonic(), usage, services))
            del worker.samples[:-3]
            await anyio.sleep(0.25)

    def interfere(
        self,
        matches: Callable[[Call], bool],
        act: Callable[[Forward], Awaitable[httpx.Response]],
        times: int = 1,
    ) -> Rule:
        """Adds a rule for the next `times` calls that match."""
        left = times

        def count(call: Call) -> bool:
            nonlocal left
            if left > 0 and matches(call):
                left -= 1
                return True
            return False

        rule = Rule(count, act)
        self.rules.append(rule)
        return rule

    async def submit(self, *ids: str, steps: int = 5, **fields: Any) -> None:
        """Submits tasks with steps of 10 ms through any process."""
        batch_class = fields.pop("batch_class", "job")
        work = {"steps": steps, "step_ms": 10, "seed": 1} | fields
        for id in ids:
            submission = scheduler.Submission(
                task=id, batch_class=batch_class, work=work
            )
            with anyio.fail_after(5):
                while (await self._submit_once(submission)).is_err():
                    await anyio.sleep(0.01)

    async def _submit_once(self, submission: scheduler.Submission) -> Any:
        process = next(iter(self.processes.values()))
        return await process.scheduler.submit_task(submission)

    async def find(self, id: str) -> dict[str, Any] | None:
        """Looks up a task through any process."""
        process = next(iter(self.processes.values()))
        return await process.scheduler.find_task(id)

    async def wait_outcome(self, *ids: str, limit_s: float = 8.0) -> list[str]:
        """Waits until the tasks have ended and returns their outcomes."""
        with anyio.fail_after(limit_s):
            for id in ids:
                while True:
                    found = await self.find(id)
                    if found is not None and found["outcome"]:
                        break
                    await anyio.sleep(0.01)
        return [(await self.find(id))["outcome"] for id in ids]

    async def wait_for(
        self, condition: Callable[[], Any], limit_s: float = 8.0
    ) -> Any:
        """Waits until a condition holds and returns its value."""
        with anyio.fail_after(limit_s):
            while not (value := condition()):
                await anyio.sleep(0.005)
        return value

    def list_runs(self, task: str) -> list[worker_module.AttemptEntry]:
        """Lists the runs of a task on all workers, by start time."""
        now = time.monotonic()
        for worker in self.workers.values():
            worker_module.advance_attempts(worker, now)
        runs = [
            entry
            for worker in self.workers.values()
            for entry in worker.entries
            if entry.task == task
        ]
        return sorted(runs, key=lambda entry: entry.began)

    def list_records(self, kind: str, shard: int = 0) -> list[dict[str, Any]]:
        """Lists the records of one kind in a shard's task stream."""
        stream = f"tasks.{DOMAIN}.{shard}"
        page = json.loads(self.log_state.read_page(stream, 0, 10**6, 0.0))
        return [
            entry["record"]
            for entry in page["records"]
            if entry["record"]["kind"] == kind
        ]

    def check_audit(self) -> None:
        """Checks the workers' records of their attempts.

        No worker was ever committed beyond its size, and no task ran twice at
        the same time.
        """
        tasks = {
            entry.task
            for worker in self.workers.values()
            for entry in worker.entries
        }
        for worker in self.workers.values():
            limit = worker.settings.size
            for field in documents.Size.__struct_fields__:
                highest = getattr(worker.highest, field)
                assert highest <= getattr(limit, field), worker.settings.id
        for task in tasks:
            runs = self.list_runs(task)
            for earlier, later in zip(runs, runs[1:], strict=False):
                assert earlier.ended is not None, f"{task} runs twice"
                assert earlier.ended <= later.began, f"{task} runs twice"

    def list_refused(self) -> list[worker_module.RefusedStart]:
        """Lists the starts that workers refused."""
        return [
            refused
            for worker in self.workers.values()
            for refused in worker.refused
        ]


async def lose_reply(forward: Forward) -> httpx.Response:
    """Performs the call, but loses its reply."""
    await forward()
    raise httpx.ReadTimeout("reply lost")


async def lose_request(forward: Forward) -> httpx.Response:
    """Loses the request; the sender cannot tell this from a lost reply."""
    raise httpx.ReadTimeout("request lost")


def run_session(
    test: Callable[[Session], Awaitable[None]], **sections: Any
) -> None:
    """Runs one test and ends with Session.check_audit()."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            session = Session(group, **sections)
            try:
                await test(session)
            finally:
                group.cancel_scope.cancel()
            session.check_audit()

    anyio.run(run)


def in_session(**sections: Any):
    """Turns an async test that takes a session into a pytest function."""

    def wrap(test):
        def run():
            run_session(test, **sections)

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return wrap
