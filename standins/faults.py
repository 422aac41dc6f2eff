"""Fault injection for the HTTP interface of a stand-in, set at run time.

`GET /faults` returns the faults in force and `POST /faults` changes the fields
that its body names. `/faults` and `/stats` are never subject to faults:

    switch = faults.FaultSwitch(faults.Faults())
    application = faults.add_faults(application, switch, is_action)

A stand-in with additional faults derives a struct from `Faults`, passes an
instance to `FaultSwitch` and reads the additional fields of `switch.current`.
"""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import Any

import anyio
import msgspec
import result

from plantainvane import asgi
from plantainvane import validation


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that are in force.

    Attributes:
      down: Every request is answered with 503 and has no effect.
      slow: Delay in seconds before each request is handled.
      lose_replies: Requests that change state take effect, but the connection
        is closed before the reply is complete.
      blocked_sources: Values of the `Client-Id` header whose requests are
        answered with 503, as if the sender could not reach the stand-in.
    """

    down: bool = False
    slow: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    lose_replies: bool = False
    blocked_sources: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class FaultSwitch:
    """Holds the faults that are currently in force."""

    current: Faults

    def change_faults(
        self, body: bytes
    ) -> result.Result[Faults, list[validation.Fault]]:
        """Changes the fields that the JSON object `body` names.

        Returns:
          Ok with the new faults, or Err with what is wrong with `body`.
        """
        parsed = validation.parse_json(body)
        if parsed.is_err():
            return parsed
        named = parsed.ok_value
        if not isinstance(named, dict):
            fault = validation.Fault("$", "is not a JSON object")
            return result.Err([fault])
        merged = msgspec.to_builtins(self.current) | named
        changed = validation.convert_value(merged, type(self.current))
        if changed.is_ok():
            self.current = changed.ok_value
        return changed

    def refuses(self, scope: dict[str, Any]) -> bool:
        """Returns whether a request is refused: all are, or its sender is."""
        if self.current.down:
            return True
        source = dict(scope["headers"]).get(b"client-id", b"")
        return source.decode("latin-1") in self.current.blocked_sources


def add_faults(
    application: asgi.Application,
    switch: FaultSwitch,
    is_action: Callable[[str, str], bool],
) -> asgi.Application:
    """Wraps an ASGI application so that the faults of `switch` apply to it.

    Args:
      application: The stand-in's application without faults.
      switch: Faults, read when a request arrives and when its reply starts.
      is_action: Returns from (method, path) whether a request changes state.
        `lose_replies` applies to such requests only.
    """
    control = asgi.make_application(_make_control(switch), 65536)

    async def serve(
        scope: dict[str, Any], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
            return
        if scope["path"] == "/faults":
            await control(scope, receive, send)
            return
        if scope["path"] == "/stats":
            await application(scope, receive, send)
            return
        if switch.refuses(scope):
            await _send_refusal(send)
            return
        if switch.current.slow:
            await anyio.sleep(switch.current.slow)
        action = is_action(scope["method"], scope["path"])
        await application(
            scope, receive, _make_send(scope, send, switch, action)
        )

    return serve


def _make_control(switch: FaultSwitch) -> asgi.Handler:
    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        if request.method == "POST":
            changed = switch.change_faults(request.body)
            if changed.is_err():
                return asgi.make_json_reply(400, {"faults": changed.err_value})
        return asgi.make_json_reply(200, switch.current)

    return handle


def _make_send(
    scope: dict[str, Any], send: asgi.Send, switch: FaultSwitch, action: bool
) -> asgi.Send:
    """Wraps the `send` of one request to apply faults when its reply starts.

    If the sender was blocked while the request was handled, such as a long
    poll, the reply is replaced by a 503. For a request that changes state it is
    lost instead, since a 503 would mean that the request had no effect.
    """
    closed = False

    async def pass_message(message: dict[str, Any]) -> None:
        nonlocal closed
        if closed:
            return
        if message["type"] == "http.response.start":
            refuses = switch.refuses(scope)
            if action and (refuses or switch.current.lose_replies):
                closed = True
                await _send_truncated(send)
                return
            if refuses:
                closed = True
                await _send_refusal(send)
                return
        await send(message)

    return pass_message


async def _send_refusal(send: asgi.Send) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": 503,
            "headers": [(b"content-length", b"0")],
        }
    )
    await send({"type": "http.response.body", "body": b""})


async def _send_truncated(send: asgi.Send) -> None:
    """Starts a reply and leaves its body incomplete.

    hypercorn closes the connection when the application returns before the
    reply is complete, so the sender need not wait for its timeout.
    """
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", b"2")],
        }
    )
    await send({"type": "http.response.body", "body": b"{", "more_body": True})
