"""Reports which ready tasks wait, and what they wait for.

A report names the task that has waited for longest, for each service and kind
of task, and counts the runners that were left out by reason.
"""

import collections
import dataclasses
import enum
import heapq

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import metrics
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import placement
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import scheduling
from plantainvane.jobs import state as state_module
from plantainvane.jobs import trials

# Waits that are reported. A long-running task has to run again within 3 s if
# there is room.
_LONG_RUNNING_WAIT_S = 1.0
_WAIT_S = 3.0
_LOOK_INTERVAL_S = 1.0
# Least time between two lines about the same service and kind of task.
_LINE_INTERVAL_S = 2.0
# Most lines of one look; the longest waits go first.
_MAX_LINES = 8


class Reason(enum.StrEnum):
    """Why a task waits, unless it is an obstacle that its runners share."""

    RETRY = "retry"
    NO_RUNNERS = "no_runners"
    EASIER_TASK = "easier_task"
    TRIAL = "trial"
    NO_TICKET = "no_ticket"
    GANG = "gang"
    NEXT_PASS = "next_pass"


@dataclasses.dataclass(slots=True)
class Room:
    """What is left on a runner for one more task."""

    runner: str
    cpu: int
    memory_mb: int
    accelerators: int


@dataclasses.dataclass(slots=True)
class Wait:
    """Why a ready task was not placed.

    Attributes:
      reason: A `Reason`, or the obstacle of most runners.
      left_out: Number of runners by obstacle.
      accepting: Number of runners that would start the task.
      blocked: An easier task had found no runner in the pass.
      room: The runner without enough room that lacks least, or None.
    """

    reason: str
    left_out: dict[str, int]
    accepting: int
    blocked: bool
    room: Room | None


@dataclasses.dataclass(slots=True)
class Reporter:
    """Times of the reports of one owner.

    Attributes:
      next_look_at: Earliest time of the next look at the ready tasks.
      next_line_at: Earliest time of the next line, by service and kind.
    """

    next_look_at: float = float("-inf")
    next_line_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def choose_due(
        self, waiting: dict[tuple[str, str], list[attempts.Task]], now: float
    ) -> list[tuple[str, str]]:
        """Returns the services and kinds to report, the longest wait first."""
        self.next_line_at = {
            key: at for key, at in self.next_line_at.items() if at > now
        }
        due = heapq.nsmallest(
            _MAX_LINES,
            (key for key in waiting if key not in self.next_line_at),
            key=lambda key: scheduling.find_wait_start(waiting[key][0]),
        )
        self.next_line_at.update((key, now + _LINE_INTERVAL_S) for key in due)
        return due


def report_waits(
    reporter: Reporter, owner: state_module.Owner, current: scheduling.Pass
) -> None:
    """Logs the longest waits after a scheduling pass, within the limits."""
    now = current.now
    if now < reporter.next_look_at:
        return
    reporter.next_look_at = now + _LOOK_INTERVAL_S
    waiting = list_waiting(owner, now)
    for service, kind in reporter.choose_due(waiting, now):
        tasks = waiting[service, kind]
        wait = explain_wait(owner, tasks[0], current)
        metrics.TASK_WAITS.labels(kind, wait.reason).inc()
        _log_wait(owner, service, kind, tasks, wait, now)


def list_waiting(
    owner: state_module.Owner, now: float
) -> dict[tuple[str, str], list[attempts.Task]]:
    """Returns the tasks that have waited for long, by service and kind.

    The one that has waited for longest comes first.
    """
    waiting: dict[tuple[str, str], list[attempts.Task]] = {}
    for task in owner.table.ready.values():
        long_running = task.step.definition.long_running
        limit_s = _LONG_RUNNING_WAIT_S if long_running else _WAIT_S
        start = scheduling.find_wait_start(task)
        if now - start < limit_s:
            continue
        key = task.job.queue.service, metrics.name_kind(long_running)
        tasks = waiting.setdefault(key, [])
        tasks.append(task)
        if start < scheduling.find_wait_start(tasks[0]):
            tasks[0], tasks[-1] = task, tasks[0]
    return waiting


def explain_wait(
    owner: state_module.Owner, task: attempts.Task, current: scheduling.Pass
) -> Wait:
    """Explains by the rules of placement why a task was not placed."""
    service, now = task.job.queue.service, current.now
    runners = scheduling.list_runners(owner, service)
    candidates = runners
    if task.job.queue.advice is not None:
        candidates = [
            r for r in runners if orders.is_advised(owner, task.step, r, now)
        ]
    obstacles = placement.list_obstacles(
        task, candidates, owner.interference_model, now
    )
    left_out = collections.Counter(
        obstacle.value for _, obstacle in obstacles if obstacle is not None
    )
    accepting = len(candidates) - left_out.total()
    if len(candidates) < len(runners):
        left_out[Reason.NO_TICKET.value] = len(runners) - len(candidates)
    blocked = task.job.queue.advice is None and (
        scheduling.is_blocked(owner, task, service, current)
    )
    return Wait(
        _choose_reason(task, left_out, accepting, blocked, now),
        dict(left_out),
        accepting,
        blocked,
        _find_largest_room(task.step.definition, obstacles),
    )


def _choose_reason(
    task: attempts.Task,
    left_out: collections.Counter[str],
    accepting: int,
    blocked: bool,
    now: float,
) -> str:
    if task.retry_at > now:
        return Reason.RETRY.value
    if accepting and blocked:
        return Reason.EASIER_TASK.value
    if accepting:
        gang = task.step.definition.gang
        return (Reason.GANG if gang else Reason.NEXT_PASS).value
    if trials.is_waiting_for_trial(task, now) and task.trial_since:
        return Reason.TRIAL.value
    if not left_out:
        return Reason.NO_RUNNERS.value
    return left_out.most_common(1)[0][0]


def _find_largest_room(
    step: model.Step,
    obstacles: list[tuple[runners_module.Runner, eligibility.Obstacle | None]],
) -> Room | None:
    """Returns the room where the scarcest amount is covered best."""
    full = (eligibility.Obstacle.NO_ROOM, eligibility.Obstacle.NO_FILL_ROOM)
    rooms = [
        _measure_room(runner, step)
        for runner, obstacle in obstacles
        if obstacle in full
    ]
    return max(rooms, key=lambda room: _measure_cover(room, step), default=None)


def _measure_room(runner: runners_module.Runner, step: model.Step) -> Room:
    capacity = runner.entry.capacity
    cpu, memory_mb = capacity.cpu - runner.cpu, capacity.memory_mb
    if step.fills:
        cpu = int(placement.measure_fill_room(runner))
        memory_mb = int(memory_mb * (1 - placement.FILL_MEMORY_RESERVE))
    return Room(
        runner.entry.id,
        cpu,
        memory_mb - runner.memory_mb,
        capacity.accelerators - runner.accelerators,
    )


def _measure_cover(room: Room, step: model.Step) -> float:
    """Returns the least share of an amount of the step that is left."""
    needs = step.amounts
    return min(
        room.cpu / max(1, needs.cpu),
        room.memory_mb / max(1, needs.memory_mb),
        room.accelerators / needs.accelerators if needs.accelerators else 1.0,
    )


def _log_wait(
    owner: state_module.Owner,
    service: str,
    kind: str,
    tasks: list[attempts.Task],
    wait: Wait,
    now: float,
) -> None:
    task, room = tasks[0], wait.room
    step = task.step.definition
    trial_s = now - task.trial_since if task.trial_since else None
    events.log_event(
        events.TASK_WAITS,
        service=service,
        kind=kind,
        task=task.name,
        waited_s=round(now - scheduling.find_wait_start(task), 3),
        reason=wait.reason,
        left_out=wait.left_out,
        accepting=wait.accepting,
        blocked=wait.blocked,
        trial_s=None if trial_s is None else round(trial_s, 3),
        crashes=len(task.crashes),
        retry_in_s=round(max(0.0, task.retry_at - now), 3),
        members=len(task.step.tasks) if step.gang else 1,
        fills=step.fills,
        cpu=step.amounts.cpu,
        memory_mb=step.amounts.memory_mb,
        accelerators=step.amounts.accelerators,
        label=step.required_label,
        room=None if room is None else dataclasses.asdict(room),
        starts_in_flight=owner.starts_in_flight,
        waiting=len(tasks),
        epoch=owner.epoch,
    )
