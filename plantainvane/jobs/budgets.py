"""Limits on how often something is done in total, whatever the number."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Budget:
    """Spreads actions so that no more than a number of them begin a second.

    Attributes:
      per_s: Highest number of actions in a second, on average.
      taken_until: When the actions that have been granted are used up.
    """

    per_s: float
    taken_until: float = float("-inf")

    def reserve(self, shortest_s: float, now: float) -> float:
        """Returns the seconds until the next action, at least `shortest_s`.

        Few that reserve wait for `shortest_s` each; many wait their turn.
        """
        self.taken_until = max(self.taken_until, now) + 1 / self.per_s
        return max(shortest_s, self.taken_until - now)

    def clear(self) -> None:
        """Takes back all that has been granted and is not used up."""
        self.taken_until = float("-inf")
