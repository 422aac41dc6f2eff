"""One retry budget for all classes: a token bucket that successes fill.

When most exchanges fail, retries stop after the burst, so the retries of a
failing domain add at most `retry_ratio` to its load.
"""

import dataclasses

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Budget:
    """Tokens left; a retry takes one."""

    tokens: float
    refused: int = 0

    def dump_state(self, now: float) -> dict[str, float]:
        """Returns the state for operators."""
        del now
        return {"tokens": round(self.tokens, 3), "refused": self.refused}


def make_budget(settings: settings_module.Settings) -> Budget:
    """Returns a full budget."""
    return Budget(float(settings.requests.retry_burst))


def add_tokens(settings: settings_module.Settings, budget: Budget) -> None:
    """Adds the tokens of one answered exchange."""
    requests = settings.requests
    budget.tokens = min(
        requests.retry_burst, budget.tokens + requests.retry_ratio
    )


def take_token(budget: Budget) -> bool:
    """Takes the token of one retry; False when the budget is spent."""
    if budget.tokens < 1.0:
        budget.refused += 1
        return False
    budget.tokens -= 1.0
    return True
