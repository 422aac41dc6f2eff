"""gRPC calls between entry processes, with MessagePack as the codec."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import Any

import anyio
import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import msgspec
import result

from plantainvane import boundaries
from plantainvane import events
from plantainvane import outcomes
from plantainvane import rpc_servers
from plantainvane import settings as product_settings
from plantainvane.jobs import clock
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import sources as sources_module

_SERVICE = "/plantainvane.Jobs/"
_MAX_SHOWN_CHARACTERS = 100
_MAX_REPORTED_HOSTS = 400

# Whole numbers up to here are exact as floats. NaN is within no limits.
_Version = Annotated[int, msgspec.Meta(ge=-1, le=2**53)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Priority = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
_MAX_WAITS = 64
# Most evacuated domains in a reply, and most characters of a name.
MAX_DOMAINS = 256
MAX_NAME_CHARACTERS = 200
MAX_SHUT_OUT = 64
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
_Address = Annotated[
    str, msgspec.Meta(max_length=sources_module.MAX_ADDRESS_CHARACTERS)
]
_Addresses = Annotated[
    list[_Address], msgspec.Meta(max_length=sources_module.MAX_NAMED)
]
_Cores = Annotated[float, msgspec.Meta(ge=0, le=10_000)]


class Ping(msgspec.Struct, array_like=True):
    """Asks whether the receiver is the owner.

    Attributes:
      address: Peer address of the sender.
      epoch: Highest epoch that the sender has seen.
      config_version: Version of the sender's configuration, or -1.
      may_own: The sender is able to become the owner.
      capacity: Processor cores that are available to the sender.
      is_owner: The sender owns that epoch; False from the last release.
    """

    address: str
    epoch: _Version
    config_version: _Version
    may_own: bool
    capacity: _Cores = 1.0
    is_owner: bool = False


class Pong(msgspec.Struct, array_like=True):
    """Reply to a ping.

    Attributes:
      is_owner: The receiver is the owner, possibly still recovering.
      epoch: Highest epoch that it has seen.
      config_version: Version of its configuration, or -1.
      silent_for_s: Seconds since the log last answered it; 0 without an outage.
      ablest_capacity: Highest capacity of the peers that are able to become the
        owner; 0 if the receiver is not the owner.
      ping_after_s: Time until the sender's next ping; 0 for the default.
      few_runners: The receiver is the owner and hears few of its runners; its
        claim in the log names some of them.
      waits: Priority and seconds that new tasks of it wait, while the receiver
        is the owner and cannot keep up.
      waived_offset: While the receiver hands over: it extends no lease before
        it has renewed its claim again, whose newest record has that offset; -1
        otherwise.
      leases_end_in_s: With a waived offset, or if the receiver does not extend
        leases: time within which all that it has extended end, and those of
        owners before it.
      instance, incarnation, age_s: Which process replies, and how long it has
        run; empty from the last release.
      extends: It is an owner, and may extend leases.
      ended_epoch: Epoch of the last ownership that has ended there, or -1. What
        it says of leases does not hold for a claim that it does not know of.
      addresses: Some of the peers that ping the receiver, if it is the owner.
      shut_out: Services, and labels or empty, whose runners are all evacuated,
        if the receiver is the owner.
      free_tasks: Tasks of further jobs that the receiver takes as the owner; -1
        if that is not known, and from the last release.
      freed_per_s: Tasks a second that it does not have to hold any more.
    """

    is_owner: bool
    epoch: _Version
    config_version: _Version
    silent_for_s: _Seconds
    ablest_capacity: _Cores = 0.0
    ping_after_s: _Seconds = 0.0
    few_runners: bool = False
    waits: Annotated[
        list[tuple[_Priority, _Seconds]], msgspec.Meta(max_length=_MAX_WAITS)
    ] = []
    waived_offset: _Version = -1
    leases_end_in_s: _Seconds = 0.0
    instance: str = ""
    incarnation: int = 0
    age_s: _Seconds = 0.0
    extends: bool = True
    ended_epoch: _Version = -1
    addresses: _Addresses = []
    shut_out: Annotated[
        list[tuple[_Name, _Name]], msgspec.Meta(max_length=MAX_SHUT_OUT)
    ] = []
    free_tasks: _Version = -1
    freed_per_s: _Rate = 0.0


class Ask(msgspec.Struct, array_like=True):
    """Forwards a caller's request to the owner.

    Attributes:
      what: state, cancel, pending or known. The last one asks whether the job
        is known without reading the log.
      subject: Id of the job; for pending the name of the queue.
    """

    what: str
    subject: str


class AskReply(msgspec.Struct, array_like=True):
    """Reply of the owner to a forwarded request.

    Attributes:
      known: The job or queue exists.
      state: State of the job.
      count: Number of jobs that have not started.
      owner: False if the receiver is not the owner, has not recovered, or could
        not read the log.
      recovering: The receiver is the owner and has not recovered.
      epoch: Epoch of the owner that has answered, or -1.
    """

    known: bool = False
    state: str = ""
    count: int = 0
    owner: bool = True
    recovering: bool = False
    epoch: _Version = -1


class Fetch(msgspec.Struct, array_like=True):
    """Asks for the receiver's configuration document, if it is newer.

    Attributes:
      version: Version of the sender's configuration, or -1.
    """

    version: _Version = -1


class FetchReply(msgspec.Struct, array_like=True):
    """Reply to a fetch.

    Attributes:
      document: The operator's document in its original encoding; empty if the
        sender's is as new.
      version: Version of the receiver's configuration; -1 without one, and from
        the last release.
      addresses: Some other processes, the owner that it knows of first.
      evacuated: Evacuated domains, each with the offset of its record.
      followed_to: Offset up to which these are complete; -1 if the receiver
        cannot tell, and from the last release.
    """

    document: bytes = b""
    version: _Version = -1
    addresses: _Addresses = []
    evacuated: Annotated[
        dict[_Name, _Version], msgspec.Meta(max_length=MAX_DOMAINS)
    ] = {}
    followed_to: _Version = -1


class HandOver(msgspec.Struct, array_like=True):
    """Sent by the owner of `epoch` to ask the receiver to claim ownership.

    Attributes:
      epoch: Epoch of the owner.
      sample: Runners that the receiver has to hear, or it declines.
      waived_offset, leases_end_in_s: As in a `Pong`.
    """

    epoch: _Version
    sample: reach_module.Sample = ()
    waived_offset: _Version = -1
    leases_end_in_s: _Seconds = 0.0


class HandOverReply(msgspec.Struct, array_like=True):
    """Reply to a request to claim ownership.

    Attributes:
      epoch: Epoch that the receiver owns, or -1.
      known_epoch: Epoch of the newest claim that it knows of, or -1, and from
        the last release.
      known_address: Peer address of the holder of that claim.
    """

    epoch: _Version = -1
    known_epoch: _Version = -1
    known_address: _Address = ""


class CheckReach(msgspec.Struct, array_like=True):
    """Asks the owner of `epoch` how many runners of its report answer now."""

    epoch: _Version
    reach: reach_module.Reach


class CheckReachReply(msgspec.Struct, array_like=True):
    """Answers to the owner: of runners that it heard, and that were silent.

    Attributes:
      is_owner: The receiver owns the epoch and has asked them.
    """

    is_owner: bool
    heard_sample: int = 0
    silent_sample: int = 0


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
    CheckReach: CheckReachReply,
}
Handler = Callable[[Any], Awaitable[Any]]


@dataclasses.dataclass(slots=True)
class Handlers:
    """One handler for each type of request."""

    ping: Callable[[Ping], Awaitable[Pong]]
    ask: Callable[[Ask], Awaitable[AskReply]]
    fetch: Callable[[Fetch], Awaitable[FetchReply]]
    hand_over: Callable[[HandOver], Awaitable[HandOverReply]]
    check_reach: Callable[[CheckReach], Awaitable[CheckReachReply]]


class _Service:
    """Service in the form that grpclib expects: handlers by path."""

    def __init__(self, answers: dict[type, Handler]):
        self._answers = answers
        self._reported: set[str] = set()

    def _report(self, stream: Any, error: Exception) -> None:
        """Logs a malformed message, once for each host that sends any."""
        host = str((stream.peer.addr() or ("",))[0])
        if host in self._reported or len(self._reported) >= _MAX_REPORTED_HOSTS:
            return
        self._reported.add(host)
        events.log_event(
            events.PEER_MESSAGE_MALFORMED,
            host=host,
            error=f"{type(error).__name__}: {error}"[:_MAX_SHOWN_CHARACTERS],
        )

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            _SERVICE + kind.__name__: grpclib.const.Handler(
                _make_method(answer, self._report),
                grpclib.const.Cardinality.UNARY_UNARY,
                kind,
                _METHODS[kind],
            )
            for kind, answer in self._answers.items()
        }


def _make_method(
    answer: Handler, report: Callable[[Any, Exception], None]
) -> Callable[[Any], Awaitable[None]]:
    async def method(stream: Any) -> None:
        try:
            message = await stream.recv_message()
        except (ValueError, RecursionError) as error:
            report(stream, error)
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT
            ) from error
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
            CheckReach: handlers.check_reach,
        }
    )
    server = rpc_servers.Server([service], codec=_Codec())
    host, port = product_settings.split_address(address)
    await server.start(host, port)
    try:
        await anyio.sleep_forever()
    finally:
        server.close()


# Error for a cancellation by grpclib at a point where grpclib does not turn it
# into an exception of its own.
_CANCELLED = outcomes.CallError(outcomes.CallFailure.LOST, "cancelled")


async def _call_method(
    method: grpclib.client.UnaryUnaryMethod,
    message: Any,
    timeout_s: float,
    replies: list[result.Result[Any, outcomes.CallError]],
) -> None:
    """Appends the reply or the error to `replies`."""
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
        # The reply is malformed, or of another release.
        ValueError,
        RecursionError,
    ) as error:
        failure = outcomes.CallFailure.LOST
        detail = f"{type(error).__name__}: {error}"
    except Exception as error:  # noqa: BLE001 - grpclib may raise any
        failure = outcomes.CallFailure.LOST
        detail = boundaries.take_error(error, clock.read_now())
    replies.append(result.Err(outcomes.CallError(failure, detail)))


@dataclasses.dataclass(slots=True, eq=False)
class _SharedChannel:
    """A channel to one peer; the calls to that peer share it.

    Attributes:
      calls: Calls that use it at present.
      retired: It gets no more calls, and is closed after the last one.
    """

    channel: grpclib.client.Channel
    calls: int = 0
    retired: bool = False

    def close_if_unused(self) -> None:
        """Closes the channel if it is retired and no call uses it."""
        if self.retired and not self.calls:
            self.channel.close()


@dataclasses.dataclass(slots=True)
class PeerClient:
    """Client of the other entry processes.

    Attributes:
      channels: Channels that take calls, by peer address.
    """

    channels: dict[str, _SharedChannel] = dataclasses.field(
        default_factory=dict
    )

    async def call(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, outcomes.CallError]:
        """Sends `message` and returns the reply; retires a failed channel.

        Other calls on that channel go on. Addresses come from records and
        messages, so any text is allowed.
        """
        if not product_settings.is_address(address):
            return result.Err(
                outcomes.CallError(
                    outcomes.CallFailure.UNREACHED,
                    f"{address[:_MAX_SHOWN_CHARACTERS]!r} is not an address",
                )
            )
        shared = self.channels.get(address)
        if shared is None:
            host, port = product_settings.split_address(address)
            shared = _SharedChannel(
                grpclib.client.Channel(host, port, codec=_Codec())
            )
            self.channels[address] = shared
        shared.calls += 1
        try:
            reply = await _call_isolated(shared.channel, message, timeout_s)
            if reply.is_err():
                self._retire(address, shared)
        finally:
            shared.calls -= 1
            shared.close_if_unused()
        return reply

    def close(self) -> None:
        """Closes all channels, those in use after their last call."""
        for address, shared in list(self.channels.items()):
            self._retire(address, shared)
            shared.close_if_unused()

    def _retire(self, address: str, shared: _SharedChannel) -> None:
        shared.retired = True
        if self.channels.get(address) is shared:
            del self.channels[address]


async def _call_isolated(
    channel: grpclib.client.Channel, message: Any, timeout_s: float
) -> result.Result[Any, outcomes.CallError]:
    """Makes a call in a task of its own.

    grpclib cancels the calling task when a connection is lost, and time-outs
    are unreliable in a task that has been cancelled once.
    """
    kind = type(message)
    method = grpclib.client.UnaryUnaryMethod(
        channel, _SERVICE + kind.__name__, kind, _METHODS[kind]
    )
    replies: list[result.Result[Any, outcomes.CallError]] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_call_method, method, message, timeout_s, replies)
    return replies[0] if replies else result.Err(_CANCELLED)
