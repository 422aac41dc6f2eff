"""Types of the job model: what callers submit and operators configure."""

import msgspec


class Amounts(msgspec.Struct, frozen=True):
    """Resources: thousandths of a core, megabytes, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: `count` equal tasks.

    Attributes:
      count: Number of tasks.
      amounts: Resources of one task.
      estimate_ms: Rough run time of one task, in milliseconds.
      depends_on: Numbers of the steps that must be done first.
      checkpointing: A task can resume from its last checkpoint.
      gang: The tasks work only together.
      same_rack: Tasks run slower when they are on more than one rack.
      required_label: Label that the runner must have, or empty.
      preferred_rack: Rack where the data is, or empty.
      max_per_runner: Most tasks of the step on one runner; 0 for any.
      speculative: Copies of a task may run in parallel.
      long_running: Tasks run until the job is cancelled.
      image: What the tasks run; tasks of an image behave alike.
      target_ms: Bound of the tail latency of a long-running task, or 0.
      fills: Tasks use processor time that others leave unused.
      max_unavailable: Tasks that our actions may interrupt at once, or 0.
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


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One accepted job, as it is stored.

    Attributes:
      id: Chosen by the caller.
      queue: Name of the queue that accepted it.
      service: Service whose runners run it.
      accepted_ms: Time of acceptance, Unix milliseconds.
      spec: Opaque text that is passed to each task.
      steps: The steps, numbered from 0.
      repeat_count: Occurrences of a timed job; 0 for a plain job.
      start_at_ms: Due time of occurrence 0, Unix milliseconds.
      interval_ms: Time between two occurrences.
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


class AdviserTimings(msgspec.Struct, frozen=True):
    """How a queue's adviser behaves.

    Attributes:
      decision_s: Time that one call takes.
      per_runner_s: More for each runner named in it.
      validity_s: How long a ticket is valid.
    """

    decision_s: float
    per_runner_s: float
    validity_s: float


class Queue(msgspec.Struct, frozen=True):
    """One queue of the configuration.

    Attributes:
      name: Name of the queue.
      host: Host that callers address.
      path_prefix: Beginning of the path, with the final slash.
      service: Service whose runners run its jobs.
      priority: 0 is the most urgent.
      max_failures: Failures of a task after which its job fails.
      slack_factor: Objective per second of the longest chain of work.
      base_objective_s: Constant part of the objective, in seconds.
      advice: Set when an adviser decides where its steps may run.
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


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
      version: Rises with each change.
      queues: All queues.
      services_without_preconditions: Services whose runners start whatever they
        are told.
    """

    version: int
    queues: tuple[Queue, ...]
    services_without_preconditions: frozenset[str] = frozenset()


def find_queue_by_path(
    configuration: Configuration, host: str, path: str
) -> Queue | None:
    """Finds the queue with the longest prefix of `path` at `host`."""
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
    """What a runner says of itself in the platform's list.

    Attributes:
      id: Id of the runner; may be used again by a later life.
      born_ms: Start of this life, Unix milliseconds.
      service: Service that it runs.
      address: `ip:port`.
      domain: Failure domain.
      draining: It is about to leave.
      capacity: Its resources.
      labels: Kind and rack.
      clock_ms: Its steady clock when it wrote the entry.
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


class RunningAttempt(msgspec.Struct, frozen=True):
    """One entry of what runs on a runner.

    Attributes:
      task: Name of the task.
      attempt: Number of the attempt.
      checkpoint: Last checkpoint, or empty.
      progress_percent: Progress.
      measurement: Tail latency in ms of a serving task, else processors in use.
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: float
    measurement: float


class AttemptEnd(msgspec.Struct, frozen=True):
    """One end that a runner lists.

    Attributes:
      number: Rises by one in each life of the runner.
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
    """What a runner answers when its leases are renewed."""

    born_ms: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ends: tuple[AttemptEnd, ...]


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to start one attempt of a task.

    Attributes:
      lease_until_ms: On the runner's clock; applies to all that runs there.
      token: Fencing token of the sender.
      ticket: Ticket of the adviser, or empty.
    """

    task: str
    attempt: int
    spec: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class RunProgress(msgspec.Struct, array_like=True):
    """One attempt that may be running: its number and its runner."""

    attempt: int
    runner: str


class TaskProgress(msgspec.Struct, array_like=True):
    """Stored progress of one task; `result` is a value of `book.Result`."""

    occurrence: int
    step: int
    index: int
    result: int
    attempt: int
    failures: int
    checkpoint: str = ""
    runs: list[RunProgress] = []


class JobProgress(msgspec.Struct, array_like=True):
    """Stored progress of a job.

    Attributes:
      ended: completed, failed, cancelled, or empty while it is open.
      ended_ms: Unix milliseconds of the end, or 0.
      tasks: Tasks that differ from the initial state.
    """

    ended: str = ""
    ended_ms: int = 0
    tasks: list[TaskProgress] = []
