"""Paths of a soak that are held up, go silent or are reset."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import pytest

from standins import platform_system
from standins import serving
from standins import soak_links

pytestmark = pytest.mark.anyio
SHORT_S = 0.2
LIMIT_S = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_link(received=None):
    """Runs a link to a server that returns what it receives.

    What it receives is added to the list `received`.
    """
    received = [] if received is None else received
    link = soak_links.Link(*serving.find_free_addresses("127.0.0.1", 2))
    port = int(link.target.rpartition(":")[2])
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )

    async def echo(stream):
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    data = await stream.receive()
                    received.append(data)
                    await stream.send(data)

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, echo)
        group.start_soon(soak_links.serve_link, link)
        await platform_system.wait_listening(link.address)
        yield link
        group.cancel_scope.cancel()


async def connect(link):
    host, _, port = link.address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def exchange(stream):
    with anyio.fail_after(LIMIT_S):
        await stream.send(b"x")
        return await stream.receive()


async def is_silent(stream):
    with anyio.move_on_after(SHORT_S):
        await stream.receive()
        return False
    return True


def read_socket(stream):
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)


def reset_by_caller(stream):
    linger = struct.pack("ii", 1, 0)
    read_socket(stream).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream._transport.abort()


async def wait_closed(link):
    """Waits until the link has closed one of its sockets."""
    with anyio.fail_after(LIMIT_S):
        while not any(
            read_socket(stream).fileno() == -1
            for connection in link.connections
            for stream in connection.streams
        ):
            await anyio.sleep(0.01)


async def test_held_bytes_arrive_once_the_path_carries_again():
    # Guards against a held path that loses bytes, which no network does.
    async with run_link() as link, await connect(link) as stream:
        assert await exchange(stream) == b"x"
        link.hold()
        await stream.send(b"held")
        assert await is_silent(stream)
        link.release()
        with anyio.fail_after(LIMIT_S):
            assert await stream.receive() == b"held"


async def test_requests_are_noted_as_they_come_to_a_held_path():
    # Guards against an order that is taken for one given when it arrives.
    noted = []
    async with run_link() as link:
        link.on_request = noted.append
        link.hold()
        async with await connect(link) as stream:
            await stream.send(b"order")
            with anyio.fail_after(LIMIT_S):
                while not noted:
                    await anyio.sleep(0.01)
            link.release()
            with anyio.fail_after(LIMIT_S):
                assert await stream.receive() == b"order"
    # Answers are no requests.
    assert noted == [b"order"]


async def test_path_is_held_one_way():
    # Guards against a cut of one way that is one of both, or of none.
    for way in (soak_links.TO_TARGET, soak_links.FROM_TARGET):
        received = []
        async with run_link(received) as link, await connect(link) as stream:
            assert await exchange(stream) == b"x"
            link.hold([way])
            await stream.send(b"held")
            assert await is_silent(stream)
            assert (b"held" in received) == (way == soak_links.FROM_TARGET)
            link.release()
            with anyio.fail_after(LIMIT_S):
                assert await stream.receive() == b"held"


async def test_only_present_connections_go_silent():
    # Guards against a fault that is milder, or wider, than its name.
    async with (
        run_link() as link,
        await connect(link) as stream,
    ):
        await exchange(stream)
        link.silence()
        await stream.send(b"x")
        assert await is_silent(stream)
        async with await connect(link) as later:
            assert await exchange(later) == b"x"


async def test_present_connections_are_reset_at_both_ends():
    # Guards against connections that end as planned where they should break.
    async with run_link() as link, await connect(link) as stream:
        await exchange(stream)
        link.reset()
        with (
            pytest.raises(anyio.BrokenResourceError),
            anyio.fail_after(LIMIT_S),
        ):
            await stream.receive()
        async with await connect(link) as later:
            assert await exchange(later) == b"x"


async def test_reset_of_a_connection_that_is_gone_is_counted():
    # Guards against a soak that ends by a fault which meets a connection whose
    # socket has closed while its path was held up.
    async with run_link() as link, await connect(link) as stream:
        await exchange(stream)
        link.hold()
        reset_by_caller(stream)
        await wait_closed(link)
        link.reset()
        assert link.gone == 1
        link.release()
        async with await connect(link) as later:
            assert await exchange(later) == b"x"
            link.reset()
            assert link.gone == 1


async def test_refused_connections_carry_nothing():
    # Guards against a runner that is reached after it has crashed.
    async with run_link() as link:
        link.refuses = True
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            async with await connect(link) as stream:
                await exchange(stream)
