"""Division of a runner's slots among the entry processes of its domain.

Processes with equal views of the live members compute shares that add up to
the total. A member that joins or returns makes the others shrink at once. A
share grows only after the view that allows it has stood for `slot_settle_s`,
so a process that has not heard its peers yet does not take their slots; a
member that dies or is suspected loses its slots to the others after that time.
During a partition both sides compute shares without the other; the runner
refuses what exceeds its slots, and a refusal is a *not run*.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from plantainvane import rendezvous
from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Views:
    """The views of the live members that still limit this process's shares.

    Attributes:
      kept: (monotonic time from which it held, sorted member ids), oldest
        first. The first view is empty, so a new process holds no slot.
      version: Grows whenever `kept` changes.
    """

    kept: list[tuple[float, tuple[str, ...]]]
    version: int = 0

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the views and their ages."""
        return {
            "views": [
                {"age_s": round(now - since, 3), "members": list(members)}
                for since, members in self.kept[-10:]
            ]
        }


@dataclasses.dataclass(slots=True)
class Share:
    """Slots and connections of one runner that this process may hold.

    `version` is that of the views which gave it, -1 before the first.
    """

    slots: int = 0
    connections: int = 0
    version: int = -1


def make_views(now: float) -> Views:
    """Returns the views of a process that starts at `now`."""
    return Views([(now, ())])


def update_views(
    settings: settings_module.Settings,
    views: Views,
    members: Sequence[str],
    now: float,
) -> None:
    """Takes over the present view; drops those replaced long enough ago."""
    view = tuple(members)
    if view != views.kept[-1][1]:
        views.kept.append((now, view))
        views.version += 1
    while is_settled(settings, views, now):
        del views.kept[0]
        views.version += 1


def is_settled(
    settings: settings_module.Settings, views: Views, now: float
) -> bool:
    """Tells whether a replaced view has stopped to limit the shares."""
    if len(views.kept) < 2:
        return False
    return now - views.kept[1][0] >= settings.requests.slot_settle_s


def update_share(
    settings: settings_module.Settings, share: Share, views: Views, runner: str
) -> None:
    """Sets `share` to the smallest that any kept view allows."""
    if share.version == views.version:
        return
    requests = settings.requests
    share.version = views.version
    share.slots = min(
        compute_share(requests.slots_per_target, members, settings.id, runner)
        for _, members in views.kept
    )
    share.connections = min(
        compute_share(
            requests.connections_per_target, members, settings.id, runner
        )
        for _, members in views.kept
    )


def compute_share(
    total: int, members: Sequence[str], member: str, runner: str
) -> int:
    """Returns the part of `total` that `member` may use at `runner`.

    Args:
      total: Units to divide.
      members: Ids of the live entry processes of the domain, each once.
      member: Id of the process that asks; it gets 0 when it is not listed.
      runner: Id of the runner; decides who gets the remainder.
    """
    if member not in members:
        return 0
    base, remainder = divmod(total, len(members))
    if not remainder:
        return base
    ranked = rendezvous.rank_members(members, runner)
    return base + (member in ranked[:remainder])
