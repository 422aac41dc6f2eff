"""Compares the batch scheduling policy with simple baselines on fakes.

The fakes are a table of workers that advances in steps of one second. The
policy sees the effect of one class on another only through usage samples,
which arrive 3 s late.
"""

import collections
import dataclasses
import random
import statistics
import time
import tracemalloc
from typing import Any

import msgspec

from bench import fakes
from plantainvane import documents
from plantainvane import interference
from plantainvane import placement
from plantainvane import pressure
from plantainvane import records
from plantainvane import resources
from plantainvane import suspicion

SEED = 7
SETTINGS = fakes.make_settings()
SAMPLE_LAG_S = 3
SIMULATED_S = 1800
WARM_UP_S = 120
SERVICES = ("preview", "quote", "forecast")
# Simulated increase of the ratio of p99 to latency target per running attempt,
# by (service, batch class). The policy has to learn these values.
EFFECTS = {
    ("preview", "render"): 0.35,
    ("preview", "sync"): 0.03,
    ("preview", "outlook"): 0.05,
    ("quote", "render"): 0.03,
    ("quote", "sync"): 0.35,
    ("quote", "outlook"): 0.05,
    ("forecast", "render"): 0.05,
    ("forecast", "sync"): 0.05,
    ("forecast", "outlook"): 0.30,
}
# Batch class to (arrivals per second in the whole cluster, run time in
# seconds).
CLASSES = {"render": (0.8, 30.0), "sync": (0.8, 30.0), "outlook": (0.8, 30.0)}
WORKER_COUNT = 24
TARGET_MS = 200.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A running attempt.

    Attributes:
      remaining_s: Run time that remains at the full processor share.
      throttled: Whether the attempt runs at the throttled share.
    """

    task: str
    batch_class: str
    remaining_s: float
    throttled: bool = False


@dataclasses.dataclass(slots=True)
class SimulatedWorker:
    """A worker with one service.

    Attributes:
      samples: Usage samples (time, ratio, attempts by batch class), oldest
        first, that the policy has not seen yet.
    """

    state: placement.WorkerState
    service: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    samples: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    pressure_state: pressure.WorkerPressure = dataclasses.field(
        default_factory=pressure.WorkerPressure
    )


def run_measurements() -> dict[str, Any]:
    """Runs all measurements with fixed sizes and seeds.

    Returns the figures by measurement.
    """
    return {
        "seed": SEED,
        "colocation": measure_colocation(),
        "failing_worker": measure_failing_worker(),
        "failing_task": measure_failing_task(),
        "cost": measure_cost(),
    }


def measure_colocation() -> dict[str, Any]:
    """Compares least-loaded placement with the whole policy.

    Under the `normal` load the policy can choose between workers; under the
    `crowded` load it hardly can.
    """
    return {
        "workers": WORKER_COUNT,
        "simulated_s": SIMULATED_S,
        "normal": _compare_policies(0.95),
        "crowded": _compare_policies(1.4),
    }


def _compare_policies(load: float) -> dict[str, Any]:
    baseline = _run_cluster(load, learns=False)
    policy = _run_cluster(load, learns=True)
    return {
        "baseline": baseline,
        "policy": policy,
        "p99_lower_by": round(1 - policy["p99_ms"] / baseline["p99_ms"], 3),
        "throughput_ratio": round(
            policy["work_done_s"] / baseline["work_done_s"], 3
        ),
    }


def _run_cluster(load: float, learns: bool) -> dict[str, Any]:
    rng = random.Random(SEED)
    noise = random.Random(SEED + 1)
    workers = {worker.state.id: worker for worker in _make_workers()}
    state = placement.State(
        {id: worker.state for id, worker in workers.items()}, placement.Queue()
    )
    model = interference.Model()
    remaining_s_by_task: dict[str, float] = {}
    latencies: list[tuple[int, float]] = []
    counts = collections.Counter()
    work_done_s = 0.0
    for now in range(SIMULATED_S):
        _submit_tasks(rng, state.queue, remaining_s_by_task, load, now)
        for worker in workers.values():
            work_done_s += _advance_worker(worker, state.queue, counts)
            sample = _take_sample(worker, noise, now)
            latencies.append((now, sample[1] * TARGET_MS))
            if learns:
                _review_worker(
                    worker, model, state.queue, remaining_s_by_task, counts, now
                )
            worker.state.open_starts = 100
        policy = _make_policy(workers, model, learns)
        for decision in placement.place_tasks(SETTINGS, state, policy, now):
            batch_class = decision.key.batch_class
            workers[decision.worker].attempts.append(
                Attempt(
                    decision.task,
                    batch_class,
                    remaining_s_by_task[decision.task],
                )
            )
    all_ms = [value for _, value in latencies]
    settled_ms = [value for at, value in latencies if at >= WARM_UP_S]
    return {
        "p99_ms": _find_p99(all_ms),
        "p99_after_warm_up_ms": _find_p99(settled_ms),
        "mean_ms": round(statistics.fmean(all_ms), 1),
        "work_done_s": round(work_done_s, 1),
        "tasks_done": counts["done"],
        "throttles": counts["throttle"],
        "evictions": counts["evict"],
        "waiting_at_end": len(state.queue),
    }


def _make_workers() -> list[SimulatedWorker]:
    capacity = resources.Resources(6000, 1 << 34, 0)
    return [
        SimulatedWorker(
            placement.WorkerState(
                f"w{number}",
                f"r{number // 8}",
                capacity,
                services=(SERVICES[number % 3],),
            ),
            SERVICES[number % 3],
        )
        for number in range(WORKER_COUNT)
    ]


def _make_key(batch_class: str) -> placement.GroupKey:
    return placement.GroupKey(
        batch_class,
        documents.Priority.BULK,
        "team",
        resources.Resources(1000, 1 << 30, 0),
    )


def _submit_tasks(
    rng: random.Random,
    queue: placement.Queue,
    remaining_s_by_task: dict[str, float],
    load: float,
    now: int,
) -> None:
    # Demand rises by half from one second to the next and stays there for
    # one minute in ten.
    factor = load * (1.5 if now % 600 < 60 else 1.0)
    for batch_class, (rate, run_s) in CLASSES.items():
        expected = rate * factor
        arrivals = int(expected) + (rng.random() < expected % 1)
        for _ in range(arrivals):
            task = f"t{len(remaining_s_by_task)}"
            # 3% of the tasks run 8 times as long as the others.
            length_factor = 8.0 if rng.random() < 0.03 else 1.0
            remaining_s_by_task[task] = (
                run_s * length_factor * rng.uniform(0.5, 1.5)
            )
            queue.add(
                _make_key(batch_class),
                placement.QueuedTask(
                    task, len(remaining_s_by_task), float(now)
                ),
            )


def _advance_worker(
    worker: SimulatedWorker, queue: placement.Queue, counts: collections.Counter
) -> float:
    """Advances a worker by one second.

    Returns the work done, in seconds at the full share.
    """
    done = 0.0
    for attempt in list(worker.attempts):
        share = _find_share(attempt)
        done += min(share, attempt.remaining_s)
        attempt.remaining_s -= share
        if attempt.remaining_s <= 0:
            _remove_attempt(worker, attempt)
            counts["done"] += 1
    return done


def _find_share(attempt: Attempt) -> float:
    return SETTINGS.tasks.throttle_share if attempt.throttled else 1.0


def _throttle_worker(
    worker: SimulatedWorker, model: interference.Model
) -> None:
    effects = {
        attempt.batch_class: interference.predict_effect(
            SETTINGS, model, worker.service, attempt.batch_class
        )
        for attempt in worker.attempts
    }
    harmful = pressure.pick_throttled_classes(effects)
    for attempt in worker.attempts:
        attempt.throttled = (
            worker.pressure_state.throttled and attempt.batch_class in harmful
        )


def _remove_attempt(worker: SimulatedWorker, attempt: Attempt) -> None:
    worker.attempts.remove(attempt)
    amount = _make_key(attempt.batch_class).demand
    worker.state.committed -= amount
    worker.state.used -= amount
    worker.state.running[attempt.batch_class] -= 1


def _take_sample(
    worker: SimulatedWorker, noise: random.Random, now: int
) -> tuple[int, float, dict[str, int]]:
    running = dict(
        collections.Counter(attempt.batch_class for attempt in worker.attempts)
    )
    ratio = 0.35 + sum(
        _find_share(attempt) * EFFECTS[worker.service, attempt.batch_class]
        for attempt in worker.attempts
    )
    ratio *= noise.uniform(0.9, 1.1)
    sample = (now, ratio, running)
    worker.samples.append(sample)
    return sample


def _review_worker(
    worker: SimulatedWorker,
    model: interference.Model,
    queue: placement.Queue,
    remaining_s_by_task: dict[str, float],
    counts: collections.Counter,
    now: int,
) -> None:
    """Applies the policy to the sample that has become visible, if any.

    Updates the interference model unless the worker is throttled, then takes
    the step that the sample calls for: throttle, evict or release.
    """
    if not worker.samples or now - worker.samples[0][0] < SAMPLE_LAG_S:
        return
    taken_at, ratio, running = worker.samples.popleft()
    if not worker.pressure_state.throttled:
        interference.note_sample(
            SETTINGS, model, worker.service, ratio, running
        )
    step = pressure.decide_step(
        SETTINGS, worker.pressure_state, ratio, taken_at, now
    )
    if step == pressure.Step.NONE:
        return
    counts[step.value] += 1
    worker.state.throttled = worker.pressure_state.throttled
    _throttle_worker(worker, model)
    if step != pressure.Step.EVICT or not worker.attempts:
        return
    victim = pressure.pick_victim(
        [
            pressure.Victim(
                attempt.task,
                2,
                interference.predict_effect(
                    SETTINGS, model, worker.service, attempt.batch_class
                ),
                0.0,
            )
            for attempt in worker.attempts
        ]
    )
    attempt = next(a for a in worker.attempts if a.task == victim.task)
    _remove_attempt(worker, attempt)
    # The checkpoint keeps the work done; taking it and stopping the attempt
    # costs one second.
    remaining_s_by_task[attempt.task] = attempt.remaining_s + 1.0
    queue.add(
        _make_key(attempt.batch_class),
        placement.QueuedTask(attempt.task, 0, float(now)),
    )


def _make_policy(
    workers: dict[str, SimulatedWorker], model: interference.Model, learns: bool
) -> placement.Policy:
    def predict_ratio(worker: placement.WorkerState, batch_class: str) -> float:
        if not learns:
            return 0.0
        service = workers[worker.id].service
        ratio = interference.predict_ratio(
            SETTINGS, model, service, worker.running
        )
        return ratio + interference.predict_effect(
            SETTINGS, model, service, batch_class
        )

    return placement.Policy(
        is_within_quota=lambda key: True,
        charge_quota=lambda key: None,
        predict_ratio=predict_ratio,
        predict_use=lambda key: key.demand,
    )


def _find_p99(values: list[float]) -> float:
    return round(statistics.quantiles(values, n=100)[98], 1)


def measure_failing_worker() -> dict[str, Any]:
    """Counts attempts lost to a failing worker, with and without suspicion.

    There are ten workers. Tasks run for 5 s, except on the failing worker,
    where each fails after 1 s. The worker is repaired after 300 s; the time
    until it is trusted again is measured.
    """
    return {
        "baseline": _run_failing_worker(uses_suspicion=False),
        "policy": _run_failing_worker(uses_suspicion=True),
    }


def _run_failing_worker(uses_suspicion: bool) -> dict[str, Any]:
    history = suspicion.FailureHistory()
    names = [f"w{number}" for number in range(10)]
    running: list[tuple[float, str, str]] = []
    lost = number = 0
    lost_before_suspected: int | None = None
    wrongly_suspected: set[str] = set()
    repaired_at, trusted_at = 300.0, None
    for now in range(600):
        for ends_at, worker, task in [r for r in running if r[0] <= now]:
            running.remove((ends_at, worker, task))
            if worker == "w0" and now < repaired_at:
                suspicion.note_failure(
                    SETTINGS, history, worker, task, "c", float(now)
                )
                lost += 1
                # The task restarts on another worker immediately.
                running.append((now + 5.0, "w1", task))
            else:
                suspicion.note_success(SETTINGS, history, worker, task, "c")
        suspected = suspicion.is_suspected(history, "w0")
        if suspected and lost_before_suspected is None:
            lost_before_suspected = lost
        if now >= repaired_at and not suspected and trusted_at is None:
            trusted_at = now
        wrongly_suspected.update(
            name for name in names[1:] if suspicion.is_suspected(history, name)
        )
        for _ in range(20):
            busy = collections.Counter(worker for _, worker, _ in running)
            worker = min(names, key=lambda name: busy[name])
            if uses_suspicion:
                available_names = [
                    name
                    for name in names
                    if busy[name] < 16
                    and suspicion.count_open_starts(
                        SETTINGS, history, name, busy[name], float(now)
                    )
                ]
                if not available_names:
                    break
                worker = min(available_names, key=lambda name: busy[name])
            if busy[worker] >= 16:
                break
            number += 1
            task = f"t{number}"
            suspicion.note_start(history, worker, task)
            fails = worker == "w0" and now < repaired_at
            running.append((now + (1.0 if fails else 5.0), worker, task))
    return {
        "tasks_started": number,
        "lost_before_suspected": lost_before_suspected
        if uses_suspicion
        else None,
        "lost_in_300_s": lost,
        "healthy_suspected": len(wrongly_suspected) if uses_suspicion else 0,
        "trusted_again_after_s": (
            trusted_at - repaired_at if uses_suspicion and trusted_at else None
        ),
    }


def measure_failing_task() -> dict[str, Any]:
    """Counts healthy workers suspected because of tasks that always fail.

    Ten such tasks run one after the other, each on `max_attempts` workers.
    """
    history = suspicion.FailureHistory()
    names = [f"w{number}" for number in range(10)]
    suspected: set[str] = set()
    for number in range(10):
        for name in names:
            suspicion.note_success(SETTINGS, history, name, f"ok{number}", "c")
        for worker in names[: SETTINGS.tasks.max_attempts]:
            suspicion.note_failure(
                SETTINGS, history, worker, f"bad{number}", "c", float(number)
            )
            suspected.update(
                name for name in names if suspicion.is_suspected(history, name)
            )
    return {"tasks": 10, "healthy_suspected": len(suspected)}


def measure_cost() -> dict[str, Any]:
    """Measures the cost of a decision by worker count and queue length.

    Times are microseconds per decision, memory is bytes per decision.
    """
    rows = []
    for workers in (25, 250, 2500):
        for queued in (10, 100, 1000):
            rows.append(_measure_placement_cost(workers, queued))
    by_workers = [row for row in rows if row["queued_per_worker"] == 100]
    by_queue = [row for row in rows if row["workers"] == 250]
    return {
        "rows": rows,
        "record_bytes_per_decision": _measure_record_bytes(),
        "slope_us_per_worker": _find_slope(by_workers, "workers"),
        "slope_us_per_queued_task": _find_slope(by_queue, "queued_per_worker"),
    }


def _measure_placement_cost(workers: int, queued: int) -> dict[str, Any]:
    state = _make_state(workers, queued)
    policy = _make_cost_policy()
    round_us = []
    decision_count = 0
    for _ in range(5):
        _reset_workers(state)
        began = time.perf_counter()
        decisions = placement.place_tasks(SETTINGS, state, policy, 1.0)
        round_us.append(
            (time.perf_counter() - began) * 1e6 / max(1, len(decisions))
        )
        decision_count = len(decisions)
        _requeue_tasks(state, decisions)
    tracemalloc.start()
    _reset_workers(state)
    decisions = placement.place_tasks(SETTINGS, state, policy, 1.0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return {
        "workers": workers,
        "queued_per_worker": queued,
        "decisions_per_round": decision_count,
        "us_per_decision": round(statistics.median(round_us), 1),
        "spread": round(
            (max(round_us) - min(round_us)) / statistics.median(round_us), 2
        ),
        "bytes_per_decision": round(peak / max(1, len(decisions))),
    }


def _make_state(workers: int, queued: int) -> placement.State:
    states = {
        f"w{number}": placement.WorkerState(
            f"w{number}",
            f"r{number // 8}",
            resources.Resources(12000, 45 << 30, 2),
            services=(SERVICES[number % 3],),
        )
        for number in range(workers)
    }
    state = placement.State(states, placement.Queue())
    keys = [
        placement.GroupKey(
            f"class-{number}",
            list(documents.Priority)[number % 3],
            f"team-{number % 5}",
            resources.Resources(
                500 * (1 + number % 4), (1 + number % 3) << 30, 0
            ),
        )
        for number in range(20)
    ]
    for number in range(workers * queued):
        key = keys[number % len(keys)]
        state.queue.add(key, placement.QueuedTask(str(number), number, 0.0))
    return state


def _reset_workers(state: placement.State) -> None:
    """Sets each worker to half full, with four attempts of two classes."""
    for number, worker in enumerate(state.workers.values()):
        worker.committed = resources.Resources(6000, 22 << 30, 0)
        worker.used = worker.committed
        worker.open_starts = 16
        worker.running = {
            f"class-{number % 20}": 2,
            f"class-{(number + 7) % 20}": 2,
        }


def _requeue_tasks(
    state: placement.State, decisions: list[placement.Decision]
) -> None:
    for order, decision in enumerate(decisions):
        state.queue.add(
            decision.key, placement.QueuedTask(decision.task, order, 0.0)
        )


def _make_cost_policy() -> placement.Policy:
    rng = random.Random(SEED)
    model = interference.Model()
    for _ in range(500):
        running = {f"class-{rng.randrange(20)}": 1}
        service = rng.choice(SERVICES)
        interference.note_sample(
            SETTINGS, model, service, rng.uniform(0.3, 0.9), running
        )

    def predict_ratio(worker: placement.WorkerState, batch_class: str) -> float:
        service = worker.services[0]
        ratio = interference.predict_ratio(
            SETTINGS, model, service, worker.running
        )
        return ratio + interference.predict_effect(
            SETTINGS, model, service, batch_class
        )

    return placement.Policy(
        is_within_quota=lambda key: True,
        charge_quota=lambda key: None,
        predict_ratio=predict_ratio,
        predict_use=lambda key: key.demand,
    )


def _measure_record_bytes() -> int:
    record = records.TaskStart(
        writer="entry-a-1",
        incarnation=1_796_000_000_000,
        sequence=123_456,
        epoch=12,
        task="outlook-2026-12-04-0001",
        attempt=1,
        worker="worker-a-0017",
    )
    return len(msgspec.json.encode(record))


def _find_slope(rows: list[dict[str, Any]], size: str) -> float:
    slope = statistics.linear_regression(
        [row[size] for row in rows],
        [row["us_per_decision"] for row in rows],
    ).slope
    return round(slope, 4)
