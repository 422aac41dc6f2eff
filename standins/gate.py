"""Faults of a stand-in's HTTP interface, set at run time.

The gate is an ASGI application around the stand-in's own. Dialect:
  POST /faults  Faults -> 200; replaces the faults in force, {} clears them
  GET  /faults  200 Faults
`/faults` and `/audit` are never subject to faults.
"""

import dataclasses
import random
from typing import Any

import anyio
import msgspec
import psutil

from plantainvane import asgi

_EXEMPT_PATHS = ("/faults", "/audit")
# New connections between two looks at which of the known ones are closed.
_PRUNE_EVERY = 256

Endpoint = tuple[str, int]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force.

    Attributes:
      down: Every request is answered 503 and has no effect.
      slow_s: Seconds added before a request is handled.
      slow_factor: Factor on the run time of requests; used by runners.
      lose_replies: How many of the next replies are never sent although the
        action took effect; -1 for all.
      frozen: Requests are accepted and never handled.
      refuse: Every request is refused in the way of the stand-in: a runner
        answers 503 with `Not-Run: 1`, a worker 409 to starts.
      fail_everything: Every attempt on a worker fails.
      silent_share: Share of the connections open at the time of the call that
        never receive another byte; later connections work.
      truncate_answers: How many of the next answers end after half the body;
        -1 for all.
      blocked_sources: Values of the `Client-Id` header whose requests are
        never handled, as if the network between were cut.
    """

    down: bool = False
    slow_s: float = 0.0
    slow_factor: float = 1.0
    lose_replies: int = 0
    frozen: bool = False
    refuse: bool = False
    fail_everything: bool = False
    silent_share: float = 0.0
    truncate_answers: int = 0
    blocked_sources: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Gate:
    """Faults in force and the open connections of one stand-in.

    Attributes:
      connections: Remote ends of connections that sent a request; closed ones
        are removed by `count_connections`.
      silent: Remote ends of connections that stay silent for good.
      unpruned: Connections added since closed ones were removed.
    """

    seed: int = 0
    faults: Faults = dataclasses.field(default_factory=Faults)
    connections: set[Endpoint] = dataclasses.field(default_factory=set)
    silent: set[Endpoint] = dataclasses.field(default_factory=set)
    unpruned: int = 0


def wrap_application(
    gate: Gate, application: asgi.Application
) -> asgi.Application:
    """Wraps `application` so that the faults of `gate` apply to it."""
    control = asgi.make_application(
        lambda request: _handle_control(gate, request), 1_048_576
    )

    async def serve(
        scope: dict[str, Any], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
        elif scope["path"] == "/faults":
            await control(scope, receive, send)
        elif scope["path"] in _EXEMPT_PATHS:
            await application(scope, receive, send)
        else:
            await _serve_request(gate, application, scope, receive, send)

    return serve


def count_connections(gate: Gate) -> int:
    """Counts the connections that are open and have sent a request."""
    # ASGI does not report closed connections; the system's table does.
    established = {
        tuple(entry.raddr)
        for entry in psutil.Process().net_connections("tcp")
        if entry.status == psutil.CONN_ESTABLISHED
    }
    gate.connections &= established
    gate.silent &= established
    gate.unpruned = 0
    return len(gate.connections)


def set_faults(gate: Gate, faults: Faults) -> None:
    """Replaces the faults in force and silences open connections."""
    gate.faults = faults
    count_connections(gate)
    candidates = sorted(gate.connections - gate.silent)
    chosen = round(len(candidates) * faults.silent_share)
    gate.silent.update(random.Random(gate.seed).sample(candidates, chosen))


async def _handle_control(
    gate: Gate, request: asgi.HttpRequest
) -> asgi.HttpReply:
    if request.method == "POST":
        try:
            faults = msgspec.json.decode(request.body or b"{}", type=Faults)
        except msgspec.MsgspecError as error:
            return asgi.make_json_reply(400, {"reason": str(error)})
        set_faults(gate, faults)
    return asgi.make_json_reply(200, gate.faults)


async def _serve_request(
    gate: Gate,
    application: asgi.Application,
    scope: dict[str, Any],
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    connection = _note_connection(gate, scope)
    faults = gate.faults
    if (
        faults.frozen
        or connection in gate.silent
        or _read_source(scope) in faults.blocked_sources
    ):
        await _wait_disconnect(receive)
        return
    if faults.down:
        await _send_down(receive, send)
        return
    if faults.slow_s:
        await anyio.sleep(faults.slow_s)
    messages: list[dict[str, Any]] = []

    async def collect(message: dict[str, Any]) -> None:
        messages.append(message)

    await application(scope, receive, collect)
    if connection in gate.silent or _take(gate.faults, "lose_replies"):
        await _wait_disconnect(receive)
    elif _take(gate.faults, "truncate_answers"):
        await _send_truncated(messages, send)
    else:
        for message in messages:
            await send(message)


async def _send_truncated(
    messages: list[dict[str, Any]], send: asgi.Send
) -> None:
    """Sends the head and half the body; the server then closes."""
    head, body = messages
    await send(head)
    half = body["body"][: len(body["body"]) // 2]
    await send({"type": body["type"], "body": half, "more_body": True})


async def _send_down(receive: asgi.Receive, send: asgi.Send) -> None:
    while (await receive()).get("more_body", False):
        pass
    await send(
        {
            "type": "http.response.start",
            "status": 503,
            "headers": [(b"content-length", b"0")],
        }
    )
    await send({"type": "http.response.body", "body": b""})


async def _wait_disconnect(receive: asgi.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _take(faults: Faults, field: str) -> bool:
    """Counts one use of a fault that applies to the next replies."""
    left = getattr(faults, field)
    if left > 0:
        setattr(faults, field, left - 1)
    return left != 0


def _read_source(scope: dict[str, Any]) -> str:
    for name, value in scope["headers"]:
        if name.lower() == b"client-id":
            return value.decode("latin-1")
    return ""


def _note_connection(gate: Gate, scope: dict[str, Any]) -> Endpoint:
    endpoint = tuple(scope["client"])
    if endpoint not in gate.connections:
        gate.unpruned += 1
        if gate.unpruned >= _PRUNE_EVERY:
            count_connections(gate)
        gate.connections.add(endpoint)
    return endpoint
