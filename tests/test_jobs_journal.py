"""Group commit to the log: lost replies, sequences, withdrawn records."""

import anyio
import pytest
import result

from plantainvane import outcomes
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from tests import test_jobs_decisions as decisions

pytestmark = pytest.mark.anyio
LOST = outcomes.CallError(outcomes.CallFailure.LOST, "no answer")
REFUSED = outcomes.CallError(outcomes.CallFailure.REFUSED, "status 503")


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeStore:
    """Answers appends from a list, then like a working log."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.appends = []
        self.end = 7

    async def append(
        self, topic, records, timeout_s, producer=None, expected_end=None
    ):
        await anyio.sleep(0)
        self.appends.append((producer.sequence, [key for key, _ in records]))
        answer = self.answers.pop(0) if self.answers else None
        if isinstance(answer, outcomes.CallError):
            return result.Err(answer)
        if answer is None:
            answer = interfaces.Appended(self.end, self.end + len(records))
            self.end = answer.end_offset
        return result.Ok(answer)


def make_journal(*answers):
    store = FakeStore(*answers)
    settings = decisions.SETTINGS
    journal = journal_module.Journal(
        settings, store, journal_module.Health(), "topic", "producer", 3
    )
    return journal, store


async def run_until_stored(journal, *batches):
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            for batch in batches:
                await batch.stored.wait()
        group.cancel_scope.cancel()


async def test_records_that_arrive_together_are_one_append():
    # Guards against one call to the log per record.
    journal, store = make_journal()
    batches = [journal.add([(key, b"v")]) for key in "abc"]
    await run_until_stored(journal, *batches)
    assert store.appends == [(0, ["a", "b", "c"])]
    assert journal.sequence == 1


async def test_lost_append_is_retried_with_its_sequence():
    # Guards against a record that is written twice or not at all.
    journal, store = make_journal(LOST, LOST)
    await run_until_stored(journal, journal.add([("a", b"v")]))
    assert store.appends == [(0, ["a"])] * 3
    assert (journal.sequence, journal.stalled_since) == (1, None)


async def test_sequence_expected_by_the_log_is_adopted():
    # Guards against a producer that is refused for ever because an append whose
    # reply was lost has advanced the sequence.
    behind = interfaces.Appended(-1, 0, next_sequence=5)
    journal, store = make_journal(behind)
    await run_until_stored(journal, journal.add([("a", b"v")]))
    assert store.appends == [(0, ["a"]), (5, ["a"])]
    assert journal.sequence == 6


async def test_append_is_stored_only_once_the_log_says_so():
    # Guards against an acknowledged record that the log does not hold. An
    # append that was carried out gets its first answer again, so another
    # sequence that is expected, also the next one, does not tell that it was.
    expected = interfaces.Appended(-1, 0, next_sequence=1)
    journal, store = make_journal(LOST, expected, LOST)
    await run_until_stored(journal, journal.add([("a", b"v")]))
    assert store.appends == [(0, ["a"])] * 2 + [(1, ["a"])] * 2
    assert journal.sequence == 2


async def test_higher_epoch_ends_the_journal():
    # Guards against a fenced owner that treats its records as stored.
    journal, _ = make_journal(interfaces.Appended(-1, 0, fenced=True))
    batch = journal.add([("a", b"v")])
    with anyio.fail_after(5):
        await journal.run()
    assert journal.fenced and not batch.stored.is_set()


async def test_record_is_withdrawn_only_while_certainly_not_written():
    # Guards against a job that is refused and stored nevertheless.
    record = ("a", b"v")
    journal, store = make_journal(REFUSED, LOST)
    batch = journal.add([record, ("b", b"v")])
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            while not store.appends:
                await anyio.sleep(0)
            # The append was refused, so the record can be withdrawn.
            while not journal.withdraw(batch, record):
                await anyio.sleep(0.001)
            while len(store.appends) < 2 or batch.sent is False:
                await anyio.sleep(0.001)
            assert not journal.withdraw(batch, ("b", b"v"))
            await batch.stored.wait()
        group.cancel_scope.cancel()
    assert store.appends[1:] == [(0, ["b"])] * 2


async def test_append_without_records_left_is_not_sent():
    # Guards against an empty append, whose only effect is to set the epoch.
    record = ("a", b"v")
    journal, store = make_journal(REFUSED)
    batch = journal.add([record])
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            while not store.appends:
                await anyio.sleep(0)
            while not journal.withdraw(batch, record):
                await anyio.sleep(0.001)
            await batch.stored.wait()
        group.cancel_scope.cancel()
    assert len(store.appends) == 1
    assert (journal.sequence, journal.stalled_since) == (0, None)


async def test_large_batches_are_split_below_the_limit_of_a_request():
    # Guards against an append that the log rejects because of its size.
    journal, store = make_journal()
    records = [(key, b"v" * 400_000) for key in "abcde"]
    await run_until_stored(journal, journal.add(records))
    assert store.appends == [(0, ["a", "b"]), (1, ["c", "d"]), (2, ["e"])]


async def test_no_record_of_a_batch_of_which_a_part_is_stored_is_withdrawn():
    # Guards against a job that is refused although it is stored, and runs, as
    # the log refused a later part of its batch.
    journal, store = make_journal(None, REFUSED, REFUSED)
    records = [(key, b"v" * 400_000) for key in "abc"]
    batch = journal.add(records)
    withdrawn = False
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            while not (batch.stored.is_set() or withdrawn):
                if len(store.appends) > 1:
                    withdrawn = journal.withdraw(batch, records[0])
                await anyio.sleep(0.001)
        group.cancel_scope.cancel()
    assert not withdrawn
    assert [keys for _, keys in store.appends] == [["a", "b"]] + [["c"]] * 3


async def test_records_are_collected_right_before_the_append():
    # Guards against stored progress that is older than its append.
    journal, store = make_journal()
    stored = []
    journal.collect = lambda: [("late", b"v")]
    journal.on_stored = lambda: stored.append(True)
    await run_until_stored(journal, journal.add([]))
    assert store.appends == [(0, ["late"])]
    assert stored == [True]


def test_outage_lasts_from_its_first_failure_to_the_next_answer():
    # Guards against an outage whose start moves with each failed call.
    health = journal_module.Health()
    health.record_failure("x", 10.0)
    health.record_failure("x", 12.0)
    assert health.failing_since == 10.0
    health.record_success(0.02, 13.0)
    assert (health.failing_since, health.regained_at) == (None, 13.0)
    assert health.answered_at == 13.0


@pytest.mark.parametrize(
    ("latency_s", "timeout_s"), [(0.01, 0.6), (0.2, 1.2), (2.0, 2.5)]
)
def test_slow_log_gets_more_time_up_to_a_limit(latency_s, timeout_s):
    # Guards against a slow log whose replies all come after the time-out.
    health = journal_module.Health(latency_s=latency_s)
    chosen = health.choose_timeout(decisions.SETTINGS)
    assert chosen == pytest.approx(timeout_s)
