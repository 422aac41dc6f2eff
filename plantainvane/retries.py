"""Retry budget of all classes: a token bucket that successes fill.

When most exchanges fail, retries stop after the burst, so retries add at most
`retry_ratio` to the load of a failing domain.
"""

import dataclasses

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Budget:
    """Token bucket; a retry takes one token.

    Attributes:
      tokens: Tokens left, at most `retry_burst`.
      refused: Number of retries that were refused for lack of a token.
    """

    tokens: float
    refused: int = 0

    def dump_state(self, now: float) -> dict[str, float]:
        """Returns the state for operators."""
        del now
        return {"tokens": round(self.tokens, 3), "refused": self.refused}


def make_budget(settings: settings_module.Settings) -> Budget:
    """Returns a budget of `retry_burst` tokens."""
    return Budget(float(settings.requests.retry_burst))


def add_tokens(settings: settings_module.Settings, budget: Budget) -> None:
    """Adds `retry_ratio` tokens, for one answered exchange."""
    requests = settings.requests
    budget.tokens = min(
        requests.retry_burst, budget.tokens + requests.retry_ratio
    )


def take_token(budget: Budget) -> bool:
    """Takes a token for one retry; False if less than one is left."""
    if budget.tokens < 1.0:
        budget.refused += 1
        return False
    budget.tokens -= 1.0
    return True
