"""Measures how late the owner's event loop is, and what it has to poll."""

import collections
import dataclasses

import anyio

from plantainvane.jobs import clock

# A process that is later than this is short of processor time.
LATE_S = 0.1
_INTERVAL_S = 0.1
# Delays are kept for as long as the longest call and lease.
_KEEP_S = 10.0
# A process counts as late for this time after its last delay.
_RECENT_S = 1.0


@dataclasses.dataclass(slots=True)
class Load:
    """Load of the owner.

    Attributes:
      delays: Ends and durations of delays above `LATE_S`, in seconds.
      paced_runners: Ids of the runners with serving tasks and fill tasks.
      watched: A task measures the delays.
    """

    delays: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    paced_runners: set[str] = dataclasses.field(default_factory=set)
    watched: bool = False

    def record_delay(self, delay_s: float, now: float) -> None:
        """Records that something due `delay_s` ago is done now."""
        while self.delays and self.delays[0][0] < now - _KEEP_S:
            self.delays.popleft()
        if delay_s >= LATE_S:
            self.delays.append((now, delay_s))

    def was_late_since(self, since: float) -> bool:
        """Returns whether the process was late at any time after `since`."""
        return bool(self.delays) and self.delays[-1][0] > since

    def is_late(self, now: float) -> bool:
        """Returns whether the process is short of processor time."""
        return self.was_late_since(now - _RECENT_S)


async def watch_delays(load: Load) -> None:
    """Measures by how much sleeps overshoot."""
    while True:
        due = clock.read_now() + _INTERVAL_S
        await anyio.sleep(_INTERVAL_S)
        now = clock.read_now()
        load.record_delay(now - due, now)
