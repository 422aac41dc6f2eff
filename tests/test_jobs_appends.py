"""Appends of an owner to the log's stand-in: acknowledged means stored."""

import contextlib
import json

import anyio
import msgspec
import pytest
import result

from plantainvane import asgi
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.platform import store as store_module
from standins import platform_store
from standins import platform_system
from standins import serving
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
TOPIC = "keyed.progress"
EPOCH = 3


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_log():
    """Serves a log; yields its state and its address."""
    state = platform_store.StoreState()
    application = asgi.make_application(
        platform_store.make_handler(state), 16_777_216
    )
    address, stop = serving.find_free_address(), anyio.Event()
    served = anyio.Event()

    async def serve():
        await serving.serve_until(application, address, stop)
        served.set()

    async with anyio.create_task_group() as group:
        group.start_soon(serve)
        await platform_system.wait_listening(address)
        try:
            yield state, address
        finally:
            stop.set()
            # Its library reports a cancellation as an error.
            with anyio.CancelScope(shield=True):
                await served.wait()


def make_journal(address, epoch=EPOCH, timeout_s=0.15):
    settings = msgspec.structs.replace(
        decisions.SETTINGS,
        store_address=address,
        store_timeout_s=timeout_s,
        store_timeout_max_s=timeout_s,
        store_retry_s=0.02,
    )
    return journal_module.Journal(
        settings,
        store_module.Store(settings),
        journal_module.Health(),
        TOPIC,
        "owner",
        epoch,
    )


async def store_records(journal, *records):
    """Adds records and waits until the journal says that they are stored."""
    with anyio.fail_after(5):
        await journal.add(list(records)).stored.wait()


@contextlib.asynccontextmanager
async def run_owner():
    """Runs the journal of an owner that has opened its epoch."""
    async with run_log() as (state, address):
        journal = make_journal(address)
        yield state, journal, address
        await journal.store.aclose()


@contextlib.asynccontextmanager
async def run_journal(journal):
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        yield
        group.cancel_scope.cancel()


def list_values(state):
    """Returns the newest value of each key, as a successor reads it."""
    newest = state.list_newest(TOPIC)
    return {key: value.decode() for key, (_, value) in newest.items()}


ODD_ANSWERS = [
    (409, {}),
    (409, {"Reason": ""}),
    (409, {"Reason": "other"}),
    (409, {"Reason": "seq"}),
    (409, {"Reason": "seq", "Sequence": -1}),
    (409, {"Reason": "seq", "Sequence": 1}),
    (409, {"Reason": "seq", "Sequence": 2}),
    (409, {"Reason": "seq", "Sequence": 7}),
    (412, {"EndOffset": 0}),
    (412, {}),
    (200, {}),
    (200, {"Offset": 0, "EndOffset": 0}),
    (200, {"Offset": 0, "EndOffset": 1}),
    (200, {"Offset": 0, "EndOffset": 2}),
    (200, {"Offset": 2, "EndOffset": 3}),
    (200, ["x"]),
    (400, {}),
    (500, {}),
]


@pytest.mark.parametrize("answer", ODD_ANSWERS, ids=json.dumps)
@pytest.mark.parametrize("times", [1, 3])
async def test_what_an_odd_answer_leaves_out_is_not_taken_for_stored(
    answer, times
):
    # Guards against a cancel that is acknowledged and that the next owner does
    # not know, as the answer of the log meant something else.
    async with run_owner() as (state, journal, _):
        assert await journal.open_epoch()
        async with run_journal(journal):
            await store_records(journal, ("before", b"1"), ("more", b"1"))
            state.odd_answers = [answer] * times
            await store_records(journal, ("j", b"cancelled"), ("k", b"2"))
            assert list_values(state)["j"] == "cancelled"
            await store_records(journal, ("after", b"1"))
            assert list_values(state)["after"] == "1"


async def test_append_whose_answer_is_lost_is_stored_once():
    # Guards against records that are stored twice, and not as one append.
    async with run_owner() as (state, journal, _):
        assert await journal.open_epoch()
        state.lose_answers = 2
        async with run_journal(journal):
            await store_records(journal, ("j", b"1"), ("k", b"1"))
            await store_records(journal, ("l", b"1"))
        assert len(state.find_topic(TOPIC).records) == 3


@pytest.mark.parametrize("lost", [False, True])
@pytest.mark.parametrize("appends", [0, 1, 3, 9])
async def test_log_that_has_forgotten_the_sequence_loses_nothing(appends, lost):
    # Guards against the same, after a log that expects the first number again.
    async with run_owner() as (state, journal, _):
        assert await journal.open_epoch()
        async with run_journal(journal):
            for number in range(appends):
                await store_records(journal, ("j", str(number).encode()))
            state.forget_sequences()
            state.lose_answers = int(lost)
            for number in range(9):
                value = f"new {number}"
                await store_records(journal, ("j", value.encode()))
                assert list_values(state) == {"j": value}


async def test_log_that_counts_the_opening_of_an_epoch_loses_nothing():
    # Guards against a first batch that gets the answer to the opening.
    async with run_owner() as (state, journal, _):
        state.counts_empty = True
        assert await journal.open_epoch()
        async with run_journal(journal):
            for value in ("open", "cancelled"):
                await store_records(journal, ("j", value.encode()))
                assert list_values(state) == {"j": value}


@pytest.mark.parametrize("delay_s", [0.2, 0.5])
@pytest.mark.parametrize("newer", [1, 4, 5, 6, 9])
async def test_late_append_does_not_undo_newer_ones(delay_s, newer):
    # Guards against an append without an answer that is carried out after the
    # cancel of its job, also when the log has forgotten the answer to it.
    async with run_owner() as (state, journal, _):
        assert await journal.open_epoch()
        state.late_appends = {TOPIC: [delay_s]}
        async with run_journal(journal):
            await store_records(journal, ("j", b"open"))
            for _ in range(newer):
                await store_records(journal, ("j", b"cancelled"))
            await anyio.sleep(delay_s)
            await store_records(journal, ("k", b"1"))
        assert list_values(state) == {"j": "cancelled", "k": "1"}


async def test_late_append_of_an_earlier_owner_is_not_carried_out():
    # Guards against the same by an owner that was replaced meanwhile.
    async with run_log() as (state, address):
        journal = make_journal(address, timeout_s=0.6)
        successor = make_journal(address, EPOCH + 1)
        assert await journal.open_epoch()
        async with run_journal(journal), run_journal(successor):
            state.late_appends = {TOPIC: [0.3]}
            batch = journal.add([("j", b"open")])
            await anyio.sleep(0.1)
            assert await successor.open_epoch()
            await store_records(successor, ("j", b"cancelled"))
            with anyio.fail_after(5):
                while not journal.fenced:
                    await anyio.sleep(0.01)
            assert not batch.stored.is_set()
            assert list_values(state) == {"j": "cancelled"}
        await journal.store.aclose()
        await successor.store.aclose()


@pytest.mark.parametrize(
    "answer",
    [
        interfaces.Appended(-1, -1),
        interfaces.Appended(-1, 4),
    ],
)
async def test_epoch_is_not_open_until_the_log_has_taken_it(answer):
    # Guards against an owner that loads the jobs while its predecessor can
    # still store, and acknowledge, a cancel.
    async with run_owner() as (state, journal, address):
        real, answers = journal.store.append, [answer] * 2

        async def append(*arguments):
            if answers:
                return result.Ok(answers.pop())
            return await real(*arguments)

        journal.store.append = append
        assert await journal.open_epoch()
        earlier = make_journal(address, EPOCH - 1)
        assert not await earlier.open_epoch()
        await earlier.store.aclose()


async def test_batch_is_not_stored_until_all_its_parts_are():
    # Guards against a cancel that is acknowledged while only the first part of
    # a large batch is stored.
    async with run_owner() as (state, journal, _):
        assert await journal.open_epoch()
        batch = journal.add([(key, b"v" * 200_000) for key in "abcdefg"])
        async with run_journal(journal):
            with anyio.fail_after(5):
                while not state.list_newest(TOPIC):
                    await anyio.sleep(0.001)
                state.down = True
                await anyio.sleep(0.1)
                stored = list(state.list_newest(TOPIC))
                assert stored == ["a", "b", "c", "d"]
                assert not batch.stored.is_set()
                state.down = False
                await batch.stored.wait()
        assert sorted(state.list_newest(TOPIC)) == list("abcdefg")
