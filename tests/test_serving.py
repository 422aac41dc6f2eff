"""Servers of stand-ins that end while connections are open."""

import asyncio
import contextlib

import anyio
import pytest

from plantainvane import asgi
from standins import platform_system
from standins import serving

LIMIT_S = 5.0
REQUEST = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"


def stop_server(group, stop):
    stop.set()


def cancel_server(group, stop):
    group.cancel_scope.cancel()


async def end_with_open_connections(end):
    """Ends a server by `end` while a request is in flight."""
    address, stop = serving.find_free_address(), anyio.Event()
    arrived = anyio.Event()

    async def handle(request):
        arrived.set()
        await anyio.sleep_forever()

    application = asgi.make_application(handle, serving.BODY_LIMIT_BYTES)
    host, _, port = address.rpartition(":")
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(serving.serve_until, application, address, stop)
            await platform_system.wait_listening(address)
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(REQUEST)
                await arrived.wait()
                end(group, stop)
                with contextlib.suppress(anyio.EndOfStream):
                    await stream.receive()


@pytest.mark.parametrize("end", [stop_server, cancel_server])
def test_open_connections_are_no_errors_as_their_server_ends(end, caplog):
    # Guards against tracebacks of cancelled connections, which hide the result
    # that stands before or after them.
    anyio.run(end_with_open_connections, end)
    assert [record.getMessage() for record in caplog.records] == []


def test_errors_of_callbacks_are_reported_beside_a_server(caplog):
    # Guards against silence about errors that are no cancellations.
    async def fail():
        loop = asyncio.get_running_loop()
        await end_with_open_connections(stop_server)
        loop.call_soon(int, "x")
        await anyio.sleep(0.01)

    anyio.run(fail)
    (record,) = caplog.records
    assert record.exc_info[0] is ValueError
