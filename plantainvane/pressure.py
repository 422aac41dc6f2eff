"""Reaction to batch work that slows a service: throttle, then evict.

Thresholds for starting and ending differ, and each step takes a minimum time,
because the measurements lag and every step needs time to show.
"""

import dataclasses
import enum

from plantainvane import settings as settings_module


class Step(enum.StrEnum):
    """What to do about the batch work of one worker now."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"
    RELEASE = "release"


@dataclasses.dataclass(slots=True)
class WorkerPressure:
    """State of one worker.

    Attributes:
      throttled: Its batch work is limited.
      last_step_at: When the last step was taken.
      below_release_since: Since when every sample was below `release_below`.
      sample_at: When the newest sample used was taken.
    """

    throttled: bool = False
    last_step_at: float = 0.0
    below_release_since: float | None = None
    sample_at: float = float("-inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Victim:
    """An attempt that may be evicted.

    Attributes:
      task: Task id.
      rank: Priority, 0 for urgent; a larger one goes first.
      effect: Predicted relief of the service that is slowed most.
      lost_work_s: Work that an eviction would lose, in seconds.
    """

    task: str
    rank: int
    effect: float
    lost_work_s: float


def decide_step(
    settings: settings_module.Settings,
    state: WorkerPressure,
    ratio: float,
    sample_at: float,
    now: float,
) -> Step:
    """Decides on the step for a worker and notes it in `state`.

    Args:
      settings: Settings of the process.
      state: Updated in place.
      ratio: Highest ratio of p99 to target among the worker's services.
      sample_at: When the sample was taken; one sample leads to one step, and
        a sample from before the last step says nothing about its effect.
      now: Monotonic time.
    """
    tasks = settings.tasks
    if sample_at <= state.sample_at or sample_at <= state.last_step_at:
        return Step.NONE
    state.sample_at = sample_at
    if ratio >= tasks.release_below:
        state.below_release_since = None
    elif state.below_release_since is None:
        state.below_release_since = sample_at
    if ratio > tasks.throttle_above:
        return _escalate(settings, state, now)
    below_release = state.below_release_since is not None
    if (
        state.throttled
        and below_release
        and (sample_at - state.below_release_since >= tasks.release_after_s)
    ):
        state.throttled = False
        state.last_step_at = now
        return Step.RELEASE
    return Step.NONE


def pick_victim(victims: list[Victim]) -> Victim | None:
    """Picks the least urgent attempt that slows the service noticeably most.

    Among equals, the one that loses the least work.
    """
    return max(
        victims,
        key=lambda victim: (
            victim.rank,
            round(victim.effect, 2),
            -victim.lost_work_s,
            victim.task,
        ),
        default=None,
    )


def pick_throttled_classes(effects: dict[str, float]) -> set[str]:
    """Picks the batch classes to throttle, by their predicted effect.

    Those with at least half of the largest effect; throttling the others
    would cost throughput and relieve little. All, while nothing is known.
    """
    largest = max(effects.values(), default=0.0)
    return {name for name, effect in effects.items() if effect * 2 >= largest}


def _escalate(
    settings: settings_module.Settings, state: WorkerPressure, now: float
) -> Step:
    if not state.throttled:
        state.throttled = True
        state.last_step_at = now
        return Step.THROTTLE
    if now - state.last_step_at >= settings.tasks.evict_after_s:
        state.last_step_at = now
        return Step.EVICT
    return Step.NONE
