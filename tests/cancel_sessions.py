"""Sessions in which jobs are cancelled while owners and the log fail.

A seed chooses what happens; the time that it takes is real, so a session is not
repeated exactly. `python -m tests.cancel_sessions FIRST COUNT` plays a range.
"""

import asyncio
import dataclasses
import random
import sys
import time

import anyio
import httpx

from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import intake
from plantainvane.jobs import peers
from plantainvane.jobs import state as state_module
from standins import platform_system

# A start may be on its way when its job's cancel is acknowledged.
_START_ALLOWANCE_S = 1.0
# What runs of a cancelled job has to end 3.4 s after calm returns; an owner may
# have to take over first, and the machine that plays the session is busy.
_STOP_LIMIT_S = 3.4
_ALLOWANCE_S = 6.0
_COUNTS = (1, 1, 2, 3, 20, 20, 120, 499, 501, 1200)
_ODD_ANSWERS = (
    (409, {}),
    (409, {"Reason": "seq"}),
    (409, {"Reason": "seq", "Sequence": 1}),
    (412, {}),
    (200, {}),
)
_ENTRIES = 3
_RUNNERS = 2


@dataclasses.dataclass(slots=True)
class Job:
    """What a caller knows of its job.

    Attributes:
      accepted: A submission was answered 2xx.
      refused: All submissions so far were answered with a rejection.
      acknowledged_at: When its cancel was acknowledged, or None.
      epoch: Highest epoch when its cancel was acknowledged.
    """

    id: str
    count: int
    accepted: bool = False
    refused: bool = True
    acknowledged_at: float | None = None
    epoch: int = -1


@dataclasses.dataclass(slots=True)
class Session:
    """One session.

    Attributes:
      faults: What was found, in the order in which it was found.
      calm: No fault is being caused any more.
      seen: Number of starts of each runner that have been checked.
    """

    system: platform_system.System
    choose: random.Random
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)
    events: list[str] = dataclasses.field(default_factory=list)
    calm: bool = False
    seen: dict[str, int] = dataclasses.field(default_factory=dict)
    next_entry: int = _ENTRIES
    started_at: float = 0.0

    def note(self, what: str) -> None:
        """Notes what was done or seen."""
        at = time.monotonic() - self.started_at
        self.events.append(f"{at:.2f} {what}")

    def report(self, fault: str) -> None:
        """Notes a fault, once."""
        if fault not in self.faults:
            self.faults.append(fault)
            self.note(f"FAULT {fault}")


async def _call(session: Session, method: str, job: Job, body=None) -> int:
    """Returns the status of a call to any process; 0 without an answer."""
    entry = session.choose.choice(session.system.entries)
    try:
        reply = await platform_system.call(
            entry, method, job.id, body, deadline_ms=2500
        )
    except httpx.HTTPError:
        return 0
    if method == "GET" and reply.status_code == 410 and job.accepted:
        session.report(f"accepted job {job.id} is answered 410")
    return reply.status_code


async def _play_caller(session: Session, job: Job, at_s: float) -> None:
    """Submits a job, asks for it, and cancels it most of the time."""
    choose = session.choose
    await anyio.sleep(at_s)
    body = platform_system.make_job(
        count=job.count, run_ms=60_000, Cpu=10, MemMb=500
    )
    gives_up = choose.random() < 0.2
    while not job.accepted:
        status = await _call(session, "POST", job, body)
        job.accepted = status == 200
        job.refused &= status in (429, 503)
        if gives_up:
            break
        await anyio.sleep(0.1)
    await anyio.sleep(choose.random() * 2.0)
    await _call(session, "GET", job)
    if choose.random() < 0.15 and job.accepted:
        return
    while job.acknowledged_at is None:
        accepted = job.accepted
        status = await _call(session, "DELETE", job)
        if status == 410 and accepted:
            session.report(f"cancel of accepted job {job.id} is answered 410")
        if status in (200, 410):
            job.epoch = max(e.ownership.epoch for e in session.system.entries)
            job.acknowledged_at = time.monotonic()
            session.note(f"cancel {job.id} {job.count} acknowledged {status}")
        await anyio.sleep(0.1)
    while not session.calm:
        await _call(session, "GET", job)
        await anyio.sleep(0.5)


async def _disturb(session: Session, until_s: float) -> None:
    """Causes faults until a time after the start of the session."""
    kinds = (
        _kill_owner,
        _isolate_owner,
        _cut_owner_from_log,
        _hand_over,
        _harm_log,
        _harm_log,
    )
    while time.monotonic() - session.started_at < until_s:
        await anyio.sleep(0.2 + session.choose.random())
        kind = session.choose.choice(kinds)
        session.note(kind.__name__)
        await kind(session)
    session.system.cuts.clear()
    log = session.system.store
    log.down, log.append_delay_s, log.lose_answers = False, 0.0, 0
    log.late_appends.clear()
    log.odd_answers.clear()


async def _replace(session: Session) -> None:
    await platform_system.add_entry(session.system, session.next_entry)
    session.next_entry += 1


async def _kill_owner(session: Session) -> None:
    owner = session.system.find_owner()
    if owner is not None:
        await session.system.kill(owner)
        await _replace(session)


async def _isolate_owner(session: Session) -> None:
    owner = session.system.find_owner()
    if owner is not None:
        session.system.isolate(owner)
        await anyio.sleep(0.5 + 4.0 * session.choose.random())
        session.system.cuts.clear()


async def _cut_owner_from_log(session: Session) -> None:
    owner = session.system.find_owner()
    if owner is not None:
        session.system.cut_from_log(owner)
        await anyio.sleep(0.5 + 4.0 * session.choose.random())
        session.system.cuts.clear()


async def _hand_over(session: Session) -> None:
    owner = session.system.find_owner()
    if owner is not None:
        await entry_module.drain(owner)
        session.system.entries.remove(owner)
        await _replace(session)


async def _harm_log(session: Session) -> None:
    log, choose = session.system.store, session.choose
    fault = choose.choice(("lose", "late", "slow", "down", "forget", "odd"))
    session.note(fault)
    if fault == "lose":
        log.lose_answers = choose.randint(1, 6)
    elif fault == "late":
        topics = (state_module.JOBS_TOPIC, state_module.PROGRESS_TOPIC)
        for topic in topics:
            count = choose.randint(0, 3)
            log.late_appends[topic] = [
                1.0 + 5.0 * choose.random() for _ in range(count)
            ]
    elif fault == "slow":
        log.append_delay_s = 0.6 * choose.random()
        await anyio.sleep(2.0 * choose.random())
        log.append_delay_s = 0.0
    elif fault == "down":
        log.down = True
        await anyio.sleep(3.0 * choose.random())
        log.down = False
    elif fault == "odd":
        log.odd_answers = choose.choices(_ODD_ANSWERS, k=choose.randint(1, 3))
    else:
        log.forget_sequences()


async def _watch(session: Session) -> None:
    """Checks what owners know and what runners start, until cancelled."""
    while True:
        await anyio.sleep(0.02)
        now = time.monotonic()
        for entry in session.system.entries:
            _check_owner(session, entry.owner)
        for runner in session.system.runners.values():
            first = session.seen.get(runner.id, 0)
            session.seen[runner.id] = len(runner.starts)
            for task, attempt in runner.starts[first:]:
                job = session.jobs[task.partition(".")[0]]
                at = job.acknowledged_at
                if at is not None and now - at > _START_ALLOWANCE_S:
                    session.report(f"{task} {attempt} starts after the cancel")


def _check_owner(session: Session, owner: state_module.Owner | None) -> None:
    if owner is None or not owner.recovered or owner.stepped_down.is_set():
        return
    for job in session.jobs.values():
        # An earlier owner may not have learned that it was replaced.
        if job.acknowledged_at is None or owner.epoch < job.epoch:
            continue
        state = owner.table.jobs.get(job.id)
        if state is not None and state.stored_ended != "cancelled":
            session.report(
                f"owner {owner.epoch} takes {job.id} for"
                f" {state.ended or 'open'}"
            )


async def _check_end(session: Session) -> None:
    """Checks the state of all jobs once calm has returned."""
    deadline = time.monotonic() + _STOP_LIMIT_S + _ALLOWANCE_S
    cancelled = {
        j.id for j in session.jobs.values() if j.acknowledged_at is not None
    }
    left = {"all"}
    while left and time.monotonic() < deadline:
        await anyio.sleep(0.05)
        left = {
            task
            for runner in session.system.runners.values()
            for task in runner.running
            if task.partition(".")[0] in cancelled
        }
    for task in sorted(left)[:3]:
        session.report(f"{task} and {len(left) - 1} more run on")
    owner = await session.system.wait_owner()
    for job in session.jobs.values():
        reply = await intake.answer_question(
            owner.owner, peers.Ask("state", job.id)
        )
        if not job.accepted:
            continue
        if not reply.known:
            session.report(f"accepted job {job.id} is not known")
        elif (reply.state == "cancelled") != (job.id in cancelled):
            session.report(f"job {job.id} is {reply.state}")
    started = {
        task.partition(".")[0] for task, _ in session.system.list_starts()
    }
    for job in session.jobs.values():
        if job.refused and job.id in started:
            session.report(f"refused job {job.id} started")


async def play(seed: int, last_s: float, jobs: int) -> Session:
    """Plays a session of about `last_s` seconds and returns it."""
    choose = random.Random(seed)
    async with platform_system.run_system(
        entries=_ENTRIES, runners=_RUNNERS
    ) as system:
        session = Session(system, choose, started_at=time.monotonic())
        await system.wait_owner()
        async with anyio.create_task_group() as group:
            group.start_soon(_watch, session)
            async with anyio.create_task_group() as callers:
                for number in range(jobs):
                    job = Job(f"{seed:08x}{number:08x}", choose.choice(_COUNTS))
                    session.jobs[job.id] = job
                    at_s = choose.random() * last_s / 2
                    callers.start_soon(_play_caller, session, job, at_s)
                await _disturb(session, last_s)
                session.calm = True
                session.note("calm")
            await _check_end(session)
            group.cancel_scope.cancel()
    return session


def main() -> None:
    """Plays the seeds that the command line names."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        session = asyncio.run(play(seed, 8.0, 12))
        took_s = time.monotonic() - session.started_at
        cancelled = sum(
            j.acknowledged_at is not None for j in session.jobs.values()
        )
        print(
            f"seed {seed}: {cancelled} cancelled of {len(session.jobs)},"
            f" {len(session.system.list_starts())} starts, {took_s:.1f} s,"
            f" faults {session.faults}",
            flush=True,
        )
        if session.faults:
            print("\n".join(session.events), flush=True)


if __name__ == "__main__":
    main()
