"""Load of one process: lag of its event loop, and the work of an owner."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import time

import anyio

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import metrics
from plantainvane.jobs import runners as runners_module

_PROBE_INTERVAL_S = 0.1
# A process with a longer lag is short of processor time. A poll or a ping times
# out after 0.4 s.
LATE_S = 0.1
# Lags are kept for as long as the longest call and lease.
_KEEP_S = 10.0
# A process counts as late for this time after its last long lag.
_RECENT_S = 1.0
# Shorter scheduling passes are not logged.
SLOW_PASS_S = 0.1
# Least time between two lines of the same event.
_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Load:
    """Load of this process, measured by `watch_loop` and `record_pass`.

    Attributes:
      lag_s: How late the event loop resumed the last probe.
      probe_due_at: When the present probe is to be resumed.
      max_lag_s, passes, longest_pass_s: Since the last summary.
      polls, starts: Totals of this process at the last summary.
      summarized_at: Time of the last summary, or None before the first.
      next_late_line_at, next_pass_line_at: Earliest time of the next
        `loop_late` and `pass_slow`.
      delays: Ends and durations of lags of `LATE_S` or more.
    """

    lag_s: float = 0.0
    probe_due_at: float = float("inf")
    max_lag_s: float = 0.0
    passes: int = 0
    longest_pass_s: float = 0.0
    polls: int = 0
    starts: int = 0
    summarized_at: float | None = None
    next_late_line_at: float = float("-inf")
    next_pass_line_at: float = float("-inf")
    delays: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def measure_lag(self, now: float) -> float:
        """Returns the present lag, also before the late probe has resumed."""
        return max(self.lag_s, now - self.probe_due_at)

    def record_delay(self, delay_s: float, now: float) -> None:
        """Records that something due `delay_s` ago is done now."""
        while self.delays and self.delays[0][0] < now - _KEEP_S:
            self.delays.popleft()
        if delay_s >= LATE_S:
            self.delays.append((now, delay_s))

    def was_late_since(self, since: float) -> bool:
        """Returns whether the process was late at any time after `since`."""
        return bool(self.delays) and self.delays[-1][0] > since

    def is_late(self, now: float) -> bool:
        """Returns whether the process is short of processor time."""
        return self.was_late_since(now - _RECENT_S) or (
            self.measure_lag(now) >= LATE_S
        )

    def record_lag(self, now: float) -> bool:
        """Ends a probe; returns whether its lag is to be logged."""
        self.lag_s = max(0.0, now - self.probe_due_at)
        self.max_lag_s = max(self.max_lag_s, self.lag_s)
        self.record_delay(self.lag_s, now)
        if self.lag_s < LATE_S or now < self.next_late_line_at:
            return False
        self.next_late_line_at = now + _LOG_INTERVAL_S
        return True

    def count_pass(self, took_s: float, now: float) -> bool:
        """Counts a scheduling pass; returns whether it is to be logged."""
        self.passes += 1
        self.longest_pass_s = max(self.longest_pass_s, took_s)
        if took_s < SLOW_PASS_S or now < self.next_pass_line_at:
            return False
        self.next_pass_line_at = now + _LOG_INTERVAL_S
        return True


async def watch_loop(load: Load, read_epoch: Callable[[], int | None]) -> None:
    """Measures the lag of the event loop until it is cancelled.

    Args:
      load: The load of this process.
      read_epoch: Returns the epoch of this process, or None if it is not the
        owner; called before each probe.
    """
    while True:
        epoch = read_epoch()
        load.probe_due_at = clock.read_now() + _PROBE_INTERVAL_S
        used_s = time.process_time()
        await anyio.sleep(_PROBE_INTERVAL_S)
        used_s = time.process_time() - used_s
        due = load.record_lag(clock.read_now())
        metrics.LOOP_LAG_SECONDS.observe(load.lag_s)
        if due:
            events.log_event(
                events.LOOP_LATE,
                lag_s=round(load.lag_s, 3),
                cpu_s=round(used_s, 3),
                is_owner=epoch is not None,
                epoch=epoch,
            )


def record_pass(
    load: Load,
    epoch: int,
    took_s: float,
    ready: int,
    waiting_steps: int,
    placed: int,
    runners: int,
    now: float,
) -> None:
    """Records a scheduling pass that ended at `now`.

    Args:
      load: The load of this process.
      epoch: Epoch of the owner.
      took_s: Duration in seconds.
      ready: Number of ready tasks before the pass.
      waiting_steps: Number of steps with ready tasks that were not placed.
      placed: Number of tasks that were placed.
      runners: Number of runners.
      now: Present time, in seconds.
    """
    metrics.PASS_SECONDS.observe(took_s)
    metrics.TASKS_PLACED.inc(placed)
    if load.count_pass(took_s, now):
        events.log_event(
            events.PASS_SLOW,
            took_s=round(took_s, 3),
            ready=ready,
            waiting_steps=waiting_steps,
            placed=placed,
            runners=runners,
            epoch=epoch,
        )


def find_least_lease(
    runners: Iterable[runners_module.Runner], now: float
) -> tuple[float, str] | None:
    """Returns the least remaining lease in seconds, and its runner.

    Only runners that hold attempts count. A lease counts from the request, so
    what remains in truth is less if the request has not arrived.
    """
    return min(
        (
            (_compute_remaining_lease_s(runner, now), runner.entry.id)
            for runner in runners
            if runner.runs and runner.lease_until_ms
        ),
        default=None,
    )


def _compute_remaining_lease_s(
    runner: runners_module.Runner, now: float
) -> float:
    clock_ms = runner.clock_ms + (now - runner.clock_read_at) * 1000
    return (runner.lease_until_ms - clock_ms) / 1000


def find_longest_silence(
    runners: Iterable[runners_module.Runner], now: float
) -> tuple[float, str] | None:
    """Returns the longest silence of a runner in seconds, and the runner."""
    return max(
        (
            (now - runner.silent_since, runner.entry.id)
            for runner in runners
            if runner.silent
        ),
        default=None,
    )


def find_longest_wait(
    tasks: Iterable[attempts.Task], now: float
) -> tuple[float, str] | None:
    """Returns the longest wait of a ready long-running task, and the task."""
    return max(
        (
            (now - task.ready_since, task.name)
            for task in tasks
            if task.step.definition.long_running
        ),
        default=None,
    )


def summarize_owner(
    load: Load,
    epoch: int,
    runners: dict[str, runners_module.Runner],
    ready: dict[str, attempts.Task],
    store_latency_s: float,
    now: float,
) -> None:
    """Logs the load of the owner since the last summary."""
    polls = metrics.sum_counter(metrics.RUNNER_POLLS)
    starts = metrics.sum_counter(metrics.STARTS)
    if load.summarized_at is not None and now > load.summarized_at:
        span_s = now - load.summarized_at
        held = [runner for runner in runners.values() if runner.runs]
        lease_s, lease_runner = find_least_lease(held, now) or (None, None)
        silence_s, silent_runner = find_longest_silence(
            runners.values(), now
        ) or (None, None)
        wait_s, waiting_task = find_longest_wait(ready.values(), now) or (
            None,
            None,
        )
        used, long_running = measure_use(runners.values())
        events.log_event(
            events.OWNER_LOAD,
            polls_per_s=round((polls - load.polls) / span_s, 1),
            starts_per_s=round((starts - load.starts) / span_s, 1),
            passes=load.passes,
            longest_pass_ms=int(load.longest_pass_s * 1000),
            lag_ms=int(max(load.max_lag_s, load.measure_lag(now)) * 1000),
            ready=len(ready),
            longest_wait_s=_round_s(wait_s),
            waiting_task=waiting_task,
            running=sum(len(runner.runs) for runner in held),
            runners=len(runners),
            silent=sum(runner.silent for runner in runners.values()),
            longest_silence_s=_round_s(silence_s),
            silent_runner=silent_runner,
            least_lease_s=_round_s(lease_s),
            least_lease_runner=lease_runner,
            append_ms=int(store_latency_s * 1000),
            used=round(used, 3),
            used_long_running=round(long_running, 3),
            epoch=epoch,
        )
    load.summarized_at, load.polls, load.starts = now, polls, starts
    load.passes, load.longest_pass_s, load.max_lag_s = 0, 0.0, 0.0


def measure_use(
    runners: Iterable[runners_module.Runner],
) -> tuple[float, float]:
    """Returns the shares of the processors that all and long-running tasks use.

    Fill tasks do not count, nor do runners that start nothing.
    """
    usable = [r for r in runners if r.listed and not r.entry.draining]
    capacity = max(1, sum(r.entry.capacity.cpu for r in usable))
    used = sum(r.cpu for r in usable)
    return used / capacity, sum(r.serving_cpu for r in usable) / capacity


def _round_s(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
