"""World of a seeded run: time, clocks, links, and what becomes of each call.

Written from the platform's pages: a call without an answer may have been
carried out, or may be carried out seconds later, after newer calls.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import contextvars
import dataclasses
import random
import time
from typing import Any
import zlib

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import load as load_module
from plantainvane.jobs import peers as peers_module
from standins import explore_loop
from standins import soak_observations as observations_module

# Unix time at which each run begins, in seconds.
EPOCH_S = 1_700_000_000
STORE = "log"
_MIN_DELAY_S, _MAX_DELAY_S = 0.0003, 0.002
# A call whose answer is lost may be carried out this much later.
LATE_MIN_S, LATE_MAX_S = 2.0, 12.0
# Fields of product events that show real time or objects.
_REAL_FIELDS = frozenset(("cpu_s", "incarnation"))


class LostError(Exception):
    """A call has no usable answer; it may be carried out."""


class UnreachedError(Exception):
    """A call had no connection; nothing was done."""


@dataclasses.dataclass(slots=True)
class Fate:
    """Chances of what becomes of a call to one target, from 0 to 1.

    Attributes:
      late: It is carried out seconds later and not answered.
      lost: It is never carried out.
      unanswered: It is carried out, and its answer is lost.
      doubled: It is carried out again a moment later.
      delay_s: Most time that it takes on top.
    """

    late: float = 0.0
    lost: float = 0.0
    unanswered: float = 0.0
    doubled: float = 0.0
    delay_s: float = 0.0


_CALM = Fate()


@dataclasses.dataclass(slots=True)
class Machine:
    """Clocks of the machine of a process.

    Attributes:
      steady_s: Reading of its monotonic clock as the run begins.
      wall_s: By how much its time of day is off.
      is_up: The life of the process has not ended.
    """

    name: str
    steady_s: float
    wall_s: float
    is_up: bool = True


MACHINE: contextvars.ContextVar[Machine | None] = contextvars.ContextVar(
    "machine", default=None
)


@dataclasses.dataclass(slots=True, eq=False)
class World:
    """State of the environment of a run.

    Attributes:
      draws: Source of all drawn numbers of the world.
      cuts: Number of faults that cut a direction, by sender and receiver.
      fates: What becomes of calls to a target in trouble, by its name.
      is_rough: Calls that get no answer may be carried out late.
      trace: Time and text of all that happened, in order.
      late_calls: Number of calls that were carried out late.
      error: First error of a task of the world, or None.
    """

    loop: explore_loop.Loop
    draws: random.Random
    seen: observations_module.Observations = dataclasses.field(
        default_factory=observations_module.Observations
    )
    cuts: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    fates: dict[str, Fate] = dataclasses.field(default_factory=dict)
    is_rough: bool = False
    trace: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    late_calls: int = 0
    error: BaseException | None = None
    _tasks: dict[asyncio.Task, None] = dataclasses.field(default_factory=dict)

    def read_now(self) -> float:
        """Returns the seconds since the run began."""
        return self.loop.now

    def note(self, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append((self.loop.now, text))

    def spawn(self, work: Any) -> asyncio.Task:
        """Starts a task of the world; an error in it ends the run."""
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.error = self.error or task.exception()

    def cut(self, sender: str, receiver: str) -> None:
        """Cuts one direction."""
        key = (sender, receiver)
        self.cuts[key] = self.cuts.get(key, 0) + 1

    def mend(self, sender: str, receiver: str) -> None:
        """Ends one cut of a direction."""
        self.cuts[sender, receiver] -= 1

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Tells whether nothing passes from one to the other."""
        return self.cuts.get((sender, receiver), 0) > 0

    def _draw_delay(self, fate: Fate) -> float:
        delay_s = self.draws.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
        return delay_s + self.draws.random() * fate.delay_s

    async def call(
        self,
        sender: str,
        receiver: str,
        what: str,
        carry_out: Callable[[], Awaitable[Any]],
        timeout_s: float,
        may_be_late: bool = True,
    ) -> Any:
        """Makes a call and returns what `carry_out` returns at the receiver.

        Raises:
          LostError: It has no answer in time.
          UnreachedError: The receiver refuses connections.
        """
        answer = self.loop.create_future()
        machine = MACHINE.get()
        if machine is not None and not machine.is_up:
            # What a process does while it is torn down reaches nobody.
            await answer
        fate = self.fates.get(receiver, _CALM)
        drawn = self.draws.random()
        late = self.is_rough and may_be_late
        if late and drawn < fate.late:
            self._delay(what, carry_out)
        elif self.is_cut(sender, receiver) or drawn < fate.late + fate.lost:
            if late and self.draws.random() < 0.5:
                self._delay(what, carry_out)
        else:
            self.spawn(
                self._carry_out(sender, receiver, fate, carry_out, answer)
            )
            if self.draws.random() < fate.doubled:
                self.loop.call_later(
                    self.draws.uniform(0.0, 0.3),
                    lambda: self.spawn(_drop_answer(carry_out)),
                )
        handle = self.loop.call_later(timeout_s, _time_out, answer)
        try:
            return await answer
        finally:
            handle.cancel()

    async def _carry_out(
        self,
        sender: str,
        receiver: str,
        fate: Fate,
        carry_out: Callable[[], Awaitable[Any]],
        answer: asyncio.Future,
    ) -> None:
        await asyncio.sleep(self._draw_delay(fate))
        try:
            reply, error = await carry_out(), None
        except (LostError, UnreachedError) as failure:
            reply, error = None, failure
        await asyncio.sleep(self._draw_delay(fate))
        if self.is_cut(receiver, sender):
            return
        if self.draws.random() < fate.unanswered:
            return
        if answer.done():
            return
        if error is None:
            answer.set_result(reply)
        else:
            answer.set_exception(error)

    def _delay(
        self, what: str, carry_out: Callable[[], Awaitable[Any]]
    ) -> None:
        """Has a call carried out late, by whatever is there by then."""
        late_s = self.draws.uniform(LATE_MIN_S, LATE_MAX_S)
        began = self.loop.now

        async def carry_out_late() -> None:
            await asyncio.sleep(late_s)
            self.late_calls += 1
            self.note(f"late {what}, sent at {began:.3f}")
            IS_LATE.set(True)
            SENT_AT.set(began)
            await _drop_answer(carry_out)

        self.spawn(carry_out_late())

    def close(self) -> None:
        """Ends all tasks of the world."""
        for task in list(self._tasks):
            task.cancel()


# Whether a call is carried out late.
IS_LATE: contextvars.ContextVar[bool] = contextvars.ContextVar(
    "is_late", default=False
)


# When a call that is carried out late was sent.
SENT_AT: contextvars.ContextVar[float] = contextvars.ContextVar(
    "sent_at", default=0.0
)


def _time_out(answer: asyncio.Future) -> None:
    if not answer.done():
        answer.set_exception(LostError("no answer"))


async def _drop_answer(carry_out: Callable[[], Awaitable[Any]]) -> None:
    with contextlib.suppress(LostError, UnreachedError):
        await carry_out()


class _Time:
    """Stands for the module `time` in the modules of the product."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self, loop: explore_loop.Loop):
        self._loop = loop

    def _read_steady(self) -> float:
        machine = MACHINE.get()
        return self._loop.now + (machine.steady_s if machine else 0.0)

    def clock_gettime(self, clock_id: int) -> float:
        return self._read_steady()

    def monotonic(self) -> float:
        return self._read_steady()

    def time_ns(self) -> int:
        machine = MACHINE.get()
        off_s = machine.wall_s if machine else 0.0
        return int((EPOCH_S + self._loop.now + off_s) * 1_000_000) * 1_000

    def time(self) -> float:
        return self.time_ns() / 1e9

    def process_time(self) -> float:
        return 0.0


def _log_event(world: World, event: events.Event, fields: Any) -> None:
    machine = MACHINE.get()
    shown = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _REAL_FIELDS
    )
    sender = machine.name if machine else "?"
    world.note(f"{sender}: {event.number} {event.name} {shown}")


@contextlib.contextmanager
def replace_surroundings(
    world: World, serve_peers: Callable[..., Awaitable[None]]
) -> Iterator[None]:
    """Gives the product the clocks, random numbers and peers of the world."""
    virtual = _Time(world.loop)
    replaced = [
        (clock, "time", virtual),
        (entry_module, "time", virtual),
        (load_module, "time", virtual),
        (peers_module, "serve_peers", serve_peers),
        (
            events,
            "log_event",
            lambda event, **fields: _log_event(world, event, fields),
        ),
    ]
    before = [(o, name, getattr(o, name)) for o, name, _ in replaced]
    state = random.getstate()
    random.seed(world.draws.random())
    for target, name, value in replaced:
        setattr(target, name, value)
    try:
        yield
    finally:
        for target, name, value in before:
            setattr(target, name, value)
        random.setstate(state)


def digest_trace(world: World) -> str:
    """Returns a check sum of all that happened."""
    text = "\n".join(f"{at:.6f} {line}" for at, line in world.trace)
    return f"{zlib.crc32(text.encode()):08x}"
