"""Outcomes of requests and of calls to external systems, as values."""

import enum

import msgspec


class RequestOutcome(enum.StrEnum):
    """What is known about a request when the caller gets its reply."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DUPLICATE = "duplicate"


class Answer(msgspec.Struct, frozen=True):
    """Outcome of one request.

    Attributes:
      outcome: What is known about the request.
      body: The complete answer of the target; empty unless answered.
      content_type: Media type of `body`.
      reason: Short machine-readable cause when not answered.
      detail: Human-readable explanation; contains no request content.
      retry_after_s: Seconds after which to retry when not run, else 0.
      attempts: Number of exchanges with targets in which a byte was sent.
    """

    outcome: RequestOutcome
    body: bytes = b""
    content_type: str = "application/octet-stream"
    reason: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    attempts: int = 0


class CallFailure(enum.StrEnum):
    """Why a call to an external system gave no usable reply.

    REFUSED: the other side rejected it; the action did not take effect.
    UNREACHED: no connection; the action did not take effect.
    LIMITED: refused for now by a rate limit; it did not take effect.
    LOST: sent, but no complete reply; the action may have taken effect.
    STALE: refused because the epoch is below the highest one seen.
    """

    REFUSED = "refused"
    UNREACHED = "unreached"
    LIMITED = "limited"
    LOST = "lost"
    STALE = "stale"


class CallError(msgspec.Struct, frozen=True):
    """Failure of a call to an external system, with a human-readable detail."""

    failure: CallFailure
    detail: str = ""
