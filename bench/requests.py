"""Compares the request policy with baselines.

Measures head-of-line blocking, a step in demand, failing targets and the cost
of routing. Runners are fakes in this process that take their run time from the
body of the request. Arrivals are drawn with fixed seeds and sent in real time.
Each baseline gets the same arrivals as the policy, in the same run.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import random
import sys
import time
from typing import Any

import anyio
import msgspec

from bench import fakes
from plantainvane import dispatcher as dispatcher_module
from plantainvane import documents
from plantainvane import ejection
from plantainvane import fleet as fleet_module
from plantainvane import outcomes
from plantainvane import routing
from plantainvane import slots
from plantainvane import targets

ANSWERED = outcomes.RequestOutcome.ANSWERED
NOT_RUN = outcomes.RequestOutcome.NOT_RUN
PREVIEW_RUN_S = 0.02
SYNC_RUN_S = 2.0
CONCURRENT_SYNCS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a schedule; `at_s` counts from the schedule's start."""

    at_s: float
    service_class: str
    run_s: float
    deadline_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallResult:
    """The outcome, duration and attempts of one request."""

    arrival: Arrival
    request_id: str
    outcome: str
    duration_s: float
    attempts: int

    @property
    def in_time(self) -> bool:
        """Whether the caller got an answer within the deadline plus 5 ms."""
        return (
            self.outcome == ANSWERED
            and self.duration_s <= self.arrival.deadline_s + 0.005
        )


# Sends a request: (request id, arrival) -> (outcome, attempts).
Send = Callable[[str, Arrival], Awaitable[tuple[str, int]]]


def run_measurements() -> dict[str, Any]:
    """Runs all measurements and returns the figures by measurement."""
    return {
        "blocking": anyio.run(measure_blocking),
        "step": anyio.run(measure_step),
        "faults": anyio.run(measure_faults),
        "routing": measure_routing(),
    }


async def measure_blocking() -> dict[str, Any]:
    """Measures short previews while long syncs saturate the runners.

    Compares the p99 latency under the policy and under a FIFO queue with that
    of previews alone.
    """
    previews = list(_draw_arrivals(1, 6.0, 60.0, "preview", PREVIEW_RUN_S, 5.0))
    classes = (
        fakes.make_service_class(
            "preview", deadline_ms=5000, expected_run_ms=500
        ),
        # The declared run time is far too short, as the catalogue sync's
        # was.
        fakes.make_service_class(
            "sync",
            priority=documents.Priority.NORMAL,
            deadline_ms=600_000,
            expected_run_ms=50,
        ),
    )
    async with fakes.serve_runners(3) as runners:
        async with _run_policy(runners, classes) as send:
            await _send_arrivals(send, previews[:60])
            alone = await _send_arrivals(send, previews)
            mixed = await _send_arrivals_with_syncs(send, previews)
        async with _run_fifo(runners) as send:
            fifo = await _send_arrivals_with_syncs(send, previews)
    p99 = {
        "alone": _find_p99(alone),
        "policy": _find_p99(mixed),
        "baseline": _find_p99(fifo),
    }
    return {
        "p99_ms": {name: round(v * 1000, 1) for name, v in p99.items()},
        "policy_ratio": round(p99["policy"] / p99["alone"], 2),
        "baseline_ratio": round(p99["baseline"] / p99["alone"], 2),
        "answered": _count_answered(mixed),
        "requests": len(mixed),
        "reached": p99["policy"] <= 1.5 * p99["alone"],
    }


async def measure_step() -> dict[str, Any]:
    """Measures a five-fold rise in demand within 2 s, beyond the capacity.

    Returns the shares of requests in time and shed, by priority.
    """
    demand = {"urgent": (24.0, 1.0), "normal": (18.0, 2.0), "bulk": (18.0, 5.0)}
    arrivals = sorted(
        itertools.chain.from_iterable(
            _draw_demand_step(seed, rate, name, deadline_s)
            for seed, (name, (rate, deadline_s)) in enumerate(demand.items(), 2)
        ),
        key=lambda arrival: arrival.at_s,
    )
    classes = [
        fakes.make_service_class(
            name,
            priority=documents.Priority(name),
            deadline_ms=int(deadline_s * 1000),
            expected_run_ms=100,
        )
        for name, (_, deadline_s) in demand.items()
    ]
    async with fakes.serve_runners(2) as runners:
        async with _run_policy(runners, classes) as send:
            policy = await _send_arrivals(send, arrivals)
        ran = {id_ for runner in runners for id_ in runner.ran_request_ids}
        false_not_run = sum(
            result.outcome == NOT_RUN and result.request_id in ran
            for result in policy
        )
        async with _run_fifo(runners) as send:
            fifo = await _send_arrivals(send, arrivals)
    in_time = {name: _find_share_in_time(policy, name) for name in demand}
    baseline = {name: _find_share_in_time(fifo, name) for name in demand}
    shed = {
        name: _find_share(
            policy, name, lambda result: result.outcome == NOT_RUN
        )
        for name in demand
    }
    return {
        "in_time": in_time,
        "baseline_in_time": baseline,
        "shed": shed,
        "false_not_run": false_not_run,
        "requests": len(policy),
        "reached": in_time["urgent"] >= 0.99
        and shed["urgent"] <= shed["normal"] <= shed["bulk"]
        and not false_not_run,
    }


async def measure_faults() -> dict[str, Any]:
    """Measures latency and lost requests with failing targets.

    Of ten targets one is stopped and one runs 20 times slower. One in ten
    connections to the running targets never answers.
    """
    arrivals = list(_draw_arrivals(9, 8.0, 80.0, "preview", PREVIEW_RUN_S, 5.0))
    classes = (fakes.make_service_class("preview", deadline_ms=5000),)
    async with fakes.serve_runners(10) as runners:
        async with _run_policy(runners, classes) as send:
            healthy = await _send_arrivals(send, arrivals)
            _inject_faults(runners)
            policy = await _send_arrivals(send, arrivals)
        async with _run_round_robin(runners) as send:
            baseline = await _send_arrivals(send, arrivals)
    probe_s = fakes.make_settings().requests.silence_floor_s
    limit_s = 2 * _find_p99(healthy) + probe_s
    attempts = sum(result.attempts for result in policy) / len(policy)
    lost = len(policy) - _count_answered(policy)
    return {
        "healthy_p99_ms": round(_find_p99(healthy) * 1000, 1),
        "p99_ms": round(_find_p99(policy) * 1000, 1),
        "limit_ms": round(limit_s * 1000, 1),
        "lost": lost,
        "attempts_per_request": round(attempts, 3),
        "baseline_p99_ms": round(_find_p99(baseline) * 1000, 1),
        "baseline_lost": len(baseline) - _count_answered(baseline),
        "baseline_attempts_per_request": round(
            sum(result.attempts for result in baseline) / len(baseline), 3
        ),
        "requests": len(policy),
        "reached": lost == 0
        and attempts <= 1.1
        and _find_p99(policy) <= limit_s,
    }


def measure_routing() -> dict[str, float]:
    """Measures picking a target, taking its slot and releasing it.

    Returns microseconds by number of targets.
    """
    settings = fakes.make_settings()
    figures = {}
    for count in (25, 250, 2500):
        draw = random.Random(count).random
        fleet = fleet_module.Fleet(settings, draw)
        for number in range(count):
            instance = fakes.make_runner(f"t{number}", "", ("preview",))
            target = routing.Target(
                instance, ejection.Health(run_time_ratio=draw()), slots.Share()
            )
            fleet.add_idle_slot(target, object())
        repeats = 20_000
        began = time.perf_counter()
        for _ in range(repeats):
            candidates = fleet.free_targets.list_targets("preview")
            target = routing.pick_target(settings, candidates, None, 1e6, draw)
            fleet.add_idle_slot(target, fleet.take_idle_slot(target))
        seconds = time.perf_counter() - began
        figures[f"us_at_{count}"] = round(seconds / repeats * 1e6, 2)
    return figures


def _draw_arrivals(
    seed: int,
    duration_s: float,
    rate_per_s: float,
    service_class: str,
    run_s: float,
    deadline_s: float,
) -> Iterator[Arrival]:
    draw = random.Random(seed)
    at_s = draw.expovariate(rate_per_s)
    while at_s < duration_s:
        yield Arrival(
            at_s, service_class, run_s * draw.uniform(0.8, 1.2), deadline_s
        )
        at_s += draw.expovariate(rate_per_s)


def _draw_demand_step(
    seed: int, rate_per_s: float, service_class: str, deadline_s: float
) -> Iterator[Arrival]:
    """Draws arrivals at a low rate for 2 s, rising for 2 s, high for 6 s.

    Drops arrivals at random from a schedule at the high rate, which is five
    times `rate_per_s`, the low one.
    """
    draw = random.Random(seed * 100)
    peak = _draw_arrivals(
        seed, 10.0, 5 * rate_per_s, service_class, 0.1, deadline_s
    )
    for arrival in peak:
        level = 1.0 + 4.0 * min(1.0, max(0.0, (arrival.at_s - 2.0) / 2.0))
        if draw.random() < level / 5.0:
            yield arrival


async def _send_arrivals(
    send: Send, arrivals: list[Arrival], numbers: Iterator[int] | None = None
) -> list[CallResult]:
    """Sends each request at its scheduled time.

    Returns the results in the order in which the requests ended.
    """
    numbers = numbers or _REQUEST_NUMBERS
    results: list[CallResult] = []

    async def call(arrival: Arrival) -> None:
        request_id = f"b{next(numbers)}"
        began = time.monotonic()
        outcome, attempts = await send(request_id, arrival)
        duration_s = time.monotonic() - began
        results.append(
            CallResult(arrival, request_id, outcome, duration_s, attempts)
        )

    start = time.monotonic()
    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            await anyio.sleep(max(0.0, start + arrival.at_s - time.monotonic()))
            group.start_soon(call, arrival)
    return results


async def _send_arrivals_with_syncs(
    send: Send, arrivals: list[Arrival]
) -> list[CallResult]:
    """Sends arrivals while `CONCURRENT_SYNCS` syncs wait or run."""
    sync = Arrival(0.0, "sync", SYNC_RUN_S, 600.0)

    async def repeat_sync() -> None:
        while True:
            await send(f"s{next(_REQUEST_NUMBERS)}", sync)

    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENT_SYNCS):
            group.start_soon(repeat_sync)
        # Saturates the runners first. By the end of this wait some syncs have
        # ended under the policy and under the baseline.
        await anyio.sleep(2 * SYNC_RUN_S + 0.5)
        results = await _send_arrivals(send, arrivals)
        group.cancel_scope.cancel()
    return results


def _inject_faults(runners: list[fakes.Runner]) -> None:
    dead, slow = runners[0], runners[1]
    dead.stop()
    slow.slow_factor = 20.0
    for runner in runners[1:]:
        runner.is_silent = lambda number: number % 10 == 3


_REQUEST_NUMBERS = itertools.count()


@contextlib.asynccontextmanager
async def _run_policy(runners, classes):
    dispatcher = dispatcher_module.Dispatcher(
        fakes.make_settings(),
        fakes.Configuration(*classes),
        fakes.Membership(),
        None,
        None,
        draw=random.Random(4).random,
    )
    names = tuple(item.name for item in classes)
    listed = [
        fakes.make_runner(f"t{number}", runner.address, names)
        for number, runner in enumerate(runners)
    ]

    async def send(request_id: str, arrival: Arrival) -> tuple[str, int]:
        request = dispatcher_module.Request(
            arrival.service_class,
            request_id,
            repr(arrival.run_s).encode(),
            arrival.deadline_s,
        )
        answer = await dispatcher.handle_request(request, time.monotonic())
        if answer.outcome == ANSWERED:
            _check_body(answer.body, request_id)
        return answer.outcome, answer.attempts

    async with anyio.create_task_group() as group:
        group.start_soon(dispatcher.run)
        dispatcher.update_targets(listed, time.monotonic())
        while dispatcher.fleet.open_slots < 8 * len(runners):
            await anyio.sleep(0.01)
        yield send
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _run_fifo(runners):
    """Runs the FIFO baseline: one queue for all slots, no priorities.

    Nothing is shed on arrival; a request whose deadline has passed when a slot
    becomes free is not run.
    """
    opened = [
        await _connect(runner.address) for runner in runners for _ in range(8)
    ]
    send_stream, receive_stream = anyio.create_memory_object_stream(100_000)

    async def serve(connection) -> None:
        async for request_id, arrival, waiter in receive_stream:
            left_s = waiter["give_up"] - time.monotonic()
            if left_s <= 0.0:
                waiter["outcome"] = NOT_RUN.value
            else:
                reply = await _exchange(connection, request_id, arrival, 600.0)
                waiter["outcome"] = reply.kind.value
            waiter["done"].set()

    async def send(request_id: str, arrival: Arrival) -> tuple[str, int]:
        waiter = {
            "done": anyio.Event(),
            "give_up": time.monotonic() + arrival.deadline_s,
        }
        await send_stream.send((request_id, arrival, waiter))
        await waiter["done"].wait()
        return waiter["outcome"], 1

    async with anyio.create_task_group() as group:
        for connection in opened:
            group.start_soon(serve, connection)
        yield send
        group.cancel_scope.cancel()
    for connection in opened:
        await targets.close_connection(connection)


@contextlib.asynccontextmanager
async def _run_round_robin(runners):
    """Runs the round-robin baseline: up to 3 retries, timeout 0.5 s each."""
    turns = itertools.cycle(runners)
    idle_connections = {runner.address: [] for runner in runners}

    async def try_once(runner, request_id, arrival) -> str:
        pool = idle_connections[runner.address]
        connection = pool.pop() if pool else await _connect(runner.address)
        if connection is None:
            return "unreached"
        reply = await _exchange(connection, request_id, arrival, 0.5)
        if connection.usable:
            pool.append(connection)
        else:
            await targets.close_connection(connection)
        return reply.kind.value

    async def send(request_id: str, arrival: Arrival) -> tuple[str, int]:
        attempts = 0
        outcome = ""
        while outcome != ANSWERED and attempts < 4:
            attempts += 1
            outcome = await try_once(next(turns), request_id, arrival)
        return outcome, attempts

    yield send
    for connection in itertools.chain.from_iterable(idle_connections.values()):
        await targets.close_connection(connection)


async def _connect(address: str) -> targets.Connection | None:
    opened = await targets.open_connection(fakes.make_settings(), address)
    return opened.ok_value if opened.is_ok() else None


async def _exchange(connection, request_id, arrival, timeout_s):
    body = repr(arrival.run_s).encode()
    path = f"/run/{arrival.service_class}".encode()
    return await targets.exchange(
        connection, path, request_id, body, timeout_s, 65536
    )


def _check_body(body: bytes, request_id: str) -> None:
    if body != b"answer to " + request_id.encode():
        raise RuntimeError(
            f"expected the answer to request {request_id}, got {body!r}"
        )


def _find_p99(results: list[CallResult]) -> float:
    return fakes.find_quantile([result.duration_s for result in results], 0.99)


def _count_answered(results: list[CallResult]) -> int:
    return sum(result.outcome == ANSWERED for result in results)


def _find_share_in_time(results: list[CallResult], name: str) -> float:
    return _find_share(results, name, lambda result: result.in_time)


def _find_share(
    results: list[CallResult],
    name: str,
    predicate: Callable[[CallResult], bool],
) -> float:
    of_class = [
        result for result in results if result.arrival.service_class == name
    ]
    return round(sum(map(predicate, of_class)) / len(of_class), 4)


def _print_table(figures: dict[str, Any]) -> None:
    for name, values in figures.items():
        print(name)
        for key, value in values.items():
            print(f"  {key:32}{value}")


if __name__ == "__main__":
    results = run_measurements()
    _print_table(results)
    print(msgspec.json.encode(results).decode())
    sys.exit(not all(r.get("reached", True) for r in results.values()))
