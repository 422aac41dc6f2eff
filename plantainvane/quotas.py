"""Quotas: limits on the total declared size of a team's running tasks.

Shards decide independently, so each enforces an equal share of every quota. A
task that is larger than the share is checked against the whole quota, less what
the team runs in all other shards according to their task streams. Two shards
that start such tasks within the read delay of the streams may exceed the quota
by one task each.
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
    """Returns whether a team may start a task in this shard.

    Args:
      settings: Settings of the process.
      quota: The team's quota; a team without a quota may start nothing.
      used: Sum of the declared sizes that the team runs in this shard.
      demand: Declared size of the task.
      sum_elsewhere: Returns the sum of what the team runs in all other
        shards; None if that is not known now.
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
