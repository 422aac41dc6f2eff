"""Placement of pending tasks on the workers of one shard.

Tasks with the same class, size and failed workers wait in one group. A decision
looks at the head of each group and at a bounded sample of the workers, so its
cost grows neither with the queued tasks nor with the workers.
"""

from collections.abc import Callable
import dataclasses
import math

import msgspec

from plantainvane import documents
from plantainvane import resources
from plantainvane import settings as settings_module

RANKS = {
    documents.Priority.URGENT: 0,
    documents.Priority.NORMAL: 1,
    documents.Priority.BULK: 2,
}


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker, as seen by placement.

    Attributes:
      capacity: Resources that batch work may commit.
      committed: Declared sizes of all attempts that are not known to have
        ended, those in an unknown state included.
      used: Estimated actual use of the same attempts.
      running: Number of the same attempts by batch class.
      services: Service classes whose runners share the worker.
      open_starts: Number of further attempts allowed in this round.
      throttled: Whether its batch work is throttled for a service. The worker
        then takes only urgent tasks, and tasks beside which its services are
        predicted not to exceed `throttle_above`.
    """

    id: str
    rack: str
    capacity: resources.Resources
    committed: resources.Resources = resources.Resources()
    used: resources.Resources = resources.Resources()
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    services: tuple[str, ...] = ()
    open_starts: int = 0
    throttled: bool = False

    def has_room_for(self, demand: resources.Resources) -> bool:
        """Returns whether the free capacity covers `demand`."""
        return (self.committed + demand).fits_within(self.capacity)


# A msgspec struct because it is hashed for each group in each decision, which
# is slower for a dataclass.
class GroupKey(msgspec.Struct, frozen=True):
    """The properties that all tasks of a group share.

    Attributes:
      demand: Declared resources of one task.
      failed_on: Ids of the workers on which the tasks failed.
    """

    batch_class: str
    priority: documents.Priority
    team: str
    demand: resources.Resources
    failed_on: frozenset[str] = frozenset()


class QueuedTask(msgspec.Struct, frozen=True, gc=False):
    """A pending task in the queue.

    Attributes:
      task: Task id.
      order: Position in the order of submission.
      since: Monotonic time from which it waits.
    """

    task: str
    order: int
    since: float


class Queue:
    """Pending tasks by group, each group in the order of `add` calls."""

    def __init__(self):
        self.groups: dict[GroupKey, dict[str, QueuedTask]] = {}
        self._keys: dict[str, GroupKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, task: str) -> bool:
        return task in self._keys

    def add(self, key: GroupKey, queued: QueuedTask) -> None:
        """Adds a task at the end of its group."""
        self.groups.setdefault(key, {})[queued.task] = queued
        self._keys[queued.task] = key

    def remove(self, task: str) -> None:
        """Removes a task; ignores an unknown one."""
        key = self._keys.pop(task, None)
        if key is None:
            return
        group = self.groups[key]
        del group[task]
        if not group:
            del self.groups[key]

    def find_key(self, task: str) -> GroupKey | None:
        """Returns the group of a pending task."""
        return self._keys.get(task)

    def peek(self, key: GroupKey) -> QueuedTask:
        """Returns the oldest task of a group."""
        return next(iter(self.groups[key].values()))


@dataclasses.dataclass(slots=True)
class State:
    """Placement state of one shard.

    Attributes:
      workers: Workers by id. Their commitments are updated by `place_tasks`
        within a round and by its caller between rounds.
      cursor: Index of the worker at which the next sample begins.
    """

    workers: dict[str, WorkerState]
    queue: Queue
    cursor: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """A decision to start `task` on `worker`."""

    task: str
    worker: str
    key: GroupKey


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """Checks and predictions that placement asks for.

    Attributes:
      is_within_quota: Whether the team's quota has room for one more task of
        the group.
      charge_quota: Called when a task of the group is placed; charges it to
        the team's quota.
      predict_ratio: Highest predicted ratio of p99 to target among the
        services of a worker after one more attempt of the batch class.
      predict_use: Estimated actual use of a task of the group.
    """

    is_within_quota: Callable[[GroupKey], bool]
    charge_quota: Callable[[GroupKey], None]
    predict_ratio: Callable[[WorkerState, str], float]
    predict_use: Callable[[GroupKey], resources.Resources]


def place_tasks(
    settings: settings_module.Settings,
    state: State,
    policy: Policy,
    now: float,
) -> list[Decision]:
    """Places as many tasks as fit, most urgent first.

    Placed tasks are removed from the queue, and their demand is committed in
    `state`.
    """
    decisions: list[Decision] = []
    blocked: set[GroupKey] = set()
    reserved: dict[str, GroupKey] = {}
    workers = list(state.workers.values())
    racks = _count_racks(state)
    while len(decisions) < settings.tasks.placements_per_round:
        key = _pick_group(settings, state.queue, blocked, now)
        if key is None:
            break
        if not policy.is_within_quota(key):
            blocked.add(key)
            continue
        worker = _pick_worker(
            settings, state, workers, racks, policy, key, reserved
        )
        if worker is None:
            blocked.add(key)
            waited_s = now - state.queue.peek(key).since
            if waited_s >= settings.tasks.aging_s:
                _reserve_worker(workers, key, reserved)
            continue
        task = state.queue.peek(key).task
        state.queue.remove(task)
        charge(worker, key, policy.predict_use(key))
        policy.charge_quota(key)
        counts = racks.setdefault(key.batch_class, {})
        counts[worker.rack] = counts.get(worker.rack, 0) + 1
        decisions.append(Decision(task, worker.id, key))
    return decisions


def charge(
    worker: WorkerState, key: GroupKey, use: resources.Resources
) -> None:
    """Charges one attempt of a group to a worker."""
    worker.committed += key.demand
    worker.used += use
    worker.open_starts -= 1
    running = worker.running
    running[key.batch_class] = running.get(key.batch_class, 0) + 1


def explain_unschedulable(
    state: State, key: GroupKey, all_listed: bool
) -> str | None:
    """Returns why a group can run on none of the workers, or None.

    Args:
      state: Workers of the shard.
      key: The group.
      all_listed: Whether the owner has a listing of every worker. Otherwise a
        worker of unknown capacity might fit.
    """
    if not all_listed or not state.workers:
        return None
    fitting = [
        worker.id
        for worker in state.workers.values()
        if key.demand.fits_within(worker.capacity)
    ]
    if not fitting:
        return "the declared size fits no worker of the shard"
    if key.failed_on.issuperset(fitting):
        return "failed on every worker that it fits"
    return None


def _pick_group(
    settings: settings_module.Settings,
    queue: Queue,
    blocked: set[GroupKey],
    now: float,
) -> GroupKey | None:
    best, best_order = None, (math.inf, math.inf)
    for key, group in queue.groups.items():
        if key in blocked:
            continue
        head = next(iter(group.values()))
        order = (
            _find_effective_rank(settings, key, now - head.since),
            head.order,
        )
        if order < best_order:
            best, best_order = key, order
    return best


def _find_effective_rank(
    settings: settings_module.Settings, key: GroupKey, waited_s: float
) -> int:
    rank = RANKS[key.priority]
    if rank == 0:
        return 0
    return max(1, rank - int(waited_s / settings.tasks.aging_s))


def _pick_worker(
    settings: settings_module.Settings,
    state: State,
    workers: list[WorkerState],
    racks: dict[str, dict[str, int]],
    policy: Policy,
    key: GroupKey,
    reserved: dict[str, GroupKey],
) -> WorkerState | None:
    """Returns the worker with the lowest score among a sample that fits."""
    best, best_score = None, math.inf
    counts = racks.get(key.batch_class, {})
    total = sum(counts.values())
    candidates_left = settings.tasks.candidates
    for step in range(len(workers)):
        worker = workers[(state.cursor + step) % len(workers)]
        if not _can_take(worker, key, reserved):
            continue
        score = policy.predict_ratio(worker, key.batch_class)
        above_threshold = score > settings.tasks.throttle_above
        if worker.throttled and above_threshold and not _is_urgent(key):
            continue
        score *= settings.tasks.interference_weight
        if total:
            share = counts.get(worker.rack, 0) / total
            score += settings.tasks.rack_weight * share
        load = worker.used.find_dominant_share(worker.capacity)
        score += settings.tasks.load_weight * load
        if score < best_score:
            best, best_score = worker, score
        candidates_left -= 1
        if candidates_left == 0:
            break
    state.cursor += settings.tasks.candidates
    return best


def _can_take(
    worker: WorkerState, key: GroupKey, reserved: dict[str, GroupKey]
) -> bool:
    if worker.open_starts <= 0 or not worker.has_room_for(key.demand):
        return False
    if worker.id in key.failed_on:
        return False
    return _is_urgent(key) or reserved.get(worker.id, key) == key


def _is_urgent(key: GroupKey) -> bool:
    return key.priority == documents.Priority.URGENT


def _reserve_worker(
    workers: list[WorkerState], key: GroupKey, reserved: dict[str, GroupKey]
) -> None:
    """Reserves the least committed fitting worker for a long-waiting task.

    Without a reservation, small tasks would take all capacity as it becomes
    free, and a large task would starve.
    """
    fitting = [
        worker
        for worker in workers
        if key.demand.fits_within(worker.capacity)
        and worker.id not in key.failed_on
        and worker.id not in reserved
    ]
    if fitting:
        emptiest = min(
            fitting,
            key=lambda worker: worker.committed.find_dominant_share(
                worker.capacity
            ),
        )
        reserved[emptiest.id] = key


def _count_racks(state: State) -> dict[str, dict[str, int]]:
    """Returns the number of running attempts by batch class and rack."""
    racks: dict[str, dict[str, int]] = {}
    for worker in state.workers.values():
        for batch_class, count in worker.running.items():
            counts = racks.setdefault(batch_class, {})
            counts[worker.rack] = counts.get(worker.rack, 0) + count
    return racks
