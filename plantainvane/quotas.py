"""Limits on the declared sizes that a team runs at once.

Shards decide without asking each other, so each applies an equal share of
every quota. A share below one task would never let the team run, so a shard
with nothing of the team running may always start one task within the limit;
the overshoot is at most one task per shard.
"""

from plantainvane import amounts
from plantainvane import documents
from plantainvane import settings as settings_module


def measure_share(
    settings: settings_module.Settings, quota: documents.Quota
) -> amounts.Amount:
    """Returns one shard's share of a quota."""
    shards = len(settings.domains) * settings.claims.shards
    limit = amounts.measure_size(quota.limit)
    return amounts.Amount(
        limit.millis // shards,
        limit.memory // shards,
        limit.accelerators // shards,
    )


def allows_start(
    settings: settings_module.Settings,
    quota: documents.Quota | None,
    used: amounts.Amount,
    amount: amounts.Amount,
) -> bool:
    """Says whether a team that uses `used` in this shard may start `amount`.

    A team without a quota document runs nothing.
    """
    if quota is None:
        return False
    if used == amounts.Amount():
        return amount.fits(amounts.measure_size(quota.limit))
    return (used + amount).fits(measure_share(settings, quota))
