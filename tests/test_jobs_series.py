"""Owners that follow each other before the leases on a runner have expired."""

import pytest
import result

from plantainvane.jobs import clock
from plantainvane.jobs import expiries as expiries_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import ownership
from plantainvane.jobs import recovery
from plantainvane.jobs import state as state_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_recovery as restored
from tests import test_jobs_scheduling as scheduling

pytestmark = pytest.mark.anyio
LIMIT_S = decisions.SETTINGS.old_lease_limit_s
# Time from a claim to the end of the recovery, and from the loss of an owner to
# the next claim.
RECOVERY_S = 0.3
GAP_S = 2.2
# A standby sees a claim this long after it was made.
SIGHT_S = 1.0
SWEEP_S = 1.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Log:
    """Newest records by topic and key, for owners that are not connected."""

    runners_topic = "runners"
    decode_runner = staticmethod(lambda key, value: value)
    connect_runner = staticmethod(lambda address, key: None)

    def __init__(self):
        job, progress = restored.make_records("gone")
        self.store = self
        self.topics = {
            state_module.JOBS_TOPIC: {"j": job},
            state_module.PROGRESS_TOPIC: {"j": progress},
            self.runners_topic: {},
        }

    async def list_newest(self, topic, *unused):
        records = tuple(
            (0, key, value) for key, value in self.topics[topic].items()
        )
        return result.Ok(interfaces.Page(records, 0, 0))

    def take_records(self, owner):
        """Stores what waits for the next append of the owner."""
        for key, value in owner.journal._open.records:
            self.topics[state_module.PROGRESS_TOPIC][key] = value
        owner.journal._open.records.clear()


class Process:
    """An entry process whose clock cannot be compared with any other."""

    def __init__(self, number, time, monkeypatch):
        self.offset, self.time = 1000.0 * number, time
        self.ownership = ownership.Ownership()
        self.monkeypatch = monkeypatch

    def read_now(self):
        return self.offset + self.time[0]

    def see_claim(self, epoch, at):
        claim = ownership.encode_claim(ownership.Claim("a", 1, "a:1"))
        self.ownership.apply_record(epoch, claim, self.offset + at)

    async def recover(self, log, epoch):
        """Returns the owner of an epoch, which was claimed just now."""
        self.monkeypatch.setattr(clock, "read_now", self.read_now)
        owner = scheduling.make_owner()
        owner.epoch, owner.started_at = epoch, self.read_now()
        owner.adapters = log
        owner.claims_seen = self.ownership.seen_at
        self.time[0] += RECOVERY_S
        await recovery.recover(owner)
        owner_module.settle_orphans(owner, self.read_now())
        log.take_records(owner)
        return owner

    def sweep(self, log, owner):
        """Returns whether a task is ready after a sweep of its owner."""
        owner_module._expire_orphans(owner, self.read_now())
        log.take_records(owner)
        return bool(owner.table.ready)


async def run_series(lifetimes, monkeypatch, log=None, sees=True, at_claim=()):
    """Runs owners one after the other; returns when the task became ready.

    The last one is not lost. The first claim is made at time 0. `at_claim`
    holds functions by epoch, called with the log and the owner.
    """
    log, time = log or Log(), [0.0]
    count = len(lifetimes) + 1
    processes = [Process(n, time, monkeypatch) for n in range(count)]
    for epoch, process in enumerate(processes):
        claimed_at = time[0]
        for other in processes[epoch:] if sees else (process,):
            sight_s = 0.0 if other is process else SIGHT_S
            other.see_claim(epoch, claimed_at + sight_s)
        owner = await process.recover(log, epoch)
        dict(at_claim).get(epoch, lambda *unused: None)(log, owner)
        if owner.table.ready:
            return time[0]
        last = epoch == count - 1
        lost_at = claimed_at + (1000.0 if last else lifetimes[epoch])
        while time[0] + SWEEP_S < lost_at:
            time[0] += SWEEP_S
            if process.sweep(log, owner):
                return time[0]
        time[0] = max(time[0], lost_at) + GAP_S
    return None


@pytest.mark.parametrize("lifetime_s", [0.5, 1.0, 1.4, 2.0, 3.0])
@pytest.mark.parametrize("owners", [1, 2, 5, 20])
async def test_owners_in_series_do_not_begin_a_wait_anew(
    lifetime_s, owners, monkeypatch
):
    # Guards against a long-running task that waits for as long as owners are
    # lost one after the other, each before the wait of a full lease has ended.
    ready_at = await run_series([lifetime_s] * owners, monkeypatch)
    # The wait may end while there is no owner.
    takeover_s = SWEEP_S + GAP_S + RECOVERY_S
    assert LIMIT_S <= ready_at <= LIMIT_S + SIGHT_S + takeover_s


@pytest.mark.parametrize("owners", [1, 2, 5])
async def test_owners_that_did_not_see_a_claim_wait_longer_not_shorter(
    owners, monkeypatch
):
    # Guards against a second start: a process that has just started knows only
    # the remaining time, which does not tell when it was stored.
    ready_at = await run_series([3.0] * owners, monkeypatch, sees=False)
    assert ready_at >= LIMIT_S


@pytest.mark.parametrize("lifetimes", [[3.0] * 6, [0.5, 3.0, 0.5, 3.0]])
async def test_wait_begins_anew_after_an_owner_that_extended_a_lease(
    lifetimes, monkeypatch
):
    # Guards against a second start: the runner came back for an owner of the
    # series, which withdrew the promise and renewed its leases.
    def withdraw(log, owner):
        owner.expiries.withdraw("gone")
        state_module.store_expiries(owner, owner.started_at)
        log.take_records(owner)
        owner.orphans.clear()
        claims.append(time_of_claim(owner))

    claims = []

    def time_of_claim(owner):
        return owner.started_at - 1000.0 * owner.epoch

    ready_at = await run_series(lifetimes, monkeypatch, at_claim={1: withdraw})
    next_claim_at = claims[0] + lifetimes[1] + GAP_S
    assert ready_at >= next_claim_at + LIMIT_S


def test_promise_of_an_unknown_epoch_counts_from_the_present_owner():
    # Guards against a second start after a promise that names an epoch which no
    # process has claimed.
    owner = scheduling.make_owner()
    owner.claims_seen = {3: 10.0}
    owner.started_at = 50.0
    assert owner.find_lease_limit(4) == 50.0 + LIMIT_S
    assert owner.find_lease_limit(2) == 10.0 + LIMIT_S


def test_promise_of_a_silent_runner_does_not_count_from_its_own_owner():
    # Guards against a second start: the owner that promises it has extended the
    # leases itself, after its claim.
    runner = decisions.make_runner(silent=True, silent_since=0.0)
    owner = scheduling.make_owner(runner)
    leases.promise_expiry(owner, runner, 30.0, 20.0)
    assert owner.expiries.since == {"r": owner.epoch + 1}


def test_epoch_of_a_promise_ends_with_it():
    # Guards against a later promise that counts from the claim of an earlier
    # one, while leases were extended between them.
    first = expiries_module.LeaseExpiries()
    first.promise("r", 20.0, 3)
    first.withdraw("r")
    first.promise("r", 40.0)
    second = expiries_module.LeaseExpiries()
    second.import_remaining_s(
        first.export_remaining_s(30.0), 11.0, 100.0, lambda since: 101.0
    )
    assert second.expires_at == {"r": 110.0}


def test_promise_that_the_last_release_has_stored_has_no_epoch():
    # Guards against a second start while processes of two releases take over
    # from each other: the last release takes the epoch for a remaining time.
    first = expiries_module.LeaseExpiries()
    first.promise("r", 20.0, 17)
    stored = first.export_remaining_s(14.0)
    assert stored["r"] == 6.0
    stored = {key: max(0.0, min(s, 10.9)) for key, s in stored.items()}
    second = expiries_module.LeaseExpiries()
    second.import_remaining_s(stored, 11.0, 100.0, lambda since: 101.0)
    assert second.expires_at == {"r": 106.0} and not second.since


def test_claims_that_are_kept_are_bounded():
    # Guards against memory that grows with each takeover.
    known = ownership.Ownership()
    claim = ownership.encode_claim(ownership.Claim("a", 1, "a:1"))
    for epoch in range(1000):
        known.apply_record(epoch, claim, float(epoch))
    assert len(known.seen_at) < 100 and 999 in known.seen_at
