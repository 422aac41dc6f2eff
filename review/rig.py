"""Stand-ins for the scripts of the second review, in one process.

The platform's store, runners, an adviser and clients follow the users' pages
and use the standard library only. The entry processes are the project's own
programs, started with the command of the deploy file.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE, HOST, PREFIX = "huvo11a", "nony24.example", "/lohu930/"
QUEUE = "r-3hwrr6x"
FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8161, 8167, 8166, 9464
HEARTBEAT_S = 1.1
STOP_GRACE_S = 0.2
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S, RESTORE_S = 1.0, 0.25
MAX_HOLD_S = 10.0
APPEND_S = 0.004
PARTITION_BYTES_PER_S = 20_000_000
TICK_S = 0.01
# How long the first lives of the runners have been up as a case begins.
FIRST_LIVES_AGE_S = 100.0
ENDS_LISTED = 500
MAX_RECORD_BYTES = 262_144
ZONES = ("main-one", "main-two", "main-three")
# Bounds of solset-ring, as the settings of its processes show them.
SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = "{ip}"
Zone = "{zone}"
Region = "trinidad-main"
PortRange = [7720,7735]
Seeds = [{seeds}]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1100
CommandMode = "rpc"
Advisor = "{adviser}"
[Listen]
Frontend = "{ip}:8161"
Readiness = "{ip}:8167"
ControlPlane = "{ip}:8166"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
[Bounds]
ContactMs = 3000
AckTimeoutMs = 4000
GracePeriodS = 6
ConfigApplyMs = 2000
MaxHoldMs = 10000
StopGraceMs = 400
GangTimeoutMs = 3000
status_s = 120
ImpactMs = 4000
[platform]
Address = "{store}"
form = "log"
MaxRecordBytes = 262144
"""


@dataclasses.dataclass(slots=True)
class Request:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body, decoded."""
        return json.loads(self.body)


@dataclasses.dataclass(slots=True)
class Reply:
    """One HTTP reply; a handler that returns None never answers."""

    status: int
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Reply | None]]


def make_reply(status: int, **fields: Any) -> Reply:
    """Makes a reply whose body is a JSON object."""
    return Reply(status, json.dumps(fields).encode())


class Server:
    """HTTP server at one loopback address; it can go down and come back."""

    def __init__(self, handle: Handler, ip: str = "127.0.0.1"):
        """Creates a server that listens nowhere yet."""
        self.handle, self.ip, self.port = handle, ip, 0
        self.refuses = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Its `ip:port`."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listens, at the port of the last time if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the port and breaks all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Breaks all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                reply = await self.handle(request)
                if reply is None:
                    await reader.read()
                    return
                head = (
                    f"HTTP/1.1 {reply.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.body)
                await writer.drain()
        except (
            ConnectionError,
            TimeoutError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            # The connection is closed, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while (header := (await reader.readline()).strip()) != b"":
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(
        method, path, dict(urllib.parse.parse_qsl(query)), headers, body
    )


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 4.0,
) -> Reply | None:
    """Sends a request on a connection of its own; None without an answer."""
    ip, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            sent = {"Host": address, **(headers or {})}
            more = "".join(f"{k}: {v}\r\n" for k, v in sent.items())
            head = (
                f"{method} {path} HTTP/1.1\r\n{more}"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (header := (await reader.readline()).strip()) != b"":
                name, _, value = header.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            return Reply(status, await reader.readexactly(length))
    except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# The store.


@dataclasses.dataclass(slots=True)
class Topic:
    """Records of partition 0, each a key and a value."""

    records: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    producers: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    grown: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Store:
    """The platform's store: topics of keyed records.

    Attributes:
      down: Calls are answered with 503, and nothing is done.
      append_s: Time that an append takes.
      on_appended: Called with the topic after each append with records.
    """

    def __init__(self):
        """Creates an empty store."""
        self.topics: dict[str, Topic] = {}
        self.down = False
        self.append_s = APPEND_S
        self.on_appended: Callable[[str], None] = lambda topic: None
        self.refused_records = 0

    def find_topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or a runner does; None removes."""
        encoded = b"" if value is None else json.dumps(value).encode()
        self._add(self.find_topic(topic), [(key, encoded)])

    def list_newest(self, name: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.find_topic(name).records):
            newest.pop(key, None)
            if value:
                newest[key] = offset, value
        return newest

    def find_owner(self) -> str:
        """Returns the name of the process that made the newest claim."""
        newest = self.list_newest("keyed.claims").get("0")
        return json.loads(newest[1])["holder"] if newest else ""

    async def handle(self, request: Request) -> Reply | None:
        """Answers a call."""
        if self.down:
            return Reply(503)
        name = request.path.removeprefix("/plantainvane/log-")
        topic = self.find_topic(request.query.get("Topic", ""))
        if name == "append":
            async with topic.lock:
                size = len(request.body)
                await asyncio.sleep(
                    self.append_s + size / PARTITION_BYTES_PER_S
                )
                if self.down:
                    return Reply(503)
                return self._append(topic, request)
        if name == "read":
            return await self._read(topic, request.query)
        if name == "newest":
            return self._list_page(request.query)
        return Reply(404)

    def _add(self, topic: Topic, records: list[tuple[str, bytes]]) -> None:
        topic.records.extend(records)
        topic.grown.set()
        topic.grown = asyncio.Event()

    def _append(self, topic: Topic, request: Request) -> Reply:
        query, end = request.query, len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return make_reply(412, EndOffset=end)
        bodies = _split_records(request.body)
        if any(len(body) > MAX_RECORD_BYTES for body in bodies):
            self.refused_records += 1
            return make_reply(400)
        answer = {"Offset": end, "EndOffset": end + len(bodies)}
        if "Producer" in query:
            refusal = _check_producer(topic, query, answer, bool(bodies))
            if refusal is not None:
                return refusal
        if bodies:
            records = []
            for body in bodies:
                size = body[0]
                records.append((body[1 : 1 + size].decode(), body[1 + size :]))
            self._add(topic, records)
            self.on_appended(query["Topic"])
        return make_reply(200, **answer)

    async def _read(self, topic: Topic, query: dict[str, str]) -> Reply:
        offset = int(query["From"])
        limit_s = int(query.get("WaitMs", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while len(topic.records) <= offset:
                    await topic.grown.wait()
        content = bytearray(struct.pack(">QQ", len(topic.records), 0))
        limit = 1024 * int(query.get("MaxSize", "1024"))
        for number, (key, value) in enumerate(topic.records[offset:]):
            body = bytes((len(key.encode()),)) + key.encode() + value
            if number and len(content) + 4 + len(body) > limit:
                break
            content += struct.pack(">I", len(body)) + body
        return Reply(200, bytes(content))

    def _list_page(self, query: dict[str, str]) -> Reply:
        name, after = query["Topic"], query.get("DependsOn", "")
        newest = self.list_newest(name)
        keys = sorted(key for key in newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            offset, value = newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            encoded = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": encoded, "Offset": offset})
        return make_reply(
            200,
            items=items,
            HasMore=len(items) < len(keys),
            EndOffset=len(self.find_topic(name).records),
        )


def _check_producer(
    topic: Topic, query: dict[str, str], answer: dict[str, int], counted: bool
) -> Reply | None:
    producer = topic.producers.setdefault(
        query["Producer"], {"epoch": -1, "sequence": -1, "answers": {}}
    )
    epoch, sequence = int(query["epoch"]), int(query["Sequence"])
    if epoch < producer["epoch"]:
        return make_reply(409, Reason="fenced")
    if epoch > producer["epoch"]:
        producer |= {"epoch": epoch, "sequence": sequence - 1, "answers": {}}
    if not counted:
        return None
    if sequence in producer["answers"]:
        return make_reply(200, **producer["answers"][sequence])
    if sequence != producer["sequence"] + 1:
        expected = producer["sequence"] + 1
        return make_reply(409, Reason="seq", Sequence=expected)
    producer["sequence"] = sequence
    producer["answers"][sequence] = answer
    for old in list(producer["answers"])[:-5]:
        del producer["answers"][old]
    return None


def _split_records(body: bytes) -> list[bytes]:
    bodies, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        bodies.append(body[position : position + length])
        position += length
    return bodies


# Runners.


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run on a runner.

    Attributes:
      works_since: Since when it works, or None before that.
      done_s: Work that is in its checkpoint.
      stops_at: When it ends, as it is being stopped; None otherwise.
    """

    task: str
    number: int
    spec: dict[str, Any]
    step: dict[str, Any]
    began: float
    checkpoint: str
    works_since: float | None = None
    done_s: float = 0.0
    stops_at: float | None = None

    def find_work_s(self) -> float:
        """Returns the seconds of work that it takes."""
        index = int(self.task.rpartition(".")[2])
        spread_ms = self.spec.get("spread_ms", 0) * index / self.step["Count"]
        return (self.spec["ms"] + spread_ms) / 1000

    def find_gang(self) -> tuple[str, int] | None:
        """Returns what its gang has in common, or None."""
        if not self.step.get("Gang"):
            return None
        return self.task.rpartition(".")[0], self.number


class Runner:
    """A runner, one life at a time, at one address.

    Attributes:
      life: Number of the present life, from 1 on.
      up: It runs.
      heard: Calls reach it, and answers leave it.
      state: `ready` or `draining`.
      reports: It writes its entry.
    """

    def __init__(self, world: "World", number: int, labels: list[str]):
        """Creates a runner that is not up yet."""
        self.world, self.id = world, f"i-{number:08x}"
        self.machine = f"m-{number:05x}"
        self.labels, self.capacity = labels, {"Cpu": 16000, "MemMb": 64000}
        self.capacity["Gpu"] = 0
        self.server = Server(self._handle)
        self.life, self.up, self.heard, self.state = 0, False, True, "ready"
        self.reports, self.sequence, self.written_at = True, 0, 0.0
        self._begin()

    def _begin(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.clock_from = time.monotonic()
        self.token, self.lease_until = 0, 0.0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.next_end = 1
        self.changed = asyncio.Event()

    def read_clock(self) -> int:
        """Returns the reading of its clock in milliseconds."""
        return int((time.monotonic() - self.clock_from) * 1000) + 1000

    async def start(self) -> None:
        """Begins a life, which knows nothing of the one before."""
        self._begin()
        self.life, self.up = self.life + 1, True
        await self.server.start()
        self.world.note("runner up", self.id, life=self.life)

    async def crash(self) -> None:
        """Ends what runs there, unseen, and all service."""
        self.up = False
        for run in list(self.runs.values()):
            self.world.note("lost", run.task, run=run.number, on=self.id)
        self.runs.clear()
        self.world.note("runner down", self.id, life=self.life)
        await self.server.stop()

    def write_entry(self) -> None:
        """Writes its entry to the store, if that is up."""
        if self.world.store.down:
            return
        self.sequence, self.written_at = self.sequence + 1, time.monotonic()
        entry = {
            "Service": SERVICE,
            "Address": self.server.address,
            "Zone": ZONES[0],
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.read_clock(),
            "Sequence": self.sequence,
            "Machine": self.machine,
            "born": self.born,
        }
        if self.state == "draining":
            entry["DrainRemainingMs"] = 2000
        self.world.store.put("keyed.servers", self.id, entry)

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists the end."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        if how == "stopped" and run.step.get("Checkpointing"):
            self.save(run)
        saved = run.checkpoint if run.step.get("Checkpointing") else ""
        self.ends.append([self.next_end, run.task, run.number, how, saved])
        self.next_end += 1
        self.world.note("end", run.task, run=run.number, on=self.id, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self, run: Run) -> None:
        """Takes a checkpoint of a run that works."""
        if run.works_since is None:
            return
        worked_s = max(0.0, time.monotonic() - run.works_since)
        run.checkpoint = self.world.make_checkpoint(run, run.done_s + worked_s)

    def is_lapsed(self) -> bool:
        """Tells whether its lease has expired."""
        return self.read_clock() > self.lease_until

    async def _handle(self, request: Request) -> Reply | None:
        if not self.up or not self.heard:
            return None
        if request.headers.get("target-instance", self.id) != self.id:
            return Reply(421)
        fault = self.world.find_fault(self, request)
        if fault is not None:
            return await fault(request)
        reply = await self.carry_out(request)
        return reply if self.heard else None

    async def carry_out(self, request: Request) -> Reply | None:
        """Carries a call out and answers it."""
        body, life = request.json(), self.life
        self.world.tick()
        if body.get("FencingToken", 0) < self.token:
            return self._answer(409, Reason="fence")
        self.token = body.get("FencingToken", 0)
        if request.path == "/plantainvane/hold":
            reply = await self._hold(body)
        elif request.path == "/plantainvane/run-start":
            reply = self._start(body)
        elif request.path == "/plantainvane/run-stop":
            reply = self._stop(body)
        else:
            reply = self._answer(200)
        return reply if self.life == life and self.up else None

    def _answer(self, status: int, **fields: Any) -> Reply:
        return make_reply(
            status, ClockMs=self.read_clock(), born=self.born, **fields
        )

    def _extend(self, body: dict[str, Any]) -> None:
        latest = self.read_clock() + MAX_HOLD_S * 1000
        until = min(body.get("DeadlineMs", 0), latest)
        self.lease_until = max(self.lease_until, until)

    async def _hold(self, body: dict[str, Any]) -> Reply:
        self._extend(body)
        forgotten = [e for e in self.ends if e[0] <= body["LastSeen"]]
        for end in forgotten:
            self.world.note("noted", end[1], run=end[2], on=self.id, how=end[3])
        self.ends = [e for e in self.ends if e[0] > body["LastSeen"]]
        if not self.ends:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body.get("WaitMs", 0) / 1000):
                    await self.changed.wait()
        self.world.tick()
        active = [
            [r.task, r.number, r.checkpoint, self._find_percent(r), 0]
            for r in self.runs.values()
        ]
        return self._answer(
            200, Active=active, Finished=self.ends[:ENDS_LISTED]
        )

    def _find_percent(self, run: Run) -> int:
        if run.works_since is None:
            return 0
        if run.step.get("LongRunning"):
            return 100
        worked_s = run.done_s + time.monotonic() - run.works_since
        return max(0, min(99, int(100 * worked_s / run.find_work_s())))

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["Task"], body["Attempt"]
        world, present = self.world, self.runs.get(task)
        if present is not None and present.number == number:
            self._extend(body)
            return self._answer(200)
        if present is not None or number <= self.highest.get(task, 0):
            self._extend(body)
            return self._answer(409, Reason="old")
        if body["DeadlineMs"] < self.read_clock():
            return self._answer(409, Reason="late")
        step = world.find_step(task)
        if not self._fits(step):
            self._extend(body)
            return self._answer(409, Reason="room")
        self._extend(body)
        spec = json.loads(body["Spec"])
        checkpoint = body.get("Checkpoint", "")
        run = Run(task, number, spec, step, time.monotonic(), checkpoint)
        run.done_s = world.read_checkpoint(checkpoint)
        self.runs[task] = run
        world.note("start", task, run=number, on=self.id, labels=self.labels)
        if run.find_gang() is None:
            run.works_since = run.began + (RESTORE_S if checkpoint else 0.0)
        return self._answer(200)

    def _fits(self, step: dict[str, Any]) -> bool:
        for name, capacity in self.capacity.items():
            fills = name == "Cpu" and step.get("Fills")
            used = sum(
                run.step.get(name, 0)
                for run in self.runs.values()
                if not (name == "Cpu" and run.step.get("Fills"))
            )
            if used + (0 if fills else step.get(name, 0)) > capacity:
                return False
        return True

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["Task"], body["Attempt"]
        run = self.runs.get(task)
        self.highest[task] = max(self.highest.get(task, 0), number)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_GRACE_S
        return self._answer(200)


# Entry processes.


class Node:
    """An entry process on an address of its own."""

    def __init__(self, world: "World", number: int, count: int):
        """Creates a process that is not started."""
        self.world, self.number = world, number
        self.ip = f"{world.prefix}{number + 1}"
        self.name = f"frontend-{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.seeds = ", ".join(
            f'"{world.prefix}{n + 1}:{PEER_PORT}"' for n in range(min(3, count))
        )
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{FRONT_PORT}"

    async def start(self) -> None:
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=self.seeds,
                adviser=self.world.adviser.address,
                store=self.world.store_server.address,
            )
        )
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PLANTAINVANE_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.world.note("process started", self.name)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.world.note("signal", self.name, signal=number.name)
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Waits until the process says that it is ready."""
        address = f"{self.ip}:{READY_PORT}"
        while True:
            reply = await call(address, "GET", "/plantainvane/readyz")
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


# The deployment.


class World:
    """A small deployment: the store, runners, entry processes and clients.

    Attributes:
      jobs: Submissions by job id.
      events: What was sent, answered and run, with the seconds from the start.
      find_fault: Returns how a runner treats a call, or None to carry it out.
      make_checkpoint: Returns a checkpoint after some seconds of work.
    """

    def __init__(self):
        """Creates a deployment in which nothing runs."""
        self.began = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store_server = Server(self.store.handle)
        self.adviser = Server(self._advise)
        self.runners: list[Runner] = []
        self.nodes: list[Node] = []
        self.prefix = choose_prefix()
        self.version = 0
        self.routes = [make_route(QUEUE, PREFIX)]
        self.guards = True
        self.saved: dict[str, float] = {}
        self.find_fault: Callable[[Runner, Request], Any] = lambda r, q: None
        self.make_checkpoint = self._make_checkpoint
        self._tasks: list[asyncio.Task] = []

    def note(self, what: str, subject: str, **fields: Any) -> None:
        """Records an event."""
        at = round(time.monotonic() - self.began, 3)
        self.events.append({"at": at, "what": what, "of": subject, **fields})

    def find(self, what: str, subject: str = "") -> list[dict[str, Any]]:
        """Returns the events of a kind whose subject begins so."""
        return [
            event
            for event in self.events
            if event["what"] == what and event["of"].startswith(subject)
        ]

    async def start(
        self, nodes: int, runners: int, label: Callable[[int], list[str]]
    ) -> None:
        """Starts everything; returns once the processes serve."""
        await self.store_server.start()
        await self.adviser.start()
        self.put_configuration()
        for number in range(runners):
            runner = Runner(self, number + 1, label(number))
            await runner.start()
            runner.clock_from -= FIRST_LIVES_AGE_S
            runner.write_entry()
            self.runners.append(runner)
        self._tasks.append(asyncio.create_task(self._run_ticks()))
        self._tasks.append(asyncio.create_task(self._run_beats()))
        self.nodes = [Node(self, n, nodes) for n in range(nodes)]
        for node in self.nodes:
            await node.start()
        async with asyncio.timeout(30):
            for node in self.nodes:
                await node.wait_ready()
            while not self.store.find_owner():
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)

    def put_configuration(self) -> None:
        """Writes the present routes as the next version."""
        self.version += 3
        service = {"Name": SERVICE, "Preconditions": self.guards}
        document = {
            "Version": self.version,
            "Routes": self.routes,
            "Services": [service | {"Standby": False}],
        }
        self.store.put("keyed.op", "config", document)
        self.note("configuration", str(self.version))

    async def stop(self) -> None:
        """Ends all that was started."""
        for node in self.nodes:
            await node.end()
        for task in self._tasks:
            task.cancel()
        for runner in self.runners:
            await runner.server.stop()
        await self.store_server.stop()
        await self.adviser.stop()

    def find_step(self, task: str) -> dict[str, Any]:
        """Returns the step of a task, as it was submitted."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]

    def find_runner(self, runner: str) -> Runner:
        """Returns a runner by its id."""
        return next(r for r in self.runners if r.id == runner)

    def find_node(self, name: str) -> Node:
        """Returns an entry process by its name."""
        return next(n for n in self.nodes if n.name == name)

    def _make_checkpoint(self, run: Run, done_s: float) -> str:
        text = f"{len(self.saved):08x}{run.task[:8]}"
        self.saved[text] = done_s
        return text

    def read_checkpoint(self, text: str) -> float:
        """Returns the seconds of work in a checkpoint."""
        return self.saved.get(text, 0.0)

    async def _advise(self, request: Request) -> Reply | None:
        body = request.json()
        allowed = [[worker, f"t-{worker}"] for worker in body["Workers"]]
        return make_reply(200, Allowed=allowed, ValidityMs=3000)

    async def _run_ticks(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for runner in self.runners:
                if not runner.reports:
                    continue
                if runner.up and now - runner.written_at >= HEARTBEAT_S:
                    runner.write_entry()
                elif (
                    not runner.up
                    and now - runner.written_at >= 3 * HEARTBEAT_S
                    and runner.id in self.store.list_newest("keyed.servers")
                    and not self.store.down
                ):
                    self.store.put("keyed.servers", runner.id, None)

    def tick(self) -> None:
        """Ends what is due on all runners."""
        now = time.monotonic()
        gangs: dict[tuple[str, int], list[tuple[Runner, Run]]] = {}
        for runner in self.runners:
            if not runner.up:
                continue
            if runner.runs and runner.is_lapsed():
                for run in list(runner.runs.values()):
                    runner.end(run, "lapsed")
            for run in list(runner.runs.values()):
                if run.stops_at is not None and run.stops_at <= now:
                    runner.end(run, "stopped")
                elif (gang := run.find_gang()) is not None:
                    gangs.setdefault(gang, []).append((runner, run))
                else:
                    self._advance(runner, run, now)
        for members in gangs.values():
            self._advance_gang(members, now)

    def _advance(self, runner: Runner, run: Run, now: float) -> None:
        if run.works_since is None or run.step.get("LongRunning"):
            return
        worked_s = now - run.works_since
        if run.step.get("Checkpointing") and worked_s >= CHECKPOINT_S:
            runner.save(run)
            run.done_s, run.works_since = run.done_s + worked_s, now
            worked_s = 0.0
        if run.done_s + worked_s >= run.find_work_s():
            runner.end(run, "failed" if run.spec.get("fails") else "done")

    def _advance_gang(
        self, members: list[tuple[Runner, Run]], now: float
    ) -> None:
        count = members[0][1].step["Count"]
        if members[0][1].works_since is None:
            if len(members) == count:
                for _, run in members:
                    run.works_since = now
                return
            for runner, run in members:
                if now - run.began >= GANG_TIMEOUT_S:
                    runner.end(run, "alone")
            return
        if len(members) < count:
            for runner, run in members:
                runner.end(run, "broken")
            return
        run = members[0][1]
        if run.step.get("LongRunning"):
            return
        if run.done_s + now - run.works_since >= run.spec["ms"] / 1000:
            for runner, member in members:
                runner.end(member, "done")

    async def ask(
        self,
        node: Node,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = PREFIX,
    ) -> Reply | None:
        """Sends a request of a client to a process, and records the answer."""
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        self.note("sent", f"{method} {prefix}{job}", to=node.name)
        reply = await call(
            node.front, method, prefix + job, content, headers, timeout_s=3.0
        )
        status = None if reply is None else reply.status
        shown = "" if reply is None else reply.body.decode()
        self.note(
            "answered",
            f"{method} {prefix}{job}",
            by=node.name,
            status=status,
            body=shown[:200],
        )
        return reply

    async def submit(
        self, node: Node, job: str, submission: Any, prefix: str = PREFIX
    ) -> bool:
        """Submits a job until it is accepted, at each process in turn."""
        self.jobs[job] = submission
        position = self.nodes.index(node)
        for number in range(5):
            target = self.nodes[(position + number) % len(self.nodes)]
            reply = await self.ask(target, "POST", job, submission, prefix)
            if reply is not None and reply.status == 200:
                return True
            if reply is not None and reply.status in (400, 404):
                return False
            await asyncio.sleep(0.3)
        return False

    async def read_state(self, node: Node, job: str) -> str:
        """Returns the state of a job as a process shows it, or empty."""
        reply = await self.ask(node, "GET", job)
        if reply is None or reply.status != 200:
            return ""
        return json.loads(reply.body)["State"]

    def write_record(self, folder: pathlib.Path, verdict: str) -> None:
        """Writes what happened to `record.txt`."""
        lines = [json.dumps(event) for event in self.events]
        text = "\n".join([*lines, verdict, ""])
        (folder / "record.txt").write_text(text)


def make_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Makes a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": "unsafe",
        "TimeoutMs": 3000,
        "TargetCompletionMs": 250,
        "Priority": 0,
        "Service": SERVICE,
        "Attempts": 3,
        "SlackFactor": 1.5,
        **fields,
    }


def make_job(ms: int, **fields: Any) -> dict[str, Any]:
    """Makes a submission of one step of tasks that take `ms`."""
    step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": ms}
    return {"Spec": json.dumps({"ms": ms}), "Steps": [step | fields]}


def choose_prefix() -> str:
    """Returns three numbers of loopback addresses with a free metrics port."""
    for number in range(os.getpid(), os.getpid() + 20_000):
        prefix = f"127.{20 + number // 250 % 80}.{1 + number % 250}."
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((f"{prefix}1", METRICS_PORT))
                return prefix
    raise OSError("no free loopback addresses")


def run_case(
    folder: pathlib.Path,
    play: Callable[[World, bool], Awaitable[str]],
    limit_s: float = 100.0,
) -> int:
    """Plays a case and returns the exit status of its script.

    `play` gets whether to disturb, and returns what broke the rule, or an empty
    string.
    """

    async def run() -> int:
        world = World()
        disturbs = os.environ.get("TROUBLE", "1") != "0"
        status, verdict = 2, "could not run"
        try:
            async with asyncio.timeout(limit_s):
                fault = await play(world, disturbs)
            status, verdict = (1, f"broken: {fault}") if fault else (0, "held")
        except Exception as error:  # noqa: BLE001 - any shows that it cannot run
            verdict = f"could not run: {type(error).__name__}: {error}"
        finally:
            await world.stop()
        world.write_record(folder, verdict)
        print(verdict)
        print(f"logs of the processes: {world.folder}")
        return status

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    return asyncio.run(run())


def main_folder() -> pathlib.Path:
    """Returns the folder of the script that was started."""
    return pathlib.Path(sys.argv[0]).resolve().parent
