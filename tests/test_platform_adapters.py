"""Clients of the platform's services, against replies of every kind."""

import contextlib
import struct

import anyio
import anyio.abc
import msgspec
import pytest

from plantainvane import asgi
from plantainvane import outcomes
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.platform import adviser as adviser_module
from plantainvane.platform import runners as runners_module
from plantainvane.platform import store as store_module
from standins import platform_system
from standins import serving
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
_FAILURE = outcomes.CallFailure
_OUTCOME = interfaces.OrderOutcome
# Connections for orders to one runner.
MAX_CONNECTIONS = 4
ORDER = model.StartOrder(
    task="t", attempt=2, spec="s", lease_until_ms=900, token=7
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Service:
    """Answers each call with its next reply and records the calls."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.calls = []
        self.address = serving.find_free_address()

    async def handle(self, request):
        query = dict(request.query)
        self.calls.append((request.path, query, request.body, request))
        answer = self.replies.pop(0)
        if answer is None:
            await anyio.sleep_forever()
        return answer


@contextlib.asynccontextmanager
async def run_service(*replies):
    service, stop = Service(replies), anyio.Event()
    application = asgi.make_application(service.handle, 1_000_000)
    async with anyio.create_task_group() as group:
        group.start_soon(
            serving.serve_until, application, service.address, stop
        )
        await platform_system.wait_listening(service.address)
        try:
            yield service
        finally:
            stop.set()


def make_settings(**fields):
    return msgspec.structs.replace(decisions.SETTINGS, **fields)


def reply(status, body=b""):
    content = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return asgi.HttpReply(status, content)


async def append(answer, **fields):
    """Appends one record to a log that replies with `answer`."""
    async with run_service(answer) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        appended = await store.append("keyed.t", [("k", b"v")], 0.3, **fields)
        await store.aclose()
        return appended, service.calls


async def test_append_carries_its_condition_and_its_producer():
    # Guards against unconditional claims and against appends that are not
    # idempotent.
    producer = interfaces.Producer("owner", 4, 9)
    answer = reply(200, {"Offset": 3, "EndOffset": 4})
    appended, calls = await append(answer, producer=producer, expected_end=3)
    assert appended.ok_value == interfaces.Appended(3, 4)
    path, query, body, _ = calls[0]
    assert path == "/plantainvane/log-append"
    assert query == {
        "Topic": "keyed.t",
        "part": "0",
        "Producer": "owner",
        "epoch": "4",
        "Sequence": "9",
        "At": "3",
    }
    assert body == struct.pack(">I", 3) + b"\x01kv"


@pytest.mark.parametrize(
    ("answer", "appended"),
    [
        (reply(412, {"EndOffset": 8}), interfaces.Appended(-1, 8)),
        (
            reply(409, {"Reason": "fenced"}),
            interfaces.Appended(-1, -1, fenced=True),
        ),
        (
            reply(409, {"Reason": "seq", "Sequence": 5}),
            interfaces.Appended(-1, -1, next_sequence=5),
        ),
    ],
)
async def test_refused_append_carries_the_reason(answer, appended):
    # Guards against a former owner that takes a refusal for an outage.
    assert (await append(answer))[0].ok_value == appended


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        (reply(503), _FAILURE.REFUSED),
        (reply(507), _FAILURE.REFUSED),
        (reply(429), _FAILURE.LIMITED),
        (reply(200, b"not JSON"), _FAILURE.LOST),
        (None, _FAILURE.LOST),
    ],
)
async def test_append_is_lost_unless_certainly_refused(answer, failure):
    # Guards against "not run" for a record that may be stored.
    appended, _ = await append(answer)
    assert appended.err_value.failure is failure


async def test_call_without_a_connection_is_unreached():
    # Guards against an unknown outcome for a call that was never sent.
    address = serving.find_free_address()
    store = store_module.Store(make_settings(store_address=address))
    appended = await store.append("keyed.t", [], 0.3)
    assert appended.err_value.failure is _FAILURE.UNREACHED


async def read(answer):
    async with run_service(answer) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        page = await store.read("keyed.t", 5, 0, 0.3)
        await store.aclose()
        return page


async def test_read_numbers_records_from_its_first_offset():
    # Guards against wrong offsets and against missed deletions.
    body = struct.pack(">QQ", 7, 0) + store_module.encode_records(
        [("a", b"1"), ("b", None)]
    )
    page = (await read(reply(200, body))).ok_value
    assert page.records == ((5, "a", b"1"), (6, "b", None))
    assert (page.next_offset, page.end_offset) == (7, 7)


async def test_read_of_expired_records_is_recognized():
    # Guards against a process that reads an expired offset for ever.
    page = (await read(reply(410, {"FirstOffset": 9}))).ok_value
    assert page.expired


@pytest.mark.parametrize(
    "body",
    [b"", b"short", struct.pack(">QQ", 7, 0) + struct.pack(">I", 99) + b"x"],
)
async def test_truncated_read_is_a_failure(body):
    # Guards against records that are decoded from a truncated reply.
    page = await read(reply(200, body))
    assert page.err_value.failure is _FAILURE.LOST


async def test_newest_records_are_read_page_by_page():
    # Guards against a successor that misses the keys after the first page.
    first = {
        "items": [{"Key": "a", "Value": "MQ==", "Offset": 1}],
        "HasMore": True,
        "EndOffset": 4,
    }
    second = {"items": [{"Key": "b", "Offset": 3}], "EndOffset": 9}
    async with run_service(reply(200, first), reply(200, second)) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        page = (await store.list_newest("keyed.t", 0.3)).ok_value
        await store.aclose()
    assert page.records == ((1, "a", b"1"), (3, "b", None))
    # Later pages may include newer records, so reading goes on from the end
    # offset of the first.
    assert page.end_offset == 4
    assert service.calls[1][1]["DependsOn"] == "a"


async def test_items_that_cannot_be_read_do_not_end_a_list():
    # Guards against a list that is refused, that ends early or that is read
    # for ever because of the items of another writer.
    first = (
        b'{"items":[{"Key":7,"Offset":0},{"Key":"a","Value":"MQ==","Offset":1},'
        b'{"Key":"b","Value":"M","Offset":2},'
        b'{"Key":"\\udcff","Value":"MQ==","Offset":3}],"HasMore":true,'
        b'"EndOffset":9}'
    )
    second = b'{"items":[{"Key":"c\xff","Value":"Mg==","Offset":4}]}'
    async with run_service(reply(200, first), reply(200, second)) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        page = (await store.list_newest("keyed.t", 0.3)).ok_value
        await store.aclose()
    assert page.records == (
        (1, "a", b"1"),
        (3, "\ufffd", b"1"),
        (4, "c\ufffd", b"2"),
    )
    assert page.end_offset == 9
    assert service.calls[1][1]["DependsOn"] == "b"


@pytest.mark.parametrize(
    "item", ["", '{"Key":7}', '{"Key":"\\udcff"}', '{"Key":"a"}']
)
async def test_a_list_that_cannot_go_on_is_an_error(item):
    # Guards against the same page that is read again and again, and against a
    # part of the list that is taken for the whole.
    body = f'{{"items":[{item}],"HasMore":true}}'.encode()
    async with run_service(*[reply(200, body)] * 2) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        page = await store.list_newest("keyed.t", 0.3)
        await store.aclose()
    assert page.err_value.failure is _FAILURE.LOST


async def start(answer, order=ORDER):
    async with run_service(answer) as service:
        settings = make_settings(call_timeout_s=0.3)
        runner = runners_module.RunnerClient(settings, service.address, "i-1")
        started = await runner.start(order)
        await runner.aclose()
        return started.outcome, service.calls


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (reply(200, {"ClockMs": 1}), _OUTCOME.DONE),
        (reply(409, {"Reason": "fence"}), _OUTCOME.FENCED),
        (reply(409, {"Reason": "old"}), _OUTCOME.OLD),
        (reply(409, {"Reason": "late"}), _OUTCOME.LATE),
        (reply(409, {"Reason": "room"}), _OUTCOME.NO_ROOM),
        (reply(409, {"Reason": "ticket"}), _OUTCOME.NO_TICKET),
        (reply(409, {"Reason": "new"}), _OUTCOME.INVALID),
        (reply(409, b"not JSON"), _OUTCOME.INVALID),
        (reply(400), _OUTCOME.INVALID),
        (reply(421), _OUTCOME.OTHER_INCARNATION),
        (reply(429), _OUTCOME.UNHEALTHY),
        (reply(503), _OUTCOME.UNHEALTHY),
        (reply(500), _OUTCOME.LOST),
        (None, _OUTCOME.LOST),
    ],
)
async def test_start_outcome_separates_certain_from_possible(answer, outcome):
    # Guards against a second start of an attempt that may be running, and
    # against resources charged for one that is certainly not.
    assert (await start(answer))[0] is outcome


async def test_start_names_the_runner_and_omits_empty_fields():
    # Guards against an order to another incarnation at the same address.
    _, calls = await start(reply(200, {}))
    path, _, body, request = calls[0]
    assert path == "/plantainvane/run-start"
    assert request.headers["target-instance"] == "i-1"
    assert msgspec.json.decode(body) == {
        "Task": "t",
        "Attempt": 2,
        "Spec": "s",
        "DeadlineMs": 900,
        "FencingToken": 7,
    }
    resumed = msgspec.structs.replace(ORDER, checkpoint="c", ticket="k")
    _, calls = await start(reply(200, {}), resumed)
    body = msgspec.json.decode(calls[0][2])
    assert (body["Checkpoint"], body["Ticket"]) == ("c", "k")


@pytest.mark.parametrize(
    "content",
    [
        b"not JSON",
        b"[]",
        b'{"ClockMs":"late"}',
        b'{"ClockMs":1,"Active":[["t","x","",1]]}',
        b'{"ClockMs":1,"Finished":[[1,"t"]]}',
    ],
)
async def test_malformed_poll_reply_is_invalid(content):
    # Guards against a runner that is treated as idle after a malformed reply.
    async with run_service(reply(200, content)) as service:
        runner = runners_module.RunnerClient(
            decisions.SETTINGS, service.address, "i-1"
        )
        polled = await runner.poll(7, 0, None, 0)
        await runner.aclose()
    assert polled.err_value is _OUTCOME.INVALID


@pytest.mark.parametrize(
    ("answer", "tickets"),
    [
        (reply(200, {"Allowed": [["i-1", "t1"]]}), {"i-1": "t1"}),
        (reply(200, {"Allowed": []}), {}),
        (reply(200, b"not JSON"), None),
        (reply(429), None),
        (None, None),
    ],
)
async def test_missing_advice_differs_from_empty_advice(answer, tickets):
    # Guards against a step that may run nowhere because the adviser was busy.
    async with run_service(answer) as service:
        settings = make_settings(adviser_address=service.address)
        adviser = adviser_module.Adviser(settings)
        advised = await adviser.advise("id.0.0", ["i-1", "i-2"], 0.3)
    assert advised == tickets
    body = msgspec.json.decode(service.calls[0][2])
    assert body == {"StepId": "id.0.0", "Workers": ["i-1", "i-2"]}


@contextlib.asynccontextmanager
async def run_raw_runner(held):
    """Answers polls at once and orders once `held` is set; counts streams."""
    streams = []

    async def serve(stream):
        streams.append(stream)
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    if not (await stream.receive()).startswith(
                        b"POST /plantainvane/hold"
                    ):
                        await held.wait()
                    await stream.send(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"
                        b'{"ClockMs":1}'
                    )

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        runner = runners_module.RunnerClient(
            make_settings(call_timeout_s=5.0), f"127.0.0.1:{port}", "i-1"
        )
        yield runner, streams
        await runner.aclose()
        group.cancel_scope.cancel()


async def test_a_burst_of_starts_opens_few_connections():
    # Guards against a connection for each start of a burst, and against a
    # renewal that waits behind the burst.
    held, outcomes_seen = anyio.Event(), []
    async with run_raw_runner(held) as (runner, streams):

        async def start():
            outcomes_seen.append((await runner.start(ORDER)).outcome)

        async with anyio.create_task_group() as group:
            for _ in range(40):
                group.start_soon(start)
            await anyio.sleep(0.05)
            with anyio.fail_after(2.0):
                assert (await runner.poll(7, 0, 900, 0.0)).is_ok()
            held.set()
        assert outcomes_seen == [_OUTCOME.DONE] * 40
        assert len(streams) <= 8


@pytest.mark.parametrize("is_wanted", [True, False])
async def test_a_start_that_is_not_wanted_any_more_is_not_sent(is_wanted):
    # Guards against a start that is sent after the cancel of its job was
    # acknowledged, as it had to wait for a connection.
    answers = [None] * MAX_CONNECTIONS + [reply(200, {"ClockMs": 1})]
    async with run_service(*answers) as service:
        settings = make_settings(call_timeout_s=0.3)
        runner = runners_module.RunnerClient(settings, service.address, "i-1")
        wanted, asked = [True], []
        order = msgspec.structs.replace(
            ORDER, task="waits", is_wanted=lambda: asked.append(0) or wanted[0]
        )
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                for _ in range(MAX_CONNECTIONS):
                    group.start_soon(runner.start, ORDER)
                while len(service.calls) < MAX_CONNECTIONS:
                    await anyio.sleep(0.01)
                runner._timeout_s = 5.0
                group.start_soon(flip, wanted, is_wanted)
                started = await runner.start(order)
        await runner.aclose()
    sent = [call for call in service.calls if b'"waits"' in call[2]]
    assert len(sent) == is_wanted
    # It is asked when there is a connection, not before.
    assert len(asked) == 1
    assert (started.outcome is _OUTCOME.DONE) == is_wanted
    assert is_wanted or started.outcome is _OUTCOME.UNREACHED


async def flip(wanted, is_wanted):
    wanted[0] = is_wanted


async def test_a_start_that_waits_for_a_connection_ends_in_its_time_out():
    # Guards against a start that waits for longer than its lease is valid.
    async with run_raw_runner(anyio.Event()) as (runner, _):
        runner._timeout_s = 0.3
        outcomes_seen = []

        async def start():
            outcomes_seen.append((await runner.start(ORDER)).outcome)

        with anyio.fail_after(2.0):
            async with anyio.create_task_group() as group:
                for _ in range(12):
                    group.start_soon(start)
        assert _OUTCOME.DONE not in outcomes_seen
