"""Seeded runs of whole fleets in one process under virtual time."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import os
import random
import sys
import time
from typing import Annotated

import typer

from standins import explore_audit
from standins import explore_faults
from standins import explore_fleet
from standins import explore_loop
from standins import explore_runners
from standins import explore_store
from standins import explore_world as world_module
from standins import soak_audit
from standins import soak_observations as observations_module

_PROCESSES = 3
_MIN_RUNNERS, _MAX_RUNNERS = 4, 8
_DOMAINS = ("east", "west")
_MAX_HOLDS_MS = (6_000, 10_000)
# Time before the first fault.
_WARM_UP_S = 4.0
# Time after the end in which the states of jobs are asked for.
_FINISH_S = 5.0
_MIN_REQUEST_S = 0.25
_MIN_RUN_S = 0.2
# Longest tasks of a run, one of which is drawn.
_MAX_RUN_S = (1.0, 5.0, 14.0, 40.0)
_MAX_TASKS = 4
_STEPS_SHARE = 0.25
_MAX_STEPS = 3
# Mean share of the fleet that tasks which end take up without faults: with
# those that last, and half of the runners in trouble, there is room for them.
_BUSY_SHARE = 0.2
_TASK_CPU = 1_000
_LASTING_JOBS = 3
# Time between two questions for the state of a job that lasts.
_WATCH_S = 2.0
_CANCEL_SHARE = 0.12
# Time that a timeline shows before a finding.
_SHOWN_S = 25.0
_MAX_SHOWN_CHARACTERS = 180

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a run.

    Attributes:
      digest: Check sum of the trace.
      findings: Rules that were broken.
      unavoidable: Findings of starts that a runner carried out late in a life
        that no other call had reached, so that nothing could prevent them.
      trace: Time and text of all that happened.
      starts, late_calls: Numbers of starts, and of calls carried out late.
      accepted: Number of jobs that were accepted.
      longest_run_s: Length of the longest tasks.
    """

    seed: int
    digest: str
    findings: list[soak_audit.Finding]
    unavoidable: list[soak_audit.Finding]
    trace: list[tuple[float, str]]
    starts: int
    late_calls: int
    accepted: int
    longest_run_s: float = 0.0


def run_seed(
    seed: int, minutes: float, allow: Callable[[str], bool] = lambda kind: True
) -> Outcome:
    """Runs a fleet with faults for some minutes of virtual time.

    Args:
      seed: All random numbers follow from it.
      minutes: Time in which faults occur.
      allow: Tells which kinds of faults occur.
    """

    async def main() -> Outcome:
        world = world_module.World(
            asyncio.get_running_loop(), random.Random(seed)
        )
        return await _run_world(world, seed, minutes, allow)

    return explore_loop.run(main)


async def _run_world(
    world: world_module.World,
    seed: int,
    minutes: float,
    allow: Callable[[str], bool],
) -> Outcome:
    fleet = _make_fleet(world)
    longest_run_s = world.draws.choice(_MAX_RUN_S)
    with world_module.replace_surroundings(world, fleet.serve_peers):
        fleet.publish_configuration()
        for runner in fleet.runners:
            runner.begin()
        for process in fleet.processes:
            fleet.start(process)
        clients = world.spawn(_run_clients(fleet, longest_run_s))
        await asyncio.sleep(_WARM_UP_S)
        await explore_faults.run_faults(fleet, minutes * 60, allow)
        clients.cancel()
        await asyncio.sleep(_find_settle_s(fleet, longest_run_s))
        world.seen.calm_from = world.read_now()
        await _ask_states(fleet)
        await asyncio.sleep(_FINISH_S)
        world.seen.ended = world.read_now()
        for process in fleet.processes:
            if process.is_up:
                fleet.kill(process)
        await asyncio.sleep(0.1)
        world.close()
    if world.error is not None:
        raise world.error
    events = world.seen.runner_events
    exchanges = world.seen.exchanges
    strays = [stray for r in fleet.runners for stray in r.stray_starts]
    findings = soak_audit.find_faults(world.seen)
    findings += explore_audit.find_early_starts(fleet.steps, events)
    findings.sort(key=lambda finding: finding.at)
    unavoidable = [f for f in findings if is_unavoidable(f, strays)]
    return Outcome(
        seed,
        world_module.digest_trace(world),
        [f for f in findings if f not in unavoidable],
        unavoidable,
        world.trace,
        sum(event.kind == "start" for event in events),
        world.late_calls,
        sum(e.kind == "submit" and e.status == 200 for e in exchanges),
        longest_run_s,
    )


def is_unavoidable(
    finding: soak_audit.Finding, strays: list[explore_runners.StrayStart]
) -> bool:
    """Tells whether a finding is about a start that nothing could prevent.

    It is the later of two starts, or the other run starts beside it before a
    call has reached the life that carried it out, and after an earlier life had
    denied it. Without that the owner has to wait for a lease of such a life.
    """
    return finding.rule == "twice" and any(
        _is_late_start(finding, stray) or _is_beside(finding, stray)
        for stray in strays
    )


def _is_late_start(
    finding: soak_audit.Finding, stray: explore_runners.StrayStart
) -> bool:
    start = f"{stray.task}: {stray.attempt} at {stray.runner} "
    return finding.at == stray.at and finding.text.startswith(start)


def _is_beside(
    finding: soak_audit.Finding, stray: explore_runners.StrayStart
) -> bool:
    task, _, text = finding.text.partition(": ")
    return (
        stray.is_first
        and stray.was_denied
        and task == stray.task
        and text.endswith(f" beside {stray.attempt} at {stray.runner}")
        and stray.at <= finding.at < stray.unknown_until
    )


def _make_fleet(world: world_module.World) -> explore_fleet.Fleet:
    draws = world.draws
    log = explore_store.Log(world)
    fleet = explore_fleet.Fleet(world, log, draws.choice(_MAX_HOLDS_MS))
    for number in range(draws.randint(_MIN_RUNNERS, _MAX_RUNNERS)):
        runner = explore_runners.Runner(
            world,
            log,
            f"runner-{number}",
            f"10.2.0.{number + 1}:80",
            _DOMAINS[number % len(_DOMAINS)],
            fleet.max_hold_ms,
        )
        fleet.runners.append(runner)
    for number in range(_PROCESSES):
        process = explore_fleet.Process(
            f"entry-{number}",
            f"10.1.0.{number + 1}:90",
            _DOMAINS[number % len(_DOMAINS)],
        )
        fleet.processes.append(process)
    return fleet


def _find_settle_s(fleet: explore_fleet.Fleet, longest_run_s: float) -> float:
    """Returns the time after the last fault in which all jobs end.

    A call of the last moment may come late and grant the longest lease to an
    attempt that does not end, as it is unknown to the owner or cut off; then
    its task starts again in time, and runs.
    """
    lease_s = fleet.max_hold_ms / 1000 / explore_runners.SLOWEST_RATE
    wait_s = soak_audit.WAIT_S
    return world_module.LATE_MAX_S + lease_s + wait_s + longest_run_s


def _draw_run_s(draws: random.Random, longest_run_s: float) -> float:
    """Draws the length of a task: short and long ones are as frequent."""
    shortest, longest = math.log(_MIN_RUN_S), math.log(longest_run_s)
    return math.exp(draws.uniform(shortest, longest))


def _find_mean_request_s(
    fleet: explore_fleet.Fleet, longest_run_s: float
) -> float:
    """Returns the mean time between two jobs, for which the fleet has room."""
    ratio = longest_run_s / _MIN_RUN_S
    mean_run_s = (longest_run_s - _MIN_RUN_S) / math.log(ratio)
    mean_tasks = (1 + _MAX_TASKS) / 2
    room = len(fleet.runners) * explore_runners.CPU / _TASK_CPU
    needed_s = mean_run_s * mean_tasks / (room * _BUSY_SHARE)
    return max(_MIN_REQUEST_S, needed_s)


async def _run_clients(
    fleet: explore_fleet.Fleet, longest_run_s: float
) -> None:
    """Submits jobs until it is cancelled; some of them are cancelled."""
    world = fleet.world
    mean_s = _find_mean_request_s(fleet, longest_run_s)
    draws, lasting = world.draws, 0
    await asyncio.sleep(1.0)
    while True:
        lasts = lasting < _LASTING_JOBS
        lasting += lasts
        run_s = 0.0 if lasts else _draw_run_s(draws, longest_run_s)
        steps = _draw_steps(draws, lasts)
        # Its steps take as long, one after the other, as a job of one step.
        work = explore_runners.Work(round(run_s / len(steps), 3), _TASK_CPU)
        world.spawn(_follow_job(fleet, work, steps))
        await asyncio.sleep(draws.expovariate(1 / mean_s))


def _draw_steps(
    draws: random.Random, lasts: bool
) -> tuple[explore_fleet.Step, ...]:
    """Draws the steps of a job, each of which may depend on those before."""
    count = 1
    if not lasts and draws.random() < _STEPS_SHARE:
        count = draws.randint(2, _MAX_STEPS)
    steps = []
    for number in range(count):
        earlier = [n for n in range(number) if draws.random() < 0.7]
        tasks = draws.randint(1, _MAX_TASKS)
        steps.append(explore_fleet.Step(tasks, tuple(earlier)))
    return tuple(steps)


async def _follow_job(
    fleet: explore_fleet.Fleet,
    work: explore_runners.Work,
    steps: tuple[explore_fleet.Step, ...],
) -> None:
    world = fleet.world
    job_id = f"{next(fleet.numbers):016x}"
    fleet.steps[job_id] = steps
    tasks = sum(step.count for step in steps)
    world.seen.jobs.append(
        observations_module.Job(job_id, tasks, work.cpu, not work.run_s)
    )
    tries = 0
    while tries < 3:
        processes = fleet.list_up()
        if processes:
            process = world.draws.choice(processes)
            if process.entry is not None and process.entry.ready:
                tries += 1
                answer = await fleet.submit(process, job_id, work)
                if answer.status == 200:
                    break
        await asyncio.sleep(1.0)
    if not work.run_s:
        world.spawn(_watch_job(fleet, job_id))
    if world.draws.random() > _CANCEL_SHARE:
        return
    await asyncio.sleep(world.draws.uniform(0.0, 12.0 if work.run_s else 25.0))
    for _ in range(10):
        processes = fleet.list_up()
        if processes:
            process = world.draws.choice(processes)
            if process.entry is not None:
                answer = await fleet.ask_owner(process, "cancel", job_id)
                if answer.status in (200, 410):
                    return
        await asyncio.sleep(1.0)


async def _watch_job(fleet: explore_fleet.Fleet, job_id: str) -> None:
    """Asks for the state of a job again and again.

    A job that was given up is no longer to run from when a client knows it.
    """
    while True:
        await asyncio.sleep(_WATCH_S)
        processes = [p for p in fleet.list_up() if p.entry is not None]
        if processes:
            process = fleet.world.draws.choice(processes)
            await fleet.ask_owner(process, "state", job_id)


async def _ask_states(fleet: explore_fleet.Fleet) -> None:
    for job in fleet.world.seen.jobs:
        for process in fleet.list_up():
            await fleet.ask_owner(process, "state", job.id)
            break


def describe_finding(
    outcome: Outcome, finding: soak_audit.Finding
) -> list[str]:
    """Returns the lines of the trace that concern a finding."""
    names = {word.strip(":,") for word in finding.text.split()}
    subjects = [n for n in names if "." in n or n.startswith("runner-")]
    task = next((n for n in names if n.count(".") == 3), "")
    runners = {n for n in subjects if n.startswith("runner-")}
    for at, line in outcome.trace:
        if task and task in line and at <= finding.at:
            runners |= {w.strip(":,") for w in line.split()} & _RUNNERS
    shown = []
    for at, line in outcome.trace:
        if not finding.at - _SHOWN_S <= at <= finding.at + 1.0:
            continue
        concerns = task and task in line
        concerns = concerns or line.startswith("fault")
        concerns = concerns or (
            any(runner in line for runner in runners)
            and any(word in line for word in _TELLING)
        )
        if concerns and not any(word in line for word in _SUMMARIES):
            shown.append(f"{at:9.3f}  {line}"[:_MAX_SHOWN_CHARACTERS])
    return shown


_RUNNERS = {f"runner-{number}" for number in range(_MAX_RUNNERS)}
# Lines about a runner that a timeline shows if they have one of these words.
_TELLING = (
    "late ",
    "gone",
    "ready",
    "lapsed",
    "runner_restarted",
    "runner_silent",
    "runner_heard",
    "ends_missed",
    "ends_in_doubt",
    "strayed",
)
# Lines that sum up what others tell.
_SUMMARIES = ("owner_load", "tasks_not_at_work")


@app.command()
def explore(
    seed: Annotated[int, typer.Option(min=0, help="First seed.")] = 1,
    count: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 1,
    minutes: Annotated[
        float, typer.Option(min=0.05, help="Virtual time with faults.")
    ] = 0.5,
    trace: Annotated[
        bool, typer.Option(help="Print all that happened.")
    ] = False,
) -> None:
    """Runs whole fleets under virtual time; exits with 1 if a rule broke."""
    began, failed = time.process_time(), 0
    for number in range(seed, seed + count):
        outcome = run_seed(number, minutes)
        if trace:
            for at, line in outcome.trace:
                typer.echo(f"{at:9.3f}  {line}")
        failed += bool(outcome.findings)
        for line in describe_outcome(outcome, minutes):
            typer.echo(line)
    used_s = time.process_time() - began
    typer.echo(
        f"{count} seeds, {failed} with findings; {used_s / count:.2f} s of a"
        " processor each"
    )
    raise typer.Exit(1 if failed else 0)


def describe_outcome(outcome: Outcome, minutes: float) -> list[str]:
    """Returns lines about a run, with a timeline for its first finding."""
    lines = [
        f"seed {outcome.seed}: {len(outcome.findings)} findings"
        f" ({len(outcome.unavoidable)} unavoidable), {outcome.accepted} jobs"
        f" of up to {outcome.longest_run_s:g} s, {outcome.starts} starts,"
        f" {outcome.late_calls} late calls, trace {outcome.digest}"
    ]
    for finding in outcome.findings:
        name = finding.rule.upper()
        lines.append(f"  {finding.at:9.3f}  {name}  {finding.text}")
    if outcome.findings:
        lines.append(
            f"  plantainvane explore --seed {outcome.seed} --minutes {minutes}"
        )
        for line in describe_finding(outcome, outcome.findings[0]):
            lines.append(f"    {line}")
    return lines


def main(arguments: list[str]) -> None:
    """Runs the command; the order of sets of texts is the same in each run."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        command = [sys.executable, "-m", "standins.explore", *arguments]
        os.execve(sys.executable, command, environment)
    app(arguments, prog_name="plantainvane explore")


if __name__ == "__main__":
    main(sys.argv[1:])
