"""Messages between entry processes that are malformed or of another release."""

import anyio
import grpclib.const
import grpclib.server
import h2.config
import h2.connection
import h2.events
import msgspec
import pytest

from plantainvane import outcomes
from plantainvane import rpc_servers
from plantainvane import settings as product_settings
from plantainvane.jobs import peers
from standins import serving

pytestmark = pytest.mark.anyio
PING = peers.Ping("127.0.0.1:9", 1, 1, True)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    "address",
    ["", "x", "a:b", "..:80", "10.0.0.9:99999", "10.0.0.9:" + "9" * 5000],
    ids=lambda address: address[:20],
)
async def test_a_peer_without_an_address_is_unreached(address):
    # Guards against a claim or a ping whose address raises an exception in
    # every process that reads it.
    reply = await peers.PeerClient().call(address, PING, 0.5)
    assert reply.err_value.failure is outcomes.CallFailure.UNREACHED


class RawCodec(peers._Codec):
    """Sends bytes as they are."""

    def encode(self, message, message_type):
        return message


class RawService:
    """Answers each ping with the same bytes."""

    def __init__(self, content):
        self.content = content

    async def answer(self, stream):
        await stream.recv_message()
        await stream.send_message(self.content)

    def __mapping__(self):
        return {
            "/plantainvane.Jobs/Ping": grpclib.const.Handler(
                self.answer,
                grpclib.const.Cardinality.UNARY_UNARY,
                peers.Ping,
                bytes,
            )
        }


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([]),
        msgspec.msgpack.encode([1, "x", None, {}]),
        msgspec.msgpack.encode([True, 1, 1, "x"]),
        b"\x91" * 100_000,
        b"\x95\xc3\x01\x01\x01" + b"\x91" * 100_000 + b"\xc0",
    ],
    ids=["empty", "reserved", "short", "types", "text", "deep", "deep_field"],
)
async def test_a_malformed_reply_of_a_peer_is_a_failed_call(content):
    # Guards against a peer of another release whose reply ends each process
    # that pings it.
    address = serving.find_free_address()
    server = grpclib.server.Server([RawService(content)], codec=RawCodec())
    await server.start(*product_settings.split_address(address))
    client = peers.PeerClient()
    with anyio.fail_after(5):
        reply = await client.call(address, PING, 2.0)
    client.close()
    server.close()
    assert reply.err_value.failure is outcomes.CallFailure.LOST


class CallerConnection:
    """Connection of a caller that decides when its frames arrive.

    It is the transport of the server's protocol, so that no socket divides or
    joins the frames.
    """

    def __init__(self, protocol):
        self.protocol = protocol
        self.state = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        self.received = []
        self.closed = False
        self.state.initiate_connection()
        protocol.connection_made(self)

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    def write(self, data):
        self.received += self.state.receive_data(data)

    def ping(self):
        """Sends a call and returns its stream."""
        stream = self.state.get_next_available_stream_id()
        headers = {
            ":method": "POST",
            ":scheme": "http",
            ":authority": "server",
            ":path": "/plantainvane.Jobs/Ping",
            "te": "trailers",
            "content-type": "application/grpc+msgpack",
        }
        self.state.send_headers(stream, list(headers.items()))
        content = msgspec.msgpack.encode(PING)
        content = b"\0" + len(content).to_bytes(4, "big") + content
        self.state.send_data(stream, content, end_stream=True)
        self.flush()
        return stream

    def reset(self, stream):
        self.state.reset_stream(stream)
        self.flush()

    def flush(self):
        self.protocol.data_received(self.state.data_to_send())

    def is_answered(self, stream):
        return any(
            isinstance(event, h2.events.StreamEnded)
            and event.stream_id == stream
            for event in self.received
        )


async def test_reset_of_a_forgotten_call_keeps_the_connection():
    # Guards against a connection between two processes that is closed, with a
    # KeyError of grpclib, when a peer gives up on a call whose task ended
    # before it began and is forgotten.
    server = rpc_servers.Server([RawService(b"")], codec=RawCodec())
    protocol = server._protocol_factory()
    caller = CallerConnection(protocol)
    given_up = caller.ping()
    protocol.handler.close()
    # As many calls as grpclib takes between two looks for ended tasks.
    for _ in range(grpclib.server.Handler.__gc_interval__):
        await anyio.wait_all_tasks_blocked()
        caller.ping()
    await anyio.wait_all_tasks_blocked()
    caller.reset(given_up)
    last = caller.ping()
    await anyio.wait_all_tasks_blocked()
    assert not caller.is_answered(given_up)
    assert caller.is_answered(last)
    assert not caller.closed


async def test_reset_of_a_call_cancels_its_handler():
    # Guards against handlers that go on for a peer that has given up.
    ended = []

    class SlowService(RawService):
        async def answer(self, stream):
            try:
                await anyio.sleep_forever()
            finally:
                ended.append(stream)

    server = rpc_servers.Server([SlowService(b"")], codec=RawCodec())
    caller = CallerConnection(server._protocol_factory())
    stream = caller.ping()
    await anyio.wait_all_tasks_blocked()
    assert not ended
    caller.reset(stream)
    await anyio.wait_all_tasks_blocked()
    assert len(ended) == 1
