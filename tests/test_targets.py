"""Tests of plantainvane.targets with a runner whose replies are scripted."""

import anyio
import pytest

from plantainvane import settings as settings_module
from plantainvane import targets
from tests import fake_runner
from tests import request_fakes

pytestmark = pytest.mark.anyio
SETTINGS = request_fakes.make_settings()


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def open_connection(runner):
    opened = await targets.open_connection(SETTINGS, runner.address)
    return opened.ok_value


async def exchange(connection, request_id="r1", body=b"a", timeout_s=5.0):
    return await targets.exchange(
        connection, b"/run/preview", request_id, body, timeout_s, 1000
    )


def script(*replies):
    """Answers the n-th request with the n-th of `replies`, raw bytes."""
    queue = list(replies)

    async def answer(runner, seen):
        runner.runs.append(seen.request_id)
        await seen.stream.send(queue.pop(0))

    return answer


GOOD = fake_runner.make_reply("r1", b"whole")


async def test_whole_answer_keeps_the_connection():
    # Guards against closing a connection that could be reused.
    async with fake_runner.serve_runner(fake_runner.echo) as runner:
        connection = await open_connection(runner)
        for number in range(3):
            reply = await exchange(connection, f"r{number}", b"%d" % number)
            assert reply.kind is targets.ReplyKind.ANSWERED
            assert reply.body == b"answer to %d" % number
        assert runner.connections == 1
        await targets.close_connection(connection)


@pytest.mark.parametrize(
    ("replies", "reason"),
    [
        (fake_runner.make_reply("other", b"x"), "wrong_id"),
        (fake_runner.make_reply("", b"x"), "wrong_id"),
        (fake_runner.make_reply("r1", b"x", length=2000), "answer_too_large"),
        (b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nx", "no_length"),
        (b"not http at all\r\n\r\n", "framing"),
        (fake_runner.make_reply("r1", b"", "500 Error"), "status_5xx"),
        (fake_runner.make_reply("r1", b"", "503 Busy"), "status_5xx"),
    ],
)
async def test_reply_that_is_no_answer_is_unknown(replies, reason):
    # Guards against returning part of an answer or the answer to another
    # request, and against "not run" when the runner did not say so.
    async with fake_runner.serve_runner(script(replies)) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection)
        assert (reply.kind, reply.reason, reply.body) == (
            targets.ReplyKind.UNKNOWN,
            reason,
            b"",
        )
        # A whole reply with an error status leaves the framing intact.
        assert connection.usable == reason.startswith("status")
        await targets.close_connection(connection)


async def test_truncated_answer_is_unknown():
    # Guards against a 200 for a body that is truncated because the runner died.
    async def cut(runner, seen):
        await seen.stream.send(
            fake_runner.make_reply("r1", b"half", length=100)
        )
        await seen.stream.aclose()

    async with fake_runner.serve_runner(cut) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection)
        assert reply.kind is targets.ReplyKind.UNKNOWN
        assert not connection.usable
        await targets.close_connection(connection)


async def test_doubled_answer_reaches_no_other_request():
    # Guards against reading the second copy as the answer to the next request.
    async with fake_runner.serve_runner(script(GOOD + GOOD)) as runner:
        connection = await open_connection(runner)
        assert (await exchange(connection)).body == b"whole"
        assert not connection.usable
        reply = await exchange(connection, "r2")
        assert reply.kind is targets.ReplyKind.NOT_SENT
        assert runner.runs == ["r1"]
        await targets.close_connection(connection)


async def test_late_second_answer_is_found_before_the_next_request():
    # Guards against the same when the copy arrives while the connection is
    # idle.
    first_read = anyio.Event()
    sent = anyio.Event()

    async def twice(runner, seen):
        await seen.stream.send(GOOD)
        await first_read.wait()
        await seen.stream.send(GOOD)
        sent.set()

    async with fake_runner.serve_runner(twice) as runner:
        connection = await open_connection(runner)
        assert (await exchange(connection)).body == b"whole"
        first_read.set()
        await sent.wait()
        await request_fakes.wait_until(lambda: targets.is_stale(connection))
        reply = await exchange(connection, "r2")
        assert reply.kind is targets.ReplyKind.NOT_SENT
        await targets.close_connection(connection)


async def test_refusal_is_not_run_and_leaving_is_reported():
    # Guards against reporting a refusal as unknown, and ignoring `Leaving`.
    refusal = fake_runner.make_reply(
        "r1", b"", "503 No", "Not-Run: 1\r\nLeaving: 1\r\n"
    )
    async with fake_runner.serve_runner(script(refusal)) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection)
        assert reply.kind is targets.ReplyKind.REFUSED
        assert reply.leaving
        assert connection.usable
        await targets.close_connection(connection)


async def test_refusal_without_id_closes_the_connection():
    # Guards against a late copy of the refusal that is taken for the reply to
    # the next request.
    refusal = fake_runner.make_reply("", b"", "503 No", "Not-Run: 1\r\n")
    async with fake_runner.serve_runner(script(refusal)) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection)
        assert reply.kind is targets.ReplyKind.REFUSED
        assert not connection.usable
        await targets.close_connection(connection)


async def test_timeout_after_the_request_was_sent_is_unknown():
    # Guards against reusing the connection: the late answer would be taken for
    # the answer to the next request.
    async def never(runner, seen):
        runner.runs.append(seen.request_id)
        await anyio.sleep_forever()

    async with fake_runner.serve_runner(never) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection, timeout_s=0.02)
        assert (reply.kind, reply.reason) == (
            targets.ReplyKind.UNKNOWN,
            "timeout",
        )
        assert not connection.usable
        await targets.close_connection(connection)


async def test_cancelled_exchange_is_unknown_and_closes():
    # Guards against reusing the connection and reporting "not run".
    reached = anyio.Event()

    async def never(runner, seen):
        reached.set()
        await anyio.sleep_forever()

    async with fake_runner.serve_runner(never) as runner:
        connection = await open_connection(runner)
        async with anyio.create_task_group() as group:
            group.start_soon(exchange, connection)
            await reached.wait()
            group.cancel_scope.cancel()
        reply = targets.make_cancelled_reply(connection)
        assert reply.kind is targets.ReplyKind.UNKNOWN
        assert not connection.usable
        await targets.close_connection(connection)


async def test_closed_idle_connection_sends_no_byte():
    # Guards against "unknown" when the connection was closed before the
    # request.
    async def close(runner, seen):
        await fake_runner.echo(runner, seen)
        await seen.stream.aclose()

    async with fake_runner.serve_runner(close) as runner:
        connection = await open_connection(runner)
        await exchange(connection)
        await request_fakes.wait_until(lambda: targets.is_stale(connection))
        reply = await exchange(connection, "r2")
        assert reply.kind is targets.ReplyKind.NOT_SENT
        assert runner.runs == ["r1"]
        await targets.close_connection(connection)


async def test_passed_deadline_sends_no_byte():
    # Guards against "unknown" for a request that was too late to be sent.
    async with fake_runner.serve_runner(fake_runner.echo) as runner:
        connection = await open_connection(runner)
        reply = await exchange(connection, timeout_s=-1.0)
        assert reply.kind is targets.ReplyKind.NOT_SENT
        assert connection.usable
        await targets.close_connection(connection)


async def test_refused_connection_is_an_error():
    # Guards against an exception instead of an error value.
    async with fake_runner.serve_runner(fake_runner.echo) as runner:
        address = runner.address
    opened = await targets.open_connection(SETTINGS, address)
    assert opened.is_err()


def test_settings_are_checked_against_each_other():
    # Guards against an empty range of hints or delays.
    requests = settings_module.Requests(hint_min_s=9.0, hint_max_s=1.0)
    settings = request_fakes.make_settings(requests)
    faults = settings_module.check_settings(settings)
    assert [fault.path for fault in faults] == ["$.requests.hint_min_s"]
