"""Channels between entry processes that several calls share."""

import asyncio
import collections
import contextlib
import itertools
import random
import socket
import struct

import anyio
import grpclib.client
import grpclib.const
import grpclib.server
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import msgspec
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


MODES = ("close", "reset", "half_close")
CALL_STEPS = ("headers", "body", "reply_headers", "reply_body", "end")
STEPS = ("connected", "settings", "preface", *CALL_STEPS)


class FaultyPeer:
    """A peer that ends each connection at some step of a call, in some way.

    Attributes:
      answered: Number of messages sent, by the epoch that the ping names.
    """

    def __init__(self, choices):
        self.choices = choices
        self.answered = collections.Counter()

    async def serve(self, reader, writer):
        step, mode = self.choices.choice(STEPS), self.choices.choice(MODES)
        # Calls on this connection that are answered before.
        spared = self.choices.randrange(4) if step in CALL_STEPS else 0
        state = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False)
        )

        def is_over(reached):
            return reached == step and not spared

        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            if step == "connected" and not spared:
                return self.end(writer, mode)
            state.initiate_connection()
            writer.write(state.data_to_send())
            if is_over("settings"):
                return self.end(writer, mode)
            bodies = {}
            while data := await reader.read(65_536):
                if is_over("preface"):
                    return self.end(writer, mode)
                for event in state.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        bodies[event.stream_id] = b""
                        if is_over("headers"):
                            return self.end(writer, mode)
                    elif isinstance(event, h2.events.DataReceived):
                        bodies[event.stream_id] += event.data
                        if is_over("body"):
                            return self.end(writer, mode)
                    elif isinstance(event, h2.events.StreamEnded):
                        body = bodies.pop(event.stream_id)
                        for reached in self.answer(state, event, body):
                            writer.write(state.data_to_send())
                            if is_over(reached):
                                return self.end(writer, mode)
                        spared = max(0, spared - 1)
                writer.write(state.data_to_send())
        return self.end(writer, "close")

    def answer(self, state, event, body):
        """Sends the parts of a reply; yields the name of each one sent."""
        ping = msgspec.msgpack.decode(body[5:], type=peers.Ping)
        content = msgspec.msgpack.encode(make_pong(ping.epoch))
        head = {":status": "200", "content-type": "application/grpc+msgpack"}
        state.send_headers(event.stream_id, list(head.items()))
        yield "reply_headers"
        frame = b"\0" + len(content).to_bytes(4, "big") + content
        state.send_data(event.stream_id, frame)
        self.answered[ping.epoch] += 1
        yield "reply_body"
        state.send_headers(
            event.stream_id, [("grpc-status", "0")], end_stream=True
        )
        yield "end"

    def end(self, writer, mode):
        if writer.is_closing():
            return
        if mode == "half_close":
            writer.write_eof()
            # A peer that has sent its last byte closes some time later.
            asyncio.get_running_loop().call_later(0.02, writer.close)
            return
        if mode == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()


CALLS = 10_000
CALLS_AT_ONCE = 8


async def test_connections_that_end_at_any_step_end_no_call_but_their_own():
    # Guards against a process that ends as a library raises an error that it
    # does not name, and against a call that is answered twice or by the reply
    # to another call.
    choices = random.Random(45)
    peer = FaultyPeer(choices)
    address = serving.find_free_address()
    host, port = product_settings.split_address(address)
    server = await asyncio.start_server(peer.serve, host, port)
    client = peers.PeerClient()
    epochs = iter(range(CALLS))
    outcome = collections.Counter()

    async def make_calls():
        for epoch in epochs:
            # Some calls end while others on their channel connect.
            limit_s = choices.choice((choices.uniform(0.0, 0.01), 0.5))
            reply = await client.call(address, make_ping(epoch), limit_s)
            if reply.is_ok():
                assert reply.ok_value.epoch == epoch
                assert peer.answered[epoch] == 1
            outcome[reply.is_ok()] += 1

    async with anyio.create_task_group() as group:
        for _ in range(CALLS_AT_ONCE):
            group.start_soon(make_calls)
    client.close()
    server.close()
    assert outcome.total() == CALLS
    assert min(outcome[True], outcome[False]) > CALLS / 10
    assert max(peer.answered.values()) == 1
