"""Deployment of a soak: entry processes, runners, store and the paths between.

The entry processes are real ones. The store and the runners are stand-ins in
the process of the soak; each process reaches the store, and all of them each
runner, by a proxied path.
"""

from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio
import anyio.abc
import httpx
import msgspec
import psutil

from plantainvane import asgi
from standins import launcher
from standins import platform_runner
from standins import platform_store
from standins import platform_system
from standins import serving
from standins import soak_links
from standins import soak_observations as observations_module

GRACE_S = 6.0
CALLERS_PORT, HEALTH_PORT, PEER_PORT = 8161, 8167, 8166
HEARTBEAT_S = 1.5
# The entry of a runner that is silent is removed after this time.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
# From the steady clock to the times in the logs of the processes.
_CLOCK_OFFSET_S = time.time() - time.monotonic()
_TICK_S = 0.02
# When the soak itself is late by this much, store and runners were disturbed.
_LATE_S = 0.4
_SAMPLE_S = 1.0
_OWN_END_RESTART_S = 1.0
COMMAND = (sys.executable, "-m", "plantainvane.platform")
_START_LIMIT_S = 30.0
_KILL_LIMIT_S = 5.0
_HEAD_END = b"\r\n\r\n"
_START_PATH = "/plantainvane/run-start"
_STORE_HOST, _RUNNERS_HOST, _LINKS_HOST = 201, 202, 203
_ZONES = ("zone-a", "zone-b", "zone-c")
_SHARES = (1.0, 0.7, 0.45)
_SEEDS = 3

_SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
Seeds = [{seeds}]
[Listen]
Frontend = "{ip}:{callers}"
Readiness = "{ip}:{health}"
ControlPlane = "{ip}:{peers}"
[Limits]
CpuShare = {share}
Cores = 1
[Bounds]
GracePeriodS = {grace_s}
MaxHoldMs = {max_hold_ms}
status_s = 120
[platform]
Address = "{store}"
"""

Observations = observations_module.Observations
Disturbance = observations_module.Disturbance


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """An entry process.

    Attributes:
      address: `ip:port` for callers.
      link: Its path to the store.
      life: Number of its incarnations so far.
      handle: The present incarnation; None while there is none.
      restart_s: Time from the end of the incarnation to the next one.
      ending: A signal that ends it was sent to the incarnation.
      paused: It was sent SIGSTOP.
      absences: Disturbances that end with the next start.
    """

    name: str
    ip: str
    address: str
    settings: pathlib.Path
    link: soak_links.Link
    life: int = 0
    handle: anyio.abc.Process | None = None
    restart_s: float = _OWN_END_RESTART_S
    ending: bool = False
    paused: bool = False
    absences: list[Disturbance] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """A runner.

    Attributes:
      report: State in its entry, or empty without one.
      life: Number of its incarnation, from 1 on.
      taken: Its lives are being disturbed, which excludes other faults.
      has_lapsed: Its lease is over.
    """

    state: platform_runner.RunnerState
    link: soak_links.Link
    report: str = ""
    life: int = 1
    taken: bool = False
    has_lapsed: bool = True


@dataclasses.dataclass(slots=True)
class Session:
    """A running soak.

    Attributes:
      group: Its tasks.
      servers: Servers of the stand-ins, which end by `stop`.
      prefix: First three numbers of all its addresses.
      version: Version of the configuration.
      stop: Ends the stand-ins.
      restarts: Processes that end are started again.
      command: Command of an entry process.
      max_hold_ms: Longest lease that runners grant.
      latest_s: Longest time by which the soak itself was late.
    """

    group: anyio.abc.TaskGroup
    servers: anyio.abc.TaskGroup
    directory: pathlib.Path
    prefix: str
    seen: Observations
    store: platform_store.StoreState = dataclasses.field(
        default_factory=platform_store.StoreState
    )
    store_address: str = ""
    processes: list[Process] = dataclasses.field(default_factory=list)
    runners: list[Runner] = dataclasses.field(default_factory=list)
    version: int = 0
    stop: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    restarts: bool = True
    command: Sequence[str] = COMMAND
    max_hold_ms: int = 6000
    latest_s: float = 0.0

    def find_owner(self) -> Process | None:
        """Returns the process that the newest claim in the store names."""
        newest = self.store.list_newest("keyed.claims").get("0")
        holder = msgspec.json.decode(newest[1])["holder"] if newest else ""
        return next((p for p in self.processes if p.name == holder), None)


def is_sound(process: Process) -> bool:
    """Tells whether a process runs and nothing was done to end or pause it."""
    is_held = process.ending or process.paused
    return process.handle is not None and not is_held


def read_now() -> float:
    """Returns the time of all observations: Unix time, on a steady clock."""
    return time.monotonic() + _CLOCK_OFFSET_S


def choose_prefix() -> str:
    """Returns three numbers of loopback addresses that no other run uses."""
    # The port of the metrics is fixed, so each run needs addresses of its own.
    run = os.getpid()
    return f"127.{130 + run // 250 % 100}.{run % 250 + 1}."


def disturb(
    session: Session, kind: str, target: str, planned: bool = False
) -> Disturbance:
    """Records a disturbance that begins now and has no end yet."""
    disturbance = Disturbance(kind, target, read_now(), float("inf"), planned)
    session.seen.disturbances.append(disturbance)
    return disturbance


async def start_session(session: Session, processes: int, runners: int) -> None:
    """Starts everything; returns once all processes are ready.

    Raises:
      TimeoutError: They were not ready in time.
    """
    session.store_address = serving.find_free_address(
        f"{session.prefix}{_STORE_HOST}"
    )
    handler = platform_store.make_handler(session.store)
    await _serve(session, handler, session.store_address)
    write_configuration(session, 1)
    for _ in range(runners):
        await add_runner(session)
    for number in range(1, processes + 1):
        await _add_process(session, number, processes)
    session.group.start_soon(_follow_runs, session)
    session.group.start_soon(_write_entries, session)
    session.group.start_soon(_take_samples, session)
    with anyio.fail_after(_START_LIMIT_S):
        await wait_ready(session)


async def _serve(session: Session, handler: asgi.Handler, address: str) -> None:
    application = asgi.make_application(handler, serving.BODY_LIMIT_BYTES)
    session.servers.start_soon(
        serving.serve_until, application, address, session.stop
    )
    await platform_system.wait_listening(address)


def write_configuration(session: Session, rise: int) -> None:
    """Writes a version with the route of jobs and the route of its number."""
    session.version += rise
    routes = [
        {
            "Name": name,
            "Host": platform_system.HOST,
            "PathPrefix": prefix,
            "Service": platform_system.SERVICE,
            "Attempts": 2,
            "SlackFactor": 2.0,
            "TargetCompletionMs": 1000,
            "Priority": 2,
        }
        for name, prefix in (
            ("outlooks", platform_system.PREFIX),
            (f"probe-{session.version}", make_probe_prefix(session.version)),
        )
    ]
    document = {
        "Version": session.version,
        "Routes": routes,
        "Services": [{"Name": platform_system.SERVICE, "Preconditions": True}],
    }
    now = read_now()
    session.store.put("keyed.op", "config", msgspec.json.encode(document))
    session.seen.configurations.append(
        observations_module.Configuration(session.version, now, read_now())
    )


def make_probe_prefix(version: int) -> str:
    """Returns the path prefix of the route that only `version` has."""
    return f"/probe-{version}/"


# Runners.


async def add_runner(session: Session) -> None:
    """Starts a runner under a new id."""
    state = platform_runner.RunnerState(
        f"i-{len(session.runners) + 1:03}", max_hold_ms=session.max_hold_ms
    )
    address = serving.find_free_address(f"{session.prefix}{_RUNNERS_HOST}")
    state.address = serving.find_free_address(f"{session.prefix}{_LINKS_HOST}")
    link = soak_links.Link(state.address, address)
    runner = Runner(state, link)
    session.runners.append(runner)

    listed: set[tuple[int, str, int]] = set()

    def note_run(kind: str, task: str, attempt: int, how: str) -> None:
        if kind == "listed":
            if (run := (runner.life, task, attempt)) in listed:
                return
            listed.add(run)
        event = observations_module.RunnerEvent(
            read_now(), state.id, kind, task, attempt, how
        )
        event.life, event.token = runner.life, state.token
        session.seen.runner_events.append(event)

    def note_order(data: bytes) -> None:
        head, _, body = data.partition(_HEAD_END)
        if _START_PATH.encode() in head:
            with contextlib.suppress(msgspec.DecodeError):
                order = msgspec.json.decode(body)
                note_run("ordered", order["Task"], order["Attempt"], "")

    link.on_request = note_order
    state.on_run = note_run
    state.on_call = lambda: _end_due_runs(session)
    state.on_crash = lambda: _note_runner(session, runner, "gone")
    carry_out = platform_runner.make_handler(state)

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        # A run whose lease is over ends before another is seen to start.
        _end_due_runs(session)
        return await carry_out(request)

    await _serve(session, handle, address)
    session.group.start_soon(soak_links.serve_link, link)
    await platform_system.wait_listening(state.address)
    report_runner(session, runner, "ready")


def _note_runner(session: Session, runner: Runner, kind: str) -> None:
    state = runner.state
    session.seen.runner_events.append(
        observations_module.RunnerEvent(
            read_now(), state.id, kind, cpu=state.cpu, life=runner.life
        )
    )


def report_runner(session: Session, runner: Runner, report: str) -> None:
    """Changes the state in the entry of a runner; empty removes the entry."""
    runner.report = report
    if report:
        _note_runner(session, runner, report)
        _write_entry(session, runner)
    else:
        session.store.put("keyed.servers", runner.state.id, None)


def _write_entry(session: Session, runner: Runner) -> None:
    state = runner.state
    entry = state.make_entry(
        state.address, platform_system.SERVICE, runner.report
    )
    session.store.put("keyed.servers", state.id, entry)


def crash_runner(runner: Runner, breaks: bool = True) -> None:
    """Ends a runner with all that runs there.

    Its connections break, or nothing is heard of it.
    """
    runner.state.crash()
    runner.link.refuses = True
    if breaks:
        runner.link.reset()
    else:
        runner.link.silence()


def restart_runner(
    session: Session,
    runner: Runner,
    clock_s: float = 0.0,
    announces: bool = True,
) -> None:
    """Starts the next incarnation of a runner under its id.

    Its clock begins at `clock_s`. Unless it `announces` itself, its entry is
    written with the next heartbeat only.
    """
    runner.state.restart()
    runner.state.clock_started_at -= clock_s
    runner.life += 1
    runner.link.refuses = False
    if announces:
        report_runner(session, runner, "ready")
    else:
        _note_runner(session, runner, "ready")


async def _write_entries(session: Session) -> None:
    while True:
        await anyio.sleep(HEARTBEAT_S)
        for runner in session.runners:
            is_alive = runner.report and not runner.state.crashed
            if is_alive and not session.store.down:
                _write_entry(session, runner)


def _end_due_runs(session: Session) -> None:
    """Ends what is due, and notes where the lease is over."""
    for runner in session.runners:
        state = runner.state
        state.end_due_attempts()
        has_lapsed = state.read_clock() > state.lease_until_ms
        if has_lapsed and not runner.has_lapsed:
            _note_runner(session, runner, "lapsed")
        runner.has_lapsed = has_lapsed


async def _follow_runs(session: Session) -> None:
    while True:
        before = read_now()
        await anyio.sleep(_TICK_S)
        late_s = read_now() - before - _TICK_S
        session.latest_s = max(session.latest_s, late_s)
        if late_s > _LATE_S:
            late = disturb(session, "soak_late", observations_module.EVERYTHING)
            late.began, late.ended = before, read_now()
        _end_due_runs(session)


# Processes.


async def _add_process(session: Session, number: int, count: int) -> None:
    name, ip = f"entry-{number:02}", f"{session.prefix}{number}"
    link = soak_links.Link(
        serving.find_free_address(f"{session.prefix}{_LINKS_HOST}"),
        session.store_address,
    )
    session.group.start_soon(soak_links.serve_link, link)
    await platform_system.wait_listening(link.address)
    seeds = ", ".join(
        f'"{session.prefix}{seed}:{PEER_PORT}"'
        for seed in range(1, min(count, _SEEDS) + 1)
    )
    path = session.directory / f"{name}.toml"
    path.write_text(
        _SETTINGS.format(
            name=name,
            ip=ip,
            zone=_ZONES[number % len(_ZONES)],
            seeds=seeds,
            callers=CALLERS_PORT,
            health=HEALTH_PORT,
            peers=PEER_PORT,
            share=_SHARES[number % len(_SHARES)],
            grace_s=GRACE_S,
            max_hold_ms=session.max_hold_ms,
            store=link.address,
        )
    )
    process = Process(name, ip, f"{ip}:{CALLERS_PORT}", path, link)
    session.processes.append(process)
    session.group.start_soon(_keep_running, session, process)


async def _keep_running(session: Session, process: Process) -> None:
    """Starts a process again each time it has ended."""
    while session.restarts:
        await _start(session, process)
        status = await process.handle.wait()
        _note_process(session, process, "exited", status)
        if not process.ending:
            process.absences.append(
                disturb(session, "own_end", process.name, planned=True)
            )
            process.restart_s = _OWN_END_RESTART_S
        process.handle = None
        await anyio.sleep(process.restart_s)


async def _start(session: Session, process: Process) -> None:
    environment = {
        "PLANTAINVANE_NODE_FILE": str(process.settings),
        "PYTHONPATH": str(launcher.ROOT),
    }
    with (session.directory / f"{process.name}.log").open("ab") as output:
        handle = await anyio.open_process(
            session.command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            cwd=launcher.ROOT,
            env=os.environ | environment,
            # The terminal's Ctrl-C is for the soak, which ends the processes.
            start_new_session=True,
        )
    process.handle, process.ending, process.paused = handle, False, False
    process.life += 1
    _note_process(session, process, "started")
    for absence in process.absences:
        absence.ended = read_now()
    process.absences.clear()


def _note_process(
    session: Session, process: Process, kind: str, status: int = 0
) -> None:
    session.seen.process_events.append(
        observations_module.ProcessEvent(
            read_now(), process.name, process.life, kind, status
        )
    )


def send_signal(session: Session, process: Process, name: str) -> bool:
    """Sends a signal to a process; returns False if there is none."""
    if process.handle is None or process.handle.returncode is not None:
        return False
    _note_process(session, process, name)
    # It may have ended since; its end is noted by the task that waits for it.
    with contextlib.suppress(ProcessLookupError):
        process.handle.send_signal(signal.Signals[name])
    return True


def end_process(
    session: Session, process: Process, name: str, restart_s: float
) -> None:
    """Ends a process by a signal; it is started again `restart_s` after it.

    SIGKILL follows after the grace period.
    """
    is_planned = name != "SIGKILL"
    process.absences.append(disturb(session, name, process.name, is_planned))
    process.ending, process.restart_s = True, restart_s
    send_signal(session, process, name)
    if is_planned:
        session.group.start_soon(_end_grace, session, process, process.life)


async def _end_grace(session: Session, process: Process, life: int) -> None:
    await anyio.sleep(GRACE_S)
    if process.life == life:
        send_signal(session, process, "SIGKILL")


async def pause_process(
    session: Session, process: Process, duration_s: float
) -> None:
    """Stops a process for some time, or until it has been killed."""
    life, process.paused = process.life, True
    pause = disturb(session, "SIGSTOP", process.name)
    send_signal(session, process, "SIGSTOP")
    await anyio.sleep(duration_s)
    if process.life == life:
        send_signal(session, process, "SIGCONT")
        process.paused = False
    pause.ended = read_now()


async def wait_ready(session: Session) -> None:
    """Waits until all processes are ready and one of them owns the jobs."""
    async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
        for process in session.processes:
            while not await _is_ready(client, process):
                await anyio.sleep(0.05)
    while session.find_owner() is None:
        await anyio.sleep(0.05)


async def _is_ready(client: httpx.AsyncClient, process: Process) -> bool:
    url = f"http://{process.ip}:{HEALTH_PORT}/plantainvane/readyz"
    try:
        return (await client.get(url)).status_code == 200
    except httpx.HTTPError:
        return False


async def wait_ended(session: Session, limit_s: float) -> None:
    """Waits until no process runs, for a limited time."""
    with anyio.move_on_after(limit_s):
        while any(process.handle for process in session.processes):
            await anyio.sleep(0.02)


async def kill_processes(session: Session) -> None:
    """Kills all processes that still run, without a record, and waits."""
    session.restarts = False
    with anyio.move_on_after(_KILL_LIMIT_S):
        for process in session.processes:
            handle = process.handle
            if handle is not None:
                with contextlib.suppress(ProcessLookupError):
                    handle.kill()
                await handle.wait()


async def _take_samples(session: Session) -> None:
    while True:
        for process in session.processes:
            if process.handle is not None:
                _take_sample(session, process, process.handle.pid)
        await anyio.sleep(_SAMPLE_S)


def _take_sample(session: Session, process: Process, pid: int) -> None:
    try:
        observed = psutil.Process(pid)
        memory_bytes = observed.memory_info().rss
        descriptors = observed.num_fds()
    except (psutil.NoSuchProcess, psutil.AccessDenied):
        # It has just ended, which is noted where it is waited for.
        return
    session.seen.samples.append(
        observations_module.Sample(
            read_now(), process.name, process.life, memory_bytes, descriptors
        )
    )
