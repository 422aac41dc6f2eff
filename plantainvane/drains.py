"""What a daemon does at signals; the first one to end begins its drain."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal

import anyio

from plantainvane import events
from plantainvane import signals


async def follow_signals(
    received: signals.Receiver,
    process: str,
    drain: Callable[[], Awaitable[None]],
) -> None:
    """Runs `drain` at the first SIGTERM or SIGINT; no later one cuts it short.

    Returns only when cancelled, so that signals are logged until the end of
    `process`.
    """
    draining = False
    async with anyio.create_task_group() as group:
        while True:
            number = await received.receive()
            if number is signal.SIGHUP:
                # The settings are fixed while the process runs.
                events.log_event(events.SETTINGS_RELOADED, process=process)
            elif draining:
                events.log_event(
                    events.SIGNAL_IGNORED, process=process, signal=number.name
                )
            else:
                draining = True
                group.start_soon(drain)
