"""Faults of a seeded run, drawn from its seed."""

import asyncio
from collections.abc import Callable

from standins import explore_fleet


async def run_faults(
    fleet: explore_fleet.Fleet,
    duration_s: float,
    allow: Callable[[str], bool],
) -> None:
    """Brings faults about for a time, and returns once all have ended."""
    await asyncio.sleep(duration_s)
