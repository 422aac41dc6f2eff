"""Tests of plantainvane.keys: non-idempotent requests run at most once."""

import random
import types

import anyio
import msgspec
import pytest
import result

from plantainvane import keys
from plantainvane import outcomes
from plantainvane import records
from plantainvane import settings as settings_module

pytestmark = pytest.mark.anyio
WALL = 1_800_000_000.0
DONE = outcomes.Answer(outcomes.RequestOutcome.ANSWERED, b"done", "text/plain")
NOT_RUN = outcomes.Answer(outcomes.RequestOutcome.NOT_RUN)
UNKNOWN = outcomes.Answer(outcomes.RequestOutcome.UNKNOWN)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Log:
    """In-memory key stream; tables read new records only on deliver().

    While `reading` is True, each append delivers at once.
    """

    def __init__(self):
        self.records = []
        self.tables = []
        self.reading = True

    def add(self, record):
        # Encodes and decodes the record as the real stream does.
        encoded = msgspec.json.encode(record)
        self.records.append(
            msgspec.json.decode(encoded, type=records.KeyRecord)
        )
        if self.reading:
            self.deliver()
        return len(self.records) - 1

    def deliver(self):
        for table in self.tables:
            start = table.read
            table.read = len(self.records)
            entries = list(enumerate(self.records))[start:]
            if entries:
                table.apply_records(entries, 0.0)


class Writer:
    """Writer of one process with a fault mode.

    `mode` is one of
      ok: appends the record;
      down: fails without appending;
      lost: appends the record but loses the reply;
      late: fails, but release_held() appends the record later;
      silent: never returns.
    """

    def __init__(self, log, identity):
        self.log, self.identity = log, identity
        self.mode = "ok"
        self.sequence = 0
        self.held = []

    async def append(self, kind, **fields):
        self.sequence += 1
        record = kind(
            writer=self.identity.id,
            incarnation=self.identity.incarnation,
            sequence=self.sequence,
            **fields,
        )
        await anyio.sleep(0)
        if self.mode == "ok":
            return result.Ok(self.log.add(record))
        if self.mode == "lost":
            self.log.add(record)
        if self.mode == "late":
            self.held.append(record)
        if self.mode == "silent":
            await anyio.sleep_forever()
        failure = outcomes.CallFailure.LOST
        if self.mode == "down":
            failure = outcomes.CallFailure.UNREACHED
        return result.Err(outcomes.CallError(failure))

    def release_held(self):
        for record in self.held:
            self.log.add(record)
        self.held.clear()


def make_table(log, id, incarnation=1, window_s=600.0):
    settings = settings_module.Settings(
        id=id,
        domain="a",
        domains=("a",),
        listen=settings_module.Listen("1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"),
        platform=settings_module.Platform("1.1.1.1:4", "1.1.1.1:5"),
        keys=settings_module.Keys(window_s=window_s, claim_timeout_s=0.05),
    )
    identity = types.SimpleNamespace(id=id, incarnation=incarnation)
    table = keys.KeyTable(settings, identity, Writer(log, identity))
    table.writer = table._writer
    table.read = 0
    log.tables.append(table)
    log.deliver()
    return table


async def claim(table, key="k", issued=WALL, wall=WALL):
    claimed = await table.claim_key(key, issued, wall)
    return "won" if claimed.won else claimed.answer.outcome.value


async def settle(table):
    """Appends the finishes of a table until all are recorded."""
    table.writer.mode = "ok"
    while table.dump_state(0.0)["unrecorded_finishes"]:
        await table._append_finishes()
        table.writer.log.deliver()


async def test_one_of_many_simultaneous_claims_wins():
    log = Log()
    tables = [make_table(log, f"e{n}") for n in range(5)]
    log.reading = False
    results = []

    async def run(table):
        results.append(await claim(table))

    async with anyio.create_task_group() as group:
        for table in tables + tables:
            group.start_soon(run, table)
        while len(log.records) < 5:
            await anyio.sleep(0)
        log.deliver()
    assert sorted(results) == ["duplicate"] * 9 + ["won"]


async def test_answers_are_replayed_and_large_ones_named():
    log = Log()
    first, second = make_table(log, "e1"), make_table(log, "e2")
    assert await claim(first) == "won"
    assert await claim(second) == "duplicate"
    await first.finish_key("k", DONE)
    replayed = (await second.claim_key("k", WALL, WALL)).answer
    assert (replayed.body, replayed.content_type) == (b"done", "text/plain")
    large = msgspec.structs.replace(DONE, body=b"x" * 2049)
    assert await claim(first, "large") == "won"
    await first.finish_key("large", large)
    assert await claim(second, "large") == "duplicate"


async def test_not_run_frees_the_key():
    log = Log()
    first, second = make_table(log, "e1"), make_table(log, "e2")
    assert await claim(first) == "won"
    await first.finish_key("k", NOT_RUN)
    assert await claim(second) == "won"


async def test_a_dead_holder_keeps_its_key():
    # Guards against a second run after the holder died during the first run,
    # also when it restarts under the same id.
    log = Log()
    assert await claim(make_table(log, "e1")) == "won"
    again = make_table(log, "e1", incarnation=2)
    assert await claim(again) == "duplicate"
    await again.finish_key("k", NOT_RUN)
    assert await claim(make_table(log, "e2")) == "duplicate"


async def test_only_the_holder_finishes_and_only_its_claim():
    log = Log()
    table = make_table(log, "e1")
    assert await claim(table) == "won"

    def add_finish(writer, incarnation, offset):
        log.add(
            records.KeyFinish(
                writer=writer,
                incarnation=incarnation,
                sequence=90,
                key="k",
                claim_offset=offset,
                outcome="not_run",
            )
        )

    for forged in (("e2", 1, 0), ("e1", 2, 0), ("e1", 1, 1)):
        add_finish(*forged)
        assert await claim(make_table(log, "e3")) == "duplicate"
    add_finish("e1", 1, 0)
    assert await claim(make_table(log, "e4")) == "won"


@pytest.mark.parametrize("mode", ["down", "lost", "late", "silent"])
async def test_an_unconfirmed_claim_is_not_run_and_later_freed(mode):
    # Guards against running a request whose caller was told that it did not
    # run, and against a lost reply that blocks the key forever.
    log = Log()
    table, other = make_table(log, "e1"), make_table(log, "e2")
    table.writer.mode = mode
    with anyio.fail_after(1.0):
        assert await claim(table) == "not_run"
    table.writer.release_held()
    if mode in ("lost", "late"):
        assert await claim(other) == "duplicate"
        assert await claim(table) == "not_run"
    await settle(table)
    assert await claim(other) == "won"
    assert await claim(table) == "duplicate"


async def test_a_slow_stream_means_not_run():
    log = Log()
    table = make_table(log, "e1")
    log.reading = False
    assert await claim(table) == "not_run"
    log.reading = True
    log.deliver()
    await settle(table)
    assert await claim(make_table(log, "e2")) == "won"


async def test_a_failed_finish_is_repeated_not_forgotten():
    log = Log()
    table, other = make_table(log, "e1"), make_table(log, "e2")
    assert await claim(table) == "won"
    table.writer.mode = "down"
    await table.finish_key("k", DONE)
    assert await claim(other) == "duplicate"
    await settle(table)
    assert (await other.claim_key("k", WALL, WALL)).answer.body == b"done"


async def test_a_late_finish_does_not_free_a_newer_claim():
    # Guards against a delayed append that frees a key whose request runs again.
    log = Log()
    table, other = make_table(log, "e1"), make_table(log, "e2")
    assert await claim(table) == "won"
    table.writer.mode = "late"
    await table.finish_key("k", NOT_RUN)
    await settle(table)
    assert await claim(table) == "won"
    table.writer.release_held()
    assert await claim(other) == "duplicate"


async def test_a_repeated_record_does_not_claim_again():
    # Guards against a second claim by the copy of a record that was appended
    # again because its first append seemed lost.
    log = Log()
    table, other = make_table(log, "e1"), make_table(log, "e2")
    assert await claim(table) == "won"
    await table.finish_key("k", NOT_RUN)
    log.add(log.records[0])
    assert await claim(other) == "won"


async def test_old_keys_are_refused_and_forgotten():
    log = Log()
    table = make_table(log, "e1", window_s=100.0)
    assert await claim(table, "old", WALL - 100.1) == "not_run"
    assert await claim(table, "ahead", WALL + 5.1) == "not_run"
    for number in range(50):
        assert await claim(table, f"k{number}", WALL - 90) == "won"
        await table.finish_key(f"k{number}", DONE)
    table.prune_keys(WALL)
    assert table.dump_state(0.0)["keys"] == {"finished": 50}
    table.prune_keys(WALL + 16)
    assert table.dump_state(0.0)["keys"] == {}
    # A wall clock that is set back must not make forgotten keys claimable.
    assert await claim(table, "k1", WALL - 90, WALL) == "not_run"


class Session:
    """Several processes on one log with random faults, from a seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.log = Log()
        self.log.reading = False
        self.tables = [make_table(self.log, f"e{n}") for n in range(3)]
        self.ran = {}
        self.promised = set()
        self.incarnation = 1
        self.writers = [table.writer for table in self.tables]

    async def request(self, table, key):
        claimed = await table.claim_key(key, WALL, WALL)
        if not claimed.won:
            return
        ran = self.random.random() < 0.7
        if ran:
            self.ran[key] = self.ran.get(key, 0) + 1
        await anyio.sleep(self.random.random() * 0.003)
        if table in self.tables:  # Otherwise the process died.
            await table.finish_key(key, DONE if ran else NOT_RUN)

    def step(self, group):
        draw = self.random.random()
        table = self.random.choice(self.tables)
        if draw < 0.5:
            key = f"k{self.random.randrange(6)}"
            group.start_soon(self.request, table, key)
        elif draw < 0.7:
            table.writer.mode = self.random.choice(
                ["ok", "ok", "ok", "lost", "late", "down"]
            )
        elif draw < 0.8:
            # Delayed appends of dead processes may still arrive.
            self.random.choice(self.writers).release_held()
        elif draw < 0.85:
            group.start_soon(table._append_finishes)
        elif draw < 0.9:
            self.tables.remove(table)
            self.log.tables.remove(table)
            self.incarnation += 1
            id = table.writer.identity.id
            self.tables.append(make_table(self.log, id, self.incarnation))
            self.writers.append(self.tables[-1].writer)
        else:
            self.log.deliver()


@pytest.mark.parametrize("seed", range(12))
async def test_random_sessions_run_each_key_at_most_once(seed):
    session = Session(seed)
    async with anyio.create_task_group() as group:
        for _ in range(150):
            session.step(group)
            await anyio.sleep(0)
        for table in session.tables:
            table.writer.mode = "ok"
        with anyio.move_on_after(0.1):
            while True:
                session.log.deliver()
                await anyio.sleep(0.005)
        group.cancel_scope.cancel()
    assert session.ran and max(session.ran.values()) == 1
