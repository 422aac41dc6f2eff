"""Aggregate: what is believed of each runner, and what it is charged with."""

import dataclasses

from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import settings as settings_module

# A slowed filling task keeps this share of its charge, for when it may go on.
_MIN_CHARGED_PACE_PERCENT = 20


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """One life of a runner.

    Attributes:
      entry: Its newest entry in the platform's list.
      calls: Client for its orders.
      rack: Label that names its rack, or empty.
      listed: The entry is still in the list.
      fenced: It has answered a look with the present token.
      last_stored_end: Number of the newest end that is stored.
      clock_read_at, clock_ms: When its clock was read, and what it showed.
      lease_until_ms: Latest lease that was asked for, on its clock.
      answered_at: When it last answered.
      silent: Its last look was not answered.
      silent_at: When it became silent.
      expiry_promised: An expiry is stored; leases must not be extended.
      runs: Attempts that are charged to it.
      cpu, memory_mb, accelerators: Charged and not filling.
      fill_cpu: Charged to filling tasks.
      serving_cpu: The part of `cpu` that belongs to long-running tasks.
      full_until: A start was rejected for want of room.
      probation_until: Only a canary is started before this time.
      faults: Recent signs that the runner is at fault.
      speed: Measured speed of its tasks against others, 1.0 is usual.
    """

    entry: model.RunnerEntry
    calls: interfaces.RunnerCalls
    rack: str
    listed: bool = True
    fenced: bool = False
    last_stored_end: int = 0
    clock_read_at: float = 0.0
    clock_ms: int = 0
    lease_until_ms: int = 0
    answered_at: float = 0.0
    silent: bool = False
    silent_at: float = 0.0
    expiry_promised: bool = False
    runs: dict[attempts.Run, None] = dataclasses.field(default_factory=dict)
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    fill_cpu: int = 0
    serving_cpu: int = 0
    full_until: float = 0.0
    probation_until: float = 0.0
    faults: int = 0
    speed: float = 1.0

    def charge(self, run: attempts.Run, sign: int = 1) -> None:
        """Adds an attempt to the charges, or with `sign` -1 removes it."""
        if (sign > 0) == (run in self.runs):
            return
        if sign > 0:
            self.runs[run] = None
        else:
            del self.runs[run]
        step = run.task.step.step
        if step.fills:
            self.fill_cpu += sign * _compute_fill_charge(run)
        else:
            self.cpu += sign * step.amounts.cpu
        if step.long_running:
            self.serving_cpu += sign * step.amounts.cpu
        self.memory_mb += sign * step.amounts.memory_mb
        self.accelerators += sign * step.amounts.accelerators

    def change_pace(self, run: attempts.Run, percent: int) -> None:
        """Notes a new pace, and charges the processors that it leaves."""
        charged = run in self.runs
        if charged:
            self.fill_cpu -= _compute_fill_charge(run)
        run.pace_percent = percent
        if charged:
            self.fill_cpu += _compute_fill_charge(run)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Notes what the runner's clock showed before `now`."""
        self.clock_read_at, self.clock_ms = now, clock_ms

    def extend_lease(self, lease_s: float, now: float) -> int:
        """Time on the runner's clock to which a lease sent now runs.

        A silent runner keeps the lease that it may have, so that the time
        after which nothing runs there does not move.
        """
        if self.silent or self.expiry_promised:
            return self.lease_until_ms
        clock = self.clock_ms + (now - self.clock_read_at) * 1000
        self.lease_until_ms = max(
            self.lease_until_ms, int(clock + lease_s * 1000)
        )
        return self.lease_until_ms

    def find_lease_expiry(self, settings: settings_module.Settings) -> float:
        """Time after which every lease there has surely expired."""
        left_s = max(0, self.lease_until_ms - self.clock_ms) / 1000
        left_s /= 1 - settings.clock_rate_error
        return self.clock_read_at + left_s + settings_module.LEASE_MARGIN_S


def _compute_fill_charge(run: attempts.Run) -> int:
    """Thousandths of a core that a filling task is charged with."""
    pace = max(run.pace_percent, _MIN_CHARGED_PACE_PERCENT)
    return run.task.step.step.amounts.cpu * pace // 100


def find_rack(labels: tuple[str, ...]) -> str:
    """Label of the rack: the last one by the platform's order."""
    return labels[-1] if labels else ""
