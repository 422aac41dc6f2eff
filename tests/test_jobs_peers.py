"""Messages between entry processes that are malformed or of another release."""

import anyio
import grpclib.const
import grpclib.server
import msgspec
import pytest

from plantainvane import outcomes
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
