"""Stand-in for a runner: leases on its own clock, fencing tokens, ends, paces.

A task's `Spec` is a JSON object: `run_ms` is its run time and `fails` makes it
end as failed. `crashes` lists the ends of the names of the tasks that crash the
runner when they start. `cpu`, `memory_mb` and `gpu` are what it needs, and
`fills` means that its processors are not counted.
"""

import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import anyio
import msgspec

from plantainvane import asgi

_POLL_INTERVAL_S = 0.005
# Ends that an answer to a poll lists at most.
_MAX_LISTED_ENDS = 500


class Amounts(msgspec.Struct, frozen=True):
    """Resources: of a runner, or needed by an attempt."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def fits(self, capacity: "Amounts") -> bool:
        """Tells whether no amount is above that of `capacity`."""
        return (
            self.cpu <= capacity.cpu
            and self.memory_mb <= capacity.memory_mb
            and self.gpu <= capacity.gpu
        )


@dataclasses.dataclass(slots=True)
class Attempt:
    """A running attempt; one that is being stopped ends at `stops_at`."""

    task: str
    number: int
    completes_at: float
    run_s: float
    fails: bool
    checkpoint: str
    pace: int = 100
    needs: Amounts = Amounts()
    stops_at: float | None = None


@dataclasses.dataclass(slots=True)
class RunnerState:
    """State of one incarnation of a runner, and its injected faults.

    Attributes:
      highest: Highest attempt seen of each task.
      starts: Task and attempt of every start, in order; checked by the tests.
      delayed_starts: Delays of the next starts in seconds. Each of these starts
        is carried out after its delay and never answered. The present life
        carries it out, unless it is down then.
      delayed_polls: The same for the next polls, which do not wait for an end.
      delays_acknowledgements: Only polls that acknowledge ends are delayed.
      late_calls: Number of calls that are still to be carried out late.
      silent: No call is answered.
      ignores_orders: Polls are answered, and nothing else.
      answer_delay_s: Each call is carried out, and answered after this time.
      address: `ip:port` in its entry.
      domain, labels: Those in its entry.
      gpu: Accelerators.
      guards: A start that does not fit is rejected.
      stop_grace_s: How long a stop takes.
      shrink_notice_s: A smaller capacity counts after this time.
      capacities: Earlier capacities, and until when they count.
      overruns: Starts that brought the runner over the capacity that counted,
        with what ran then and that capacity; checked by the tests.
      peak: Highest amounts that ran at the same time.
      rejected: Number of starts that were rejected because they did not fit.
      ended: Number of ends, by outcome.
      done: Tasks that have ended as done.
      repeated: Starts of tasks that had ended as done; checked by the tests.
      crashed: The runner is down. Its calls get a 500, as the server cannot
        break a connection off.
      crashed_under: Tasks that crashed the runner, in order.
      on_crash: Called at each crash.
      on_call: Called before a call that comes late is carried out.
      on_run: Called with `start`, `end`, `listed` (in an answer to a poll) or
        `noted` (an end was acknowledged), the task, its attempt and how it
        ended.
    """

    id: str
    cpu: int = 16_000
    memory_mb: int = 64_000
    max_hold_ms: int = 6_000
    born_ms: int = dataclasses.field(
        default_factory=lambda: time.time_ns() // 1_000_000
    )
    clock_started_at: float = dataclasses.field(
        default_factory=lambda: time.monotonic() - 100
    )
    token: int = 0
    lease_until_ms: float = 0
    running: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    highest: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[list[Any]] = dataclasses.field(default_factory=list)
    next_end: int = 1
    starts: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    paces: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    delayed_starts: list[float] = dataclasses.field(default_factory=list)
    delayed_polls: list[float] = dataclasses.field(default_factory=list)
    delays_acknowledgements: bool = False
    late_calls: int = 0
    silent: bool = False
    ignores_orders: bool = False
    answer_delay_s: float = 0.0
    address: str = ""
    domain: str = "east"
    labels: tuple[str, ...] = ("a", "r1-1")
    gpu: int = 0
    guards: bool = False
    stop_grace_s: float = 0.0
    shrink_notice_s: float = 0.0
    capacities: list[tuple[float, Amounts]] = dataclasses.field(
        default_factory=list
    )
    overruns: list[tuple[str, int, Amounts, Amounts]] = dataclasses.field(
        default_factory=list
    )
    peak: Amounts = Amounts()
    rejected: int = 0
    ended: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    done: set[str] = dataclasses.field(default_factory=set)
    repeated: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    crashed: bool = False
    crashed_under: list[str] = dataclasses.field(default_factory=list)
    on_crash: Callable[[], None] = lambda: None
    on_call: Callable[[], None] = lambda: None
    on_run: Callable[[str, str, int, str], None] = lambda *run: None

    def read_clock(self) -> int:
        """Returns the runner's monotonic clock in milliseconds."""
        return int((time.monotonic() - self.clock_started_at) * 1000)

    def make_entry(self, address: str, service: str, state: str) -> bytes:
        """Encodes the runner's entry in the runners topic."""
        return msgspec.json.encode(
            {
                "Service": service,
                "Address": address,
                "Zone": self.domain,
                "State": state,
                "born": self.born_ms,
                "ClockMs": self.read_clock(),
                "Capacity": {
                    "Cpu": self.cpu,
                    "MemMb": self.memory_mb,
                    "Gpu": self.gpu,
                },
                "Labels": self.labels,
            }
        )

    def change_capacity(self, **amounts: int) -> None:
        """Changes `cpu`, `memory_mb` or `gpu` while the runner runs."""
        until = time.monotonic() + self.shrink_notice_s
        self.capacities.append((until, self.read_capacity()))
        for name, value in amounts.items():
            setattr(self, name, value)

    def read_capacity(self) -> Amounts:
        """Returns the capacity that the entry shows."""
        return Amounts(self.cpu, self.memory_mb, self.gpu)

    def sum_needs(self) -> Amounts:
        """Returns what runs, including what is being stopped."""
        total = Amounts()
        for attempt in self.running.values():
            total += attempt.needs
        return total

    def _fits(self, total: Amounts) -> bool:
        """Tells whether `total` fits a capacity that counts now."""
        now = time.monotonic()
        counted = [c for until, c in self.capacities if until > now]
        return any(total.fits(c) for c in (self.read_capacity(), *counted))

    def admit(self, task: str, number: int, needs: Amounts) -> bool:
        """Tells whether a start is carried out, and records an overrun."""
        total = self.sum_needs() + needs
        if self.guards:
            return total.fits(self.read_capacity())
        if not self._fits(total):
            self.overruns.append((task, number, total, self.read_capacity()))
        return True

    def end(self, task: str, how: str) -> None:
        """Ends an attempt and adds it to the list of ends."""
        attempt = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), attempt.number)
        saved = attempt.checkpoint if how == "stopped" else ""
        self.ends.append([self.next_end, task, attempt.number, how, saved])
        self.ended[how] += 1
        if how == "done":
            self.done.add(task)
        self.next_end += 1
        self.on_run("end", task, attempt.number, how)

    def crash(self) -> None:
        """Ends everything that runs, unseen, and all service."""
        self.crashed = True
        self.running.clear()
        self.on_crash()

    def restart(self) -> None:
        """Begins a new incarnation, which knows nothing of the earlier one."""
        self.crashed = False
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self.clock_started_at = time.monotonic()
        self.token, self.lease_until_ms = 0, 0
        self.running.clear()
        self.highest.clear()
        self.ends.clear()
        self.next_end = 1

    def end_all(self, how: str) -> None:
        """Ends everything that runs."""
        for task in list(self.running):
            self.end(task, how)

    def end_due_attempts(self) -> None:
        """Ends finished attempts, and all attempts if the lease has expired."""
        now = time.monotonic()
        expired = self.running and self.read_clock() > self.lease_until_ms
        for task, attempt in list(self.running.items()):
            if expired:
                self.end(task, "lapsed")
            elif attempt.stops_at is not None:
                if attempt.stops_at <= now:
                    self.end(task, "stopped")
            elif attempt.completes_at <= now:
                self.end(task, "failed" if attempt.fails else "done")


def make_handler(state: RunnerState, address: str = "") -> asgi.Handler:
    """Creates the HTTP handler of a runner.

    With an address, it answers nothing once the runner has another one.
    """
    orders = {
        "/plantainvane/run-start": _start,
        "/plantainvane/run-stop": _stop,
        "/plantainvane/pace": _pace,
    }

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        reply = await carry_out(request)
        await anyio.sleep(state.answer_delay_s)
        return reply

    async def carry_out(request: asgi.HttpRequest) -> asgi.HttpReply:
        if state.silent or (address and address != state.address):
            await anyio.sleep_forever()
        if state.ignores_orders and request.path in orders:
            await anyio.sleep_forever()
        if state.crashed:
            return asgi.HttpReply(500)
        if request.headers.get("target-instance", state.id) != state.id:
            return asgi.HttpReply(421)
        body = msgspec.json.decode(request.body)
        if request.path == "/plantainvane/run-start" and state.delayed_starts:
            await _carry_out_late(state, body, _start, state.delayed_starts)
        if request.path == "/plantainvane/hold" and _delays_poll(state, body):
            await _carry_out_late(
                state, body, _acknowledge, state.delayed_polls
            )
        state.end_due_attempts()
        refusal = _check_token(state, body)
        if refusal is not None:
            return refusal
        if request.path == "/plantainvane/hold":
            return await _hold(state, body)
        return orders[request.path](state, body)

    return handle


def _delays_poll(state: RunnerState, body: dict[str, Any]) -> bool:
    acknowledges = body["LastSeen"] > 0 or not state.delays_acknowledgements
    return bool(state.delayed_polls) and acknowledges


async def _carry_out_late(
    state: RunnerState,
    body: dict[str, Any],
    act: Callable[[RunnerState, dict[str, Any]], Any],
    delays_s: list[float],
) -> None:
    """Carries a call out after the next delay, and answers nothing."""
    state.late_calls += 1
    try:
        await anyio.sleep(delays_s.pop(0))
    finally:
        state.late_calls -= 1
    if not state.crashed:
        state.on_call()
        state.end_due_attempts()
        if _check_token(state, body) is None:
            act(state, body)
    await anyio.sleep_forever()


def _answer(state: RunnerState, status: int, **fields: Any) -> asgi.HttpReply:
    return asgi.make_json_reply(
        status, {"ClockMs": state.read_clock(), **fields}
    )


def _check_token(
    state: RunnerState, body: dict[str, Any]
) -> asgi.HttpReply | None:
    token = body.get("FencingToken", 0)
    if token < state.token:
        return _answer(state, 409, Reason="fence")
    state.token = token
    return None


def _extend(state: RunnerState, body: dict[str, Any]) -> None:
    limit = state.read_clock() + state.max_hold_ms
    until = min(body.get("DeadlineMs", 0), limit)
    state.lease_until_ms = max(state.lease_until_ms, until)


def _start(state: RunnerState, body: dict[str, Any]) -> asgi.HttpReply:
    task, number = body["Task"], body["Attempt"]
    present = state.running.get(task)
    _extend(state, body)
    if present is not None and present.number == number:
        return _answer(state, 200)
    if number <= state.highest.get(task, 0) or present is not None:
        return _answer(state, 409, Reason="old")
    if body["DeadlineMs"] < state.read_clock():
        return _answer(state, 409, Reason="late")
    spec = msgspec.json.decode(body["Spec"])
    run_s = spec.get("run_ms", 50) / 1000
    needs = Amounts(
        0 if spec.get("fills") else spec.get("cpu", 0),
        spec.get("memory_mb", 0),
        spec.get("gpu", 0),
    )
    if not state.admit(task, number, needs):
        state.rejected += 1
        return _answer(state, 409, Reason="room")
    state.starts.append((task, number))
    if task in state.done:
        state.repeated.append((task, number))
    if any(task.endswith(end) for end in spec.get("crashes", ())):
        state.crashed_under.append(task)
        state.crash()
        return asgi.HttpReply(500)
    state.running[task] = Attempt(
        task,
        number,
        time.monotonic() + run_s,
        run_s,
        spec.get("fails", False),
        body.get("Checkpoint", "") or f"{task}-{number}",
        needs=needs,
    )
    state.on_run("start", task, number, "")
    total = state.sum_needs()
    state.peak = Amounts(
        max(state.peak.cpu, total.cpu),
        max(state.peak.memory_mb, total.memory_mb),
        max(state.peak.gpu, total.gpu),
    )
    return _answer(state, 200)


def _stop(state: RunnerState, body: dict[str, Any]) -> asgi.HttpReply:
    task, number = body["Task"], body["Attempt"]
    present = state.running.get(task)
    if present is not None and present.number == number:
        if present.stops_at is None:
            present.stops_at = time.monotonic() + state.stop_grace_s
        state.end_due_attempts()
    state.highest[task] = max(state.highest.get(task, 0), number)
    return _answer(state, 200)


def _pace(state: RunnerState, body: dict[str, Any]) -> asgi.HttpReply:
    present = state.running.get(body["Task"])
    if present is None:
        return _answer(state, 409, Reason="old")
    present.pace = body["Percent"]
    state.paces.append((body["Task"], body["Percent"]))
    return _answer(state, 200)


def _acknowledge(state: RunnerState, body: dict[str, Any]) -> None:
    """Extends the lease and forgets the ends that a poll acknowledges."""
    _extend(state, body)
    for number, task, attempt, how, _ in state.ends:
        if number <= body["LastSeen"]:
            state.on_run("noted", task, attempt, how)
    state.ends = [e for e in state.ends if e[0] > body["LastSeen"]]


async def _hold(state: RunnerState, body: dict[str, Any]) -> asgi.HttpReply:
    _acknowledge(state, body)
    with anyio.move_on_after(body.get("WaitMs", 0) / 1000):
        while not state.ends and not state.crashed:
            await anyio.sleep(_POLL_INTERVAL_S)
            state.end_due_attempts()
    if state.crashed:
        return asgi.HttpReply(500)
    now = time.monotonic()
    active = [
        [
            a.task,
            a.number,
            a.checkpoint,
            round(100 * (1 - max(0, a.completes_at - now) / a.run_s)),
            1000,
        ]
        for a in state.running.values()
    ]
    listed = state.ends[:_MAX_LISTED_ENDS]
    for _, task, attempt, how, _ in listed:
        state.on_run("listed", task, attempt, how)
    return _answer(
        state, 200, born=state.born_ms, Active=active, Finished=listed
    )
