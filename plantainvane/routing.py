"""Selection of the target that runs the next request."""

from collections.abc import Callable
import dataclasses
from typing import Any

from plantainvane import ejection
from plantainvane import instances
from plantainvane import settings as settings_module
from plantainvane import slots as slots_module


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """State of one runner as observed by this process.

    Attributes:
      instance: Its entry in the platform's instance list.
      health: Failures, run times and ejections seen in exchanges with it.
      share: Slots and connections of it that this process may hold.
      idle_slots: Idle slots, the most recently used one last.
      in_flight: Number of exchanges in progress.
      slot_numbers: Numbers of the slots with a task, connected or not.
      open_slots: Number of slots whose connection answered a probe.
      retired: It gets no new work; never reset.
      missing_since: Monotonic time at which the list first lacked it; None
        while it is listed.
      heard_at: Monotonic time of its last complete reply; -inf before.
      positions: Its index in the list of free targets, by class.
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
    """Index of targets with an idle slot, by class.

    Adding or removing a target takes constant time for each of its classes.
    """

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
        """Removes a target; the last one of each list moves into its place."""
        for name, index in target.positions.items():
            listed = self._targets_by_class[name]
            last = listed.pop()
            if last is not target:
                listed[index] = last
                last.positions[name] = index
        target.positions.clear()

    def list_targets(self, service_class: str) -> list[Target]:
        """Returns the free targets of a class; callers must not modify it."""
        return self._targets_by_class.get(service_class, [])


def score_target(
    settings: settings_module.Settings, target: Target, now: float
) -> float:
    """Returns the expected cost of one more request; lower is better.

    Run times count relative to the median of their class, so that a class with
    long run times does not make a target look slow.
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
    """Picks the target with the lowest score among a few random candidates.

    Args:
      settings: The settings.
      candidates: Targets with an idle slot; a few are drawn without
        replacement, so a slow target is picked only if all that are drawn are
        slow.
      avoid: Ids of targets that failed this request; one of them is picked
        only if no other target is drawn.
      now: Monotonic time in seconds.
      draw: Returns a random number in [0, 1).

    Returns:
      The target, or None if there are no candidates.
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
            # Ranks behind every target that has not failed this request.
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
    """Tells whether a target may take queued work now.

    During the ramp-up after an ejection its weight is the probability of yes.
    """
    weight = ejection.get_ramp_weight(settings, target.health, now)
    return weight >= 1.0 or draw() < weight
