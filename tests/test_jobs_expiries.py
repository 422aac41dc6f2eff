"""Expiry of the leases on runners that do not answer."""

import pytest

from plantainvane.jobs import expiries as expiries_module
from tests import test_jobs_decisions as decisions


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


@pytest.mark.parametrize(
    "change", [{"silent": True}, {"expiry_promised": True}]
)
def test_lease_is_not_extended_on_a_runner_that_may_be_given_up(change):
    # Guards against an attempt that keeps running after the task was started
    # on another runner.
    runner = decisions.make_runner(clock_ms=1000, clock_read_at=1.0)
    until = runner.extend_lease(5.5, 1.0)
    for name, value in change.items():
        setattr(runner, name, value)
    assert runner.extend_lease(5.5, 4.0) == until
    for name in change:
        setattr(runner, name, False)
    assert runner.extend_lease(5.5, 4.0) == until + 3000
