"""Structured log lines on standard output, bounded and never blocking."""

import os
import sys
from typing import Any

import eliot
import msgspec

from plantainvane.jobs import metrics

_ENCODER = msgspec.json.Encoder(enc_hook=str)


def start_logging() -> None:
    """Sends every event as one JSON line to standard output.

    A line that the reader cannot take at once is dropped and counted.
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
            # Logging must never hold up or end the process.
            metrics.EVENTS_DROPPED.inc()

    eliot.add_destinations(write_line)
