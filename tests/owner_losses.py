"""Losses of the owner at given moments between a cancel and its last end.

The clients of all entry processes are wrapped. Each call that marks a moment
loses the owner that makes it, if that moment is the next one of the plan, so it
does not depend on time.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import time
from typing import Any

import anyio
import anyio.abc
import msgspec
import result

from plantainvane import outcomes
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import peers
from plantainvane.jobs import process as process_module
from plantainvane.jobs import state as state_module
from standins import platform_system

# Longest time for which a call waits for a handover that it would hold up.
_HAND_OVER_S = 1.0
# Longest time for which the stops wait for the acknowledgement.
_ACKNOWLEDGED_S = 2.0
_LOST = interfaces.OrderOutcome.LOST
_NO_ANSWER = result.Err(
    outcomes.CallError(outcomes.CallFailure.LOST, "the owner is lost")
)


class Moment(enum.StrEnum):
    """When the owner is lost.

    RECOVERING: it is about to load the progress. UNSENT: the append of the
    cancel is about to be sent. UNANSWERED: that is stored, and its answer is
    lost. STORED: the answer to the caller is lost. ACKNOWLEDGED: no stop has
    been sent. STOP_SENT: a stop is carried out, and its answer is lost.
    STOP_ANSWERED: the poll after that is lost. END_REPORTED: the append of the
    end is about to be sent. END_STORED: the answer to that append is lost.
    """

    RECOVERING = "recovering"
    UNSENT = "unsent"
    UNANSWERED = "unanswered"
    STORED = "stored"
    ACKNOWLEDGED = "acknowledged"
    STOP_SENT = "stop_sent"
    STOP_ANSWERED = "stop_answered"
    END_REPORTED = "end_reported"
    END_STORED = "end_stored"


class Kind(enum.StrEnum):
    """How the owner is lost.

    KILLED: for good, at once. LOG_CUT: it does not reach the log. FROZEN: none
    of its calls goes out, and the one that it was making goes out later.
    HANDED_OVER: it is terminated, and asks another process to claim.
    ALL_KILLED: all processes are killed, and others started.
    """

    KILLED = "killed"
    ALL_KILLED = "all_killed"
    LOG_CUT = "log_cut"
    FROZEN = "frozen"
    HANDED_OVER = "handed_over"


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A loss of the owner, at the `nth` call that marks the moment.

    Attributes:
      lasts_s: Time until a process that is cut off or frozen goes on.
    """

    moment: Moment
    kind: Kind
    nth: int = 1
    lasts_s: float = 3.0


@dataclasses.dataclass(slots=True)
class Losses:
    """The losses of one session.

    Attributes:
      system: The deployment.
      group: Runs what goes on beside the calls.
      job: Id of the job whose cancel, stops and ends mark the moments.
      armed: Losses to come, in order.
      happened: Losses that have happened.
      acknowledged: Set when the cancel of the job is acknowledged, or its
        caller gives up.
      troubles: Number of troubles that have not ended. That of an owner which
        comes back ends once another one has recovered.
      calm_since: When the last trouble ended.
      away: Number of processes that are to come back.
      back_since: When the last of them came back.
      dead: Ids of processes that make no calls any more.
      frozen: Set when a frozen process goes on, by its id.
      stopped, ended: Ids of the processes to which a stop was answered, or an
        end reported.
    """

    system: platform_system.System
    group: anyio.abc.TaskGroup
    job: str = ""
    armed: list[Loss] = dataclasses.field(default_factory=list)
    happened: list[Loss] = dataclasses.field(default_factory=list)
    acknowledged: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    troubles: int = 0
    calm_since: float = 0.0
    away: int = 0
    back_since: float = 0.0
    dead: set[str] = dataclasses.field(default_factory=set)
    frozen: dict[str, anyio.Event] = dataclasses.field(default_factory=dict)
    stopped: set[str] = dataclasses.field(default_factory=set)
    ended: set[str] = dataclasses.field(default_factory=set)
    calls: collections.Counter[Moment] = dataclasses.field(
        default_factory=collections.Counter
    )
    next_entry: int = 0

    async def add_entry(self) -> None:
        """Adds an entry process."""
        self.next_entry += 1
        await platform_system.add_entry(self.system, self.next_entry - 1)

    def wrap(self, entry: process_module.Entry) -> None:
        """Replaces the clients of an entry process."""
        adapters, own = entry.adapters, entry.settings.id

        def connect_runner(address: str, runner_id: str) -> RunnerClient:
            return RunnerClient(
                self, own, adapters.connect_runner(address, runner_id)
            )

        entry.adapters = msgspec.structs.replace(
            adapters,
            connect_runner=connect_runner,
            store=StoreClient(self, own, adapters.store),
        )
        entry.peers = PeerClient(self, own, entry.peers)

    def begin_trouble(self) -> None:
        """Records that something is in trouble from now on."""
        self.troubles += 1

    def end_trouble(self) -> None:
        """Records the end of one trouble."""
        self.troubles -= 1
        self.calm_since = time.monotonic()

    def is_next(self, moment: Moment) -> bool:
        """Tells whether the next loss is at `moment`."""
        return bool(self.armed) and self.armed[0].moment is moment

    def find_entry(self, own: str) -> process_module.Entry | None:
        """Returns a living process by its id."""
        for entry in self.system.entries:
            if entry.settings.id == own and own not in self.dead:
                return entry
        return None

    def has_successor(self, lost: process_module.Entry) -> bool:
        """Tells whether another process is the owner and has recovered."""
        return any(
            entry is not lost
            and entry.owner is not None
            and entry.owner.recovered
            for entry in self.system.entries
        )

    async def pass_gate(self, own: str) -> None:
        """Waits while a process is frozen, and for ever if it is dead."""
        if own in self.dead:
            await anyio.sleep_forever()
        if own in self.frozen:
            await self.frozen[own].wait()

    async def reach(
        self,
        own: str,
        moment: Moment,
        call: Callable[[], Awaitable[Any]] | None = None,
    ) -> bool:
        """Loses the owner if it is due; returns whether it was.

        A frozen process makes the `call` when it goes on, also if it has given
        it up meanwhile.
        """
        entry = self.find_entry(own)
        if not self.is_next(moment) or entry is None or entry.owner is None:
            return False
        self.calls[moment] += 1
        if self.calls[moment] < self.armed[0].nth:
            return False
        loss = self.armed.pop(0)
        self.happened.append(loss)
        self.begin_trouble()
        self.calls.clear()
        if call is not None and loss.kind is Kind.FROZEN:
            self.group.start_soon(_call_late, self, own, call)
        await _LOSE[loss.kind](self, entry, loss)
        return True


async def _call_late(
    losses: Losses, own: str, call: Callable[[], Awaitable[Any]]
) -> None:
    # The process is frozen in this turn of the event loop.
    await losses.frozen[own].wait()
    if own not in losses.dead:
        await call()


async def _kill(
    losses: Losses, entry: process_module.Entry, loss: Loss
) -> None:
    losses.dead.add(entry.settings.id)
    losses.group.start_soon(_replace_dead, losses, entry)
    losses.end_trouble()


async def _kill_all(
    losses: Losses, entry: process_module.Entry, loss: Loss
) -> None:
    killed = [
        e for e in losses.system.entries if e.settings.id not in losses.dead
    ]
    losses.dead.update(e.settings.id for e in killed)
    for each in killed:
        losses.group.start_soon(_replace_dead, losses, each)
    losses.end_trouble()


async def _replace_dead(losses: Losses, entry: process_module.Entry) -> None:
    if entry in losses.system.entries:
        await losses.system.kill(entry)
        await losses.add_entry()


async def _cut_from_log(
    losses: Losses, entry: process_module.Entry, loss: Loss
) -> None:
    cuts = losses.system.cuts
    before = set(cuts)
    losses.system.cut_from_log(entry)
    losses.group.start_soon(
        _bring_back, losses, entry, cuts - before, loss.lasts_s
    )


async def _bring_back(
    losses: Losses,
    entry: process_module.Entry,
    cuts: set[tuple[str, str]],
    after_s: float,
) -> None:
    losses.away += 1
    until = time.monotonic() + after_s
    while time.monotonic() < until and not losses.has_successor(entry):
        await anyio.sleep(0.01)
    losses.end_trouble()
    await anyio.sleep(max(0.0, until - time.monotonic()))
    losses.system.cuts.difference_update(cuts)
    losses.away -= 1
    losses.back_since = time.monotonic()


async def _freeze(
    losses: Losses, entry: process_module.Entry, loss: Loss
) -> None:
    cuts, own = losses.system.cuts, entry.settings.id
    before = set(cuts)
    others = [e for e in losses.system.entries if e is not entry]
    losses.system.cut(entry, (), others)
    losses.frozen[own] = thawed = anyio.Event()
    losses.group.start_soon(_thaw, losses, entry, cuts - before, loss.lasts_s)
    await thawed.wait()


async def _thaw(
    losses: Losses,
    entry: process_module.Entry,
    cuts: set[tuple[str, str]],
    after_s: float,
) -> None:
    await _bring_back(losses, entry, cuts, after_s)
    losses.frozen.pop(entry.settings.id).set()


async def _hand_over(
    losses: Losses, entry: process_module.Entry, loss: Loss
) -> None:
    owner = entry.owner
    losses.group.start_soon(_drain, losses, entry, owner)
    with anyio.move_on_after(_HAND_OVER_S):
        await owner.stepped_down.wait()


async def _drain(
    losses: Losses, entry: process_module.Entry, owner: state_module.Owner
) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(entry_module.drain, entry)
        while not (owner.stepped_down.is_set() or entry.stopping.is_set()):
            await anyio.sleep(0.01)
        losses.end_trouble()
        while not entry.stopping.is_set():
            await anyio.sleep(0.01)
        # It may have been killed meanwhile, and its calls do not end then.
        group.cancel_scope.cancel()
    if entry in losses.system.entries:
        losses.system.entries.remove(entry)
        await losses.add_entry()


_LOSE = {
    Kind.KILLED: _kill,
    Kind.ALL_KILLED: _kill_all,
    Kind.LOG_CUT: _cut_from_log,
    Kind.FROZEN: _freeze,
    Kind.HANDED_OVER: _hand_over,
}


class StoreClient:
    """Client of the log, which marks the appends of progress."""

    def __init__(self, losses: Losses, own: str, store: Any):
        """Creates the client of the process `own`."""
        self._losses = losses
        self._own = own
        self._store = store

    async def append(
        self, topic: str, records: list[Any], *arguments: Any, **fields: Any
    ) -> result.Result[interfaces.Appended, outcomes.CallError]:
        """Appends records."""
        losses, own = self._losses, self._own
        cancels = topic == state_module.PROGRESS_TOPIC and any(
            key == losses.job and _is_cancelled(value) for key, value in records
        )
        ends = cancels and own in losses.ended
        await losses.pass_gate(own)
        if cancels:
            await losses.reach(own, Moment.UNSENT)
        if ends:
            await losses.reach(own, Moment.END_REPORTED)
        await losses.pass_gate(own)
        reply = await self._store.append(topic, records, *arguments, **fields)
        await losses.pass_gate(own)
        if reply.is_err():
            return reply
        if cancels and await losses.reach(own, Moment.UNANSWERED):
            return _NO_ANSWER
        if ends and await losses.reach(own, Moment.END_STORED):
            return _NO_ANSWER
        return reply

    async def read(
        self, *arguments: Any
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Reads records."""
        return await self._call(self._store.read, *arguments)

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[interfaces.Page, outcomes.CallError]:
        """Lists the newest records."""
        await self._losses.pass_gate(self._own)
        if topic == state_module.PROGRESS_TOPIC:
            await self._losses.reach(self._own, Moment.RECOVERING)
        return await self._call(self._store.list_newest, topic, timeout_s)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._store.aclose()

    async def _call(self, call: Any, *arguments: Any) -> Any:
        await self._losses.pass_gate(self._own)
        reply = await call(*arguments)
        await self._losses.pass_gate(self._own)
        return reply


def _is_cancelled(value: bytes | None) -> bool:
    if value is None:
        return False
    progress = msgspec.json.decode(value, type=model.JobProgress)
    return progress.ended == "cancelled"


class RunnerClient:
    """Client of a runner, which marks the stops and ends of the job."""

    def __init__(self, losses: Losses, own: str, calls: interfaces.RunnerCalls):
        """Creates the client of the process `own`."""
        self._losses = losses
        self._own = own
        self._calls = calls

    async def poll(
        self, *arguments: Any
    ) -> result.Result[model.RunnerStatus, interfaces.OrderOutcome]:
        """Polls the runner."""
        losses, own = self._losses, self._own
        await losses.pass_gate(own)
        reply = await self._calls.poll(*arguments)
        await losses.pass_gate(own)
        if own in losses.stopped and await losses.reach(
            own, Moment.STOP_ANSWERED
        ):
            return result.Err(_LOST)
        if reply.is_ok() and any(map(self._is_of_job, reply.ok_value.ends)):
            losses.ended.add(own)
        return reply

    async def start(self, order: model.StartOrder) -> interfaces.StartReply:
        """Orders a start."""
        return await self._order(self._calls.start, order)

    async def stop(
        self, task: str, attempt: int, token: int
    ) -> interfaces.OrderOutcome:
        """Orders a stop."""
        losses, own = self._losses, self._own
        is_marked = task.partition(".")[0] == losses.job
        await losses.pass_gate(own)
        if is_marked and losses.is_next(Moment.ACKNOWLEDGED):
            with anyio.move_on_after(_ACKNOWLEDGED_S):
                await losses.acknowledged.wait()
            # Another stop may have lost this owner meanwhile.
            await losses.pass_gate(own)
            await losses.reach(
                own,
                Moment.ACKNOWLEDGED,
                lambda: self._calls.stop(task, attempt, token),
            )
        outcome = await self._order(self._calls.stop, task, attempt, token)
        if is_marked and await losses.reach(own, Moment.STOP_SENT):
            return _LOST
        if is_marked and outcome is not _LOST:
            losses.stopped.add(own)
        return outcome

    async def pace(self, *arguments: Any) -> interfaces.OrderOutcome:
        """Orders a pace."""
        return await self._order(self._calls.pace, *arguments)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._calls.aclose()

    async def _order(self, call: Any, *arguments: Any) -> Any:
        """Sends an order; that of a frozen process goes out after it."""
        await self._losses.pass_gate(self._own)
        outcome = await call(*arguments)
        await self._losses.pass_gate(self._own)
        return outcome

    def _is_of_job(self, end: model.AttemptEnd) -> bool:
        return end.task.partition(".")[0] == self._losses.job


class PeerClient:
    """Client of the other processes, which marks the answers to a cancel."""

    def __init__(self, losses: Losses, own: str, client: peers.PeerClient):
        """Creates the client of the process `own`."""
        self._losses = losses
        self._own = own
        self._client = client

    async def call(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, outcomes.CallError]:
        """Sends `message`."""
        losses = self._losses
        await losses.pass_gate(self._own)
        reply = await self._client.call(address, message, timeout_s)
        if (
            isinstance(message, peers.Ask)
            and message == peers.Ask("cancel", losses.job)
            and reply.is_ok()
            and reply.ok_value.owner
        ):
            for entry in losses.system.entries:
                if entry.settings.peer_address == address:
                    return await self._answer(entry, reply)
        return reply

    async def _answer(self, entry: process_module.Entry, reply: Any) -> Any:
        """Returns the owner's answer, or none if the owner is lost with it."""
        losses = self._losses
        if not losses.is_next(Moment.STORED):
            return reply
        happened = len(losses.happened)
        # A frozen owner is not to hold up this process.
        losses.group.start_soon(losses.reach, entry.settings.id, Moment.STORED)
        await anyio.sleep(0)
        return reply if len(losses.happened) == happened else _NO_ANSWER

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()
