"""Chaos test: runs a deployment under load with seeded faults, then audits it.

    python -m standins.chaos --seed 1 --seconds 60

The last line of output is a JSON object with the seed, the number of injected
faults by kind, request and task counts, and the number of violations by
guarantee. The exit status is 0 only if there is no violation and every task
was accepted and ended.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import pathlib
import random
from typing import Annotated
from typing import Any

import anyio
import msgspec
import typer

from standins import audit as audit_module
from standins import balancer as balancer_module
from standins import injections
from standins import launcher
from standins import operators as operators_module
from standins import session as session_module

EXAMPLES = launcher.ROOT / "examples"
# How long tasks may continue after the load stops. Exceeds the sum of a claim,
# a lease and the lease renewal during an outage, so that even tasks that lost
# both their worker and their owner end in time.
TASK_END_TIMEOUT_S = 60.0
CALLER_TIMEOUT_S = 8.0
# A run has one fault per this many seconds, but at least those in
# MANDATORY_FAULTS.
SECONDS_PER_FAULT = 2.5
# Faults begin within this leading share of the run.
FAULT_SHARE = 0.8

MANDATORY_FAULTS = (
    "kill_entry",
    "pause_entry",
    "cut_domain",
    "stop_log",
    "race_operators",
)
OPTIONAL_FAULTS = (
    "kill_entry",
    "pause_entry",
    "restart_entry",
    "pause_worker",
    "pause_runner",
    "kill_machine",
    "leave_runner",
    "lose_log_replies",
    "slow_log",
    "disturb_list",
    "disturb_worker",
    "disturb_runner",
    "disturb_runner",
    "race_operators",
    "race_operators",
)
Injection = Callable[[injections.Injector], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class ChaosRun:
    """State of one chaos run."""

    session: session_module.Session
    injector: injections.Injector
    operators: operators_module.Operators


def plan_faults(seed: int, seconds: float) -> list[tuple[float, str]]:
    """Plans the faults of a run, the same ones for the same arguments.

    Returns:
      (seconds from the start, name of the fault), in ascending order of time.
    """
    seeded = random.Random(seed)
    extra = max(0, round(seconds / SECONDS_PER_FAULT) - len(MANDATORY_FAULTS))
    names = [*MANDATORY_FAULTS, *seeded.choices(OPTIONAL_FAULTS, k=extra)]
    times = [seeded.uniform(0.5, seconds * FAULT_SHARE) for _ in names]
    seeded.shuffle(names)
    return sorted(zip(times, names, strict=True))


async def run_chaos(
    deployment_path: pathlib.Path,
    directory: pathlib.Path,
    seed: int,
    seconds: float,
) -> int:
    """Runs the chaos test; returns the exit status of the process."""
    deployment = launcher.load_deployment(deployment_path)
    cluster = launcher.plan_cluster(deployment, directory.resolve())
    session = session_module.make_session(cluster, deployment_path.parent, seed)
    session.load.timeout_s = CALLER_TIMEOUT_S
    chaos = ChaosRun(
        session,
        injections.Injector(cluster, random.Random(seed)),
        operators_module.Operators(cluster),
    )
    async with launcher.run_cluster(cluster):
        await session_module.publish_documents(session)
        entries = cluster.list_role("entry")
        before = await session_module.wait_in_force(session, entries)
        await _run_under_faults(chaos, seed, seconds)
        after = await session_module.wait_in_force(session, entries)
        audits = await session_module.fetch_audits(session)
    violations = session_module.audit_session(session)
    _check_chaos(chaos, violations, audits)
    if not before or not after:
        text = (
            "entry processes did not reach the same configuration version"
            " before or after the faults"
        )
        violations[9].append(text)
    return _report(chaos, seed, violations)


async def _run_under_faults(chaos: ChaosRun, seed: int, seconds: float) -> None:
    plan = plan_faults(seed, seconds)
    balancer = chaos.session.balancer
    async with anyio.create_task_group() as group:
        group.start_soon(balancer_module.run_checks, balancer)
        group.start_soon(operators_module.watch_versions, chaos.operators)
        async with anyio.create_task_group() as work:
            work.start_soon(
                session_module.run_load,
                chaos.session,
                seconds,
                TASK_END_TIMEOUT_S,
            )
            work.start_soon(_inject_faults, chaos, plan, seed)
        group.cancel_scope.cancel()
    await balancer_module.close_connections(balancer)


async def _inject_faults(
    chaos: ChaosRun, plan: list[tuple[float, str]], seed: int
) -> None:
    start = anyio.current_time()
    async with anyio.create_task_group() as group:
        for index, (due, name) in enumerate(plan):
            await anyio.sleep_until(start + due)
            # Each fault has its own random generator, so its choices do not
            # depend on how many draws concurrent faults have made.
            injector = dataclasses.replace(
                chaos.injector, random=random.Random(f"{seed} {index}")
            )
            group.start_soon(_find_injection(chaos, name), injector)


def _find_injection(chaos: ChaosRun, name: str) -> Injection:
    if name == "race_operators":
        return functools.partial(_race_operators, chaos)
    return getattr(injections, name)


async def _race_operators(
    chaos: ChaosRun, injector: injections.Injector
) -> None:
    injections.count_fault(injector, "operator_race")
    await operators_module.race_operators(chaos.operators)


def _check_chaos(
    chaos: ChaosRun,
    violations: audit_module.Violations,
    audits: dict[str, Any],
) -> None:
    """Checks guarantees 7, 8 and 9, which depend on the injected faults."""
    operators_module.check_configuration(
        violations, chaos.operators, chaos.injector
    )
    for name in sorted(chaos.injector.leaving & audits.keys()):
        audit = audits[name]
        if audit.last_refused_leaving is not None:
            late = audit.last_refused_leaving - audit.leaving_at
            violations[7].append(
                f"runner {name} received a request"
                f" {late + injections.LEAVE_GRACE_S:.1f} s after it was told"
                " to leave"
            )
    _check_shutdowns(chaos, violations)


def _check_shutdowns(
    chaos: ChaosRun, violations: audit_module.Violations
) -> None:
    """Checks that a graceful shutdown breaks no exchange with a caller.

    Exchanges with a process that was killed or paused meanwhile are exempt.
    """
    entries = {
        entry.addresses["callers"]: entry.id
        for entry in chaos.session.cluster.list_role("entry")
    }
    for record in chaos.session.load.records:
        process = entries.get(record.entry, "")
        # A timeout of the caller says nothing about the process.
        waited = record.done - record.sent >= CALLER_TIMEOUT_S
        period = (process, record.sent, record.done)
        was_disturbed = functools.partial(
            injections.was_disturbed, chaos.injector, *period
        )
        if (
            record.broken
            and not waited
            and not was_disturbed(("kill", "pause"))
        ):
            violations[8].append(
                f"{record.request_id} at {process}: {record.detail}"
            )


def _report(
    chaos: ChaosRun, seed: int, violations: audit_module.Violations
) -> int:
    session = chaos.session
    session_module.write_records(session)
    summary = session_module.summarize_session(session, violations)
    unended = [
        record.task
        for record in session.tasks.records
        if record.outcome in ("", "refused")
    ]
    for text in session_module.list_violations(violations):
        print(text)
    if unended:
        print(f"tasks that were refused or did not end: {', '.join(unended)}")
    line = {
        "seed": seed,
        "faults": chaos.injector.counts,
        "requests": {
            name: summary[name]
            for name in (
                "requests_sent",
                "answered",
                "not_run",
                "unknown",
                "duplicate",
                "wrong_or_partial",
                "p50_ms",
                "p99_ms",
            )
        },
        "tasks": {
            "submitted": summary["tasks_submitted"],
            "outcomes": summary["task_outcomes"],
            "evictions": summary["evictions"],
        },
        "config_changes": len(chaos.operators.changes),
        "violations": summary["violations"],
    }
    print(msgspec.json.encode(line).decode(), flush=True)
    return 1 if unended or any(violations.values()) else 0


def main(
    seed: int = 1,
    seconds: float = 60.0,
    deployment: Annotated[
        pathlib.Path, typer.Option(help="Deployment file.")
    ] = EXAMPLES / "chaos.json",
    directory: Annotated[
        pathlib.Path, typer.Option(help="For settings, output and audits.")
    ] = launcher.ROOT / "run" / "chaos",
) -> None:
    """Runs a deployment under load with seeded faults and audits it."""
    status = anyio.run(run_chaos, deployment, directory, seed, seconds)
    raise typer.Exit(status)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
