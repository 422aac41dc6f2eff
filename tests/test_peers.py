"""Tests of plantainvane.peers: discovery, failures, partitions and calls."""

import contextlib
import dataclasses
import socket
import types

import anyio
import pytest

from plantainvane import membership as membership_module
from plantainvane import messages_pb2
from plantainvane import outcomes
from plantainvane import peers as peers_module
from plantainvane import settings as settings_module

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def find_port():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]


class Relay:
    """TCP relay that can drop data, close or refuse connections."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.silent, self.refusing = False, False
        self.accepted = 0
        self.streams = set()

    async def run(self):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        await listener.serve(self.serve)

    async def serve(self, near):
        self.accepted += 1
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            async with near:
                if self.refusing:
                    return
                far = await anyio.connect_tcp("127.0.0.1", self.target)
                async with far, anyio.create_task_group() as group:
                    self.streams |= {near, far}
                    group.start_soon(self.copy, near, far)
                    group.start_soon(self.copy, far, near)
                self.streams -= {near, far}

    async def copy(self, source, sink):
        # A connection that has dropped data keeps dropping it, also after
        # `silent` was reset.
        silenced = False
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ):
            while True:
                data = await source.receive()
                silenced = silenced or self.silent
                if not silenced:
                    await sink.send(data)
        await sink.aclose()

    async def cut(self):
        for stream in list(self.streams):
            await stream.aclose()


class Process:
    """The part of an entry process that its peers interact with."""

    def __init__(self, id, domain, seeds, interval, relay=None):
        port = find_port()
        addresses = [f"127.0.0.1:{p}" for p in (1, 2, port)]
        self.settings = settings_module.Settings(
            id=id,
            domain=domain,
            domains=("a", "b"),
            listen=settings_module.Listen(*addresses),
            platform=settings_module.Platform("127.0.0.1:3", "127.0.0.1:4"),
            seeds=tuple(
                settings_module.Seed(
                    seed.settings.id,
                    seed.settings.domain,
                    seed.membership.local_member.peer_address,
                )
                for seed in seeds
            ),
            membership=settings_module.Membership(
                interval_s=interval, remote_interval_s=interval
            ),
        )
        identity = types.SimpleNamespace(id=id, incarnation=1)
        self.membership = membership_module.Membership(self.settings, identity)
        self.relay = None
        if relay:
            self.relay = Relay(find_port(), port)
            self.membership.local_member = dataclasses.replace(
                self.membership.local_member,
                peer_address=f"127.0.0.1:{self.relay.port}",
            )
        self.draining = False
        self.requests = []
        self.release = anyio.Event()
        handlers = peers_module.Handlers(
            self.make_heartbeat,
            lambda request: messages_pb2.ConfigurationState(
                version=request.above_version + 1, snapshot=b"{}"
            ),
            self.find_task,
            self.run_request,
        )
        self.peers = peers_module.Peers(
            self.settings, self.membership, handlers
        )

    def make_heartbeat(self, now, with_heard):
        return self.membership.make_heartbeat(
            now,
            ready=True,
            draining=self.draining,
            config_version=7,
            load=[],
            with_heard=with_heard,
        )

    async def find_task(self, query):
        return messages_pb2.TaskStatus(owned=True, task=query.task.encode())

    async def run_request(self, request):
        self.requests.append(request.request_id)
        await self.release.wait()
        return peers_module.encode_answer(
            outcomes.Answer(
                outcomes.RequestOutcome.ANSWERED, request.body, attempts=1
            )
        )

    def is_connected(self, id):
        links = self.peers.dump_state(anyio.current_time())["links"]
        return id in links and links[id]["connected"]

    def sees(self, *ids):
        live = self.membership.list_live(None, anyio.current_time())
        return [member.id for member in live] == sorted(ids)


@contextlib.asynccontextmanager
async def run_processes(*processes):
    async with anyio.create_task_group() as group:
        for process in processes:
            group.start_soon(process.peers.run)
            if process.relay:
                group.start_soon(process.relay.run)
        yield group
        group.cancel_scope.cancel()


async def wait_until(check, limit=10.0):
    with anyio.fail_after(limit):
        while not check():
            await anyio.sleep(0.005)


async def test_processes_find_each_other_through_one_seed():
    first = Process("e1", "a", [], 0.1)
    others = [Process(f"e{n}", "a", [first], 0.1) for n in (2, 3)]
    async with run_processes(first, *others):
        for process in (first, *others):
            await wait_until(lambda p=process: p.sees("e1", "e2", "e3"))


async def test_a_pair_settles_on_one_stream():
    # Guards against two streams per pair, which would double the heartbeats.
    first = Process("e1", "a", [], 0.1)
    others = [Process(f"e{n}", "a", [first], 0.1) for n in (2, 3)]
    processes = (first, *others)

    def count_links():
        return [len(process.peers._links) for process in processes]

    async with run_processes(*processes):
        await wait_until(lambda: count_links() == [2, 1, 0])
        await wait_until(lambda: all(p.sees("e1", "e2", "e3") for p in others))


async def test_the_other_side_connects_when_heartbeats_stop():
    # Guards against a pair losing contact when the side that should keep the
    # stream cannot connect but the other side can.
    lower = Process("e1", "a", [], 0.4)
    upper = Process("e2", "a", [lower], 0.4, relay=True)
    async with run_processes(lower, upper):
        await wait_until(lambda: lower.sees("e1", "e2"))
        await wait_until(lambda: not upper.peers._links)
        upper.relay.refusing = True
        await upper.relay.cut()
        # Less than the 4 s after which the member would be dropped and
        # discovered again.
        await wait_until(lambda: upper.is_connected("e1"), limit=3.5)
        await wait_until(lambda: lower.sees("e1", "e2"))


async def test_a_silent_stream_is_replaced():
    # Guards against waiting on an open but dead connection while new
    # connections would work.
    target = Process("e2", "a", [], 0.2, relay=True)
    process = Process("e1", "a", [target], 0.2)
    async with run_processes(target, process):
        await wait_until(lambda: process.sees("e1", "e2"))
        link = process.peers._links["e2"]
        await wait_until(lambda: link.channel is not None)
        silent, target.relay.silent = link.channel, True
        await wait_until(lambda: link.channel is not silent)
        target.relay.silent = False
        await wait_until(
            lambda: link.channel not in (None, silent) and not link.failures
        )
        await wait_until(lambda: process.sees("e1", "e2"))


async def test_both_sides_suspect_and_recover_from_a_partition():
    target = Process("f1", "b", [], 0.05, relay=True)
    process = Process("e1", "a", [target], 0.05, relay=True)
    async with run_processes(target, process):
        await wait_until(lambda: process.sees("e1", "f1"))
        await wait_until(lambda: target.sees("e1", "f1"))
        for side in (target, process):
            side.relay.refusing = True
            await side.relay.cut()
        await wait_until(lambda: process.sees("e1") and target.sees("f1"))
        await wait_until(lambda: target.membership.find_member("e1") is None)
        for side in (target, process):
            side.relay.refusing = False
        await wait_until(lambda: process.sees("e1", "f1"))
        await wait_until(lambda: target.sees("e1", "f1"))


async def test_draining_is_told_at_once():
    # Guards against forwarding requests to a draining process until its next
    # regular heartbeat.
    target = Process("e1", "a", [], 30.0)
    process = Process("e2", "a", [target], 30.0)
    async with run_processes(target, process):
        await wait_until(lambda: target.is_connected("e2"))
        await wait_until(lambda: not process.peers._links)
        for sender, receiver in ((process, target), (target, process)):
            sender.draining = True
            sender.peers.announce()
            own = receiver.settings.id
            await wait_until(lambda r=receiver, own=own: r.sees(own))


async def test_calls_between_peers():
    target = Process("f1", "b", [], 0.1)
    process = Process("e1", "a", [target], 0.1)
    member = target.membership.local_member
    async with run_processes(target, process):
        await wait_until(lambda: process.sees("e1", "f1"))
        state = await process.peers.fetch_configuration(member, 4)
        assert state.ok_value.version == 5
        status = await process.peers.fetch_task(member, "t1")
        assert status.ok_value.task == b"t1"
        target.release.set()
        request = messages_pb2.ForwardedRequest(
            request_id="r1", deadline_ms=5000, body=b"\x00body"
        )
        reply = await process.peers.forward_request(member, request)
        answer = peers_module.decode_answer(reply.ok_value)
        assert answer.outcome is outcomes.RequestOutcome.ANSWERED
        assert (answer.body, answer.attempts) == (b"\x00body", 1)


async def test_a_forward_is_unreached_only_when_nothing_was_sent():
    # Guards against reporting "not run" for a request that a peer may have run.
    target = Process("f1", "b", [], 0.1, relay=True)
    process = Process("e1", "a", [target], 0.1)
    member = target.membership.local_member
    request = messages_pb2.ForwardedRequest(request_id="r", deadline_ms=5000)
    reply = await process.peers.forward_request(member, request)
    assert reply.err_value.failure is outcomes.CallFailure.UNREACHED
    replies = []

    async def forward():
        replies.append(await process.peers.forward_request(member, request))

    async with run_processes(target, process) as group:
        await wait_until(lambda: process.sees("e1", "f1"))
        group.start_soon(forward)
        await wait_until(lambda: target.requests)
        await target.relay.cut()
        await wait_until(lambda: replies)
    assert replies[0].err_value.failure is outcomes.CallFailure.LOST


def test_an_unknown_outcome_counts_as_unknown():
    message = messages_pb2.ForwardedOutcome(outcome="from a later release")
    answer = peers_module.decode_answer(message)
    assert answer.outcome is outcomes.RequestOutcome.UNKNOWN
