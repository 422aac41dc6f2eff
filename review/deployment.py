"""A small deployment of real processes, for the scripts of the review.

The entry processes are started with the command of deploy/system.toml, the
runners are processes of `runner.py`, and the platform's log is the project's
stand-in, served by the script itself.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import http_server
import httpx

from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "forecast"
HOST = "clinic.example"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_HERE = pathlib.Path(__file__).resolve().parent
_METRICS_PORT = 9464
_HEARTBEAT_S = 1.5
# The platform's log takes 4 ms for an append.
_APPEND_S = 0.004
_START_LIMIT_S = 20.0

_SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = "{ip}"
Zone = "{zone}"
Region = "mn-central"
PortRange = [7720,7735]
Seeds = [{seeds}]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform"]
CommandMode = "rpc"
[Zones]
ulb-a = "mn-central"
ulb-b = "mn-central"
ulb-c = "mn-central"
[Listen]
Frontend = "{frontend}"
Readiness = "{readiness}"
ControlPlane = "{control_plane}"
[Limits]
CpuShare = 0.43
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
ContactMs = 3000
AckTimeoutMs = 4000
DrainMs = 2000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
MaxHoldMs = 6000
StopGraceMs = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
CheckpointS = 1
ImpactMs = 4000
FencingEnabled = true
LeaseTtlMs = 3000
[platform]
Address = "{store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
PartitionMbS = 20.0
ReadMbS = 80.0
MaxRecordBytes = 262144
MaxRequestBytes = 2097152
keep_s = 300
PartitionMb = 200
MinTtlMs = 1000
"""


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry process: its addresses and settings file."""

    name: str
    frontend: str
    readiness: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None


@dataclasses.dataclass(slots=True)
class Runner:
    """A runner: where its lives serve, and the present one."""

    name: str
    address: str
    process: subprocess.Popen | None = None
    heard_at: float = 0.0
    is_draining: bool = False


def _find_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _choose_prefix(count: int) -> str:
    """Returns a loopback prefix at which the metrics port is free."""
    while True:
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}."
        try:
            for number in range(1, count + 1):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}{number}", _METRICS_PORT))
        except OSError:
            continue
        return prefix


class Deployment:
    """A running deployment with a record of what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path, entries: int, runners: int):
        """Chooses addresses; `folder` is where record.txt is written."""
        self.folder = folder
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = platform_store.StoreState(append_delay_s=_APPEND_S)
        self.lines: list[dict[str, Any]] = []
        self.group: list[asyncio.Task] = []
        prefix = _choose_prefix(entries)
        self.store_address = f"{prefix}200:{_find_port(f'{prefix}200')}"
        self.entries = [
            self._make_entry(f"{prefix}{number}", number)
            for number in range(1, entries + 1)
        ]
        self.runners = [
            Runner(f"i-{number:02}", f"{ip}:{_find_port(ip)}")
            for number in range(1, runners + 1)
            for ip in [f"{prefix}{100 + number}"]
        ]
        self.run_file = self.temporary / "runs.jsonl"
        self.run_file.touch()

    def _make_entry(self, ip: str, number: int) -> Entry:
        name = f"frontend-{number}"
        frontend, readiness, control_plane = (
            f"{ip}:{port}" for port in _find_ports(ip, 3)
        )
        path = self.temporary / f"{name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                zone=f"ulb-{'abc'[(number - 1) % 3]}",
                seeds=json.dumps(control_plane),
                frontend=frontend,
                readiness=readiness,
                control_plane=control_plane,
                store=self.store_address,
            )
        )
        return Entry(name, frontend, readiness, path)

    def note(self, what: str, **fields: Any) -> None:
        """Adds a line to the record."""
        self.lines.append({"at": time.time(), "what": what, **fields})

    def put_configuration(
        self, version: int, routes: list[dict[str, Any]]
    ) -> None:
        """Writes a configuration, as the operator does."""
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": SERVICE, "Preconditions": True}],
            "Limits": {"MaxBodyBytes": 262144},
        }
        self.note(
            "configuration",
            version=version,
            routes=[route["Name"] for route in routes],
        )
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def start_entry(self, entry: Entry) -> None:
        """Starts a process with the command of the deploy file."""
        text = (ROOT / "deploy" / "system.toml").read_text()
        command = tomllib.loads(text)["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PLANTAINVANE_NODE_FILE"] = str(entry.settings)
        log = open(  # noqa: SIM115
            self.temporary / f"{entry.name}.log", "ab"
        )
        entry.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.note("process started", process=entry.name, pid=entry.process.pid)

    def start_runner(self, runner: Runner) -> None:
        """Starts a life of a runner."""
        runner.process = subprocess.Popen(
            [
                sys.executable,
                str(_HERE / "runner.py"),
                runner.name,
                runner.address,
                f"m-{runner.name}",
                str(self.run_file),
            ],
            cwd=ROOT,
        )

    async def drain_runner(self, runner: Runner, leaves_after_s: float):
        """Has a runner report that it drains, and leave after some time."""
        self.note("drains", runner=runner.name)
        runner.is_draining = True
        await asyncio.sleep(leaves_after_s)
        self.note("left", runner=runner.name)
        runner.process.kill()
        runner.process.wait()
        self.store.put("keyed.servers", runner.name, None)

    def send_signal(self, target: Entry | Runner, number: signal.Signals):
        """Sends a signal to a process that this script started."""
        self.note("signal", to=target.name, signal=number.name)
        target.process.send_signal(number)

    async def _write_entries(self, runner: Runner) -> None:
        """Writes the entry of a runner while it lives, as it would itself."""
        listed = False
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                now = time.monotonic()
                try:
                    reply = await client.get(f"http://{runner.address}/entry")
                    content = reply.content
                    if runner.is_draining:
                        content = content.replace(b'"ready"', b'"draining"')
                    self.store.put("keyed.servers", runner.name, content)
                    runner.heard_at, listed = now, True
                except httpx.HTTPError:
                    if listed and now - runner.heard_at > 3 * _HEARTBEAT_S:
                        self.store.put("keyed.servers", runner.name, None)
                        listed = False
                    await asyncio.sleep(0.1)
                    continue
                await asyncio.sleep(_HEARTBEAT_S)

    async def start(self) -> None:
        """Starts everything; returns once all entry processes are ready."""
        handler = platform_store.make_handler(self.store)
        await http_server.serve(self.store_address, handler)
        for runner in self.runners:
            self.start_runner(runner)
            task = asyncio.create_task(self._write_entries(runner))
            self.group.append(task)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_ready(entry)
        await self.wait_owner()

    async def wait_ready(self, entry: Entry) -> None:
        """Waits until a process says that it is ready."""
        url = f"http://{entry.readiness}/plantainvane/readyz"

        async def is_ready() -> bool:
            async with httpx.AsyncClient(trust_env=False) as client:
                try:
                    return (await client.get(url)).status_code == 200
                except httpx.HTTPError:
                    return False

        await wait_until(is_ready, _START_LIMIT_S, f"{entry.name} is ready")

    def find_owner(self) -> Entry | None:
        """Returns the process that the newest claim in the log names."""
        newest = self.store.list_newest("keyed.claims").get("0")
        if newest is None:
            return None
        holder = json.loads(newest[1])["holder"]
        return next((e for e in self.entries if e.name == holder), None)

    async def wait_owner(self) -> Entry:
        """Waits until a process owns the jobs."""

        async def is_owned() -> bool:
            return self.find_owner() is not None

        await wait_until(is_owned, _START_LIMIT_S, "a process owns the jobs")
        return self.find_owner()

    async def call(
        self,
        client: httpx.AsyncClient,
        entry: Entry,
        method: str,
        path: str,
        body: Any = None,
        deadline_ms: int = 3000,
    ) -> httpx.Response | None:
        """Sends a request as a client does; None without an answer."""
        began = time.time()
        answer, error = None, ""
        try:
            answer = await client.request(
                method,
                f"http://{entry.frontend}{path}",
                headers={"Host": HOST, "Deadline-Ms": str(deadline_ms)},
                content=json.dumps(body) if isinstance(body, dict) else body,
                timeout=deadline_ms / 1000,
            )
        except httpx.HTTPError as failure:
            error = type(failure).__name__
        self.note(
            "request",
            method=method,
            path=path,
            process=entry.name,
            sent=began,
            took_s=round(time.time() - began, 3),
            status=answer.status_code if answer is not None else None,
            answer=answer.text if answer is not None else "",
            error=error,
        )
        return answer

    def read_runs(self) -> list[dict[str, Any]]:
        """Returns what the runners have started, ended and forgotten."""
        lines = self.run_file.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def read_log(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event, of all processes."""
        found = []
        for entry in self.entries:
            path = self.temporary / f"{entry.name}.log"
            for line in path.read_text().splitlines():
                if event in line:
                    found.append(json.loads(line))
        return found

    def end_processes(self) -> None:
        """Ends all processes that were started."""
        for task in self.group:
            task.cancel()
        for target in (*self.entries, *self.runners):
            process = target.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()

    def write_record(self) -> None:
        """Writes record.txt and removes the temporary folder."""
        lines = sorted(
            [*self.lines, *self.read_runs()], key=lambda line: line["at"]
        )
        with open(self.folder / "record.txt", "w") as file:
            for line in lines:
                file.write(json.dumps(line) + "\n")
        shutil.rmtree(self.temporary)


def _find_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


async def wait_until(
    holds: Callable[[], Awaitable[bool]], limit_s: float, what: str
) -> None:
    """Waits until a condition holds.

    Raises:
      CannotRunError: It does not hold in time.
    """
    until = time.monotonic() + limit_s
    while not await holds():
        if time.monotonic() > until:
            raise CannotRunError(f"not in time: {what}")
        await asyncio.sleep(0.02)


class CannotRunError(Exception):
    """The case could not be brought about."""


def make_route(name: str = "outlooks", **fields: Any) -> dict[str, Any]:
    """Creates a queue of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": "unsafe",
        "TimeoutMs": 3000,
        "TargetCompletionMs": 1000,
        "Priority": 2,
        "Service": SERVICE,
        "Attempts": 3,
        "SlackFactor": 2.0,
        **fields,
    }


def run_case(
    file: str,
    entries: int,
    runners: int,
    play: Callable[[Deployment], Awaitable[list[str]]],
) -> None:
    """Plays a case and exits: 1 if a rule was broken, 0 if not, 2 if not run.

    `play` returns the faults that it has found.
    """
    deployment = Deployment(
        pathlib.Path(file).resolve().parent, entries, runners
    )

    async def play_and_end() -> list[str]:
        try:
            return await play(deployment)
        finally:
            deployment.end_processes()
            await http_server.break_connections()

    try:
        faults = asyncio.run(play_and_end())
        for fault in faults:
            deployment.note("rule broken", fault=fault)
            print(f"rule broken: {fault}")
        status = 1 if faults else 0
        print(f"faults: {len(faults)}")
    except Exception as error:  # noqa: BLE001
        # Any fault of the script itself tells nothing about the rule.
        deployment.note("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        status = 2
    deployment.write_record()
    sys.exit(status)
