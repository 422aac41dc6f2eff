"""Applies the entry of a runner's present incarnation."""

from plantainvane import events
from plantainvane.jobs import model
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module


def adopt(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    entry: model.RunnerEntry,
) -> None:
    """Replaces the entry of a runner; the runner counts as listed."""
    if entry.draining and not runner.entry.draining:
        events.log_event(
            events.RUNNER_DRAINING, runner=entry.id, runs=len(runner.runs)
        )
    before = runner.entry.capacity
    runner.entry, runner.listed, runner.entry_awaited = entry, True, False
    if entry.capacity != before:
        _report_capacity(runner, before)
        owner.request_pass()


def _report_capacity(
    runner: runners_module.Runner, before: model.Amounts
) -> None:
    after = runner.entry.capacity
    events.log_event(
        events.RUNNER_CAPACITY_CHANGED,
        runner=runner.entry.id,
        before_cpu=before.cpu,
        before_memory_mb=before.memory_mb,
        before_accelerators=before.accelerators,
        cpu=after.cpu,
        memory_mb=after.memory_mb,
        accelerators=after.accelerators,
        charged_cpu=runner.cpu,
        charged_memory_mb=runner.memory_mb,
        charged_accelerators=runner.accelerators,
        runs=len(runner.runs),
        exceeded=placement.exceeds_capacity(runner),
    )
