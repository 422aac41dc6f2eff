"""Fault injections of a chaos run.

Each public coroutine injects one fault, waits for its duration and reverts it.
Killed workers, leaving runners and silenced connections do not return.
"""

import dataclasses
import random
import time
from typing import Any

import anyio
import httpx
import msgspec

from plantainvane import instances
from standins import launcher

CALL_TIMEOUT_S = 3.0
# Time between telling a runner to leave and its refusal of requests.
LEAVE_GRACE_S = 5.0
RESTART_READY_S = 30.0


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A period in which a fault affected a process.

    Attributes:
      process: Id of the process.
      kind: "kill", "restart", "pause" or "cut".
      since, until: Bounds by the host's monotonic clock; `until` is infinite
        while the fault lasts.
    """

    process: str
    kind: str
    since: float
    until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Injector:
    """State of fault injection in one run.

    Attributes:
      busy: Ids of processes with a fault; they are not chosen for another.
      counts: Number of injected faults by kind.
      disturbances: Periods in which entry processes were paused, dead, shutting
        down or cut off from the log and the instance list.
      leaving: Ids of runners that were told to leave.
    """

    cluster: launcher.Cluster
    random: random.Random
    busy: set[str] = dataclasses.field(default_factory=set)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    leaving: set[str] = dataclasses.field(default_factory=set)


def count_fault(injector: Injector, kind: str) -> None:
    """Counts one injected fault."""
    injector.counts[kind] = injector.counts.get(kind, 0) + 1


def was_disturbed(
    injector: Injector,
    process: str,
    since: float,
    until: float,
    kinds: tuple[str, ...],
) -> bool:
    """Returns whether a disturbance of one of `kinds` overlaps the period."""
    return any(
        d.process == process
        and d.kind in kinds
        and d.since < until
        and d.until > since
        for d in injector.disturbances
    )


async def kill_entry(injector: Injector) -> None:
    """Kills an entry process and restarts it 2 to 6 s later."""
    entry = _choose_idle_process(injector, "entry")
    if entry is None:
        return
    count_fault(injector, "kill_entry")
    period = _open_disturbance(injector, entry.id, "kill")
    await launcher.kill_process(injector.cluster, entry.id)
    await anyio.sleep(injector.random.uniform(2.0, 6.0))
    await _restart_entry(injector, entry, period)


async def restart_entry(injector: Injector) -> None:
    """Shuts an entry process down gracefully and restarts it."""
    entry = _choose_idle_process(injector, "entry")
    if entry is None:
        return
    count_fault(injector, "restart_entry")
    period = _open_disturbance(injector, entry.id, "restart")
    await launcher.end_process(injector.cluster, entry.id)
    await _restart_entry(injector, entry, period)


async def pause_entry(injector: Injector) -> None:
    """Pauses an entry process for 2 to 8 s, which may outlast its claims."""
    entry = _choose_idle_process(injector, "entry")
    if entry is None:
        return
    count_fault(injector, "pause_entry")
    period = _open_disturbance(injector, entry.id, "pause")
    await _pause(injector, entry, injector.random.uniform(2.0, 8.0))
    period.until = time.monotonic()


async def pause_worker(injector: Injector) -> None:
    """Pauses a worker for 1 to 7 s, which may outlast its leases."""
    worker = _choose_idle_process(injector, "worker")
    if worker is not None:
        count_fault(injector, "pause_worker")
        await _pause(injector, worker, injector.random.uniform(1.0, 7.0))


async def pause_runner(injector: Injector) -> None:
    """Pauses a runner for 1 to 4 s; its connections stay open meanwhile."""
    runner = _choose_idle_process(injector, "runner")
    if runner is not None:
        count_fault(injector, "pause_runner")
        await _pause(injector, runner, injector.random.uniform(1.0, 4.0))


async def kill_machine(injector: Injector) -> None:
    """Kills a worker with its runner and adds a new worker with a runner."""
    worker = _choose_idle_process(injector, "worker")
    if worker is None:
        return
    runner_id = worker.id.replace("-w", "-r")
    if runner_id in injector.busy or runner_id not in injector.cluster.running:
        injector.busy.discard(worker.id)
        return
    count_fault(injector, "kill_machine")
    injector.busy.add(runner_id)
    await launcher.kill_process(injector.cluster, worker.id)
    await launcher.kill_process(injector.cluster, runner_id)
    await anyio.sleep(2.0)
    for name in (worker.id, runner_id):
        await _post_list(injector, "/removals", {"id": name})
    await _add_worker(injector, worker.domain)


async def leave_runner(injector: Injector) -> None:
    """Tells a runner to leave and marks it as leaving in the instance list."""
    runner = _choose_idle_process(injector, "runner")
    if runner is None:
        return
    count_fault(injector, "leave_runner")
    # It stays busy for the rest of the run: with another fault on the same
    # runner, a violation could not be attributed to either.
    injector.leaving.add(runner.id)
    await _post(runner, "/leave", {"grace_s": LEAVE_GRACE_S})
    await _post_list(injector, "/leaving", {"id": runner.id})


async def cut_domain(injector: Injector) -> None:
    """Cuts one domain's entry processes off from log and instance list.

    Connections between entry processes stay intact, because they cannot be cut
    from outside the processes.
    """
    domain = injector.random.choice(injector.cluster.deployment.domains)
    entries = [
        entry
        for entry in injector.cluster.list_role("entry")
        if entry.domain == domain
    ]
    count_fault(injector, "cut_domain")
    periods = [
        _open_disturbance(injector, entry.id, "cut") for entry in entries
    ]
    blocked = [entry.id for entry in entries]
    async with anyio.create_task_group() as group:
        for role in ("log", "instance_list"):
            group.start_soon(
                _apply_fault_for,
                injector.cluster.list_role(role)[0],
                {"blocked_sources": blocked},
                {"blocked_sources": []},
                injector.random.uniform(4.0, 8.0),
            )
    for period in periods:
        period.until = time.monotonic()


async def stop_log(injector: Injector) -> None:
    """Takes the log down for 4.5 to 8 s, longer than claims last."""
    count_fault(injector, "log_down")
    seconds = injector.random.uniform(4.5, 8.0)
    await _set_log(injector, {"down": True}, {"down": False}, seconds)


async def lose_log_replies(injector: Injector) -> None:
    """Drops the replies to appends, which still take effect, for 1.5 s."""
    count_fault(injector, "log_lost_replies")
    fault = {"lose_replies": True}
    await _set_log(injector, fault, {"lose_replies": False}, 1.5)


async def slow_log(injector: Injector) -> None:
    """Delays every call to the log by 0.5 s, for 4 s."""
    count_fault(injector, "log_slow")
    await _set_log(injector, {"slow": 0.5}, {"slow": 0.0}, 4.0)


async def disturb_list(injector: Injector) -> None:
    """Takes the instance list down or makes its replies contradictory."""
    fault = injector.random.choice(("down", "contradict"))
    count_fault(injector, f"list_{fault}")
    listing = injector.cluster.list_role("instance_list")[0]
    await _apply_fault_for(listing, {fault: True}, {fault: False}, 5.0)


async def disturb_worker(injector: Injector) -> None:
    """Makes a worker lose replies or fail every attempt."""
    worker = _choose_idle_process(injector, "worker")
    if worker is None:
        return
    fault = injector.random.choice(("lose_replies", "fail_everything"))
    count_fault(injector, f"worker_{fault}")
    await _apply_fault_for(worker, {fault: True}, {fault: False}, 3.0)
    injector.busy.discard(worker.id)


async def disturb_runner(injector: Injector) -> None:
    """Makes a runner slow, unresponsive or refusing, or breaks its answers."""
    runner = _choose_idle_process(injector, "runner")
    if runner is None:
        return
    fault, on, off = injector.random.choice(
        (
            ("slow", {"slow_factor": 8.0}, {"slow_factor": 1.0}),
            ("frozen", {"frozen": True}, {"frozen": False}),
            ("refuse", {"refuse": True}, {"refuse": False}),
            ("silent", {"silent_share": 0.5}, {}),
            (
                "truncate",
                {"truncate_answers": True},
                {"truncate_answers": False},
            ),
            ("lose_replies", {"lose_replies": True}, {"lose_replies": False}),
        )
    )
    count_fault(injector, f"runner_{fault}")
    await _apply_fault_for(runner, on, off, 3.0)
    injector.busy.discard(runner.id)


def _choose_idle_process(
    injector: Injector, role: str
) -> launcher.Process | None:
    """Chooses a running process without a fault and marks it as busy."""
    candidates = [
        process
        for process in injector.cluster.list_role(role)
        if process.id in injector.cluster.running
        and process.id not in injector.busy
    ]
    if not candidates:
        return None
    chosen = injector.random.choice(candidates)
    injector.busy.add(chosen.id)
    return chosen


def _open_disturbance(
    injector: Injector, process: str, kind: str
) -> Disturbance:
    period = Disturbance(process, kind, time.monotonic())
    injector.disturbances.append(period)
    return period


async def _restart_entry(
    injector: Injector, entry: launcher.Process, period: Disturbance
) -> None:
    await launcher.start_process(injector.cluster, entry.id)
    await launcher.wait_process_ready(entry, RESTART_READY_S)
    period.until = time.monotonic()
    injector.busy.discard(entry.id)


async def _pause(
    injector: Injector, process: launcher.Process, seconds: float
) -> None:
    launcher.pause_process(injector.cluster, process.id)
    try:
        await anyio.sleep(seconds)
    finally:
        launcher.resume_process(injector.cluster, process.id)
    injector.busy.discard(process.id)


async def _add_worker(injector: Injector, domain: str) -> None:
    added = launcher.plan_additional_worker(injector.cluster, domain)
    for entry in added:
        await launcher.start_process(injector.cluster, entry.id)
    for entry in added:
        process = injector.cluster.processes[entry.id]
        await launcher.wait_process_ready(process)
    await _register(injector, added)


async def _register(
    injector: Injector, added: list[instances.Instance]
) -> None:
    await _post_list(injector, "/instances", added)


async def _set_log(
    injector: Injector, on: dict[str, Any], off: dict[str, Any], seconds: float
) -> None:
    await _apply_fault_for(
        injector.cluster.list_role("log")[0], on, off, seconds
    )


async def _apply_fault_for(
    process: launcher.Process,
    on: dict[str, Any],
    off: dict[str, Any],
    seconds: float,
) -> None:
    await _post(process, "/faults", on)
    try:
        await anyio.sleep(seconds)
    finally:
        with anyio.CancelScope(shield=True):
            await _post(process, "/faults", off)


async def _post_list(injector: Injector, path: str, value: Any) -> None:
    listing = injector.cluster.list_role("instance_list")[0]
    with anyio.move_on_after(20.0):
        while not await _post(listing, path, value):
            await anyio.sleep(0.5)


async def _post(process: launcher.Process, path: str, value: Any) -> bool:
    """Posts JSON to a stand-in; returns whether it answered 200."""
    url = f"http://{process.addresses['http']}{path}"
    content = msgspec.json.encode(value)
    try:
        async with httpx.AsyncClient(
            trust_env=False, timeout=CALL_TIMEOUT_S
        ) as client:
            return (await client.post(url, content=content)).status_code == 200
    except httpx.HTTPError:
        return False
