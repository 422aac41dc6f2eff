"""Tasks of one shard, as folded from its task stream.

The fold depends only on the records and the settings, never on time, so every
reader reaches the same state. The times in `pending_since` are local to this
reader and not part of a snapshot.
"""

import enum
from typing import Any

import msgspec

from plantainvane import documents
from plantainvane import readers
from plantainvane import records
from plantainvane import settings as settings_module


class TaskPhase(enum.StrEnum):
    """Phase of a task in the task stream.

    Only the shard's owner knows what a started attempt is doing.
    """

    PENDING = "pending"
    STARTED = "started"
    FINISHED = "finished"


class TaskOutcome(enum.StrEnum):
    """How a task ended.

    UNKNOWN: the attempt may have run in whole or in part, and must not be
      repeated. IMPOSSIBLE: never started, because no worker can run it.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    IMPOSSIBLE = "impossible"


class RequeueCause(enum.StrEnum):
    """Why a task became pending again."""

    EVICTED = "evicted"
    FAILED = "failed"
    LAPSED = "lapsed"
    NOT_STARTED = "not_started"


class Task(msgspec.Struct):
    """One task.

    Attributes:
      offset: Offset of the submit record; defines the order of submission.
      attempt: Number of the newest attempt; 0 before the first start.
      worker: Id of the worker of the newest attempt.
      epoch: Epoch of the owner that started the newest attempt.
      checkpoint: Name of the newest confirmed checkpoint.
      failed_on: Ids of the workers on which an attempt failed, each once,
        oldest first.
      cancelled: Whether a cancellation was requested.
    """

    id: str
    batch_class: str
    submitted: float
    work: dict[str, Any]
    size: documents.Size | None
    offset: int
    phase: TaskPhase = TaskPhase.PENDING
    attempt: int = 0
    worker: str = ""
    epoch: int = 0
    checkpoint: str | None = None
    failed_on: list[str] = []
    evictions: int = 0
    cancelled: bool = False
    outcome: TaskOutcome | None = None
    detail: str = ""
    output: Any = None


class ShardState(msgspec.Struct):
    """The state in a snapshot record.

    Attributes:
      tasks: Pending and started tasks.
      finished: Ended tasks, oldest first.
      writers: Rows of readers.SeenSequences.
    """

    epoch: int
    tasks: list[Task]
    finished: list[Task]
    writers: list[tuple[str, int, int]]


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(ShardState)


class TaskTable:
    """All tasks of one shard.

    Attributes:
      next_offset: Offset after the newest folded record.
      epoch: Highest opened epoch; records of other epochs are ignored.
      pending: Tasks that wait for a start, by id, in the order in which they
        became pending.
      started: Tasks with an attempt that is not known to have ended, by
        worker and id. Their sizes count as committed.
      finished: Ended tasks by id, oldest first, at most `finished_kept`.
      pending_since: Time at which this reader learned that a task is pending,
        by id.
      records_since_snapshot: Number of records folded since the last snapshot
        record.
      changed_tasks: Ids of the tasks that changed since the set was last
        emptied. The owner empties it, or the follower of the stream if this
        process does not own the shard.
      changed_workers: Ids of the workers whose started tasks changed; emptied
        likewise.
    """

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._seen = readers.SeenSequences()
        self.next_offset = 0
        self.epoch = 0
        self.pending: dict[str, Task] = {}
        self.started: dict[str, dict[str, Task]] = {}
        self.finished: dict[str, Task] = {}
        self.pending_since: dict[str, float] = {}
        self.records_since_snapshot = 0
        self.changed_tasks: set[str] = set()
        self.changed_workers: set[str] = set()
        self._live: dict[str, Task] = {}

    def apply_records(
        self, entries: list[tuple[int, records.TaskRecord]], now: float
    ) -> None:
        """Folds records in offset order; ignores those already folded."""
        for offset, record in entries:
            if isinstance(record, records.ShardSnapshot):
                self.records_since_snapshot = 0
                if record.through_offset >= self.next_offset:
                    # Records after `through_offset` may follow, including
                    # some that were stored before the snapshot itself.
                    self._load_snapshot(record, now)
                    continue
            if offset < self.next_offset:
                continue
            self.next_offset = offset + 1
            self.records_since_snapshot += 1
            if self._seen.add_record(record):
                self._apply_record(offset, record, now)

    def find_task(self, task: str) -> Task | None:
        """Returns a live task, or an ended one that is still retained."""
        return self._live.get(task) or self.finished.get(task)

    def list_live(self) -> list[Task]:
        """Lists the pending and started tasks in order of submission."""
        return sorted(self._live.values(), key=lambda task: task.offset)

    def encode_state(self) -> tuple[int, msgspec.Raw]:
        """Returns the last folded offset and the encoded state up to it."""
        state = ShardState(
            epoch=self.epoch,
            tasks=self.list_live(),
            finished=list(self.finished.values()),
            writers=self._seen.list_rows(),
        )
        return self.next_offset - 1, msgspec.Raw(_ENCODER.encode(state))

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns counts and the longest wait as JSON-ready values."""
        waits = [now - seen for seen in self.pending_since.values()]
        return {
            "epoch": self.epoch,
            "next_offset": self.next_offset,
            "pending": len(self.pending),
            "started": sum(len(tasks) for tasks in self.started.values()),
            "finished_kept": len(self.finished),
            "longest_wait_s": round(max(waits, default=0.0), 3),
        }

    def _load_snapshot(self, record: records.ShardSnapshot, now: float) -> None:
        state = _DECODER.decode(record.state)
        self._seen = readers.SeenSequences(state.writers)
        self.epoch = state.epoch
        self._live = {}
        self.changed_workers.update(self.started)
        self.pending, self.started, self.pending_since = {}, {}, {}
        self.finished = {task.id: task for task in state.finished}
        for task in state.tasks:
            self.changed_tasks.add(task.id)
            self._live[task.id] = task
            if task.phase == TaskPhase.PENDING:
                self._mark_pending(task, now)
            else:
                self.changed_workers.add(task.worker)
                self.started.setdefault(task.worker, {})[task.id] = task
        self.next_offset = record.through_offset + 1

    def _apply_record(
        self, offset: int, record: records.TaskRecord, now: float
    ) -> None:
        if hasattr(record, "task"):
            self.changed_tasks.add(record.task)
        match record:
            case records.TaskSubmit():
                self._apply_submit(offset, record, now)
            case records.ShardOpen():
                self.epoch = max(self.epoch, record.epoch)
            case records.TaskStart():
                self._apply_start(record)
            case records.TaskRequeue():
                self._apply_requeue(record, now)
            case records.TaskFinish():
                self._apply_finish(record)
            case records.TaskCancel():
                task = self._live.get(record.task)
                if task is not None:
                    task.cancelled = True

    def _apply_submit(
        self, offset: int, record: records.TaskSubmit, now: float
    ) -> None:
        if self.find_task(record.task) is not None:
            return
        task = Task(
            id=record.task,
            batch_class=record.batch_class,
            submitted=record.submitted,
            work=record.work,
            size=record.size,
            offset=offset,
        )
        self._live[task.id] = task
        self._mark_pending(task, now)

    def _apply_start(self, record: records.TaskStart) -> None:
        task = self.pending.get(record.task)
        if task is None or record.epoch != self.epoch:
            return
        if record.attempt != task.attempt + 1:
            return
        self._unmark_pending(task)
        task.phase = TaskPhase.STARTED
        task.attempt = record.attempt
        task.worker = record.worker
        task.epoch = record.epoch
        self.changed_workers.add(task.worker)
        self.started.setdefault(task.worker, {})[task.id] = task

    def _apply_requeue(self, record: records.TaskRequeue, now: float) -> None:
        task = self._live.get(record.task)
        if task is None or not self._is_current(record, task):
            return
        if task.phase != TaskPhase.STARTED:
            return
        self._unmark_started(task)
        task.phase = TaskPhase.PENDING
        task.checkpoint = record.checkpoint or task.checkpoint
        if record.cause == RequeueCause.FAILED:
            if task.worker not in task.failed_on:
                task.failed_on.append(task.worker)
        elif record.cause == RequeueCause.EVICTED:
            task.evictions += 1
        self._mark_pending(task, now)

    def _apply_finish(self, record: records.TaskFinish) -> None:
        task = self._live.get(record.task)
        if task is None or not self._is_current(record, task):
            return
        if task.phase == TaskPhase.STARTED:
            self._unmark_started(task)
        else:
            self._unmark_pending(task)
        del self._live[task.id]
        task.phase = TaskPhase.FINISHED
        task.outcome = TaskOutcome(record.outcome)
        task.detail = record.detail
        task.output = record.output
        # No longer needed, and otherwise the largest part of a snapshot.
        task.work = {}
        self.finished[task.id] = task
        if len(self.finished) > self._settings.tasks.finished_kept:
            del self.finished[next(iter(self.finished))]

    def _is_current(
        self, record: records.TaskRequeue | records.TaskFinish, task: Task
    ) -> bool:
        return record.epoch == self.epoch and record.attempt == task.attempt

    def _mark_pending(self, task: Task, now: float) -> None:
        self.pending[task.id] = task
        self.pending_since[task.id] = now

    def _unmark_pending(self, task: Task) -> None:
        del self.pending[task.id]
        del self.pending_since[task.id]

    def _unmark_started(self, task: Task) -> None:
        self.changed_workers.add(task.worker)
        started = self.started[task.worker]
        del started[task.id]
        if not started:
            del self.started[task.worker]
