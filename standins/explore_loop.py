"""Event loop whose time jumps to the next timer, and repeats a run exactly.

It has no selector, so a call that waits for a socket or a thread fails, and it
fixes the order in which anyio cancels the tasks of a group.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import itertools
from typing import Any

import anyio._backends._asyncio as anyio_asyncio

# A run that makes so many turns without any time that passes hangs.
_MAX_TURNS = 200_000
# Timers that are due within this time run together.
_RESOLUTION_S = 1e-9


class HangError(Exception):
    """The run waits for nothing that could happen, or never waits."""


class _Selector:
    """Advances the time of a loop where a selector would wait."""

    def __init__(self, loop: "Loop"):
        self._loop = loop
        self._turns = 0

    def select(self, timeout_s: float | None) -> list[Any]:
        if timeout_s is None:
            raise HangError("nothing is left to wait for")
        self._turns += 1
        if timeout_s > 0:
            self._turns = 0
            self._loop.now += timeout_s
        elif self._turns > _MAX_TURNS:
            raise HangError("no time passes")
        return []


class _Task(asyncio.Task):
    """A task whose hash, and so its place in sets, is the same in each run."""

    def __init__(self, serial: int, coroutine: Coroutine, **options: Any):
        self._serial = serial
        super().__init__(coroutine, name=f"task-{serial}", **options)

    def __hash__(self) -> int:
        return self._serial


class Loop(asyncio.BaseEventLoop):
    """An event loop in virtual time; `now` is its time in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._selector = _Selector(self)
        self._clock_resolution = _RESOLUTION_S
        serials = itertools.count()
        self.set_task_factory(
            lambda loop, coroutine, **options: _Task(
                next(serials), coroutine, loop=loop, **options
            )
        )

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:
        """Fails, as a thread runs in real time."""
        raise HangError("a thread was asked for")

    def _process_events(self, events: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass


@contextlib.contextmanager
def _order_scopes() -> Iterator[None]:
    """Gives the cancel scopes of anyio a hash that is the same in each run."""
    serials = itertools.count()
    base = anyio_asyncio.CancelScope

    class Scope(base):
        __slots__ = ("serial",)

        def __init__(self, *args: Any, **options: Any):
            self.serial = next(serials)
            super().__init__(*args, **options)

        def __hash__(self) -> int:
            return self.serial

    anyio_asyncio.CancelScope = Scope
    try:
        yield
    finally:
        anyio_asyncio.CancelScope = base


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    """Runs `main` to its end in virtual time and returns its result."""
    with _order_scopes(), asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main())
