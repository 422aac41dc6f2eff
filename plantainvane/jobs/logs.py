"""Non-blocking structured logging to standard output."""

import asyncio
import atexit
import dataclasses
import os
import select
import sys
import time
from typing import Any

import eliot
import msgspec

from plantainvane.jobs import metrics

_ENCODER = msgspec.json.Encoder(enc_hook=str)
# Lines that may wait for a slow reader; further ones are dropped.
_MAX_BUFFERED_BYTES = 262_144
# Longest write, unless a line is longer. Readers that take a pipe in blocks may
# cut what is written in one piece.
_MAX_WRITE_BYTES = 8192
# Time until the next write after the reader took only a part.
_RETRY_S = 0.05
# Longest wait for a slow reader when the process ends.
_EXIT_WAIT_S = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class LineWriter:
    """Writes lines to a non-blocking descriptor.

    The lines of one turn of an event loop are written together; outside a loop
    each line is written at once. A line is dropped and counted when too much
    is waiting for the reader, and is never cut.

    Attributes:
      output: The descriptor.
      buffer: Lines to be written; the first may have been written in part.
      loop: Event loop that will call `flush`, or None.
    """

    output: int
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    loop: asyncio.AbstractEventLoop | None = None

    def write_line(self, message: dict[str, Any]) -> None:
        """Encodes a message and writes it in the next turn of the loop."""
        line = _ENCODER.encode(message)
        if len(self.buffer) + len(line) >= _MAX_BUFFERED_BYTES:
            self.flush()
        if len(self.buffer) + len(line) >= _MAX_BUFFERED_BYTES:
            metrics.EVENTS_DROPPED.inc()
            return
        self.buffer += line
        self.buffer += b"\n"
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        # A loop that has ended calls nothing any more.
        if self.loop is not loop:
            self.loop = loop
            loop.call_soon(self._flush_in_loop, loop)

    def flush(self) -> None:
        """Writes as much as the reader takes, without waiting for it."""
        while self.buffer:
            size = _find_block_end(self.buffer)
            try:
                written = os.write(self.output, self.buffer[:size])
            except OSError:
                # Logging must neither block nor end the process.
                return
            del self.buffer[:written]

    def finish(self) -> None:
        """Writes what is left, and waits for a slow reader for a short time."""
        poll = select.poll()
        poll.register(self.output, select.POLLOUT)
        until = time.monotonic() + _EXIT_WAIT_S
        self.flush()
        while self.buffer and (left_s := until - time.monotonic()) > 0:
            left_bytes = len(self.buffer)
            poll.poll(left_s * 1000)
            self.flush()
            if len(self.buffer) == left_bytes:
                # The reader took nothing in that time, or has gone.
                break

    def _flush_in_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        self.flush()
        if self.buffer:
            loop.call_later(_RETRY_S, self._flush_in_loop, loop)
        elif self.loop is loop:
            self.loop = None


def _find_block_end(buffer: bytearray) -> int:
    """Returns the end of the last line that fits into a write, or the first."""
    end = buffer.rfind(b"\n", 0, _MAX_WRITE_BYTES) + 1
    return end or buffer.find(b"\n") + 1


def start_logging() -> None:
    """Writes every event as one JSON line to standard output.

    Lines are dropped and counted while the reader of the pipe is too slow.
    """
    output = sys.stdout.fileno()
    os.set_blocking(output, False)
    writer = LineWriter(output)
    atexit.register(writer.finish)
    eliot.add_destinations(writer.write_line)
