"""Estimates of the actual run time and resource use of batch classes.

Commitments use declared sizes only; the estimates serve to rank workers and
tasks.
"""

import dataclasses

from plantainvane import documents
from plantainvane import resources
from plantainvane import settings as settings_module


@dataclasses.dataclass(slots=True)
class ClassEstimate:
    """Running means for one batch class.

    Ratios are measured over declared values, so that tasks of different
    declared sizes can be combined.

    Attributes:
      runs: Number of run times behind `run_ratio`.
      run_ratio: Mean ratio of the run time.
      samples: Number of usage samples behind the other ratios.
      processors_ratio: Mean ratio of the processors used.
      memory_ratio: Mean ratio of the memory used.
    """

    runs: float = 0.0
    run_ratio: float = 1.0
    samples: float = 0.0
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0


def note_run(
    settings: settings_module.Settings,
    estimate: ClassEstimate,
    declared_s: float,
    run_s: float,
) -> None:
    """Updates the estimate with a task that succeeded after `run_s` seconds."""
    weight = _compute_weight(settings, estimate.runs)
    estimate.runs += 1
    ratio = run_s / declared_s
    estimate.run_ratio += weight * (ratio - estimate.run_ratio)


def note_usage(
    settings: settings_module.Settings,
    estimate: ClassEstimate,
    declared: resources.Resources,
    processors: float,
    memory_bytes: int,
) -> None:
    """Updates the estimate with one usage sample of one attempt."""
    weight = _compute_weight(settings, estimate.samples)
    estimate.samples += 1
    used = processors * 1000 / max(declared.millis, 1)
    estimate.processors_ratio += weight * (used - estimate.processors_ratio)
    used = memory_bytes / max(declared.memory, 1)
    estimate.memory_ratio += weight * (used - estimate.memory_ratio)


def predict_run_time(
    estimate: ClassEstimate, batch_class: documents.BatchClass
) -> float:
    """Returns the expected run time in seconds."""
    return batch_class.expected_run_s * estimate.run_ratio


def predict_use(
    estimate: ClassEstimate, declared: resources.Resources
) -> resources.Resources:
    """Returns the expected actual use of a task of this declared size."""
    return resources.Resources(
        round(declared.millis * estimate.processors_ratio),
        round(declared.memory * estimate.memory_ratio),
        declared.accelerators,
    )


def _compute_weight(settings: settings_module.Settings, count: float) -> float:
    """Returns the weight of a new sample.

    The declared value counts as `prior_weight` samples.
    """
    tasks = settings.tasks
    return 1 / (1 + min(count + tasks.prior_weight, tasks.memory_samples))
