"""How a process follows the operator's configuration beside outages."""

import contextlib
import dataclasses
import types

import anyio
import msgspec
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import configuration
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal
from plantainvane.jobs import ownership
from plantainvane.jobs import peers
from plantainvane.jobs import process
from plantainvane.jobs import sources
from plantainvane.jobs import succession
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
# Time within which a version is in force everywhere, from its acknowledgement.
APPLY_BOUND_S = 2.0
PAGE = interfaces.Page(((7, "config", b"document"),), 8, 8)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Log:
    """A log whose reads end as they are told to; records their waits.

    Attributes:
      waits: Longest wait of each read for new records.
      limits: Time after which each read is given up.
    """

    def __init__(self, *answers):
        self.answers, self.waits, self.limits = list(answers), [], []
        self.reading = anyio.Event()

    async def list_newest(self, topic, timeout_s):
        return result.Ok(interfaces.Page((), 7, 7))

    async def read(self, topic, offset, wait_s, timeout_s):
        self.waits.append(wait_s)
        self.limits.append(wait_s + timeout_s)
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            self.reading.set()
            await anyio.sleep_forever()
        return answer


@contextlib.asynccontextmanager
async def follow(log, monkeypatch):
    """Follows the configuration; yields the entry and what it has applied."""
    applied = []

    def apply(entry, value, source):
        applied.append(value)
        return -1

    monkeypatch.setattr(configuration, "_apply_document", apply)
    entry = make_entry(log, Peers({}))
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


async def test_read_on_a_connection_that_went_silent_ends_in_time(monkeypatch):
    # Guards against a read that hangs for 3.7 s beside connections that work,
    # as no other call of the process fails and ends it.
    log = Log(result.Ok(PAGE), None)
    async with follow(log, monkeypatch):
        await log.reading.wait()
    assert max(log.limits) <= APPLY_BOUND_S


REFUSED = result.Err(
    outcomes.CallError(outcomes.CallFailure.REFUSED, "status 503")
)


class SilentLog:
    """A log that answers no call of this process."""

    async def list_newest(self, topic, timeout_s):
        await anyio.sleep(timeout_s)
        return result.Err(
            outcomes.CallError(outcomes.CallFailure.LOST, "no answer")
        )

    async def read(self, topic, offset, wait_s, timeout_s):
        return await self.list_newest(topic, wait_s + timeout_s)


class RefusingLog:
    """A log that turns this process away at once."""

    async def list_newest(self, topic, timeout_s):
        return REFUSED

    async def read(self, topic, offset, wait_s, timeout_s):
        return REFUSED


@dataclasses.dataclass
class Peers:
    """Peers by address: the version of each, or None for one that is silent.

    Attributes:
      named: Addresses that a peer names in its replies.
      asked: The peers that were called.
    """

    versions: dict[str, int | None]
    named: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    asked: list[str] = dataclasses.field(default_factory=list)

    async def call(self, address, message, timeout_s):
        self.asked.append(address)
        version = self.versions.get(address)
        if version is None:
            await anyio.sleep(timeout_s)
            return result.Err(
                outcomes.CallError(outcomes.CallFailure.LOST, "no reply")
            )
        named = self.named.get(address, [])
        return result.Ok(peers.FetchReply(b"%d" % version, version, named))


def make_entry(log, known, *, owner="", seeds=(), version=1):
    """Makes a process that has `version` and knows the claim of `owner`."""
    decode = types.SimpleNamespace
    entry = process.Entry(
        msgspec.structs.replace(decisions.SETTINGS, seeds=seeds),
        types.SimpleNamespace(
            store=log,
            configuration_topic="keyed.op",
            configuration_key="config",
            evacuation_prefix="evacuate/",
            is_evacuation=lambda content: content.startswith(b"{"),
            decode_configuration=lambda d: decode(version=int(d), queues=[]),
        ),
        1,
        journal.Health(),
        ownership.Ownership(),
        known,
    )
    if owner:
        entry.ownership.claim = ownership.Claim("a-1", 1, owner)
    if version:
        entry.configuration = decode(version=version, queues=[])
        entry.document = b"%d" % version
    return entry


async def wait_for_version(entry, version, limit_s):
    """Follows the configuration until a version is in force."""
    with anyio.fail_after(limit_s):
        async with anyio.create_task_group() as group:
            group.start_soon(configuration.follow_configuration, entry)
            while not entry.configuration or (
                entry.configuration.version < version
            ):
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()


async def test_version_comes_from_the_peer_that_has_it_not_the_first_asked():
    # Guards against an old configuration for as long as the log turns a process
    # away, as the last owner that it knows is turned away as well.
    known = Peers({"10.0.0.1:1": 1, "10.0.0.2:1": 1, "10.0.0.3:1": 2})
    entry = make_entry(
        RefusingLog(), known, owner="10.0.0.1:1", seeds=tuple(known.versions)
    )
    await wait_for_version(entry, 2, APPLY_BOUND_S)


async def test_version_comes_from_a_peer_that_only_another_peer_knows():
    # Guards against an old configuration in a process that knows no peer but
    # an owner that has been replaced.
    known = Peers(
        {"10.0.0.1:1": 1, "10.0.0.4:1": 2}, {"10.0.0.1:1": ["10.0.0.4:1"]}
    )
    entry = make_entry(RefusingLog(), known, owner="10.0.0.1:1")
    await wait_for_version(entry, 2, APPLY_BOUND_S)


async def test_peers_that_do_not_answer_delay_no_version():
    # Guards against a time-out for each dead peer that is asked before the one
    # that has the version.
    dead = {f"10.0.1.{i}:1": None for i in range(20)}
    known = Peers({**dead, "10.0.0.3:1": 2})
    entry = make_entry(RefusingLog(), known, seeds=tuple(known.versions))
    await wait_for_version(entry, 2, 5.0)


def test_reply_to_a_fetch_has_a_document_only_if_it_is_newer():
    # Guards against large documents that each round of questions moves, and a
    # peer of the last release, which names no version, without one.
    entry = make_entry(RefusingLog(), Peers({}), seeds=("10.0.0.2:1",))
    for asked, document in ((-1, b"1"), (0, b"1"), (1, b""), (2, b"")):
        reply = configuration.answer_fetch(entry, peers.Fetch(asked))
        assert reply == peers.FetchReply(document, 1, ["10.0.0.2:1"])
    asked = msgspec.msgpack.decode(b"\x90", type=peers.Fetch)
    assert configuration.answer_fetch(entry, asked).document == b"1"


def test_addresses_that_peers_name_are_bounded():
    # Guards against a table that a faulty peer fills.
    known = sources.Sources()
    for number in range(1000):
        known.add_address(f"10.0.0.1:{number + 1}")
        known.add_address(f"no address {number}")
    assert list(known.addresses)[-1] == "10.0.0.1:1000"
    assert len(known.addresses) == 64


async def test_a_standby_knows_peers_before_the_log_turns_it_away():
    # Guards against a process that knows only seeds that are gone and an owner
    # that is lost together with the log.
    known = Peers({})

    async def answer_ping(address, message, timeout_s):
        return result.Ok(
            peers.Pong(True, 1, 1, 0.0, addresses=["10.0.0.4:1", "no address"])
        )

    known.call = answer_ping
    entry = make_entry(RefusingLog(), known, owner="10.0.0.1:1")
    await succession._ping_owner(entry)
    assert list(entry.sources.addresses) == ["10.0.0.4:1"]


async def test_peers_are_asked_while_a_read_of_the_log_hangs():
    # Guards against a version that comes only when the process's own read of a
    # silent log has timed out, which takes 3.7 s.
    known = Peers({"10.0.0.1:1": 2})
    entry = make_entry(Log(), known, owner="10.0.0.1:1")
    await wait_for_version(entry, 2, 3.0)


async def test_process_that_starts_without_the_log_asks_peers_at_once():
    # Guards against a process that refuses requests until its first read of a
    # silent log has timed out, which takes 2.5 s.
    known = Peers({"10.0.0.1:1": 2})
    entry = make_entry(SilentLog(), known, seeds=("10.0.0.1:1",), version=0)
    await wait_for_version(entry, 2, APPLY_BOUND_S)


def test_peers_are_asked_in_time_and_no_more_often_than_it_helps():
    # Guards against a version that is late because the log was waited for, and
    # against questions of all processes at once during a long outage.
    settings = decisions.SETTINGS
    known = sources.Sources(confirmed_at=10.0)
    assert settings.read_wait_s < settings.fetch_after_s
    assert known.find_due(True, settings) <= 10.0 + APPLY_BOUND_S
    known.record_failure()
    assert known.find_due(True, settings) <= 10.0
    now, rounds = 10.0, []
    while now < 20.0:
        rounds.append(now)
        known.choose_peers(["10.0.0.1:1"], settings, now)
        known.report(1, {"10.0.0.1:1": 1}, now)
        assert known.find_due(True, settings) - now <= APPLY_BOUND_S
        now = known.find_due(True, settings)
    assert len(rounds) <= 12
    known.report(1, {"10.0.0.1:1": 2}, now)
    assert known.find_due(True, settings) - now < 0.5
    known.record_answer(now)
    assert known.find_due(True, settings) >= now + settings.read_wait_s
