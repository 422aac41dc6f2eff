"""Run time estimates of service classes; the declared time is the prior."""

import collections
from collections.abc import Mapping
import dataclasses

from plantainvane import documents
from plantainvane import settings as settings_module

# Samples between two updates of the estimates, which sort the window (15 us).
_SAMPLES_PER_UPDATE = 16


@dataclasses.dataclass(slots=True)
class RunTime:
    """Run time estimates of one class, in seconds.

    Attributes:
      median_s: Median of the window.
      p99_s: 99th percentile of the window.
      mean_s: Mean of the window.
      window: The newest run times, at most `run_window`.
      samples: Number of run times measured so far.
      overdue: Number of exchanges in flight for at least `long_run_s`.
      running: Number of exchanges in flight.
    """

    median_s: float
    p99_s: float
    mean_s: float
    window: collections.deque[float]
    samples: int = 0
    overdue: int = 0
    running: int = 0


class RunTimes:
    """Run time estimates of all classes, from the newest exchanges of each."""

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._classes: dict[str, RunTime] = {}

    def get_run_time(self, service_class: documents.ServiceClass) -> RunTime:
        """Returns the estimates of a class; at first the declared run time."""
        run_time = self._classes.get(service_class.name)
        if run_time is None:
            declared = service_class.expected_run_ms / 1000
            window = collections.deque(
                maxlen=self._settings.requests.run_window
            )
            run_time = RunTime(declared, declared, declared, window)
            self._classes[service_class.name] = run_time
        return run_time

    def add_sample(self, run_time: RunTime, seconds: float) -> None:
        """Adds a run time, or the age of an exchange that timed out."""
        run_time.window.append(seconds)
        run_time.samples += 1
        if (
            run_time.samples % _SAMPLES_PER_UPDATE == 0
            or run_time.samples < _SAMPLES_PER_UPDATE
        ):
            ordered = sorted(run_time.window)
            run_time.median_s = ordered[len(ordered) // 2]
            run_time.p99_s = ordered[int(len(ordered) * 0.99)]
            run_time.mean_s = sum(ordered) / len(ordered)

    def is_long(self, run_time: RunTime) -> bool:
        """Tells whether the class counts as long-running.

        Until enough run times are measured, one overdue exchange suffices,
        because declared run times are far off.
        """
        requests = self._settings.requests
        if run_time.mean_s >= requests.long_run_s:
            return True
        return run_time.overdue > 0 and not self.is_known(run_time)

    def set_overdue(self, overdue: Mapping[str, int]) -> None:
        """Sets the number of overdue exchanges by class; 0 if not given."""
        for name, run_time in self._classes.items():
            run_time.overdue = overdue.get(name, 0)

    def is_known(self, run_time: RunTime) -> bool:
        """Tells whether enough run times have been measured."""
        return run_time.samples >= self._settings.requests.run_samples

    def get_silence_limit(self, run_time: RunTime) -> float | None:
        """Returns the age in seconds at which an exchange times out.

        Returns None until enough run times are measured.
        """
        requests = self._settings.requests
        if not self.is_known(run_time):
            return None
        return max(
            requests.silence_floor_s, requests.silence_factor * run_time.p99_s
        )

    def dump_state(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the estimates for operators."""
        del now
        return {
            name: {
                "median_s": round(run_time.median_s, 6),
                "slow_s": round(run_time.p99_s, 6),
                "mean_s": round(run_time.mean_s, 6),
                "samples": run_time.samples,
                "overdue": run_time.overdue,
            }
            for name, run_time in sorted(self._classes.items())
        }
