"""In-memory state of jobs, their steps, tasks and attempts."""

import dataclasses
import enum

from plantainvane.jobs import model


class Result(enum.IntEnum):
    """Whether a task still has to run."""

    OPEN = 0
    DONE = 1
    FAILED = 2


class Phase(enum.IntEnum):
    """Last known phase of an attempt."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2


@dataclasses.dataclass(slots=True)
class Stop:
    """The stop of an attempt, as ordered by this owner.

    Attributes:
      ordered_at: When it was ordered, in seconds of this process's clock.
      under_way_since: Since when it is being sent, until it is answered; None
        once it was answered or given up.
      sent: How often it has been sent.
      outcome: How the runner answered the last order, or empty.
      answered_at: When an order was answered, or 0.
    """

    ordered_at: float
    under_way_since: float | None = None
    sent: int = 0
    outcome: str = ""
    answered_at: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """An attempt of a task that may be running.

    Times are seconds of this process's clock.

    Attributes:
      task: The task.
      attempt: Number of the attempt.
      runner: Id of the runner that was ordered to start it.
      phase: Last known phase.
      ordered_at: When its start was ordered; 0 if an earlier owner ordered it.
      running_since: When it was first reported as running, or restored if an
        earlier owner ordered it and no poll has listed it yet; infinity while a
        stop has no answer yet, then when the stop was answered.
      reported: A poll of its runner has listed it.
      progress_percent: Last reported progress.
      progress_changed_at: When the reported progress last changed.
      measurement: Tail latency in milliseconds of a serving task; thousandths
        of a core in use of any other task.
      pace_percent: Share of full speed that it was last ordered to run at, 0
        to 100.
      pace_confirmed: False while a pace order of this or an earlier owner may
        have taken effect without an answer.
      over_target_since: Since when its tail latency has exceeded the target,
        or None.
      slowed_since: Since when it has been paced to half its speed or less, or
        None.
      paced_at: Since when it has run at `pace_percent`, or 0.
      lost_s: Seconds of full speed that pacing had cost it until then.
      slowed_for: Image of the serving task that it was last slowed for, or
        empty.
      sent_at: When its start was last sent to the runner; 0 if it has not been
        sent by this owner.
      start_answered: The runner has confirmed the start.
      start_settled: The life of the runner that this owner knows has carried
        the start out, as its clock or a poll shows.
      survived: Its runner was up some time after the start.
      born_ms: Incarnation of the runner that was ordered to start it.
      place: Machine of the runner, or its address.
      ordered_ms: When its start was ordered, Unix milliseconds.
      inherited_at: That time on this process's clock, as far as times of day
        agree, if an earlier owner ordered it.
      address: Address of the runner that was ordered to start it.
      longest_lease_s: Seconds from its order until the longest lease has
        expired that calls to an earlier life of its runner may have left; 0
        without one. A successor that never hears the runner waits for it.
      crash: Crash of the runner that is blamed on it, until it is counted.
      stop: Its stop, or None if none has been ordered.
    """

    task: "Task"
    attempt: int
    runner: str
    phase: Phase
    ordered_at: float
    running_since: float = 0.0
    reported: bool = False
    progress_percent: float = 0.0
    progress_changed_at: float = 0.0
    measurement: float = 0.0
    pace_percent: int = 100
    pace_confirmed: bool = True
    over_target_since: float | None = None
    slowed_since: float | None = None
    paced_at: float = 0.0
    lost_s: float = 0.0
    slowed_for: str = ""
    sent_at: float = 0.0
    start_answered: bool = False
    start_settled: bool = False
    survived: bool = False
    born_ms: int = 0
    place: str = ""
    ordered_ms: int = 0
    inherited_at: float = float("-inf")
    address: str = ""
    longest_lease_s: float = 0.0
    crash: model.Crash | None = None
    stop: Stop | None = None

    def change_pace(self, percent: int, now: float) -> None:
        """Records a new pace, and what the last one has cost."""
        self.lost_s = self.measure_lost_s(now)
        self.pace_percent, self.paced_at = percent, now

    def measure_lost_s(self, now: float) -> float:
        """Returns the seconds of full speed that pacing has cost so far."""
        if not self.paced_at:
            return self.lost_s
        return self.lost_s + (now - self.paced_at) * (
            1 - self.pace_percent / 100
        )


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence of a step.

    Attributes:
      job: The job of the task.
      step: The occurrence of the step.
      index: Number of the task within the step.
      name: Unique name: job id, occurrence, step number and index.
      result: Whether the task still has to run.
      attempt: Highest attempt number so far.
      failures: Failed attempts, which count against the queue's
        `max_failures`.
      checkpoint: Newest known checkpoint, or empty.
      runs: Attempts that may be running.
      retry_at: The next attempt does not start before this time.
      ready_since: When the task last became ready to start.
      avoided_runners: Ids of runners on which an attempt failed or made no
        progress.
      crashes: Crashes of runners that may be its fault.
      trial_since: Since when it has waited for a trial although a runner has
        room for it, or 0.
      moved_at: When it was last moved off a runner that is to be left.
      lost_attempts: Numbers of the latest attempts whose end is not known.
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
    crashes: tuple[model.Crash, ...] = ()
    trial_since: float = 0.0
    moved_at: float = float("-inf")
    lost_attempts: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class RunnerCrash:
    """A proved crash of a runner.

    Attributes:
      runner: Id of the runner.
      at: When it was found down.
      suspects: Names of the tasks that had been started there shortly before,
        each with the start of the incarnation, Unix milliseconds.
    """

    runner: str
    at: float
    suspects: set[tuple[str, int]]


@dataclasses.dataclass(slots=True, eq=False)
class StepState:
    """One occurrence of a step.

    Attributes:
      job: The job of the step.
      occurrence: Number of the occurrence, from 0.
      number: Number of the step within the job.
      definition: The step as submitted.
      pending_dependencies: Numbers of the steps that must be done first and
        are not done yet.
      critical_path_s: Estimated seconds of the longest dependency chain from
        the start of this step to the end of the job.
      due_at: The tasks do not start before this time.
      first_position: Position of its first task among all tasks of the job.
      tasks: The tasks of this occurrence.
      remaining_tasks: Number of tasks that are not done.
    """

    job: "JobState"
    occurrence: int
    number: int
    definition: model.Step
    pending_dependencies: set[int]
    critical_path_s: float
    due_at: float
    first_position: int = 0
    tasks: list[Task] = dataclasses.field(default_factory=list)
    remaining_tasks: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """One job and its occurrences.

    Attributes:
      job: The job as submitted.
      queue: The queue as last configured. The objective and the number of
        failures are those of `job`.
      deadline: Latest completion at which the job still has its full value, in
        seconds of this process's clock.
      objective_s: Seconds from the submission to `deadline`.
      first_due_at: When occurrence 0 is due, in seconds of this process's
        clock.
      steps: The occurrences of all steps that are in memory, by occurrence and
        step number.
      opened: Number of occurrences that are or were in memory, from the first
        on. The others are due later and have no progress.
      finished: 1 for each occurrence that is done and in memory no more; empty
        for a job that runs once.
      dependents: Numbers of the steps that depend on each step.
      ended: completed, failed, cancelled, or empty while the job is open.
      ended_ms: Time of the end, Unix milliseconds, or 0.
      stored_ended: The value of `ended` that has been stored and may be shown
        to callers.
      remaining_steps: Number of steps of all occurrences that are not done.
      started: A task of the job has been started.
      changed_parts: Parts of its progress that have to be stored.
      max_failures: Number of failures of one task after which the job fails.
    """

    job: model.Job
    queue: model.Queue
    deadline: float
    objective_s: float
    first_due_at: float = 0.0
    steps: dict[tuple[int, int], StepState] = dataclasses.field(
        default_factory=dict
    )
    opened: int = 0
    finished: bytearray = dataclasses.field(default_factory=bytearray)
    dependents: list[list[int]] = dataclasses.field(default_factory=list)
    ended: str = ""
    ended_ms: int = 0
    stored_ended: str = ""
    remaining_steps: int = 0
    started: bool = False
    changed_parts: set[int] = dataclasses.field(default_factory=set)
    max_failures: int = 1
