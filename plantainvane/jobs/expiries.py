"""Times at which the leases on runners that do not answer have expired.

A stored expiry is a promise that binds every owner: no lease on that runner is
extended until a later record withdraws the expiry. A successor can therefore
rely on it even if an earlier owner can still reach the runner.
"""

from collections.abc import Callable
import dataclasses

# Ends the key under which the epoch of a promise is stored.
_SINCE_SUFFIX = "#since"


@dataclasses.dataclass(slots=True)
class LeaseExpiries:
    """Promised expiries of leases.

    Attributes:
      expires_at: Time after which nothing can run on a runner, by runner id,
        in seconds of this process's clock.
      since: Epoch by runner id; no owner of this epoch or a later one has
        extended a lease there, or will before the promise is withdrawn.
      withdrawing: Runners whose withdrawal is not stored yet.
    """

    expires_at: dict[str, float] = dataclasses.field(default_factory=dict)
    since: dict[str, int] = dataclasses.field(default_factory=dict)
    withdrawing: set[str] = dataclasses.field(default_factory=set)

    def find_expiry(self, runner: str, default: float) -> float:
        """Returns the expiry of a runner, or `default` if none is promised."""
        return self.expires_at.get(runner, default)

    def promise(self, runner: str, at: float, since: int | None = None) -> None:
        """Records the time at which all leases of a runner have expired."""
        self.expires_at[runner] = at
        self.since.pop(runner, None)
        if since is not None:
            self.since[runner] = since

    def limit(self, until: float, epoch: int) -> None:
        """Limits what no owner of `epoch` or a later one has extended."""
        for runner, since in self.since.items():
            if since <= epoch:
                self.expires_at[runner] = min(self.expires_at[runner], until)

    def limit_runner(self, runner: str, until: float) -> None:
        """Limits the promise for a runner, if there is one."""
        if runner in self.expires_at:
            self.expires_at[runner] = min(self.expires_at[runner], until)

    def withdraw(self, runner: str) -> None:
        """Removes a promise, which binds until the removal is stored."""
        self.since.pop(runner, None)
        if self.expires_at.pop(runner, None) is not None:
            self.withdrawing.add(runner)

    def complete_withdrawal(self, runner: str) -> None:
        """Records that the removal of a promise is stored."""
        self.withdrawing.discard(runner)

    def is_binding(self, runner: str) -> bool:
        """Tells whether a successor may rely on a promise for the runner."""
        return runner in self.expires_at or runner in self.withdrawing

    def export_remaining_s(self, now: float) -> dict[str, float]:
        """Returns the remaining seconds by runner id; 0 after the expiry.

        The epoch of a promise is in the same record, so that a process of the
        last release, which drops it, cannot store another promise beside it.
        It is below 0, as such a process may store it once as a remaining time.
        """
        remaining_s = {
            runner: round(max(0.0, at - now), 3)
            for runner, at in self.expires_at.items()
        }
        epochs = {r + _SINCE_SUFFIX: -1.0 - e for r, e in self.since.items()}
        return remaining_s | epochs

    def import_remaining_s(
        self,
        stored: dict[str, float],
        longest_s: float,
        now: float,
        find_limit: Callable[[int], float] | None = None,
    ) -> None:
        """Takes over promises of an earlier owner.

        They are stored as remaining seconds, because the clocks of two
        instances cannot be compared. No remaining time exceeds `longest_s`.

        Args:
          stored: Remaining seconds, and epochs, as exported.
          longest_s: Longest remaining time.
          now: Present time, in seconds.
          find_limit: Returns when the leases of all owners before an epoch have
            expired, as this process knows it.
        """
        for runner, seconds in stored.items():
            if runner.endswith(_SINCE_SUFFIX):
                continue
            at = now + max(0.0, min(seconds, longest_s))
            encoded = stored.get(runner + _SINCE_SUFFIX, 0.0)
            if encoded >= 0.0 or find_limit is None:
                self.promise(runner, at)
            else:
                since = int(-1.0 - encoded)
                self.promise(runner, min(at, find_limit(since)), since)
