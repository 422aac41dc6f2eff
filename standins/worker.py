"""Simulated worker that runs task attempts under leases.

Implements the worker API that plantainvane.workers calls, and in addition:
  GET  /pressure  200 {"pressure": {batch class: processors in use}}
  POST /pressure  [ServiceUsage, ...] from the runner on this worker; same reply
  GET  /audit     200 Audit, a record of the attempts that ran on this worker
  GET  /health    200
  GET  /faults, POST /faults  see standins.gate

The `work` of a task is {"steps": int, "step_ms": int, "seed": int,
"fails": bool, "use": {"processors": float, "memory_bytes": int}}; `use` may
differ from the declared size. A stop command for an unknown attempt is
remembered, so that a start command that arrives later does not run it.
"""

import dataclasses
import pathlib
import time
from typing import Any

import anyio
import msgspec

from plantainvane import asgi
from plantainvane import documents
from plantainvane import workers
from standins import answers
from standins import gate as gate_module
from standins import serving


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one worker.

    Attributes:
      stop_s, checkpoint_s: Time from an accepted stop or checkpoint command
        until the listing confirms it.
      tick_s: Interval at which simulated work advances.
      usage_lag_s: Minimum age of the samples in the usage report.
      audit_file: Each audit entry is appended here as a JSON line, so that it
        survives a kill of the process; empty to write none.
    """

    id: str
    listen: str
    size: documents.Size
    stop_s: float = 0.1
    checkpoint_s: float = 0.2
    tick_s: float = 0.05
    usage_lag_s: float = 3.0
    sample_s: float = 1.0
    samples_kept_s: float = 30.0
    ended_kept_s: float = 600.0
    audit_file: str = ""
    seed: int = 0


class AttemptEntry(msgspec.Struct):
    """One attempt started on this worker.

    Times are of the host's monotonic clock.

    The attempt executed the steps from `from_step` up to, but not including,
    `to_step`. `lease_until` is when the most recent lease expires, even if the
    attempt ended earlier.
    """

    task: str
    attempt: int
    epoch: int
    batch_class: str
    size: documents.Size
    began: float
    from_step: int
    to_step: int
    ended: float | None = None
    state: str = workers.AttemptState.RUNNING.value
    lease_until: float = 0.0


class RefusedStart(msgspec.Struct):
    """A rejected start command and the reason for the rejection."""

    task: str
    attempt: int
    reason: str
    at: float


class Audit(msgspec.Struct):
    """The worker's own record of the attempts that it ran and refused.

    Attributes:
      highest: Peak sum of the declared sizes of running attempts, for each
        resource separately.
    """

    worker: str
    size: documents.Size
    highest: documents.Size
    attempts: list[AttemptEntry]
    refused: list[RefusedStart]


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt known to the worker.

    Attributes:
      chain: State of the simulated work after the last completed step.
      advanced_at: Time up to which the work has been simulated.
      progress: Completed part of the current step.
      share: Share of the declared processors left by the throttle command.
      stop_at, checkpoint_at: When a pending stop or checkpoint command takes
        effect; None if none is pending.
    """

    command: workers.StartCommand
    entry: AttemptEntry
    chain: str
    advanced_at: float
    progress: float = 0.0
    share: float = 1.0
    stop_at: float | None = None
    checkpoint_at: float | None = None
    checkpoint: str | None = None
    checkpointed: bool = False
    detail: str = ""
    output: Any = None


@dataclasses.dataclass(slots=True)
class Worker:
    """State of one worker.

    Attributes:
      services: Usage reported by the worker's runner since the last sample.
      samples: (time taken, attempts, services), oldest first.
    """

    settings: WorkerSettings
    gate: gate_module.Gate
    epoch: int = 0
    attempts: dict[workers.AttemptRef, Attempt] = dataclasses.field(
        default_factory=dict
    )
    entries: list[AttemptEntry] = dataclasses.field(default_factory=list)
    refused: list[RefusedStart] = dataclasses.field(default_factory=list)
    highest: documents.Size = documents.Size()
    services: list[workers.ServiceUsage] = dataclasses.field(
        default_factory=list
    )
    samples: list[tuple[float, list, list]] = dataclasses.field(
        default_factory=list
    )


async def serve_worker(settings: WorkerSettings, stop: anyio.Event) -> None:
    """Serves a worker until `stop` is set."""
    worker = Worker(settings, gate_module.Gate(seed=settings.seed))

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        now = time.monotonic()
        advance_attempts(worker, now)
        return handle_request(worker, request, now)

    application = gate_module.wrap_application(
        worker.gate, asgi.make_application(handle, serving.BODY_LIMIT_BYTES)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(_run_attempts, worker)
        group.start_soon(_take_samples, worker)
        await serving.serve_until(application, settings.listen, stop)
        group.cancel_scope.cancel()


def handle_request(
    worker: Worker, request: asgi.HttpRequest, now: float
) -> asgi.HttpReply:
    """Handles one request; the caller has advanced all attempts to `now`."""
    try:
        match request.method, request.path:
            case "GET", "/health":
                return asgi.make_json_reply(200, {"id": worker.settings.id})
            case "GET", "/audit":
                return asgi.make_json_reply(200, _make_audit(worker))
            case "GET", "/usage":
                return asgi.make_json_reply(200, _make_usage(worker, now))
            case _, "/pressure":
                return _handle_pressure(worker, request)
            case "POST", path:
                return _handle_command(worker, path, request.body, now)
    except msgspec.MsgspecError as error:
        return asgi.make_json_reply(400, {"reason": str(error)})
    return asgi.make_json_reply(404, {"reason": "no such path"})


def advance_attempts(worker: Worker, now: float) -> None:
    """Simulates all attempts up to `now` and drops those that ended long ago.

    Ends attempts that finish, fail, are stopped or lose their lease by `now`.
    """
    for ref, attempt in list(worker.attempts.items()):
        if attempt.entry.ended is None:
            _advance_attempt(worker, attempt, now)
        elif now - attempt.entry.ended > worker.settings.ended_kept_s:
            del worker.attempts[ref]


def sum_sizes(worker: Worker) -> documents.Size:
    """Sums the declared sizes of the running attempts."""
    sizes = [
        attempt.command.size
        for attempt in worker.attempts.values()
        if attempt.entry.ended is None
    ]
    return documents.Size(
        processors=sum(size.processors for size in sizes),
        memory_bytes=sum(size.memory_bytes for size in sizes),
        accelerators=sum(size.accelerators for size in sizes),
    )


def _handle_command(
    worker: Worker, path: str, body: bytes, now: float
) -> asgi.HttpReply:
    commands = {
        "/attempts": (workers.StartCommand, _start_attempt),
        "/renewals": (workers.RenewCommand, _renew_attempts),
        "/stops": (workers.AttemptsCommand, _stop_attempts),
        "/checkpoints": (workers.AttemptsCommand, _checkpoint_attempts),
        "/throttles": (workers.ThrottleCommand, _throttle_attempts),
        "/listing": (_ListingCommand, _list_attempts),
    }
    if path not in commands:
        return asgi.make_json_reply(404, {"reason": "no such path"})
    kind, execute = commands[path]
    command = msgspec.json.decode(body, type=kind)
    if command.epoch < worker.epoch:
        return asgi.make_json_reply(412, {"epoch": worker.epoch})
    worker.epoch = command.epoch
    return execute(worker, command, now)


class _ListingCommand(msgspec.Struct, frozen=True):
    epoch: int


def _start_attempt(
    worker: Worker, command: workers.StartCommand, now: float
) -> asgi.HttpReply:
    ref = workers.AttemptRef(command.task, command.attempt)
    if ref in worker.attempts:
        return asgi.make_json_reply(200, {})
    reason = _find_refusal(worker, command, now)
    if reason:
        worker.refused.append(
            RefusedStart(command.task, command.attempt, reason, now)
        )
        return asgi.make_json_reply(409, {"reason": reason})
    attempt = _make_attempt(command, now)
    worker.attempts[ref] = attempt
    worker.entries.append(attempt.entry)
    _write_audit(worker, attempt.entry)
    total = sum_sizes(worker)
    worker.highest = documents.Size(
        *(
            max(getattr(worker.highest, field), getattr(total, field))
            for field in documents.Size.__struct_fields__
        )
    )
    return asgi.make_json_reply(200, {})


def _find_refusal(
    worker: Worker, command: workers.StartCommand, now: float
) -> str:
    if now > command.start_before_s:
        return "late"
    if worker.gate.current.refuse or not _fits(worker, command.size):
        return "capacity"
    return ""


def _fits(worker: Worker, size: documents.Size) -> bool:
    total = sum_sizes(worker)
    return all(
        getattr(total, field) + getattr(size, field)
        # Allows for rounding errors in sums of fractional processors.
        <= getattr(worker.settings.size, field) + 1e-9
        for field in documents.Size.__struct_fields__
    )


def _make_attempt(command: workers.StartCommand, now: float) -> Attempt:
    step, chain = 0, answers.start_chain(command.work.get("seed", 0))
    if command.checkpoint is not None:
        step, chain = parse_checkpoint(command.checkpoint)
    entry = AttemptEntry(
        task=command.task,
        attempt=command.attempt,
        epoch=command.epoch,
        batch_class=command.batch_class,
        size=command.size,
        began=now,
        from_step=step,
        to_step=step,
        lease_until=now + command.lease_s,
    )
    return Attempt(
        command=command,
        entry=entry,
        chain=chain,
        advanced_at=now,
        checkpoint=command.checkpoint,
    )


def name_checkpoint(step: int, chain: str) -> str:
    """Encodes the state into the checkpoint's name; nothing is stored."""
    return f"step-{step}-{chain}"


def parse_checkpoint(name: str) -> tuple[int, str]:
    """Decodes a checkpoint into the next step and the state before it."""
    _, step, chain = name.split("-")
    return int(step), chain


def _renew_attempts(
    worker: Worker, command: workers.RenewCommand, now: float
) -> asgi.HttpReply:
    renewed = []
    for ref in command.attempts:
        attempt = _find_running(worker, ref)
        if attempt is not None:
            attempt.entry.lease_until = now + command.lease_s
            renewed.append(ref)
    return asgi.make_json_reply(200, workers.RenewReply(renewed))


def _stop_attempts(
    worker: Worker, command: workers.AttemptsCommand, now: float
) -> asgi.HttpReply:
    for ref in command.attempts:
        attempt = _find_running(worker, ref)
        if attempt is not None and attempt.stop_at is None:
            attempt.stop_at = now + worker.settings.stop_s
        if ref not in worker.attempts:
            _record_stop_before_start(worker, ref, command.epoch, now)
    return asgi.make_json_reply(200, {})


def _record_stop_before_start(
    worker: Worker, ref: workers.AttemptRef, epoch: int, now: float
) -> None:
    command = workers.StartCommand(
        task=ref.task,
        attempt=ref.attempt,
        epoch=epoch,
        lease_s=0.0,
        size=documents.Size(),
        batch_class="",
        work={},
        start_before_s=now,
    )
    attempt = _make_attempt(command, now)
    attempt.entry.ended = now
    attempt.entry.state = workers.AttemptState.STOPPED.value
    attempt.detail = "stopped before it was started"
    worker.attempts[ref] = attempt


def _checkpoint_attempts(
    worker: Worker, command: workers.AttemptsCommand, now: float
) -> asgi.HttpReply:
    for ref in command.attempts:
        attempt = _find_running(worker, ref)
        if attempt is not None and attempt.checkpoint_at is None:
            attempt.checkpointed = False
            attempt.checkpoint_at = now + worker.settings.checkpoint_s
    return asgi.make_json_reply(200, {})


def _throttle_attempts(
    worker: Worker, command: workers.ThrottleCommand, now: float
) -> asgi.HttpReply:
    for ref in command.attempts:
        attempt = _find_running(worker, ref)
        if attempt is not None:
            attempt.share = command.share
    return asgi.make_json_reply(200, {})


def _list_attempts(
    worker: Worker, command: _ListingCommand, now: float
) -> asgi.HttpReply:
    listed = [_list_attempt(attempt) for attempt in worker.attempts.values()]
    settings = worker.settings
    return asgi.make_json_reply(
        200, workers.Listing(settings.id, settings.size, listed, now)
    )


def _list_attempt(attempt: Attempt) -> workers.ListedAttempt:
    command = attempt.command
    return workers.ListedAttempt(
        task=command.task,
        attempt=command.attempt,
        epoch=command.epoch,
        state=workers.AttemptState(attempt.entry.state),
        batch_class=command.batch_class,
        size=command.size,
        checkpoint=attempt.checkpoint,
        checkpointed=attempt.checkpointed,
        detail=attempt.detail,
        output=attempt.output,
    )


def _find_running(worker: Worker, ref: workers.AttemptRef) -> Attempt | None:
    attempt = worker.attempts.get(ref)
    if attempt is None or attempt.entry.ended is not None:
        return None
    return attempt


def _advance_attempt(worker: Worker, attempt: Attempt, now: float) -> None:
    """Executes the steps due by `now`, the lease's expiry or a stop command."""
    state = workers.AttemptState
    until = min(now, attempt.entry.lease_until)
    if attempt.stop_at is not None:
        until = min(until, attempt.stop_at)
    if attempt.checkpoint_at is not None and attempt.checkpoint_at <= until:
        _advance_steps(attempt, attempt.checkpoint_at)
        attempt.checkpoint = name_checkpoint(
            attempt.entry.to_step, attempt.chain
        )
        attempt.checkpointed = True
        attempt.checkpoint_at = None
    _advance_steps(attempt, until)
    work = attempt.command.work
    if worker.gate.current.fail_everything:
        attempt.detail = "this worker fails every attempt"
        _end_attempt(worker, attempt, state.FAILED, until)
    elif attempt.entry.to_step >= work.get("steps", 0):
        _finish_attempt(worker, attempt, until)
    elif (
        attempt.entry.lease_until <= now and until == attempt.entry.lease_until
    ):
        _end_attempt(worker, attempt, state.LAPSED, until)
    elif attempt.stop_at is not None and attempt.stop_at <= now:
        _end_attempt(worker, attempt, state.STOPPED, until)


def _advance_steps(attempt: Attempt, until: float) -> None:
    work = attempt.command.work
    steps = work.get("steps", 0)
    step_s = max(work.get("step_ms", 0) / 1000, 1e-6)
    elapsed = max(0.0, until - attempt.advanced_at)
    attempt.advanced_at = max(until, attempt.advanced_at)
    attempt.progress += elapsed * _compute_rate(attempt) / step_s
    while attempt.progress >= 1 and attempt.entry.to_step < steps:
        attempt.progress -= 1
        attempt.chain = answers.advance_chain(
            attempt.chain, attempt.entry.to_step
        )
        attempt.entry.to_step += 1


def _compute_rate(attempt: Attempt) -> float:
    """Returns the share of its processor demand that the attempt receives."""
    wanted = _read_wanted_processors(attempt)
    if wanted <= 0:
        return 1.0
    return min(1.0, _read_used_processors(attempt) / wanted)


def _read_wanted_processors(attempt: Attempt) -> float:
    use = attempt.command.work.get("use", {})
    return use.get("processors", attempt.command.size.processors)


def _read_used_processors(attempt: Attempt) -> float:
    wanted = _read_wanted_processors(attempt)
    if attempt.share >= 1.0:
        return wanted
    return min(wanted, attempt.share * attempt.command.size.processors)


def _finish_attempt(worker: Worker, attempt: Attempt, at: float) -> None:
    work = attempt.command.work
    if work.get("fails", False):
        attempt.detail = "the declared work fails"
        _end_attempt(worker, attempt, workers.AttemptState.FAILED, at)
        return
    attempt.output = {
        "digest": attempt.chain,
        "steps": attempt.entry.to_step,
        "from_step": attempt.entry.from_step,
    }
    _end_attempt(worker, attempt, workers.AttemptState.SUCCEEDED, at)


def _end_attempt(
    worker: Worker, attempt: Attempt, state: workers.AttemptState, at: float
) -> None:
    attempt.entry.state = state.value
    attempt.entry.ended = at
    _write_audit(worker, attempt.entry)


def _handle_pressure(
    worker: Worker, request: asgi.HttpRequest
) -> asgi.HttpReply:
    if request.method == "POST":
        worker.services += msgspec.json.decode(
            request.body, type=list[workers.ServiceUsage]
        )
    pressure: dict[str, float] = {}
    for attempt in worker.attempts.values():
        if attempt.entry.ended is None:
            name = attempt.command.batch_class
            used = _read_used_processors(attempt)
            pressure[name] = pressure.get(name, 0.0) + used
    return asgi.make_json_reply(200, {"pressure": pressure})


def _make_audit(worker: Worker) -> Audit:
    return Audit(
        worker=worker.settings.id,
        size=worker.settings.size,
        highest=worker.highest,
        attempts=worker.entries,
        refused=worker.refused,
    )


def _make_usage(worker: Worker, now: float) -> workers.UsageReport:
    settings = worker.settings
    return workers.UsageReport(
        settings.id,
        [
            workers.UsageSample(now - taken, attempts, services)
            for taken, attempts, services in worker.samples
            if now - taken >= settings.usage_lag_s
        ],
    )


def take_sample(worker: Worker, now: float) -> None:
    """Takes a usage sample at `now` and drops those past `samples_kept_s`."""
    usage = [
        workers.AttemptUsage(
            task=attempt.command.task,
            attempt=attempt.command.attempt,
            batch_class=attempt.command.batch_class,
            processors=_read_used_processors(attempt),
            memory_bytes=attempt.command.work.get("use", {}).get(
                "memory_bytes", attempt.command.size.memory_bytes
            ),
        )
        for attempt in worker.attempts.values()
        if attempt.entry.ended is None
    ]
    services = _merge_services(worker.services)
    worker.samples.append((now, usage, services))
    worker.services = []
    kept_s = worker.settings.samples_kept_s
    while now - worker.samples[0][0] > kept_s:
        del worker.samples[0]


def _merge_services(
    reports: list[workers.ServiceUsage],
) -> list[workers.ServiceUsage]:
    """Merges reports by service class, keeping the highest p99 latency."""
    merged: dict[str, workers.ServiceUsage] = {}
    for report in reports:
        name = report.service_class
        other = merged.get(name, workers.ServiceUsage(name, 0.0, 0))
        merged[name] = workers.ServiceUsage(
            name,
            max(report.p99_ms, other.p99_ms),
            report.requests + other.requests,
        )
    return list(merged.values())


def _write_audit(worker: Worker, entry: AttemptEntry) -> None:
    if worker.settings.audit_file:
        with pathlib.Path(worker.settings.audit_file).open("ab") as stream:
            stream.write(msgspec.json.encode(entry) + b"\n")


async def _run_attempts(worker: Worker) -> None:
    while True:
        advance_attempts(worker, time.monotonic())
        await anyio.sleep(worker.settings.tick_s)


async def _take_samples(worker: Worker) -> None:
    while True:
        take_sample(worker, time.monotonic())
        await anyio.sleep(worker.settings.sample_s)


if __name__ == "__main__":
    serving.run_process(WorkerSettings, serve_worker)
