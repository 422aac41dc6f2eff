"""Starts and stops all processes of a deployment on the local host.

    python -m standins.launcher --deployment examples/demo.json --directory run

writes a settings file for each process into the directory, starts the
processes, prints one JSON line with their addresses, and stops them on SIGINT
or SIGTERM.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Annotated
from typing import Any

import anyio
import anyio.abc
import httpx
import msgspec
import typer

from plantainvane import documents
from plantainvane import instances
from standins import runner as runner_module
from standins import serving
from standins import worker as worker_module

ROOT = pathlib.Path(__file__).parent.parent
PLATFORM_HOST = "127.0.0.2"
# Failure domain i listens on 127.0.0.(10 + i). Outgoing connections use
# 127.0.0.1 as their source, so their ephemeral ports never collide with a port
# that was found free on another address.
FIRST_DOMAIN_HOST = 10
READY_TIMEOUT_S = 30.0
END_TIMEOUT_S = 10.0


class RequestLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request load of one service class.

    Attributes:
      rate_per_s: Mean rate of requests in open-loop mode.
      callers: Number of closed-loop callers; 0 selects open-loop mode.
    """

    rate_per_s: float = 0.0
    callers: int = 0
    body_bytes: int = 256
    deadline_ms: int | None = None


class TaskLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tasks to submit of one batch class.

    Attributes:
      use_factor: Ratio of used to declared processors and memory.
      failing: How many of the `count` tasks fail on every attempt.
    """

    count: int
    steps: int
    step_ms: int
    use_factor: float = 1.0
    failing: int = 0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a deployment file.

    Attributes:
      domains: Failure domains; workers are assigned to them round-robin.
      entry_per_domain: Number of entry processes in each domain.
      workers: Total number of workers; each hosts one runner.
      workers_per_rack: Number of workers in a rack; racks do not span domains.
      documents: Paths of the operator documents in the order in which they are
        published, relative to the deployment file.
      runner_classes: Simulated cost of each service class, on every runner.
      interference: See `standins.runner.RunnerSettings`.
      entry: Top-level sections that override those in the settings of every
        entry process.
      list_lag_s: Delay after which the instance list shows changes.
      appends_per_s: Rate limit of the log.
      requests, tasks: Load by service class and by batch class.
    """

    name: str
    domains: tuple[str, ...]
    entry_per_domain: int
    workers: int
    worker_size: documents.Size
    documents: tuple[str, ...]
    runner_classes: dict[str, runner_module.RunClass]
    workers_per_rack: int = 8
    interference: dict[str, dict[str, float]] = {}
    entry: dict[str, Any] = {}
    list_lag_s: float = 2.0
    appends_per_s: float = 400.0
    requests: dict[str, RequestLoad] = {}
    tasks: dict[str, TaskLoad] = {}


class Process(msgspec.Struct, kw_only=True):
    """One process of a deployment.

    Attributes:
      role: log, instance_list, worker, runner or entry.
      domain: Failure domain; empty for the log and the instance list.
      addresses: `ip:port` by purpose.
      health: `ip:port/path` that answers 200 when the process is ready.
      module: Python module that is run with `-m`.
      audit_file: Path of the audit file of a worker or runner; else empty.
      pid: Process id of the last start; 0 before the first.
    """

    id: str
    role: str
    domain: str
    addresses: dict[str, str]
    health: str
    module: str
    arguments: tuple[str, ...]
    audit_file: str = ""
    pid: int = 0


@dataclasses.dataclass(slots=True)
class Cluster:
    """The processes of a deployment; all dictionaries are keyed by process id.

    Attributes:
      directory: Holds the settings, output and audit files.
      processes: All planned processes.
      running: Processes that are running.
      ended: When a process that no longer runs was killed or ended, by the
        host's monotonic clock.
      statuses: Exit status of each process ended by `end_process`.
    """

    deployment: Deployment
    directory: pathlib.Path
    processes: dict[str, Process]
    running: dict[str, anyio.abc.Process] = dataclasses.field(
        default_factory=dict
    )
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def list_role(self, role: str) -> list[Process]:
        """Lists the processes of one role, in the order of planning."""
        return [p for p in self.processes.values() if p.role == role]


def load_deployment(path: pathlib.Path) -> Deployment:
    """Reads a deployment file.

    Raises:
      msgspec.ValidationError: The file is not a deployment.
    """
    return msgspec.json.decode(path.read_bytes(), type=Deployment)


def read_documents(
    deployment: Deployment, directory: pathlib.Path
) -> list[documents.Document]:
    """Reads a deployment's operator documents.

    Args:
      deployment: Names the files of the documents.
      directory: Directory of the deployment file.

    Raises:
      msgspec.ValidationError: A file is not an operator document.
    """
    return [
        msgspec.json.decode(
            (directory / name).read_bytes(), type=documents.Document
        )
        for name in deployment.documents
    ]


def plan_cluster(deployment: Deployment, directory: pathlib.Path) -> Cluster:
    """Plans all processes and writes their settings into `directory`.

    Deletes the settings, output, audit and event files of earlier runs.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("*"):
        if old.suffix in (".json", ".log", ".audit", ".events"):
            old.unlink()
    cluster = Cluster(deployment, directory, {})
    ports: set[str] = set()
    _plan_platform(cluster, ports)
    registered = []
    for index in range(deployment.workers):
        registered += _plan_worker(cluster, ports, index)
    _plan_list(cluster, ports, registered)
    _plan_entries(cluster, ports)
    return cluster


async def start_process(cluster: Cluster, process_id: str) -> None:
    """Starts one process; appends its output to `<id>.log`."""
    process = cluster.processes[process_id]
    output = (cluster.directory / f"{process_id}.log").open("ab")
    with output:
        started = await anyio.open_process(
            [sys.executable, "-m", process.module, *process.arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            # In a session of its own the process does not receive the
            # terminal's Ctrl-C; only the launcher does, and ends the others.
            start_new_session=True,
        )
    process.pid = started.pid
    cluster.running[process_id] = started
    cluster.ended.pop(process_id, None)


async def wait_process_ready(
    process: Process, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Waits until a process answers its health address with 200.

    Raises:
      TimeoutError: The process was not ready within `timeout_s`.
    """
    async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
        with anyio.move_on_after(timeout_s):
            while not await is_ready(client, process):
                await anyio.sleep(0.1)
            return
    raise TimeoutError(f"{process.id} is not ready after {timeout_s} s")


async def end_process(cluster: Cluster, process_id: str) -> int:
    """Ends one process with SIGTERM, then SIGKILL after `END_TIMEOUT_S`.

    Returns:
      The exit status of the process.
    """
    process = cluster.running.pop(process_id)
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGCONT)
        process.terminate()
    with anyio.move_on_after(END_TIMEOUT_S):
        await process.wait()
    if process.returncode is None:
        process.kill()
    status = await process.wait()
    cluster.ended[process_id] = time.monotonic()
    cluster.statuses[process_id] = status
    return status


async def kill_process(cluster: Cluster, process_id: str) -> None:
    """Kills one process with SIGKILL."""
    process = cluster.running.pop(process_id)
    process.kill()
    await process.wait()
    cluster.ended[process_id] = time.monotonic()


def pause_process(cluster: Cluster, process_id: str) -> None:
    """Suspends one process with SIGSTOP until `resume_process`."""
    cluster.running[process_id].send_signal(signal.SIGSTOP)


def resume_process(cluster: Cluster, process_id: str) -> None:
    """Resumes a process with SIGCONT; does nothing if it no longer runs."""
    if process_id in cluster.running:
        cluster.running[process_id].send_signal(signal.SIGCONT)


@contextlib.asynccontextmanager
async def run_cluster(cluster: Cluster) -> AsyncIterator[Cluster]:
    """Context manager that starts all processes and ends them on exit."""
    try:
        await _start_processes(cluster)
        yield cluster
    finally:
        with anyio.CancelScope(shield=True):
            # Entry processes end first, so that they drain and release their
            # claims while the other processes still run.
            entries = {process.id for process in cluster.list_role("entry")}
            await _end_processes(cluster, entries & cluster.running.keys())
            await _end_processes(cluster, set(cluster.running))


def plan_additional_worker(
    cluster: Cluster, domain: str
) -> list[instances.Instance]:
    """Plans an additional worker with its runner in `domain`.

    Returns:
      Their entries for the instance list; neither is started or registered.
    """
    deployment = cluster.deployment
    taken = {
        address
        for process in cluster.processes.values()
        for address in process.addresses.values()
    }
    offset = deployment.domains.index(domain)
    count = sum(p.domain == domain for p in cluster.list_role("worker"))
    index = count * len(deployment.domains) + offset
    return _plan_worker(cluster, taken, index)


def describe_cluster(cluster: Cluster) -> dict[str, Any]:
    """Describes every process: role, failure domain, pid and addresses."""
    return {
        "deployment": cluster.deployment.name,
        "directory": str(cluster.directory),
        "processes": [
            {
                "id": process.id,
                "role": process.role,
                "domain": process.domain,
                "pid": process.pid,
                "addresses": process.addresses,
            }
            for process in cluster.processes.values()
        ],
    }


async def _end_processes(cluster: Cluster, names: set[str]) -> None:
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(end_process, cluster, name)


async def _start_processes(cluster: Cluster) -> None:
    """Starts log, instance list, workers and runners, then entry processes."""
    entries = {process.id for process in cluster.list_role("entry")}
    outside = [name for name in cluster.processes if name not in entries]
    for names in (outside, entries):
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(start_process, cluster, name)
        async with anyio.create_task_group() as group:
            for name in names:
                process = cluster.processes[name]
                group.start_soon(wait_process_ready, process)


def _plan_platform(cluster: Cluster, ports: set[str]) -> None:
    address = _find_address(PLATFORM_HOST, ports)
    settings = {
        "address": address,
        "appends_per_s": cluster.deployment.appends_per_s,
    }
    _add_process(
        cluster,
        settings,
        id="log",
        role="log",
        domain="",
        addresses={"http": address},
        health=f"{address}/stats",
        module="standins.log_service",
    )


def _plan_list(
    cluster: Cluster, ports: set[str], registered: list[instances.Instance]
) -> None:
    address = _find_address(PLATFORM_HOST, ports)
    settings = {
        "listen": address,
        "lag_s": cluster.deployment.list_lag_s,
        "registered": registered,
    }
    _add_process(
        cluster,
        settings,
        id="instance-list",
        role="instance_list",
        domain="",
        addresses={"http": address},
        health=f"{address}/health",
        module="standins.instance_list",
    )


def _plan_worker(
    cluster: Cluster, ports: set[str], index: int
) -> list[instances.Instance]:
    """Plans a worker and its runner; returns their instance list entries."""
    deployment = cluster.deployment
    domain = deployment.domains[index % len(deployment.domains)]
    position = index // len(deployment.domains)
    rack = f"{domain}-rack{position // deployment.workers_per_rack + 1}"
    host = _name_host(deployment, domain)
    worker_id = f"{domain}-w{position + 1}"
    runner_id = f"{domain}-r{position + 1}"
    worker_address = _find_address(host, ports)
    runner_address = _find_address(host, ports)
    _add_target(
        cluster,
        worker_module.WorkerSettings(
            id=worker_id,
            listen=worker_address,
            size=deployment.worker_size,
            audit_file=str(cluster.directory / f"{worker_id}.audit"),
            seed=index,
        ),
        "worker",
        domain,
    )
    _add_target(
        cluster,
        runner_module.RunnerSettings(
            id=runner_id,
            listen=runner_address,
            classes=deployment.runner_classes,
            worker=worker_address,
            interference=deployment.interference,
            audit_file=str(cluster.directory / f"{runner_id}.audit"),
            seed=index,
        ),
        "runner",
        domain,
    )
    kinds = instances.InstanceKind
    return [
        instances.Instance(
            id=worker_id,
            kind=kinds.WORKER,
            domain=domain,
            rack=rack,
            address=worker_address,
            size=deployment.worker_size,
        ),
        instances.Instance(
            id=runner_id,
            kind=kinds.RUNNER,
            domain=domain,
            rack=rack,
            address=runner_address,
            worker=worker_id,
            classes=tuple(deployment.runner_classes),
        ),
    ]


def _add_target(
    cluster: Cluster,
    settings: worker_module.WorkerSettings | runner_module.RunnerSettings,
    role: str,
    domain: str,
) -> None:
    _add_process(
        cluster,
        settings,
        id=settings.id,
        role=role,
        domain=domain,
        addresses={"http": settings.listen},
        health=f"{settings.listen}/health",
        module=f"standins.{role}",
        audit_file=settings.audit_file,
    )


def _plan_entries(cluster: Cluster, ports: set[str]) -> None:
    deployment = cluster.deployment
    names = [
        (f"{domain}-e{number + 1}", domain)
        for number in range(deployment.entry_per_domain)
        for domain in deployment.domains
    ]
    purposes = ("callers", "operators", "peers")
    listens = {
        name: {
            purpose: _find_address(_name_host(deployment, domain), ports)
            for purpose in purposes
        }
        for name, domain in names
    }
    for name, domain in names:
        seeds = [
            {"id": n, "domain": d, "peer_address": listens[n]["peers"]}
            for n, d in names
            if n != name
        ]
        settings = {
            "id": name,
            "domain": domain,
            "domains": deployment.domains,
            "listen": listens[name],
            "platform": {
                "log": cluster.processes["log"].addresses["http"],
                "instances": cluster.processes["instance-list"].addresses[
                    "http"
                ],
            },
            "seeds": seeds,
            "log_file": str(cluster.directory / f"{name}.events"),
        } | deployment.entry
        _add_process(
            cluster,
            settings,
            id=name,
            role="entry",
            domain=domain,
            addresses=listens[name],
            health=f"{listens[name]['callers']}/health",
            module="plantainvane",
            command=("entry",),
        )


def _add_process(
    cluster: Cluster,
    settings: Any,
    command: tuple[str, ...] = (),
    **fields: Any,
) -> None:
    path = cluster.directory / f"{fields['id']}.json"
    encoded = msgspec.json.encode(settings)
    path.write_bytes(msgspec.json.format(encoded, indent=2) + b"\n")
    process = Process(arguments=(*command, "--settings", str(path)), **fields)
    cluster.processes[process.id] = process


def _name_host(deployment: Deployment, domain: str) -> str:
    index = deployment.domains.index(domain)
    return f"127.0.0.{FIRST_DOMAIN_HOST + index}"


def _find_address(host: str, taken: set[str]) -> str:
    while (address := serving.find_free_address(host)) in taken:
        pass
    taken.add(address)
    return address


async def is_ready(client: httpx.AsyncClient, process: Process) -> bool:
    """Tells whether the health address of a process answers 200."""
    try:
        reply = await client.get(f"http://{process.health}")
    except httpx.HTTPError:
        return False
    return reply.status_code == 200


async def wait_interrupt() -> None:
    """Waits for SIGINT or SIGTERM."""
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return


async def _run(deployment: pathlib.Path, directory: pathlib.Path) -> None:
    cluster = plan_cluster(load_deployment(deployment), directory.resolve())
    async with run_cluster(cluster):
        print(msgspec.json.encode(describe_cluster(cluster)).decode())
        sys.stdout.flush()
        await wait_interrupt()


def main(
    deployment: Annotated[pathlib.Path, typer.Option(help="JSON file.")],
    directory: Annotated[
        pathlib.Path, typer.Option(help="For settings, output and audits.")
    ] = pathlib.Path("run"),
) -> None:
    """Runs a deployment until it is interrupted."""
    anyio.run(_run, deployment, directory)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
