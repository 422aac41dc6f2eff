"""Limits on the declared sizes that a team runs at once.

Shards decide without asking each other, so each applies an equal share of
every quota. A task that is larger than the share is checked against the whole
quota and what the team runs in all other shards, as their task streams show;
two shards that start such tasks within the delay of reading may overshoot by
one task each.
"""

from collections.abc import Callable

from plantainvane import documents
from plantainvane import resources
from plantainvane import settings as settings_module


def compute_share(
    settings: settings_module.Settings, quota: documents.Quota
) -> resources.Resources:
    """Returns one shard's share of a quota."""
    shards = len(settings.domains) * settings.claims.shards
    limit = resources.convert_size(quota.limit)
    return resources.Resources(
        limit.millis // shards,
        limit.memory // shards,
        limit.accelerators // shards,
    )


def allows_start(
    settings: settings_module.Settings,
    quota: documents.Quota | None,
    used: resources.Resources,
    demand: resources.Resources,
    sum_elsewhere: Callable[[], resources.Resources | None],
) -> bool:
    """Says whether a team may start a task in this shard.

    Args:
      settings: Settings of the process.
      quota: The team's quota; a team without one runs nothing.
      used: Declared sizes that the team runs in this shard.
      demand: Declared size of the task.
      sum_elsewhere: Returns what the team runs in all other shards, None
        when that is not known now.
    """
    if quota is None:
        return False
    share = compute_share(settings, quota)
    if demand.fits_within(share):
        return (used + demand).fits_within(share)
    elsewhere = sum_elsewhere()
    if elsewhere is None:
        return False
    total = used + elsewhere + demand
    return total.fits_within(resources.convert_size(quota.limit))
