"""HTTP interface for callers: requests and batch tasks."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import math
import os
import re
import time
from typing import Any

import msgspec
import result

from plantainvane import asgi
from plantainvane import dispatcher as dispatcher_module
from plantainvane import documents
from plantainvane import outcomes
from plantainvane import settings as settings_module
from plantainvane import validation

# Visible ASCII; it is sent to targets as a header and compared bytewise.
_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_KEY = re.compile(r"[!-~]{1,256}")
_ALLOW_POST = ((b"allow", b"POST"),)
_ALLOW_GET = ((b"allow", b"GET"),)
# Reasons of a not-run outcome that mean overload (429); others default to 503.
_SHED_REASONS = frozenset({"overload", "queue_full", "late", "no_free_slot"})
_STATUS_BY_REASON = {
    "unknown_class": 404,
    "too_large": 413,
    "key_required": 400,
    "bad_header": 400,
    # The same request can never run, so a Retry-After header would mislead.
    "key_expired": 400,
    "issued_in_future": 400,
}


class TaskRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Body of `POST /tasks`."""

    task: settings_module.Name
    batch_class: settings_module.Name
    work: dict[str, Any]
    domain: settings_module.Name | None = None
    size: documents.Size | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class TaskCallbacks:
    """Functions of the scheduler that the task routes call.

    Attributes:
      submit_task: Submits a task; Ok with its id.
      find_task: Returns the task of an id as a JSON-encodable value, or None.
      cancel_task: Cancels the task of an id; Ok once that is recorded.
    """

    submit_task: Callable[
        [TaskRequest], Awaitable[result.Result[str, outcomes.CallError]]
    ]
    find_task: Callable[[str], Awaitable[Any | None]]
    cancel_task: Callable[
        [str], Awaitable[result.Result[Any, outcomes.CallError]]
    ]


HandleRequest = Callable[
    [dispatcher_module.Request, float], Awaitable[outcomes.Answer]
]


def make_handler(
    settings: settings_module.Settings,
    handle_request: HandleRequest,
    task_callbacks: TaskCallbacks | None,
    is_ready: Callable[[], bool],
    clock: Callable[[], float] = time.monotonic,
) -> asgi.Handler:
    """Creates the handler of the address for callers.

    Args:
      settings: The settings.
      handle_request: Runs a request that arrived at a monotonic time, as
        dispatcher.Dispatcher.handle_request does.
      task_callbacks: The scheduler; with None the task routes answer 503.
      is_ready: Tells whether the process serves and is not draining.
      clock: Returns the monotonic time in seconds.
    """
    # Generated ids are unique across processes and restarts; the random part is
    # drawn once, which saves a system call per request.
    prefix = f"{settings.id}-{os.urandom(6).hex()}-"
    request_numbers = itertools.count(1)

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        now = clock()
        path = request.path
        if path.startswith("/services/"):
            if request.method != "POST":
                return _refuse_method(_ALLOW_POST)
            request_id = request.headers.get("request-id")
            if request_id is None or not _REQUEST_ID.fullmatch(request_id):
                # An invalid id is not echoed because it could inject a header.
                request_id = f"{prefix}{next(request_numbers)}"
            parsed = _parse_request(request, path[10:], request_id)
            if parsed.is_err():
                return _make_reply(parsed.err_value, request_id)
            answer = await handle_request(parsed.ok_value, now)
            return _make_reply(answer, request_id)
        if path == "/health":
            return asgi.HttpReply(200 if is_ready() else 503)
        if path == "/tasks" or path.startswith("/tasks/"):
            if task_callbacks is None:
                return _refuse(503, "not_serving", "the scheduler is not ready")
            return await _handle_tasks(task_callbacks, request)
        return _refuse(404, "unknown_path", "the path does not exist")

    return handle


def _parse_request(
    request: asgi.HttpRequest, service_class: str, request_id: str
) -> result.Result[dispatcher_module.Request, outcomes.Answer]:
    headers = request.headers
    if headers.get("request-id", request_id) != request_id:
        return _reject_header("Request-Id", "1 to 128 visible ASCII characters")
    deadline_s = None
    if "deadline-ms" in headers:
        deadline_s = _parse_number(headers["deadline-ms"])
        if deadline_s is None or deadline_s <= 0:
            return _reject_header("Deadline-Ms", "a positive number")
        deadline_s /= 1000
    key = headers.get("idempotency-key")
    if key is not None and not _KEY.fullmatch(key):
        return _reject_header(
            "Idempotency-Key", "1 to 256 visible ASCII characters"
        )
    issued = None
    if "plantainvane-issued" in headers:
        issued = _parse_number(headers["plantainvane-issued"])
        if issued is None:
            return _reject_header(
                "Plantainvane-Issued", "seconds since the Unix epoch"
            )
    return result.Ok(
        dispatcher_module.Request(
            service_class, request_id, request.body, deadline_s, key, issued
        )
    )


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _reject_header(name: str, expected: str) -> result.Err[outcomes.Answer]:
    return result.Err(
        outcomes.Answer(
            outcomes.RequestOutcome.NOT_RUN,
            reason="bad_header",
            detail=f"header {name} must be {expected}",
        )
    )


def _make_reply(answer: outcomes.Answer, request_id: str) -> asgi.HttpReply:
    identity = (b"request-id", request_id.encode())
    if answer.outcome is outcomes.RequestOutcome.ANSWERED:
        return asgi.HttpReply(
            200, answer.body, answer.content_type, (identity,)
        )
    status = _find_status(answer)
    value = {
        "outcome": answer.outcome.value,
        "reason": answer.reason,
        "detail": answer.detail,
        "retry_after_ms": math.ceil(answer.retry_after_s * 1000),
    }
    headers = [identity]
    if status in (429, 503):
        # The header has whole seconds; the body has milliseconds.
        seconds = max(1, math.ceil(answer.retry_after_s))
        headers.append((b"retry-after", b"%d" % seconds))
    return asgi.make_json_reply(status, value, tuple(headers))


def _find_status(answer: outcomes.Answer) -> int:
    if answer.outcome is outcomes.RequestOutcome.DUPLICATE:
        return 409
    if answer.outcome is outcomes.RequestOutcome.UNKNOWN:
        return 504
    if answer.reason in _SHED_REASONS:
        return 429
    return _STATUS_BY_REASON.get(answer.reason, 503)


async def _handle_tasks(
    callbacks: TaskCallbacks, request: asgi.HttpRequest
) -> asgi.HttpReply:
    parts = request.path.split("/")[2:]
    if not parts:
        if request.method != "POST":
            return _refuse_method(_ALLOW_POST)
        return await _submit_task(callbacks, request)
    if len(parts) == 1:
        if request.method != "GET":
            return _refuse_method(_ALLOW_GET)
        task = await callbacks.find_task(parts[0])
        if task is None:
            return _refuse(404, "unknown_task", "the task is not known")
        return asgi.make_json_reply(200, task)
    if len(parts) == 2 and parts[1] == "cancel":
        if request.method != "POST":
            return _refuse_method(_ALLOW_POST)
        cancelled = await callbacks.cancel_task(parts[0])
        if cancelled.is_err():
            return _refuse_call(cancelled.err_value)
        return asgi.make_json_reply(202, {"task": parts[0]})
    return _refuse(404, "unknown_path", "the path does not exist")


async def _submit_task(
    callbacks: TaskCallbacks, request: asgi.HttpRequest
) -> asgi.HttpReply:
    decoded = validation.decode_document(request.body, TaskRequest)
    if decoded.is_err():
        faults = [
            {"path": fault.path, "reason": fault.reason}
            for fault in decoded.err_value
        ]
        return asgi.make_json_reply(
            400,
            {
                "outcome": "not_run",
                "reason": "bad_document",
                "detail": "the task does not validate",
                "faults": faults,
            },
        )
    submitted = await callbacks.submit_task(decoded.ok_value)
    if submitted.is_err():
        return _refuse_call(submitted.err_value)
    return asgi.make_json_reply(202, {"task": submitted.ok_value})


def _refuse_call(error: outcomes.CallError) -> asgi.HttpReply:
    """Maps an error of the scheduler to a reply; REFUSED is a 404."""
    if error.failure is outcomes.CallFailure.REFUSED:
        return _refuse(404, "refused", error.detail)
    lost = error.failure is outcomes.CallFailure.LOST
    outcome = "unknown" if lost else "not_run"
    return _refuse(503, error.failure.value, error.detail, outcome)


def _refuse_method(allow: tuple[tuple[bytes, bytes], ...]) -> asgi.HttpReply:
    reply = _refuse(405, "method", "the path does not take this method")
    reply.headers = allow
    return reply


def _refuse(
    status: int, reason: str, detail: str, outcome: str = "not_run"
) -> asgi.HttpReply:
    value = {
        "outcome": outcome,
        "reason": reason,
        "detail": detail,
        "retry_after_ms": 1000 if status == 503 else 0,
    }
    headers = ((b"retry-after", b"1"),) if status == 503 else ()
    return asgi.make_json_reply(status, value, headers)
