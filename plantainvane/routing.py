"""Choice of the connection that takes the next request."""

from collections.abc import Callable
import dataclasses
from typing import Any

from plantainvane import ejection
from plantainvane import instances
from plantainvane import settings as settings_module
from plantainvane import slots as slots_module


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """A runner as this process sees it.

    Attributes:
      instance: Its entry in the instance list.
      health: What exchanges with it have shown.
      share: Slots of it that this process may hold.
      idle_slots: Idle slots, the most recently used one last.
      in_flight: Exchanges that run now.
      slot_numbers: Numbers of the slots with a task, connected or not.
      open_slots: Slots with a connection that answered a probe.
      retired: It gets no new work, ever.
      missing_since: Monotonic time since it is absent from the list.
      heard_at: Monotonic time of its last whole reply.
      positions: Index in each class's list of free targets.
    """

    instance: instances.Instance
    health: ejection.Health
    share: slots_module.Share
    idle_slots: list[Any] = dataclasses.field(default_factory=list)
    in_flight: int = 0
    slot_numbers: set[int] = dataclasses.field(default_factory=set)
    open_slots: int = 0
    retired: bool = False
    missing_since: float | None = None
    heard_at: float = float("-inf")
    positions: dict[str, int] = dataclasses.field(default_factory=dict)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state for operators."""
        return {
            "address": self.instance.address,
            "leaving": self.retired,
            "granted": self.share.slots,
            "slots": len(self.slot_numbers),
            "open": self.open_slots,
            "free": len(self.idle_slots),
            "in_flight": self.in_flight,
            "silent_s": round(now - self.heard_at, 3)
            if self.heard_at > float("-inf")
            else None,
            **self.health.dump_state(now),
        }


class FreeTargets:
    """Targets with an idle slot, by class; changes take constant time."""

    def __init__(self) -> None:
        self._targets_by_class: dict[str, list[Target]] = {}

    def add_target(self, target: Target) -> None:
        """Adds a target whose first slot became idle."""
        for name in target.instance.classes:
            listed = self._targets_by_class.setdefault(name, [])
            if name not in target.positions:
                target.positions[name] = len(listed)
                listed.append(target)

    def remove_target(self, target: Target) -> None:
        """Removes a target; the last one of each list takes its place."""
        for name, index in target.positions.items():
            listed = self._targets_by_class[name]
            last = listed.pop()
            if last is not target:
                listed[index] = last
                last.positions[name] = index
        target.positions.clear()

    def list_targets(self, service_class: str) -> list[Target]:
        """Returns the free targets of a class; not to be changed."""
        return self._targets_by_class.get(service_class, [])


def score_target(
    settings: settings_module.Settings, target: Target, now: float
) -> float:
    """Returns the expected cost of one more request; lower is better.

    The run time is relative to the class's median, so that long classes do
    not make a target look slow.
    """
    health = target.health
    weight = ejection.get_ramp_weight(settings, health, now)
    failures = 1 + ejection.count_recent_failures(settings, health, now)
    return health.run_time_ratio * (1 + target.in_flight) * failures / weight


def pick_target(
    settings: settings_module.Settings,
    candidates: list[Target],
    avoid: set[str] | None,
    now: float,
    draw: Callable[[], float],
) -> Target | None:
    """Picks the best of a few random candidates.

    Args:
      settings: The settings.
      candidates: Targets with an idle slot; a few are drawn without
        replacement, so a slow one is taken only when no other is drawn.
      avoid: Ids of targets that failed this request; taken only when nothing
        else is free.
      now: Monotonic time in seconds.
      draw: Returns a random number in [0, 1).

    Returns:
      The target, or None without candidates.
    """
    count = len(candidates)
    choices = settings.requests.routing_choices
    if count > choices:
        # A random start and an odd stride visit distinct positions.
        start = int(draw() * count)
        stride = 1 + int(draw() * (count // choices))
        candidates = [
            candidates[(start + step * stride) % count]
            for step in range(choices)
        ]
    best: Target | None = None
    best_score = 0.0
    for target in candidates:
        score = score_target(settings, target, now)
        if avoid and target.instance.id in avoid:
            # Any target that has not failed this request ranks before it.
            score += 1e6
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def may_take_queued(
    settings: settings_module.Settings,
    target: Target,
    now: float,
    draw: Callable[[], float],
) -> bool:
    """Tells whether a target may take queued work; fewer times in its ramp."""
    weight = ejection.get_ramp_weight(settings, target.health, now)
    return weight >= 1.0 or draw() < weight
