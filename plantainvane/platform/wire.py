"""Decodes the platform's documents and callers' jobs into model types.

Runner entries may be written by other software, so malformed ones are ignored.
"""

from typing import Annotated

import msgspec
import result

from plantainvane import decoding
from plantainvane.jobs import addresses
from plantainvane.jobs import checks
from plantainvane.jobs import model

# Key of a record that has a failure domain evacuated; its name follows.
EVACUATION_PREFIX = "evacuate/"

_DRAINING = "draining"
_STATES = ("ready", _DRAINING)
_ID_LENGTH = 16

# Whole numbers up to here are exact as floats.
_MAX_NUMBER = 2**53
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


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
    priority: _Number = 0
    attempts: _Number = 1
    slack_factor: float = 1.0
    target_completion_ms: float = 0
    advisor: _Advisor | None = None


class _Service(msgspec.Struct, rename="pascal"):
    """A service; with `preconditions` runners reject starts that do not fit."""

    name: str
    preconditions: bool = True


class _Configuration(msgspec.Struct, rename="pascal"):
    version: _Number
    routes: list[_Route] = []
    services: list[_Service] = []


class _Capacity(msgspec.Struct, rename="pascal"):
    cpu: _Number = 0
    mem_mb: _Number = 0
    gpu: _Number = 0


class _Entry(msgspec.Struct, rename="pascal"):
    """A runner's entry, as the runner writes it."""

    service: str
    address: str
    zone: str
    state: str
    born: _Number = msgspec.field(name="born")
    clock_ms: _Number = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []
    machine: str = ""


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
_ANY_DECODER = msgspec.json.Decoder()


def decode_configuration(content: bytes) -> model.Configuration | None:
    """Decodes the operator's document; None if it is malformed."""
    decoded = decoding.decode(_CONFIGURATION_DECODER, content)
    if decoded.is_err():
        return None
    document = decoded.ok_value
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


def is_evacuation(content: bytes) -> bool:
    """Tells whether a record can be read; the key says what is evacuated."""
    return decoding.decode(_ANY_DECODER, content).is_ok()


def decode_runner(key: str, content: bytes) -> model.RunnerEntry | None:
    """Decodes a runner's entry; None if it is malformed or unusable."""
    decoded = decoding.decode(_ENTRY_DECODER, content)
    if decoded.is_err():
        return None
    entry = decoded.ok_value
    if entry.state not in _STATES:
        return None
    if not addresses.is_callable(entry.address):
        return None
    if not addresses.is_header_value(key):
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
        entry.machine,
    )


def is_job_id(text: str) -> bool:
    """Returns whether `text` is a job id: 16 hexadecimal digits."""
    digits = "0123456789abcdefABCDEF"
    return len(text) == _ID_LENGTH and all(c in digits for c in text)


def decode_job(
    content: bytes, job_id: str, queue: model.Queue, accepted_ms: int
) -> result.Result[model.Job, str]:
    """Decodes and validates a submission; an error is its reason."""
    decoded = decoding.decode(_JOB_DECODER, content)
    if decoded.is_err():
        return decoded
    submission = decoded.ok_value
    job = model.Job(
        id=job_id,
        queue=queue.name,
        service=queue.service,
        accepted_ms=accepted_ms,
        spec=submission.spec,
        steps=tuple(_make_step(step) for step in submission.steps),
        repeat_count=submission.repeat_count,
        start_at_ms=submission.start_at_ms,
        interval_ms=submission.interval_ms,
        limits=model.make_limits(queue),
    )
    fault = checks.find_fault(job)
    return result.Err(fault) if fault else result.Ok(job)


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
