"""Estimates the load of each serving step from the tails of its tasks.

The tasks of a step serve the same users, so one load is estimated for all of
them, with a Kalman filter for its value and slope. A task whose tail is higher
than that of the others shows interference rather than load.
"""

import dataclasses
import math

# Pressure of a step before any measurement, and the variances of that and of
# its slope per second.
INITIAL_LOAD = 0.4
_INITIAL_VARIANCE = 0.05
_INITIAL_SLOPE_VARIANCE = 0.02
# Variance that the slope gains a second, as the load swings within seconds.
_SLOPE_PROCESS_NOISE_PER_S = 0.05
# A load is extrapolated by its slope for this long at most.
_MAX_EXTRAPOLATION_S = 1.5


@dataclasses.dataclass(slots=True)
class StepLoad:
    """Estimated load of one serving step, as the pressure on its tasks.

    Attributes:
      value: Pressure at `updated_at`.
      slope: Change of the pressure per second.
      variance, covariance, slope_variance: Uncertainty of both.
      updated_at: Time of the last measurement, in seconds; 0 before the first.
    """

    value: float = INITIAL_LOAD
    slope: float = 0.0
    variance: float = _INITIAL_VARIANCE
    covariance: float = 0.0
    slope_variance: float = _INITIAL_SLOPE_VARIANCE
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        """Moves the estimate to the present time."""
        elapsed_s = now - self.updated_at if self.updated_at else 0.0
        self.updated_at = max(now, self.updated_at)
        if elapsed_s <= 0:
            return
        extrapolated_s = min(elapsed_s, _MAX_EXTRAPOLATION_S)
        self.value += self.slope * extrapolated_s
        if elapsed_s > _MAX_EXTRAPOLATION_S:
            self.slope = 0.0
        noise = _SLOPE_PROCESS_NOISE_PER_S
        variance = self.variance + 2 * extrapolated_s * self.covariance
        variance += extrapolated_s**2 * self.slope_variance
        self.variance = min(
            _INITIAL_VARIANCE, variance + noise * extrapolated_s**3 / 3
        )
        self.covariance += extrapolated_s * self.slope_variance
        self.covariance += noise * extrapolated_s**2 / 2
        self.slope_variance = min(
            _INITIAL_SLOPE_VARIANCE + noise,
            self.slope_variance + noise * extrapolated_s,
        )
        # Keeps the limited covariance matrix positive definite.
        largest = math.sqrt(self.variance * self.slope_variance)
        self.covariance = max(-largest, min(largest, self.covariance))

    def correct(self, error: float, innovation_variance: float) -> None:
        """Applies the error of a measurement, with its total variance."""
        gain = self.variance / innovation_variance
        slope_gain = self.covariance / innovation_variance
        self.value += gain * error
        self.slope += slope_gain * error
        self.slope_variance = max(
            0.0, self.slope_variance - slope_gain * self.covariance
        )
        self.covariance *= 1 - gain
        self.variance *= 1 - gain

    def predict(self, now: float, ahead_s: float) -> float:
        """Returns the highest pressure expected until `ahead_s` from now."""
        elapsed_s = max(0.0, now - self.updated_at) if self.updated_at else 0.0
        until_s = min(elapsed_s + ahead_s, _MAX_EXTRAPOLATION_S)
        return self.value + max(0.0, self.slope) * until_s
