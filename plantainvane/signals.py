"""Signals of the platform, which a process handles from its start to its end.

A handler of an event loop is removed with the loop's receiver, and the default
action of these signals ends the process, with the requests that it has read.
"""

import collections
from collections.abc import Callable
import functools
import signal
import types

# SIGTERM and SIGINT ask the process to drain; SIGHUP tells that its settings
# file has changed.
HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_MAX_PENDING = 64


class Receiver:
    """Signals that were received and not read yet.

    Once `_MAX_PENDING` wait, one that waits stands for later ones of its kind.
    """

    def __init__(self):
        """Creates a receiver that no signal reaches yet; see `install`."""
        self._pending: collections.deque[signal.Signals] = collections.deque()
        self._wake: Callable[[], object] = lambda: None

    def record(self, number: int, frame: types.FrameType | None = None) -> None:
        """Records a signal, in the main thread between two instructions."""
        received = signal.Signals(number)
        if len(self._pending) < _MAX_PENDING or received not in self._pending:
            self._pending.append(received)
        self._wake()

    async def receive(self) -> signal.Signals:
        """Waits for the next signal; one task at a time may wait."""
        # Imported here, as the handlers are to stand before longer imports.
        import asyncio

        import anyio

        loop = asyncio.get_running_loop()
        while not self._pending:
            arrived = anyio.Event()
            self._wake = functools.partial(
                loop.call_soon_threadsafe, arrived.set
            )
            try:
                # One may have come while there was nothing to wake.
                if not self._pending:
                    await arrived.wait()
            finally:
                self._wake = lambda: None
        return self._pending.popleft()


def ignore() -> None:
    """Ignores the signals from here on, as the last thing that a daemon does.

    Python gives each handler's signal its default action back while it ends.
    """
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def install() -> Receiver:
    """Handles the signals for the rest of the process's life.

    It is to be called from the main thread, before the imports of the daemon.
    """
    receiver = Receiver()
    for number in HANDLED:
        signal.signal(number, receiver.record)
    return receiver
