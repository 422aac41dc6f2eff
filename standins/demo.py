"""Runs a whole deployment on this machine under load, then audits it.

    python -m standins.demo [--keep]

The last line is one JSON object. The exit status is 0 only if every answer was
right, every task completed and the audit found nothing. With --keep the first
line describes every process, and all of them run until interrupted.
"""

import pathlib
import sys
from typing import Annotated
from typing import Any

import anyio
import msgspec
import typer

from standins import audit as audit_module
from standins import balancer as balancer_module
from standins import launcher
from standins import session as session_module

EXAMPLES = launcher.ROOT / "examples"
# Time that tasks get to end after the requests have stopped.
PATIENCE_S = 30.0


def list_faults(summary: dict[str, Any], statuses: dict[str, int]) -> list[str]:
    """Lists what was wrong with an undisturbed run.

    Args:
      summary: The last line of the demo.
      statuses: Exit status of each process.
    """
    faults = []
    if not summary["answered"]:
        faults.append("no request was answered")
    for name in ("unknown", "wrong_or_partial", "ran_twice"):
        if summary[name]:
            faults.append(f"{name} is {summary[name]}, not 0")
    if summary["tasks_completed"] != summary["tasks_to_complete"]:
        faults.append(f"tasks ended as {summary['task_outcomes']}")
    if not summary["config_version_everywhere"]:
        faults.append("the configuration is not in force everywhere")
    faults += [
        f"{name} ended with status {status}"
        for name, status in statuses.items()
        if status
    ]
    return faults


async def run_demo(
    deployment_path: pathlib.Path,
    directory: pathlib.Path,
    seconds: float,
    seed: int,
    keep: bool,
) -> int:
    """Runs the demo; returns its exit status."""
    deployment = launcher.load_deployment(deployment_path)
    cluster = launcher.plan_cluster(deployment, directory.resolve())
    session = session_module.make_session(cluster, deployment_path.parent, seed)
    summary: dict[str, Any] = {}
    async with (
        launcher.run_cluster(cluster),
        anyio.create_task_group() as group,
    ):
        group.start_soon(_cancel_on_interrupt, group.cancel_scope)
        await session_module.publish_documents(session)
        if keep:
            _print_line(launcher.describe_cluster(cluster))
        summary = await _run_load(session, seconds)
        if keep:
            _print_line(summary)
            await anyio.sleep_forever()
        group.cancel_scope.cancel()
    violations = session_module.audit_session(session)
    # Whoever keeps the deployment running may kill its processes.
    statuses = {} if keep else cluster.statuses
    return _report(session, summary, violations, statuses)


async def _run_load(
    session: session_module.Session, seconds: float
) -> dict[str, Any]:
    entries = session.cluster.list_role("entry")
    async with anyio.create_task_group() as group:
        group.start_soon(balancer_module.run_checks, session.balancer)
        before = await session_module.wait_in_force(session, entries)
        await session_module.run_load(session, seconds, PATIENCE_S)
        after = await session_module.wait_in_force(session, entries)
        group.cancel_scope.cancel()
    await balancer_module.close_connections(session.balancer)
    violations = session_module.audit_session(session)
    return {
        **session_module.summarize_session(session, violations),
        "tasks_to_complete": sum(
            not record.work["fails"] for record in session.tasks.records
        ),
        "config_version_everywhere": before and after,
    }


def _report(
    session: session_module.Session,
    summary: dict[str, Any],
    violations: audit_module.Violations,
    statuses: dict[str, int],
) -> int:
    """Prints faults and the last line; returns the exit status."""
    session_module.write_records(session)
    if not summary:
        print("interrupted before the load ended", file=sys.stderr)
        return 1
    faults = session_module.list_violations(violations)
    faults += list_faults(summary, statuses)
    for fault in faults:
        print(fault)
    _print_line(summary)
    return 1 if faults else 0


async def _cancel_on_interrupt(scope: anyio.CancelScope) -> None:
    await launcher.wait_interrupt()
    scope.cancel()


def _print_line(value: Any) -> None:
    print(msgspec.json.encode(value).decode(), flush=True)


def main(
    deployment: Annotated[
        pathlib.Path, typer.Option(help="Deployment file.")
    ] = EXAMPLES / "demo.json",
    directory: Annotated[
        pathlib.Path, typer.Option(help="For settings, output and audits.")
    ] = launcher.ROOT / "run" / "demo",
    seconds: float = 15.0,
    seed: int = 1,
    keep: Annotated[
        bool, typer.Option("--keep", help="Run until interrupted.")
    ] = False,
) -> None:
    """Runs a deployment under load of both users and audits it."""
    status = anyio.run(run_demo, deployment, directory, seconds, seed, keep)
    raise typer.Exit(status)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
