"""Processes a worker's usage reports and relieves slowed services."""

import collections

import anyio

from plantainvane import estimates
from plantainvane import events
from plantainvane import evictions
from plantainvane import interference
from plantainvane import metrics
from plantainvane import placement
from plantainvane import pressure
from plantainvane import shards
from plantainvane import workers

_STATES = workers.AttemptState


async def poll_usage(shard: shards.Shard, view: shards.WorkerView) -> None:
    """Fetches the usage report if it is due, and acts on it."""
    now = anyio.current_time()
    if now - view.usage_fetched_at < shard.settings.tasks.usage_s:
        return
    view.usage_fetched_at = now
    if not view.throttles_reset:
        # An earlier owner may have left attempts throttled.
        view.throttles_reset = await _throttle_worker(shard, view, 1.0)
    fetched = await workers.fetch_usage(view.client)
    if fetched.is_err():
        return
    received = anyio.current_time()
    gap_s = shard.settings.tasks.sample_gap_s
    for sample in fetched.ok_value.samples:
        taken_at = received - sample.age_s
        if taken_at <= view.last_sample_at + gap_s:
            continue
        view.last_sample_at = taken_at
        apply_sample(shard, view, sample)
    if view.latency_ratios:
        await _apply_pressure_step(shard, view, now)


def apply_sample(
    shard: shards.Shard,
    view: shards.WorkerView,
    sample: workers.UsageSample,
) -> None:
    """Updates the models from one usage sample.

    The sample is attributed to the attempts that ran when it was taken.
    """
    running = collections.Counter(
        attempt.batch_class for attempt in sample.attempts
    )
    ratios = {}
    for service in sample.services:
        found = shard.configuration.find_service_class(service.service_class)
        if found is None or service.requests == 0:
            continue
        ratio = service.p99_ms / found.latency_target_ms
        ratios[service.service_class] = ratio
        # A throttled attempt does not show its full effect.
        if not view.service_pressure.throttled:
            interference.note_sample(
                shard.settings,
                shard.interference_model,
                service.service_class,
                ratio,
                running,
            )
    if ratios:
        view.latency_ratios = ratios
    _learn_task_usage(shard, view, sample)


def _learn_task_usage(
    shard: shards.Shard,
    view: shards.WorkerView,
    sample: workers.UsageSample,
) -> None:
    started = shard.stream_view.table.started.get(view.id, {})
    for used in sample.attempts:
        task = started.get(used.task)
        if task is None or task.attempt != used.attempt:
            continue
        estimate = shard.class_estimates.setdefault(
            task.batch_class, estimates.ClassEstimate()
        )
        estimates.note_usage(
            shard.settings,
            estimate,
            shards.get_demand(shard, task),
            used.processors,
            used.memory_bytes,
        )


async def _apply_pressure_step(
    shard: shards.Shard, view: shards.WorkerView, now: float
) -> None:
    """Takes the next step for the service with the highest ratio."""
    service, ratio = max(view.latency_ratios.items(), key=lambda item: item[1])
    step = pressure.decide_step(
        shard.settings, view.service_pressure, ratio, view.last_sample_at, now
    )
    fields = {"shard": shard.number, "worker": view.id, "ratio": ratio}
    if step == pressure.Step.THROTTLE:
        events.log_event(events.WORKER_THROTTLED, **fields)
        metrics.THROTTLES.labels("throttle").inc()
        share = shard.settings.tasks.throttle_share
        harmful = _pick_throttled_classes(shard, view, service)
        await _throttle_worker(shard, view, share, harmful)
    elif step == pressure.Step.RELEASE:
        events.log_event(events.WORKER_RELEASED, **fields)
        metrics.THROTTLES.labels("release").inc()
        await _throttle_worker(shard, view, 1.0)
        shards.wake_shard(shard)
    elif step == pressure.Step.EVICT:
        _evict_one(shard, view, service, now)


def _pick_throttled_classes(
    shard: shards.Shard, view: shards.WorkerView, service: str
) -> set[str]:
    """Picks the running batch classes that slow the service most."""
    names = {
        listed.batch_class
        for listed in view.listing.values()
        if listed.state == _STATES.RUNNING
    }
    return pressure.pick_throttled_classes(
        {
            name: interference.predict_effect(
                shard.settings, shard.interference_model, service, name
            )
            for name in names
        }
    )


async def _throttle_worker(
    shard: shards.Shard,
    view: shards.WorkerView,
    share: float,
    classes: set[str] | None = None,
) -> bool:
    """Limits the running attempts to a share of their declared processors.

    Args:
      shard: The shard.
      view: The worker.
      share: Share of the declared processors; 1.0 removes the limit.
      classes: Batch classes to limit; None for all.

    Returns:
      False if the claim is not valid or the call failed.
    """
    refs = [
        ref
        for ref, listed in view.listing.items()
        if listed.state == _STATES.RUNNING
        and (classes is None or listed.batch_class in classes)
    ]
    if not refs:
        return True
    if not shards.may_act(shard):
        return False
    command = workers.ThrottleCommand(shard.epoch, share, refs)
    return (await workers.throttle_attempts(view.client, command)).is_ok()


def _evict_one(
    shard: shards.Shard,
    view: shards.WorkerView,
    service: str,
    now: float,
) -> None:
    if view.evictions:
        return
    victims = []
    started = shard.stream_view.table.started.get(view.id, {})
    for task in started.values():
        ref = workers.AttemptRef(task.id, task.attempt)
        listed = view.listing.get(ref)
        running = listed is not None and listed.state == _STATES.RUNNING
        if not running or not evictions.may_evict(shard, task):
            continue
        batch_class = shards.find_batch_class(shard, task)
        rank = placement.RANKS[batch_class.priority]
        ran_s = now - view.running_since.get(ref, now)
        victims.append(
            pressure.Victim(
                task=task.id,
                rank=rank,
                effect=interference.predict_effect(
                    shard.settings,
                    shard.interference_model,
                    service,
                    task.batch_class,
                ),
                # A checkpoint saves the work done so far.
                lost_work_s=0.0 if batch_class.checkpoints else ran_s,
            )
        )
    # Urgent tasks are not evicted: the workers are shared for their sake.
    victims = [victim for victim in victims if victim.rank > 0]
    victim = pressure.pick_victim(victims)
    if victim is not None:
        evictions.start_eviction(shard, view, started[victim.task])
        view.wake.set()
