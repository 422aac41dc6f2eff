"""The anyio task of a slot: serves requests, one connection at a time."""

from collections.abc import Callable
import dataclasses
import itertools

import anyio

from plantainvane import ejection
from plantainvane import inflight
from plantainvane import routing
from plantainvane import settings as settings_module
from plantainvane import targets

_FAILURE_IDS = itertools.count(-1, -1)


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """One slot of a target: runs at most one exchange at a time.

    Attributes:
      target: The target.
      number: Index among the slots of the target in this process; a share of n
        slots holds the indexes below n.
      wake: Set to hand over `request`, or to close the connection if there is
        none and no probe is due.
      request: The request to run next.
      connection: The open connection, if any.
      idle_since: Monotonic time since the last use of the connection.
      probe_due: The next wake without a request asks for a probe.
    """

    target: routing.Target
    number: int
    wake: anyio.Event
    request: inflight.ActiveRequest | None = None
    connection: targets.Connection | None = None
    idle_since: float = 0.0
    probe_due: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class SlotCallbacks:
    """Functions of the dispatcher that the task of a slot calls.

    Attributes:
      clock: Returns the monotonic time in seconds.
      is_slot_held: Tells whether the process still holds this slot.
      take_request: Returns a queued request; without one, adds the slot to the
        idle slots and returns None.
      get_timeout: Returns the timeout in seconds of the exchange of a request
        that starts at a monotonic time.
      settle_request: Takes the reply to a request and the monotonic time at
        which the exchange began; called exactly once per request.
      note_probe_reply: Takes the reply to a probe.
      note_failure: Takes the id of the failed connection, or another id that
        makes the failure distinct.
      count_open_slot: Counts a connection that became usable (1) or stopped
        being usable (-1).
      remove_slot: Called exactly once, when the task of the slot ends.
    """

    clock: Callable[[], float]
    is_slot_held: Callable[[Slot], bool]
    take_request: Callable[[Slot], inflight.ActiveRequest | None]
    get_timeout: Callable[[inflight.ActiveRequest, float], float]
    settle_request: Callable[
        [Slot, inflight.ActiveRequest, targets.Reply, float], None
    ]
    note_probe_reply: Callable[[Slot, targets.Reply], None]
    note_failure: Callable[[Slot, int], None]
    count_open_slot: Callable[[Slot, int], None]
    remove_slot: Callable[[Slot], None]


def make_failure_id() -> int:
    """Returns a unique id for a failure that has no connection id.

    It is negative, so it never equals the id of a connection.
    """
    return next(_FAILURE_IDS)


async def run_slot(
    settings: settings_module.Settings, slot: Slot, callbacks: SlotCallbacks
) -> None:
    """Serves requests on a slot, reconnecting until it is no longer held."""
    try:
        await _connect_repeatedly(settings, slot, callbacks)
    finally:
        if slot.request is not None:
            # Cancelled between the handover of the request and the wake-up.
            reply = targets.Reply(targets.ReplyKind.NOT_SENT)
            active, slot.request = slot.request, None
            callbacks.settle_request(slot, active, reply, callbacks.clock())
        callbacks.remove_slot(slot)


async def _connect_repeatedly(
    settings: settings_module.Settings, slot: Slot, callbacks: SlotCallbacks
) -> None:
    target = slot.target
    while callbacks.is_slot_held(slot):
        now = callbacks.clock()
        if ejection.is_ejected(target.health, now):
            await anyio.sleep(target.health.ejected_until - now)
            continue
        opened = await targets.open_connection(
            settings, target.instance.address
        )
        if opened.is_err():
            callbacks.note_failure(slot, make_failure_id())
            await anyio.sleep(settings.requests.reconnect_s)
            continue
        slot.connection = opened.ok_value
        try:
            usable = await _use_connection(settings, slot, callbacks)
        finally:
            await targets.close_connection(slot.connection)
            slot.connection = None
        if not usable:
            await anyio.sleep(settings.requests.reconnect_s)


async def _use_connection(
    settings: settings_module.Settings, slot: Slot, callbacks: SlotCallbacks
) -> bool:
    """Probes a new connection and serves requests on it.

    A new connection may be silent; the probe finds that out before a request is
    sent on it.

    Returns:
      False if the probe failed.
    """
    if not await _probe(settings, slot, callbacks):
        return False
    callbacks.count_open_slot(slot, 1)
    try:
        await _serve_requests(settings, slot, callbacks)
    finally:
        callbacks.count_open_slot(slot, -1)
    return True


async def _serve_requests(
    settings: settings_module.Settings, slot: Slot, callbacks: SlotCallbacks
) -> None:
    connection = slot.connection
    while connection.usable and callbacks.is_slot_held(slot):
        active = callbacks.take_request(slot)
        if active is None:
            await slot.wake.wait()
            slot.wake = anyio.Event()
            active, slot.request = slot.request, None
        if active is not None:
            await _run_request(settings, slot, callbacks, active)
        elif not slot.probe_due or not await _probe(settings, slot, callbacks):
            return


async def _run_request(
    settings: settings_module.Settings,
    slot: Slot,
    callbacks: SlotCallbacks,
    active: inflight.ActiveRequest,
) -> None:
    connection = slot.connection
    began = callbacks.clock()
    reply = None
    try:
        reply = await targets.exchange(
            connection,
            active.path,
            active.wire_id,
            active.request.body,
            callbacks.get_timeout(active, began),
            settings.requests.answer_limit_bytes,
        )
    finally:
        if reply is None:
            reply = targets.make_cancelled_reply(connection)
        callbacks.settle_request(slot, active, reply, began)


async def _probe(
    settings: settings_module.Settings, slot: Slot, callbacks: SlotCallbacks
) -> bool:
    slot.probe_due = False
    connection = slot.connection
    reply = await targets.probe(connection, settings.requests.probe_timeout_s)
    if reply.kind is targets.ReplyKind.ANSWERED:
        callbacks.note_probe_reply(slot, reply)
    elif reply.kind is targets.ReplyKind.UNKNOWN:
        callbacks.note_failure(slot, connection.id)
    return connection.usable
