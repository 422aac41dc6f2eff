"""Tests of plantainvane.http_client: failures, retries and reuse."""

import contextlib

import anyio
import httpx
import pytest

from plantainvane import http_client

pytestmark = pytest.mark.anyio
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_server(*scripts):
    """Serves one script on each new connection.

    A script is a list of replies; None in it never replies.
    """
    seen, waiting = [], list(scripts)

    async def serve(stream):
        async with stream:
            for reply in waiting.pop(0) if waiting else []:
                try:
                    seen.append(await stream.receive())
                except anyio.EndOfStream:
                    return
                if reply is None:
                    await anyio.sleep_forever()
                await stream.send(reply)

    async with await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    ) as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            address = f"127.0.0.1:{port}"
            headers = {"Client-Id": "e1"}
            async with http_client.Client(address, 0.3, headers) as client:
                yield client, seen
            group.cancel_scope.cancel()


async def test_connections_are_kept_and_headers_sent():
    async with run_server([REPLY] * 3) as (client, seen):
        for _ in range(3):
            reply = await client.post("/x", json={"a": 1})
            assert (reply.status_code, reply.content) == (200, b"ok")
    assert len(seen) == 3
    assert b"Client-Id: e1" in seen[0] and seen[0].endswith(b'{"a":1}')


async def test_a_connection_closed_while_idle_is_replaced():
    # Guards against a failed call whenever a server closed an idle connection.
    async with run_server([REPLY], [REPLY]) as (client, _):
        for _ in range(2):
            await client.post("/x")
            await anyio.wait_all_tasks_blocked()
            await anyio.sleep(0.01)


async def test_a_refused_connection_sent_nothing():
    async with run_server() as (client, _):
        refusing = http_client.Client("127.0.0.1:1", 0.3)
        with pytest.raises(httpx.ConnectError):
            await refusing.post("/x")


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (None, httpx.ReadTimeout),
        (REPLY[:-1], httpx.RemoteProtocolError),
        (b"", httpx.RemoteProtocolError),
        (b"nonsense\r\n\r\n", httpx.RemoteProtocolError),
    ],
)
async def test_a_post_without_a_whole_reply_is_sent_once(reply, error):
    # Guards against sending an append twice, and against reusing a connection
    # with part of a reply in it.
    async with run_server([reply], [REPLY]) as (client, seen):
        with pytest.raises(error):
            await client.post("/x")
        assert len(seen) == 1
        assert (await client.post("/x")).content == b"ok"


async def test_too_many_calls_wait_for_a_connection():
    async with run_server([None]) as (client, _):
        client._limiter.total_tokens = 1
        async with anyio.create_task_group() as group:

            async def call():
                with pytest.raises(httpx.ReadTimeout):
                    await client.post("/x", timeout=0.9)

            group.start_soon(call)
            await anyio.wait_all_tasks_blocked()
            with pytest.raises(httpx.PoolTimeout):
                await client.post("/x")
