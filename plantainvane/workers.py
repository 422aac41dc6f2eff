"""Client of a worker; the only module that knows the worker's interface.

The scheduler relies on these properties of a worker:
  - It refuses a start beyond its capacity; this is how "guards on" is
    understood.
  - It refuses every command with an epoch below the highest it has seen.
    Without this fencing, only the check of the claim before each command would
    hold back a paused owner.
  - A start is idempotent by (task, attempt), also after the attempt ended.
  - It refuses a start that it handles after `start_before_s`.
  - It stops an attempt whose lease expires.
  - Its listing includes ended attempts for 10 minutes.

The interface is HTTP/1.1 with JSON. Every request carries the sender's process
id in the header `Client-Id`:
  POST /attempts       StartCommand  -> 200; 409 {"reason": str}, where the
                       reason is "capacity" or "late"
  POST /renewals       RenewCommand  -> 200 {"renewed": [[task, attempt]...]}
  POST /stops          AttemptsCommand -> 200 (accepted; see the listing)
  POST /checkpoints    AttemptsCommand -> 200 (accepted; see the listing)
  POST /throttles      ThrottleCommand -> 200
  POST /listing        {"epoch": int} -> 200 Listing (also raises the epoch)
  GET  /usage          200 UsageReport
  412 {"epoch": int}   on any command with a lower epoch
"""

import enum
from typing import Any

import httpx
import msgspec
import result

from plantainvane import documents
from plantainvane import http_client
from plantainvane import outcomes
from plantainvane import settings as settings_module


class AttemptState(enum.StrEnum):
    """State of an attempt, as reported by the worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class AttemptRef(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one attempt of a task; encoded as [task, attempt]."""

    task: str
    attempt: int


class StartCommand(msgspec.Struct, frozen=True):
    """Starts an attempt, from `checkpoint` unless that is None.

    `start_before_s` is a time of the worker's monotonic clock, as in its
    listing. A command that is handled later has no effect. Otherwise a start
    buffered by a paused worker could run after its task was requeued.
    """

    task: str
    attempt: int
    epoch: int
    lease_s: float
    size: documents.Size
    batch_class: str
    work: dict[str, Any]
    start_before_s: float
    checkpoint: str | None = None


class RenewCommand(msgspec.Struct, frozen=True):
    """Extends the leases of attempts to `lease_s` seconds from now."""

    epoch: int
    lease_s: float
    attempts: list[AttemptRef]


class RenewReply(msgspec.Struct, frozen=True):
    """The running attempts whose leases were renewed."""

    renewed: list[AttemptRef]


class AttemptsCommand(msgspec.Struct, frozen=True):
    """A stop or checkpoint command for several attempts."""

    epoch: int
    attempts: list[AttemptRef]


class ThrottleCommand(msgspec.Struct, frozen=True):
    """Limits attempts to `share` of their declared processors, in (0, 1]."""

    epoch: int
    share: float
    attempts: list[AttemptRef]


class ListedAttempt(msgspec.Struct, frozen=True):
    """An attempt in a worker's listing.

    `checkpoint` names the newest complete checkpoint; `checkpointed` is true
    once a requested checkpoint is complete.
    """

    task: str
    attempt: int
    epoch: int
    state: AttemptState
    batch_class: str
    size: documents.Size
    checkpoint: str | None = None
    checkpointed: bool = False
    detail: str = ""
    output: Any = None


class Listing(msgspec.Struct, frozen=True):
    """All attempts that the worker knows, running or ended.

    `clock_s` is the worker's monotonic clock in seconds.
    """

    worker: str
    size: documents.Size
    attempts: list[ListedAttempt]
    clock_s: float


class AttemptUsage(msgspec.Struct, frozen=True):
    """Measured resource use of one attempt."""

    task: str
    attempt: int
    batch_class: str
    processors: float
    memory_bytes: int


class ServiceUsage(msgspec.Struct, frozen=True):
    """Measured latency of one service class on the worker."""

    service_class: str
    p99_ms: float
    requests: int


class UsageSample(msgspec.Struct, frozen=True):
    """One usage sample, taken `age_s` seconds before the report."""

    age_s: float
    attempts: list[AttemptUsage]
    services: list[ServiceUsage]


class UsageReport(msgspec.Struct, frozen=True):
    """Recent usage samples of a worker, oldest first."""

    worker: str
    samples: list[UsageSample]


_ENCODER = msgspec.json.Encoder()


def make_client(
    settings: settings_module.Settings, address: str
) -> http_client.Client:
    """Creates the HTTP client for the worker at `address` (`ip:port`)."""
    return http_client.Client(
        address,
        settings.tasks.call_timeout_s,
        headers={"Client-Id": settings.id},
        max_connections=2,
    )


async def start_attempt(
    client: http_client.Client, command: StartCommand
) -> result.Result[None, outcomes.CallError]:
    """Starts an attempt.

    Returns:
      Ok if the worker runs it. Err LOST if the outcome is unknown and it may be
      running; UNREACHED if the worker was not reached; STALE if it has seen a
      higher epoch; REFUSED if it lacks capacity or the start came too late.
    """
    reply = await _post(client, "/attempts", command)
    return reply.map(lambda _: None)


async def renew_attempts(
    client: http_client.Client, command: RenewCommand
) -> result.Result[list[AttemptRef], outcomes.CallError]:
    """Renews leases; returns the attempts that were renewed."""
    reply = await _post(client, "/renewals", command)
    return reply.and_then(lambda body: _decode(body, RenewReply)).map(
        lambda decoded: decoded.renewed
    )


async def stop_attempts(
    client: http_client.Client, command: AttemptsCommand
) -> result.Result[None, outcomes.CallError]:
    """Requests a stop of attempts; the listing shows when it is done."""
    return (await _post(client, "/stops", command)).map(lambda _: None)


async def checkpoint_attempts(
    client: http_client.Client, command: AttemptsCommand
) -> result.Result[None, outcomes.CallError]:
    """Requests checkpoints of attempts; the listing shows the result."""
    return (await _post(client, "/checkpoints", command)).map(lambda _: None)


async def throttle_attempts(
    client: http_client.Client, command: ThrottleCommand
) -> result.Result[None, outcomes.CallError]:
    """Limits the processors of attempts, or removes the limit."""
    return (await _post(client, "/throttles", command)).map(lambda _: None)


async def list_attempts(
    client: http_client.Client, epoch: int
) -> result.Result[Listing, outcomes.CallError]:
    """Lists the attempts of a worker and fences it.

    The worker then refuses commands with epochs below `epoch`.
    """
    reply = await _post(client, "/listing", {"epoch": epoch})
    return reply.and_then(lambda body: _decode(body, Listing))


async def fetch_usage(
    client: http_client.Client,
) -> result.Result[UsageReport, outcomes.CallError]:
    """Fetches the usage report, whose samples lag."""
    try:
        reply = await client.get("/usage")
        reply.raise_for_status()
    except httpx.HTTPError as error:
        return result.Err(
            outcomes.CallError(outcomes.CallFailure.LOST, str(error))
        )
    return _decode(reply.content, UsageReport)


async def _post(
    client: http_client.Client, path: str, command: Any
) -> result.Result[bytes, outcomes.CallError]:
    failure = outcomes.CallFailure
    try:
        reply = await client.post(path, content=_ENCODER.encode(command))
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as e:
        return result.Err(outcomes.CallError(failure.UNREACHED, str(e)))
    except httpx.HTTPError as error:
        return result.Err(outcomes.CallError(failure.LOST, str(error)))
    if reply.status_code == 200:
        return result.Ok(reply.content)
    if reply.status_code == 412:
        return result.Err(outcomes.CallError(failure.STALE, reply.text))
    if reply.status_code == 409:
        return result.Err(outcomes.CallError(failure.REFUSED, reply.text))
    return result.Err(
        outcomes.CallError(failure.LOST, f"status {reply.status_code}")
    )


def _decode(body: bytes, kind: Any) -> result.Result[Any, outcomes.CallError]:
    try:
        return result.Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return result.Err(
            outcomes.CallError(outcomes.CallFailure.LOST, str(error))
        )
