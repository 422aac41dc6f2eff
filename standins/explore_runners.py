"""Runners in memory: lives, leases on clocks of their own, tokens and ends."""

import asyncio
import dataclasses

import msgspec
import result

from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from standins import explore_store
from standins import explore_world as world_module
from standins import soak_observations as observations_module

TOPIC = "keyed.servers"
SERVICE = "pool"
CPU = 8_000
_MEMORY_MB = 32_000
# An entry is written about this often, and removed after three times that.
_ENTRY_S = 1.5
_ENTRY_GONE_S = 4.5
_MAX_LISTED_ENDS = 500
_STOP_GRACE_S = 0.4
# A new life may begin with any reading of its clock.
_MAX_CLOCK_MS = 10_000_000
SLOWEST_RATE = 0.98
# Share of the connections that a crash leaves silent, and for how long, which
# is longer than any call waits.
_SILENT_CRASH_SHARE = 0.5
_SILENCE_S = 10.0
_OUTCOME = interfaces.OrderOutcome


class Work(msgspec.Struct):
    """What a task does, as its text tells; 0 s of work lasts."""

    run_s: float
    cpu: int


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A running attempt; `ends_by` is the timer of its end."""

    task: str
    attempt: int
    cpu: int
    began: float
    run_s: float
    ends_by: asyncio.TimerHandle | None = None
    is_stopping: bool = False


@dataclasses.dataclass(slots=True)
class StrayStart:
    """A start carried out late by a life that no call in time had reached.

    Attributes:
      is_first: No late call had reached that life either.
      was_denied: A poll since the start was sent had an answer of an earlier
        life, and that life did not run the attempt.
      unknown_until: When a call in time reached that life, or it ended.
    """

    task: str
    attempt: int
    runner: str
    at: float
    is_first: bool
    was_denied: bool
    unknown_until: float = float("inf")


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """One runner and its present life.

    Attributes:
      life: Number of its life; calls wait for an end of that life only.
      is_up: The life runs.
      has_left: It has left for good.
      reaches_log: Its entry is written.
      max_hold_ms: Longest lease that it grants.
      is_found: A call that did not come late has reached the present life.
      is_reached: A call, late or not, has reached the present life.
      stray_starts: Starts of all lives.
      listed_at: When the last answer to a poll that came back was made.
      listed: Task and number of the attempts that it listed as running.
      entry_until: Until when the platform keeps its entry.
    """

    world: world_module.World
    log: explore_store.Log
    id: str
    address: str
    domain: str
    max_hold_ms: int
    life: int = 0
    is_up: bool = False
    has_left: bool = False
    reaches_log: bool = True
    born_ms: int = 0
    clock_began: float = 0.0
    clock_start_ms: int = 0
    clock_rate: float = 1.0
    token: int = 0
    lease_until_ms: int = 0
    has_lapsed: bool = True
    running: dict[str, _Run] = dataclasses.field(default_factory=dict)
    highest: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[model.AttemptEnd] = dataclasses.field(default_factory=list)
    next_end: int = 1
    is_found: bool = False
    is_reached: bool = False
    stray_starts: list[StrayStart] = dataclasses.field(default_factory=list)
    listed_at: float = -1.0
    listed: frozenset[tuple[str, int]] = frozenset()
    entry_until: float = 0.0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def read_clock(self) -> int:
        """Returns the steady clock of the present life in milliseconds."""
        elapsed_s = self.world.read_now() - self.clock_began
        return self.clock_start_ms + int(elapsed_s * self.clock_rate * 1000)

    def _record(self, kind: str, task: str = "", **fields) -> None:
        self.world.seen.runner_events.append(
            observations_module.RunnerEvent(
                self.world.read_now(),
                self.id,
                kind,
                task,
                life=self.life,
                **fields,
            )
        )
        shown = " ".join(f"{k}={v}" for k, v in fields.items())
        self.world.note(f"{self.id}: {kind} {task} {shown}")

    def begin(self) -> None:
        """Begins a new life, which knows nothing of the one before."""
        draws, now = self.world.draws, self.world.read_now()
        self.life += 1
        self.is_up = True
        self.born_ms = int((world_module.EPOCH_S + now) * 1000)
        self.clock_began = now
        self.clock_start_ms = draws.randrange(_MAX_CLOCK_MS)
        self.clock_rate = draws.uniform(SLOWEST_RATE, 1.0)
        self.token, self.lease_until_ms, self.next_end = 0, 0, 1
        self.has_lapsed = True
        self.is_found = self.is_reached = False
        self.highest.clear()
        self.ends.clear()
        self._record("ready", cpu=CPU)
        self.world.spawn(self._write_entries(self.life))

    def crash(self) -> None:
        """Ends the present life and all that runs, unseen."""
        self.is_up = False
        self._end_strays()
        for run in self.running.values():
            run.ends_by and run.ends_by.cancel()
        self.running.clear()
        self.ended.set()
        self.ended = asyncio.Event()
        self._record("gone")

    async def _write_entries(self, life: int) -> None:
        await asyncio.sleep(self.world.draws.uniform(0.0, 0.5))
        while self.is_up and self.life == life:
            if self.reaches_log and not self.log.is_down:
                self.entry_until = self.world.read_now() + _ENTRY_GONE_S
                self.log.put(TOPIC, [(self.id, self._make_entry())])
                self.world.loop.call_at(self.entry_until, self._expire_entry)
            await asyncio.sleep(_ENTRY_S * self.world.draws.uniform(0.9, 1.1))

    def _expire_entry(self) -> None:
        if self.world.read_now() >= self.entry_until - 0.001:
            self.delete_entry()

    def delete_entry(self) -> None:
        """Deletes its entry, whether it lives or not."""
        self.world.note(f"{self.id}: entry deleted")
        self.log.put(TOPIC, [(self.id, None)])

    def _make_entry(self) -> bytes:
        return msgspec.json.encode(
            model.RunnerEntry(
                self.id,
                self.born_ms,
                SERVICE,
                self.address,
                self.domain,
                False,
                model.Amounts(CPU, _MEMORY_MB),
                ("a", f"{self.domain}-r1"),
                self.read_clock(),
            )
        )

    def takes(self, token: int) -> bool:
        """Tells whether it has seen no higher token, and keeps this one."""
        self.is_reached = True
        if not world_module.IS_LATE.get():
            self._end_strays()
        if token < self.token:
            return False
        self.token = token
        self.is_found |= not world_module.IS_LATE.get()
        return True

    def _end_strays(self) -> None:
        now = self.world.read_now()
        for stray in self.stray_starts:
            stray.unknown_until = min(stray.unknown_until, now)

    def extend(self, until_ms: int | None) -> None:
        """Grants a lease, shortened to the longest one."""
        if until_ms is None:
            return
        limit_ms = self.read_clock() + self.max_hold_ms
        until_ms = min(until_ms, limit_ms)
        if until_ms <= self.lease_until_ms or until_ms <= self.read_clock():
            return
        self.lease_until_ms, self.has_lapsed = until_ms, False
        self._await_lapse(self.life)

    def _await_lapse(self, life: int) -> None:
        left_ms = self.lease_until_ms + 1 - self.read_clock()
        self.world.loop.call_later(
            left_ms / 1000 / self.clock_rate, self._lapse, life
        )

    def _lapse(self, life: int) -> None:
        if life != self.life or not self.is_up or self.has_lapsed:
            return
        if self.read_clock() <= self.lease_until_ms:
            return
        self.has_lapsed = True
        for task in list(self.running):
            self.end(task, "lapsed")
        self._record("lapsed")

    def end(self, task: str, how: str) -> None:
        """Ends an attempt and adds it to the list of ends."""
        run = self.running.pop(task)
        run.ends_by and run.ends_by.cancel()
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.ends.append(
            model.AttemptEnd(self.next_end, task, run.attempt, how, "")
        )
        self.next_end += 1
        self._record("end", task, attempt=run.attempt, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def start(self, order: model.StartOrder) -> _OUTCOME:
        """Carries out an order to start."""
        is_first = not self.is_reached
        if not self.takes(order.token):
            return _OUTCOME.FENCED
        self.extend(order.lease_until_ms)
        present = self.running.get(order.task)
        if present is not None and present.attempt == order.attempt:
            return _OUTCOME.DONE
        if present is not None or order.attempt <= self.highest.get(
            order.task, 0
        ):
            return _OUTCOME.OLD
        if order.lease_until_ms < self.read_clock():
            return _OUTCOME.LATE
        work = msgspec.json.decode(order.spec, type=Work)
        if sum(r.cpu for r in self.running.values()) + work.cpu > CPU:
            return _OUTCOME.NO_ROOM
        now = self.world.read_now()
        run = _Run(order.task, order.attempt, work.cpu, now, work.run_s)
        self.running[order.task] = run
        if work.run_s:
            run.ends_by = self.world.loop.call_later(
                work.run_s, self.end, order.task, "done"
            )
        if world_module.IS_LATE.get() and not self.is_found:
            was_denied = (
                self.listed_at > world_module.SENT_AT.get()
                and (order.task, order.attempt) not in self.listed
            )
            self.stray_starts.append(
                StrayStart(
                    order.task,
                    order.attempt,
                    self.id,
                    now,
                    is_first,
                    was_denied,
                )
            )
        self._record(
            "start",
            order.task,
            attempt=order.attempt,
            late=world_module.IS_LATE.get(),
        )
        return _OUTCOME.DONE

    def stop(self, task: str, attempt: int, token: int) -> _OUTCOME:
        """Carries out an order to stop."""
        if not self.takes(token):
            return _OUTCOME.FENCED
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run is None or run.attempt != attempt or run.is_stopping:
            return _OUTCOME.DONE
        run.is_stopping = True
        run.ends_by and run.ends_by.cancel()
        run.ends_by = self.world.loop.call_later(
            self.world.draws.uniform(0.0, _STOP_GRACE_S),
            self.end,
            task,
            "stopped",
        )
        return _OUTCOME.DONE

    def acknowledge(self, last_stored_end: int) -> None:
        """Forgets the ends up to a number."""
        for end in self.ends:
            if end.number <= last_stored_end:
                self._record(
                    "noted", end.task, attempt=end.attempt, how=end.outcome
                )
        self.ends = [e for e in self.ends if e.number > last_stored_end]

    def note_listed(self, status: model.RunnerStatus, at: float) -> None:
        """Records an answer to a poll, made at a time, that came back."""
        if at > self.listed_at:
            self.listed_at = at
            self.listed = frozenset((r.task, r.attempt) for r in status.running)

    def make_status(self) -> model.RunnerStatus:
        """Lists what runs and what has ended."""
        now = self.world.read_now()
        running = tuple(
            model.RunningAttempt(
                run.task,
                run.attempt,
                "",
                round(100 * (now - run.began) / run.run_s) if run.run_s else 0,
                run.cpu,
            )
            for run in self.running.values()
        )
        listed = tuple(self.ends[:_MAX_LISTED_ENDS])
        return model.RunnerStatus(
            self.born_ms,
            self.read_clock(),
            running,
            listed,
            len(listed) < _MAX_LISTED_ENDS,
        )


@dataclasses.dataclass(slots=True, eq=False)
class Client:
    """Client of a runner on one machine; an `interfaces.RunnerCalls`."""

    runner: Runner
    machine: str
    timeout_s: float

    async def poll(
        self,
        token: int,
        last_stored_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> result.Result[model.RunnerStatus, interfaces.OrderOutcome]:
        """Renews all leases and lists running and ended attempts."""
        runner, listed_at = self.runner, 0.0

        async def carry_out() -> model.RunnerStatus | _OUTCOME:
            nonlocal listed_at
            self._check_up()
            if not runner.takes(token):
                return _OUTCOME.FENCED
            runner.extend(lease_until_ms)
            runner.acknowledge(last_stored_end)
            life = runner.life
            if not runner.ends and wait_s > 0:
                try:
                    async with asyncio.timeout(wait_s):
                        await runner.ended.wait()
                except TimeoutError:
                    pass
            if not runner.is_up or runner.life != life:
                if runner.world.draws.random() < _SILENT_CRASH_SHARE:
                    await asyncio.sleep(_SILENCE_S)
                raise world_module.LostError("connection broken")
            listed_at = runner.world.read_now()
            return runner.make_status()

        what = f"poll token={token} seen={last_stored_end}"
        what += f" lease={lease_until_ms}"
        reply = await self._call(what, carry_out, wait_s)
        if isinstance(reply, model.RunnerStatus):
            runner.note_listed(reply, listed_at)
            return result.Ok(reply)
        return result.Err(reply)

    async def start(self, order: model.StartOrder) -> interfaces.StartReply:
        """Starts an attempt; idempotent."""

        async def carry_out() -> interfaces.StartReply:
            self._check_up()
            outcome = self.runner.start(order)
            done = outcome is _OUTCOME.DONE
            clock_ms = self.runner.read_clock() if done else None
            return interfaces.StartReply(outcome, clock_ms)

        what = f"start {order.task} attempt={order.attempt}"
        what += f" token={order.token} lease={order.lease_until_ms}"
        reply = await self._call(what, carry_out)
        if isinstance(reply, interfaces.StartReply):
            return reply
        return interfaces.StartReply(reply)

    async def stop(self, task: str, attempt: int, token: int) -> _OUTCOME:
        """Stops an attempt; the runner rejects a later start of it."""

        async def carry_out() -> _OUTCOME:
            self._check_up()
            return self.runner.stop(task, attempt, token)

        what = f"stop {task} attempt={attempt} token={token}"
        return await self._call(what, carry_out)

    async def pace(
        self, task: str, attempt: int, percent: int, token: int
    ) -> _OUTCOME:
        """Limits a task to a share of its speed; no task fills here."""
        return _OUTCOME.DONE

    async def aclose(self) -> None:
        """Closes the connections."""

    def _check_up(self) -> None:
        if not self.runner.is_up:
            raise world_module.UnreachedError("refused")

    async def _call(self, what: str, carry_out, wait_s: float = 0.0):
        try:
            return await self.runner.world.call(
                self.machine,
                self.runner.id,
                f"{self.machine} to {self.runner.id}: {what}",
                carry_out,
                self.timeout_s + wait_s,
            )
        except world_module.LostError:
            return _OUTCOME.LOST
        except world_module.UnreachedError:
            return _OUTCOME.UNREACHED
