"""Outlier ejection of failing and slow targets, their return and ramp-up."""

from collections.abc import Callable
import dataclasses

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Health:
    """Health of one target, as observed in exchanges with it.

    Attributes:
      failed_connections: Ids of connections that failed since the last
        success.
      failed_at: Monotonic time of the last failure; -inf before.
      run_time_ratio: Moving average of run time divided by the class's median
        run time.
      samples: Number of run times in `run_time_ratio` since its last reset.
      consecutive_ejections: Ejections in a row; each doubles the next delay.
      ejected_until: Monotonic time of the return; 0 when not ejected.
      returned_at: Monotonic time of the last return; -inf before.
    """

    failed_connections: set[int] = dataclasses.field(default_factory=set)
    failed_at: float = float("-inf")
    run_time_ratio: float = 1.0
    samples: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    returned_at: float = float("-inf")

    def dump_state(self, now: float) -> dict[str, float]:
        """Returns the state for operators."""
        return {
            "failed_connections": len(self.failed_connections),
            "run_time_ratio": round(self.run_time_ratio, 3),
            "ejections_in_a_row": self.consecutive_ejections,
            "returns_in_s": round(max(0.0, self.ejected_until - now), 3),
        }


def note_success(
    settings: settings_module.Settings,
    health: Health,
    ratio: float,
    now: float,
) -> None:
    """Records an answer; `ratio` is its run time over the class's median."""
    requests = settings.requests
    health.failed_connections.clear()
    # Clipped so that one very long request does not eject a healthy target.
    clipped = min(ratio, 2 * requests.slow_ratio)
    health.run_time_ratio += requests.latency_weight * (
        clipped - health.run_time_ratio
    )
    health.samples += 1
    if now - health.returned_at > requests.ramp_s and not is_slow(
        settings, health
    ):
        health.consecutive_ejections = 0


def note_failure(health: Health, connection: int, now: float) -> None:
    """Records that the connection with id `connection` failed.

    Each id counts once, because a single silent connection does not show that
    the target fails.
    """
    health.failed_connections.add(connection)
    health.failed_at = now


def is_slow(settings: settings_module.Settings, health: Health) -> bool:
    """Tells whether the target is far slower than its classes usually are."""
    requests = settings.requests
    return (
        health.samples >= requests.slow_samples
        and health.run_time_ratio > requests.slow_ratio
    )


def should_eject(settings: settings_module.Settings, health: Health) -> bool:
    """Tells whether enough distinct connections failed or it is slow."""
    return len(
        health.failed_connections
    ) >= settings.requests.eject_failures or is_slow(settings, health)


def eject_target(
    settings: settings_module.Settings,
    health: Health,
    now: float,
    draw: Callable[[], float],
) -> None:
    """Ejects the target with exponential backoff and jitter.

    Args:
      settings: The settings.
      health: Changed in place.
      now: Monotonic time in seconds.
      draw: Returns a random number in [0, 1).
    """
    requests = settings.requests
    delay = min(
        requests.eject_max_s,
        requests.eject_base_s * 2**health.consecutive_ejections,
    )
    # Jitter keeps processes from returning to the target at the same time.
    delay *= 1.0 + requests.eject_jitter * (2.0 * draw() - 1.0)
    health.ejected_until = now + delay
    health.consecutive_ejections = min(health.consecutive_ejections + 1, 16)
    health.failed_connections.clear()
    health.run_time_ratio, health.samples = 1.0, 0


def is_ejected(health: Health, now: float) -> bool:
    """Tells whether the target is ejected; starts the ramp-up on its return."""
    if not health.ejected_until:
        return False
    if now < health.ejected_until:
        return True
    health.returned_at = health.ejected_until
    health.ejected_until = 0.0
    return False


def count_recent_failures(
    settings: settings_module.Settings, health: Health, now: float
) -> int:
    """Returns the number of failed connections; 0 if the last failure is old.

    A target that gets no work because of old failures could never show that it
    works again.
    """
    if now - health.failed_at >= settings.requests.eject_base_s:
        return 0
    return len(health.failed_connections)


def get_ramp_weight(
    settings: settings_module.Settings, health: Health, now: float
) -> float:
    """Returns the share of normal work: 0.1 on return, 1 after the ramp-up."""
    part = (now - health.returned_at) / settings.requests.ramp_s
    return min(1.0, max(0.1, part))
