"""Decides which task crashed a runner, and when to give such a task up.

A crash of a runner is blamed on the attempts that had been started there
shortly before. They are suspects; the others are bystanders. The next attempt
of a suspect is a trial (`trials`). A task that survives it is not a suspect any
more.
"""

from collections.abc import Collection
from collections.abc import Iterable

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import trials

# A runner is back some seconds after a crash. An attempt that an earlier owner
# started longer than this before the next life of its runner is a bystander. So
# is one that seems to have been started as long after it: the times are of two
# clocks, which disagree, and its age is not known.
_INHERITED_WINDOW_MS = 10_000
# Runners that went down within this time of each other may have a common cause,
# and do so if this many others went down.
_COMMON_CAUSE_S = 0.12
_COMMON_CAUSE_RUNNERS = 2
# A runner that is polled is heard, or found silent, within this time.
_LONGEST_LOOK_S = 3.0
# Polls of a runner follow each other within this time, unless ends are being
# stored. What ends in a longer pause may be lost unread with the runner.
_LONGEST_PAUSE_S = 0.2
# Proved crashes after which a task is given up, if they hit two machines and it
# was the only suspect of one of them. One more if it was not seen on so many.
_LIMIT = 2
_LONG_RUNNING_LIMIT = 3
# While runners crash for other reasons no task is given up before this many
# crashes: two by chance are to be expected then, as many tasks start.
_CRASHING_LIMIT = 3
# Crashes for other reasons are counted over this time before the last crash.
_CRASHES_COUNTED_S = 20.0
# They are frequent if more of the starts of sound tasks than this share are
# followed by one within the time in which a task is blamed.
_CHANCE_LIMIT = 0.002
# Proved crashes that are enough without an only suspect; those of a
# long-running task still have to hit two machines.
_PROVED_LIMIT = 4
# Crashes that are enough in any case, of a long-running task if all are proved,
# of another one if `_LIMIT` of them are.
MAX_CRASHES = 5


def _is_suspect(
    run: attempts.Run, runner_up_at: float, until_ms: int | None
) -> bool:
    """Tells whether an attempt may have crashed its runner.

    Args:
      run: The attempt.
      runner_up_at: When its runner was last known to be up.
      until_ms: Unix milliseconds by which the runner had crashed. It is used
        for an attempt that an earlier owner ordered.
    """
    if run.survived:
        return False
    if run.sent_at:
        return (
            not run.start_answered
            or run.sent_at > runner_up_at - trials.SUSPECT_WINDOW_S
        )
    if run.ordered_at or not run.ordered_ms or until_ms is None:
        return False
    return abs(until_ms - run.ordered_ms) < _INHERITED_WINDOW_MS


def _list_suspects(
    runner: runners_module.Runner, until_ms: int | None = None
) -> list[attempts.Run]:
    if runner.entry.draining:
        # It was about to leave.
        return []
    return [r for r in runner.runs if _is_suspect(r, runner.up_at, until_ms)]


def _name_unit(run: attempts.Run) -> str:
    """Returns the name of what starts as a whole: a task, or a gang."""
    step = run.task.step
    if step.definition.gang:
        return f"{step.job.job.id}.{step.occurrence}.{step.number}"
    return run.task.name


def mark_down(runner: runners_module.Runner, now: float) -> None:
    """Records when a runner stopped answering, to find a common cause.

    A runner that this owner has never heard may have been down for long.
    """
    if runner.answered_at <= runner.born_at:
        return
    runner.down_from, runner.down_at = min(runner.up_at, now), now
    suspects = _list_suspects(runner)
    runner.suspected = frozenset(map(_name_unit, suspects))
    runner.down_in_trial = len(runner.suspected) == 1 and all(
        run.task.crashes for run in suspects
    )


def _was_polled(runner: runners_module.Runner) -> bool:
    """Tells whether a runner was polled when it went down.

    An idle runner is not, so it may have gone down at any time since its last
    answer.
    """
    return runner.down_at - runner.down_from <= _LONGEST_LOOK_S


def _has_common_cause(
    runner: runners_module.Runner,
    unit: str,
    runners: Iterable[runners_module.Runner],
) -> bool:
    """Tells whether other runners went down at the same time without `unit`.

    A runner that went down in a trial does not count: its suspect explains it,
    and several trials may start in one pass.
    """
    others = [
        other
        for other in runners
        if other is not runner
        and other.down_at > 0
        and not other.entry.draining
        and not other.down_in_trial
        and (_was_polled(other) or not _was_polled(runner))
        and unit not in other.suspected
        and other.down_from <= runner.down_at + _COMMON_CAUSE_S
        and other.down_at >= runner.down_from - _COMMON_CAUSE_S
    ]
    return len(others) >= _COMMON_CAUSE_RUNNERS or any(
        not other.suspected for other in others
    )


def _was_seen(runner: runners_module.Runner, run: attempts.Run) -> bool:
    """Tells whether an attempt is known to have run as its runner went down.

    A poll that was under way would have listed its end.
    """
    listed_at = max(runner.answered_at, run.sent_at)
    return (
        run.start_answered and runner.polled_at - listed_at <= _LONGEST_PAUSE_S
    )


def blame_crash(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    evidence: str,
    until_ms: int,
    spared: Collection[attempts.Run] = (),
) -> None:
    """Marks the suspects among the attempts on a runner that has crashed.

    The crash counts once the attempt is known to have ended.

    Args:
      owner: The owner.
      runner: The runner.
      evidence: What shows the crash; empty if only its leases have expired.
      until_ms: Unix milliseconds by which it had crashed.
      spared: Attempts that the next incarnation runs.
    """
    suspects = [
        run for run in _list_suspects(runner, until_ms) if run not in spared
    ]
    units = set(map(_name_unit, suspects))
    for run in suspects:
        if run.crash is not None and (run.crash.confirmed or not evidence):
            continue
        # The time of a crash that an earlier owner saw is not known.
        shared = run.sent_at > 0 and _has_common_cause(
            runner, _name_unit(run), owner.runners.values()
        )
        run.crash = model.Crash(
            run.runner,
            run.born_ms,
            run.place,
            alone=len(units) == 1 and run.sent_at > 0 and not shared,
            shared=shared,
            confirmed=bool(evidence),
            unseen=not _was_seen(runner, run),
        )
    if evidence and not runner.entry.draining:
        _note_crash(owner, runner, suspects)
        _report_crash(owner, runner, evidence, suspects)


def _note_crash(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    suspects: list[attempts.Run],
) -> None:
    """Notes a proved crash, to tell how often runners crash.

    It is reported again for the attempts whose leases expire later.
    """
    if runner.suspected and not suspects:
        # The attempts that it may be the fault of were dropped before.
        return
    known = owner.table.runner_crashes
    noted = known.setdefault(
        (runner.entry.id, runner.entry.born_ms),
        attempts.RunnerCrash(
            runner.entry.id, max(runner.down_at, runner.up_at), set()
        ),
    )
    noted.suspects.update((run.task.name, run.born_ms) for run in suspects)
    latest = max(crash.at for crash in known.values())
    owner.table.runner_crashes = {
        life: crash
        for life, crash in known.items()
        if latest - crash.at <= _CRASHES_COUNTED_S
    }


def _may_explain(
    owner: state_module.Owner, name: str, runner: str, born_ms: int
) -> bool:
    """Tells whether the crash of a runner may still be the fault of a suspect.

    It is not if the task has survived a later start, or has ended by itself.
    """
    task = owner.table.tasks.get(name)
    if task is None:
        job = owner.table.jobs.get(name.partition(".")[0])
        return job is None or job.ended not in ("", "completed")
    found = (*task.crashes, *(run.crash for run in task.runs if run.crash))
    return any((c.runner, c.born_ms) == (runner, born_ms) for c in found)


def are_runners_crashing(owner: state_module.Owner) -> bool:
    """Tells whether runners crash often that no task may have crashed."""
    others = [
        crash
        for crash in owner.table.runner_crashes.values()
        if not any(
            _may_explain(owner, name, crash.runner, born_ms)
            for name, born_ms in crash.suspects
        )
    ]
    runner_seconds = len(owner.runners) * _CRASHES_COUNTED_S
    chance = len(others) * trials.SUSPECT_WINDOW_S / max(1.0, runner_seconds)
    return chance > _CHANCE_LIMIT


def _report_crash(
    owner: state_module.Owner,
    runner: runners_module.Runner,
    evidence: str,
    suspects: list[attempts.Run],
) -> None:
    metrics.RUNNER_CRASHES.inc()
    events.log_event(
        events.RUNNER_CRASHED,
        runner=runner.entry.id,
        evidence=evidence,
        runs=len(runner.runs),
        suspects=[run.task.name for run in suspects],
        ages_ms=[
            int((runner.up_at - run.sent_at) * 1000) if run.sent_at else None
            for run in suspects
        ],
        shared=sum(r.crash is not None and r.crash.shared for r in suspects),
        epoch=owner.epoch,
    )


def blame_earlier_life(runner: runners_module.Runner) -> None:
    """Marks attempts of earlier owners that an earlier life had started."""
    for run in runner.runs:
        if run.born_ms and run.born_ms != runner.entry.born_ms:
            blame_inherited(run, runner.entry.born_ms, True)


def blame_inherited(run: attempts.Run, until_ms: int, confirmed: bool) -> None:
    """Marks an attempt of an earlier owner if it may have crashed its runner.

    Args:
      run: The attempt.
      until_ms: Unix milliseconds by which the runner had crashed.
      confirmed: A later life of the runner is known.
    """
    if run.ordered_at or run.crash is not None:
        return
    if _is_suspect(run, 0.0, until_ms):
        run.crash = model.Crash(
            run.runner,
            run.born_ms,
            run.place,
            confirmed=confirmed,
            unseen=not run.start_answered,
        )


def blame_unanswered(runner: runners_module.Runner, run: attempts.Run) -> None:
    """Marks an attempt whose unanswered start may have crashed its runner.

    A later try has reached another life at the address of the runner.
    """
    if not runner.entry.draining:
        run.crash = model.Crash(
            run.runner, run.born_ms, run.place, confirmed=True, unseen=True
        )


def count_crash(
    owner: state_module.Owner, run: attempts.Run, wall_ms: int
) -> None:
    """Counts the crash that is blamed on an attempt which has ended.

    `wall_ms` is the present time, Unix milliseconds.
    """
    crash, run.crash = run.crash, None
    if crash is None:
        return
    owner.table.record_crash(run.task, crash)
    _give_up_if_due(owner, run.task, wall_ms)


def settle_doubts(
    owner: state_module.Owner, runner: runners_module.Runner, wall_ms: int
) -> None:
    """Decides unconfirmed crashes, as the runner has answered a poll.

    A crash is confirmed by another life of its machine, and is withdrawn if the
    same life answers, which had only been out of reach.
    """
    for task in list(owner.table.suspects.values()):
        for crash in task.crashes:
            if crash.confirmed:
                continue
            if is_same_life(crash.runner, crash.born_ms, runner.entry):
                owner.table.withdraw_crash(task, crash)
            elif is_later_life(
                crash.runner, crash.born_ms, crash.place, runner.entry
            ):
                owner.table.confirm_crash(task, crash)
                _give_up_if_due(owner, task, wall_ms)


def is_same_life(runner: str, born_ms: int, entry: model.RunnerEntry) -> bool:
    """Tells whether an entry is that of a given life."""
    return runner == entry.id and born_ms == entry.born_ms


def is_later_life(
    runner: str, born_ms: int, place: str, entry: model.RunnerEntry
) -> bool:
    """Tells whether an entry is that of a later life of the same machine."""
    if runner == entry.id:
        return born_ms != entry.born_ms
    return (
        place == runners_module.find_place(entry) and born_ms <= entry.born_ms
    )


def find_later_life(
    runner: runners_module.Runner, runners: Iterable[runners_module.Runner]
) -> runners_module.Runner | None:
    """Finds a later life of the machine of a silent runner.

    It has answered later than the silent runner. At the same address, that
    shows that no process of the earlier life has the address.
    """
    entry = runner.entry
    for other in runners:
        if (
            other is not runner
            and other.entry.id != entry.id
            and other.fenced
            and not other.silent
            and other.answered_at > runner.up_at
            and is_later_life(
                entry.id,
                entry.born_ms,
                runners_module.find_place(entry),
                other.entry,
            )
        ):
            return other
    return None


def is_to_be_given_up(task: attempts.Task) -> bool:
    """Tells whether a task has crashed as many runners as it may."""
    unshared = [crash for crash in task.crashes if not crash.shared]
    proved = [crash for crash in unshared if crash.confirmed]
    long_running = task.step.definition.long_running
    if not long_running and len(unshared) >= MAX_CRASHES:
        return len(proved) >= _LIMIT
    if len(proved) >= MAX_CRASHES:
        return True
    machines = len({crash.place for crash in proved})
    if machines < 2 and (long_running or len(proved) < _PROVED_LIMIT):
        return False
    if len(proved) >= _PROVED_LIMIT:
        return True
    limit = _LONG_RUNNING_LIMIT if long_running else _LIMIT
    if sum(not crash.unseen for crash in proved) < limit:
        # An attempt that was not seen there may have ended before the crash, or
        # never have started.
        limit += 1
    return len(proved) >= limit and any(crash.alone for crash in proved)


def _give_up_if_due(
    owner: state_module.Owner, task: attempts.Task, wall_ms: int
) -> None:
    if task.job.ended or not is_to_be_given_up(task):
        return
    if len(task.crashes) < _CRASHING_LIMIT and are_runners_crashing(owner):
        return
    metrics.TASKS_GIVEN_UP.inc()
    events.log_event(
        events.TASK_GIVEN_UP,
        task=task.name,
        attempt=task.attempt,
        crashes=[
            {
                "runner": crash.runner,
                "place": crash.place,
                "alone": crash.alone,
                "shared": crash.shared,
                "confirmed": crash.confirmed,
                "unseen": crash.unseen,
            }
            for crash in task.crashes
        ],
        long_running=task.step.definition.long_running,
        epoch=owner.epoch,
    )
    owner.table.give_up(task, wall_ms)
    owner.request_pass()


def record_survival(
    owner: state_module.Owner,
    run: attempts.Run,
    seen_at: float,
    wall_ms: int,
) -> None:
    """Clears a task whose attempt is listed some time after its start.

    The age of an attempt that an earlier owner ordered is known from the time
    of day, as far as the clocks of both agree.

    Args:
      owner: The owner.
      run: An attempt that a poll has listed.
      seen_at: When the poll was sent.
      wall_ms: Present time, Unix milliseconds.
    """
    if run.survived:
        return
    age_s = seen_at - (run.sent_at or run.running_since)
    if not run.sent_at and run.ordered_ms:
        age_s = max(age_s, (wall_ms - run.ordered_ms) / 1000)
    if age_s >= trials.SUSPECT_WINDOW_S:
        run.survived = True
        owner.table.clear_crashes(run.task)
