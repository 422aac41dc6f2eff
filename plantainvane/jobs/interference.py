"""Aggregate: which filling image disturbs which serving image, as learned.

A tail grows as the reciprocal of the capacity that is left, so tails are
turned into a pressure: 0 at the lowest tail seen, 1 where it has no bound.
Pressure is modelled as the task's own level, which follows its load, plus an
effect for each core that a filling image uses beside it. Effects are shared by
all tasks of an image and learned from every look with a Kalman filter of
diagonal covariance.
"""

import dataclasses
import math

from plantainvane.jobs import attempts
from plantainvane.jobs import runners as runners_module

# Variance of the noise of one pressure reading.
_MEASUREMENT_NOISE = 0.008
# Variance by which a level drifts between two looks, as its load changes.
_LEVEL_PROCESS_NOISE = 0.006
# Effects of image pairs before anything was seen, per core.
_PRIOR_EFFECT = 0.015
_PRIOR_VARIANCE = 0.006
# Effects change within seconds; this keeps the filter from settling.
_EFFECT_PROCESS_NOISE = 0.00001
_MAX_EFFECT = 0.5
_MAX_ERROR = 0.5
# Before a figure was seen: the lowest tail as a share of the target, and the
# pressure of a task.
_INITIAL_FLOOR = 0.4
_INITIAL_LEVEL = 0.4
# Share of a new slope that is taken over, and the longest time between two
# looks from which one is read.
_SLOPE_GAIN = 0.4
_MAX_SLOPE_INTERVAL_S = 2.0
# An effect that is not observed any more fades towards the prior, so that a
# wrong one is tried again.
_EFFECT_DECAY_S = 30.0
# Effects per core below this count as none.
MIN_EFFECT = 0.03
# A pair is known when its variance has shrunk to this share of the prior.
_KNOWN_VARIANCE_SHARE = 0.4
# A peak of the level is remembered this long, a period or two of its load.
_PEAK_DECAY_S = 20.0


@dataclasses.dataclass(slots=True)
class Effect:
    """Effect per core of a filling image, its uncertainty and its age."""

    value: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Fades an effect that was last observed some time ago."""
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
    """Pressure of one serving task without fills.

    Attributes:
      value: Present pressure.
      variance: Its uncertainty.
      slope: Change per second.
      peak: Highest recent value.
      updated_at: When it was last updated.
    """

    value: float = _INITIAL_LEVEL
    variance: float = 0.05
    slope: float = 0.0
    peak: float = _INITIAL_LEVEL
    updated_at: float = 0.0


@dataclasses.dataclass(slots=True)
class InterferenceModel:
    """What has been learned.

    Attributes:
      effects: By serving image and filling image.
      floors: Lowest tail over target of each serving image.
      levels: By attempt.
    """

    effects: dict[tuple[str, str], Effect] = dataclasses.field(
        default_factory=dict
    )
    floors: dict[str, float] = dataclasses.field(default_factory=dict)
    levels: dict[attempts.Run, Level] = dataclasses.field(default_factory=dict)

    def find_effect(self, serving: str, filling: str, now: float) -> float:
        """Effect per core of a filling image on a serving image."""
        effect = self.effects.get((serving, filling))
        if effect is None:
            return 0.0
        kept = math.exp(
            -max(0.0, now - effect.updated_at - 1) / _EFFECT_DECAY_S
        )
        value = _PRIOR_EFFECT + kept * (effect.value - _PRIOR_EFFECT)
        # Most pairs do not matter; small values are noise.
        return value if value >= MIN_EFFECT else 0.0

    def list_fill_images(self) -> set[str]:
        """Filling images of which something is known."""
        return {filling for _, filling in self.effects}

    def find_level(self, run: attempts.Run) -> Level:
        """Level of a serving task."""
        level = self.levels.get(run)
        if level is None:
            level = self.levels[run] = Level()
        return level

    def find_pressure_limit(self, image: str, share: float) -> float:
        """Pressure at which a tail is `share` of its target."""
        return 1 - self.floors.get(image, _INITIAL_FLOOR) / share

    def is_known(self, serving: str, filling: str) -> bool:
        """Tells whether a pair has been observed for a while."""
        effect = self.effects.get((serving, filling))
        return effect is not None and (
            effect.variance < _KNOWN_VARIANCE_SHARE * _PRIOR_VARIANCE
        )

    def export_effects(self, now: float) -> list[tuple[str, str, float]]:
        """Effects of known pairs, for a successor."""
        return [
            (serving, filling, round(effect.value, 4))
            for (serving, filling), effect in self.effects.items()
            if self.is_known(serving, filling)
            and now - effect.updated_at < _EFFECT_DECAY_S
        ]

    def import_effects(
        self, effects: list[tuple[str, str, float]], now: float
    ) -> None:
        """Takes over what an earlier owner learned."""
        for serving, filling, value in effects:
            self.effects[serving, filling] = Effect(
                value, _KNOWN_VARIANCE_SHARE * _PRIOR_VARIANCE / 2, now
            )

    def learn(self, runner: runners_module.Runner, now: float) -> None:
        """Learns from the figures of one look."""
        used: dict[str, float] = {}
        serving: list[attempts.Run] = []
        for run in runner.runs:
            if run.phase is not attempts.Phase.RUNNING:
                continue
            step = run.task.step.step
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
        step = run.task.step.step
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
        """Forgets the level of an attempt that has ended."""
        self.levels.pop(run, None)


def _update_level(level: Level, gain: float, error: float, now: float) -> None:
    elapsed = now - level.updated_at if level.updated_at else 0.0
    change = gain * error
    level.value += change
    level.variance *= 1 - gain
    if 0 < elapsed < _MAX_SLOPE_INTERVAL_S:
        slope = change / elapsed
        level.slope += _SLOPE_GAIN * (slope - level.slope)
    decay = math.exp(-elapsed / _PEAK_DECAY_S)
    level.peak = max(level.value, level.peak * decay)
    level.updated_at = now


def list_serving_runs(runner: runners_module.Runner) -> list[attempts.Run]:
    """Tasks of a runner that have a target."""
    return [run for run in runner.runs if run.task.step.step.target_ms]


def estimate_excess_pressure(
    learned: InterferenceModel,
    runner: runners_module.Runner,
    image: str,
    cores: float,
    share: float,
    now: float,
) -> float:
    """How far one more filling task would push the worst pressure too high.

    The limit is where a tail is `share` of its target at the peak of its load;
    0 or less means that every tail is expected to stay below it.
    """
    worst = -math.inf
    fills = [
        run.task.step.step for run in runner.runs if run.task.step.step.fills
    ]
    for run in list_serving_runs(runner):
        serving = run.task.step.step.image
        own = learned.find_effect(serving, image, now) * cores
        if own <= 0:
            continue
        limit = learned.find_pressure_limit(serving, share)
        total = learned.find_level(run).peak + own - limit
        total += (
            sum(
                learned.find_effect(serving, step.image, now) * step.amounts.cpu
                for step in fills
            )
            / 1000
        )
        worst = max(worst, min(total, own))
    return worst
