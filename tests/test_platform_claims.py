"""Odd claims by other writers.

Each session runs on the stand-ins; an exception in any process fails it.
"""

import anyio
import msgspec
import pytest

from plantainvane.jobs import ownership
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
