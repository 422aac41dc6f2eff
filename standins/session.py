"""Common parts of demo and chaos runs: publishing, load and final audit."""

import dataclasses
import pathlib
import random
import subprocess
import sys
import time
from typing import Any

import anyio
import httpx
import msgspec

from plantainvane import documents
from standins import audit as audit_module
from standins import balancer as balancer_module
from standins import launcher
from standins import load as load_module
from standins import runner as runner_module
from standins import tasks as tasks_module

# Tasks are submitted throughout this leading share of a run, so that faults and
# request load coincide with tasks in every state.
SUBMIT_SHARE = 0.8
# Time within which an accepted configuration must be in force everywhere.
PROPAGATION_LIMIT_S = 5.0


@dataclasses.dataclass(slots=True)
class Session:
    """A deployment with its callers and task submitters.

    Attributes:
      deployment_directory: Directory of the deployment file.
      published: The deployment's operator documents.
    """

    cluster: launcher.Cluster
    deployment_directory: pathlib.Path
    published: list[documents.Document]
    balancer: balancer_module.Balancer
    load: load_module.Load
    tasks: tasks_module.TaskRun


def make_session(
    cluster: launcher.Cluster, deployment_directory: pathlib.Path, seed: int
) -> Session:
    """Creates the callers and plans the tasks of a deployment."""
    deployment = cluster.deployment
    published = launcher.read_documents(deployment, deployment_directory)
    balancer = balancer_module.Balancer(
        [entry.addresses["callers"] for entry in cluster.list_role("entry")]
    )
    return Session(
        cluster=cluster,
        deployment_directory=deployment_directory,
        published=published,
        balancer=balancer,
        load=load_module.Load(
            deployment,
            balancer,
            random.Random(seed),
            load_module.find_non_idempotent(published),
        ),
        tasks=tasks_module.TaskRun(
            deployment,
            balancer,
            tasks_module.plan_tasks(
                deployment, published, seed, deployment.name
            ),
        ),
    )


async def publish_documents(session: Session) -> None:
    """Publishes the deployment's documents with `plantainvane publish`.

    Raises:
      RuntimeError: The command failed; holds its output.
    """
    entry = session.cluster.list_role("entry")[0]
    path = session.cluster.directory / "documents.json"
    encoded = msgspec.json.encode(session.published)
    path.write_bytes(msgspec.json.format(encoded, indent=2) + b"\n")
    command = ["-m", "plantainvane", "publish", str(path)]
    options = [
        "--operators",
        entry.addresses["operators"],
        "--author",
        "standins",
    ]
    finished = await anyio.run_process(
        [sys.executable, *command, *options],
        stderr=subprocess.STDOUT,
        check=False,
        cwd=launcher.ROOT,
    )
    if finished.returncode:
        output = finished.stdout.decode("utf-8", "replace")
        raise RuntimeError(f"publishing the documents failed: {output}")


async def fetch_version(
    client: httpx.AsyncClient, entry: launcher.Process
) -> int | None:
    """Fetches the configuration version in force at an entry process.

    Returns:
      None if the process did not answer with 200.
    """
    url = f"http://{entry.addresses['operators']}/documents"
    try:
        reply = await client.get(url)
        return reply.json()["version"] if reply.status_code == 200 else None
    except httpx.HTTPError:
        return None


async def wait_in_force(
    session: Session, entries: list[launcher.Process]
) -> bool:
    """Waits until all `entries` have the same configuration version in force.

    Returns:
      Whether that version includes the deployment's documents; False if the
      versions still differ after `PROPAGATION_LIMIT_S`.
    """
    async with httpx.AsyncClient(trust_env=False, timeout=2.0) as client:
        with anyio.move_on_after(PROPAGATION_LIMIT_S):
            while True:
                versions = [await fetch_version(client, e) for e in entries]
                if None not in versions and len(set(versions)) == 1:
                    return versions[0] >= len(session.published)
                await anyio.sleep(0.1)
    return False


async def run_load(
    session: Session, seconds: float, task_end_timeout_s: float
) -> None:
    """Runs requests and tasks for `seconds`, then waits for tasks to end.

    Stops waiting for them after another `task_end_timeout_s`.
    """
    await _wait_healthy(session.balancer)
    async with anyio.create_task_group() as group:
        group.start_soon(load_module.run_load, session.load, seconds)
        with anyio.move_on_after(seconds + task_end_timeout_s):
            await tasks_module.run_tasks(session.tasks, seconds * SUBMIT_SHARE)


async def fetch_audits(session: Session) -> dict[str, runner_module.Audit]:
    """Fetches the audit of every running runner, by runner id."""
    audits = {}
    async with httpx.AsyncClient(trust_env=False, timeout=5.0) as client:
        for runner in session.cluster.list_role("runner"):
            if runner.id in session.cluster.running:
                url = f"http://{runner.addresses['http']}/audit"
                content = (await client.get(url)).content
                audits[runner.id] = msgspec.json.decode(
                    content, type=runner_module.Audit
                )
    return audits


def audit_session(session: Session) -> audit_module.Violations:
    """Checks the records of runners, workers, callers and submitters."""
    cluster = session.cluster
    violations = audit_module.make_violations()
    runs = {
        runner.id: audit_module.read_runs(pathlib.Path(runner.audit_file))
        for runner in cluster.list_role("runner")
    }
    attempts = {
        worker.id: audit_module.read_attempts(pathlib.Path(worker.audit_file))
        for worker in cluster.list_role("worker")
    }
    size = cluster.deployment.worker_size
    audit_module.check_requests(violations, session.load.records, runs)
    audit_module.check_attempts(
        violations,
        dict.fromkeys(attempts, size),
        attempts,
        cluster.ended,
        time.monotonic(),
    )
    expired: set[tuple[str, int]] = set()
    for path in cluster.directory.glob("*.events"):
        expired |= audit_module.read_expired(path)
    audit_module.check_tasks(
        violations, session.tasks.records, attempts, expired
    )
    return violations


def summarize_session(
    session: Session, violations: audit_module.Violations
) -> dict[str, Any]:
    """Counts requests, tasks and violations."""
    records = session.tasks.records
    return {
        **load_module.summarize(session.load),
        "tasks_submitted": sum(r.submitted is not None for r in records),
        "tasks_completed": sum(r.outcome == "succeeded" for r in records),
        "task_outcomes": tasks_module.count_outcomes(records),
        "evictions": sum(record.evictions for record in records),
        "ran_twice": audit_module.count_ran_twice(violations),
        "violations": audit_module.count_violations(violations),
    }


def write_records(session: Session) -> None:
    """Writes the callers' and submitters' records to the run directory."""
    directory = session.cluster.directory
    for name, found in (
        ("requests.records", session.load.records),
        ("tasks.records", session.tasks.records),
    ):
        lines = [msgspec.json.encode(record) + b"\n" for record in found]
        (directory / name).write_bytes(b"".join(lines))


def list_violations(violations: audit_module.Violations) -> list[str]:
    """Returns a line for each violation that names its guarantee."""
    return [
        f"guarantee {number}: {text}"
        for number, found in violations.items()
        for text in found
    ]


async def _wait_healthy(balancer: balancer_module.Balancer) -> None:
    with anyio.fail_after(launcher.READY_TIMEOUT_S):
        while len(balancer.healthy) < len(balancer.addresses):
            await anyio.sleep(0.05)
