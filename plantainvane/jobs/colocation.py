"""Reports how fill tasks and serving tasks on the same runners fare.

Once a second one line sums up all runners; each halt of a fill task has a line
of its own, up to a limit.
"""

from collections.abc import Iterable
import dataclasses

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import metrics
from plantainvane.jobs import runners as runners_module

# Most lines about halts between two summaries; the others are counted.
_MAX_HALT_LINES = 10


@dataclasses.dataclass(slots=True)
class Report:
    """What is kept between two summaries.

    Attributes:
      halts: Fill tasks that were halted since the last one.
      summarized_at: Time of the last summary, or None before the first.
    """

    halts: int = 0
    summarized_at: float | None = None


@dataclasses.dataclass(slots=True)
class _Sums:
    """Sums over all runners.

    Attributes:
      serving, fills: Attempts at work.
      over_target: Serving tasks whose tail exceeds the target.
      over_beside_fills: Those beside fill tasks that are not halted.
      paced, halted: Fill tasks below full speed, and at none.
      lost_cores: Processors that pacing withholds.
      worst: The serving task that exceeds its target most, or None.
    """

    serving: int = 0
    fills: int = 0
    over_target: int = 0
    over_beside_fills: int = 0
    paced: int = 0
    halted: int = 0
    lost_cores: float = 0.0
    worst: attempts.Run | None = None

    def add_fill(self, run: attempts.Run) -> None:
        """Adds a fill task that is at work."""
        self.fills += 1
        self.paced += run.pace_percent < 100
        self.halted += run.pace_percent == 0
        cpu = run.task.step.definition.amounts.cpu
        self.lost_cores += cpu / 1000 * (1 - run.pace_percent / 100)

    def add_serving(self, run: attempts.Run, beside_fills: bool) -> None:
        """Adds a serving task that is at work."""
        self.serving += 1
        if run.measurement <= run.task.step.definition.target_ms:
            return
        self.over_target += 1
        self.over_beside_fills += beside_fills
        if self.worst is None or _find_ratio(run) > _find_ratio(self.worst):
            self.worst = run


def report_halt(
    report: Report,
    epoch: int,
    runner: runners_module.Runner,
    run: attempts.Run,
    now: float,
) -> None:
    """Logs that a fill task has been halted, and for which serving task."""
    report.halts += 1
    metrics.FILL_HALTS.inc()
    if report.halts > _MAX_HALT_LINES:
        return
    serving = max(
        (
            other
            for other in interference.list_serving_runs(runner)
            if other.task.step.definition.image == run.slowed_for
        ),
        key=_find_ratio,
        default=None,
    )
    events.log_event(
        events.FILL_HALTED,
        task=run.task.name,
        attempt=run.attempt,
        runner=runner.entry.id,
        image=run.task.step.definition.image,
        slowed_for=run.slowed_for,
        serving_task=None if serving is None else serving.task.name,
        tail_ms=None if serving is None else serving.measurement,
        look_age_ms=int((now - runner.answered_at) * 1000),
        lost_ms=int(run.measure_lost_s(now) * 1000),
        epoch=epoch,
    )


def summarize(
    report: Report,
    epoch: int,
    model: interference.InterferenceModel,
    runners: Iterable[runners_module.Runner],
    now: float,
) -> None:
    """Logs the sums over all runners, and begins the next summary."""
    sums = _sum_up(runners)
    errors, model.errors = model.errors, interference.Errors()
    metrics.SERVING_OVER_TARGET.set(sums.over_target)
    metrics.FILL_CORES_WITHHELD.set(sums.lost_cores)
    if report.summarized_at is not None and (sums.serving or sums.fills):
        worst = sums.worst
        step = worst.task.step.definition if worst else None
        events.log_event(
            events.COLOCATION,
            serving=sums.serving,
            over_target=sums.over_target,
            over_beside_fills=sums.over_beside_fills,
            fills=sums.fills,
            paced=sums.paced,
            halted=sums.halted,
            halts=report.halts,
            lost_cores=round(sums.lost_cores, 1),
            samples=errors.count,
            error=round(errors.find_mean(), 3),
            missed=errors.missed,
            worst_task=worst.task.name if worst else None,
            worst_runner=worst.runner if worst else None,
            worst_tail_ms=worst.measurement if worst else None,
            worst_target_ms=step.target_ms if step else None,
            epoch=epoch,
        )
    report.summarized_at, report.halts = now, 0


def _sum_up(runners: Iterable[runners_module.Runner]) -> _Sums:
    sums = _Sums()
    for runner in runners:
        beside_fills = False
        serving = []
        for run in runner.runs:
            if run.phase is not attempts.Phase.RUNNING:
                continue
            step = run.task.step.definition
            if step.fills:
                sums.add_fill(run)
                beside_fills = beside_fills or run.pace_percent > 0
            elif step.target_ms:
                serving.append(run)
        for run in serving:
            sums.add_serving(run, beside_fills)
    return sums


def _find_ratio(run: attempts.Run) -> float:
    return run.measurement / run.task.step.definition.target_ms
