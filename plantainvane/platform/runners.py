"""Client of one runner."""

from typing import Annotated
from typing import Any

import msgspec
import result

from plantainvane import decoding
from plantainvane import http_client
from plantainvane import outcomes
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import settings as settings_module
from plantainvane.platform import calls

_OUTCOME = interfaces.OrderOutcome
_REASONS = {
    "fence": _OUTCOME.FENCED,
    "old": _OUTCOME.OLD,
    "late": _OUTCOME.LATE,
    "room": _OUTCOME.NO_ROOM,
    "ticket": _OUTCOME.NO_TICKET,
}

# A burst of orders to one runner waits for these connections instead of opening
# one connection each, as new connections to runners are priced.
_MAX_ORDER_CONNECTIONS = 4


_OTHER_INCARNATION_STATUS = 421
# A reply to a poll lists this many ends at most.
_MAX_LISTED_ENDS = 500


class _Refusal(msgspec.Struct, rename="pascal"):
    reason: str = ""


# Whole numbers up to here are exact as floats, which no sum or product of them
# exceeds.
_MAX_NUMBER = 2**53
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_Measurement = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


# A measurement is about a whole number; a smaller one than this is no divisor.
_MEASUREMENT_DIGITS = 3


class _Clock(msgspec.Struct, rename="pascal"):
    clock_ms: _Number | None = None


class _Running(msgspec.Struct, array_like=True):
    """A running attempt; its measurement is given on some deployments."""

    task: str
    attempt: _Number
    checkpoint: str | None
    progress_percent: _Measurement
    measurement: _Measurement | None = None


class _PollReply(msgspec.Struct, rename="pascal"):
    """Running and ended attempts of a runner.

    A row of `finished` holds number, task, attempt, outcome and checkpoint.
    """

    clock_ms: _Number
    born: _Number = msgspec.field(name="born", default=0)
    active: list[_Running] = []
    finished: list[tuple[_Number, str, _Number, str, str]] = []


_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)
_CLOCK_DECODER = msgspec.json.Decoder(_Clock)
_POLL_DECODER = msgspec.json.Decoder(_PollReply)


def decode_poll_reply(
    content: bytes,
) -> result.Result[model.RunnerStatus, str]:
    """Decodes the reply to a poll; an error is its reason."""
    decoded = decoding.decode(_POLL_DECODER, content)
    if decoded.is_err():
        return decoded
    reply = decoded.ok_value
    return result.Ok(
        model.RunnerStatus(
            reply.born,
            reply.clock_ms,
            tuple(_make_running(row) for row in reply.active),
            tuple(model.AttemptEnd(*row) for row in reply.finished),
            len(reply.finished) < _MAX_LISTED_ENDS,
        )
    )


def _make_running(row: _Running) -> model.RunningAttempt:
    return model.RunningAttempt(
        row.task,
        row.attempt,
        row.checkpoint or "",
        row.progress_percent,
        round(row.measurement or 0.0, _MEASUREMENT_DIGITS),
    )


class RunnerClient:
    """Client of one runner, with its own connections.

    Polls renew the leases, so they never wait for a connection behind orders.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        address: str,
        runner_id: str,
    ):
        """Creates a client; `runner_id` detects a reused address."""
        self._timeout_s = settings.call_timeout_s
        headers = {
            "Content-Type": "application/json",
            "Target-Instance": runner_id,
        }
        timeout_s = settings.call_timeout_s
        self._poll_client = http_client.Client(address, timeout_s, headers)
        self._order_client = http_client.Client(
            address, timeout_s, headers, _MAX_ORDER_CONNECTIONS
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._poll_client.aclose()
        await self._order_client.aclose()

    async def poll(
        self,
        token: int,
        last_stored_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> result.Result[model.RunnerStatus, interfaces.OrderOutcome]:
        """Renews all leases and lists running and ended attempts."""
        body: dict[str, int] = {
            "FencingToken": token,
            "LastSeen": last_stored_end,
        }
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        if wait_s > 0:
            body["WaitMs"] = int(wait_s * 1000)
        reply = await calls.call(
            self._poll_client,
            "POST",
            "/plantainvane/hold",
            msgspec.json.encode(body),
            self._timeout_s + wait_s,
        )
        outcome = _read_outcome(reply)
        if outcome is not _OUTCOME.DONE:
            return result.Err(outcome)
        status = decode_poll_reply(reply.ok_value.content)
        return status if status.is_ok() else result.Err(_OUTCOME.INVALID)

    async def start(self, order: model.StartOrder) -> interfaces.StartReply:
        """Starts an attempt; idempotent."""
        body: dict[str, Any] = {
            "Task": order.task,
            "Attempt": order.attempt,
            "Spec": order.spec,
            "DeadlineMs": order.lease_until_ms,
            "FencingToken": order.token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        reply = await self._call("run-start", body)
        clock_ms = (
            _read_clock(reply.ok_value.content) if reply.is_ok() else None
        )
        return interfaces.StartReply(_read_outcome(reply), clock_ms)

    async def stop(
        self, task: str, attempt: int, token: int
    ) -> interfaces.OrderOutcome:
        """Stops an attempt; the runner rejects a later start of it."""
        body = {"Task": task, "Attempt": attempt, "FencingToken": token}
        return await self._order("run-stop", body)

    async def pace(
        self, task: str, attempt: int, percent: int, token: int
    ) -> interfaces.OrderOutcome:
        """Limits a task to `percent` of its speed."""
        body = {
            "Task": task,
            "Attempt": attempt,
            "Percent": percent,
            "FencingToken": token,
        }
        return await self._order("pace", body)

    async def _order(
        self, name: str, body: dict[str, Any]
    ) -> interfaces.OrderOutcome:
        return _read_outcome(await self._call(name, body))

    async def _call(
        self, name: str, body: dict[str, Any]
    ) -> result.Result[http_client.Reply, outcomes.CallError]:
        return await calls.call(
            self._order_client,
            "POST",
            f"/plantainvane/{name}",
            msgspec.json.encode(body),
            self._timeout_s,
        )


def _read_outcome(reply: result.Result) -> interfaces.OrderOutcome:
    if reply.is_err():
        failure = reply.err_value.failure
        if failure in (
            outcomes.CallFailure.LIMITED,
            outcomes.CallFailure.REFUSED,
        ):
            return _OUTCOME.UNHEALTHY
        if failure is outcomes.CallFailure.UNREACHED:
            return _OUTCOME.UNREACHED
        return _OUTCOME.LOST
    status = reply.ok_value.status_code
    if status == 200:
        return _OUTCOME.DONE
    if status == _OTHER_INCARNATION_STATUS:
        return _OUTCOME.OTHER_INCARNATION
    if status == 409:
        return _read_reason(reply.ok_value.content)
    if 400 <= status < 500:
        return _OUTCOME.INVALID
    return _OUTCOME.LOST


def _read_clock(content: bytes) -> int | None:
    decoded = decoding.decode(_CLOCK_DECODER, content)
    return decoded.ok_value.clock_ms if decoded.is_ok() else None


def _read_reason(content: bytes) -> interfaces.OrderOutcome:
    refusal = decoding.decode(_REFUSAL_DECODER, content)
    if refusal.is_err():
        return _OUTCOME.INVALID
    return _REASONS.get(refusal.ok_value.reason, _OUTCOME.INVALID)
