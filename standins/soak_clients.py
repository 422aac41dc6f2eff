"""Clients of a soak; each uses its connection until the process is gone."""

import dataclasses
import random
from typing import Any

import anyio
import msgspec

from standins import connection as connection_module
from standins import platform_system
from standins import soak_observations as observations_module
from standins import soak_session as session_module

DEADLINE_MS = 3000
_CONNECT_S = 1.0
_ANSWER_S = 4.0
_PAUSE_S = (0.05, 0.5)
_SUBMIT_ATTEMPTS = 6
_NEWEST_SHARE = 0.6
# All probes together take at most this many requests a second.
_PROBES_PER_S = 60.0
_PROBE_PAUSE_S = 0.2
_MAX_LASTING_JOBS = 14
# Of these, so many are never cancelled, so that their waits can be judged.
_KEPT_LASTING_JOBS = 8
# What a client does, by weight.
_ACTIONS = {"submit": 5, "submit_lasting": 1, "ask": 12, "cancel": 1}
# Run time of tasks that last, if they do not last until the cancel.
_FAILING_RUN_MS = (3000, 12_000)
_FAILING_SHARE = 0.3
_RUN_MS = (50, 4000)
# A task this short ends in a life of a runner that nobody has found yet.
_SHORT_RUN_MS, _SHORT_SHARE = 200, 0.4
_LONG_MS = 100_000_000

Exchange = observations_module.Exchange
Process = session_module.Process


@dataclasses.dataclass(slots=True)
class Client:
    """A client with its one connection.

    Attributes:
      process: Whom it calls.
      life: Incarnation of the process when the connection was opened.
    """

    rng: random.Random
    process: Process
    life: int = 0
    connection: connection_module.Connection | None = None


@dataclasses.dataclass(slots=True)
class Load:
    """What the clients know of jobs.

    Attributes:
      submits: New jobs are submitted.
      accepted: Jobs that were accepted and are neither cancelled nor known to
        have ended, by id.
      kept: Ids of jobs that are not cancelled.
      ended: Ids of jobs that were seen to have ended.
      refused: Number of jobs that were refused.
    """

    session: session_module.Session
    submits: bool = True
    accepted: dict[str, observations_module.Job] = dataclasses.field(
        default_factory=dict
    )
    kept: set[str] = dataclasses.field(default_factory=set)
    ended: list[str] = dataclasses.field(default_factory=list)
    refused: int = 0


async def run_client(load: Load, client: Client) -> None:
    """Submits, asks for and cancels jobs until it is cancelled."""
    while True:
        await anyio.sleep(client.rng.uniform(*_PAUSE_S))
        (action,) = client.rng.choices(list(_ACTIONS), list(_ACTIONS.values()))
        if action.startswith("submit"):
            if load.submits:
                await _submit(load, client, action == "submit_lasting")
        elif action == "cancel":
            await _cancel(load, client)
        else:
            await _ask_any(load, client)


async def run_prober(load: Load, client: Client) -> None:
    """Asks one process which versions of the configuration it knows."""
    session = load.session
    own = client.process
    pause_s = max(_PROBE_PAUSE_S, len(session.processes) / _PROBES_PER_S)
    while True:
        await anyio.sleep(pause_s)
        client.process = own
        versions = [c.version for c in session.seen.configurations]
        version = versions[-1]
        if client.rng.random() > _NEWEST_SHARE:
            version = client.rng.choice(versions[-3:])
        # The path names no valid job, so that the process itself answers.
        path = f"{session_module.make_probe_prefix(version)}x"
        await _call(load, client, "GET", "probe", str(version), path)


async def ask(load: Load, client: Client, job_id: str) -> str:
    """Asks for the state of a job; returns it, or an empty string."""
    exchange = await _call(load, client, "GET", "state", job_id)
    if exchange is None:
        return ""
    has_ended = exchange.state in ("completed", "failed")
    if has_ended and load.accepted.pop(job_id, None) is not None:
        load.ended.append(job_id)
    return exchange.state


async def _ask_any(load: Load, client: Client) -> None:
    known = list(load.accepted)[-40:] + load.ended[-5:]
    if known:
        await ask(load, client, client.rng.choice(known))


async def _submit(load: Load, client: Client, lasts: bool) -> None:
    rng = client.rng
    lasting = [job for job in load.accepted.values() if job.lasts]
    if lasts and len(lasting) >= _MAX_LASTING_JOBS:
        await _cancel(load, client)
        return
    fields: dict[str, Any] = {"count": rng.randint(1, 4)}
    if lasts:
        fields["LongRunning"] = True
        fields["fails"] = rng.random() < _FAILING_SHARE
        fields["run_ms"] = (
            rng.randint(*_FAILING_RUN_MS) if fields["fails"] else _LONG_MS
        )
    else:
        run_ms = rng.randint(*_RUN_MS)
        if rng.random() < _SHORT_SHARE:
            run_ms = _SHORT_RUN_MS
        fields |= {"steps": rng.randint(1, 2), "run_ms": run_ms}
    body = platform_system.make_job(**fields)
    job = observations_module.Job(
        f"{rng.getrandbits(64):016x}",
        fields["count"],
        body["Steps"][0]["Cpu"],
        lasts,
    )
    load.session.seen.jobs.append(job)
    content = msgspec.json.encode(body)
    is_unknown = False
    for _ in range(_SUBMIT_ATTEMPTS):
        exchange = await _call(
            load, client, "POST", "submit", job.id, content=content
        )
        status = exchange.status if exchange is not None else 0
        if status == 200:
            load.accepted[job.id] = job
            if lasts and len(load.kept) < _KEPT_LASTING_JOBS:
                load.kept.add(job.id)
            return
        if status in (429, 503) and not is_unknown:
            load.refused += 1
            return
        # Nothing tells whether it was accepted: the same job comes again.
        is_unknown = is_unknown or exchange is not None
        await anyio.sleep(rng.uniform(*_PAUSE_S))


async def _cancel(load: Load, client: Client) -> None:
    cancellable = [
        job for job in load.accepted.values() if job.id not in load.kept
    ]
    lasting = [job for job in cancellable if job.lasts]
    if not cancellable:
        return
    job_id = client.rng.choice(lasting or cancellable).id
    load.accepted.pop(job_id)
    for _ in range(_SUBMIT_ATTEMPTS):
        exchange = await _call(load, client, "DELETE", "cancel", job_id)
        if exchange is not None and exchange.status in (200, 410):
            return
        await anyio.sleep(client.rng.uniform(*_PAUSE_S))


async def _call(
    load: Load,
    client: Client,
    method: str,
    kind: str,
    what: str,
    path: str = "",
    content: bytes = b"",
) -> Exchange | None:
    """Sends a request on the client's connection, or on a new one.

    Returns:
      The exchange, or None if no connection could be opened: the client then
      turns to another process.
    """
    if client.connection is None:
        opened = await connection_module.open_connection(
            client.process.address, _CONNECT_S
        )
        if isinstance(opened, connection_module.FailedExchange):
            client.process = client.rng.choice(load.session.processes)
            return None
        client.connection, client.life = opened, client.process.life
    sent = session_module.read_now()
    reply = await connection_module.exchange(
        client.connection,
        method,
        path or f"{platform_system.PREFIX}{what}",
        {"Host": platform_system.HOST, "Deadline-Ms": str(DEADLINE_MS)},
        content,
        _ANSWER_S,
    )
    exchange = Exchange(
        client.process.name,
        client.life,
        kind,
        what,
        sent,
        session_module.read_now(),
    )
    if isinstance(reply, connection_module.FailedExchange):
        client.connection = None
        # The client's own time-out is no end of the connection.
        exchange.cut = exchange.ended - sent < _ANSWER_S
    else:
        exchange.status = reply.status
        if kind == "state" and reply.status == 200:
            exchange.state = msgspec.json.decode(reply.body)["State"]
        if not connection_module.is_reusable(client.connection):
            await connection_module.close_connection(client.connection)
            client.connection = None
    load.session.seen.exchanges.append(exchange)
    return exchange


def make_clients(
    session: session_module.Session, seed: int, count: int, name: str
) -> list[Client]:
    """Creates clients that are spread over the processes."""
    return [
        Client(
            random.Random(f"{name} {number} of {seed}"),
            session.processes[number % len(session.processes)],
        )
        for number in range(count)
    ]


def is_finite_left(load: Load) -> bool:
    """Tells whether an accepted job that ends by itself is not known to."""
    return any(not job.lasts for job in load.accepted.values())


def describe_load(load: Load) -> dict[str, Any]:
    """Counts requests by kind and status, and jobs by what became of them."""
    counts: dict[str, dict[str, int]] = {}
    for exchange in load.session.seen.exchanges:
        kinds = counts.setdefault(exchange.kind, {})
        status = str(exchange.status) if exchange.status else "none"
        if exchange.cut:
            status = "cut"
        kinds[status] = kinds.get(status, 0) + 1
    return {
        "requests": counts,
        "jobs": {
            "sent": len(load.session.seen.jobs),
            "refused": load.refused,
            "ended": len(load.ended),
            "open": len(load.accepted),
        },
    }
