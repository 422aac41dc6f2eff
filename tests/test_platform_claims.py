"""Odd claims, and odd messages of peers, by other writers and senders.

Each session runs on the stand-ins; an exception in any process fails it.
"""

import contextlib
import random

import anyio
import grpclib.client
import msgspec
import pytest

from plantainvane import events
from plantainvane import settings as product_settings
from plantainvane.jobs import ownership
from plantainvane.jobs import peers
from standins import platform_system
from tests import test_platform_entries as entries

pytestmark = pytest.mark.anyio
ID = entries.ID
_ADDRESSES = (
    *("", "x", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:" + "9" * 20),
    *("[fe80::1%a..b]:80", "10.0.0.9:80\r\nX: y", "\u4e2d:80"),
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_claim(epoch, address="127.0.0.1:9", sample=(), **fields):
    """Makes a claim that reports few runners."""
    claim = {
        "holder": "odd",
        "incarnation": 1,
        "address": address,
        "epoch": epoch,
        "reach": {
            "heard": 1,
            "silent": 9,
            "heard_sample": sample,
            "silent_sample": sample,
            **fields,
        },
    }
    return msgspec.json.encode(claim)


@pytest.mark.parametrize(
    "fields",
    [
        *({"sample": [["i", address]]} for address in _ADDRESSES),
        {"sample": [["i\r\nX: y", "127.0.0.1:9"]]},
        {"sample": [["", "127.0.0.1:9"]]},
        {"sample": [["i", "127.0.0.1:9"]] * 1000},
        {"heard": -1},
        {"silent": 10**400},
        {"heard": 1.5},
    ],
    ids=lambda fields: str(fields)[:40],
)
def test_a_claim_that_names_unusable_runners_is_none(fields):
    # Guards against an exception as a standby asks these runners, and against
    # a standby that asks any number of them.
    if set(fields) == {"sample"} and fields["sample"][0][0] == "i":
        sound = make_claim(3, sample=[["i", "127.0.0.1:9"]])
        assert ownership.decode_claim(sound, 5) is not None
    assert ownership.decode_claim(make_claim(3, **fields), 5) is None


@pytest.mark.parametrize("address", _ADDRESSES)
async def test_a_claim_with_an_odd_sample_ends_no_standby(address):
    # Guards against a report in the owner's name, by another writer, that ends
    # each standby as it compares what it hears.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner = await system.wait_owner()
        record = make_claim(
            owner.owner.epoch,
            owner.settings.peer_address,
            [["i-0", address], ["i-1", "127.0.0.1:9"]],
        )
        system.store.put("keyed.claims", ownership.KEY, record)
        await anyio.sleep(1.5)
        assert len(system.entries) == 3
        assert all(entry.group is not None for entry in system.entries)
        assert system.find_owner() is owner
        await entries.check_runs_job(system, "i-0", "i-1")


class RawCodec(peers._Codec):
    """Sends bytes as they are."""

    def encode(self, message, message_type):
        return message


async def send_raw(address, kind, content):
    """Sends bytes as a message of a peer; the answer does not matter."""
    host, port = product_settings.split_address(address)
    channel = grpclib.client.Channel(host, port, codec=RawCodec())
    method = grpclib.client.UnaryUnaryMethod(
        channel, f"/plantainvane.Jobs/{kind}", bytes, object
    )
    with anyio.move_on_after(1.0), contextlib.suppress(Exception):
        await method(content)
    channel.close()


def make_ping(
    address="127.0.0.1:9", epoch=0, version=1, may_own=True, capacity=1.0
):
    return msgspec.msgpack.encode([address, epoch, version, may_own, capacity])


_PINGS = {
    "later epoch": make_ping(epoch=2**50),
    "epoch of 64 bits": make_ping(epoch=2**64 - 1),
    "negative epoch": make_ping(epoch=-(2**63)),
    "epoch as text": make_ping(epoch="7"),
    "version of 64 bits": make_ping(version=2**64 - 1),
    "later version": make_ping(version=2**50),
    "infinite capacity": make_ping(capacity=float("inf")),
    "capacity that is no number": make_ping(capacity=float("nan")),
    "negative capacity": make_ping(capacity=-1.0),
    "capacity as text": make_ping(capacity="9"),
    "able peer without an address": make_ping(address="", capacity=64.0),
    "address with a header": make_ping("1.2.3.4:5\r\nX: y", capacity=64.0),
    "deep": b"\x95" * 100_000,
    "empty": b"",
}


@pytest.mark.parametrize("content", _PINGS.values(), ids=_PINGS.keys())
async def test_an_odd_ping_moves_no_owner(content, monkeypatch):
    # Guards against an owner that steps down, or hands over to nobody, because
    # of a number in a ping that no process of ours has sent.
    numbers = []
    monkeypatch.setattr(
        events, "log_event", lambda event, **_: numbers.append(event.number)
    )
    async with platform_system.run_system(
        entries=2, runners=1, abler_peer_wait_s=0.2, abler_peer_retry_s=0.2
    ) as system:
        owner = await system.wait_owner()
        ownership_before = owner.owner
        with anyio.move_on_after(1.5):
            while True:
                for entry in system.entries:
                    address = entry.settings.peer_address
                    await send_raw(address, "Ping", content)
                await anyio.sleep(0.1)
        assert owner.owner is ownership_before
        await entries.check_runs_job(system, "i-0")
        assert owner.owner is ownership_before
    offers = {events.ABLER_PEER_FOUND.number, events.RELEASE_FAILED.number}
    assert not offers & set(numbers)
    odd = (events.PEER_MESSAGE_MALFORMED.number, events.EPOCH_REFUTED.number)
    assert all(numbers.count(number) <= 2 for number in odd)


def make_odd_claim(choices, owner):
    """Makes a record of the claims topic with one odd value."""
    text = choices.choice([*entries._list_texts().values()])
    sound = make_claim(owner.epoch, sample=[["i-0", "127.0.0.1:9"]])
    field, _, rest = choices.choice(
        [
            (b'"holder":', b"", b'"odd"'),
            (b'"incarnation":', b"", b"1"),
            (b'"address":', b"", b'"127.0.0.1:9"'),
            (b'"epoch":', b"", str(owner.epoch).encode()),
            (b'"heard":', b"", b"1"),
            (b'"silent":', b"", b"9"),
            (b'"heard_sample":', b"", b'[["i-0","127.0.0.1:9"]]'),
        ]
    )
    assert field + rest in sound
    return choices.choice([text, sound.replace(field + rest, field + text)])


def make_odd_configuration(choices):
    """Makes a document of the operator with one odd value."""
    text = choices.choice([*entries._list_texts().values()])
    route = b'{"Name":"q","Host":"h","PathPrefix":"/q/","Attempts":2}'
    field, value = choices.choice(
        [
            (b'"Version":', b"1"),
            (b'"Routes":', b"[" + route + b"]"),
            (b'"Name":', b'"q"'),
            (b'"PathPrefix":', b'"/q/"'),
            (b'"Attempts":', b"2"),
        ]
    )
    sound = b'{"Version":1,"Routes":[' + route + b'],"Services":[]}'
    return choices.choice([text, sound.replace(field + value, field + text)])


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_odd_records_and_messages_of_all_kinds_end_no_process(seed):
    # Guards against anything that another writer or sender leaves among the
    # claims, the runners, the operator's documents or the messages of peers.
    choices = random.Random(seed)
    records = [*entries.list_odd_records()]
    async with platform_system.run_system(entries=3, runners=2) as system:
        for step in range(25):
            owner = (await system.wait_owner(15.0)).owner
            key = choices.choice([ownership.KEY, "odd"])
            claim = make_odd_claim(choices, owner)
            system.store.put("keyed.claims", key, claim)
            document = make_odd_configuration(choices)
            system.store.put("keyed.op", "config", document)
            entries.write_entry(system, f"odd-{step}", choices.choice(records))
            kind = choices.choice(["Ping", "Ask", "Fetch", "HandOver"])
            content = choices.choice(
                [*_PINGS.values(), choices.randbytes(choices.randrange(40))]
            )
            address = choices.choice(system.entries).settings.peer_address
            await send_raw(address, kind, content)
            await anyio.sleep(choices.uniform(0.0, 0.15))
        # The last claim may be sound but for its holder, and is replaced.
        await anyio.sleep(2.0)
        platform_system.write_configuration(system.store, version=100)
        owner = await system.wait_owner(15.0)
        await entries.check_is_followed(system, owner, "i-later")
        await entries.check_runs_job(system, "i-0", "i-1", "i-later")
        assert all(entry.group is not None for entry in system.entries)
