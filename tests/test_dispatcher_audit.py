"""The dispatcher with faulty stand-in runners, checked against their audits.

Guards against outcomes that contradict what the targets recorded (guarantees 4,
5 and 6), which a test with a fake target can find only by chance.
"""

import contextlib

import anyio
import httpx
import msgspec
import pytest

from plantainvane import dispatcher as dispatcher_module
from plantainvane import outcomes
from standins import answers
from standins import audit
from standins import load
from standins import runner as runner_module
from standins import serving
from tests import request_fakes

RUN_CLASS = runner_module.RunClass(run_ms=5, rounds=2, padding_bytes=64)
FAULTS = (
    {},
    {"truncate_answers": True},
    {"lose_replies": True},
    {"silent_share": 0.5},
    {"frozen": True},
    {"refuse": True},
    {"down": True},
)


async def send_request(dispatcher, request_id, service_class, records):
    body = load.make_body(request_id, 200)
    key = request_id if service_class == "warning" else ""
    request = dispatcher_module.Request(
        service_class, request_id, body, 0.5, key or None, 0.0
    )
    now = anyio.current_time()
    answer = await dispatcher.handle_request(request, now)
    outcome, detail = str(answer.outcome), answer.detail
    if answer.outcome is outcomes.RequestOutcome.ANSWERED:
        detail = answers.check_answer(
            service_class, request_id, body, answer.body, 64
        )
        outcome = "wrong" if detail else "answered"
    records.append(
        load.Record(
            request_id=request_id,
            service_class=service_class,
            key=key,
            outcome=outcome,
            detail=detail,
        )
    )


async def send_all(dispatcher, records):
    async with anyio.create_task_group() as group:
        for number in range(60):
            name = "warning" if number % 3 == 0 else "preview"
            group.start_soon(
                send_request, dispatcher, f"q{number}", name, records
            )
            await anyio.sleep(0.002)


async def post_faults(address, fault):
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(f"http://{address}/faults", json=fault)


async def fetch_runs(address):
    async with httpx.AsyncClient(trust_env=False) as client:
        content = (await client.get(f"http://{address}/audit")).content
    return msgspec.json.decode(content, type=runner_module.Audit).runs


@contextlib.asynccontextmanager
async def open_dispatcher(addresses):
    classes = ("preview", "warning")
    dispatcher = dispatcher_module.Dispatcher(
        request_fakes.make_settings(),
        request_fakes.Configuration(
            request_fakes.make_class("preview"),
            request_fakes.make_class("warning", idempotent=False),
        ),
        request_fakes.Membership(),
        request_fakes.KeyTable(),
        None,
    )
    dispatcher.update_targets(
        [
            request_fakes.make_runner(f"r{number}", address, classes)
            for number, address in enumerate(addresses)
        ],
        anyio.current_time(),
    )
    async with request_fakes.run_dispatcher(dispatcher, 8 * len(addresses)):
        yield dispatcher


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: "-".join(f) or "none")
def test_outcomes_agree_with_the_targets(fault):
    async def run():
        records, violations = [], audit.make_violations()
        async with contextlib.AsyncExitStack() as stack:
            addresses = []
            for number in range(2):
                settings = runner_module.RunnerSettings(
                    id=f"r{number}",
                    listen=serving.find_free_address(),
                    classes={"preview": RUN_CLASS, "warning": RUN_CLASS},
                )
                opened = serving.open_standin(
                    runner_module.serve_runner, settings
                )
                addresses.append(await stack.enter_async_context(opened))
            async with open_dispatcher(addresses) as dispatcher:
                await post_faults(addresses[0], fault)
                await send_all(dispatcher, records)
            runs = {a: await fetch_runs(a) for a in addresses}
        audit.check_requests(violations, records, runs)
        assert audit.count_violations(violations) == dict.fromkeys(
            "123456789", 0
        ), violations
        answered = sum(r.outcome == "answered" for r in records)
        assert len(records) == 60
        # The second runner works; no request may wait forever for the first
        # one.
        assert answered == 60 if not fault else answered >= 20

    anyio.run(run)
