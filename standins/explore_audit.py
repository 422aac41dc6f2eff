"""Checks of seeded runs that go beyond those of the soak's auditor."""

import collections
from collections.abc import Iterable

from standins import explore_fleet
from standins import soak_audit
from standins import soak_observations as observations_module

EARLY = "early"


def find_early_starts(
    steps: dict[str, tuple[explore_fleet.Step, ...]],
    events: Iterable[observations_module.RunnerEvent],
) -> list[soak_audit.Finding]:
    """Returns starts of tasks before all that their step depends on is done.

    Args:
      steps: Steps of each job, by its id.
      events: What happened at the runners, in the order of time.
    """
    done: dict[tuple[str, int], set[str]] = collections.defaultdict(set)
    findings = []
    for event in events:
        if event.kind not in ("start", "end"):
            continue
        job, _, step, _ = event.task.split(".")
        if event.kind == "end" and event.how == "done":
            done[job, int(step)].add(event.task)
        if event.kind != "start":
            continue
        for number in steps[job][int(step)].depends_on:
            left = steps[job][number].count - len(done[job, number])
            if left:
                text = (
                    f"{event.task}: {event.attempt} at {event.runner} while"
                    f" {left} tasks of step {number} are not done"
                )
                findings.append(soak_audit.Finding(EARLY, event.at, text))
    return findings
