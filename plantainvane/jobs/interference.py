"""Model of the interference of fill images with serving images.

A tail latency grows as the reciprocal of the remaining capacity, so it is
converted to a pressure: 0 at the lowest tail latency seen, 1 where it becomes
unbounded. The pressure on a serving task is modelled as the task's own level,
which follows its load, plus an effect for each core that a fill image uses on
the same runner. Effects are shared by all tasks of an image and are learned
from every status report with a Kalman filter with diagonal covariance.
"""

import dataclasses
import math

from plantainvane.jobs import attempts
from plantainvane.jobs import runners as runners_module

# Variance of the noise of one pressure measurement.
_MEASUREMENT_NOISE = 0.008
# Variance that a level gains between two status reports, as its load changes.
_LEVEL_PROCESS_NOISE = 0.006
# Effect per core of an image pair, and its variance, before any observation.
_PRIOR_EFFECT = 0.015
_PRIOR_VARIANCE = 0.006
# Effects change within seconds; this process noise keeps the filter from
# converging to a fixed value.
_EFFECT_PROCESS_NOISE = 0.00001
_MAX_EFFECT = 0.5
_MAX_ERROR = 0.5
# Before any measurement: the lowest tail latency as a share of the target, and
# the pressure level of a task.
_INITIAL_FLOOR = 0.4
_INITIAL_LEVEL = 0.4
# Smoothing factor for a new slope, and the longest time between two status
# reports from which a slope is computed.
_SLOPE_GAIN = 0.4
_MAX_SLOPE_INTERVAL_S = 2.0
# Time constant with which an effect that is no longer observed decays towards
# the prior, so that a pair with a wrong estimate is tried again.
_EFFECT_DECAY_S = 30.0
# Smaller effects per core count as none.
MIN_EFFECT = 0.03
# An image pair is known once its variance has dropped below this share of the
# prior variance.
_KNOWN_VARIANCE_SHARE = 0.4
# Time constant with which the peak of a level decays: one or two periods of
# its load.
_PEAK_DECAY_S = 20.0


@dataclasses.dataclass(slots=True)
class Effect:
    """Estimated effect per core of a fill image on a serving image.

    Attributes:
      value: Pressure per core.
      variance: Variance of the estimate.
      updated_at: When it was last updated, in seconds; 0 if it never was.
    """

    value: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Moves an effect that was not observed lately towards the prior."""
        age_s = now - self.updated_at
        if self.updated_at and age_s > 1:
            kept = math.exp(-age_s / _EFFECT_DECAY_S)
            self.value = _PRIOR_EFFECT + kept * (self.value - _PRIOR_EFFECT)
            self.variance = _PRIOR_VARIANCE + kept * (
                self.variance - _PRIOR_VARIANCE
            )
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class Level:
    """Estimated pressure on one serving task without any fill task.

    Attributes:
      value: Present pressure.
      variance: Variance of the estimate.
      slope: Change of the pressure per second.
      peak: Highest recent value, which decays over time.
      updated_at: When it was last updated, in seconds; 0 if it never was.
    """

    value: float = _INITIAL_LEVEL
    variance: float = 0.05
    slope: float = 0.0
    peak: float = _INITIAL_LEVEL
    updated_at: float = 0.0


@dataclasses.dataclass(slots=True)
class InterferenceModel:
    """Learned effects of fill images and levels of serving tasks.

    Attributes:
      effects: Effects by serving image and fill image.
      floors: Lowest ratio of tail latency to target seen, by serving image.
      levels: Levels by attempt of a serving task.
    """

    effects: dict[tuple[str, str], Effect] = dataclasses.field(
        default_factory=dict
    )
    floors: dict[str, float] = dataclasses.field(default_factory=dict)
    levels: dict[attempts.Run, Level] = dataclasses.field(default_factory=dict)

    def find_effect(
        self, serving_image: str, fill_image: str, now: float
    ) -> float:
        """Returns the effect per core of a fill image on a serving image.

        It is decayed to `now`; 0 when it is unknown or below `MIN_EFFECT`.
        """
        effect = self.effects.get((serving_image, fill_image))
        if effect is None:
            return 0.0
        kept = math.exp(
            -max(0.0, now - effect.updated_at - 1) / _EFFECT_DECAY_S
        )
        value = _PRIOR_EFFECT + kept * (effect.value - _PRIOR_EFFECT)
        # Most pairs do not interfere; small values are noise.
        return value if value >= MIN_EFFECT else 0.0

    def list_fill_images(self) -> set[str]:
        """Returns the fill images with at least one estimated effect."""
        return {fill_image for _, fill_image in self.effects}

    def find_level(self, run: attempts.Run) -> Level:
        """Returns the level of a serving task, and adds it if it is new."""
        level = self.levels.get(run)
        if level is None:
            level = self.levels[run] = Level()
        return level

    def find_pressure_limit(self, image: str, share: float) -> float:
        """Returns the pressure at which a tail is `share` of its target."""
        return 1 - self.floors.get(image, _INITIAL_FLOOR) / share

    def is_known(self, serving_image: str, fill_image: str) -> bool:
        """Tells whether a pair has been observed often enough to be known."""
        effect = self.effects.get((serving_image, fill_image))
        return effect is not None and (
            effect.variance < _KNOWN_VARIANCE_SHARE * _PRIOR_VARIANCE
        )

    def export_effects(self, now: float) -> list[tuple[str, str, float]]:
        """Returns the effects of known pairs that were observed recently.

        Each is serving image, fill image and effect per core; a successor
        imports them.
        """
        return [
            (serving_image, fill_image, round(effect.value, 4))
            for (serving_image, fill_image), effect in self.effects.items()
            if self.is_known(serving_image, fill_image)
            and now - effect.updated_at < _EFFECT_DECAY_S
        ]

    def import_effects(
        self, effects: list[tuple[str, str, float]], now: float
    ) -> None:
        """Takes over the effects that an earlier owner exported."""
        for serving_image, fill_image, value in effects:
            self.effects[serving_image, fill_image] = Effect(
                max(0.0, min(_MAX_EFFECT, value)),
                _KNOWN_VARIANCE_SHARE * _PRIOR_VARIANCE / 2,
                now,
            )

    def learn(self, runner: runners_module.Runner, now: float) -> None:
        """Updates the model with the measurements of one status report."""
        used: dict[str, float] = {}
        serving: list[attempts.Run] = []
        for run in runner.runs:
            if run.phase is not attempts.Phase.RUNNING:
                continue
            step = run.task.step.definition
            if step.fills:
                used[step.image] = (
                    used.get(step.image, 0) + run.measurement / 1000
                )
            elif (
                step.target_ms
                and run.progress_percent >= 100
                and run.measurement > 0
            ):
                serving.append(run)
        for run in serving:
            self._learn_run(run, used, now)

    def _learn_run(
        self, run: attempts.Run, used: dict[str, float], now: float
    ) -> None:
        step = run.task.step.definition
        ratio = run.measurement / step.target_ms
        floor = min(self.floors.get(step.image, _INITIAL_FLOOR), ratio)
        self.floors[step.image] = floor
        level = self.find_level(run)
        level.variance += _LEVEL_PROCESS_NOISE
        for image in used:
            key = (step.image, image)
            if used[image] > 0:
                self.effects.setdefault(key, Effect()).decay(now)
        effects = [
            (self.effects[step.image, image], cores)
            for image, cores in used.items()
            if cores > 0
        ]
        expected = level.value + sum(e.value * cores for e, cores in effects)
        error = 1 - floor / ratio - expected
        error = max(-_MAX_ERROR, min(_MAX_ERROR, error))
        innovation_variance = _MEASUREMENT_NOISE + level.variance
        innovation_variance += sum(
            e.variance * cores * cores for e, cores in effects
        )
        _update_level(level, level.variance / innovation_variance, error, now)
        for effect, cores in effects:
            gain = effect.variance * cores / innovation_variance
            effect.value = max(
                0.0, min(_MAX_EFFECT, effect.value + gain * error)
            )
            effect.variance *= 1 - gain * cores
            effect.variance += _EFFECT_PROCESS_NOISE

    def forget_run(self, run: attempts.Run) -> None:
        """Removes the level of an attempt that has ended."""
        self.levels.pop(run, None)


def _update_level(level: Level, gain: float, error: float, now: float) -> None:
    elapsed_s = now - level.updated_at if level.updated_at else 0.0
    change = gain * error
    level.value += change
    level.variance *= 1 - gain
    if 0 < elapsed_s < _MAX_SLOPE_INTERVAL_S:
        slope = change / elapsed_s
        level.slope += _SLOPE_GAIN * (slope - level.slope)
    decay = math.exp(-elapsed_s / _PEAK_DECAY_S)
    level.peak = max(level.value, level.peak * decay)
    level.updated_at = now


def list_serving_runs(runner: runners_module.Runner) -> list[attempts.Run]:
    """Returns the attempts of serving tasks on a runner."""
    return [run for run in runner.runs if run.task.step.definition.target_ms]


def estimate_excess_pressure(
    interference_model: InterferenceModel,
    runner: runners_module.Runner,
    image: str,
    cores: float,
    share: float,
    now: float,
) -> float:
    """Estimates how far one more fill task would push pressure over the limit.

    The limit of a serving task is the pressure at which its tail latency is
    `share` of its target, at the peak of its load.

    Args:
      interference_model: Learned effects of fill images on serving images.
      runner: The runner that would start the fill task.
      image: Image of the fill task.
      cores: Processors of the fill task, in cores.
      share: Share of the target that tail latencies have to stay below.
      now: Present time, in seconds.

    Returns:
      The highest excess pressure of all serving tasks that the image disturbs;
      0 or less if every tail is expected to stay below its limit, negative
      infinity if the image disturbs none.
    """
    effects: dict[tuple[str, str], float] = {}
    rows = list_pressures(interference_model, runner, share, now, effects)
    return measure_excess(interference_model, rows, image, cores, now, effects)


def list_pressures(
    interference_model: InterferenceModel,
    runner: runners_module.Runner,
    share: float,
    now: float,
    effects: dict[tuple[str, str], float],
) -> list[tuple[str, float]]:
    """Returns image and present excess pressure of each serving task.

    Effects found are kept in `effects`, which is valid for one time.
    """
    fills = [
        run.task.step.definition
        for run in runner.runs
        if run.task.step.definition.fills
    ]
    rows = []
    for run in list_serving_runs(runner):
        image = run.task.step.definition.image
        limit = interference_model.find_pressure_limit(image, share)
        others = 0.0
        for step in fills:
            key = image, step.image
            if key not in effects:
                effects[key] = interference_model.find_effect(*key, now)
            others += effects[key] * step.amounts.cpu
        peak = interference_model.find_level(run).peak
        rows.append((image, peak - limit + others / 1000))
    return rows


def measure_excess(
    interference_model: InterferenceModel,
    rows: list[tuple[str, float]],
    image: str,
    cores: float,
    now: float,
    effects: dict[tuple[str, str], float],
) -> float:
    """Returns the highest excess pressure with one more fill task.

    `rows` is the result of `list_pressures`.
    """
    worst = -math.inf
    for serving_image, excess in rows:
        key = serving_image, image
        if key not in effects:
            effects[key] = interference_model.find_effect(*key, now)
        own = effects[key] * cores
        if own > 0:
            worst = max(worst, min(excess + own, own))
    return worst
