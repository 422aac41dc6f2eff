"""Expiry of the leases on runners that do not answer."""

import anyio
import msgspec
import pytest

from plantainvane.jobs import expiries as expiries_module
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import recovery
from plantainvane.jobs import state as state_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as scheduling


def test_remaining_time_is_handed_from_owner_to_owner():
    # Guards against a wait that starts again with each takeover.
    first = expiries_module.LeaseExpiries()
    first.promise("i-1", 25.0)
    second = expiries_module.LeaseExpiries()
    second.import_remaining_s(first.export_remaining_s(22.0), 11.0, 1000.0)
    assert second.find_expiry("i-1", 1011.0) == 1003.0
    third = expiries_module.LeaseExpiries()
    third.import_remaining_s(second.export_remaining_s(1002.0), 11.0, 50.0)
    assert third.find_expiry("i-1", 61.0) == 51.0


def test_unknown_runner_has_the_longest_wait():
    # Guards against a runner that counts as empty because no expiry was
    # promised for it.
    expiries = expiries_module.LeaseExpiries()
    assert expiries.find_expiry("i-1", 61.0) == 61.0


def test_past_expiry_stays_promised_until_it_is_withdrawn():
    # Guards against a lease that is extended although its expiry is stored.
    expiries = expiries_module.LeaseExpiries()
    expiries.promise("i-1", 25.0)
    assert expiries.export_remaining_s(30.0) == {"i-1": 0.0}
    expiries.withdraw("i-1")
    expiries.withdraw("i-1")
    assert expiries.export_remaining_s(30.0) == {}


def test_no_wait_is_longer_than_without_a_promise():
    # Guards against a stored value that delays tasks for a long time.
    expiries = expiries_module.LeaseExpiries()
    expiries.import_remaining_s({"i-1": 900.0}, 11.0, 50.0)
    assert expiries.find_expiry("i-1", 61.0) == 61.0


def test_no_promise_lies_in_the_past():
    # Guards against a malformed record after which attempts that may be running
    # on a silent runner are started elsewhere at once.
    expiries = expiries_module.LeaseExpiries()
    expiries.import_remaining_s({"i-1": -900.0}, 11.0, 50.0)
    assert expiries.find_expiry("i-1", 61.0) == 50.0


@pytest.mark.parametrize(
    "change", [{"silent": True}, {"expiry_promised": True}]
)
def test_lease_is_not_extended_on_a_runner_that_may_be_given_up(change):
    # Guards against an attempt that keeps running after the task was started
    # on another runner.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=1.0)
    until = runner.extend_lease(decisions.SETTINGS, 1.0)
    for name, value in change.items():
        setattr(runner, name, value)
    assert runner.extend_lease(decisions.SETTINGS, 4.0) == until
    for name in change:
        setattr(runner, name, False)
    # Its clock may have advanced by 2% less than 3 s.
    assert runner.extend_lease(decisions.SETTINGS, 4.0) == until + 2940


class _StoredRecords:
    """Adapters of an owner whose runners are entries, not encoded records."""

    decode_runner = staticmethod(lambda key, value: value)
    connect_runner = staticmethod(lambda address, key: None)


def list_stored_expiries(owner):
    """Returns the promises in the records that wait for the next append."""
    return [
        msgspec.json.decode(value)
        for key, value in owner.journal._open.records
        if key == state_module.EXPIRIES_KEY
    ]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize("has_orphans", [True, False])
async def test_last_promise_is_withdrawn_in_the_log_too(has_orphans):
    # Guards against a stored expiry that a successor applies to later leases:
    # it would start the tasks of a slow runner a second time.
    owner = scheduling.make_owner()
    owner.expiries.promise("gone", 8.0)
    if has_orphans:
        owner.orphans["gone"] = []
    owner_module._expire_orphans(owner, 9.0)
    for name, arguments in owner.group.started:
        with anyio.move_on_after(0.05):
            await getattr(state_module, name)(*arguments)
    assert list_stored_expiries(owner)[-1] == {}


def test_runner_that_returns_is_bound_until_its_promise_is_withdrawn():
    # Guards against leases that are extended before the log has dropped the
    # expiry on which a successor relies.
    owner = scheduling.make_owner()
    owner.adapters = _StoredRecords
    owner.expiries.promise("r", 8.0)
    owner_module._expire_orphans(owner, 9.0)
    recovery._apply_entry(owner, "r", decisions.make_runner("r").entry)
    assert owner.runners["r"].expiry_promised
