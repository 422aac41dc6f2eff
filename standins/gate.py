"""Fault injection for workers, runners and the instance list, set at run time.

Adds faults of connections and answers to those of `standins.faults`.
`GET /faults` and `POST /faults` work as described there; neither they nor
`/audit` are ever subject to faults.
"""

import dataclasses
import random
from typing import Annotated
from typing import Any

import msgspec
import psutil

from plantainvane import asgi
from standins import faults as faults_module

# Closed connections are removed after this many new ones.
_PRUNE_EVERY = 256

Endpoint = tuple[str, int]


class GateFaults(faults_module.Faults, frozen=True, forbid_unknown_fields=True):
    """Faults that are in force.

    Attributes:
      slow_factor: Factor on the run time of requests; used by runners.
      frozen: Requests are accepted, but neither handled nor answered.
      refuse: Runners answer every request with 503 and `Not-Run: 1`; workers
        answer every start command with 409.
      fail_everything: Every attempt on a worker fails.
      contradict: Every second reply of the instance list shows an older state.
      silent_share: Share of the connections open at the time of the call on
        which nothing more is sent; later connections work.
      truncate_answers: Answers end after half of the body.
      blocked_sources: Values of the `Client-Id` header whose requests are
        neither handled nor answered, as in a network partition.
    """

    slow_factor: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    frozen: bool = False
    refuse: bool = False
    fail_everything: bool = False
    contradict: bool = False
    silent_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    truncate_answers: bool = False


@dataclasses.dataclass(slots=True)
class Gate(faults_module.FaultSwitch):
    """Faults in force and open connections of one stand-in.

    Attributes:
      seed: Seed for the choice of connections that go silent.
      connections: Remote endpoints of connections that have sent a request;
        closed ones remain until `count_connections` removes them.
      silent: Remote endpoints of connections that are never answered again.
      unpruned: Number of connections added since closed ones were removed.
    """

    current: GateFaults = GateFaults()
    seed: int = 0
    connections: set[Endpoint] = dataclasses.field(default_factory=set)
    silent: set[Endpoint] = dataclasses.field(default_factory=set)
    unpruned: int = 0


def wrap_application(
    gate: Gate, application: asgi.Application
) -> asgi.Application:
    """Wraps `application` so that the faults of `gate` apply to it."""
    faulty = faults_module.add_faults(
        _add_answer_faults(gate, application), gate, _is_action
    )

    async def serve(
        scope: dict[str, Any], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] != "http" or scope["path"] == "/audit":
            await application(scope, receive, send)
        elif scope["path"] == "/faults":
            await faulty(scope, receive, send)
            _silence_connections(gate)
        elif _is_cut_off(gate, scope):
            await _wait_disconnect(receive)
        else:
            await faulty(scope, receive, send)

    return serve


def count_connections(gate: Gate) -> int:
    """Counts the open connections that have sent a request.

    Forgets the closed ones.
    """
    # ASGI does not report closed connections, so the operating system's
    # connection table is read.
    established = {
        tuple(entry.raddr)
        for entry in psutil.Process().net_connections("tcp")
        if entry.status == psutil.CONN_ESTABLISHED
    }
    gate.connections &= established
    gate.silent &= established
    gate.unpruned = 0
    return len(gate.connections)


def _silence_connections(gate: Gate) -> None:
    """Silences `silent_share` of the open connections, then resets it to 0."""
    share = gate.current.silent_share
    if share:
        count_connections(gate)
        candidates = sorted(gate.connections - gate.silent)
        chosen = random.Random(gate.seed).sample(
            candidates, round(len(candidates) * share)
        )
        gate.silent.update(chosen)
        gate.current = msgspec.structs.replace(gate.current, silent_share=0.0)


def _is_cut_off(gate: Gate, scope: dict[str, Any]) -> bool:
    source = dict(scope["headers"]).get(b"client-id", b"").decode("latin-1")
    return (
        _record_connection(gate, scope) in gate.silent
        or gate.current.frozen
        or source in gate.current.blocked_sources
    )


def _add_answer_faults(
    gate: Gate, application: asgi.Application
) -> asgi.Application:
    async def serve(
        scope: dict[str, Any], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        messages: list[dict[str, Any]] = []

        async def collect(message: dict[str, Any]) -> None:
            messages.append(message)

        await application(scope, receive, collect)
        if _is_cut_off(gate, scope):
            await _wait_disconnect(receive)
        elif gate.current.truncate_answers:
            await _send_truncated(messages, send)
        else:
            for message in messages:
                await send(message)

    return serve


async def _send_truncated(
    messages: list[dict[str, Any]], send: asgi.Send
) -> None:
    """Sends the headers and half of the body.

    The server closes the connection, since the reply stays incomplete.
    """
    head, body = messages
    await send(head)
    half = body["body"][: len(body["body"]) // 2]
    await send({"type": body["type"], "body": half, "more_body": True})


async def _wait_disconnect(receive: asgi.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _is_action(method: str, path: str) -> bool:
    return method == "POST" and path != "/listing"


def _record_connection(gate: Gate, scope: dict[str, Any]) -> Endpoint:
    endpoint = tuple(scope["client"])
    if endpoint not in gate.connections:
        gate.unpruned += 1
        if gate.unpruned >= _PRUNE_EVERY:
            count_connections(gate)
        gate.connections.add(endpoint)
    return endpoint
