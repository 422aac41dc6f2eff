"""Tests of plantainvane.dispatcher with runners in the same process."""

import contextlib
import time

import anyio
import pytest

from plantainvane import dispatcher as dispatcher_module
from plantainvane import outcomes
from tests import fake_runner
from tests import request_fakes

pytestmark = pytest.mark.anyio
OUTCOME = outcomes.RequestOutcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_dispatcher(
    *classes, requests=None, members=(), key_book=None, forward=None
):
    return dispatcher_module.Dispatcher(
        request_fakes.make_settings(requests),
        request_fakes.Configuration(*classes or [request_fakes.make_class()]),
        request_fakes.Membership(*members),
        key_book or request_fakes.KeyBook(),
        forward,
        draw=lambda: 0.5,
    )


@contextlib.asynccontextmanager
async def serve(*answers, dispatcher=None, classes=("preview",), open_slots=8):
    """Runs a dispatcher with one runner for each of `answers`."""
    dispatcher = dispatcher or make_dispatcher()
    async with contextlib.AsyncExitStack() as stack:
        runners = [
            await stack.enter_async_context(fake_runner.serve_runner(answer))
            for answer in answers
        ]
        listed = [
            request_fakes.make_runner(f"t{number}", runner.address, classes)
            for number, runner in enumerate(runners)
        ]
        dispatcher.update_targets(listed, time.monotonic())
        await stack.enter_async_context(
            request_fakes.run_dispatcher(dispatcher, open_slots)
        )
        yield dispatcher, runners


async def send(dispatcher, request_id, body=b"x", **fields):
    request = dispatcher_module.Request(
        fields.pop("service_class", "preview"), request_id, body, **fields
    )
    return await dispatcher.handle_request(request, time.monotonic())


async def test_every_caller_gets_the_answer_to_its_own_request():
    # Guards against answers swapped between concurrent requests.
    answers = {}
    async with (
        serve(fake_runner.echo, fake_runner.echo, open_slots=16) as (d, _),
        anyio.create_task_group() as group,
    ):

        async def call(number):
            answers[number] = await send(d, f"r{number}", b"%d" % number)

        for number in range(100):
            group.start_soon(call, number)
    assert [answers[n].body for n in range(100)] == [
        b"answer to %d" % n for n in range(100)
    ]
