"""Model of the interference of fill images with serving images.

A tail latency grows as the reciprocal of the remaining capacity, so it is
converted to a pressure: 0 at the lowest tail latency seen, 1 where it becomes
unbounded. The pressure on a serving task is modelled as the load of its step,
an offset of its own, and an effect for each core that a fill image uses on the
same runner. Effects are shared by all tasks of an image and are learned from
every status report with a Kalman filter without covariances between them.
"""

import dataclasses
import math

from plantainvane.jobs import attempts
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import serving_loads

# Effects are per core of a runner with this many cores, in thousandths. A core
# of a larger runner is a smaller part of what its tasks share.
_REFERENCE_CPU = 16_000
# A fill task is placed by the load that is expected for this long; pacing
# takes care of what follows.
PLACEMENT_AHEAD_S = 1.5
# Variance of the noise of one pressure measurement.
_MEASUREMENT_NOISE = 0.004
# Variance of the offset of a task from its step, and what an estimated one
# gains with each status report.
_OFFSET_VARIANCE = 0.006
_OFFSET_PROCESS_NOISE = 0.003
# Effect per core of an image pair, and its variance, before any observation.
_PRIOR_EFFECT = 0.015
_PRIOR_VARIANCE = 0.006
# Variance that an effect gains a second, as effects change within seconds.
_EFFECT_PROCESS_NOISE_PER_S = 0.0002
_MAX_EFFECT = 0.5
_MAX_ERROR = 0.5
# Before any measurement: the lowest tail latency as a share of the target.
_INITIAL_FLOOR = 0.4
# Measurements cover the last half second, so equal ones within this time are
# the same sample: a poll returns at each end of a task.
_SAMPLE_WINDOW_S = 0.5
# Time constant with which an effect that is no longer observed decays towards
# the prior, so that a pair with a wrong estimate is tried again.
_EFFECT_DECAY_S = 30.0
# Smaller effects per core are not worth keeping an image off a runner.
MIN_EFFECT = 0.03
# An image pair is known once its variance has dropped below this share of the
# prior variance.
_KNOWN_VARIANCE_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class Effect:
    """Estimated effect per core of a fill image on a serving image.

    Attributes:
      value: Pressure per core of a runner of the reference size.
      variance: Variance of the estimate.
      updated_at: When it was last updated, in seconds; 0 if it never was.
    """

    value: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE
    updated_at: float = 0.0

    def find_value(self, now: float) -> float:
        """Returns the value at the present time, without observations since."""
        unobserved_s = max(0.0, now - self.updated_at - 1)
        kept = math.exp(-unobserved_s / _EFFECT_DECAY_S)
        return _PRIOR_EFFECT + kept * (self.value - _PRIOR_EFFECT)

    def decay(self, now: float) -> None:
        """Moves an unobserved effect to the prior; others may have drifted."""
        age_s = now - self.updated_at
        if self.updated_at and age_s <= 1:
            drift = _EFFECT_PROCESS_NOISE_PER_S * max(0.0, age_s)
            self.variance = min(_PRIOR_VARIANCE, self.variance + drift)
        elif self.updated_at:
            kept = math.exp(-age_s / _EFFECT_DECAY_S)
            self.value = _PRIOR_EFFECT + kept * (self.value - _PRIOR_EFFECT)
            self.variance = _PRIOR_VARIANCE + kept * (
                self.variance - _PRIOR_VARIANCE
            )
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class Offset:
    """Estimated difference of a serving task's pressure from its step's load.

    Attributes:
      value: The difference.
      variance: Variance of the estimate.
    """

    value: float = 0.0
    variance: float = _OFFSET_VARIANCE


@dataclasses.dataclass(slots=True)
class Sample:
    """The last measurements of a runner.

    Attributes:
      measurements: Measurement by attempt.
      taken_at: When they were first reported.
    """

    measurements: dict[attempts.Run, float]
    taken_at: float


@dataclasses.dataclass(slots=True)
class Errors:
    """How far measurements were from what the model expected.

    Attributes:
      count: Number of measurements.
      total: Sum of the absolute errors, as pressures.
      missed: Measurements over target that were expected below it.
    """

    count: int = 0
    total: float = 0.0
    missed: int = 0

    def record(self, error: float, is_missed: bool) -> None:
        """Adds one measurement."""
        self.count += 1
        self.total += abs(error)
        self.missed += is_missed

    def find_mean(self) -> float:
        """Returns the mean absolute error."""
        return self.total / max(1, self.count)


@dataclasses.dataclass(slots=True)
class InterferenceModel:
    """Learned effects of fill images and levels of serving tasks.

    Attributes:
      effects: Effects by serving image and fill image.
      floors: Lowest ratio of tail latency to target seen, by serving image.
      loads: Load of each serving step.
      offsets: Offsets by attempt of a serving task.
      samples: Last measurements by runner id.
      errors: Errors since they were last reported.
    """

    effects: dict[tuple[str, str], Effect] = dataclasses.field(
        default_factory=dict
    )
    floors: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[attempts.StepState, serving_loads.StepLoad] = dataclasses.field(
        default_factory=dict
    )
    offsets: dict[attempts.Run, Offset] = dataclasses.field(
        default_factory=dict
    )
    samples: dict[str, Sample] = dataclasses.field(default_factory=dict)
    errors: Errors = dataclasses.field(default_factory=Errors)

    def find_effect(
        self, serving_image: str, fill_image: str, now: float
    ) -> float:
        """Returns the effect per core of a fill image on a serving image.

        It is decayed to `now`; 0 when it is unknown or below `MIN_EFFECT`.
        """
        effect = self.effects.get((serving_image, fill_image))
        if effect is None:
            return 0.0
        value = effect.find_value(now)
        # Most pairs do not interfere; small values are noise.
        return value if value >= MIN_EFFECT else 0.0

    def estimate_effect(
        self, serving_image: str, fill_image: str, now: float
    ) -> float:
        """Returns the best estimate of an effect, also of a small one.

        Small effects of several fill tasks add up. 0 when the pair is not known
        and the estimate is below `MIN_EFFECT`.
        """
        effect = self.effects.get((serving_image, fill_image))
        if effect is not None and self.is_known(serving_image, fill_image):
            return effect.find_value(now)
        return self.find_effect(serving_image, fill_image, now)

    def list_fill_images(self) -> set[str]:
        """Returns the fill images with at least one estimated effect."""
        return {fill_image for _, fill_image in self.effects}

    def predict_level(
        self, run: attempts.Run, now: float, ahead_s: float
    ) -> float:
        """Returns the highest pressure without fill tasks until `ahead_s`."""
        load = self.loads.get(run.task.step)
        if load is None:
            return serving_loads.INITIAL_LOAD
        return load.predict(now, ahead_s) + self._find_offset(run)

    def _find_offset(self, run: attempts.Run) -> float:
        offset = self.offsets.get(run)
        return 0.0 if offset is None else offset.value

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
        if self._is_repeated(runner, now):
            return
        used: dict[str, float] = {}
        serving: list[attempts.Run] = []
        scale = find_scale(runner)
        for run in runner.runs:
            if run.phase is not attempts.Phase.RUNNING:
                continue
            step = run.task.step.definition
            if step.fills:
                cores = run.measurement / 1000 * scale
                used[step.image] = used.get(step.image, 0) + cores
            elif (
                step.target_ms
                and run.progress_percent >= 100
                and run.measurement > 0
            ):
                serving.append(run)
        for run in serving:
            self._learn_run(run, used, now)

    def _is_repeated(self, runner: runners_module.Runner, now: float) -> bool:
        """Tells whether a report repeats the measurements of the last one.

        Learned again, they would count as the effect of what has started since.
        """
        measurements = {run: run.measurement for run in runner.runs}
        last = self.samples.get(runner.entry.id)
        if last is not None and now - last.taken_at < _SAMPLE_WINDOW_S:
            common = last.measurements.keys() & measurements.keys()
            if common and all(
                last.measurements[run] == measurements[run] for run in common
            ):
                last.measurements = measurements
                return True
        self.samples[runner.entry.id] = Sample(measurements, now)
        return False

    def _learn_run(
        self, run: attempts.Run, used: dict[str, float], now: float
    ) -> None:
        step = run.task.step.definition
        ratio = run.measurement / step.target_ms
        floor = min(self.floors.get(step.image, _INITIAL_FLOOR), ratio)
        self.floors[step.image] = floor
        load = self.loads.setdefault(run.task.step, serving_loads.StepLoad())
        load.advance(now)
        offset = self.offsets.setdefault(run, Offset())
        offset.variance = min(
            _OFFSET_VARIANCE, offset.variance + _OFFSET_PROCESS_NOISE
        )
        for image in used:
            key = (step.image, image)
            if used[image] > 0:
                self.effects.setdefault(key, Effect()).decay(now)
        effects = [
            (self.effects[step.image, image], cores)
            for image, cores in used.items()
            if cores > 0
        ]
        expected = load.value + offset.value
        expected += sum(e.value * cores for e, cores in effects)
        error = 1 - floor / ratio - expected
        self.errors.record(error, ratio > 1 and expected < 1 - floor)
        error = max(-_MAX_ERROR, min(_MAX_ERROR, error))
        variance = _MEASUREMENT_NOISE + load.variance + offset.variance
        variance += sum(e.variance * cores * cores for e, cores in effects)
        load.correct(error, variance)
        gain = offset.variance / variance
        offset.value += gain * error
        offset.variance *= 1 - gain
        for effect, cores in effects:
            gain = effect.variance * cores / variance
            effect.value = max(
                0.0, min(_MAX_EFFECT, effect.value + gain * error)
            )
            effect.variance *= 1 - gain * cores

    def forget_run(self, run: attempts.Run) -> None:
        """Removes the offset of an attempt that has ended."""
        self.offsets.pop(run, None)

    def forget_ended(self, runners: dict[str, runners_module.Runner]) -> None:
        """Removes what is kept of ended jobs and of runners that have left."""
        self.loads = {
            step: load
            for step, load in self.loads.items()
            if not step.job.ended
        }
        self.samples = {
            runner: sample
            for runner, sample in self.samples.items()
            if runner in runners
        }


def find_scale(runner: runners_module.Runner) -> float:
    """Returns by what the effect per core differs on a runner of this size."""
    return _REFERENCE_CPU / max(1, runner.entry.capacity.cpu)


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
    `share` of its target, under the load expected for `PLACEMENT_AHEAD_S`.

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
    cores *= find_scale(runner)
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
                effects[key] = interference_model.estimate_effect(*key, now)
            others += effects[key] * step.amounts.cpu
        level = interference_model.predict_level(run, now, PLACEMENT_AHEAD_S)
        others *= find_scale(runner) / 1000
        rows.append((image, level - limit + others))
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

    `rows` is the result of `list_pressures`; `cores` are those of the fill
    task, scaled by `find_scale`.
    """
    worst = -math.inf
    for serving_image, excess in rows:
        key = serving_image, image
        if key not in effects:
            effects[key] = interference_model.estimate_effect(*key, now)
        own = effects[key] * cores
        if effects[key] >= MIN_EFFECT:
            worst = max(worst, min(excess + own, own))
    return worst
