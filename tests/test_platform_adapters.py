"""The clients of the platform's services, against answers of every kind."""

import contextlib
import struct

import anyio
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
ORDER = model.StartOrder(
    task="t", attempt=2, spec="s", lease_until_ms=900, token=7
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Service:
    """Answers every call with the next of its replies; notes the calls."""

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
    """Appends one record to a log that gives `answer`."""
    async with run_service(answer) as service:
        store = store_module.Store(make_settings(store_address=service.address))
        appended = await store.append("keyed.t", [("k", b"v")], 0.3, **fields)
        await store.aclose()
        return appended, service.calls


async def test_append_carries_its_condition_and_its_producer():
    # Guards against claims without a condition and appends that cannot be
    # repeated.
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
async def test_refused_append_tells_why(answer, appended):
    # Guards against an earlier owner that takes a refusal for an outage.
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
async def test_append_is_lost_unless_it_was_surely_refused(answer, failure):
    # Guards against "has not run" for a record that may be stored.
    appended, _ = await append(answer)
    assert appended.err_value.failure is failure


async def test_call_without_a_connection_was_not_made():
    # Guards against doubt about what was surely not sent.
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


async def test_read_numbers_records_from_where_it_began():
    # Guards against offsets that drift, and deletions that are not seen.
    body = struct.pack(">QQ", 7, 0) + store_module.encode_records(
        [("a", b"1"), ("b", None)]
    )
    page = (await read(reply(200, body))).ok_value
    assert page.records == ((5, "a", b"1"), (6, "b", None))
    assert (page.next_offset, page.end_offset) == (7, 7)


async def test_read_of_records_that_are_gone_is_told_apart():
    # Guards against a process that reads the same lost offset for ever.
    page = (await read(reply(410, {"FirstOffset": 9}))).ok_value
    assert page.expired


@pytest.mark.parametrize(
    "body",
    [b"", b"short", struct.pack(">QQ", 7, 0) + struct.pack(">I", 99) + b"x"],
)
async def test_cut_read_is_a_failure(body):
    # Guards against records that are taken from half an answer.
    page = await read(reply(200, body))
    assert page.err_value.failure is _FAILURE.LOST


async def test_newest_records_are_read_page_by_page():
    # Guards against keys after the first page that a successor never sees.
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
    # Later appends may be among the records, so reading goes on from here.
    assert page.end_offset == 4
    assert service.calls[1][1]["DependsOn"] == "a"


async def start(answer, order=ORDER):
    async with run_service(answer) as service:
        settings = make_settings(call_timeout_s=0.3)
        runner = runners_module.RunnerClient(settings, service.address, "i-1")
        outcome = await runner.start(order)
        await runner.aclose()
        return outcome, service.calls


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
async def test_answers_to_a_start_keep_what_is_sure_apart(answer, outcome):
    # Guards against a second start of what may run, and against room that
    # stays charged for what surely does not.
    assert (await start(answer))[0] is outcome


async def test_start_names_the_runner_and_leaves_out_what_is_empty():
    # Guards against an order for another life at the same address.
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
async def test_look_that_does_not_decode_shows_nothing(content):
    # Guards against a runner that is believed empty for a malformed answer.
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
async def test_no_advice_is_not_an_empty_advice(answer, tickets):
    # Guards against a step that may run nowhere, as the adviser was busy.
    async with run_service(answer) as service:
        settings = make_settings(advisor_address=service.address)
        adviser = adviser_module.Adviser(settings)
        advised = await adviser.advise("id.0.0", ["i-1", "i-2"], 0.3)
    assert advised == tickets
    body = msgspec.json.decode(service.calls[0][2])
    assert body == {"StepId": "id.0.0", "Workers": ["i-1", "i-2"]}
