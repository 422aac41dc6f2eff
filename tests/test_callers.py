"""Tests of plantainvane.callers, and golden files of whole sessions."""

import time

import anyio
import msgspec
import pytest
import result

from plantainvane import asgi
from plantainvane import callers
from plantainvane import dispatcher as dispatcher_module
from plantainvane import outcomes
from tests import fake_runner
from tests import request_fakes

pytestmark = pytest.mark.anyio
OUTCOME = outcomes.RequestOutcome
SETTINGS = request_fakes.make_settings()
# Retry hints are jittered and generated ids are random, so the golden files
# have these placeholders; everything else is compared byte by byte.
VOLATILE = {"retry_after_ms": "<ms>", "request-id": "<made id>"}


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_request(method, path, body=b"", **headers):
    headers = {name.replace("_", "-"): v for name, v in headers.items()}
    return asgi.HttpRequest(method, path, {}, headers, body)


def describe_reply(reply, generated_id=False):
    """Returns a comparable form of a reply; see VOLATILE."""
    headers = {name.decode(): value.decode() for name, value in reply.headers}
    if generated_id:
        headers["request-id"] = VOLATILE["request-id"]
    body = reply.body.decode()
    if reply.content_type == "application/json" and body:
        body = msgspec.json.decode(body)
        if body.get("retry_after_ms"):
            body["retry_after_ms"] = VOLATILE["retry_after_ms"]
    return {"status": reply.status, "headers": headers, "body": body}


def make_handler(handle_request=None, task_callbacks=None, ready=True):
    return callers.make_handler(
        SETTINGS, handle_request, task_callbacks, lambda: ready
    )


@pytest.mark.parametrize(
    ("answer", "status", "retry_after"),
    [
        (outcomes.Answer(OUTCOME.ANSWERED, b"ok", "text/plain"), 200, None),
        (outcomes.Answer(OUTCOME.UNKNOWN, reason="timeout"), 504, None),
        (outcomes.Answer(OUTCOME.DUPLICATE), 409, None),
        (
            outcomes.Answer(
                OUTCOME.NOT_RUN, reason="overload", retry_after_s=2.2
            ),
            429,
            b"3",
        ),
        (outcomes.Answer(OUTCOME.NOT_RUN, reason="not_serving"), 503, b"1"),
        (outcomes.Answer(OUTCOME.NOT_RUN, reason="unknown_class"), 404, None),
        (outcomes.Answer(OUTCOME.NOT_RUN, reason="too_large"), 413, None),
        (outcomes.Answer(OUTCOME.NOT_RUN, reason="key_required"), 400, None),
    ],
)
async def test_each_outcome_has_its_status(answer, status, retry_after):
    # Guards against a 5xx that a proxy would retry, and a 200 without an
    # answer.
    async def handle_request(request, now):
        return answer

    handle = make_handler(handle_request)
    reply = await handle(
        make_request("POST", "/services/preview", b"x", request_id="r1")
    )
    headers = dict(reply.headers)
    assert reply.status == status
    assert headers.get(b"retry-after") == retry_after
    assert headers[b"request-id"] == b"r1"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("request_id", "two words"),
        ("request_id", "x" * 129),
        ("request_id", "a\nInjected: 1"),
        ("deadline_ms", "soon"),
        ("deadline_ms", "-1"),
        ("deadline_ms", "nan"),
        ("plantainvane_issued", "inf"),
        ("idempotency_key", ""),
    ],
)
async def test_bad_headers_reach_no_target(name, value):
    # Guards against header injection at targets and against invalid deadlines.
    handle = make_handler()
    reply = await handle(
        make_request("POST", "/services/preview", b"x", **{name: value})
    )
    assert reply.status == 400
    assert b"\n" not in dict(reply.headers)[b"request-id"]


async def test_headers_reach_the_dispatcher():
    # Guards against dropping the key, which would let a request run twice.
    seen = []

    async def handle_request(request, now):
        seen.append(request)
        return outcomes.Answer(OUTCOME.ANSWERED)

    await make_handler(handle_request)(
        make_request(
            "POST",
            "/services/warning",
            b"wormwood",
            request_id="r1",
            deadline_ms="250",
            idempotency_key="k",
            plantainvane_issued="5.5",
        )
    )
    assert seen == [
        dispatcher_module.Request("warning", "r1", b"wormwood", 0.25, "k", 5.5)
    ]


async def test_task_routes(snapshot):
    # Guards against unnoticed changes of statuses and bodies.
    failure = outcomes.CallFailure

    async def submit_task(task):
        if task.task == "lost":
            return result.Err(outcomes.CallError(failure.LOST, "no reply"))
        if task.batch_class == "none":
            return result.Err(outcomes.CallError(failure.REFUSED, "no class"))
        return result.Ok(task.task)

    async def find_task(task):
        return {"task": task, "state": "pending"} if task == "t1" else None

    async def cancel_task(task):
        return result.Ok(task)

    handle = make_handler(
        task_callbacks=callers.TaskCallbacks(
            submit_task, find_task, cancel_task
        )
    )
    good = b'{"task": "t1", "batch_class": "outlook", "work": {}}'
    session = [
        ("POST", "/tasks", good),
        ("POST", "/tasks", good.replace(b"t1", b"lost")),
        ("POST", "/tasks", good.replace(b"outlook", b"none")),
        ("POST", "/tasks", b'{"task": "T 1", "extra": 1}'),
        ("GET", "/tasks", b""),
        ("GET", "/tasks/t1", b""),
        ("GET", "/tasks/t2", b""),
        ("POST", "/tasks/t1/cancel", b""),
        ("GET", "/tasks/t1/cancel", b""),
        ("GET", "/nothing", b""),
        ("GET", "/services/preview", b""),
        ("GET", "/health", b""),
    ]
    replies = [
        (f"{method} {path}", describe_reply(await handle(request)))
        for method, path, body in session
        for request in [make_request(method, path, body)]
    ]
    assert replies == snapshot
    starting = make_handler(ready=False)
    assert (await starting(make_request("GET", "/health"))).status == 503
    assert (await starting(make_request("GET", "/tasks/t"))).status == 503


async def test_session_of_a_morning(snapshot):
    """Golden file of the replies of a process from its start to its shutdown.

    Guards against unnoticed changes of the statuses, bodies and headers that
    callers see. The record of the fake runner shows what ran.
    """
    dispatcher = dispatcher_module.Dispatcher(
        SETTINGS,
        request_fakes.Configuration(
            request_fakes.make_class("pollen"),
            request_fakes.make_class("warning", idempotent=False),
        ),
        request_fakes.Membership(),
        request_fakes.KeyTable(),
        None,
    )
    handle = make_handler(dispatcher.handle_request)
    session = []

    async def call(service_class, body, **headers):
        path = f"/services/{service_class}"
        reply = await handle(make_request("POST", path, body, **headers))
        generated_id = "request_id" not in headers
        session.append((path, headers, describe_reply(reply, generated_id)))

    async with fake_runner.serve_runner(fake_runner.echo) as runner:
        await call("pollen", b"before the start", request_id="p0")
        listed = request_fakes.make_runner(
            "t0", runner.address, ("pollen", "warning")
        )
        dispatcher.update_targets([listed], time.monotonic())
        async with request_fakes.run_dispatcher(dispatcher, 8):
            await call("pollen", b"today", request_id="p1")
            await call("pollen", b"made id")
            await call("warning", b"no key", request_id="w0")
            keyed = {"idempotency_key": "k1", "plantainvane_issued": "1"}
            await call("warning", b"wormwood", request_id="w1", **keyed)
            await call("warning", b"wormwood", request_id="w2", **keyed)
            await call("pollen", b"x" * 70_000, request_id="p2")
            await call("unknown", b"", request_id="u1")
            runner.answer = fake_runner.refuse
            await call("pollen", b"refused", request_id="p3")
            gone = request_fakes.make_runner(
                "t0", runner.address, ("pollen",), leaving=True
            )
            dispatcher.update_targets([gone], time.monotonic())
            await call("pollen", b"no target", request_id="p4")
            dispatcher.start_drain()
            await call("pollen", b"draining", request_id="p5")
            with anyio.fail_after(5.0):
                await dispatcher.wait_drained()
    ran = [id_ for id_ in runner.runs if id_[0] in "pwu"]
    assert {"session": session, "ran": ran} == snapshot


async def test_dump_is_bounded_and_free_of_content():
    # Guards against a dump that grows without bound, or that contains request
    # bodies or keys.
    dispatcher = dispatcher_module.Dispatcher(
        SETTINGS,
        request_fakes.Configuration(request_fakes.make_class()),
        request_fakes.Membership(),
        request_fakes.KeyTable(),
        None,
    )
    dispatcher.update_targets(
        [
            request_fakes.make_runner(f"t{n}", "127.0.0.1:1", ("preview",))
            for n in range(2000)
        ],
        time.monotonic(),
    )
    dump = msgspec.json.encode(dispatcher.dump_state(time.monotonic()))
    assert len(dump) < 200_000
    assert b'"target_count":2000' in dump
