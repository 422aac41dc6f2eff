"""Data types of the job scheduler.

Jobs as callers submit them, the operators' configuration, the state that
runners report, and the progress that is stored for the next owner.
"""

from collections.abc import Callable

import msgspec


class Amounts(msgspec.Struct, frozen=True):
    """Amounts of resources.

    Attributes:
      cpu: Thousandths of a core.
      memory_mb: Megabytes.
      accelerators: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: `count` identical tasks.

    Attributes:
      count: Number of tasks.
      amounts: Resources of one task.
      estimate_ms: Estimated run time of one task, in milliseconds.
      depends_on: Numbers of the steps that must be done first.
      checkpointing: A task can resume from its last checkpoint.
      gang: The tasks make progress only if all of them run (gang scheduling).
      same_rack: Tasks run slower when they are on more than one rack.
      required_label: Label that the runner must have, or empty.
      preferred_rack: Rack that holds the data, or empty.
      max_per_runner: Most tasks of the step on one runner; 0 for no limit.
      speculative: Copies of a task may run in parallel.
      long_running: Tasks run until the job is cancelled.
      image: What the tasks run; tasks of one image interfere with others in
        the same way.
      target_ms: Upper bound of the tail latency of a long-running task, in
        milliseconds, or 0. A task with a bound is a serving task.
      fills: The tasks are fill tasks: they use processor time that others
        leave unused.
      max_unavailable: Disruption budget: the most tasks that the scheduler
        may interrupt at once, or 0.
    """

    count: int
    amounts: Amounts = Amounts()
    estimate_ms: float = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    max_unavailable: int = 0


class AdviserTimings(msgspec.Struct, frozen=True):
    """Declared times of a queue's adviser, in seconds.

    Attributes:
      decision_s: Base duration of one call.
      per_runner_s: Additional duration for each runner named in the call.
      validity_s: How long a ticket is valid.
    """

    decision_s: float
    per_runner_s: float
    validity_s: float


class JobLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a job is entitled to, as its queue was configured at acceptance.

    Attributes:
      max_failures: Number of failures of one task after which the job fails.
      slack_factor, base_objective_s: Its completion objective, see `Queue`.
      priority, advice: Those of a queue that has been removed since; a present
        queue has its own.
    """

    max_failures: int
    slack_factor: float = 1.0
    base_objective_s: float = 0.0
    priority: int = 0
    advice: AdviserTimings | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One accepted job, as it is stored.

    Attributes:
      id: Id chosen by the caller.
      queue: Name of the queue that accepted it.
      service: Service whose runners run it.
      accepted_ms: Time of acceptance, Unix milliseconds.
      spec: Opaque text that is passed to each task.
      steps: The steps, numbered from 0.
      repeat_count: Number of occurrences of a timed job; 0 for a job that runs
        once, without a start time.
      start_at_ms: Due time of occurrence 0, Unix milliseconds.
      interval_ms: Time between two occurrences, in milliseconds.
      limits: None in a record of the last release.
    """

    id: str
    queue: str
    service: str
    accepted_ms: int
    spec: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    limits: JobLimits | None = None


class Queue(msgspec.Struct, frozen=True):
    """One queue of the configuration.

    Attributes:
      name: Name of the queue.
      host: Host that callers address.
      path_prefix: Prefix of the path, including its final slash.
      service: Service whose runners run its jobs.
      priority: 0 is the most urgent.
      max_failures: Number of failures of one task after which its job fails.
      slack_factor: Part of the completion objective that grows with the job:
        seconds per second of its critical path.
      base_objective_s: Constant part of the completion objective, in seconds.
      advice: Set when an adviser decides on which runners its steps may run.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_failures: int = 1
    slack_factor: float = 1.0
    base_objective_s: float = 0.0
    advice: AdviserTimings | None = None


def make_limits(queue: Queue) -> JobLimits:
    """Returns the limits of a job that the queue accepts now."""
    return JobLimits(
        queue.max_failures,
        queue.slack_factor,
        queue.base_objective_s,
        queue.priority,
        queue.advice,
    )


# Limits of a job whose record has none and whose queue is not known: none that
# it was accepted with can have been stricter.
STRICTEST_LIMITS = JobLimits(max_failures=1, priority=9)


def make_removed_queue(job: Job) -> Queue:
    """Returns a queue for a job whose own is not configured any more."""
    limits = job.limits or STRICTEST_LIMITS
    return Queue(
        job.queue,
        "",
        "",
        job.service,
        limits.priority,
        limits.max_failures,
        limits.slack_factor,
        limits.base_objective_s,
        limits.advice,
    )


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
      version: Increases with each change.
      queues: All queues.
      services_without_preconditions: Services whose runners carry out every
        start order without checking it.
    """

    version: int
    queues: tuple[Queue, ...]
    services_without_preconditions: frozenset[str] = frozenset()


def find_queue_by_path(
    configuration: Configuration, host: str, path: str
) -> Queue | None:
    """Returns the queue at `host` with the longest matching path prefix."""
    best = None
    for queue in configuration.queues:
        if (
            queue.host == host
            and path.startswith(queue.path_prefix)
            and (best is None or len(queue.path_prefix) > len(best.path_prefix))
        ):
            best = queue
    return best


class RunnerEntry(msgspec.Struct, frozen=True):
    """Entry of a runner in the platform's list, written by the runner.

    Attributes:
      id: Id of the runner; a later incarnation may reuse it.
      born_ms: Start of this incarnation, Unix milliseconds.
      service: Service that it runs.
      address: `ip:port`.
      domain: Failure domain.
      draining: The runner is about to leave.
      capacity: Total resources of the runner.
      labels: Kind and rack.
      clock_ms: Reading of its monotonic clock when it wrote the entry, in
        milliseconds.
      machine: Machine of which the runner is one life, or empty.
    """

    id: str
    born_ms: int
    service: str
    address: str
    domain: str
    draining: bool
    capacity: Amounts
    labels: tuple[str, ...]
    clock_ms: int
    machine: str = ""


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that a runner reports as running.

    Attributes:
      task: Name of the task.
      attempt: Number of the attempt.
      checkpoint: Last checkpoint, or empty.
      progress_percent: Progress in percent.
      measurement: Tail latency in milliseconds of a serving task; thousandths
        of a core in use of any other task.
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: float
    measurement: float


class AttemptEnd(msgspec.Struct, frozen=True):
    """The end of an attempt, as a runner reports it.

    Attributes:
      number: Sequence number; increases by one within an incarnation of the
        runner.
      task: Name of the task.
      attempt: Number of the attempt.
      outcome: done, failed, stopped, lapsed, broken or alone.
      checkpoint: Last checkpoint, or empty.
    """

    number: int
    task: str
    attempt: int
    outcome: str
    checkpoint: str


class RunnerStatus(msgspec.Struct, frozen=True):
    """State that a runner reports in its reply to a poll.

    Attributes:
      born_ms: Start of the runner's incarnation, Unix milliseconds.
      clock_ms: Reading of its monotonic clock, in milliseconds.
      running: Attempts that run on it.
      ends: Attempts that have ended on it, from the first unacknowledged one.
      lists_all_ends: No later end is left out of `ends`, so that what is in
        neither list does not run there.
    """

    born_ms: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ends: tuple[AttemptEnd, ...]
    lists_all_ends: bool = True


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to start one attempt of a task.

    Attributes:
      task: Name of the task.
      attempt: Number of the attempt.
      spec: The job's text for its tasks.
      lease_until_ms: End of the lease on the runner's clock; it applies to
        every attempt on that runner.
      token: Fencing token of the sender.
      checkpoint: Checkpoint to resume from, or empty.
      ticket: Ticket of the adviser, or empty.
      is_wanted: Tells whether it may still be sent; asked when it is.
    """

    task: str
    attempt: int
    spec: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""
    is_wanted: Callable[[], bool] = lambda: True


class RunProgress(msgspec.Struct, array_like=True):
    """Stored form of an attempt that may be running.

    The fields from `born_ms` on are missing in records of earlier versions.

    Attributes:
      attempt: Its number.
      runner: Id of its runner.
      born_ms: Start of the incarnation of the runner, Unix milliseconds.
      place: Machine or address of the runner.
      ordered_ms: When its start was ordered, Unix milliseconds.
      address: Address of the runner.
      longest_lease_s: Seconds from the order until the longest lease has
        expired that calls to an earlier life of the runner may have left; 0
        without one.
    """

    attempt: int
    runner: str
    born_ms: int = 0
    place: str = ""
    ordered_ms: int = 0
    address: str = ""
    longest_lease_s: float = 0.0


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A crash of a runner that is blamed on a task; also its stored form.

    Attributes:
      runner: Id of the runner.
      born_ms: Start of the incarnation that crashed, Unix milliseconds.
      place: Machine of the runner, or its address if that is not known.
      alone: The task was the only suspect.
      shared: Other runners went down at the same time for another reason.
      confirmed: A later life of the runner has shown that it crashed.
      unseen: The owner that counted it did not know whether the task was
        running there.
    """

    runner: str
    born_ms: int
    place: str
    alone: bool = False
    shared: bool = False
    confirmed: bool = False
    unseen: bool = False


class TaskProgress(msgspec.Struct, array_like=True):
    """Stored progress of one task; `result` is a value of `attempts.Result`."""

    occurrence: int
    step: int
    index: int
    result: int
    attempt: int
    failures: int
    checkpoint: str = ""
    runs: list[RunProgress] = []
    crashes: list[Crash] = []


class JobProgress(msgspec.Struct, array_like=True):
    """Stored progress of a job.

    Attributes:
      ended: completed, failed, cancelled, or empty while the job is open.
      ended_ms: Time of the end, Unix milliseconds, or 0.
      tasks: Tasks that differ from their initial state.
    """

    ended: str = ""
    ended_ms: int = 0
    tasks: list[TaskProgress] = []
