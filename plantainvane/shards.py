"""State of an owned shard, and the records that its owner appends."""

from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
import anyio.abc
import result

from plantainvane import claims as claims_module
from plantainvane import documents
from plantainvane import estimates
from plantainvane import events
from plantainvane import http_client
from plantainvane import instances
from plantainvane import interference
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import placement
from plantainvane import pressure
from plantainvane import records
from plantainvane import resources
from plantainvane import settings as settings_module
from plantainvane import suspicion
from plantainvane import tasks
from plantainvane import views
from plantainvane import workers
from plantainvane import writers


@dataclasses.dataclass(slots=True)
class StartCall:
    """Start command of an attempt that this owner decided on.

    All times are monotonic.

    Attributes:
      created_at: When the start record was found in the fold.
      sent: Whether the command may have reached the worker.
      lost_at: End of the last call whose reply was lost; None if there was no
        such call.
      started_at: When the worker confirmed the start; None before.
    """

    created_at: float
    sent: bool = False
    lost_at: float | None = None
    started_at: float | None = None


@dataclasses.dataclass(slots=True)
class Eviction:
    """An eviction in progress.

    Attributes:
      started_at: Monotonic time at which it began.
      accepted_at: When the worker accepted the checkpoint command; None
        before.
      stopping: Whether the checkpoint is complete, or none is needed.
    """

    started_at: float
    accepted_at: float | None = None
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class WorkerView:
    """What the owner knows about one worker.

    All times but `worker_clock_s` are monotonic times of this process.

    Attributes:
      instance: Entry of the instance list; None for a worker that only the
        task stream names.
      client: HTTP client of the worker; None without an instance.
      default_lease_until: `lease_until` for the attempts of earlier owners.
      listing: Attempts of the newest listing.
      listing_requested_at: Time just before that listing was requested.
      worker_clock_s: The worker's clock at that listing.
      listing_received_at: When the reply with that listing arrived.
      in_instance_list: Whether the instance list names the worker. If not,
        nothing is started on it.
      fenced: Whether the worker was listed with the epoch of this owner.
      reachable: Whether the last listing succeeded.
      capacity: Resources that batch work may commit; None before the first
        listing.
      starts: Start commands of the attempts that this owner decided on.
      running_since: When this owner first saw an attempt run.
      lease_until: Latest time at which the lease of an attempt may expire.
      evictions: Evictions in progress, by attempt.
      service_pressure: Throttling and eviction state for the services that
        share the worker.
      latency_ratios: Newest ratio of p99 to target, by service class.
      renewed_at: When the last batch of renewals was sent.
      usage_fetched_at: When the usage report was last requested.
      last_sample_at: When the newest usage sample in use was taken.
      throttles_reset: Whether throttles of earlier owners were removed.
    """

    id: str
    instance: instances.Instance | None
    client: http_client.Client | None
    default_lease_until: float
    listing: dict[workers.AttemptRef, workers.ListedAttempt] = (
        dataclasses.field(default_factory=dict)
    )
    listing_requested_at: float = float("-inf")
    worker_clock_s: float = 0.0
    listing_received_at: float = float("-inf")
    in_instance_list: bool = True
    fenced: bool = False
    reachable: bool = True
    capacity: resources.Resources | None = None
    starts: dict[workers.AttemptRef, StartCall] = dataclasses.field(
        default_factory=dict
    )
    running_since: dict[workers.AttemptRef, float] = dataclasses.field(
        default_factory=dict
    )
    lease_until: dict[workers.AttemptRef, float] = dataclasses.field(
        default_factory=dict
    )
    evictions: dict[workers.AttemptRef, Eviction] = dataclasses.field(
        default_factory=dict
    )
    service_pressure: pressure.WorkerPressure = dataclasses.field(
        default_factory=pressure.WorkerPressure
    )
    latency_ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    renewed_at: float = float("-inf")
    usage_fetched_at: float = float("-inf")
    last_sample_at: float = float("-inf")
    throttles_reset: bool = False
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass(slots=True)
class Charge:
    """Resources charged for the attempts of one worker.

    Attributes:
      state: State for placement; None while nothing may be placed there.
      teams: Sum of the declared sizes by team.
    """

    state: placement.WorkerState | None
    teams: dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Shard:
    """One owned shard.

    Attributes:
      list_started_elsewhere: Returns the started tasks of all other shards;
        None while their streams are not read up to date.
      run_worker: Runs the control loop of one worker until cancelled.
      class_estimates: Estimates by batch class.
      placing: Decisions whose start records are not yet folded, by task id.
        They are charged too.
      charges: Newest charge of each worker, by worker id.
      stale_charges: Ids of the workers whose charges must be computed again.
      team_use: Sum of the charges by team.
      ending: Ids of the tasks for which a requeue or finish record is being
        appended.
      unknown_class_since: Since when a pending task of a class that is not in
        force waits, by task id.
      draining: Whether the shard is about to be released; nothing is started.
      superseded: Whether the task stream or a worker has seen a higher epoch
        than the claims stream shows.
      opened_at: When this owner's `shard_open` record was folded; None before.
      snapshot_at: When the last snapshot was written.
      unschedulable_checked_at: When unschedulable tasks were last looked for.
      queue_config_version: Configuration version that the queue was built for.
    """

    settings: settings_module.Settings
    number: int
    epoch: int
    claims: claims_module.Claims
    configuration: Any
    stream_view: views.StreamView
    writer: writers.Writer
    list_instances: Callable[[], dict[str, instances.Instance]]
    make_client: Callable[[instances.Instance], http_client.Client]
    list_started_elsewhere: Callable[[], list[tasks.Task] | None]
    run_worker: Callable[["Shard", WorkerView], Any]
    workers: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    placement_state: placement.State = dataclasses.field(
        default_factory=lambda: placement.State({}, placement.Queue())
    )
    failure_history: suspicion.FailureHistory = dataclasses.field(
        default_factory=suspicion.FailureHistory
    )
    interference_model: interference.Model = dataclasses.field(
        default_factory=interference.Model
    )
    class_estimates: dict[str, estimates.ClassEstimate] = dataclasses.field(
        default_factory=dict
    )
    placing: dict[str, placement.Decision] = dataclasses.field(
        default_factory=dict
    )
    charges: dict[str, Charge] = dataclasses.field(default_factory=dict)
    stale_charges: set[str] = dataclasses.field(default_factory=set)
    team_use: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    ending: set[str] = dataclasses.field(default_factory=set)
    unknown_class_since: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    draining: bool = False
    superseded: bool = False
    opened_at: float | None = None
    snapshot_at: float = 0.0
    unschedulable_checked_at: float = float("-inf")
    queue_config_version: int = -1
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


def may_act(shard: Shard) -> bool:
    """Returns whether this process may act as owner right now."""
    now = anyio.current_time()
    return shard.claims.holds_shard(shard.number, shard.epoch, now)


def wake_shard(shard: Shard) -> None:
    """Wakes the shard loop."""
    shard.wake.set()


def wake_worker(shard: Shard, worker: str) -> None:
    """Wakes the loop of a worker, if there is one."""
    view = shard.workers.get(worker)
    if view is not None:
        view.wake.set()


async def append_record(
    shard: Shard, kind: type[records.Record], **fields: Any
) -> result.Result[int, outcomes.CallError]:
    """Appends a record of this epoch and waits until it is folded.

    Returns:
      Ok with the offset once this process has folded the record. Err STALE if
      the claim is not valid, so that nothing was sent; Err LOST if the record
      was not folded within `fold_wait_s`; otherwise the error of the append.
    """
    if not may_act(shard):
        return result.Err(
            outcomes.CallError(
                outcomes.CallFailure.STALE, "the claim has lapsed"
            )
        )
    appended = await shard.writer.append(kind, epoch=shard.epoch, **fields)
    if appended.is_err():
        return appended
    limit_s = shard.settings.tasks.fold_wait_s
    if not await views.wait_folded(
        shard.stream_view, appended.ok_value, limit_s
    ):
        return result.Err(
            outcomes.CallError(
                outcomes.CallFailure.LOST,
                "the record was not read back in time",
            )
        )
    return appended


async def finish_task(
    shard: Shard,
    task: tasks.Task,
    outcome: tasks.TaskOutcome,
    detail: str = "",
    output: Any = None,
) -> None:
    """Records the end of a task; the fold ignores it for a stale attempt."""
    ended = await _end_attempt(
        shard,
        task,
        records.TaskFinish,
        outcome=outcome.value,
        detail=detail,
        output=output,
    )
    if ended:
        suspicion.forget_task(shard.failure_history, task.id)
        metrics.TASK_ENDS.labels(outcome.value).inc()
        _log_end(shard, task, outcome, detail)


async def requeue_task(
    shard: Shard,
    task: tasks.Task,
    cause: tasks.RequeueCause,
    checkpoint: str | None = None,
) -> None:
    """Makes a task pending again after its attempt is known to have ended."""
    ended = await _end_attempt(
        shard,
        task,
        records.TaskRequeue,
        cause=cause.value,
        checkpoint=checkpoint,
    )
    if ended:
        metrics.REQUEUES.labels(cause.value).inc()


async def _end_attempt(
    shard: Shard, task: tasks.Task, kind: type[records.Record], **fields: Any
) -> bool:
    """Records the end of a task's attempt unless this is already in progress.

    Returns:
      Whether the record was appended and folded.
    """
    if task.id in shard.ending:
        return False
    shard.ending.add(task.id)
    try:
        appended = await append_record(
            shard, kind, task=task.id, attempt=task.attempt, **fields
        )
    finally:
        shard.ending.discard(task.id)
    wake_shard(shard)
    return appended.is_ok()


def find_batch_class(
    shard: Shard, task: tasks.Task
) -> documents.BatchClass | None:
    """Returns the batch class of a task; None if it is not in force."""
    return shard.configuration.find_batch_class(task.batch_class)


def get_demand(shard: Shard, task: tasks.Task) -> resources.Resources:
    """Returns the declared size of a task as resources."""
    if task.size is not None:
        return resources.convert_size(task.size)
    batch_class = find_batch_class(shard, task)
    size = batch_class.size if batch_class is not None else documents.Size()
    return resources.convert_size(size)


def is_idempotent(shard: Shard, task: tasks.Task) -> bool:
    """Returns whether a task may run again after an unknown outcome.

    A class that is no longer in force counts as non-idempotent.
    """
    batch_class = find_batch_class(shard, task)
    return batch_class is not None and batch_class.idempotent


def _log_end(
    shard: Shard, task: tasks.Task, outcome: tasks.TaskOutcome, detail: str
) -> None:
    event = {
        tasks.TaskOutcome.UNKNOWN: events.TASK_UNKNOWN,
        tasks.TaskOutcome.FAILED: events.TASK_FAILED,
        tasks.TaskOutcome.IMPOSSIBLE: events.TASK_IMPOSSIBLE,
    }.get(outcome)
    if event is not None:
        events.log_event(
            event,
            shard=shard.number,
            task=task.id,
            attempt=task.attempt,
            detail=detail,
        )
