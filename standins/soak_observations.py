"""What clients, store and runners saw of a soak; input of its auditor.

All times are seconds of one steady clock. Lists are in the order of time.
"""

import dataclasses

# Target of the disturbances that concern all processes and runners.
EVERYTHING = "everything"


@dataclasses.dataclass(slots=True)
class Job:
    """A job that a client submitted; it has one step.

    Attributes:
      tasks: Number of its tasks.
      cpu: Thousandths of a core that each task needs.
      lasts: Its tasks run until it is cancelled.
    """

    id: str
    tasks: int
    cpu: int
    lasts: bool = False


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request of a client on an open connection, and how it ended.

    Attributes:
      life: Number of the incarnation of the process, from 1 on.
      kind: `submit`, `state`, `cancel` or `probe`.
      what: Id of the job, or version of the configuration that is probed.
      status: Status of the complete answer, or 0 without one.
      cut: The connection ended without a complete answer.
      state: State of the job in the answer.
    """

    process: str
    life: int
    kind: str
    what: str
    sent: float
    ended: float
    status: int = 0
    cut: bool = False
    state: str = ""


@dataclasses.dataclass(slots=True)
class Configuration:
    """A version of the configuration; it alone has the route of its number."""

    version: int
    written: float
    acknowledged: float


@dataclasses.dataclass(slots=True)
class RunnerEvent:
    """Something that happened at a runner.

    Attributes:
      kind: `ready` (with its `cpu`), `draining`, `gone` (crashed or left),
        `lapsed` (its lease is over), `ordered` (a start order has come to the
        path to the runner), `start`, `end`, `listed` (an answer to a poll was
        sent that lists an end for the first time), or `noted` (an end was
        acknowledged).
      how: How the run ended.
      late: The runner carried the order out late.
      life: Number of the incarnation of the runner, from 1 on.
      token: Highest fencing token that it has seen. Of `noted`, that of the
        poll, which tells which owner sent it, and for which life.
    """

    at: float
    runner: str
    kind: str
    task: str = ""
    attempt: int = 0
    how: str = ""
    cpu: int = 0
    late: bool = False
    life: int = 1
    token: int = 0


@dataclasses.dataclass(slots=True)
class ProcessEvent:
    """A start (`started`), a signal (its name) or an end (`exited`)."""

    at: float
    process: str
    life: int
    kind: str
    status: int = 0


@dataclasses.dataclass(slots=True)
class Sample:
    """Memory and open descriptors of a process."""

    at: float
    process: str
    life: int
    memory_bytes: int
    descriptors: int


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault or planned work; `target` is a process, a runner or all.

    Planned work, and appends that are slow, excuse no request that is cut.
    """

    kind: str
    target: str
    began: float
    ended: float
    planned: bool = False


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything that was seen; `calm_from` begins the calm at the end."""

    jobs: list[Job] = dataclasses.field(default_factory=list)
    exchanges: list[Exchange] = dataclasses.field(default_factory=list)
    configurations: list[Configuration] = dataclasses.field(
        default_factory=list
    )
    runner_events: list[RunnerEvent] = dataclasses.field(default_factory=list)
    process_events: list[ProcessEvent] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    calm_from: float = 0.0
    ended: float = 0.0
