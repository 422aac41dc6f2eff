"""State of one owned shard, and the records that its owner appends."""

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
    """Start command of one attempt that this owner decided on.

    Attributes:
      created: When the start record was folded.
      sent: The command may have reached the worker.
      lost_at: End of the last call whose reply was lost, None if the outcome
        of every call is known.
      started_at: When the worker confirmed the start.
    """

    created_at: float
    sent: bool = False
    lost_at: float | None = None
    started_at: float | None = None


@dataclasses.dataclass(slots=True)
class Eviction:
    """An eviction under way.

    Attributes:
      since: When it began.
      asked_at: When the worker confirmed the checkpoint command.
      stopping: The checkpoint is complete, or there is none to wait for.
    """

    started_at: float
    accepted_at: float | None = None
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class WorkerView:
    """What the owner knows about one worker.

    Attributes:
      instance: Entry of the instance list; None for a worker that only the
        task stream names.
      client: HTTP client of the worker; None without an instance.
      listing: Attempts of the newest listing.
      listed_at: Time before the newest successful listing was asked for.
      listed: The instance list names the worker; if not, nothing is started.
      clock_s: The worker's clock as of that listing.
      received_at: When the reply with that listing came.
      fenced: The worker was listed with the epoch of this owner.
      reachable: The last listing succeeded.
      capacity: What batch work may commit; None before the first listing.
      calls: Starts that this owner decided on.
      lease_until: Latest time at which a lease may still run, by attempt.
      default_lease_until: The same for attempts of earlier owners.
      renewed_at: When the last batch of renewals was sent.
      running_since: When this owner first saw an attempt run.
      relief: Throttling and eviction for the services here.
      ratios: Newest ratio of p99 to target by service class.
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
    """What one worker's attempts use.

    Attributes:
      state: For placement; None while nothing may be placed there.
      teams: Declared sizes by team.
    """

    state: placement.WorkerState | None
    teams: dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Shard:
    """One owned shard.

    Attributes:
      list_started_elsewhere: Returns the started tasks of all other shards;
        None while their streams are not read up to date.
      placing: Decisions whose start records are not folded yet; charged.
      charges: What each worker's attempts were last found to use.
      changed: Workers whose charges must be found anew.
      team_use: Sum of the charges by team.
      ending: Tasks for which a requeue or finish record is under way.
      learned: Estimates by batch class.
      misfits: Since when tasks of classes that are not in force wait.
      draining: No new starts; the shard is about to be released.
      stale: The task stream has seen a higher epoch than the claims stream.
      opened_at: When the own `open` record was folded; None before.
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
    """Says whether this process may act as owner at this very moment."""
    now = anyio.current_time()
    return shard.claims.holds_shard(shard.number, shard.epoch, now)


def wake_shard(shard: Shard) -> None:
    """Lets the shard look at its queue now."""
    shard.wake.set()


def wake_worker(shard: Shard, worker: str) -> None:
    """Lets a worker's task look at its attempts now."""
    view = shard.workers.get(worker)
    if view is not None:
        view.wake.set()


async def append_record(
    shard: Shard, kind: type[records.Record], **fields: Any
) -> result.Result[int, outcomes.CallError]:
    """Appends a record of this epoch if the claim is valid, and folds it.

    Returns:
      Ok with the offset once the own reader has folded the record.
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
                outcomes.CallFailure.LOST, "the record was not read in time"
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
    """Ends a task; the fold ignores it when the attempt is stale."""
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
    """Records the end of a task's attempt unless that is under way already.

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


def find_class(shard: Shard, task: tasks.Task) -> documents.BatchClass | None:
    """Returns the batch class of a task, if it is in force."""
    return shard.configuration.find_batch_class(task.batch_class)


def get_demand(shard: Shard, task: tasks.Task) -> resources.Resources:
    """Returns the declared size of a task."""
    if task.size is not None:
        return resources.convert_size(task.size)
    batch_class = find_class(shard, task)
    size = batch_class.size if batch_class is not None else documents.Size()
    return resources.convert_size(size)


def is_idempotent(shard: Shard, task: tasks.Task) -> bool:
    """Says whether a task may run again after an unknown outcome.

    A class that is no longer in force counts as non-idempotent.
    """
    batch_class = find_class(shard, task)
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
