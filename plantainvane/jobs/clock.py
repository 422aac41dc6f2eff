"""Monotonic clock and wall clock."""

import time


def read_now() -> float:
    """Returns monotonic seconds; they include time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """Returns the wall-clock time in Unix milliseconds."""
    return time.time_ns() // 1_000_000
