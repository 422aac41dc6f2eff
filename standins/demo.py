"""Demo: runs a complete deployment on the local host under load and audits it.

    python -m standins.demo [--keep]

The last line of output is a JSON object. The exit status is 0 only if every
answer was correct, every task completed and the audit found no violation. With
--keep the first line describes the processes, which run until interrupted.
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
# How long tasks may continue after the requests have stopped.
TASK_END_TIMEOUT_S = 30.0


def list_faults(summary: dict[str, Any], statuses: dict[str, int]) -> list[str]:
    """Lists the faults of a run without fault injection.

    Args:
      summary: Summary that the demo prints as its last line.
      statuses: Exit status of each process, by id.
    """
    faults = []
    if not summary["answered"]:
        faults.append("no request was answered")
    for name in ("unknown", "wrong_or_partial", "ran_twice"):
        if summary[name]:
            faults.append(f"{name} is {summary[name]}, not 0")
    if summary["tasks_completed"] != summary["tasks_to_complete"]:
        faults.append(
            "the number of succeeded tasks is not as expected; by outcome:"
            f" {summary['task_outcomes']}"
        )
    if not summary["config_version_everywhere"]:
        faults.append(
            "the configuration is not in force at every entry process"
        )
    faults += [
        f"process {name} ended with exit status {status}, not 0"
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
    """Runs the demo; returns the exit status of the process."""
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
    # With --keep the user may have killed processes, so statuses are ignored.
    statuses = {} if keep else cluster.statuses
    return _report(session, summary, violations, statuses)


async def _run_load(
    session: session_module.Session, seconds: float
) -> dict[str, Any]:
    entries = session.cluster.list_role("entry")
    async with anyio.create_task_group() as group:
        group.start_soon(balancer_module.run_checks, session.balancer)
        before = await session_module.wait_in_force(session, entries)
        await session_module.run_load(session, seconds, TASK_END_TIMEOUT_S)
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
    """Prints the faults and the summary; returns the exit status."""
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
    """Runs a deployment under load of requests and tasks and audits it."""
    status = anyio.run(run_demo, deployment, directory, seconds, seed, keep)
    raise typer.Exit(status)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
