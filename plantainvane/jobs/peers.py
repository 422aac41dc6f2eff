"""Calls between entry processes (grpclib), with msgspec as the codec."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import msgspec
import result

from plantainvane import outcomes
from plantainvane import settings as product_settings

_SERVICE = "/plantainvane.Jobs/"


class Ping(msgspec.Struct, array_like=True):
    """Asks whether the receiver is the owner.

    Attributes:
      address: Peer address of the sender.
      epoch: Newest epoch that the sender knows.
      config_version: Configuration in force at the sender.
      may_own: The sender could take over.
    """

    address: str
    epoch: int
    config_version: int
    may_own: bool


class Pong(msgspec.Struct, array_like=True):
    """Answer to a ping.

    Attributes:
      is_owner: The receiver is the owner, perhaps still recovering.
      epoch: Newest epoch that it knows.
      config_version: Configuration in force there.
      silent_for_s: Time since the log last answered it.
    """

    is_owner: bool
    epoch: int
    config_version: int
    silent_for_s: float


class Ask(msgspec.Struct, array_like=True):
    """A caller's question to the owner: state, cancel or pending."""

    what: str
    subject: str


class AskReply(msgspec.Struct, array_like=True):
    """The owner's answer.

    Attributes:
      known: The job or queue exists.
      state: State of the job.
      count: Jobs that have not started.
      owner: False when the receiver cannot answer as the owner.
    """

    known: bool = False
    state: str = ""
    count: int = 0
    owner: bool = True


class Fetch(msgspec.Struct, array_like=True):
    """Asks for the configuration document in force."""


class FetchReply(msgspec.Struct, array_like=True):
    """The operator's document as it was read, or empty."""

    document: bytes = b""


class HandOver(msgspec.Struct, array_like=True):
    """The owner of `epoch` asks the receiver to claim at once."""

    epoch: int


class HandOverReply(msgspec.Struct, array_like=True):
    """Epoch that the receiver owns now, or -1."""

    epoch: int = -1


class _Codec(grpclib.encoding.base.CodecBase):
    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return msgspec.msgpack.decode(data, type=message_type)


_METHODS = {
    Ping: Pong,
    Ask: AskReply,
    Fetch: FetchReply,
    HandOver: HandOverReply,
}
Handler = Callable[[Any], Awaitable[Any]]


@dataclasses.dataclass(slots=True)
class Handlers:
    """One function for each kind of message."""

    ping: Callable[[Ping], Awaitable[Pong]]
    ask: Callable[[Ask], Awaitable[AskReply]]
    fetch: Callable[[Fetch], Awaitable[FetchReply]]
    hand_over: Callable[[HandOver], Awaitable[HandOverReply]]


class _Service:
    """What grpclib asks of a service: its methods by path."""

    def __init__(self, answers: dict[type, Handler]):
        self._answers = answers

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            _SERVICE + kind.__name__: grpclib.const.Handler(
                _make_method(answer),
                grpclib.const.Cardinality.UNARY_UNARY,
                kind,
                _METHODS[kind],
            )
            for kind, answer in self._answers.items()
        }


def _make_method(answer: Handler) -> Callable[[Any], Awaitable[None]]:
    async def method(stream: Any) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await answer(message))

    return method


async def serve_peers(address: str, handlers: Handlers) -> None:
    """Serves peers at `address` until cancelled."""
    service = _Service(
        {
            Ping: handlers.ping,
            Ask: handlers.ask,
            Fetch: handlers.fetch,
            HandOver: handlers.hand_over,
        }
    )
    server = grpclib.server.Server([service], codec=_Codec())
    host, port = product_settings.split_address(address)
    await server.start(host, port)
    try:
        await anyio.sleep_forever()
    finally:
        server.close()


# The cancellation of grpclib came where it does not turn it into an error.
_CANCELLED = outcomes.CallError(outcomes.CallFailure.LOST, "cancelled")


async def _call_method(
    method: grpclib.client.UnaryUnaryMethod,
    message: Any,
    timeout_s: float,
    replies: list[result.Result[Any, outcomes.CallError]],
) -> None:
    """Appends the reply, or what went wrong, to `replies`."""
    try:
        with anyio.fail_after(timeout_s):
            replies.append(result.Ok(await method(message)))
        return
    except ConnectionRefusedError as error:
        failure = outcomes.CallFailure.UNREACHED
        detail = str(error)
    except (
        grpclib.exceptions.GRPCError,
        grpclib.exceptions.StreamTerminatedError,
        OSError,
        TimeoutError,
    ) as error:
        failure = outcomes.CallFailure.LOST
        detail = f"{type(error).__name__}: {error}"
    replies.append(result.Err(outcomes.CallError(failure, detail)))


@dataclasses.dataclass(slots=True)
class PeerClient:
    """Channels to other entry processes, by address."""

    channels: dict[str, grpclib.client.Channel] = dataclasses.field(
        default_factory=dict
    )

    async def call(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, outcomes.CallError]:
        """Sends `message`; a channel that fails is replaced."""
        channel = self.channels.get(address)
        if channel is None:
            host, port = product_settings.split_address(address)
            channel = grpclib.client.Channel(host, port, codec=_Codec())
            self.channels[address] = channel
        kind = type(message)
        method = grpclib.client.UnaryUnaryMethod(
            channel, _SERVICE + kind.__name__, kind, _METHODS[kind]
        )
        replies: list[result.Result[Any, outcomes.CallError]] = []
        # grpclib cancels the calling task when a connection is lost, and a
        # task that was cancelled once cannot be trusted to keep time-outs.
        async with anyio.create_task_group() as group:
            group.start_soon(_call_method, method, message, timeout_s, replies)
        if not replies:
            replies.append(result.Err(_CANCELLED))
        reply = replies[0]
        if reply.is_err():
            if self.channels.get(address) is channel:
                del self.channels[address]
            channel.close()
        return reply

    def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
