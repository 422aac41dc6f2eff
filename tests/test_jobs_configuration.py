"""How a process follows the operator's configuration beside outages."""

import contextlib
import types

import anyio
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import configuration
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal
from plantainvane.jobs import sources
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
PAGE = interfaces.Page(((7, "config", b"document"),), 8, 8)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Log:
    """A log whose reads end as they are told to; records their waits."""

    def __init__(self, *answers):
        self.answers, self.waits = list(answers), []
        self.reading = anyio.Event()

    async def list_newest(self, topic, timeout_s):
        return result.Ok(interfaces.Page((), 7, 7))

    async def read(self, topic, offset, wait_s, timeout_s):
        self.waits.append(wait_s)
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            self.reading.set()
            await anyio.sleep_forever()
        return answer


@contextlib.asynccontextmanager
async def follow(log, monkeypatch):
    """Follows the configuration; yields the entry and what it has applied."""
    applied = []

    async def fetch(entry):
        pass

    monkeypatch.setattr(configuration, "fetch_configuration", fetch)
    monkeypatch.setattr(
        configuration,
        "_apply_document",
        lambda entry, value, source: applied.append(value),
    )
    entry = types.SimpleNamespace(
        settings=decisions.SETTINGS,
        health=journal.Health(),
        sources=sources.Sources(),
        configuration=object(),
        adapters=types.SimpleNamespace(
            store=log,
            configuration_topic="keyed.op",
            configuration_key="config",
        ),
    )
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(configuration.follow_configuration, entry)
            yield entry, applied
            group.cancel_scope.cancel()


async def test_read_that_hangs_since_an_outage_is_repeated_at_its_end(
    monkeypatch,
):
    # Guards against a configuration that is not in force seconds after its
    # acknowledgement, as a read of the time before is waited for.
    log = Log(None, result.Ok(PAGE))
    async with follow(log, monkeypatch) as (entry, applied):
        await log.reading.wait()
        entry.health.record_failure("no answer", 1.0)
        entry.health.record_success(0.01, 2.0)
        while not applied:
            await anyio.sleep(0.01)
    assert applied == [b"document"]


async def test_no_read_waits_for_records_during_an_outage(monkeypatch):
    # Guards against the same at a process that makes no other call: the wait
    # for new records came on top of the time-out.
    lost = result.Err(
        outcomes.CallError(outcomes.CallFailure.LOST, "no answer")
    )
    log = Log(lost, result.Ok(PAGE), None)
    async with follow(log, monkeypatch) as (_, applied):
        await log.reading.wait()
    assert applied == [b"document"]
    waits_s = decisions.SETTINGS.read_wait_s
    assert log.waits == [waits_s, 0.0, waits_s]
    # The time-out alone ends before the users' bound after an outage.
    contact_s = 3.0
    assert decisions.SETTINGS.store_timeout_max_s < contact_s
