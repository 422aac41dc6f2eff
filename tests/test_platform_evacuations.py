"""Evacuations of failure domains, on the stand-ins of the platform."""

import contextlib

import pytest

from plantainvane.jobs import clock
from plantainvane.jobs import intake
from plantainvane.jobs import metrics
from standins import platform_system
from tests import test_jobs_waits as waits_tests
from tests import test_platform_entries as entries

pytestmark = pytest.mark.anyio
# Time after which nothing is started in a domain that is evacuated, from the
# acknowledgement.
EVACUATE_BOUND_S = 5.0
IDS = tuple(f"5c0e7a21d94b36{n:02x}" for n in range(64))
lines = waits_tests.lines
wait_until = entries.wait_until


@pytest.fixture
def anyio_backend():
    return "asyncio"


def evacuate(system, domain, value=b"{}"):
    """Requests an evacuation, or takes it back without a value."""
    system.store.put("keyed.op", f"evacuate/{domain}", value)


@contextlib.asynccontextmanager
async def run_domains(count=2, **fields):
    """Runs `count` processes, and the runners `east` and `west`."""
    async with platform_system.run_system(entries=0, runners=0) as system:
        for domain in ("east", "west"):
            await platform_system.add_runner(
                system, domain, domain=domain, labels=(f"only-{domain}", "r1")
            )
        for number in range(count):
            await platform_system.add_entry(system, number, **fields)
        yield system


def list_held(system):
    """Returns the domains that each process holds as evacuated."""
    return [set(entry.evacuations.domains) for entry in system.entries]


async def wait_held(system, *domains):
    await wait_until(
        lambda: all(held == set(domains) for held in list_held(system)),
        EVACUATE_BOUND_S,
    )


async def run_job(system, job_id, expected=200, entry=None, **fields):
    """Submits a job; returns the reply."""
    body = platform_system.make_job(**fields)
    reply = await platform_system.call(
        entry or system.entries[0], "POST", job_id, body
    )
    assert reply.status_code == expected
    return reply


def list_used(system, before):
    """Returns the runners with starts that are not counted in `before`."""
    return {
        name
        for name, state in system.runners.items()
        if len(state.starts) > before[name]
    }


def count_starts(system):
    return {name: len(state.starts) for name, state in system.runners.items()}


async def check_used(system, job_id, *domains):
    """Checks that a job that needs room everywhere uses these domains."""
    before = count_starts(system)
    # One runner has room for 16 of them at a time.
    await run_job(system, job_id, count=24, Cpu=1000, run_ms=100)
    await platform_system.wait_state(system, job_id, "completed")
    assert list_used(system, before) == set(domains)


async def test_a_domain_that_was_evacuated_before_the_start_is_not_used():
    # Guards against processes that take only what comes while they run.
    async with platform_system.run_system(entries=0, runners=0) as system:
        evacuate(system, "west")
        for domain in ("east", "west"):
            await platform_system.add_runner(system, domain, domain=domain)
        for number in range(2):
            await platform_system.add_entry(system, number)
        await system.wait_owner()
        await check_used(system, IDS[0], "east")
        assert list_held(system) == [{"west"}] * 2
        # A runner that joins there is not used either.
        await platform_system.add_runner(system, "later", domain="west")
        await check_used(system, IDS[1], "east")


async def test_two_domains_in_turn_and_taken_back(lines):
    # Guards against a domain that goes on to be used or stays unused, and one
    # that replaces the other.
    async with run_domains() as system:
        await system.wait_owner()
        await check_used(system, IDS[0], "east", "west")
        evacuate(system, "west")
        await wait_held(system, "west")
        assert metrics.EVACUATED_DOMAINS._value.get() == 1
        await check_used(system, IDS[1], "east")
        evacuate(system, "west", None)
        evacuate(system, "east")
        await wait_held(system, "east")
        await check_used(system, IDS[2], "west")
        evacuate(system, "east", None)
        await wait_held(system)
        assert metrics.EVACUATED_DOMAINS._value.get() == 0
        await check_used(system, IDS[3], "east", "west")
        changes = waits_tests.find_lines(lines, "evacuation_changed")
        assert len(changes) == 2 * 4


async def test_what_runs_in_a_domain_goes_on_while_it_is_evacuated():
    # Guards against services that stop for an evacuation, and a lease there
    # that is no longer extended.
    async with run_domains() as system:
        await system.wait_owner()
        await run_job(
            system,
            IDS[0],
            count=4,
            run_ms=60_000,
            LongRunning=True,
            MaxPerServer=2,
        )
        west = system.runners["west"]
        await wait_until(lambda: len(west.running) == 2)
        evacuate(system, "west")
        await wait_held(system, "west")
        lease_until_ms = west.lease_until_ms
        await check_used(system, IDS[1], "east")
        await wait_until(lambda: west.lease_until_ms > lease_until_ms)
        assert len(west.running) == 2 and not west.ended


async def test_an_evacuation_holds_over_a_takeover():
    # Guards against a new owner that knows the runners but not the evacuation,
    # and starts again there what it inherits.
    async with run_domains(3) as system:
        owner = await system.wait_owner()
        await run_job(system, IDS[0], count=40, Cpu=1000, run_ms=400)
        west = system.runners["west"]
        await wait_until(lambda: west.starts)
        evacuate(system, "west")
        evacuated_at = clock.read_now()
        await system.kill(owner)
        await system.wait_owner(15.0)
        await wait_held(system, "west")
        assert clock.read_now() - evacuated_at < EVACUATE_BOUND_S
        before = count_starts(system)
        await platform_system.wait_state(system, IDS[0], "completed", 15.0)
        await check_used(system, IDS[1], "east")
        assert list_used(system, before) == {"east"}


async def test_an_evacuation_is_known_after_a_compaction():
    # Guards against records that were deleted before they were read: a domain
    # that was taken back stays unused, and a new one is used.
    async with run_domains(2) as system:
        owner = await system.wait_owner()
        evacuate(system, "east")
        await wait_held(system, "east")
        # Any other process would tell the owner.
        for entry in system.entries:
            if entry is not owner:
                await system.kill(entry)
        system.cut_from_log(owner)
        await wait_until(lambda: owner.sources.is_failing)
        evacuate(system, "east", None)
        evacuate(system, "west")
        system.store.compact("keyed.op")
        lists = system.store.calls["newest"]
        assert list_held(system) == [{"east"}]
        system.cuts.clear()
        await wait_held(system, "west")
        assert system.store.calls["newest"] > lists
        # A process that starts has nothing but the newest records.
        await platform_system.add_entry(system, 5)
        await wait_held(system, "west")
        await system.wait_owner()
        await check_used(system, IDS[0], "east")


async def test_an_owner_without_the_log_learns_it_from_a_peer(lines):
    # Guards against an owner that is cut off from the log and places tasks in
    # the domain for as long as that lasts.
    async with run_domains(3) as system:
        owner = await system.wait_owner()
        runner = owner.owner.runners["west"]
        system.cut_from_log(owner)
        evacuate(system, "west")
        evacuated_at = clock.read_now()
        await wait_until(lambda: runner.evacuated, EVACUATE_BOUND_S)
        assert clock.read_now() - evacuated_at < EVACUATE_BOUND_S
        sources = {
            line["source"]
            for line in waits_tests.find_lines(lines, "evacuation_changed")
        }
        assert len(sources) == 2 and "log" in sources


async def test_a_process_that_starts_without_the_log_learns_it_from_a_peer():
    # Guards against a process that serves and may take over, but knows only
    # the configuration.
    async with run_domains(2) as system:
        await system.wait_owner()
        evacuate(system, "west")
        await wait_held(system, "west")
        seeds = tuple(e.settings.peer_address for e in system.entries)
        system.cuts.add(("entry-7", "store"))
        entry = await platform_system.add_entry(system, 7, seeds=seeds)
        await wait_until(lambda: entry.configuration is not None)
        assert set(entry.evacuations.domains) == {"west"}


async def test_records_that_ask_for_nothing_change_nothing(lines):
    # Guards against a record by mistake that ends a process or a domain's use.
    async with run_domains() as system:
        await system.wait_owner()
        evacuate(system, "west", b"{")
        evacuate(system, "")
        key = b"evacuate/\xff"
        system.store.put_raw("keyed.op", bytes((len(key),)) + key + b"{}")
        evacuate(system, "nowhere")
        await wait_held(system, "nowhere")
        await check_used(system, IDS[0], "east", "west")
        malformed = waits_tests.find_lines(lines, "evacuation_malformed")
        assert len(malformed) == 3 * len(system.entries)
        (unknown,) = waits_tests.find_lines(lines, "evacuation_unknown")
        assert unknown["domain"] == "nowhere"


async def test_work_that_only_an_evacuated_domain_can_run_is_refused():
    # Guards against callers whose accepted job waits as long as the evacuation,
    # and against one that is refused for longer than that.
    async with run_domains(3) as system:
        owner = await system.wait_owner()
        evacuate(system, "west")
        await wait_held(system, "west")
        others = [entry for entry in system.entries if entry is not owner]
        # Standbys learn it with their next ping.
        await wait_until(lambda: all(entry.shut_out for entry in others))
        for entry, job_id in zip(system.entries, IDS, strict=False):
            reply = await run_job(
                system, job_id, 503, entry, RequiredLabel="only-west"
            )
            least_s = entry.settings.evacuated_retry_s
            assert int(reply.headers["Retry-After"]) >= least_s
            await run_job(system, IDS[9], 200, entry, RequiredLabel="only-east")
            reply = await platform_system.call(entry, "GET", job_id)
            assert reply.status_code == 410
        assert metrics.SUBMISSIONS.labels(
            intake.Outcome.SHUT_OUT.value
        )._value.get() >= len(system.entries)
        evacuate(system, "west", None)
        await wait_until(
            lambda: (
                not any(entry.shut_out for entry in others)
                and not owner.owner.shut_out
            )
        )
        for entry, job_id in zip(system.entries, IDS, strict=False):
            await run_job(system, job_id, 200, entry, RequiredLabel="only-west")
            await platform_system.wait_state(system, job_id, "completed")
