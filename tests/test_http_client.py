"""Tests of plantainvane.http_client: failures, retries and reuse."""

import asyncio
import contextlib
import socket
import threading
import time

import anyio
import httpx
import pytest

from plantainvane import http_client

pytestmark = pytest.mark.anyio
HEAD = b"HTTP/1.1 200 OK\r\n"
REPLY = HEAD + b"Content-Length: 2\r\n\r\nok"
# An exchange may use the selector to wait for the reply and once more to go on;
# opening the connection may use it a few times.
SELECTOR_CALLS = 2
OPENING_SELECTOR_CALLS = 20


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


@pytest.mark.parametrize("host", ["[fe80::1%a..b]", "a" * 80])
async def test_a_host_that_is_no_name_is_not_reached(host):
    # Guards against an exception that no caller handles, for a host that the
    # resolver cannot encode.
    client = http_client.Client(f"{host}:80", 0.3)
    with pytest.raises(httpx.ConnectError):
        await client.post("/x")


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
        client.max_connections = 1
        async with anyio.create_task_group() as group:

            async def call():
                with pytest.raises(httpx.ReadTimeout):
                    await client.post("/x", timeout=0.9)

            group.start_soon(call)
            await anyio.wait_all_tasks_blocked()
            with pytest.raises(httpx.PoolTimeout):
                await client.post("/x")


@pytest.mark.parametrize(
    "reply",
    [
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        HEAD + b"X: " + b"x" * 100_000,
        HEAD + b"Content-Length: x\r\n\r\nok",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
    ],
)
async def test_an_unusable_reply_is_an_error(reply):
    # Guards against a part of a reply, or a malformed one, taken for a whole.
    async with run_server([reply], [REPLY]) as (client, _):
        with pytest.raises(httpx.RemoteProtocolError):
            await client.post("/x")
        assert (await client.post("/x")).content == b"ok"


@pytest.mark.parametrize(
    ("reply", "status", "content"),
    [
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            200,
            b"ok",
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + REPLY, 200, b"ok"),
        (b"HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx", 409, b"x"),
    ],
)
async def test_replies_are_read_to_their_end_and_no_further(
    reply, status, content
):
    # Guards against a wait for a body that never comes, and against a
    # connection that is given up after a whole reply.
    async with run_server([reply, REPLY]) as (client, seen):
        first = await client.post("/x")
        assert (first.status_code, first.content) == (status, content)
        assert (await client.post("/x")).content == b"ok"
        assert len(seen) == 2


@pytest.mark.parametrize(
    "reply",
    [
        HEAD + b"\r\nok",
        HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
        REPLY + REPLY.replace(b"ok", b"no"),
        REPLY + b"H",
        REPLY + b"\x00\x00",
    ],
)
async def test_a_connection_without_a_clean_end_is_not_used_again(reply):
    # Guards against the rest of one reply taken for the next reply.
    async with run_server([reply], [REPLY]) as (client, seen):
        for _ in range(2):
            assert (await client.post("/x")).content == b"ok"
        assert len(seen) == 2


async def test_a_reply_that_arrived_in_time_is_honoured_by_a_late_process():
    # Guards against a call that counts as lost because this process was busy.
    with run_threaded_server(2) as (address, server):
        async with http_client.Client(address, 0.1) as client:
            assert (await client.post("/x")).content == b"ok"
            reply = asyncio.ensure_future(client.post("/x"))
            await asyncio.sleep(0)
            server.join()
            time.sleep(0.2)
            assert (await reply).content == b"ok"


async def test_an_exchange_takes_few_system_calls(monkeypatch):
    # Guards against system calls and wake-ups that each call is charged for.
    calls = 50
    selector, counted = asyncio.get_running_loop()._selector, []
    for name in ("select", "modify", "register", "unregister"):
        function = getattr(selector, name)

        def count(*args, function=function):
            counted.append(function)
            return function(*args)

        monkeypatch.setattr(selector, name, count)
    with run_threaded_server(calls) as (address, _):
        async with http_client.Client(address, 5.0) as client:
            for _ in range(calls):
                await client.post("/x")
    assert len(counted) <= SELECTOR_CALLS * calls + OPENING_SELECTOR_CALLS


@contextlib.contextmanager
def run_threaded_server(count):
    """Answers `count` requests on one connection in a thread of its own."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=serve_stream, args=(listener, count))
        server.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}", server
        server.join()


def serve_stream(listener, count):
    stream, _ = listener.accept()
    with stream:
        for _ in range(count):
            stream.recv(65536)
            stream.sendall(REPLY)


async def test_a_turn_is_passed_on_when_its_waiter_is_cancelled():
    # Guards against a client that takes no more calls after a cancellation.
    async with run_server([None], [REPLY]) as (client, _):
        client.max_connections = 1
        async with anyio.create_task_group() as group:
            group.start_soon(client.post, "/x")
            await anyio.wait_all_tasks_blocked()
            group.start_soon(client.post, "/y")
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        assert (await client.post("/x")).content == b"ok"


async def test_a_path_cannot_add_a_header():
    # Guards against a request that is split in two by its path.
    async with run_server([REPLY]) as (client, seen):
        with pytest.raises(httpx.LocalProtocolError):
            await client.post("/x HTTP/1.1\r\nA: b")
        assert seen == []


async def test_a_waiter_that_is_refused_and_cancelled_frees_no_turn():
    # Guards against more connections than the limit after a call that is
    # cancelled in the moment in which its wait for a connection times out.
    async with run_server([None], [None]) as (client, _):
        client.max_connections = 1
        async with anyio.create_task_group() as group:
            group.start_soon(client.post, "/x")
            await anyio.wait_all_tasks_blocked()
            waiter = asyncio.ensure_future(client.post("/y"))
            await anyio.wait_all_tasks_blocked()
            http_client._refuse_turn(client._waiting[0])
            waiter.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiter
            assert client._calls == 1
            group.cancel_scope.cancel()
        assert client._calls == 0


STALLS = {
    "nothing": b"",
    "a part of the head": HEAD + b"Content-Le",
    "no body": HEAD + b"Content-Length: 2\r\n\r\n",
    "a part of the body": HEAD + b"Content-Length: 2\r\n\r\no",
    "a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
    "a body without an end": HEAD + b"\r\no",
    "an interim reply": b"HTTP/1.1 100 Continue\r\n\r\n",
}


@pytest.mark.parametrize("sent", STALLS.values(), ids=STALLS)
@pytest.mark.parametrize("method", ["get", "post"])
async def test_a_call_to_a_server_that_stalls_ends_in_its_time_out(
    sent, method
):
    # Guards against a session that hangs in a call, and neither renews leases
    # nor finds its runner silent.
    async with run_server([sent, None], [sent, None]) as (client, _):
        started = time.monotonic()
        with anyio.fail_after(5.0), pytest.raises(httpx.ReadTimeout):
            await getattr(client, method)("/x", timeout=0.3)
        assert time.monotonic() - started >= 0.25
        assert not client._calls


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\no\r\n"),
        (HEAD + b"\r\n", b"o"),
    ],
)
async def test_a_reply_that_trickles_without_an_end_is_given_up(head, part):
    # Guards against a time-out that begins anew with each byte.
    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send(head or part)
            while True:
                await stream.send(part)
                await anyio.sleep(0.05)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:

        async def serve_until_broken(stream):
            with contextlib.suppress(anyio.BrokenResourceError):
                await serve(stream)

        group.start_soon(listener.serve, serve_until_broken)
        client = http_client.Client(f"127.0.0.1:{port}", 0.3)
        with anyio.fail_after(5.0), pytest.raises(httpx.ReadTimeout):
            await client.post("/x")
        group.cancel_scope.cancel()


async def test_a_connection_that_is_never_opened_is_given_up():
    # Guards against a call that waits for a peer whose packets are lost.
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    address = full.getsockname()
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    client = http_client.Client(f"{address[0]}:{address[1]}", 0.3)
    with anyio.fail_after(5.0), pytest.raises(httpx.ConnectTimeout):
        await client.post("/x")
    assert not client._calls
    for stream in (full, *fillers):
        stream.close()


async def test_a_time_out_closes_the_connections_that_were_idle_meanwhile():
    # Guards against one time-out after another, when all open connections to a
    # server have gone silent without a reset.
    async with run_server(*[[REPLY, None]] * 3, [REPLY]) as (client, seen):
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(client.post, "/x")
        with pytest.raises(httpx.ReadTimeout):
            await client.post("/x")
        assert (await client.post("/x")).content == b"ok"
    assert len(seen) == 5


async def test_a_time_out_keeps_a_connection_that_has_replied_meanwhile():
    # Guards against new connections to a server of which one call is slow.
    async with run_server([None], [REPLY, REPLY]) as (client, seen):
        async with anyio.create_task_group() as group:
            group.start_soon(_time_out, client)
            await anyio.sleep(0.1)
            await client.post("/x")
        await client.post("/x")
    assert len(seen) == 3


async def _time_out(client):
    with pytest.raises(httpx.ReadTimeout):
        await client.post("/x")
