"""Simulated instance list of the platform, which shows changes with a delay.

Implements the API that plantainvane.instances calls, and in addition:
  POST /instances  Instance, or a list of them -> 200; registers or replaces
  POST /leaving    {"id": NAME} -> 200; marks an instance as leaving
  POST /removals   {"id": NAME} -> 200; the instance has ended
  GET  /health     200
  GET  /faults, POST /faults  see standins.gate; with `contradict` every second
                   reply shows a state that is `contradict_s` older
"""

import bisect
import dataclasses
import time

import anyio
import msgspec

from plantainvane import asgi
from plantainvane import instances
from standins import gate as gate_module
from standins import serving


class ListSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the instance list.

    Attributes:
      listen: `ip:port` to listen on.
      lag_s: Delay after which a change is shown.
      contradict_s: Additional age of the replies that `contradict` affects.
      registered: Instances that are listed from the start.
    """

    listen: str
    lag_s: float = 2.0
    contradict_s: float = 10.0
    registered: tuple[instances.Instance, ...] = ()


@dataclasses.dataclass(slots=True)
class ListState:
    """History of the list.

    Attributes:
      times: Start of the validity of each state, ascending.
      states: Instances by id; `states[i]` is valid from `times[i]` on.
      reads: Number of times the list was read.
    """

    settings: ListSettings
    gate: gate_module.Gate
    times: list[float] = dataclasses.field(default_factory=list)
    states: list[dict[str, instances.Instance]] = dataclasses.field(
        default_factory=list
    )
    reads: int = 0


async def serve_list(settings: ListSettings, stop: anyio.Event) -> None:
    """Serves the list until `stop` is set."""
    state = make_state(settings)

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        return handle_request(state, request, time.monotonic())

    application = gate_module.wrap_application(
        state.gate, asgi.make_application(handle, serving.BODY_LIMIT_BYTES)
    )
    await serving.serve_until(application, settings.listen, stop)


def make_state(settings: ListSettings) -> ListState:
    """Makes a history in which the registered instances were always listed."""
    registered = {entry.id: entry for entry in settings.registered}
    return ListState(
        settings, gate_module.Gate(), [float("-inf")], [registered]
    )


def handle_request(
    state: ListState, request: asgi.HttpRequest, now: float
) -> asgi.HttpReply:
    """Handles one request at time `now`."""
    try:
        match request.method, request.path:
            case "GET", "/health":
                return asgi.make_json_reply(200, {})
            case "GET", "/instances":
                domain = request.query.get("domain", "")
                listed = list_instances(state, domain, now)
                reply = instances.InstanceList(listed)
                return asgi.make_json_reply(200, reply)
            case "POST", "/instances":
                for entry in _decode_instances(request.body):
                    register_instance(state, entry, now)
                return asgi.make_json_reply(200, {})
            case "POST", "/leaving":
                return _handle_leaving(state, request.body, now)
            case "POST", "/removals":
                named = msgspec.json.decode(request.body, type=_InstanceId)
                _append_state(state, now).pop(named.id, None)
                return asgi.make_json_reply(200, {})
    except msgspec.MsgspecError as error:
        return asgi.make_json_reply(400, {"reason": str(error)})
    return asgi.make_json_reply(404, {"reason": "no such path"})


def register_instance(
    state: ListState, entry: instances.Instance, now: float
) -> None:
    """Adds or replaces an instance; `leaving` is never reset."""
    current = _append_state(state, now)
    known = current.get(entry.id)
    leaving = entry.leaving or (known is not None and known.leaving)
    current[entry.id] = msgspec.structs.replace(entry, leaving=leaving)


def list_instances(
    state: ListState, domain: str, now: float
) -> list[instances.Instance]:
    """Lists a domain's instances as they were `lag_s` ago."""
    state.reads += 1
    age_s = state.settings.lag_s
    if state.gate.current.contradict and state.reads % 2 == 0:
        age_s += state.settings.contradict_s
    index = bisect.bisect_right(state.times, now - age_s) - 1
    return [
        entry
        for entry in state.states[max(index, 0)].values()
        if entry.domain == domain
    ]


class _InstanceId(msgspec.Struct, frozen=True):
    id: str


def _decode_instances(body: bytes) -> list[instances.Instance]:
    kind = instances.Instance | list[instances.Instance]
    decoded = msgspec.json.decode(body, type=kind)
    return decoded if isinstance(decoded, list) else [decoded]


def _handle_leaving(
    state: ListState, body: bytes, now: float
) -> asgi.HttpReply:
    named = msgspec.json.decode(body, type=_InstanceId)
    known = state.states[-1].get(named.id)
    if known is None:
        return asgi.make_json_reply(404, {"reason": "no such instance"})
    register_instance(state, msgspec.structs.replace(known, leaving=True), now)
    return asgi.make_json_reply(200, {})


def _append_state(
    state: ListState, now: float
) -> dict[str, instances.Instance]:
    """Appends a copy of the newest state, valid from `now`, and returns it.

    The caller modifies the copy.
    """
    state.times.append(now)
    state.states.append(dict(state.states[-1]))
    return state.states[-1]


if __name__ == "__main__":
    serving.run_process(ListSettings, serve_list)
