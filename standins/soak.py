"""Soak of real entry processes under faults that are drawn from a seed."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import pathlib
import random
import tempfile
import traceback
from typing import Annotated
from typing import Any

import anyio
import msgspec
import typer

from standins import launcher
from standins import soak_audit
from standins import soak_clients
from standins import soak_faults
from standins import soak_observations as observations_module
from standins import soak_session as session_module

MIN_PROCESSES, MAX_PROCESSES = 6, 60
# Exit statuses: a rule was broken or nothing was checked; the soak failed.
EXIT_BROKEN, EXIT_FAILED = 1, 2
OBSERVATIONS_FILE = "observations.json"
_MIN_CLIENTS, _MAX_CLIENTS = 6, 24
_MIN_RUNNERS = 5
_PROCESSES_PER_RUNNER = 2
# Time before the first fault, in which load builds up.
_WARM_UP_S = 2.0
# After the faults: time for what a fault has left behind, and after it the time
# in which all jobs have to be shown as completed.
_CALM_S = 12.0
_FINISH_S = 14.0
_END_PAUSE_S = 0.15
# Between two looks for a finding that ends the soak.
_LOOK_S = 1.0
_SLOW_APPEND_S = 0.25
# A fault that waits for a call does not wait for longer.
_FAULT_LIMIT_S = 10.0
# Runners that are left at least, as a share; processes likewise.
_MIN_SOUND_SHARE = 0.5

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None
)

Fault = soak_faults.Fault
Session = session_module.Session
Process = session_module.Process
Runner = session_module.Runner


@dataclasses.dataclass(slots=True)
class Report:
    """Result of a soak.

    Attributes:
      began: Unix time of its start, in seconds.
      max_hold_ms: Longest lease that the runners granted.
      faults: Number of the faults that were brought about, by name; those
        that were not, as too little would have been left, as `left_out`;
        connections that were gone when they were to be reset, as
        `connection_gone`.
      findings: Rules that were broken.
      counts: Number of the findings of each rule.
      load: Requests by kind and status, and jobs by what became of them.
      starts: Starts of tasks at runners.
      latest_s: Longest time by which the soak itself was late.
      largest_bytes, most_descriptors: Highest values of one process.
      error: What ended the soak early, or empty. The end is not judged then.
    """

    seed: int
    minutes: float
    processes: int
    began: float
    max_hold_ms: int
    faults: dict[str, int]
    findings: list[soak_audit.Finding]
    counts: dict[str, int]
    load: dict[str, Any]
    starts: int
    latest_s: float
    largest_bytes: int
    most_descriptors: int
    error: str = ""


@dataclasses.dataclass(slots=True)
class _Course:
    """State of the faults of a soak; `ended` is the process ended last."""

    session: Session
    active: int = 0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ended: Process | None = None


async def run_soak(
    seed: int,
    minutes: float,
    processes: int,
    directory: pathlib.Path,
    command: Sequence[str] = session_module.COMMAND,
    plan: list[Fault] | None = None,
    ends_at: Callable[[soak_audit.Finding], bool] | None = None,
) -> tuple[Report, observations_module.Observations]:
    """Runs processes under load and faults, and audits what was seen.

    Args:
      seed: Faults and requests are drawn from it.
      minutes: Time in which faults occur; start and end come on top.
      processes: Number of entry processes.
      directory: For their settings files, logs and what was seen.
      command: Command of an entry process.
      plan: Faults, in place of those drawn from the seed.
      ends_at: Tells with which finding the soak ends early, if any.
    """
    if plan is None:
        plan = soak_faults.plan_faults(seed, 60 * minutes)
    seen = observations_module.Observations()
    began = session_module.read_now()
    servers, group = anyio.create_task_group(), anyio.create_task_group()
    prefix = session_module.choose_prefix()
    session = Session(group, servers, directory, prefix, seen)
    session.max_hold_ms = soak_faults.choose_longest_lease_ms(seed)
    session.command = command
    load, course = soak_clients.Load(session), _Course(session)
    findings: list[soak_audit.Finding] = []
    error = ""
    try:
        async with servers:
            try:
                async with group:
                    await _start_course(load, seed, processes)
                    await _run_course(course, load, seed, plan, ends_at)
                    group.cancel_scope.cancel()
            finally:
                with anyio.CancelScope(shield=True):
                    await session_module.kill_processes(session)
                session.stop.set()
    except Exception as failure:  # noqa: BLE001 - what was seen is reported
        error = _describe_error(failure)
    for disturbance in seen.disturbances:
        disturbance.ended = min(disturbance.ended, session_module.read_now())
    (directory / OBSERVATIONS_FILE).write_bytes(msgspec.json.encode(seen))
    try:
        findings = soak_audit.find_faults(seen)
    except Exception as failure:  # noqa: BLE001 - the rest is reported
        error = error or _describe_error(failure)
    links = [each.link for each in (*session.processes, *session.runners)]
    course.counts["connection_gone"] = sum(link.gone for link in links)
    report = Report(
        seed=seed,
        minutes=minutes,
        processes=processes,
        began=round(began, 3),
        max_hold_ms=session.max_hold_ms,
        faults=dict(sorted(course.counts.items())),
        findings=findings,
        counts=soak_audit.count_findings(findings),
        load=soak_clients.describe_load(load),
        starts=sum(event.kind == "start" for event in seen.runner_events),
        latest_s=round(session.latest_s, 3),
        largest_bytes=max((s.memory_bytes for s in seen.samples), default=0),
        most_descriptors=max((s.descriptors for s in seen.samples), default=0),
        error=error,
    )
    return report, seen


async def _start_course(
    load: soak_clients.Load, seed: int, processes: int
) -> None:
    runners = max(_MIN_RUNNERS, processes // _PROCESSES_PER_RUNNER)
    await session_module.start_session(load.session, processes, runners)
    _start_clients(load, seed)
    await anyio.sleep(_WARM_UP_S)


async def _run_course(
    course: _Course,
    load: soak_clients.Load,
    seed: int,
    plan: list[Fault],
    ends_at: Callable[[soak_audit.Finding], bool] | None,
) -> None:
    """Brings about the faults and ends the soak, or stops at a finding."""
    session = course.session
    with anyio.CancelScope() as scope:
        if ends_at:
            session.group.start_soon(
                _end_at_finding, session.seen, ends_at, scope
            )
        await _bring_faults(course, plan)
        await _end_soak(load, seed)


def _describe_error(error: Exception) -> str:
    """Returns one line that names the first cause, and where it was raised."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    place = traceback.extract_tb(error.__traceback__)[-1]
    cause = " ".join(traceback.format_exception_only(error)[-1].split())
    name = pathlib.Path(place.filename).name
    return f"{cause} ({place.name}, {name}:{place.lineno})"


async def _end_at_finding(
    seen: observations_module.Observations,
    ends_at: Callable[[soak_audit.Finding], bool],
    scope: anyio.CancelScope,
) -> None:
    while not any(map(ends_at, soak_audit.find_faults(seen))):
        await anyio.sleep(_LOOK_S)
    scope.cancel()


def _start_clients(load: soak_clients.Load, seed: int) -> None:
    session = load.session
    processes = len(session.processes)
    count = min(max(processes, _MIN_CLIENTS), _MAX_CLIENTS)
    for client in soak_clients.make_clients(session, seed, count, "client"):
        session.group.start_soon(soak_clients.run_client, load, client)
    for client in soak_clients.make_clients(session, seed, processes, "prober"):
        session.group.start_soon(soak_clients.run_prober, load, client)


async def _end_soak(load: soak_clients.Load, seed: int) -> None:
    """Waits until all jobs have ended in calm, then ends all processes."""
    session, seen = load.session, load.session.seen
    with anyio.move_on_after(_CALM_S):
        await session_module.wait_ready(session)
    seen.calm_from = session_module.read_now()
    await anyio.sleep(_CALM_S)
    load.submits = False
    (client,) = soak_clients.make_clients(session, seed, 1, "last")
    with anyio.move_on_after(_FINISH_S):
        # Lasting jobs are asked for once; the others until they have ended.
        for job_id, job in list(load.accepted.items()):
            while not await soak_clients.ask(load, client, job_id) and (
                job.lasts or job_id in load.accepted
            ):
                await anyio.sleep(_END_PAUSE_S)
        while soak_clients.is_finite_left(load):
            for job_id, job in list(load.accepted.items()):
                if not job.lasts:
                    await soak_clients.ask(load, client, job_id)
            await anyio.sleep(_END_PAUSE_S)
    seen.ended = session_module.read_now()
    session.restarts = False
    for process in session.processes:
        session_module.end_process(session, process, "SIGTERM", 0.0)
        await anyio.sleep(_END_PAUSE_S)
    await session_module.wait_ended(session, session_module.GRACE_S + 1)


async def _bring_faults(course: _Course, plan: list[Fault]) -> None:
    """Brings about the faults of a plan; returns once none is in force."""
    began = anyio.current_time()
    for fault in plan:
        await anyio.sleep_until(began + fault.at_s)
        course.session.group.start_soon(_bring_fault, course, fault)
    await anyio.sleep(_END_PAUSE_S)
    while course.active:
        await anyio.sleep(_END_PAUSE_S)


async def _bring_fault(course: _Course, fault: Fault) -> None:
    course.active += 1
    act = _ACTIONS[fault.group]
    name = f"{fault.group}.{fault.kind}"
    if await act(course, fault):
        course.counts[name] += 1
    else:
        course.counts["left_out"] += 1
    course.active -= 1


def _choose(candidates: list[Any], fault: Fault, total: int) -> Any:
    """Chooses a candidate; None if too few would be left of `total`."""
    if len(candidates) - 1 < math.ceil(_MIN_SOUND_SHARE * total):
        return None
    return candidates[int(fault.target * len(candidates))]


async def _disturb_process(course: _Course, fault: Fault) -> bool:
    session = course.session
    if fault.kind.startswith("then_"):
        _, _, name = fault.kind.partition("_")
        ended = course.ended
        return ended is not None and (
            ended.ending and session_module.send_signal(session, ended, name)
        )
    sound = [p for p in session.processes if session_module.is_sound(p)]
    process = _choose(sound, fault, len(session.processes))
    owner = session.find_owner()
    if process is None:
        return False
    if fault.target < 0 and owner in sound:
        process = owner
    if fault.kind in ("SIGTERM", "SIGINT", "SIGKILL"):
        course.ended = process
        session_module.end_process(
            session, process, fault.kind, fault.duration_s
        )
        life = process.life
        while process.life == life and session.restarts:
            await anyio.sleep(_END_PAUSE_S)
    elif fault.kind == "SIGSTOP":
        await session_module.pause_process(session, process, fault.duration_s)
    elif fault.kind == "SIGHUP":
        session_module.send_signal(session, process, fault.kind)
    else:
        await _disturb_link(session, process.link, process.name, fault)
    return True


async def _disturb_link(
    session: Session, link: Any, target: str, fault: Fault
) -> None:
    """Holds a path up, resets its connections or lets them go silent."""
    disturbance = session_module.disturb(session, fault.kind, target)
    if fault.kind.endswith("held"):
        link.hold()
        await anyio.sleep(fault.duration_s)
        link.release()
    elif fault.kind.endswith("reset"):
        link.reset()
    else:
        link.silence()
    disturbance.ended = session_module.read_now()


async def _disturb_runner(course: _Course, fault: Fault) -> bool:
    session = course.session
    if fault.kind == "added":
        await session_module.add_runner(session)
        return True
    ready = [r for r in session.runners if r.report == "ready"]
    sound = [r for r in ready if not (r.state.crashed or r.taken)]
    total = max(_MIN_RUNNERS, len(session.processes) // _PROCESSES_PER_RUNNER)
    runner = _choose(sound, fault, total)
    if runner is None:
        return False
    name = runner.state.id
    if fault.kind in ("held", "reset", "silent"):
        await _disturb_link(session, runner.link, name, fault)
        return True
    if fault.kind == "order_late":
        await _delay_order(session, runner, fault)
        return True
    if fault.kind == "lives":
        await _begin_lives(session, runner, fault)
        return True
    disturbance = session_module.disturb(session, fault.kind, name)
    if fault.kind == "drained":
        session_module.report_runner(session, runner, "draining")
        await anyio.sleep(fault.duration_s)
        session_module.crash_runner(runner)
        session_module.report_runner(session, runner, "")
        await session_module.add_runner(session)
    elif fault.kind == "crashed":
        session_module.crash_runner(runner)
        await anyio.sleep(fault.duration_s)
        session_module.restart_runner(session, runner)
    else:
        session_module.crash_runner(runner)
        await anyio.sleep(session_module.ENTRY_EXPIRY_S)
        session_module.report_runner(session, runner, "")
        await session_module.add_runner(session)
    disturbance.ended = session_module.read_now()
    return True


async def _delay_order(session: Session, runner: Runner, fault: Fault) -> None:
    """Lets the next start at a runner be carried out late, unanswered."""
    state = runner.state
    disturbance = session_module.disturb(session, fault.kind, state.id)
    state.delayed_starts.append(fault.duration_s)
    with anyio.move_on_after(_FAULT_LIMIT_S):
        while state.delayed_starts:
            await anyio.sleep(_END_PAUSE_S)
    await _end_late_calls(runner)
    disturbance.ended = session_module.read_now()


async def _end_late_calls(runner: Runner) -> None:
    """Delays no further call; waits until the present ones are carried out."""
    state = runner.state
    state.delayed_starts.clear()
    state.delayed_polls.clear()
    while state.late_calls:
        await anyio.sleep(_END_PAUSE_S)


async def _begin_lives(session: Session, runner: Runner, fault: Fault) -> None:
    """Has a runner begin new lives, and cuts it off in the last one."""
    state, lives = runner.state, soak_faults.plan_lives(fault)
    disturbance = session_module.disturb(session, fault.kind, state.id)
    runner.taken = True
    state.delayed_starts.extend(lives.late_starts_s)
    state.delayed_polls.extend(lives.late_polls_s)
    state.delays_acknowledgements = lives.acknowledging
    await anyio.sleep(lives.lead_s)
    for dark_s, lived_s in lives.spans_s:
        session_module.crash_runner(runner, lives.breaks)
        await anyio.sleep(dark_s)
        session_module.restart_runner(
            session, runner, lives.clock_s, lives.announces
        )
        await anyio.sleep(lived_s)
    runner.link.hold(lives.ways)
    await anyio.sleep(fault.duration_s)
    runner.link.release()
    runner.taken = False
    await _end_late_calls(runner)
    disturbance.ended = session_module.read_now()


async def _disturb_store(course: _Course, fault: Fault) -> bool:
    session = course.session
    store = session.store
    if store.down or store.lose_answers or store.append_delay_s:
        return False
    # While appends are slow, the ends of processes find requests to answer.
    disturbance = session_module.disturb(
        session,
        fault.kind,
        observations_module.EVERYTHING,
        planned=fault.kind == "slow",
    )
    if fault.kind == "outage":
        store.down = True
        await anyio.sleep(fault.duration_s)
        store.down = False
    elif fault.kind == "slow":
        store.append_delay_s = _SLOW_APPEND_S
        await anyio.sleep(fault.duration_s)
        store.append_delay_s = 0.0
    else:
        store.lose_answers = fault.number
        with anyio.move_on_after(_FAULT_LIMIT_S):
            while store.lose_answers:
                await anyio.sleep(_END_PAUSE_S)
        store.lose_answers = 0
    disturbance.ended = session_module.read_now()
    return True


async def _write_configuration(course: _Course, fault: Fault) -> bool:
    # The store acknowledges nothing while it is down.
    if course.session.store.down:
        return False
    session_module.write_configuration(course.session, fault.number)
    return True


_ACTIONS: dict[str, Callable[[_Course, Fault], Any]] = {
    "process": _disturb_process,
    "runner": _disturb_runner,
    "store": _disturb_store,
    "configuration": _write_configuration,
}


async def _run_to_end(
    seed: int, minutes: float, processes: int, directory: pathlib.Path
) -> Report | None:
    """Runs a soak; a signal ends it with its processes, without a report."""
    report = None

    async def interrupt(scope: anyio.CancelScope) -> None:
        await launcher.wait_interrupt()
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(interrupt, group.cancel_scope)
        report, _ = await run_soak(seed, minutes, processes, directory)
        group.cancel_scope.cancel()
    return report


def describe_report(report: Report) -> list[str]:
    """Returns the lines of a report for a reader."""
    lines = [f"the soak itself failed: {report.error}"] if report.error else []
    lines += [
        f"seed {report.seed}: {report.processes} processes, faults for"
        f" {report.minutes:g} min, leases of {report.max_hold_ms} ms at most",
        "faults: " + _describe_counts(report.faults),
        "jobs: " + _describe_counts(report.load["jobs"]),
    ]
    for kind, counts in report.load["requests"].items():
        lines.append(f"requests, {kind}: {_describe_counts(counts)}")
    lines += [
        f"starts at runners: {report.starts}",
        f"largest process: {report.largest_bytes / 1e6:.0f} MB,"
        f" {report.most_descriptors} open descriptors",
        f"the soak itself was late by {report.latest_s:.2f} s at most",
    ]
    for rule, text in soak_audit.RULES.items():
        number = report.counts[rule]
        kept = "kept until then" if report.error else "kept"
        result = f"BROKEN, {number} times" if number else kept
        lines.append(f"{rule}: {text}: {result}")
    lines += [
        f"  {finding.at - report.began:.2f} s: {finding.rule}: {finding.text}"
        for finding in report.findings
    ]
    return lines


def _describe_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


@app.command()
def main(
    seed: Annotated[
        int | None, typer.Option(help="Faults and requests follow from it.")
    ] = None,
    minutes: Annotated[
        float, typer.Option(min=0.05, help="Time in which faults occur.")
    ] = 1.0,
    processes: Annotated[
        int, typer.Option(min=MIN_PROCESSES, max=MAX_PROCESSES)
    ] = 6,
    report: Annotated[
        pathlib.Path | None, typer.Option(help="File for the JSON report.")
    ] = None,
    directory: Annotated[
        pathlib.Path | None,
        typer.Option(help="Keeps settings, logs and what was seen."),
    ] = None,
) -> None:
    """Soaks real processes under seeded faults; exits with 1 if a rule broke.

    The exit status is 2 if the soak itself failed. Without a seed one is drawn;
    the report names it.
    """
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    with tempfile.TemporaryDirectory() as temporary:
        folder = directory or pathlib.Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            result = anyio.run(_run_to_end, seed, minutes, processes, folder)
        except OSError as error:
            typer.echo(f"the soak itself failed: {error}", err=True)
            raise typer.Exit(EXIT_FAILED) from error
    if result is None:
        typer.echo(f"seed {seed}: interrupted, nothing was checked", err=True)
        raise typer.Exit(EXIT_BROKEN)
    for line in describe_report(result):
        typer.echo(line)
    if report is not None:
        encoded = msgspec.json.encode(result)
        report.write_bytes(msgspec.json.format(encoded, indent=2) + b"\n")
    if result.error:
        raise typer.Exit(EXIT_FAILED)
    raise typer.Exit(EXIT_BROKEN if result.findings else 0)


if __name__ == "__main__":
    app()
