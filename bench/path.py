"""Measures the cost of the path through an entry process.

Compares requests sent directly to a runner with requests through an entry
process. There are three processes: this one sends, one is a runner (hypercorn,
a small POST) and one is an entry process (hypercorn and the dispatcher with all
its decisions). The ratios of rates and latencies are valid only with three free
cores; the processor time per request of the serving process is valid on a busy
machine too.
"""

from collections.abc import Iterator
import contextlib
import socket
import statistics
import subprocess
import sys
import time
from typing import Any

import anyio
import msgspec
import psutil

from bench import fakes
from plantainvane import asgi
from plantainvane import callers
from plantainvane import dispatcher as dispatcher_module
from plantainvane import settings as settings_module
from plantainvane import targets

REQUESTS = 2000
WARM_UP = 200
# Rounds alternate between the two paths so that other load on the machine does
# not affect only one of them. The figures are medians over the rounds.
ROUNDS = 3
REQUEST_BODY = b'{"ring": "solitaire", "stone": 0.7, "metal": "platinum"}'
ANSWER_BODY = b'{"preview": "' + b"x" * 200 + b'"}'


def run_measurements() -> dict[str, Any]:
    """Measures both paths at 1 and 16 connections.

    Returns rates per second, latencies and processor time per request in
    milliseconds, and their ratios, by number of connections.
    """
    with _start_processes() as servers:
        return anyio.run(_measure_all, servers)


async def _measure_all(
    servers: dict[str, tuple[str, psutil.Process]],
) -> dict[str, Any]:
    paths = {"direct": b"/run/preview", "entry": b"/services/preview"}
    figures: dict[str, Any] = {}
    for connection_count in (1, 16):
        rounds: dict[str, list[dict[str, float]]] = {"direct": [], "entry": []}
        for _ in range(ROUNDS):
            for name, path in paths.items():
                rounds[name].append(
                    await _measure_path(*servers[name], path, connection_count)
                )
        figures[f"connections_{connection_count}"] = _summarize(rounds)
    return figures


def _summarize(
    rounds: dict[str, list[dict[str, float]]],
) -> dict[str, Any]:
    medians = {
        name: {
            key: round(statistics.median(r[key] for r in samples), 3)
            for key in samples[0]
        }
        for name, samples in rounds.items()
    }
    direct, entry = medians["direct"], medians["entry"]
    return {
        **medians,
        "rate_ratio": round(entry["per_s"] / direct["per_s"], 3),
        "p99_ratio": round(entry["p99_ms"] / direct["p99_ms"], 3),
        "cpu_ratio": round(direct["cpu_ms"] / entry["cpu_ms"], 3),
    }


async def _measure_path(
    address: str, server: psutil.Process, path: bytes, connection_count: int
) -> dict[str, float]:
    settings = fakes.make_settings()
    opened = []
    for _ in range(connection_count):
        connection = await targets.open_connection(settings, address)
        opened.append(connection.unwrap())
    await _send_all(opened, path, WARM_UP)
    cpu_s = sum(server.cpu_times()[:2])
    began = time.perf_counter()
    times = await _send_all(opened, path, REQUESTS)
    elapsed = time.perf_counter() - began
    cpu_s = sum(server.cpu_times()[:2]) - cpu_s
    for connection in opened:
        await targets.close_connection(connection)
    return {
        "per_s": len(times) / elapsed,
        "p50_ms": fakes.find_quantile(times, 0.5) * 1000,
        "p99_ms": fakes.find_quantile(times, 0.99) * 1000,
        "cpu_ms": cpu_s / len(times) * 1000,
    }


async def _send_all(
    opened: list[targets.Connection], path: bytes, count: int
) -> list[float]:
    times: list[float] = []
    numbers = iter(range(count))

    async def send(connection: targets.Connection) -> None:
        for number in numbers:
            began = time.perf_counter()
            reply = await targets.exchange(
                connection,
                path,
                f"p{id(times)}-{number}",
                REQUEST_BODY,
                10.0,
                65536,
            )
            if reply.kind is not targets.ReplyKind.ANSWERED:
                raise RuntimeError(
                    f"the server did not answer the request: {reply.reason}"
                )
            times.append(time.perf_counter() - began)

    async with anyio.create_task_group() as group:
        for connection in opened:
            group.start_soon(send, connection)
    return times


@contextlib.contextmanager
def _start_processes() -> Iterator[dict[str, tuple[str, psutil.Process]]]:
    direct, entry = _find_free_address(), _find_free_address()
    processes = [
        subprocess.Popen([sys.executable, "-m", "bench.path", *arguments])
        for arguments in (["target", direct], ["entry", entry, direct])
    ]
    try:
        for address in (direct, entry):
            _wait_ready(address)
        yield {
            name: (address, psutil.Process(process.pid))
            for name, address, process in zip(
                ("direct", "entry"), (direct, entry), processes, strict=True
            )
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(10)


def _find_free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _wait_ready(address: str) -> None:
    deadline = time.monotonic() + 15.0
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if _get_health_status(address) == 200:
                return
        time.sleep(0.05)
    raise RuntimeError(f"{address} did not answer /health with 200 within 15 s")


def _get_health_status(address: str) -> int:
    host, port = settings_module.split_address(address)
    with socket.create_connection((host, port), timeout=1.0) as stream:
        stream.sendall(b"GET /health HTTP/1.1\r\nHost: bench\r\n\r\n")
        return int(stream.recv(4096).split(b" ")[1])


async def _serve_target(address: str) -> None:
    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        request_id = request.headers.get("request-id", "").encode()
        return asgi.HttpReply(
            200, ANSWER_BODY, headers=((b"request-id", request_id),)
        )

    application = asgi.make_application(handle, 65536)
    await asgi.serve_application(application, [address], anyio.sleep_forever, 1)


async def _serve_entry(address: str, target: str) -> None:
    settings = fakes.make_settings()
    dispatcher = dispatcher_module.Dispatcher(
        settings,
        fakes.Configuration(fakes.make_service_class("preview")),
        fakes.Membership(),
        None,
        None,
    )
    runner = fakes.make_runner("t0", target, ("preview",))
    dispatcher.update_targets([runner], time.monotonic())
    handler = callers.make_handler(
        settings,
        dispatcher.handle_request,
        None,
        lambda: dispatcher.fleet.open_slots == 8,
    )
    application = asgi.make_application(
        handler, settings.requests.body_limit_bytes
    )
    async with anyio.create_task_group() as group:
        group.start_soon(dispatcher.run)
        await asgi.serve_application(
            application, [address], anyio.sleep_forever, 1
        )


def _run_process(arguments: list[str]) -> None:
    if arguments[0] == "target":
        anyio.run(_serve_target, arguments[1])
    else:
        anyio.run(_serve_entry, arguments[1], arguments[2])


if __name__ == "__main__":
    if len(sys.argv) > 1:
        _run_process(sys.argv[1:])
    else:
        print(msgspec.json.encode(run_measurements()).decode())
