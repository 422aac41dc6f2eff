"""A request on its way through the dispatcher."""

import dataclasses

import anyio

from plantainvane import outcomes
from plantainvane import queues


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A caller's request.

    Attributes:
      service_class: Name of its class.
      request_id: Id given by or made for the caller; visible ASCII.
      body: Body for the target.
      deadline_s: Seconds that the caller waits; None for the class's.
      key: Idempotency key of a non-idempotent request.
      issued: When the key was issued, in seconds since the Unix epoch.
      forwarded: It came from another entry process, which holds the key; it
        runs in a free slot or not at all.
    """

    service_class: str
    request_id: str
    body: bytes
    deadline_s: float | None = None
    key: str | None = None
    issued: float | None = None
    forwarded: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest(queues.QueuedRequest):
    """A request with what its attempts have shown.

    Attributes:
      request: The caller's request.
      path: Path at the runner.
      wire_id: Id sent to targets; differs from the caller's when another
        recent request had the same one.
      done: Set with `answer`.
      answer: The outcome, once known.
      attempts: Exchanges in which a byte was sent.
      maybe_run: An attempt had an unknown outcome, so the request can no
        longer be called not run.
      long: It counts against the limit of long-running work.
      given_up: Its caller went away; it is not tried again.
      avoid: Ids of targets that failed or refused it.
      keyed: This process holds its idempotency key.
      recorded: Set once the outcome of a keyed request is in the log.
      began: Monotonic time of the newest handover to a slot.
    """

    request: Request
    path: bytes
    wire_id: str
    done: anyio.Event
    answer: outcomes.Answer | None = None
    attempts: int = 0
    maybe_run: bool = False
    long: bool = False
    given_up: bool = False
    avoid: set[str] | None = None
    keyed: bool = False
    recorded: anyio.Event | None = None
    began: float = 0.0
