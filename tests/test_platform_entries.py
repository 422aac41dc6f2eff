"""Odd entries that another writer leaves among those of the runners.

Each session runs on the stand-ins; an exception in any process fails it.
"""

import gzip
import json
import random

import anyio
import msgspec
import pytest

from plantainvane.jobs import clock
from plantainvane.jobs import metrics
from plantainvane.jobs import runners
from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
# The list is polled every 0.2 s; the rest is for a busy machine.
FOLLOW_LIMIT_S = 2.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_until(condition, limit_s=5.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


def make_entry(**fields):
    """Makes an entry that nothing is wrong with, except for `fields`."""
    entry = {
        "Service": platform_system.SERVICE,
        "Address": "127.0.0.1:9",
        "Zone": "east",
        "State": "ready",
        "born": clock.read_wall_ms(),
        "ClockMs": 1000,
        "Capacity": {"Cpu": 16_000, "MemMb": 64_000, "Gpu": 0},
        "Labels": ["a", "r1-1"],
        **fields,
    }
    return msgspec.json.encode(entry)


def write_entry(system, key, content):
    system.store.put("keyed.servers", key, content)


async def check_is_followed(system, owner, runner_id):
    """Checks that the owner uses a runner whose entry is written now."""
    await platform_system.add_runner(system, runner_id)
    await wait_until(
        lambda: (
            runner_id in owner.owner.runners
            and owner.owner.runners[runner_id].fenced
        ),
        FOLLOW_LIMIT_S,
    )


async def check_runs_job(system, *runner_ids):
    """Checks that a job completes, on these runners only."""
    body = platform_system.make_job(count=4)
    reply = await platform_system.call(system.entries[0], "POST", ID, body)
    assert reply.status_code == 200
    await platform_system.wait_state(system, ID, "completed")
    used = {r.id for r in system.runners.values() if r.starts}
    assert used <= set(runner_ids)


@pytest.mark.parametrize(
    "address",
    [
        "[fe80::1%a..b]:80",
        "[fe80::1%" + "a" * 80 + "]:80",
        "fe80::1%" + "\u00e9" * 70 + ":80",
        "[fe80::1%eth0]:80",
    ],
    ids=["empty label", "long label", "not ascii", "usual zone"],
)
async def test_an_entry_with_an_address_zone_ends_no_process(address):
    # Guards against an address that raises an exception at the first poll: the
    # entry stays in the list, so it would end each successor as well.
    async with platform_system.run_system(entries=2, runners=1) as system:
        owner = await system.wait_owner()
        write_entry(system, "odd", make_entry(Address=address))
        await check_is_followed(system, owner, "i-later")
        await check_runs_job(system, "i-0", "i-later")
        assert system.find_owner() is owner
        assert "odd" not in owner.owner.runners


def make_record(key, value):
    return bytes((len(key),)) + key + value


@pytest.mark.parametrize(
    "key",
    [b"i-\xff", b"\xed\xa0\x80", b"\xfe" * 255],
    ids=["byte", "surrogate", "long"],
)
async def test_an_owner_recovers_beside_a_key_that_is_not_utf_8(key):
    # Guards against a list that is refused for one of its keys: no process
    # could recover before the entry has left the list.
    async with platform_system.run_system(entries=0, runners=1) as system:
        for topic in ("keyed.servers", "keyed.op", "keyed.claims"):
            system.store.put_raw(topic, make_record(key, make_entry()))
        await platform_system.add_entry(system, 0)
        owner = await system.wait_owner()
        assert list(owner.owner.runners) == ["i-0"]
        await check_is_followed(system, owner, "i-later")
        await check_runs_job(system, "i-0", "i-later")


@pytest.mark.parametrize("text", ["abc", "\u00e9\u00e9\u00e9\u00e9"])
async def test_an_owner_recovers_beside_a_value_that_is_not_base64(text):
    # Guards against an exception for one bad item, which ends each process
    # that reads the list.
    async with platform_system.run_system(entries=0, runners=1) as system:
        write_entry(system, "odd", make_entry())
        system.store.broken_values["odd"] = text
        await platform_system.add_entry(system, 0)
        owner = await system.wait_owner()
        assert list(owner.owner.runners) == ["i-0"]
        await check_is_followed(system, owner, "i-later")


# Longer than a lease, which a runner at a wrong address would not get renewed.
OUTLASTS_LEASE_MS = 7000


@pytest.mark.parametrize(
    "fields", [{}, {"born": 5}], ids=["later born", "earlier born"]
)
async def test_an_entry_with_another_address_moves_no_runner_that_answers(
    fields,
):
    # Guards against a live runner that gets no leases, so that its tasks end,
    # because another writer names another address for it.
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = (await system.wait_owner()).owner
        body = platform_system.make_job(count=2, run_ms=OUTLASTS_LEASE_MS)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await wait_until(lambda: len(system.list_starts()) == 2)
        await wait_until(lambda: owner.runners["i-0"].renewed_at)
        runner = owner.runners["i-0"]
        write_entry(system, "i-0", make_entry(**fields))
        await platform_system.wait_state(system, ID, "completed", 12.0)
        assert len(system.list_starts()) == 2
        assert owner.runners["i-0"] is runner
        assert owner.moved_entries == {}


@pytest.mark.parametrize("silent", [False, True])
async def test_a_runner_that_moved_is_used_at_its_new_address(silent):
    # Guards against a runner that is ignored after a restart elsewhere, whether
    # its old address refuses calls or does not answer them.
    async with platform_system.run_system(entries=1, runners=1) as system:
        owner = (await system.wait_owner()).owner
        old = system.runners["i-0"]
        old.silent, old.id = silent, "i-0-old"
        await platform_system.add_runner(system, "i-0")
        new = system.runners["i-0"]
        await wait_until(
            lambda: owner.runners["i-0"].entry.address == new.address,
            FOLLOW_LIMIT_S,
        )
        await wait_until(lambda: owner.runners["i-0"].fenced, FOLLOW_LIMIT_S)
        await check_runs_job(system, "i-0")


_NUMBERS = (
    *(b"1" * 400, b"1" * 100_000, b"1e400", b"1e-400", b"-0", b"NaN"),
    *(b"-5", b"0", b"-9007199254740992", b"null", b'"7"', b"[]"),
)
_ADDRESSES = (
    *("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:" + "9" * 20, "", ":"),
    *("nowhere.invalid:80", "224.0.0.1:80", "0.0.0.0:80", "[::]:80", "]::1[:9"),
    *("\ufeff127.0.0.1:80", "fe80::1%a..b:80", "127.0.0.1:9", "[::1]:9"),
)
_LABELS = (["x"] * 10_000, [1, None], ["\0"], [""], [], ["\u4e2d" * 1000])
_KEYS = (
    *(b"", b"k" * 255, b"\xff\xfe", b"a b", b"a\r\nX: y", b"a/../b", b"%41"),
    *(b"i-0\0", b"odd-1", b"odd-2", b"odd-3", b"odd-4"),
)
_NUMBER_FIELDS = (b'"Cpu":16000', b'"MemMb":64000', b'"ClockMs":1000')
_DEEP = b'{"X":' + b"[" * 200_000 + b"]" * 200_000 + b"}"


def make_odd_entry(choices):
    """Makes an entry that cannot be read, or that names no runner."""
    kind = choices.randrange(6)
    entry = make_entry(
        Address=choices.choice(_ADDRESSES),
        Labels=choices.choice(_LABELS) if kind == 0 else ["r1-1"],
        State=choices.choice(["ready", "draining", "odd", ""]),
    )
    if kind == 1:
        field = choices.choice(_NUMBER_FIELDS)
        name = field.partition(b":")[0]
        return entry.replace(field, name + b":" + choices.choice(_NUMBERS))
    if kind == 2:
        return choices.choice([_DEEP, b"\xff" * 200_000, b"{", b"\xef\xbb\xbf"])
    if kind == 3:
        return entry.replace(b'"east"', b'"\\ud800"')
    if kind == 4:
        return entry[: choices.randrange(len(entry))]
    return entry


@pytest.mark.parametrize("seed", [1, 2])
async def test_odd_entries_of_every_kind_change_nothing(seed):
    # Guards against any odd entry that ends a process, before its start or
    # later, that stops the list, or that gets a task.
    choices = random.Random(seed)

    def write_odd(count):
        for _ in range(count):
            record = make_record(choices.choice(_KEYS), make_odd_entry(choices))
            system.store.put_raw("keyed.servers", record)

    async with platform_system.run_system(entries=0, runners=2) as system:
        write_odd(40)
        for number in range(2):
            await platform_system.add_entry(system, number)
        owner = await system.wait_owner()
        for _ in range(10):
            write_odd(5)
            await anyio.sleep(0.1)
        # Under the id of a runner that is alive, too.
        for _ in range(10):
            record = make_record(b"i-0", make_odd_entry(choices))
            system.store.put_raw("keyed.servers", record)
        # A runner writes about once a second, also if a poll was late here.
        platform_system.write_entry(system, system.runners["i-0"])
        await check_is_followed(system, owner, "i-later")
        await check_runs_job(system, "i-0", "i-1", "i-later")
        assert system.find_owner() is owner
        known = owner.owner.runners
        assert not any(r.runs for r in known.values())
        assert len(known) <= len(_KEYS) + 3
        sound = {"i-0", "i-1", "i-later"}
        await wait_until(
            lambda: sound == {k for k, r in known.items() if r.fenced}
        )


def _replace_field(name, text):
    """Returns a sound entry in which the value of a field is `text`."""
    entry = msgspec.json.decode(make_entry(Machine="m"))
    parts = [
        json.dumps(key).encode()
        + b":"
        + (text if key == name else msgspec.json.encode(value))
        for key, value in entry.items()
    ]
    return b"{" + b",".join(parts) + b"}"


def _list_texts():
    """Lists JSON values, and texts that are none, by what is odd in them."""
    return {
        "missing": b"null",
        "empty": b'""',
        "text": b'"1733400000000"',
        "number": b"7",
        "truth": b"true",
        "array": b"[[]]",
        "object": b'{"Cpu":"x","MemMb":[]}',
        "nan": b"NaN",
        "infinity": b"-Infinity",
        "negative": b"-5",
        "fraction": b"1.5",
        "exponent": b"1e400",
        "64 bits": b"18446744073709551616",
        "400 digits": b"9" * 400,
        "100,000 digits": b"9" * 100_000,
        "surrogate": b'"\\ud800"',
        "bytes": b'"\xff\xfe"',
        "control": b'"a\\r\\nX: y\\u0000"',
        "long": b'"' + b"x" * 250_000 + b'"',
        "deep": b"[" * 120_000 + b"]" * 120_000,
        "broken": b'"',
    }


def list_odd_records():
    """Lists odd records of every kind."""
    texts = _list_texts().values()
    records = [
        _replace_field(field, text)
        for field in msgspec.json.decode(make_entry(Machine="m"))
        for text in texts
    ]
    for text in texts:
        amounts = b'{"Cpu":' + text + b',"MemMb":64000,"Gpu":' + text + b"}"
        records += [_replace_field("Capacity", amounts), text]
    for port in ("0", "65536", "9" * 20, "-1", "8 0", "\u0665"):
        records.append(make_entry(Address=f"127.0.0.1:{port}"))
    sound = make_entry()
    twice = b',"Address":"127.0.0.1:65536","born":"x"}'
    return [
        *records,
        sound[:-1] + twice,
        make_entry(State="odd"),
        make_entry(Service="odd"),
        _DEEP,
        bytes(range(256)) * 4,
        gzip.compress(sound),
        sound + sound,
        b"\xef\xbb\xbf" + sound,
        sound.decode().encode("utf-16"),
        sound + b" " * (262_000 - len(sound)),
    ]


@pytest.mark.parametrize("takeover", [False, True])
async def test_each_kind_of_odd_record_is_borne_beside_running_tasks(takeover):
    # Guards against an odd record that ends a process, that stops the list,
    # that gets a task, or that disturbs what runs, also at a takeover.
    async with platform_system.run_system(entries=2, runners=2) as system:
        first = await system.wait_owner()
        body = platform_system.make_job(
            count=4, run_ms=60_000, LongRunning=True, MaxPerServer=2
        )
        lasting = ID[::-1]
        await platform_system.call(system.entries[0], "POST", lasting, body)
        await wait_until(lambda: len(system.list_starts()) == 4)
        for number, record in enumerate(list_odd_records()):
            write_entry(system, f"odd-{number}", record)
        if takeover:
            await system.kill(first)
        owner = await system.wait_owner()
        await check_is_followed(system, owner, "i-later")
        await check_runs_job(system, *system.runners)
        assert system.find_owner() is owner
        known = owner.owner.runners
        sound = {"i-0", "i-1", "i-later"}
        await wait_until(
            lambda: sound == {k for k, r in known.items() if r.fenced}
        )
        assert not any(r.runs for k, r in known.items() if k not in sound)
        starts = [s for s in system.list_starts() if s[0].startswith(lasting)]
        assert len(starts) == 4
        running = [k for r in system.runners.values() for k in r.running]
        assert sum(name.startswith(lasting) for name in running) == 4


def _count_polls():
    """Returns the number of polls that failed in this process."""
    samples = metrics.RUNNER_POLLS.collect()[0].samples
    return sum(
        s.value
        for s in samples
        if s.name.endswith("_total") and s.labels["outcome"] != "done"
    )


def is_fenced(owner, runner_id):
    runner = owner.runners.get(runner_id)
    return runner is not None and runner.fenced


async def _wait_odd(owner, number):
    await wait_until(
        lambda: sum(r.silent for r in owner.runners.values()) >= number
    )


@pytest.mark.parametrize("rewritten", [False, True])
async def test_entries_to_which_nobody_answers_cost_little(
    rewritten, monkeypatch
):
    # Guards against a cost that grows with the entries that another writer
    # leaves, or writes again and again, and against an owner that reports that
    # it hears few runners because of those that were left.
    monkeypatch.setattr(runners, "_ENTRY_AGE_S", 0.5)
    async with platform_system.run_system(entries=1, runners=2) as system:
        owner = (await system.wait_owner()).owner
        for number in range(300):
            write_entry(system, f"odd-{number}", make_entry())
        await _wait_odd(owner, 300)
        # Those that were written just now have their turn within 2 s.
        await anyio.sleep(3.0)
        before = _count_polls()
        for _ in range(4):
            await anyio.sleep(0.5)
            for number in range(300) if rewritten else ():
                write_entry(system, f"odd-{number}", make_entry())
        # One poll each 0.8 s, or each 0.4 s where calls are refused, would be
        # 750 to 1500.
        assert _count_polls() - before <= (500 if rewritten else 100)
        assert rewritten or owner.reach is None


@pytest.mark.parametrize("heard", [False, True])
async def test_a_silent_runner_is_found_soon_beside_odd_entries(
    heard, monkeypatch
):
    # Guards against a runner that waits for its turn behind odd entries after
    # it answers again. One that was never heard writes its entry.
    monkeypatch.setattr(runners, "_ENTRY_AGE_S", 0.5)
    async with platform_system.run_system(entries=1, runners=2) as system:
        owner = (await system.wait_owner()).owner
        for number in range(300):
            write_entry(system, f"odd-{number}", make_entry())
        await _wait_odd(owner, 300)
        await platform_system.add_runner(system, "i-late", silent=not heard)
        late = system.runners["i-late"]
        if heard:
            await wait_until(lambda: is_fenced(owner, "i-late"))
            late.silent = True
            # An idle runner is polled every 2 s.
            owner.runners["i-late"].require_poll()
        await _wait_odd(owner, 301)
        await anyio.sleep(3.0)
        late.silent = False
        if not heard:
            platform_system.write_entry(system, late)
        await wait_until(lambda: is_fenced(owner, "i-late"), 1.6)


@pytest.mark.parametrize(
    "fields",
    [
        {"Capacity": {"Cpu": 900_000, "MemMb": 900_000, "Gpu": 90}},
        {"Service": "odd"},
        {"Labels": ["odd"]},
        {"State": "draining"},
    ],
    ids=lambda fields: next(iter(fields)),
)
@pytest.mark.parametrize("born", [5, None], ids=["earlier", "later"])
async def test_a_new_owner_starts_nothing_on_the_word_of_another_incarnation(
    fields, born
):
    # Guards against starts over the capacity or on a wrong service, and against
    # attempts that end, because the newest entry of a runner at a takeover is
    # by another writer, or of an earlier incarnation.
    async with platform_system.run_system(entries=2, runners=1) as system:
        first = await system.wait_owner()
        body = platform_system.make_job(
            count=2, measured=True, run_ms=60_000, LongRunning=True, Cpu=6000
        )
        lasting = ID[::-1]
        await platform_system.call(system.entries[0], "POST", lasting, body)
        runner = system.runners["i-0"]
        await wait_until(lambda: len(runner.starts) == 2)
        # A runner's own second start would name a later time as well.
        born = clock.read_wall_ms() + 60_000 if born is None else born
        odd = make_entry(Address=runner.address, born=born, **fields)
        write_entry(system, "i-0", odd)
        await system.kill(first)
        owner = await system.wait_owner()
        body = platform_system.make_job(count=4, measured=True, Cpu=6000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        await anyio.sleep(1.0)
        assert len(runner.starts) == 2
        assert len(runner.running) == 2
        assert not owner.owner.runners["i-0"].listed
        body = platform_system.make_job(count=1, measured=True, Cpu=500)
        other = "0123456789abcdef"
        await platform_system.call(system.entries[0], "POST", other, body)
        platform_system.write_entry(system, runner)
        await platform_system.wait_state(system, other, "completed")
        assert len(runner.running) == 2
        assert not runner.overruns
