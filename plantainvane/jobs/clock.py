"""Clocks: one that counts through a suspension, and the time of day."""

import time


def read_now() -> float:
    """Seconds on a clock that keeps counting while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """The time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000
