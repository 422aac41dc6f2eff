"""Request policy against baselines: head-of-line blocking, a step, faults.

Runners are small fakes in this process whose run time is the body of the
request. Arrivals come from fixed seeds; times are real. Each baseline gets the
same arrivals as the policy, in the same run.
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
PREVIEW_S = 0.02
SYNC_S = 2.0
SYNCS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a schedule; `at` is seconds from its start."""

    at: float
    service_class: str
    run_s: float
    deadline_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """What a caller saw."""

    arrival: Arrival
    request_id: str
    outcome: str
    seconds: float
    attempts: int

    @property
    def in_time(self) -> bool:
        """Whether the caller got an answer within the deadline."""
        return (
            self.outcome == ANSWERED
            and self.seconds <= self.arrival.deadline_s + 0.005
        )


# Runs a request: (request id, arrival) -> (outcome, attempts).
Send = Callable[[str, Arrival], Awaitable[tuple[str, int]]]


def run_measurements() -> dict[str, Any]:
    """Runs all measurements of the request policy."""
    return {
        "blocking": anyio.run(measure_blocking),
        "step": anyio.run(measure_step),
        "faults": anyio.run(measure_faults),
        "routing": measure_routing(),
    }


async def measure_blocking() -> dict[str, Any]:
    """Short previews while catalogue syncs saturate the runners."""
    previews = list(_draw_arrivals(1, 6.0, 60.0, "preview", PREVIEW_S, 5.0))
    classes = (
        fakes.make_class("preview", deadline_ms=5000, expected_run_ms=500),
        # Declared far too short, as the catalogue sync was.
        fakes.make_class(
            "sync",
            priority=documents.Priority.NORMAL,
            deadline_ms=600_000,
            expected_run_ms=50,
        ),
    )
    async with fakes.serve_runners(3) as runners:
        async with _run_policy(runners, classes) as send:
            await _play(send, previews[:60])
            alone = await _play(send, previews)
            mixed = await _play_with_syncs(send, previews)
        async with _run_fifo(runners) as send:
            fifo = await _play_with_syncs(send, previews)
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
    """A five-fold step in demand within 2 s, beyond the capacity."""
    shape = {"urgent": (24.0, 1.0), "normal": (18.0, 2.0), "bulk": (18.0, 5.0)}
    arrivals = sorted(
        itertools.chain.from_iterable(
            _draw_step(seed, rate, name, deadline_s)
            for seed, (name, (rate, deadline_s)) in enumerate(shape.items(), 2)
        ),
        key=lambda arrival: arrival.at,
    )
    classes = [
        fakes.make_class(
            name,
            priority=documents.Priority(name),
            deadline_ms=int(deadline_s * 1000),
            expected_run_ms=100,
        )
        for name, (_, deadline_s) in shape.items()
    ]
    async with fakes.serve_runners(2) as runners:
        async with _run_policy(runners, classes) as send:
            policy = await _play(send, arrivals)
        ran = {id_ for runner in runners for id_ in runner.runs}
        false = sum(
            e.outcome == NOT_RUN and e.request_id in ran for e in policy
        )
        async with _run_fifo(runners) as send:
            fifo = await _play(send, arrivals)
    in_time = {name: _share_in_time(policy, name) for name in shape}
    baseline = {name: _share_in_time(fifo, name) for name in shape}
    shed = {
        name: _share(policy, name, lambda ended: ended.outcome == NOT_RUN)
        for name in shape
    }
    return {
        "in_time": in_time,
        "baseline_in_time": baseline,
        "shed": shed,
        "false_not_run": false,
        "requests": len(policy),
        "reached": in_time["urgent"] >= 0.99
        and shed["urgent"] <= shed["normal"] <= shed["bulk"]
        and not false,
    }


async def measure_faults() -> dict[str, Any]:
    """One target dead, one slow by 20 times, one connection in ten silent."""
    arrivals = list(_draw_arrivals(9, 8.0, 80.0, "preview", PREVIEW_S, 5.0))
    classes = (fakes.make_class("preview", deadline_ms=5000),)
    async with fakes.serve_runners(10) as runners:
        async with _run_policy(runners, classes) as send:
            healthy = await _play(send, arrivals)
            _break_runners(runners)
            policy = await _play(send, arrivals)
        async with _run_round_robin(runners) as send:
            baseline = await _play(send, arrivals)
    probe_s = fakes.make_settings().requests.silence_floor_s
    limit_s = 2 * _find_p99(healthy) + probe_s
    attempts = sum(ended.attempts for ended in policy) / len(policy)
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
            sum(ended.attempts for ended in baseline) / len(baseline), 3
        ),
        "requests": len(policy),
        "reached": lost == 0
        and attempts <= 1.1
        and _find_p99(policy) <= limit_s,
    }


def measure_routing() -> dict[str, float]:
    """Microseconds to pick a target, take its slot and give it back."""
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
    per_s: float,
    service_class: str,
    run_s: float,
    deadline_s: float,
) -> Iterator[Arrival]:
    draw = random.Random(seed)
    at = draw.expovariate(per_s)
    while at < duration_s:
        yield Arrival(
            at, service_class, run_s * draw.uniform(0.8, 1.2), deadline_s
        )
        at += draw.expovariate(per_s)


def _draw_step(
    seed: int, per_s: float, service_class: str, deadline_s: float
) -> Iterator[Arrival]:
    """Thins arrivals at the peak rate to 2 s low, 2 s rising, 6 s high."""
    draw = random.Random(seed * 100)
    peak = _draw_arrivals(seed, 10.0, 5 * per_s, service_class, 0.1, deadline_s)
    for arrival in peak:
        level = 1.0 + 4.0 * min(1.0, max(0.0, (arrival.at - 2.0) / 2.0))
        if draw.random() < level / 5.0:
            yield arrival


async def _play(
    send: Send, arrivals: list[Arrival], numbers: Iterator[int] | None = None
) -> list[Ended]:
    """Sends each request at its time and returns what the callers saw."""
    numbers = numbers or _NUMBERS
    ended: list[Ended] = []

    async def call(arrival: Arrival) -> None:
        request_id = f"b{next(numbers)}"
        began = time.monotonic()
        outcome, attempts = await send(request_id, arrival)
        seconds = time.monotonic() - began
        ended.append(Ended(arrival, request_id, outcome, seconds, attempts))

    start = time.monotonic()
    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            await anyio.sleep(max(0.0, start + arrival.at - time.monotonic()))
            group.start_soon(call, arrival)
    return ended


async def _play_with_syncs(send: Send, arrivals: list[Arrival]) -> list[Ended]:
    """Plays while callers keep `SYNCS` long requests waiting or running."""
    sync = Arrival(0.0, "sync", SYNC_S, 600.0)

    async def repeat_sync() -> None:
        while True:
            await send(f"s{next(_NUMBERS)}", sync)

    async with anyio.create_task_group() as group:
        for _ in range(SYNCS):
            group.start_soon(repeat_sync)
        # Saturation first; both policies have seen syncs end by then.
        await anyio.sleep(2 * SYNC_S + 0.5)
        ended = await _play(send, arrivals)
        group.cancel_scope.cancel()
    return ended


def _break_runners(runners: list[fakes.Runner]) -> None:
    dead, slow = runners[0], runners[1]
    dead.die()
    slow.slow_factor = 20.0
    for runner in runners[1:]:
        runner.is_silent = lambda number: number % 10 == 3


_NUMBERS = itertools.count()


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
    """Baseline: one FIFO queue for all slots; no classes, no shedding."""
    opened = [
        await _connect(runner.address) for runner in runners for _ in range(8)
    ]
    entry, exit_ = anyio.create_memory_object_stream(100_000)

    async def serve(connection) -> None:
        async for request_id, arrival, waiter in exit_:
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
        await entry.send((request_id, arrival, waiter))
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
    """Baseline: round robin over targets, up to 3 retries, 0.5 s each."""
    turns = itertools.cycle(runners)
    idle = {runner.address: [] for runner in runners}

    async def try_once(runner, request_id, arrival) -> str:
        pool = idle[runner.address]
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
    for connection in itertools.chain.from_iterable(idle.values()):
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
        raise RuntimeError(f"{request_id} got the answer {body!r}")


def _find_p99(ended: list[Ended]) -> float:
    return fakes.find_quantile([e.seconds for e in ended], 0.99)


def _count_answered(ended: list[Ended]) -> int:
    return sum(e.outcome == ANSWERED for e in ended)


def _share_in_time(ended: list[Ended], name: str) -> float:
    return _share(ended, name, lambda e: e.in_time)


def _share(
    ended: list[Ended], name: str, counts: Callable[[Ended], bool]
) -> float:
    of_class = [e for e in ended if e.arrival.service_class == name]
    return round(sum(map(counts, of_class)) / len(of_class), 4)


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
