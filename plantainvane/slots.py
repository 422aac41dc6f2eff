"""Division of a runner's slots among the entry processes of its domain.

Processes with equal views of the live members compute shares that add up to
the total. When a member joins or returns, the shares of the others shrink at
once. A share grows only after the view that allows it has held for
`slot_settle_s`, so a process that has not heard its peers yet does not take
their slots; a member that dies or is suspected loses its slots to the others
after that time. During a network partition each side computes shares without
the other; the runner refuses requests beyond its slots, and a refused request
has not run.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from plantainvane import rendezvous
from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Views:
    """Views of the live members that still limit the shares of this process.

    Attributes:
      kept: Pairs (monotonic time from which the view held, sorted member ids),
        oldest first. The first view of a process is empty, so a new process
        holds no slot.
      version: Incremented whenever `kept` changes.
    """

    kept: list[tuple[float, tuple[str, ...]]]
    version: int = 0

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the ids and ages of the newest views, at most 10."""
        return {
            "views": [
                {"age_s": round(now - since, 3), "members": list(members)}
                for since, members in self.kept[-10:]
            ]
        }


@dataclasses.dataclass(slots=True)
class Share:
    """Slots and connections of one runner that this process may hold.

    `version` is the version of the views that it was computed from; -1 before.
    """

    slots: int = 0
    connections: int = 0
    version: int = -1


def make_views(now: float) -> Views:
    """Returns the views of a process that starts at monotonic time `now`."""
    return Views([(now, ())])


def update_views(
    settings: settings_module.Settings,
    views: Views,
    members: Sequence[str],
    now: float,
) -> None:
    """Adds the current view and drops those that no longer limit shares.

    Args:
      settings: The settings.
      views: Changed in place.
      members: Sorted ids of the live members.
      now: Monotonic time in seconds.
    """
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
    """Tells whether the oldest view no longer limits the shares.

    That is so `slot_settle_s` after another view replaced it.
    """
    if len(views.kept) < 2:
        return False
    return now - views.kept[1][0] >= settings.requests.slot_settle_s


def update_share(
    settings: settings_module.Settings, share: Share, views: Views, runner: str
) -> None:
    """Sets `share` to the smallest share that any kept view allows."""
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
    """Returns how much of `total` `member` may use at `runner`.

    Args:
      total: Number of slots or connections to divide.
      members: Ids of the live entry processes of the domain, each once.
      member: Id of the process; its share is 0 if it is not in `members`.
      runner: Id of the runner; its rendezvous ranking of the members decides
        which of them get one more for the remainder.
    """
    if member not in members:
        return 0
    base, remainder = divmod(total, len(members))
    if not remainder:
        return base
    ranked = rendezvous.rank_members(members, runner)
    return base + (member in ranked[:remainder])
