"""Additive model of how batch classes slow services on the same worker.

The ratio of a service's p99 latency to its target is modelled as a base value
of the service plus one effect per batch attempt on the worker, which depends
on the pair (service class, batch class). Each usage sample lists the attempts
that ran when it was taken, and the prediction error is divided among these.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any

from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class Mean:
    """A running mean with its number of samples, which is capped."""

    value: float = 0.0
    samples: float = 0.0

    def add(self, value: float, limit: float) -> None:
        """Adds a sample.

        After `limit` samples, each new one has the weight 1 / `limit`, so that
        the newest dominate.
        """
        self.samples = min(self.samples + 1, limit)
        self.value += (value - self.value) / self.samples


@dataclasses.dataclass(slots=True)
class Model:
    """Learned parameters of the model.

    Attributes:
      bases: Ratio without batch work, by service class.
      pairs: Effect of one attempt, by (service class, batch class).
      priors: Effect of one attempt on any service, by batch class.
    """

    bases: dict[str, Mean] = dataclasses.field(default_factory=dict)
    pairs: dict[tuple[str, str], Mean] = dataclasses.field(default_factory=dict)
    priors: dict[str, Mean] = dataclasses.field(default_factory=dict)


def predict_effect(
    settings: settings_module.Settings,
    model: Model,
    service: str,
    batch_class: str,
) -> float:
    """Returns the effect of one more attempt, shrunk towards its prior."""
    weight = settings.tasks.prior_weight
    prior = model.priors.get(batch_class)
    shrunk = 0.0
    if prior is not None:
        # The prior itself is shrunk towards 0: an unseen class has no effect.
        shrunk = prior.value * prior.samples / (prior.samples + weight)
    pair = model.pairs.get((service, batch_class))
    if pair is None:
        return shrunk
    total = pair.value * pair.samples + shrunk * weight
    return total / (pair.samples + weight)


def predict_ratio(
    settings: settings_module.Settings,
    model: Model,
    service: str,
    running: Mapping[str, int],
) -> float:
    """Returns the predicted ratio of p99 to target of a service.

    `running` holds the number of attempts beside it by batch class.
    """
    base = model.bases.get(service)
    ratio = base.value if base is not None else 0.0
    for batch_class, count in running.items():
        ratio += count * predict_effect(settings, model, service, batch_class)
    return ratio


def note_sample(
    settings: settings_module.Settings,
    model: Model,
    service: str,
    ratio: float,
    running: Mapping[str, int],
) -> None:
    """Updates the model from one sample of one service.

    Args:
      settings: Settings of the process.
      model: Updated in place.
      service: Service class that was measured.
      ratio: Its p99 latency divided by its latency target.
      running: Attempts by batch class when the sample was taken.
    """
    limit = float(settings.tasks.memory_samples)
    base = model.bases.setdefault(service, Mean())
    present = {name: count for name, count in running.items() if count > 0}
    if not present:
        base.add(ratio, limit)
        return
    if base.samples == 0:
        # There is no sample without batch work yet; use the lowest ratio.
        base.value = min(base.value or ratio, ratio)
    effects = {
        name: predict_effect(settings, model, service, name) for name in present
    }
    expected = base.value + sum(
        effects[name] * count for name, count in present.items()
    )
    error = ratio - expected
    squared_counts = sum(count * count for count in present.values())
    for name, count in present.items():
        value = effects[name] + error * count / squared_counts
        pair = model.pairs.setdefault((service, name), Mean())
        pair.add(value, limit)
        model.priors.setdefault(name, Mean()).add(value, limit)


def dump_model(model: Model) -> dict[str, Any]:
    """Returns the learned effects as JSON-ready values, strongest first."""
    strongest = sorted(
        model.pairs.items(), key=lambda item: -abs(item[1].value)
    )
    return {
        "bases": {
            service: round(base.value, 3)
            for service, base in list(model.bases.items())[:100]
        },
        "pairs": {
            f"{service}/{batch_class}": {
                "effect": round(mean.value, 3),
                "samples": mean.samples,
            }
            for (service, batch_class), mean in strongest[:100]
        },
    }
