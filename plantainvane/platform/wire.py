"""Decodes the platform's documents and callers' jobs into model types.

Runner entries may be written by other software, so malformed ones are ignored.
"""

import msgspec
import result

from plantainvane.jobs import model

_DRAINING = "draining"
_STATES = ("ready", _DRAINING)
_ID_LENGTH = 16
_MAX_SPEC_BYTES = 4000
# The progress of a job is one record, which the log limits to 262,144 bytes. A
# task with an attempt and a checkpoint takes less than 100.
_MAX_TASKS = 2500


class _Advisor(msgspec.Struct, rename="pascal"):
    decision_ms: float = 0
    per_worker_ms: float = 0
    validity_ms: float = 0


class _Route(msgspec.Struct, rename="pascal"):
    """A queue.

    `target_completion_ms` is the constant part of a job's completion-time
    objective. `service` is the service whose runners run the jobs.
    """

    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    target_completion_ms: float = 0
    advisor: _Advisor | None = None


class _Service(msgspec.Struct, rename="pascal"):
    """A service; with `preconditions` runners reject starts that do not fit."""

    name: str
    preconditions: bool = True


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []


class _Capacity(msgspec.Struct, rename="pascal"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Entry(msgspec.Struct, rename="pascal"):
    """A runner's entry, as the runner writes it."""

    service: str
    address: str
    zone: str
    state: str
    born: int = msgspec.field(name="born")
    clock_ms: int = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []


class _Step(msgspec.Struct, rename="pascal"):
    """A step.

    `affinity` is the rack of the data, `max_disrupted` the number of tasks that
    may be interrupted at once, `target_ms` the tail-latency target.
    """

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    affinity: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    max_disrupted: int = 0


class _Job(msgspec.Struct, rename="pascal"):
    spec: str = ""
    steps: list[_Step] = []
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_JOB_DECODER = msgspec.json.Decoder(_Job)


def decode_configuration(content: bytes) -> model.Configuration | None:
    """Decodes the operator's document; None if it is malformed."""
    try:
        document = _CONFIGURATION_DECODER.decode(content)
    except msgspec.DecodeError:
        return None
    return model.Configuration(
        document.version,
        tuple(_make_queue(route) for route in document.routes),
        frozenset(s.name for s in document.services if not s.preconditions),
    )


def _make_queue(route: _Route) -> model.Queue:
    advice = None
    if route.advisor is not None:
        advice = model.AdviserTimings(
            route.advisor.decision_ms / 1000,
            route.advisor.per_worker_ms / 1000,
            route.advisor.validity_ms / 1000,
        )
    return model.Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.attempts,
        route.slack_factor,
        route.target_completion_ms / 1000,
        advice,
    )


def decode_runner(key: str, content: bytes) -> model.RunnerEntry | None:
    """Decodes a runner's entry; None if it is malformed or unusable."""
    try:
        entry = _ENTRY_DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not host or not port.isdecimal():
        return None
    capacity = entry.capacity
    return model.RunnerEntry(
        key,
        entry.born,
        entry.service,
        entry.address,
        entry.zone,
        entry.state == _DRAINING,
        model.Amounts(capacity.cpu, capacity.mem_mb, capacity.gpu),
        tuple(entry.labels),
        entry.clock_ms,
    )


def is_job_id(text: str) -> bool:
    """Returns whether `text` is a job id: 16 hexadecimal digits."""
    digits = "0123456789abcdefABCDEF"
    return len(text) == _ID_LENGTH and all(c in digits for c in text)


def decode_job(
    content: bytes, job_id: str, queue: model.Queue, accepted_ms: int
) -> result.Result[model.Job, str]:
    """Decodes and validates a submission; an error is its reason."""
    try:
        job = _JOB_DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))
    fault = _find_fault(job)
    if fault:
        return result.Err(fault)
    return result.Ok(
        model.Job(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            accepted_ms=accepted_ms,
            spec=job.spec,
            steps=tuple(_make_step(step) for step in job.steps),
            repeat_count=job.repeat_count,
            start_at_ms=job.start_at_ms,
            interval_ms=job.interval_ms,
        )
    )


def _find_fault(job: _Job) -> str:
    if not job.steps:
        return "Steps is empty"
    if len(job.spec.encode()) > _MAX_SPEC_BYTES:
        return f"Spec exceeds {_MAX_SPEC_BYTES} bytes"
    if job.repeat_count < 0:
        return "RepeatCount is negative"
    tasks = sum(step.count for step in job.steps) * max(1, job.repeat_count)
    if tasks > _MAX_TASKS:
        return f"{tasks} tasks exceed {_MAX_TASKS}"
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return f"Steps[{number}].Count is below 1"
        if min(step.cpu, step.mem_mb, step.gpu, step.estimate_ms) < 0:
            return f"Steps[{number}] has a negative amount"
        if any(not 0 <= other < number for other in step.depends_on):
            return f"Steps[{number}].DependsOn names no earlier step"
    return ""


def _make_step(step: _Step) -> model.Step:
    return model.Step(
        count=step.count,
        amounts=model.Amounts(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=step.estimate_ms,
        depends_on=tuple(step.depends_on),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        preferred_rack=step.affinity,
        max_per_runner=step.max_per_server,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        fills=step.fills,
        max_unavailable=step.max_disrupted,
    )
