"""Submits a deployment's tasks and polls each until it has ended."""

import dataclasses
import random
import time
from typing import Any

import anyio
import msgspec

from plantainvane import documents
from standins import answers
from standins import balancer as balancer_module
from standins import connection as connection_module
from standins import launcher

POLL_S = 0.25
RETRY_S = 0.5
CALL_TIMEOUT_S = 10.0


class TaskRecord(msgspec.Struct, kw_only=True):
    """One task as its submitter saw it.

    Times are of the host's monotonic clock.

    Attributes:
      submitted: When the task was accepted; None until then.
      ended: When its outcome was first seen.
      outcome: Reported outcome, or "refused"; empty until known.
      wrong: Error in the output of a task that succeeded; empty if none.
      evictions: Reported number of evictions.
    """

    task: str
    batch_class: str
    work: dict[str, Any]
    idempotent: bool = True
    submitted: float | None = None
    ended: float | None = None
    outcome: str = ""
    detail: str = ""
    wrong: str = ""
    evictions: int = 0


@dataclasses.dataclass(slots=True)
class TaskRun:
    """The tasks of one run, in the order of submission."""

    deployment: launcher.Deployment
    balancer: balancer_module.Balancer
    records: list[TaskRecord] = dataclasses.field(default_factory=list)


def plan_tasks(
    deployment: launcher.Deployment,
    published: list[documents.Document],
    seed: int,
    prefix: str,
) -> list[TaskRecord]:
    """Plans the tasks of every batch class in an order that depends on `seed`.

    Failing tasks are submitted first, since they take longest to end: they are
    retried on every worker.
    """
    seeded = random.Random(seed)
    classes = {
        document.name: document
        for document in published
        if isinstance(document, documents.BatchClass)
    }
    planned = []
    for name, load in deployment.tasks.items():
        for number in range(load.count):
            work = {
                "steps": load.steps,
                "step_ms": load.step_ms,
                "seed": seeded.randrange(1_000_000),
                "fails": number < load.failing,
                "use": _make_use(classes[name].size, load.use_factor),
            }
            planned.append(
                TaskRecord(
                    task=f"{prefix}-{name}-{number + 1}",
                    batch_class=name,
                    work=work,
                    idempotent=classes[name].idempotent,
                )
            )
    seeded.shuffle(planned)
    return sorted(planned, key=lambda record: not record.work["fails"])


def _make_use(size: documents.Size, factor: float) -> dict[str, Any]:
    return {
        "processors": size.processors * factor,
        "memory_bytes": round(size.memory_bytes * factor),
    }


async def run_tasks(run: TaskRun, submit_duration_s: float) -> None:
    """Submits all tasks evenly over `submit_duration_s`; awaits their ends."""
    start = anyio.current_time()
    gap_s = submit_duration_s / max(1, len(run.records))
    async with anyio.create_task_group() as group:
        for index, record in enumerate(run.records):
            await anyio.sleep_until(start + index * gap_s)
            group.start_soon(_run_task, run, record)


def count_outcomes(records: list[TaskRecord]) -> dict[str, int]:
    """Counts tasks by outcome; the key "" stands for those without one."""
    counts: dict[str, int] = {}
    for record in records:
        counts[record.outcome] = counts.get(record.outcome, 0) + 1
    return counts


async def _run_task(run: TaskRun, record: TaskRecord) -> None:
    await _submit_task(run, record)
    while not record.outcome:
        await anyio.sleep(POLL_S)
        await _poll_task(run, record)
    record.ended = time.monotonic()


async def _submit_task(run: TaskRun, record: TaskRecord) -> None:
    """Submits a task until it is accepted or refused.

    Repeats are safe: a second submission of the same id has no effect.
    """
    body = msgspec.json.encode(
        {
            "task": record.task,
            "batch_class": record.batch_class,
            "work": record.work,
        }
    )
    while True:
        reply = await _call(run, "POST", "/tasks", body)
        if reply is not None and reply.status == 202:
            record.submitted = time.monotonic()
            return
        if reply is not None and reply.status in (400, 404, 422):
            record.outcome = "refused"
            record.detail = reply.body[:200].decode("utf-8", "replace")
            return
        await anyio.sleep(RETRY_S)


async def _poll_task(run: TaskRun, record: TaskRecord) -> None:
    reply = await _call(run, "GET", f"/tasks/{record.task}", b"")
    if reply is None or reply.status != 200:
        return
    status = msgspec.json.decode(reply.body)
    record.outcome = status.get("outcome") or ""
    record.detail = status.get("detail") or ""
    record.evictions = status.get("evictions", 0)
    if record.outcome == "succeeded":
        record.wrong = answers.check_output(record.work, status.get("output"))


async def _call(
    run: TaskRun, method: str, path: str, body: bytes
) -> connection_module.Reply | None:
    headers = {"Content-Type": "application/json"}
    _, reply = await balancer_module.send_request(
        run.balancer, method, path, headers, body, CALL_TIMEOUT_S
    )
    return reply if isinstance(reply, connection_module.Reply) else None
