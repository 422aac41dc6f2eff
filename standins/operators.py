"""Concurrent changes of one document, and monitoring of the versions in force.

Every change sets `deadline_ms` to a unique value, so that the document in force
at a process shows which changes the process has applied.
"""

import collections
import dataclasses
import time
from typing import Any

import anyio
import httpx
import msgspec

from standins import audit as audit_module
from standins import injections
from standins import launcher
from standins import session as session_module

WATCH_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 4.0


class Change(msgspec.Struct, kw_only=True):
    """One accepted change; `at` is when the operator received the reply."""

    base_revision: int
    revision: int
    version: int
    at: float


class ObservedVersion(msgspec.Struct, frozen=True):
    """Version in force at a process at one time.

    `pid` tells the process from its earlier and later incarnations.
    """

    process: str
    pid: int
    at: float
    version: int


@dataclasses.dataclass(slots=True)
class Operators:
    """Accepted changes and the versions observed at the entry processes.

    Attributes:
      deadline_ms: Value that the last attempted change has set.
      refused: Number of changes that were not answered 200.
    """

    cluster: launcher.Cluster
    changes: list[Change] = dataclasses.field(default_factory=list)
    observed_versions: list[ObservedVersion] = dataclasses.field(
        default_factory=list
    )
    deadline_ms: int = 2000
    refused: int = 0


async def race_operators(
    operators: Operators, concurrent_changes: int = 2
) -> None:
    """Publishes `concurrent_changes` changes of one base revision at once."""
    entries = [
        entry
        for entry in operators.cluster.list_role("entry")
        if entry.id in operators.cluster.running
    ]
    stored = await _fetch_document(entries)
    if stored is None:
        return
    async with anyio.create_task_group() as group:
        for number in range(concurrent_changes):
            operators.deadline_ms += 1
            document = stored["document"] | {
                "deadline_ms": operators.deadline_ms
            }
            entry = entries[number % len(entries)]
            group.start_soon(
                _publish, operators, entry, document, stored["revision"]
            )


async def watch_versions(operators: Operators) -> None:
    """Polls the version in force at every entry process until cancelled."""
    async with anyio.create_task_group() as group:
        for entry in operators.cluster.list_role("entry"):
            group.start_soon(_watch_process, operators, entry)


def check_configuration(
    violations: audit_module.Violations,
    operators: Operators,
    injector: injections.Injector,
) -> None:
    """Checks guarantee 9: one accepted change per base, no reverts, no delay.

    A process that was paused, dead or restarted within the 5 s after a change
    is exempt from the check for delay. One that was only cut off from the log
    is not exempt, because it can fetch the change from its peers.
    """
    bases = collections.Counter(c.base_revision for c in operators.changes)
    for base, count in bases.items():
        if count > 1:
            violations[9].append(
                f"{count} changes of base revision {base} were accepted, not 1"
            )
    by_process: dict[tuple[str, int], list[ObservedVersion]] = {}
    for observed in operators.observed_versions:
        key = (observed.process, observed.pid)
        by_process.setdefault(key, []).append(observed)
    for (process, _), observed_versions in by_process.items():
        _check_reverts(violations, process, observed_versions)
        for change in operators.changes:
            _check_arrival(
                violations, injector, process, change, observed_versions
            )


def _check_reverts(
    violations: audit_module.Violations,
    process: str,
    observed_versions: list[ObservedVersion],
) -> None:
    for before, after in zip(
        observed_versions, observed_versions[1:], strict=False
    ):
        if after.version < before.version:
            violations[9].append(
                f"{process} reverted from version {before.version} to"
                f" {after.version}"
            )


def _check_arrival(
    violations: audit_module.Violations,
    injector: injections.Injector,
    process: str,
    change: Change,
    observed_versions: list[ObservedVersion],
) -> None:
    due = change.at + session_module.PROPAGATION_LIMIT_S
    if injections.was_disturbed(
        injector, process, change.at, due, ("kill", "restart", "pause")
    ):
        return
    late = [s for s in observed_versions if s.at >= due]
    if late and late[0].version < change.version:
        violations[9].append(
            f"{process} had version {late[0].version} in force"
            f" {late[0].at - change.at:.1f} s after version"
            f" {change.version} was accepted"
        )


async def _fetch_document(
    entries: list[launcher.Process],
) -> dict[str, Any] | None:
    async with httpx.AsyncClient(
        trust_env=False, timeout=CALL_TIMEOUT_S
    ) as client:
        for entry in entries:
            url = f"http://{entry.addresses['operators']}/documents"
            try:
                reply = await client.get(url)
            except httpx.HTTPError:
                continue
            if reply.status_code != 200:
                continue
            for stored in reply.json()["documents"]:
                if stored["document"]["name"] == "forecast":
                    return stored
    return None


async def _publish(
    operators: Operators,
    entry: launcher.Process,
    document: dict[str, Any],
    base_revision: int,
) -> None:
    url = f"http://{entry.addresses['operators']}/documents"
    change = {
        "document": document,
        "base_revision": base_revision,
        "author": f"operator-at-{entry.id}",
    }
    try:
        async with httpx.AsyncClient(
            trust_env=False, timeout=CALL_TIMEOUT_S
        ) as client:
            reply = await client.post(url, json=change)
    except httpx.HTTPError:
        return
    if reply.status_code != 200:
        operators.refused += 1
        return
    accepted = reply.json()
    operators.changes.append(
        Change(
            base_revision=base_revision,
            revision=accepted["revision"],
            version=accepted["version"],
            at=time.monotonic(),
        )
    )


async def _watch_process(operators: Operators, entry: launcher.Process) -> None:
    async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
        while True:
            pid = entry.pid
            # A process that is starting or draining applies no new version.
            ready = await launcher.is_ready(client, entry)
            version = await session_module.fetch_version(client, entry)
            # The process may have restarted meanwhile; a reply of another
            # incarnation must not be recorded under this pid.
            if ready and version is not None and entry.pid == pid:
                operators.observed_versions.append(
                    ObservedVersion(entry.id, pid, time.monotonic(), version)
                )
            await anyio.sleep(WATCH_INTERVAL_S)
