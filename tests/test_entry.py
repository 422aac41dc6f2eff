"""Tests of whole entry processes: restarts, configuration, idempotency keys.

Real processes run against the stand-ins of platform, workers and runners. The
audit files of the runners show which requests were run.
"""

import collections
import itertools
import json
import pathlib
import random
import signal
import time

import anyio
import httpx
import msgspec
import pytest

from plantainvane import documents
from plantainvane import settings as settings_module
from plantainvane import signals
from standins import audit as audit_module
from standins import balancer as balancer_module
from standins import launcher
from standins import load as load_module
from standins import runner as runner_module

pytestmark = pytest.mark.anyio
EXAMPLES = launcher.ROOT / "examples"
PROPAGATION_LIMIT_S = 5.0
DEPLOYMENT = launcher.Deployment(
    name="entry-test",
    domains=("near", "far"),
    entry_per_domain=2,
    workers=2,
    worker_size=documents.Size(16, 60_000_000_000),
    documents=(
        "demo/cluster-limits.json",
        "tsetseg/forecast.json",
        "tsetseg/pharmacy-warning.json",
    ),
    runner_classes={
        "forecast": runner_module.RunClass(run_ms=150),
        "pharmacy-warning": runner_module.RunClass(run_ms=40),
    },
    list_lag_s=0.2,
)
FORECAST = launcher.RequestLoad()


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def cluster(tmp_path_factory):
    directory = tmp_path_factory.mktemp("entry")
    cluster = launcher.plan_cluster(DEPLOYMENT, directory)
    async with launcher.run_cluster(cluster):
        entry = cluster.list_role("entry")[0]
        for document in launcher.read_documents(DEPLOYMENT, EXAMPLES):
            await publish(entry, document, 0)
        yield cluster


async def publish(entry, document, base):
    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        reply = await client.post(
            f"http://{entry.addresses['operators']}/documents",
            content=msgspec.json.encode(
                {"document": document, "base_revision": base, "author": "test"}
            ),
        )
    assert reply.status_code == 200, reply.text
    return reply.json()["version"]


async def fetch_version(entry):
    try:
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            url = f"http://{entry.addresses['operators']}/documents"
            return (await client.get(url)).json()["version"]
    except httpx.HTTPError:
        return -1


async def measure_propagation(entries, version, limit_s=30.0):
    """Returns the seconds until each process has `version`, by process id.

    Fails the test if the version of a process decreases meanwhile.
    """
    began, delays = time.monotonic(), {}

    async def watch(entry):
        highest = -1
        while highest < version:
            seen = await fetch_version(entry)
            assert seen == -1 or seen >= highest, "the version fell"
            highest = max(highest, seen)
            await anyio.sleep(0.02)
        delays[entry.id] = round(time.monotonic() - began, 3)

    with anyio.fail_after(limit_s):
        async with anyio.create_task_group() as group:
            for entry in entries:
                group.start_soon(watch, entry)
    slowest = max(delays, key=delays.get)
    print(f"version {version}: slowest {slowest} after {delays[slowest]} s")
    return delays


async def change_faults(process, **fields):
    async with httpx.AsyncClient(trust_env=False, timeout=5.0) as client:
        url = f"http://{process.addresses['http']}/faults"
        (await client.post(url, json=fields)).raise_for_status()


def read_events(cluster, id, number):
    path = cluster.directory / f"{id}.events"
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    tag = f"plantainvane:{number}:"
    return [line for line in lines if line["message_type"].startswith(tag)]


def read_runs(cluster):
    return {
        runner.id: audit_module.read_runs(pathlib.Path(runner.audit_file))
        for runner in cluster.list_role("runner")
    }


def count_runs(cluster, key):
    runs = read_runs(cluster).values()
    return sum(entry.key == key for entries in runs for entry in entries)


class Callers:
    """Callers that send requests through the balancer until `stopping`."""

    def __init__(self, cluster, keys="restart"):
        self.keys = keys
        entries = cluster.list_role("entry")
        self.balancer = balancer_module.Balancer(
            [entry.addresses["callers"] for entry in entries]
        )
        self.load = load_module.Load(
            DEPLOYMENT,
            self.balancer,
            random.Random(1),
            frozenset({"pharmacy-warning"}),
        )
        self.stopping = False
        self.scope = anyio.CancelScope()

    async def run(self):
        async with anyio.create_task_group() as checks:
            checks.start_soon(balancer_module.run_checks, self.balancer)
            while len(self.balancer.healthy) < 4:
                await anyio.sleep(0.02)
            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(self.call, "forecast")
                group.start_soon(self.call, "pharmacy-warning")
            checks.cancel_scope.cancel()
        await balancer_module.close_connections(self.balancer)

    async def call(self, name):
        number = 0
        while not self.stopping:
            number += 1
            key = f"{self.keys}-{number}" if name == "pharmacy-warning" else ""
            await load_module.send_one(
                self.load, name, FORECAST, key, time.time()
            )


async def test_rolling_restart_loses_no_request(cluster):
    # Guards against a shutdown that aborts requests in flight, or that lets
    # claims of shards lapse instead of releasing them.
    callers = Callers(cluster)
    statuses = {}
    async with anyio.create_task_group() as group:
        group.start_soon(callers.run)
        while len(callers.load.records) < 20:
            await anyio.sleep(0.02)
        for entry in cluster.list_role("entry"):
            statuses[entry.id] = await launcher.end_process(cluster, entry.id)
            await launcher.start_process(cluster, entry.id)
            await launcher.wait_process_ready(entry)
        callers.stopping = True
    records = callers.load.records
    outcomes = collections.Counter(record.outcome for record in records)
    print(f"rolling restart: {dict(outcomes)}")
    assert set(statuses.values()) == {0}
    assert [r for r in records if r.outcome != "answered"] == []
    violations = audit_module.make_violations()
    audit_module.check_requests(violations, records, read_runs(cluster))
    assert not any(violations.values())
    check_handovers(cluster, list(statuses))


async def test_no_series_of_signals_cuts_a_request(cluster):
    # Guards against requests without an answer at a process that SIGHUP, or a
    # second signal to end, reaches before or while it drains.
    callers = Callers(cluster, keys="series")
    target = cluster.list_role("entry")[0]
    process = cluster.running[target.id]
    sent = []

    async def send_series():
        series = itertools.cycle(signals.HANDLED)
        for number in itertools.chain([signal.SIGHUP, signal.SIGINT], series):
            if process.returncode is not None:
                return
            process.send_signal(number)
            sent.append(number)
            await anyio.sleep(0.02)

    async with anyio.create_task_group() as group:
        group.start_soon(callers.run)
        while len(callers.load.records) < 20:
            await anyio.sleep(0.02)
        group.start_soon(send_series)
        with anyio.fail_after(launcher.END_TIMEOUT_S):
            status = await process.wait()
        await launcher.start_process(cluster, target.id)
        await launcher.wait_process_ready(target)
        callers.stopping = True
    outcomes = collections.Counter(r.outcome for r in callers.load.records)
    print(f"series of {len(sent)} signals: {dict(outcomes)}")
    assert status == 0
    assert set(outcomes) == {"answered"}
    # Signals are merged by the kernel while one of the kind is pending, and
    # none is logged after the last component has ended.
    assert read_events(cluster, target.id, 889)
    assert len(read_events(cluster, target.id, 844)) > 1


def check_handovers(cluster, ids):
    """Checks that shards changed owner by releases and that no claim lapsed."""
    drains = [read_events(cluster, id, 706) for id in ids]
    assert all(drain[0]["finished"] for drain in drains)
    assert [read_events(cluster, id, 403) for id in ids] == [[]] * len(ids)
    released = [event for id in ids for event in read_events(cluster, id, 404)]
    won = [event for id in ids for event in read_events(cluster, id, 401)]
    assert max(event["epoch"] for event in won) > 1
    assert max(e["epoch"] for e in won) <= 1 + len(released)


async def test_configuration_is_in_force_everywhere_in_time(cluster):
    entries = cluster.list_role("entry")
    document = launcher.read_documents(DEPLOYMENT, EXAMPLES)[1]
    changed = msgspec.structs.replace(document, deadline_ms=2500)
    version = await publish(entries[0], changed, 1)
    delays = await measure_propagation(entries, version)
    assert max(delays.values()) < PROPAGATION_LIMIT_S


async def test_a_process_started_without_the_log_asks_its_peers(cluster):
    # Guards against a process that serves nothing, or uses an empty
    # configuration, because it was started during a log outage.
    entries = cluster.list_role("entry")
    entry = entries[-1]
    await launcher.end_process(cluster, entry.id)
    log = cluster.processes["log"]
    await change_faults(log, down=True)
    try:
        await launcher.start_process(cluster, entry.id)
        await launcher.wait_process_ready(entry)
        assert await fetch_version(entry) == await fetch_version(entries[0])
        assert read_events(cluster, entry.id, 710)
    finally:
        await change_faults(log, down=False)


async def test_a_domain_that_returns_takes_the_newer_configuration(cluster):
    # Guards against an outdated version that stays active or returns after a
    # partition. The returning domain still cannot read the log.
    entries = cluster.list_role("entry")
    near = [entry for entry in entries if entry.domain == "near"]
    far = [entry for entry in entries if entry.domain == "far"]
    log = cluster.processes["log"]
    old = await fetch_version(near[0])
    for entry in far:
        launcher.pause_process(cluster, entry.id)
    await change_faults(log, blocked_sources=[entry.id for entry in far])
    try:
        document = launcher.read_documents(DEPLOYMENT, EXAMPLES)[1]
        changed = msgspec.structs.replace(document, deadline_ms=3000)
        version = await publish(near[0], changed, 2)
        assert version == old + 1
        for entry in far:
            launcher.resume_process(cluster, entry.id)
        delays = await measure_propagation(entries, version)
        assert max(delays.values()) < PROPAGATION_LIMIT_S
    finally:
        for entry in far:
            launcher.resume_process(cluster, entry.id)
        await change_faults(log, blocked_sources=[])


async def send_keyed(entry, key, issued):
    """Sends a request with an idempotency key; returns status and seconds."""
    began = time.monotonic()
    headers = {"Idempotency-Key": key, "Plantainvane-Issued": f"{issued:.3f}"}
    async with httpx.AsyncClient(trust_env=False, timeout=20.0) as client:
        try:
            reply = await client.post(
                f"http://{entry.addresses['callers']}"
                "/services/pharmacy-warning",
                headers=headers,
                content=load_module.make_body(key, 100),
            )
        except httpx.HTTPError:
            return 0, time.monotonic() - began
    return reply.status_code, time.monotonic() - began


async def test_a_key_runs_at_most_once_while_the_log_fails(cluster):
    # Guards against running a request without a confirmed claim, and against
    # running it a second time when it is repeated.
    first, second = cluster.list_role("entry")[:2]
    log, now = cluster.processes["log"], time.time()
    for name, fault, seconds in (
        ("down", {"down": True}, 2.5),
        ("slow", {"slow": 1.5}, 6.0),
        ("lost", {"lose_replies": True}, 6.0),
    ):
        await change_faults(log, **fault)
        try:
            status, took = await send_keyed(first, f"log-{name}", now)
            # Not run, or its claim was confirmed despite the fault.
            assert status in (503, 200)
            assert took < seconds
        finally:
            await change_faults(log, down=False, slow=0.0, lose_replies=False)
        runs = count_runs(cluster, f"log-{name}")
        assert runs == (status == 200)
        with anyio.fail_after(20.0):
            while (await send_keyed(second, f"log-{name}", now))[0] != 200:
                await anyio.sleep(0.05)
        assert count_runs(cluster, f"log-{name}") == 1


async def test_a_key_whose_holder_died_is_not_run_again(cluster):
    first, second = cluster.list_role("entry")[:2]
    now, key = time.time(), "holder-died"
    runners = cluster.list_role("runner")
    for runner in runners:
        await change_faults(runner, slow_factor=25.0)
    async with anyio.create_task_group() as group:
        group.start_soon(send_keyed, first, key, now)
        with anyio.fail_after(10.0):
            while not count_runs(cluster, key):
                await anyio.sleep(0.02)
        await launcher.kill_process(cluster, first.id)
    for runner in runners:
        await change_faults(runner, slow_factor=1.0)
    await launcher.start_process(cluster, first.id)
    await launcher.wait_process_ready(first)
    for entry in (second, first):
        assert (await send_keyed(entry, key, now))[0] == 409
    assert count_runs(cluster, key) == 1


def test_defaults_leave_room_for_the_drain():
    # The platform kills a process that does not exit; the balancer must notice
    # the shutdown within `notice_s`.
    drain = settings_module.Drain()
    assert drain.notice_s > 2 * balancer_module.CHECK_INTERVAL_S
