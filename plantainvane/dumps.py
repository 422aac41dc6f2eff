"""Counts and dumps of owned shards, for metrics and operators."""

from typing import Any

import msgspec

from plantainvane import charges
from plantainvane import interference
from plantainvane import metrics
from plantainvane import shards
from plantainvane import suspicion
from plantainvane import workers

DUMP_LIMIT = 200


def count_states(shard: shards.Shard) -> metrics.BatchCounts:
    """Counts attempts, waiting tasks and suspected workers."""
    counts = metrics.BatchCounts()
    started_by_worker = shard.stream_view.table.started
    counts.attempts["starting"] = len(shard.placing)
    for worker, started_tasks in started_by_worker.items():
        view = shard.workers.get(worker)
        if view is None or not view.reachable:
            counts.attempts["unreachable"] += len(started_tasks)
            continue
        evicting = len(view.evictions)
        running = sum(
            workers.AttemptRef(task.id, task.attempt) in view.listing
            for task in started_tasks.values()
        )
        counts.attempts["evicting"] += evicting
        counts.attempts["running"] += max(0, running - evicting)
        counts.attempts["starting"] += len(started_tasks) - running
    for key, group in shard.placement_state.queue.groups.items():
        counts.pending[key.priority.value] += len(group)
    counts.suspected = sum(
        suspicion.is_suspected(shard.failure_history, worker)
        for worker in shard.workers
    )
    return counts


def dump_shard(shard: shards.Shard, now: float) -> dict[str, Any]:
    """Returns the owner's view of the shard, JSON-ready and bounded."""
    return {
        "epoch": shard.epoch,
        "opened": shard.opened_at is not None,
        "may_act": shard.claims.holds_shard(shard.number, shard.epoch, now),
        "draining": shard.draining,
        "book": shard.stream_view.table.dump_state(now),
        "placing": len(shard.placing),
        "workers": {
            id: _dump_worker(shard, view, now)
            for id, view in sorted(shard.workers.items())[:DUMP_LIMIT]
        },
        "suspicion": suspicion.dump_history(shard.failure_history, now),
        "interference": interference.dump_model(shard.interference_model),
    }


def _dump_worker(
    shard: shards.Shard, view: shards.WorkerView, now: float
) -> dict[str, Any]:
    committed = charges.sum_commitment(shard, view)
    return {
        "reachable": view.reachable,
        "fenced": view.fenced,
        "throttled": view.service_pressure.throttled,
        "attempts": len(view.listing),
        "evicting": len(view.evictions),
        "committed": msgspec.to_builtins(committed),
        "capacity": (
            msgspec.to_builtins(view.capacity) if view.capacity else None
        ),
        "ratios": {
            name: round(ratio, 3) for name, ratio in view.latency_ratios.items()
        },
    }
