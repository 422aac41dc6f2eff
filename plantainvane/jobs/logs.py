"""Non-blocking structured logging to standard output."""

import os
import sys
from typing import Any

import eliot
import msgspec

from plantainvane.jobs import metrics

_ENCODER = msgspec.json.Encoder(enc_hook=str)


def start_logging() -> None:
    """Writes every event as one JSON line to standard output.

    Lines are dropped and counted while the reader of the pipe is too slow.
    """
    output = sys.stdout.fileno()
    os.set_blocking(output, False)

    def write_line(message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = _ENCODER.encode(message) + b"\n"
        try:
            os.write(output, line)
        except OSError:
            # Logging must neither block nor end the process.
            metrics.EVENTS_DROPPED.inc()

    eliot.add_destinations(write_line)
