"""Decides how to relieve a service that batch work slows down.

Batch work is throttled first and evicted if that is not enough. The thresholds
for throttling and release differ, and a minimum time passes between steps,
because measurements lag and each step takes time to have an effect.
"""

import dataclasses
import enum

from plantainvane import settings as settings_module


class Step(enum.StrEnum):
    """Step to take for the batch work of one worker."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"
    RELEASE = "release"


@dataclasses.dataclass(slots=True)
class WorkerPressure:
    """Throttling state of one worker.

    Attributes:
      throttled: Whether its batch work is throttled.
      last_step_at: Monotonic time of the last step.
      below_release_since: Time of the first of the latest samples that are
        all below `release_below`; None if the newest is not.
      sample_at: When the newest sample in use was taken.
    """

    throttled: bool = False
    last_step_at: float = 0.0
    below_release_since: float | None = None
    sample_at: float = float("-inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Victim:
    """A candidate for eviction.

    Attributes:
      task: Task id.
      rank: Priority rank, 0 for urgent; higher ranks are evicted first.
      effect: Predicted effect on the latency ratio of the most slowed service.
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
    """Decides on the next step for a worker and records it in `state`.

    Args:
      settings: Settings of the process.
      state: Updated in place.
      ratio: Highest ratio of p99 to target among the worker's services.
      sample_at: When the sample was taken. A sample leads to at most one
        step, and one from before the last step is ignored, because it does
        not show the effect of that step.
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
    """Picks the attempt to evict, or None if there are no victims.

    Takes the least urgent rank, then the largest effect to two decimals, then
    the least lost work.
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
    """Picks the batch classes to throttle, by their predicted effects.

    These are the classes with at least half of the largest effect, because
    throttling the others would cost throughput for little relief. While no
    effects are known, these are all classes.
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
