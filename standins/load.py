"""Simulated callers of a deployment that check every answer.

    python -m standins.load --deployment examples/demo.json \
        --entries 127.0.0.10:8000,127.0.0.11:8000 --seconds 10

prints one JSON object: outcome counts and latency quantiles, in total and by
service class.
"""

import dataclasses
import functools
import math
import pathlib
import random
import time
from typing import Annotated
from typing import Any

import anyio
import msgspec
import typer

from plantainvane import documents
from standins import answers
from standins import balancer as balancer_module
from standins import connection as connection_module
from standins import launcher

DEFAULT_TIMEOUT_S = 20.0
# Share of the requests with an idempotency key that are sent twice, and the
# share of these that are sent concurrently instead of one after the other.
REPEAT_SHARE = 0.2
OVERLAP_SHARE = 0.5
# Maximum pause between an answer and the repeat of its request. The answer is
# recorded only after it was sent, so an immediate repeat may not find it.
REPEAT_PAUSE_S = 0.5


class Record(msgspec.Struct, kw_only=True):
    """One request as its caller saw it.

    Times are of the host's monotonic clock.

    Attributes:
      key: Idempotency key; empty if the request has none.
      entry: Address of the entry process; empty if none was reached.
      outcome: answered, not_run, unknown, duplicate or wrong.
      status: HTTP status of the reply; 0 without one.
      broken: Whether the exchange ended without a complete reply after the
        request may have been sent.
    """

    request_id: str
    service_class: str
    key: str = ""
    entry: str = ""
    outcome: str = "unknown"
    status: int = 0
    detail: str = ""
    broken: bool = False
    sent: float = 0.0
    done: float = 0.0


@dataclasses.dataclass(slots=True)
class Load:
    """State of a load run.

    Attributes:
      non_idempotent: Service classes whose requests carry idempotency keys.
      prefix: Prefix of request ids and idempotency keys.
      sent_ids: Ids of the requests sent with each idempotency key; the answer
        to a repeat may carry any of them.
      count: Number of requests sent.
      keys: Number of idempotency keys used.
    """

    deployment: launcher.Deployment
    balancer: balancer_module.Balancer
    random: random.Random
    non_idempotent: frozenset[str]
    prefix: str = "q"
    timeout_s: float = DEFAULT_TIMEOUT_S
    records: list[Record] = dataclasses.field(default_factory=list)
    sent_ids: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    count: int = 0
    keys: int = 0


def find_non_idempotent(
    published: list[documents.Document],
) -> frozenset[str]:
    """Returns the names of the service classes that are not idempotent.

    Their requests need idempotency keys.
    """
    return frozenset(
        document.name
        for document in published
        if isinstance(document, documents.ServiceClass)
        and not document.idempotent
    )


async def run_load(load: Load, seconds: float) -> None:
    """Sends requests of every class for `seconds`, then awaits open ones."""
    async with anyio.create_task_group() as group:
        for name, request_load in load.deployment.requests.items():
            # The name in the seed gives each class a sequence of its own.
            seeded = random.Random(f"{name} {load.random.random()}")
            if request_load.callers:
                for _ in range(request_load.callers):
                    group.start_soon(
                        _run_caller, load, name, request_load, seeded, seconds
                    )
            else:
                group.start_soon(
                    _run_open_loop, load, name, request_load, seeded, seconds
                )


async def send_one(
    load: Load,
    service_class: str,
    request_load: launcher.RequestLoad,
    key: str = "",
    issued: float = 0.0,
) -> Record:
    """Sends one request and records its outcome."""
    load.count += 1
    record = Record(
        request_id=f"{load.prefix}{load.count}",
        service_class=service_class,
        key=key,
    )
    load.records.append(record)
    body = make_body(key or record.request_id, request_load.body_bytes)
    headers = {"Request-Id": record.request_id}
    if request_load.deadline_ms is not None:
        headers["Deadline-Ms"] = str(request_load.deadline_ms)
    if key:
        load.sent_ids.setdefault(key, set()).add(record.request_id)
        headers["Idempotency-Key"] = key
        headers["Plantainvane-Issued"] = f"{issued:.3f}"
    record.sent = time.monotonic()
    record.entry, reply = await balancer_module.send_request(
        load.balancer,
        "POST",
        f"/services/{service_class}",
        headers,
        body,
        load.timeout_s,
    )
    record.done = time.monotonic()
    run_class = load.deployment.runner_classes[service_class]
    own_ids = load.sent_ids.get(key, {record.request_id})
    _classify_reply(record, reply, body, own_ids, run_class.padding_bytes)
    return record


def make_body(key: str, size_bytes: int) -> bytes:
    """Makes a JSON body of `size_bytes`, or more if `key` does not fit.

    Equal arguments give equal bodies, so that a repeat has the same body.
    """
    fixed = msgspec.json.encode({"key": key, "text": ""})
    text = "x" * max(0, size_bytes - len(fixed))
    return msgspec.json.encode({"key": key, "text": text})


def summarize(load: Load) -> dict[str, Any]:
    """Counts outcomes and computes latencies, in total and by class."""
    classes = sorted({record.service_class for record in load.records})
    return {
        **_summarize_records(load.records),
        "classes": {
            name: _summarize_records(
                [r for r in load.records if r.service_class == name]
            )
            for name in classes
        },
    }


def find_quantile(values: list[float], share: float) -> float | None:
    """Returns the nearest-rank quantile of `values`, None when empty."""
    if not values:
        return None
    rank = math.ceil(share * len(values))
    return sorted(values)[max(rank, 1) - 1]


def _summarize_records(records: list[Record]) -> dict[str, Any]:
    outcomes = [record.outcome for record in records]
    latencies = [
        (record.done - record.sent) * 1000
        for record in records
        if record.outcome == "answered"
    ]
    quantiles = {
        name: find_quantile(latencies, share)
        for name, share in (("p50_ms", 0.5), ("p99_ms", 0.99))
    }
    return {
        "requests_sent": len(records),
        "answered": outcomes.count("answered"),
        "not_run": outcomes.count("not_run"),
        "unknown": outcomes.count("unknown"),
        "duplicate": outcomes.count("duplicate"),
        "wrong_or_partial": outcomes.count("wrong"),
        **{
            name: None if value is None else round(value, 1)
            for name, value in quantiles.items()
        },
    }


def _classify_reply(
    record: Record,
    reply: connection_module.Reply | connection_module.FailedExchange,
    body: bytes,
    own_ids: set[str],
    padding_bytes: int,
) -> None:
    if isinstance(reply, connection_module.FailedExchange):
        record.broken = reply.sent
        record.outcome = "unknown" if reply.sent else "not_run"
        record.detail = reply.detail
        return
    record.status = reply.status
    if reply.status == 200:
        fault = _check_content(record, reply, body, own_ids, padding_bytes)
        record.outcome = "wrong" if fault else "answered"
        record.detail = fault
        return
    outcomes = {429: "not_run", 503: "not_run", 504: "unknown"}
    outcomes |= {409: "duplicate"} if record.key else {}
    record.outcome = outcomes.get(reply.status, "wrong")
    record.detail = reply.body[:200].decode("utf-8", "replace")


def _check_content(
    record: Record,
    reply: connection_module.Reply,
    body: bytes,
    own_ids: set[str],
    padding_bytes: int,
) -> str:
    echoed = reply.headers.get("request-id")
    if echoed != record.request_id:
        return f"header Request-Id is {echoed!r}, not {record.request_id!r}"
    fault = answers.check_answer(
        record.service_class, None, body, reply.body, padding_bytes
    )
    if fault:
        return fault
    answered = msgspec.json.decode(reply.body)["request_id"]
    if answered not in own_ids:
        return f"answer to {answered!r}, not to {record.request_id!r}"
    return ""


async def _run_open_loop(
    load: Load,
    service_class: str,
    request_load: launcher.RequestLoad,
    seeded: random.Random,
    seconds: float,
) -> None:
    """Sends requests as a Poisson process, independent of earlier answers."""
    due = anyio.current_time()
    end = due + seconds
    async with anyio.create_task_group() as group:
        while True:
            due += seeded.expovariate(request_load.rate_per_s)
            if due >= end:
                return
            await anyio.sleep_until(due)
            start = functools.partial(group.start_soon, _call_once, load)
            start(service_class, request_load, seeded.random(), seeded.random())


async def _run_caller(
    load: Load,
    service_class: str,
    request_load: launcher.RequestLoad,
    seeded: random.Random,
    seconds: float,
) -> None:
    """Sends requests one after the other for `seconds` (closed loop)."""
    end = anyio.current_time() + seconds
    while anyio.current_time() < end:
        await _call_once(
            load, service_class, request_load, seeded.random(), seeded.random()
        )


async def _call_once(
    load: Load,
    service_class: str,
    request_load: launcher.RequestLoad,
    repeat: float,
    overlap: float,
) -> None:
    """Sends a request; repeats some of those with an idempotency key.

    Args:
      load: State of the load run.
      service_class: Class of the request.
      request_load: Size and deadline of the request.
      repeat: Random number in [0, 1); below `REPEAT_SHARE` the request is
        sent twice.
      overlap: Random number in [0, 1); below `OVERLAP_SHARE` both are sent
        concurrently, else it sets the pause between them.
    """
    if service_class not in load.non_idempotent:
        await send_one(load, service_class, request_load)
        return
    load.keys += 1
    key, issued = f"{load.prefix}-key{load.keys}", time.time()
    send = functools.partial(
        send_one, load, service_class, request_load, key, issued
    )
    if repeat >= REPEAT_SHARE:
        await send()
    elif overlap < OVERLAP_SHARE:
        async with anyio.create_task_group() as group:
            group.start_soon(send)
            group.start_soon(send)
    else:
        await send()
        spread = (overlap - OVERLAP_SHARE) / (1 - OVERLAP_SHARE)
        await anyio.sleep(REPEAT_PAUSE_S * spread)
        await send()


async def _run(
    deployment_path: pathlib.Path, entries: str, seconds: float, seed: int
) -> None:
    deployment = launcher.load_deployment(deployment_path)
    balancer = balancer_module.Balancer(entries.split(","))
    published = launcher.read_documents(deployment, deployment_path.parent)
    load = Load(
        deployment,
        balancer,
        random.Random(seed),
        find_non_idempotent(published),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(balancer_module.run_checks, balancer)
        with anyio.fail_after(launcher.READY_TIMEOUT_S):
            while not balancer.healthy:
                await anyio.sleep(0.05)
        await run_load(load, seconds)
        group.cancel_scope.cancel()
    await balancer_module.close_connections(balancer)
    print(msgspec.json.encode(summarize(load)).decode())


def main(
    deployment: Annotated[pathlib.Path, typer.Option(help="JSON file.")],
    entries: Annotated[str, typer.Option(help="ip:port,ip:port of callers.")],
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Sends the deployment's requests and checks every answer."""
    anyio.run(_run, deployment, entries, seconds, seed)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
