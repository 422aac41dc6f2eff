"""Finds attempts that are charged to no runner, which nothing would end."""

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import state as state_module

# Names in one log line.
_MAX_NAMED = 5


def list_uncharged(owner: state_module.Owner) -> list[attempts.Run]:
    """Returns attempts of open tasks that belong to no runner."""
    in_doubt = {run for runs in owner.orphans.values() for run in runs}
    return [
        run
        for task in owner.table.tasks.values()
        for run in task.runs
        if run not in in_doubt and not _is_charged(owner, run)
    ]


def _is_charged(owner: state_module.Owner, run: attempts.Run) -> bool:
    runner = owner.runners.get(run.runner)
    return runner is not None and run in runner.runs


def report_uncharged(owner: state_module.Owner) -> None:
    """Logs attempts that are charged to no runner, if there are any."""
    found = list_uncharged(owner)
    if found:
        events.log_event(
            events.ATTEMPTS_UNCHARGED,
            count=len(found),
            tasks=[run.task.name for run in found[:_MAX_NAMED]],
            attempts=[run.attempt for run in found[:_MAX_NAMED]],
            runners=[run.runner for run in found[:_MAX_NAMED]],
            epoch=owner.epoch,
        )
