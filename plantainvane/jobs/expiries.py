"""Aggregate: when the leases on runners that do not answer have expired.

A stored expiry is a promise of every owner: nothing on that runner gets a
longer lease before a later record has withdrawn the expiry. A successor can
therefore rely on it, although an earlier owner may still reach the runner.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Expiries:
    """Times after which nothing can run, by runner id."""

    times: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_time(self, runner: str, unknown: float) -> float:
        """Time of a runner; `unknown` if no owner has promised one."""
        return self.times.get(runner, unknown)

    def promise(self, runner: str, at: float) -> None:
        """Notes when the leases of a runner will have expired."""
        self.times[runner] = at

    def withdraw(self, runner: str) -> None:
        """Notes that leases may be extended, or that nothing runs there."""
        self.times.pop(runner, None)

    def export_left(self, now: float) -> dict[str, float]:
        """Seconds left by runner id."""
        return {
            runner: round(max(0.0, at - now), 3)
            for runner, at in self.times.items()
        }

    def import_left(
        self, left_s: dict[str, float], longest_s: float, now: float
    ) -> None:
        """Takes over promises; clocks of instances are not compared."""
        for runner, seconds in left_s.items():
            self.times[runner] = now + min(seconds, longest_s)
