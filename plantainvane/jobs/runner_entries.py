"""Applies the entries of known runners."""

from plantainvane import events
from plantainvane.jobs import eligibility
from plantainvane.jobs import model
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
        owner.request_pass()
    before = runner.entry.capacity
    runner.entry, runner.listed, runner.entry_awaited = entry, True, False
    runner.evacuated = entry.domain in owner.evacuated
    if entry.capacity != before:
        _report_capacity(runner, before)
        owner.request_pass()


def announce(
    runner: runners_module.Runner, entry: model.RunnerEntry, now: float
) -> None:
    """Has a poll tell whether the incarnation of an entry is the present one.

    The entry may be of an earlier or a later one, or by another writer.
    """
    known = runner.announced
    if known is None or known.born_ms != entry.born_ms:
        runner.announced_at = now
    runner.announced = entry
    if entry.born_ms != runner.refuted_born_ms:
        runner.missed_life = True
        runner.require_poll()


def refute(runner: runners_module.Runner, sent_at: float) -> None:
    """Records that a poll sent at a time found the incarnation unchanged."""
    if sent_at <= runner.announced_at:
        return
    runner.missed_life = False
    if runner.announced is not None:
        runner.refuted_born_ms = runner.announced.born_ms


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
        exceeded=eligibility.exceeds_capacity(runner),
    )
