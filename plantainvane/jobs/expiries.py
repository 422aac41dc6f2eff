"""Times at which the leases on runners that do not answer have expired.

A stored expiry is a promise that binds every owner: no lease on that runner is
extended until a later record withdraws the expiry. A successor can therefore
rely on it even if an earlier owner can still reach the runner.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class LeaseExpiries:
    """Promised expiries of leases.

    Attributes:
      expires_at: Time after which nothing can run on a runner, by runner id,
        in seconds of this process's clock.
      withdrawing: Runners whose withdrawal is not stored yet.
    """

    expires_at: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawing: set[str] = dataclasses.field(default_factory=set)

    def find_expiry(self, runner: str, default: float) -> float:
        """Returns the expiry of a runner, or `default` if none is promised."""
        return self.expires_at.get(runner, default)

    def promise(self, runner: str, at: float) -> None:
        """Records the time at which all leases of a runner have expired."""
        self.expires_at[runner] = at

    def withdraw(self, runner: str) -> None:
        """Removes a promise, which binds until the removal is stored."""
        if self.expires_at.pop(runner, None) is not None:
            self.withdrawing.add(runner)

    def complete_withdrawal(self, runner: str) -> None:
        """Records that the removal of a promise is stored."""
        self.withdrawing.discard(runner)

    def is_binding(self, runner: str) -> bool:
        """Tells whether a successor may rely on a promise for the runner."""
        return runner in self.expires_at or runner in self.withdrawing

    def export_remaining_s(self, now: float) -> dict[str, float]:
        """Returns the remaining seconds by runner id; 0 after the expiry."""
        return {
            runner: round(max(0.0, at - now), 3)
            for runner, at in self.expires_at.items()
        }

    def import_remaining_s(
        self, remaining_s: dict[str, float], longest_s: float, now: float
    ) -> None:
        """Takes over promises of an earlier owner.

        They are stored as remaining seconds, because the clocks of two
        instances cannot be compared. No remaining time exceeds `longest_s`.
        """
        for runner, seconds in remaining_s.items():
            left_s = max(0.0, min(seconds, longest_s))
            self.expires_at[runner] = now + left_s
