"""Admission control: concurrency limits and the expected queueing delay."""

import collections
from collections.abc import Callable
from typing import Any

from plantainvane import fleet as fleet_module
from plantainvane import inflight
from plantainvane import queues as queues_module
from plantainvane import routing
from plantainvane import runtimes
from plantainvane import settings as settings_module

_DUMP_LIMIT = 100


class Admission:
    """Tracks running requests and decides which requests may run or wait."""

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: Any,
        fleet: fleet_module.Fleet,
        queues: queues_module.Queues,
        run_times: runtimes.RunTimes,
    ):
        """Creates the state of a process that runs no requests.

        Args:
          settings: The settings.
          configuration: Has `find_limits`.
          fleet: The targets.
          queues: The queued requests.
          run_times: The run times measured for each class.
        """
        self._settings = settings
        self._configuration = configuration
        self._fleet = fleet
        self._queues = queues
        self._run_times = run_times
        self.running: set[inflight.ActiveRequest] = set()
        self.long_running = 0

    def begin_request(
        self, target: routing.Target, active: inflight.ActiveRequest, now: float
    ) -> None:
        """Counts a request that is handed to a slot of `target`."""
        active.began = now
        active.long = self._run_times.is_long(active.run_time)
        self.long_running += active.long
        active.run_time.running += 1
        target.in_flight += 1
        self.running.add(active)

    def end_request(
        self, target: routing.Target, active: inflight.ActiveRequest
    ) -> None:
        """Stops counting a request whose exchange has ended."""
        target.in_flight -= 1
        self.running.discard(active)
        self.long_running -= active.long
        active.run_time.running -= 1
        active.long = False

    def may_run(self, active: inflight.ActiveRequest) -> bool:
        """Tells whether the limit of the request's class admits one more."""
        run_time = active.run_time
        if self._run_times.is_long(run_time):
            return self.long_running < self.get_long_limit()
        if self._run_times.is_known(run_time):
            return True
        fraction = self._settings.requests.unmeasured_fraction
        limit = max(1, int(self._fleet.open_slots * fraction))
        return run_time.running < limit

    def get_long_limit(self) -> int:
        """Returns how many slots long-running classes may hold; at least 1."""
        limits = self._configuration.find_limits()
        reserved = (
            self._settings.requests.reserved_fraction
            if limits is None
            else limits.reserved_fraction
        )
        return max(1, int(self._fleet.open_slots * (1.0 - reserved)))

    def find_overload(self, active: inflight.ActiveRequest, now: float) -> str:
        """Returns why `active` would miss its deadline, or an empty string."""
        name = active.service_class.name
        if not self._fleet.target_count_by_class[name]:
            return "no_target"
        left_s = active.deadline - now
        if left_s <= 0.0:
            return "late"
        if self._fleet.free_targets.list_targets(name) and self.may_run(active):
            return ""
        needed_s = queues_module.estimate_run_s(active)
        return (
            "overload" if self.estimate_wait(active) + needed_s > left_s else ""
        )

    def estimate_wait(self, active: inflight.ActiveRequest) -> float:
        """Returns the expected queueing delay in seconds.

        Long-running classes compete for the slots within their limit, the
        others for the rest. Without an open slot there is no estimate, so the
        result is 0 and the request may wait for a connection until its
        deadline.
        """
        open_slots = self._fleet.open_slots_by_class[active.service_class.name]
        if not open_slots:
            return 0.0
        is_long = self._run_times.is_long
        mine = is_long(active.run_time)
        if mine:
            usable = min(open_slots, self.get_long_limit())
        else:
            usable = max(1, open_slots - self.long_running)
        ahead_s = self._queues.estimate_work(
            active, lambda other: is_long(other) == mine
        )
        return (ahead_s + active.run_time.mean_s) / usable

    def compute_retry_after(
        self,
        active: inflight.ActiveRequest,
        now: float,
        draw: Callable[[], float],
    ) -> float:
        """Returns after how many seconds a caller should retry.

        By then the queue should have room. Jitter keeps the callers that were
        refused together from retrying together.
        """
        requests = self._settings.requests
        excess_s = (
            self.estimate_wait(active) - max(0.0, active.deadline - now) / 2
        )
        retry_after_s = max(
            requests.hint_min_s, min(requests.hint_max_s, excess_s)
        )
        return retry_after_s * (1.0 + draw() / 2)

    def count_overdue(self, now: float) -> None:
        """Counts, by class, the requests running for at least `long_run_s`.

        Each of them also counts as long-running from then on, even if its class
        is declared or measured as short.
        """
        limit_s = self._settings.requests.long_run_s
        overdue: collections.Counter[str] = collections.Counter()
        for active in self.running:
            if now - active.began >= limit_s:
                overdue[active.service_class.name] += 1
                if not active.long:
                    active.long = True
                    self.long_running += 1
        self._run_times.set_overdue(overdue)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns counts and the oldest running requests, bounded in number."""
        oldest = sorted(self.running, key=lambda active: active.arrived)
        return {
            "running": len(self.running),
            "long_running": self.long_running,
            "long_limit": self.get_long_limit(),
            "oldest": [
                {
                    "class": active.service_class.name,
                    "age_s": round(now - active.arrived, 3),
                    "attempts": active.attempts,
                }
                for active in oldest[:_DUMP_LIMIT]
            ],
        }
