"""Helpers for ASGI applications that hypercorn serves."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
import urllib.parse

import hypercorn.asyncio
import hypercorn.config
import msgspec
import result

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]

_ENCODER = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """One HTTP request with its complete body.

    Attributes:
      method: Upper-case method.
      path: Decoded path without the query.
      query: Values by parameter name; the last value of a name wins.
      headers: Values by lower-case name; the last value of a name wins.
      body: The complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class HttpReply:
    """One HTTP reply with its complete body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


def make_json_reply(
    status: int, value: Any, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> HttpReply:
    """Creates a reply whose body is `value` encoded as JSON."""
    return HttpReply(status, _ENCODER.encode(value), headers=headers)


def make_application(handle: Handler, body_limit_bytes: int) -> Application:
    """Creates an ASGI application that calls `handle` with complete requests.

    A body longer than `body_limit_bytes` gets a 413 without a call of `handle`.
    """

    async def serve(scope: dict[str, Any], receive: Receive, send: Send):
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive, body_limit_bytes)
        if body.is_err():
            await _send_reply(send, body.err_value)
            return
        request = HttpRequest(
            method=scope["method"],
            path=scope["path"],
            query=dict(urllib.parse.parse_qsl(scope["query_string"].decode())),
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            body=body.ok_value,
        )
        await _send_reply(send, await handle(request))

    return serve


async def serve_application(
    application: Application,
    addresses: list[str],
    shutdown: Callable[[], Awaitable[Any]],
    graceful_timeout_s: float,
) -> None:
    """Serves `application` at each `ip:port` until `shutdown` returns.

    Requests in flight then have `graceful_timeout_s` to complete.
    """
    config = hypercorn.config.Config()
    config.bind = addresses
    config.graceful_timeout = graceful_timeout_s
    config.keep_alive_timeout = 75.0
    # With the default of 1,000 a connection may close as the caller's next
    # request arrives on it.
    config.keep_alive_max_requests = 1_000_000_000
    config.accesslog = None
    config.errorlog = None
    loop = asyncio.get_running_loop()
    if loop.get_exception_handler() is None:
        loop.set_exception_handler(_report_error)
    await hypercorn.asyncio.serve(
        application, config, shutdown_trigger=shutdown, mode="asgi"
    )


def _report_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Reports an error of a callback, unless it is a cancellation."""
    # Streams of Python 3.11 raise that of a connection which is cancelled, as
    # those are that are open after the graceful time-out.
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(
    receive: Receive, limit_bytes: int
) -> result.Result[bytes, HttpReply]:
    parts: list[bytes] = []
    length = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return result.Err(HttpReply(400))
        part = message.get("body", b"")
        length += len(part)
        if length > limit_bytes:
            detail = f"the body exceeds the limit of {limit_bytes} bytes"
            return result.Err(
                make_json_reply(
                    413,
                    {
                        "outcome": "not_run",
                        "reason": "too_large",
                        "detail": detail,
                    },
                )
            )
        parts.append(part)
        if not message.get("more_body", False):
            return result.Ok(b"".join(parts))


async def _send_reply(send: Send, reply: HttpReply) -> None:
    headers = [
        (b"content-type", reply.content_type.encode()),
        (b"content-length", str(len(reply.body)).encode()),
        *reply.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": reply.body})
