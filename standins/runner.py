"""Simulated runner: the target process on a worker that serves requests.

Implements the HTTP API that entry processes call (docs/design.md section 8),
and in addition:
  GET  /audit          200 Audit, a record of the requests that ran
  POST /leave          {"grace_s": float} -> 200; refuses requests once the
                       grace period is over
  GET  /faults, POST /faults  see standins.gate
"""

import collections
import dataclasses
import pathlib
import random
import time
from typing import Any

import anyio
import httpx
import msgspec

from plantainvane import asgi
from plantainvane import workers
from standins import answers
from standins import gate as gate_module
from standins import serving


class RunClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Simulated cost of requests of one service class.

    Attributes:
      run_ms: Mean run time without interference.
      spread: Run times are uniform in `run_ms` * (1 +- `spread`).
      rounds: Number of times the request's body is hashed.
      padding_bytes: Size of the padding in each answer.
    """

    run_ms: float = 20.0
    spread: float = 0.2
    rounds: int = 10
    padding_bytes: int = 256


class RunnerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one runner.

    Attributes:
      worker: `ip:port` of the worker that hosts the runner; empty for none.
      interference: By service class and batch class, the fraction by which run
        times grow for each processor that the batch class uses on the worker.
      audit_file: Each audit entry is appended here as a JSON line, so that it
        survives a kill of the process; empty to write none.
    """

    id: str
    listen: str
    classes: dict[str, RunClass]
    worker: str = ""
    slots: int = 8
    connections: int = 64
    interference: dict[str, dict[str, float]] = {}
    pressure_poll_s: float = 0.5
    leave_grace_s: float = 2.0
    audit_file: str = ""
    seed: int = 0


class RunEntry(msgspec.Struct):
    """One request that started; times are of the host's monotonic clock."""

    request_id: str
    key: str
    service_class: str
    began: float
    ended: float | None = None


class Audit(msgspec.Struct):
    """The runner's own record of the requests that it ran and refused.

    Attributes:
      most_at_once: Peak number of concurrent requests.
      leaving_at: Time from which requests are refused after `POST /leave`;
        None if the runner was not told to leave.
      last_refused_leaving: When a request was last refused for that reason.
    """

    runner: str
    began: int
    ended: int
    refused: int
    most_at_once: int
    runs: list[RunEntry]
    leaving_at: float | None
    last_refused_leaving: float | None


@dataclasses.dataclass(slots=True)
class Runner:
    """State of one runner.

    Attributes:
      running: Number of running requests.
      pressure: Processors in use on the worker, by batch class.
      latencies: By service class, run times in seconds of the requests that
        ended since the last report to the worker.
      leaving_at: Time from which requests are refused; None until
        `POST /leave`.
    """

    settings: RunnerSettings
    gate: gate_module.Gate
    random: random.Random
    runs: list[RunEntry] = dataclasses.field(default_factory=list)
    running: int = 0
    most_at_once: int = 0
    ended: int = 0
    refused: int = 0
    pressure: dict[str, float] = dataclasses.field(default_factory=dict)
    latencies: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    leaving_at: float | None = None
    last_refused_leaving: float | None = None


async def serve_runner(settings: RunnerSettings, stop: anyio.Event) -> None:
    """Serves a runner until `stop` is set."""
    runner = Runner(
        settings,
        gate_module.Gate(seed=settings.seed),
        random.Random(settings.seed),
    )
    application = gate_module.wrap_application(
        runner.gate,
        asgi.make_application(
            lambda request: _handle_request(runner, request),
            serving.BODY_LIMIT_BYTES,
        ),
    )
    async with anyio.create_task_group() as group:
        if settings.worker:
            group.start_soon(_exchange_pressure, runner)
        await serving.serve_until(application, settings.listen, stop)
        group.cancel_scope.cancel()


def compute_factor(
    settings: RunnerSettings, service_class: str, pressure: dict[str, float]
) -> float:
    """Computes the factor by which batch work slows requests down.

    Args:
      settings: Settings with the interference coefficients.
      service_class: Service class of the request.
      pressure: Processors in use on the worker, by batch class.

    Returns:
      Factor on the run time, at least 1 for coefficients of 0 or more.
    """
    rule = settings.interference.get(service_class, {})
    return 1.0 + sum(
        rule.get(batch_class, 0.0) * processors
        for batch_class, processors in pressure.items()
    )


async def _handle_request(
    runner: Runner, request: asgi.HttpRequest
) -> asgi.HttpReply:
    reply = await _make_reply(runner, request)
    if runner.leaving_at is not None:
        reply.headers = (*reply.headers, (b"leaving", b"1"))
    return reply


async def _make_reply(
    runner: Runner, request: asgi.HttpRequest
) -> asgi.HttpReply:
    if request.path == "/health":
        return asgi.make_json_reply(200, {"id": runner.settings.id})
    if request.path == "/audit":
        return asgi.make_json_reply(200, _make_audit(runner))
    if request.path == "/leave" and request.method == "POST":
        return _handle_leave(runner, request)
    prefix, _, service_class = request.path.rpartition("/")
    if prefix != "/run" or request.method != "POST":
        return asgi.make_json_reply(404, {"reason": "no such path"})
    return await _handle_run(runner, service_class, request)


def _handle_leave(runner: Runner, request: asgi.HttpRequest) -> asgi.HttpReply:
    fields = msgspec.json.decode(request.body or b"{}")
    grace_s = fields.get("grace_s", runner.settings.leave_grace_s)
    if runner.leaving_at is None:
        runner.leaving_at = time.monotonic() + grace_s
    return asgi.make_json_reply(200, {"id": runner.settings.id})


async def _handle_run(
    runner: Runner, service_class: str, request: asgi.HttpRequest
) -> asgi.HttpReply:
    run_class = runner.settings.classes.get(service_class)
    now = time.monotonic()
    reason = _find_refusal(runner, run_class, now)
    if reason:
        runner.refused += 1
        if reason == "leaving":
            runner.last_refused_leaving = now
        return asgi.make_json_reply(
            503, {"reason": reason}, ((b"not-run", b"1"),)
        )
    request_id = request.headers.get("request-id", "")
    entry = _begin_run(runner, service_class, request_id, request)
    try:
        await anyio.sleep(_draw_run_time(runner, service_class, run_class))
        body = answers.make_answer(
            service_class,
            request_id,
            request.body,
            run_class.rounds,
            runner.settings.id,
            run_class.padding_bytes,
        )
    finally:
        runner.running -= 1
    _end_run(runner, entry)
    header = (b"request-id", request_id.encode("latin-1"))
    return asgi.HttpReply(200, body, headers=(header,))


def _find_refusal(
    runner: Runner, run_class: RunClass | None, now: float
) -> str:
    if runner.gate.current.refuse:
        return "fault"
    if run_class is None:
        return "class"
    if runner.leaving_at is not None and now >= runner.leaving_at:
        return "leaving"
    if runner.running >= runner.settings.slots:
        return "slots"
    limit = runner.settings.connections
    # Closed connections stay in the set until count_connections removes them.
    # The exact count is slow, so it is made only if the set is over the limit.
    if (
        len(runner.gate.connections) > limit
        and gate_module.count_connections(runner.gate) > limit
    ):
        return "connections"
    return ""


def _draw_run_time(
    runner: Runner, service_class: str, run_class: RunClass
) -> float:
    spread = 1 + run_class.spread * runner.random.uniform(-1, 1)
    factor = compute_factor(runner.settings, service_class, runner.pressure)
    slow = runner.gate.current.slow_factor
    return run_class.run_ms / 1000 * spread * factor * slow


def _begin_run(
    runner: Runner,
    service_class: str,
    request_id: str,
    request: asgi.HttpRequest,
) -> RunEntry:
    runner.running += 1
    runner.most_at_once = max(runner.most_at_once, runner.running)
    key = request.headers.get("idempotency-key") or _find_key(request.body)
    entry = RunEntry(request_id, key, service_class, time.monotonic())
    runner.runs.append(entry)
    _write_audit(runner, entry)
    return entry


def _end_run(runner: Runner, entry: RunEntry) -> None:
    entry.ended = time.monotonic()
    runner.ended += 1
    runner.latencies[entry.service_class].append(entry.ended - entry.began)
    _write_audit(runner, entry)


def _find_key(body: bytes) -> str:
    """Returns the `key` that standins.load puts into the body, else ""."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return ""
    return str(value.get("key", "")) if isinstance(value, dict) else ""


def _make_audit(runner: Runner) -> Audit:
    return Audit(
        runner=runner.settings.id,
        began=len(runner.runs),
        ended=runner.ended,
        refused=runner.refused,
        most_at_once=runner.most_at_once,
        leaving_at=runner.leaving_at,
        last_refused_leaving=runner.last_refused_leaving,
        runs=runner.runs,
    )


def _write_audit(runner: Runner, entry: RunEntry) -> None:
    if runner.settings.audit_file:
        with pathlib.Path(runner.settings.audit_file).open("ab") as stream:
            stream.write(msgspec.json.encode(entry) + b"\n")


async def _exchange_pressure(runner: Runner) -> None:
    """Reports latencies to the worker and fetches its processor usage."""
    url = f"http://{runner.settings.worker}/pressure"
    async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
        while True:
            report = _drain_latencies(runner)
            try:
                reply = await client.post(url, json=report)
                if reply.status_code == 200:
                    runner.pressure = reply.json()["pressure"]
            except httpx.HTTPError:
                # A worker that is down runs no interfering attempts.
                runner.pressure = {}
            await anyio.sleep(runner.settings.pressure_poll_s)


def _drain_latencies(runner: Runner) -> list[dict[str, Any]]:
    report = [
        msgspec.to_builtins(
            workers.ServiceUsage(
                service_class=name,
                p99_ms=sorted(values)[int(len(values) * 0.99)] * 1000,
                requests=len(values),
            )
        )
        for name, values in runner.latencies.items()
    ]
    runner.latencies.clear()
    return report


if __name__ == "__main__":
    serving.run_process(RunnerSettings, serve_runner)
