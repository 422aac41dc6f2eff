"""Requests in the dispatcher, from arrival to outcome."""

import dataclasses

import anyio

from plantainvane import outcomes
from plantainvane import queues


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A request as the caller sent it.

    Attributes:
      service_class: Name of its service class.
      request_id: Id chosen by or generated for the caller; visible ASCII.
      body: Body for the target.
      deadline_s: Seconds that the caller waits; None means the deadline of the
        class.
      key: Idempotency key; required if the class is not idempotent.
      issued: When the key was issued, in seconds since the Unix epoch.
      forwarded: It came from another entry process, which holds the key. It
        runs in an idle slot or not at all.
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
    """A request from its arrival to its outcome, with its attempts so far.

    Attributes:
      request: The request as the caller sent it.
      path: Path of the request at the runner.
      wire_id: Id sent to targets; differs from the caller's id if another
        recent request had the same id.
      done: Set once `answer` is known.
      answer: The outcome; None until it is known.
      attempts: Number of exchanges in which a byte was sent.
      maybe_run: An attempt had an unknown outcome, so the request must not be
        reported as not run.
      long: It counts against the limit of long-running work.
      given_up: Its caller's task was cancelled; it is not retried.
      avoid: Ids of the targets that failed or refused it.
      keyed: This process holds its idempotency key.
      recorded: Set once a keyed request is settled: the append of its outcome
        returned, or this process is closing.
      began: Monotonic time of the latest handover to a slot.
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
