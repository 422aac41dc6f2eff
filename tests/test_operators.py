"""Sessions of operators at the handlers of two entry processes."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import re
from typing import Any

import anyio
import httpx
import pytest
import result

from plantainvane import asgi
from plantainvane import configuration as configuration_module
from plantainvane import documents
from plantainvane import operators
from plantainvane import readers
from plantainvane import records
from plantainvane import writers
from tests import log_server

pytestmark = pytest.mark.anyio

LIMITS = {
    "kind": "cluster_limits",
    "name": "cluster",
    "largest_worker": {"processors": 16, "memory_bytes": 60_000_000_000},
}
QUOTA = {
    "kind": "quota",
    "name": "outlooks",
    "limit": {"processors": 20, "memory_bytes": 60_000_000_000},
}
WEEKLY = {
    "kind": "batch_class",
    "name": "weekly",
    "team": "outlooks",
    "priority": "bulk",
    "size": {"processors": 2, "memory_bytes": 1000},
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass
class Process:
    """One entry process as far as operators see it."""

    configuration: configuration_module.Configuration
    handle: asgi.Handler
    transport: log_server.ScriptedTransport
    session: list[str]

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Calls the process and notes the call and its reply."""
        client = httpx.AsyncClient(
            base_url=f"http://{self.configuration.settings.id}",
            transport=httpx.ASGITransport(
                asgi.make_application(self.handle, 65536)
            ),
        )
        content = body if isinstance(body, bytes) else json.dumps(body)
        reply = await client.request(
            method, path, content=content if body else None, headers=headers
        )
        self.session.append(
            f"{self.configuration.settings.id}: {method} {path}"
            + (f" {content}" if body and isinstance(body, dict) else "")
            + f"\n{reply.status_code} {json.dumps(reply.json(), indent=1)}"
        )
        return reply

    async def publish(self, document: Any, base: int, author: str) -> Any:
        return await self.call(
            "POST",
            "/documents",
            {"document": document, "base_revision": base, "author": author},
        )


@contextlib.asynccontextmanager
async def run_process(
    local: log_server.LocalLog, name: str, session: list[str]
) -> AsyncIterator[Process]:
    # The wall clock is fixed, so sessions hold no volatile field.
    local = log_server.share_log(local, id=name)
    configuration = configuration_module.Configuration(local.settings)
    writer = writers.Writer(
        local.settings,
        local.client,
        writers.Identity(name, 1),
        records.CONFIG_STREAM,
    )

    def list_versions() -> list[operators.ProcessVersion]:
        own = configuration.version
        return [operators.ProcessVersion(name, "east", own, True, 0.0)]

    handle = operators.make_handler(
        local.settings,
        configuration,
        writer.append,
        list_versions,
        lambda: {"configuration": configuration.dump_state(0.0)["version"]},
        lambda: 1_796_353_200.0,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        group.start_soon(
            readers.follow_stream,
            local.settings,
            local.client,
            readers.Position(records.CONFIG_STREAM),
            records.ConfigRecord,
            configuration.apply_records,
        )
        while not configuration.ready:
            await configuration.wait_change()
        yield Process(configuration, handle, local.transport, session)
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_two_processes() -> AsyncIterator[
    tuple[Process, Process, list[str]]
]:
    local = log_server.make_local_log()
    session: list[str] = []
    with anyio.fail_after(10):
        async with (
            run_process(local, "entry-a", session) as first,
            run_process(local, "entry-b", session) as second,
        ):
            yield first, second, session


async def test_two_operators_race_on_one_base(snapshot):
    """Guards against a lost update, and against a loser left in the dark."""
    async with run_two_processes() as (first, second, session):
        await first.publish(QUOTA, 0, "oyun")
        await second.configuration.wait_offset(0)
        both_sent = [anyio.Event(), anyio.Event()]
        first_done = anyio.Event()

        async def append_first(
            request: Any, forward: log_server.Forward
        ) -> Any:
            both_sent[0].set()
            await both_sent[1].wait()
            reply = await forward(request)
            first_done.set()
            return reply

        async def append_second(
            request: Any, forward: log_server.Forward
        ) -> Any:
            both_sent[1].set()
            await first_done.wait()
            return await forward(request)

        first.transport.script = [append_first]
        second.transport.script = [append_second]
        replies = {}

        async def publish(process: Process, cores: int, author: str) -> None:
            limit = {"processors": cores, "memory_bytes": 1000}
            replies[author] = await process.publish(
                QUOTA | {"limit": limit}, 1, author
            )

        async with anyio.create_task_group() as group:
            group.start_soon(publish, first, 30, "oyun")
            group.start_soon(publish, second, 40, "bat")
        # The order in which the two replies come is not fixed.
        session[1:] = sorted(session[1:])
        await second.publish(
            QUOTA | {"limit": {"processors": 40}}, 2, author="bat"
        )
        await first.configuration.wait_offset(3)
        await first.call("GET", "/documents")
        await first.call("GET", "/history?name=outlooks")
    statuses = {name: reply.status_code for name, reply in replies.items()}
    assert statuses == {"oyun": 200, "bat": 409}
    assert "\n".join(session) == snapshot


async def test_refusals_name_every_fault(snapshot):
    """Guards against operators who learn of faults one at a time."""
    async with run_two_processes() as (first, _, session):
        bad = WEEKLY | {"size": {"processors": "two"}, "colour": 1}
        await first.publish(bad, -1, "oyun")
        await first.call("POST", "/documents", b'{"document": 7, "n": NaN}')
        await first.call("POST", "/documents", {"base_revision": 0})
        await first.publish(WEEKLY, 0, "oyun")
        await first.publish(LIMITS, 0, "oyun")
        await first.publish(QUOTA, 0, "oyun")
        await first.publish(
            WEEKLY | {"size": {"processors": 24}}, 0, author="oyun"
        )
        await first.publish(WEEKLY, 0, "oyun")
        await first.publish(
            QUOTA | {"limit": {"processors": 1}}, 1, author="oyun"
        )
        target = {"kind": "quota", "name": "outlooks"}
        body = {"target": target, "base_revision": 1}
        await first.call("POST", "/documents", body)
        await first.call("PUT", "/documents")
        await first.call("GET", "/document")
        await first.call(
            "POST", "/documents", headers={"origin": "http://elsewhere"}
        )
        await first.call("GET", "/versions")
        await first.call("GET", "/dump")
        assert first.configuration.version == 3
    assert "\n".join(session) == snapshot


async def test_check_applies_changes_one_after_another(snapshot):
    """Guards against a list that is refused although its order is right."""
    async with run_two_processes() as (first, _, session):
        changes = [{"document": QUOTA}, {"document": WEEKLY}]
        for body in (
            {"changes": changes},
            {"changes": changes[::-1]},
            {"changes": [{"document": QUOTA, "base_revision": 4}]},
        ):
            await first.call("POST", "/documents/check", body)
        assert first.configuration.version == 0
    assert "\n".join(session) == snapshot


async def test_publishing_while_the_log_fails(snapshot):
    """Guards against a wrong answer about a change during an outage."""
    async with run_two_processes() as (first, second, session):
        await first.publish(QUOTA, 0, "oyun")

        async def respond_unavailable(
            request: Any, forward: log_server.Forward
        ) -> Any:
            return httpx.Response(503, request=request)

        first.transport.script = [respond_unavailable]
        await first.publish(LIMITS, 0, "oyun")
        first.transport.script = [log_server.lose_reply]
        await first.publish(LIMITS, 0, "oyun")
        await second.configuration.wait_offset(1)
        assert second.configuration.version == 2
    assert "\n".join(session) == snapshot


async def test_publishing_waits_until_the_change_is_applied():
    """Guards against wrong answers of a process that lags behind.

    It must neither call a revision seen elsewhere stale, nor answer for its
    own change before it knows whether that is valid.
    """
    local = log_server.make_local_log()
    configuration = configuration_module.Configuration(local.settings)
    configuration.apply_records([], now=0.0)
    quota = documents.Quota(name="outlooks", limit=documents.Size())
    change = operators.ChangeRequest(document=quota, base_revision=1)
    replies = []

    def apply_change(offset: int, base: int) -> None:
        record = records.ConfigChange(
            writer="entry-b",
            incarnation=1,
            sequence=offset + 1,
            base_revision=base,
            document=quota,
            target_kind="quota",
            target_name="outlooks",
        )
        configuration.apply_records([(offset, record)], now=0.0)

    async def append(*_: Any, **__: Any) -> Any:
        return result.Ok(1)

    async def publish() -> None:
        replies.append(
            await operators.publish_change(
                local.settings, configuration, append, change, 0.0
            )
        )

    async with anyio.create_task_group() as group:
        group.start_soon(publish)
        for offset in (0, 1):
            await anyio.wait_all_tasks_blocked()
            apply_change(offset, offset)
    assert replies[0].status == 200


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/documents", b""),
        ("GET", "/history", b""),
        (
            "POST",
            "/documents",
            b'{"base_revision": 1, "target": {"kind": "quota", "name": "a"}}',
        ),
        ("POST", "/documents/check", b'{"changes": []}'),
    ],
)
async def test_requests_are_refused_until_the_configuration_is_read(
    method, path, body
):
    """Guards against the empty state of a start taken for what is in force."""
    settings = log_server.make_settings("127.0.0.1:9")
    configuration = configuration_module.Configuration(settings)
    handle = operators.make_handler(settings, configuration, None, list, dict)
    request = asgi.HttpRequest(method, path, {}, {}, body)
    assert (await handle(request)).status == 503
    configuration.apply_records([], now=0.0)
    assert (await handle(request)).status != 503


async def test_console_loads_only_from_its_own_origin():
    """Guards against a page that needs or contacts other hosts."""
    async with run_two_processes() as (first, _, _):
        for path in ("/", "/console.js", "/console.css"):
            request = asgi.HttpRequest("GET", path, {}, {}, b"")
            reply = await first.handle(request)
            assert reply.status == 200
            assert not re.search(r"//\w", reply.body.decode())
            policy = dict(reply.headers)[b"content-security-policy"]
            assert policy.startswith(b"default-src 'self';")
