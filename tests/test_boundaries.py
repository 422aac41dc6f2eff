"""Errors that libraries raise and no caller expects."""

import anyio
import grpclib.client
import grpclib.protocol
import h11
import httptools
import httpx
import pytest

from plantainvane import boundaries
from plantainvane import http_client
from plantainvane import outcomes
from plantainvane import peers as earlier_peers
from plantainvane import settings as settings_module
from plantainvane import targets
from plantainvane.jobs import peers
from standins import serving
from tests import request_fakes
from tests import test_jobs_channels as channels

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    """Lines of event 893, without those of other tests."""
    logged = []
    monkeypatch.setattr(boundaries, "_reported_at", {})
    monkeypatch.setattr(
        boundaries.events, "log_event", lambda event, **f: logged.append(f)
    )
    return logged


def run_as(library):
    """Returns a function that raises an error as code of a library does."""
    scope = {"__name__": f"{library}.some_module"}
    exec(  # noqa: S102
        "def fail(*args, **kwargs):\n    raise AttributeError('gone')", scope
    )
    return scope["fail"]


async def test_unforeseen_error_of_grpclib_fails_the_call_only(
    monkeypatch, lines
):
    # Guards against a process that ends when a connection is lost at a step at
    # which grpclib raises an AttributeError.
    monkeypatch.setattr(
        grpclib.protocol.Connection, "create_stream", run_as("grpclib")
    )
    async with channels.serve() as (_, address):
        client = peers.PeerClient()
        reply = await client.call(address, channels.make_ping(1), 5.0)
        client.close()
    assert reply.err_value.failure is outcomes.CallFailure.LOST
    assert [line["library"] for line in lines] == ["grpclib"]
    assert "gone" in lines[0]["traceback"]


async def test_unforeseen_error_of_grpclib_fails_an_earlier_services_call():
    # Guards against the same in the peer connections of the earlier services.
    fail = run_as("grpclib")

    async def work():
        fail()

    outcome = await earlier_peers._run_isolated(work)
    assert isinstance(outcome.err_value, AttributeError)


async def serve_http(*, task_status):
    """Answers the first bytes of each connection with an empty reply."""

    async def answer(stream):
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    host, port = settings_module.split_address(serving.find_free_address())
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    task_status.started(f"{host}:{port}")
    await listener.serve(answer)


async def test_unforeseen_error_of_the_http_parser_fails_the_call_only(
    monkeypatch, lines
):
    # Guards against a process that ends as a reply meets a defect of a library.
    monkeypatch.setattr(
        httptools, "HttpResponseParser", run_as("httptools"), raising=True
    )
    async with anyio.create_task_group() as group:
        address = await group.start(serve_http)
        client = http_client.Client(address, 5.0)
        with pytest.raises(httpx.RemoteProtocolError, match="gone"):
            await client.post("/")
        group.cancel_scope.cancel()
    assert [line["library"] for line in lines] == ["httptools"]


async def test_unforeseen_error_of_h11_leaves_the_request_unknown(
    monkeypatch, lines
):
    # Guards against a process that ends, or a caller who is told that nothing
    # ran, as the reply of a target meets a defect of a library.
    async with anyio.create_task_group() as group:
        address = await group.start(serve_http)
        opened = await targets.open_connection(
            request_fakes.make_settings(), address
        )
        connection = opened.ok_value
        monkeypatch.setattr(h11.Connection, "next_event", run_as("h11"))
        reply = await targets.exchange(
            connection, b"/run/x", "id", b"", 5.0, 100
        )
        await targets.close_connection(connection)
        group.cancel_scope.cancel()
    assert reply.kind is targets.ReplyKind.UNKNOWN
    assert not connection.usable
    assert [line["library"] for line in lines] == ["h11"]


def test_error_of_our_own_code_is_raised_again():
    # Guards against a broken invariant that is taken for a fault of a library,
    # also in code that a library has called.
    own = run_as("plantainvane")
    scope = {"__name__": "grpclib.client", "own": own}
    exec("def call():\n    own()", scope)  # noqa: S102
    for call in (own, scope["call"]):
        with pytest.raises(AttributeError) as caught:
            call()
        with pytest.raises(AttributeError):
            boundaries.take_error(caught.value, 0.0)


def test_lines_about_one_kind_of_error_are_bounded(lines):
    # Guards against a log that a defect of a library floods.
    fail = run_as("h2")
    for number in range(1000):
        try:
            fail()
        except AttributeError as error:
            boundaries.take_error(error, number / 100)
    assert len(lines) == 1
    assert len(lines[0]["traceback"]) <= 2000
