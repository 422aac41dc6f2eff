"""Starts tasks that may crash their runners apart from other attempts.

The next attempt of a suspect is a trial: nothing else starts on its runner
until it has run for long enough, so that a second crash separates the suspects.
"""

from plantainvane.jobs import attempts
from plantainvane.jobs import runners as runners_module

# An attempt that was started this long before its runner was last known to be
# up is a bystander.
SUSPECT_WINDOW_S = 1.0
# A suspect waits this long for a runner where it can start apart from others; a
# long-running one is to run again within 3 s.
TRIAL_WAIT_S = 4.0
LONG_RUNNING_TRIAL_WAIT_S = 2.0
# A runner that is kept for a trial is kept for this long after the last attempt
# there has run for long enough.
_KEEP_MARGIN_S = 0.5
# Share of the candidates on which a trial may be under way.
MAX_TRIALS_SHARE = 0.25


def is_waiting_for_trial(task: attempts.Task, now: float) -> bool:
    """Tells whether a task starts only where nothing else has just started.

    The members of a gang start together, so they are not separated. The time in
    which no runner has room does not count.
    """
    step = task.step.definition
    if not task.crashes or step.gang:
        return False
    wait_s = LONG_RUNNING_TRIAL_WAIT_S if step.long_running else TRIAL_WAIT_S
    return not task.trial_since or now - task.trial_since < wait_s


def count_new(runner: runners_module.Runner, now: float) -> int:
    """Returns the number of attempts there that would be suspects."""
    return sum(
        run.phase is attempts.Phase.STARTING
        or now - max(run.ordered_at, run.sent_at) < SUSPECT_WINDOW_S
        for run in runner.runs
    )


def is_kept_for_other(
    runner: runners_module.Runner, task: attempts.Task, now: float
) -> bool:
    """Tells whether a runner is kept free for the trial of another task."""
    return runner.trial_until > now and runner.kept_for != task.name


def is_kept(
    runner: runners_module.Runner, task: attempts.Task, now: float
) -> bool:
    """Tells whether a runner is kept free for the trial of a task."""
    return runner.trial_until > now and runner.kept_for == task.name


def keep_runner(
    runner: runners_module.Runner, task: attempts.Task, now: float
) -> None:
    """Keeps other tasks away until the last one has run for long enough."""
    runner.trial_until = now + SUSPECT_WINDOW_S + _KEEP_MARGIN_S
    runner.kept_for = task.name


def begin_trial(
    runner: runners_module.Runner, task: attempts.Task, now: float
) -> None:
    """Keeps other tasks away while a suspect starts.

    A suspect that has waited for too long starts as any other task, or many of
    them would keep all runners closed.
    """
    if is_waiting_for_trial(task, now):
        runner.trial_until, runner.kept_for = now + SUSPECT_WINDOW_S, ""


def extend_trial(runner: runners_module.Runner, run: attempts.Run) -> None:
    """Lets a trial begin when its start is sent, after it has been stored."""
    begin_trial(runner, run.task, run.sent_at)


def is_crash_site(task: attempts.Task, runner: runners_module.Runner) -> bool:
    """Tells whether the machine of a runner has crashed under the task."""
    place = runners_module.find_place(runner.entry)
    return any(crash.place == place for crash in task.crashes)
