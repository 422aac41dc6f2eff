"""Signals at any moment of the life of a process."""

import contextlib
import os
import signal
import subprocess
import sys
import types

import anyio
import httpx
import pytest

from plantainvane import drains
from plantainvane import entry as entry_module
from plantainvane import events
from plantainvane import signals
from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
# The drain of a process lasts 2.6 s; requests that are then under way have
# half of the grace period to end.
GRACE_S = 6.0
# Times after SIGTERM of further signals, and of requests.
SIGNALS_AFTER_S = (0.0, 0.4, 1.1, 1.9, 2.5, 2.8)
REQUESTS_AFTER_S = (0.3, 0.9, 1.6, 2.2)
# A submission that the log does not answer is under way from here on, until
# after the last signal.
SUBMISSION_AFTER_S = 2.2
SUBMISSION_DEADLINE_MS = 2000

SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "east"
Seeds = []
[Listen]
Frontend = "{ip}:{port}"
Readiness = "{ip}:{health_port}"
ControlPlane = "{ip}:{peer_port}"
[Bounds]
GracePeriodS = {grace_s}
[platform]
Address = "{store}"
"""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def receiver():
    """Installs the handlers, and restores those of the test process."""
    before = {number: signal.getsignal(number) for number in signals.HANDLED}
    yield signals.install()
    for number, handler in before.items():
        signal.signal(number, handler)


async def test_signals_that_come_before_the_loop_are_received(receiver):
    # Guards against a process that is ended by a signal while it starts, or
    # that never drains after it.
    for number in signals.HANDLED:
        os.kill(os.getpid(), number)
    received = [await receiver.receive() for _ in signals.HANDLED]
    assert received == list(signals.HANDLED)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("before, after", [(0, 1000), (1000, 0), (500, 500)])
async def test_signal_that_ends_a_process_is_read_beside_many_others(
    number, before, after, receiver
):
    # Guards against a process that never drains, and is killed with requests
    # that it has read: many signals came before its loop read the first.
    for other in [signal.SIGHUP] * before + [number] + [signal.SIGHUP] * after:
        os.kill(os.getpid(), other)
    received = []
    with anyio.fail_after(5):
        while number not in received:
            received.append(await receiver.receive())


async def test_signal_ends_the_wait_for_one(receiver):
    # Guards against a drain that begins only when something else wakes the
    # event loop.
    received = []

    async def wait():
        for _ in range(2):
            received.append(await receiver.receive())

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGHUP)
            while not received:
                await anyio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
    assert received == [signal.SIGHUP, signal.SIGTERM]


async def test_earlier_service_drains_once_and_not_by_sighup(
    receiver, monkeypatch
):
    # Guards against an entry process of the earlier service that SIGHUP ends,
    # or that a second signal drains again.
    drained = []

    async def drain(entry):
        drained.append(entry)
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setattr(entry_module, "drain_entry", drain)
    entry = types.SimpleNamespace(settings=types.SimpleNamespace(id="entry-1"))
    for number in (signal.SIGHUP, signal.SIGINT):
        os.kill(os.getpid(), number)
    await entry_module._drain_on_signal(entry, receiver)
    assert drained == [entry]


# Sends itself each signal before each import but those that the handlers need.
SIGNALLED_START = """
import os, runpy, sys
module, numbers, *sys.argv[1:] = sys.argv[1:]
numbers = [int(number) for number in numbers.split(",")]
known = {module, f"{module}.__main__", "plantainvane", "plantainvane.signals"}

class Sender:
    sent = 0

    def find_spec(self, name, path=None, target=None):
        if name not in known and name.partition(".")[0] in (
            "anyio", "asyncio", "plantainvane"
        ):
            Sender.sent += 1
            for number in numbers:
                os.kill(os.getpid(), number)

sys.meta_path.insert(0, Sender())
try:
    runpy.run_module(module, run_name="__main__", alter_sys=True)
finally:
    print(f"imports {Sender.sent}", file=sys.stderr)
"""
DAEMONS = {
    "plantainvane": ("entry", "--settings", "missing.json"),
    "plantainvane.platform": (),
}


@pytest.mark.parametrize("module", DAEMONS)
@pytest.mark.parametrize("number", signals.HANDLED)
async def test_no_signal_ends_a_daemon_while_it_starts(
    module, number, tmp_path
):
    # Guards against a process that is ended by the news of a changed settings
    # file, or that does not drain, as the signal comes during its imports.
    with anyio.fail_after(30):
        process = await anyio.run_process(
            [sys.executable, "-c", SIGNALLED_START, module, f"{number:d}"]
            + [*DAEMONS[module]],
            check=False,
            env=os.environ
            | {"PLANTAINVANE_NODE_FILE": str(tmp_path / "missing.toml")},
        )
    # The settings are missing, which ends it once all is imported.
    assert process.returncode == 2
    assert b"missing" in process.stderr
    sent = process.stderr.rpartition(b"imports ")[2]
    assert int(sent) > len(signals.HANDLED)


async def test_every_signal_of_a_drain_is_logged_and_begins_no_other(
    receiver, monkeypatch
):
    # Guards against a daemon whose signals are handled in another way, or not
    # at all, once it drains.
    logged, drained, ended = [], [], anyio.Event()

    async def drain():
        drained.append(1)
        await ended.wait()

    def log(event, **fields):
        logged.append((event.number, fields.get("signal", "")))

    monkeypatch.setattr(events, "log_event", log)
    series = [signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGHUP] * 3
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(drains.follow_signals, receiver, "entry-1", drain)
            for number in series:
                before = len(logged) + len(drained)
                os.kill(os.getpid(), number)
                while len(logged) + len(drained) == before:
                    await anyio.sleep(0.001)
            ended.set()
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGTERM)
            while len(logged) < len(series):
                await anyio.sleep(0.001)
            group.cancel_scope.cancel()
    assert drained == [1]
    begun = [(844, ""), (889, "SIGTERM"), (844, "")]
    later = [(844, ""), (889, "SIGINT"), (889, "SIGTERM"), (844, "")]
    assert logged == [*begun, *later, *later, (889, "SIGTERM")]


@contextlib.asynccontextmanager
async def run_process(system, folder, number):
    """Runs an entry process of its own; yields it and its callers' address."""
    # The port of the metrics is fixed, and other runs may be under way.
    run = os.getpid()
    ip = f"127.{64 + run // 250 % 64}.{run % 250 + 1}.{number}"
    name = f"entry-{number}"
    path = folder / f"{name}.toml"
    path.write_text(
        SETTINGS.format(
            name=name,
            ip=ip,
            port=8161,
            health_port=8167,
            peer_port=8166,
            grace_s=GRACE_S,
            store=system.store_address,
        )
    )
    with (folder / f"{name}.log").open("wb") as output:
        process = await anyio.open_process(
            [sys.executable, "-m", "plantainvane.platform"],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env=os.environ | {"PLANTAINVANE_NODE_FILE": str(path)},
        )
    try:
        await platform_system.wait_listening(f"{ip}:8161")
        yield process, f"http://{ip}:8161"
    finally:
        if process.returncode is None:
            process.kill()
            with anyio.CancelScope(shield=True):
                await process.wait()


async def ask(client, address):
    return await client.get(
        f"{address}{platform_system.PREFIX}{ID}",
        headers={"Host": platform_system.HOST, "Deadline-Ms": "3000"},
    )


async def wait_answer(client, address, status):
    with anyio.fail_after(10):
        while (await ask(client, address)).status_code != status:
            await anyio.sleep(0.05)


@pytest.mark.parametrize("number", signals.HANDLED)
async def test_no_signal_cuts_requests_of_a_process_that_drains(
    number, tmp_path
):
    # Guards against requests without an answer at a process that a second
    # signal ends while it drains.
    statuses, ends = [], []

    async def request(client, address, after_s):
        await anyio.sleep(after_s)
        statuses.append((await ask(client, address)).status_code)

    async def submit(client, address, store):
        await anyio.sleep(SUBMISSION_AFTER_S)
        store.append_delay_s = 60.0
        reply = await client.post(
            f"{address}{platform_system.PREFIX}{ID}",
            headers={
                "Host": platform_system.HOST,
                "Deadline-Ms": str(SUBMISSION_DEADLINE_MS),
            },
            json=platform_system.make_job(),
        )
        assert reply.status_code in (503, 504)
        ends.append("submission")

    async def send(process):
        for earlier, at in zip(
            (0.0, *SIGNALS_AFTER_S), SIGNALS_AFTER_S, strict=False
        ):
            await anyio.sleep(at - earlier)
            process.send_signal(number)
        ends.append("signals")

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        system = await enter(platform_system.run_system(entries=0, runners=1))
        owner, address = await enter(run_process(system, tmp_path, 1))
        clients = [
            await enter(httpx.AsyncClient(trust_env=False, timeout=10))
            for _ in (*REQUESTS_AFTER_S, SUBMISSION_AFTER_S)
        ]
        await wait_answer(clients[0], address, 410)
        _, other = await enter(run_process(system, tmp_path, 2))
        await wait_answer(clients[0], other, 410)
        # Opens the connections on which the requests follow.
        for client in clients:
            await ask(client, address)
        await anyio.sleep(1.0)
        owner.send_signal(signal.SIGTERM)
        async with anyio.create_task_group() as group:
            group.start_soon(send, owner)
            group.start_soon(submit, clients.pop(), address, system.store)
            for client, after_s in zip(clients, REQUESTS_AFTER_S, strict=True):
                group.start_soon(request, client, address, after_s)
        with anyio.fail_after(GRACE_S):
            assert await owner.wait() == 0
        # The successor answers what the process has handed over.
        assert statuses == [410] * len(REQUESTS_AFTER_S)
        # The last signal came while a request was under way.
        assert ends == ["signals", "submission"]
