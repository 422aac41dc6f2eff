"""Aggregate: which filling image disturbs which serving image, as learned.

The logarithm of a serving task's tail is modelled as its own level, which
follows its load, plus an effect for each core that a filling image uses beside
it. Effects are shared by all tasks of an image and are learned from every look
with a Kalman filter of diagonal covariance.
"""

import dataclasses
import math

from plantainvane.jobs import book
from plantainvane.jobs import runners as runners_module

# Variance of the noise of one tail figure, in squared logarithms.
_NOISE = 0.12
# Variance of a task's own level, which follows its load within seconds.
_LEVEL_VARIANCE = 0.04
# Effects of image pairs before anything was seen, per core.
_PRIOR_EFFECT = 0.03
_PRIOR_VARIANCE = 0.03
# Effects change within seconds; this keeps the filter from settling.
_DRIFT = 0.0002
_LIMIT_EFFECT = 1.0
_LIMIT_ERROR = 1.2
_MIN_FIGURE = 0.5
# Level of a task before its first figure: a third of its target.
_FIRST_LEVEL = math.log(1 / 3)


@dataclasses.dataclass(slots=True)
class Effect:
    """Effect per core of a filling image, and its uncertainty."""

    value: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE


@dataclasses.dataclass(slots=True)
class Interference:
    """What has been learned.

    Attributes:
      effects: By serving image and filling image.
      levels: Logarithm of tail over target without fills, by attempt.
    """

    effects: dict[tuple[str, str], Effect] = dataclasses.field(
        default_factory=dict
    )
    levels: dict[book.Run, float] = dataclasses.field(default_factory=dict)

    def find_effect(self, serving: str, filling: str) -> float:
        """Effect per core of a filling image on a serving image."""
        effect = self.effects.get((serving, filling))
        return effect.value if effect is not None else _PRIOR_EFFECT

    def find_level(self, run: book.Run) -> float:
        """Logarithm of tail over target that a task has without fills."""
        return self.levels.get(run, _FIRST_LEVEL)

    def learn(self, runner: runners_module.Runner) -> None:
        """Learns from the figures of one look."""
        used: dict[str, float] = {}
        serving: list[book.Run] = []
        for run in runner.runs:
            if run.phase is not book.Phase.RUNNING:
                continue
            step = run.task.step.step
            if step.fills:
                used[step.image] = used.get(step.image, 0) + run.figure / 1000
            elif step.target_ms and run.percent >= 100 and run.figure > 0:
                serving.append(run)
        for run in serving:
            self._learn_run(run, used)

    def _learn_run(self, run: book.Run, used: dict[str, float]) -> None:
        step = run.task.step.step
        seen = math.log(max(run.figure, _MIN_FIGURE) / step.target_ms)
        level = self.find_level(run)
        effects = [
            (self.effects.setdefault((step.image, image), Effect()), cores)
            for image, cores in used.items()
            if cores > 0
        ]
        expected = level + sum(e.value * cores for e, cores in effects)
        error = max(-_LIMIT_ERROR, min(_LIMIT_ERROR, seen - expected))
        spread = _NOISE + _LEVEL_VARIANCE
        spread += sum(e.variance * cores * cores for e, cores in effects)
        self.levels[run] = level + error * _LEVEL_VARIANCE / spread * 2
        for effect, cores in effects:
            gain = effect.variance * cores / spread
            effect.value = max(
                0.0, min(_LIMIT_EFFECT, effect.value + gain * error)
            )
            effect.variance = effect.variance * (1 - gain * cores) + _DRIFT

    def forget_run(self, run: book.Run) -> None:
        """Forgets the level of an attempt that has ended."""
        self.levels.pop(run, None)


def list_serving(runner: runners_module.Runner) -> list[book.Run]:
    """Tasks of a runner that have a target."""
    return [run for run in runner.runs if run.task.step.step.target_ms]


def measure_excess(
    learned: Interference,
    runner: runners_module.Runner,
    image: str,
    cores: float,
    limit: float,
) -> float:
    """How far one more filling task would push the worst tail over `limit`.

    `limit` and the result are logarithms of tail over target; 0 or less means
    that every tail is expected to stay below the limit.
    """
    worst = -math.inf
    fills = [run for run in runner.runs if run.task.step.step.fills]
    for run in list_serving(runner):
        serving = run.task.step.step.image
        own = learned.find_effect(serving, image) * cores
        if own <= 0.01:
            # It hardly touches this task, whatever its tail is.
            continue
        total = learned.find_level(run) + own
        for fill in fills:
            step = fill.task.step.step
            total += (
                learned.find_effect(serving, step.image)
                * step.amounts.cpu
                / 1000
                * fill.pace
                / 100
            )
        worst = max(worst, min(total - limit, own))
    return worst
