"""Aggregate: when the leases on runners that do not answer have expired.

A stored expiry is a promise of every owner: nothing on that runner gets a
longer lease before a later record has withdrawn the expiry. A successor can
therefore rely on it, although an earlier owner may still reach the runner.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class LeaseExpiries:
    """Times after which nothing can run, by runner id."""

    expires_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_expiry(self, runner: str, default: float) -> float:
        """Time of a runner; `default` if no owner has promised one."""
        return self.expires_at.get(runner, default)

    def promise(self, runner: str, at: float) -> None:
        """Notes when the leases of a runner will have expired."""
        self.expires_at[runner] = at

    def withdraw(self, runner: str) -> None:
        """Notes that leases may be extended, or that nothing runs there."""
        self.expires_at.pop(runner, None)

    def export_remaining_s(self, now: float) -> dict[str, float]:
        """Seconds left by runner id."""
        return {
            runner: round(max(0.0, at - now), 3)
            for runner, at in self.expires_at.items()
        }

    def import_remaining_s(
        self, remaining_s: dict[str, float], longest_s: float, now: float
    ) -> None:
        """Takes over promises; clocks of instances are not compared."""
        for runner, seconds in remaining_s.items():
            self.expires_at[runner] = now + min(seconds, longest_s)
