"""Splits the time of a finished job into what each of its steps spent it on."""

from collections.abc import Iterable
import dataclasses

from plantainvane import events
from plantainvane import traces


@dataclasses.dataclass(slots=True)
class Breakdown:
    """Where the time of the last task of one step went, in seconds.

    Attributes:
      step: Name of the step: job id, occurrence and number.
      task: Name of its task that ended last.
      attempts: Number of attempts of that task.
      waited_s: Ready, until the start of an attempt was ordered.
      ordering_s: From then until the runner answered the order.
      restarted_s: Attempts that did not end as done.
      reasons: Why these ended, in order.
      paced_s: What pacing has cost the last attempt.
      slowed_for: Image of the serving task that it was last slowed for.
      worked_s: The rest of the last attempt.
      trailing_s: Time from the end of nine tenths of the tasks to the last end.
    """

    step: str
    task: str
    attempts: int = 0
    waited_s: float = 0.0
    ordering_s: float = 0.0
    restarted_s: float = 0.0
    reasons: tuple[str, ...] = ()
    paced_s: float = 0.0
    slowed_for: str = ""
    worked_s: float = 0.0
    trailing_s: float = 0.0


def split_job(lines: Iterable[traces.LogLine], job_id: str) -> list[Breakdown]:
    """Returns the breakdown of each step of a job of which a task has ended.

    Args:
      lines: Log lines of any processes, in any order.
      job_id: Id of the job.
    """
    tasks: dict[str, list[traces.LogLine]] = {}
    for line in sorted(lines, key=lambda line: line.timestamp_s):
        if line.subject.startswith(job_id + "."):
            tasks.setdefault(line.subject, []).append(line)
    steps: dict[str, list[tuple[float, str]]] = {}
    for name, found in tasks.items():
        ends = [line.timestamp_s for line in found if _is_done(line)]
        if ends:
            step = name.rpartition(".")[0]
            steps.setdefault(step, []).append((ends[-1], name))
    return [
        _split_step(step, sorted(ends), tasks)
        for step, ends in sorted(steps.items())
    ]


def _is_done(line: traces.LogLine) -> bool:
    return (
        line.number == events.TASK_ENDED.number
        and line.fields.get("how") == "done"
    )


def _split_step(
    step: str,
    ends: list[tuple[float, str]],
    tasks: dict[str, list[traces.LogLine]],
) -> Breakdown:
    last_at, task = ends[-1]
    nine_tenths_at, _ = ends[max(0, len(ends) * 9 // 10 - 1)]
    found = Breakdown(step, task, trailing_s=last_at - nine_tenths_at)
    reason = ""
    for line in tasks[task]:
        if line.number == events.TASK_ORDERED.number:
            found.attempts += 1
            found.waited_s += _read_s(line, "waited_ms")
            found.ordering_s += _read_s(line, "took_ms")
        elif line.number == events.TASK_STOPPED.number:
            reason = str(line.fields.get("reason", ""))
        elif line.number == events.TASK_LOST.number:
            found.reasons += (str(line.fields.get("reason", "")),)
        elif _is_done(line):
            found.paced_s = _read_s(line, "paced_ms")
            found.slowed_for = str(line.fields.get("slowed_for", ""))
            found.worked_s = _read_s(line, "ran_ms") - found.paced_s
        elif line.number == events.TASK_ENDED.number:
            found.restarted_s += _read_s(line, "ran_ms")
            found.reasons += (reason or str(line.fields.get("how", "")),)
            reason = ""
    return found


def _read_s(line: traces.LogLine, field: str) -> float:
    """Returns a field in milliseconds as seconds; 0 if it is not a number."""
    value = line.fields.get(field)
    return value / 1000 if isinstance(value, int | float) else 0.0


def format_breakdown(found: Breakdown) -> str:
    """Formats one step for reading, in seconds."""
    slowed_for = f" for {found.slowed_for}" if found.slowed_for else ""
    reasons = f" ({', '.join(found.reasons)})" if found.reasons else ""
    return (
        f"{found.step} last {found.task} attempts={found.attempts} "
        f"waited={found.waited_s:.3f} ordering={found.ordering_s:.3f} "
        f"worked={found.worked_s:.3f} paced={found.paced_s:.3f}{slowed_for} "
        f"restarted={found.restarted_s:.3f}{reasons} "
        f"trailing={found.trailing_s:.3f}"
    )
