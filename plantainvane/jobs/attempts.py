"""What is known of jobs, their steps and tasks, and the attempts of a task."""

import dataclasses
import enum

from plantainvane.jobs import model


class Result(enum.IntEnum):
    """Whether a task still has to run."""

    OPEN = 0
    DONE = 1
    FAILED = 2


class Phase(enum.IntEnum):
    """What is known of one attempt."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One attempt of a task that may be running.

    Attributes:
      task: The task.
      attempt: Number of the attempt.
      runner: Id of the runner that was told to start it.
      phase: What is known of it.
      ordered_at: When it was ordered; 0 if an earlier owner did.
      running_since: When it was first seen running.
      progress_percent: Last progress seen.
      progress_changed_at: When the progress last changed.
      measurement: Tail in ms of a serving task, else thousandths of a core in
        use.
      pace_percent: Share of its speed that it was told, 0 to 100.
      pace_confirmed: No order on its pace was lost, by us or an earlier owner.
      over_target_since: When its tail first exceeded the target, or None.
      slowed_since: When it was first paced to half its speed, or None.
    """

    task: "Task"
    attempt: int
    runner: str
    phase: Phase
    ordered_at: float
    running_since: float = 0.0
    progress_percent: float = 0.0
    progress_changed_at: float = 0.0
    measurement: float = 0.0
    pace_percent: int = 100
    pace_confirmed: bool = True
    over_target_since: float | None = None
    slowed_since: float | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence of a step.

    Attributes:
      attempt: Highest attempt number so far.
      failures: Ends that count against the limit of attempts.
      checkpoint: Newest checkpoint known.
      runs: Attempts that may be running.
      retry_at: The next attempt is not started before this time.
      avoided_runners: Runners on which an attempt failed or made no progress.
    """

    job: "JobState"
    step: "StepState"
    index: int
    name: str
    result: Result = Result.OPEN
    attempt: int = 0
    failures: int = 0
    checkpoint: str = ""
    runs: list[Run] = dataclasses.field(default_factory=list)
    retry_at: float = 0.0
    ready_since: float = 0.0
    avoided_runners: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, eq=False)
class StepState:
    """One occurrence of a step.

    Attributes:
      pending_dependencies: Steps that are not done yet.
      critical_path_s: Longest chain of estimates from this step to the end.
    """

    job: "JobState"
    occurrence: int
    number: int
    step: model.Step
    pending_dependencies: set[int]
    critical_path_s: float
    due_at: float
    tasks: list[Task] = dataclasses.field(default_factory=list)
    remaining_tasks: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """One job and its occurrences.

    Attributes:
      queue: The queue as last configured.
      deadline: Latest time to earn in full, on the book's clock.
      objective_s: Time from the submission to `deadline`.
      ended: completed, failed, cancelled, or empty while it is open.
      stored_ended: The end that has been stored and may be shown.
      remaining_steps: Steps of all occurrences that are not done.
      started: A task has been started.
    """

    job: model.Job
    queue: model.Queue
    deadline: float
    objective_s: float
    steps: dict[tuple[int, int], StepState] = dataclasses.field(
        default_factory=dict
    )
    ended: str = ""
    ended_ms: int = 0
    stored_ended: str = ""
    remaining_steps: int = 0
    started: bool = False
