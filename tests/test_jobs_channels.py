"""Channels between entry processes that several calls share."""

import contextlib
import itertools

import anyio
import grpclib.client
import grpclib.const
import grpclib.server
import pytest

from plantainvane import settings as product_settings
from plantainvane.jobs import peers
from standins import serving

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_ping(epoch):
    return peers.Ping("127.0.0.1:9", epoch, 1, True)


def make_pong(epoch):
    return peers.Pong(False, epoch, 1, 0.0)


class Service:
    """Answers pings, each with the epoch that it names.

    Attributes:
      held: Epochs whose pings are never answered.
    """

    def __init__(self):
        self.held = set()

    async def answer(self, stream):
        ping = await stream.recv_message()
        if ping.epoch in self.held:
            await anyio.sleep_forever()
        await stream.send_message(make_pong(ping.epoch))

    def __mapping__(self):
        return {
            "/plantainvane.Jobs/Ping": grpclib.const.Handler(
                self.answer,
                grpclib.const.Cardinality.UNARY_UNARY,
                peers.Ping,
                peers.Pong,
            )
        }


@contextlib.asynccontextmanager
async def serve():
    """Serves pings; yields the service and its address."""
    address, service = serving.find_free_address(), Service()
    server = grpclib.server.Server([service], codec=peers._Codec())
    await server.start(*product_settings.split_address(address))
    try:
        yield service, address
    finally:
        server.close()


@pytest.mark.parametrize("is_connected", [False, True])
async def test_call_that_fails_ends_no_other_call_on_its_channel(
    monkeypatch, is_connected
):
    # Guards against a process that ends with an AttributeError of grpclib, as
    # the failure of one call closes the channel on which another has just
    # connected and not sent its request yet.
    connect = grpclib.client.Channel.__connect__
    paused, goes_on = anyio.Event(), anyio.Event()
    count = itertools.count()

    async def connect_with_pause(channel):
        protocol = await connect(channel)
        if next(count) == pauses_at:
            paused.set()
            await goes_on.wait()
        return protocol

    pauses_at = 2 if is_connected else 1
    monkeypatch.setattr(
        grpclib.client.Channel, "__connect__", connect_with_pause
    )
    replies = []
    client = peers.PeerClient()
    with anyio.fail_after(10):
        async with serve() as (service, address):
            service.held.add(7)
            if is_connected:
                assert (await client.call(address, make_ping(1), 5.0)).is_ok()

            async def call_later():
                replies.append(await client.call(address, make_ping(8), 5.0))

            async with anyio.create_task_group() as group:
                first = anyio.Event()

                async def call_first():
                    first.set()
                    failed = await client.call(address, make_ping(7), 0.3)
                    assert failed.is_err()
                    goes_on.set()

                group.start_soon(call_first)
                await first.wait()
                await anyio.sleep(0.05)
                group.start_soon(call_later)
            assert paused.is_set()
            # Later calls do not use the channel of the call that failed.
            assert (await client.call(address, make_ping(9), 5.0)).is_ok()
            client.close()
    assert [reply.ok().epoch for reply in replies] == [8]
