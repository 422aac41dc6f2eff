"""Estimates how long new tasks wait for an owner that cannot keep up.

An owner is behind while its scheduling passes end before they have tried all
ready tasks: then its own time is what is short, not room on the runners. What
is accepted then waits for everything of the same or a higher priority.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
import zlib

from plantainvane.jobs import attempts
from plantainvane.jobs import settings as settings_module

# An owner is behind once its passes have been cut short for this long. A burst
# of starts that is worked off sooner delays nobody for long.
_BEHIND_AFTER_S = 1.0
# Share of a new measurement in the smoothed rate of starts.
_RATE_GAIN = 0.4
# Part of all starts that a priority is assumed to get at least.
_LEAST_SHARE = 0.05
# Longest wait that is reported, in seconds.
MAX_WAIT_S = 60.0


@dataclasses.dataclass(slots=True)
class Backlog:
    """What an owner places, and what waits for it.

    Attributes:
      behind_since: Since when each pass has been cut short, or None.
      placed: Tasks placed since the last measurement, by priority.
      rates: Smoothed number of tasks placed a second, by priority.
      measured_at: Time of the last measurement, or None before the first.
      waits: Seconds until a new task starts, by priority; empty unless the
        owner is behind.
    """

    behind_since: float | None = None
    placed: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    rates: dict[int, float] = dataclasses.field(default_factory=dict)
    measured_at: float | None = None
    waits: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_pass(self, cut_short: bool, now: float) -> None:
        """Records a scheduling pass."""
        if not cut_short:
            self.behind_since = None
            self.waits = {}
        elif self.behind_since is None:
            self.behind_since = now

    def measure(self, tasks: Iterable[attempts.Task], now: float) -> None:
        """Estimates the waits from what was placed and what is still to come.

        `tasks` are the open tasks. Those of later steps wait for earlier ones,
        but are due before those of a new job.
        """
        if self.measured_at is not None and now > self.measured_at:
            self._update_rates(now - self.measured_at)
        self.measured_at = now
        self.placed.clear()
        if self.behind_since is None or (
            now - self.behind_since < _BEHIND_AFTER_S
        ):
            self.waits = {}
            return
        waiting = collections.Counter(
            task.job.queue.priority
            for task in tasks
            if not task.runs and task.step.due_at <= now
        )
        self.waits = estimate_waits(waiting, self.rates)

    def _update_rates(self, elapsed_s: float) -> None:
        for priority in self.placed.keys() | self.rates.keys():
            rate = self.placed[priority] / elapsed_s
            smoothed = self.rates.get(priority, rate)
            self.rates[priority] = smoothed + _RATE_GAIN * (rate - smoothed)


def estimate_waits(
    waiting: dict[int, int], rates: dict[int, float]
) -> dict[int, float]:
    """Returns the seconds until a new task of each priority starts.

    Everything that waits at the same or a higher priority goes before it, and
    what is placed at higher priorities goes on being placed.

    Args:
      waiting: Number of tasks to start by priority; 0 is the highest.
      rates: Tasks placed a second, by priority.
    """
    total = sum(rates.values())
    waits, ahead, taken = {}, 0, 0.0
    for priority in sorted(waiting.keys() | rates.keys()):
        ahead += waiting.get(priority, 0)
        left = max(total - taken, _LEAST_SHARE * total)
        wait_s = ahead / left if left > 0 else MAX_WAIT_S * bool(ahead)
        waits[priority] = min(MAX_WAIT_S, wait_s)
        taken += rates.get(priority, 0.0)
    return waits


def find_wait(waits: dict[int, float], priority: int) -> float:
    """Returns the wait of a priority: that of the next higher one it knows."""
    return max(
        (wait_s for known, wait_s in waits.items() if known <= priority),
        default=0.0,
    )


def is_hopeless(settings: settings_module.Settings, wait_s: float) -> bool:
    """Tells whether a job is refused, as its tasks would wait for too long."""
    return wait_s > settings.max_start_wait_s


def choose_retry_after(
    settings: settings_module.Settings, wait_s: float, job_id: str
) -> int:
    """Returns the whole seconds after which a refused job may be accepted.

    By then what waits beyond the limit has started. Callers are spread over
    half as long again, so that they do not return at the same moment.
    """
    excess_s = max(settings.retry_after_s, wait_s - settings.max_start_wait_s)
    return spread_retry_after(excess_s, job_id)


def spread_retry_after(least_s: float, job_id: str) -> int:
    """Returns whole seconds from `least_s` to half as long again, by job."""
    spread = zlib.crc32(job_id.encode()) % 100 / 200
    return math.ceil(least_s * (1 + spread))
