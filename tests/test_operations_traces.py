"""The three traces of docs/OPERATIONS.md, and reports of unusable input.

Each of the first three tests makes a request fail on the stand-ins and follows
the page from the request's id to the cause, using log lines only.
"""

import anyio
import eliot
import pytest

from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "2b2732516fc068a9"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def lines():
    """Collects the log lines of all processes of the deployment."""
    written = []
    eliot.add_destinations(written.append)
    yield written
    eliot.remove_destination(written.append)


def find_lines(lines, number, **fields):
    """Returns the lines of one event number with the given fields."""
    return [
        line
        for line in lines
        if f":{number}:" in line.get("message_type", "")
        and all(line.get(key) == value for key, value in fields.items())
    ]


async def wait_lines(lines, number, **fields):
    with anyio.fail_after(8):
        while not find_lines(lines, number, **fields):
            await anyio.sleep(0.01)
    return find_lines(lines, number, **fields)


async def test_refused_submission_leads_to_the_fault_of_the_log(lines):
    # Guards against a refused submission whose cause cannot be traced.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        system.store.down = True
        body = platform_system.make_job()
        reply = await platform_system.call(system.entries[0], "POST", ID, body)
        assert reply.status_code == 503
        (refused,) = find_lines(lines, 802, job=ID)
        assert refused["reason"] == "log unreachable"
        lost = find_lines(lines, 841)[-1]
        assert lost["timestamp"] <= refused["timestamp"]
        assert "503" in lost["detail"]
        system.store.down = False
        (regained,) = (await wait_lines(lines, 842))[:1]
        assert regained["lost_s"] > 0


async def test_late_job_leads_to_the_runner_that_was_lost(lines):
    # Guards against a late job whose lost attempt cannot be traced.
    async with platform_system.run_system(
        entries=1, runners=1, lease_s=1.5
    ) as system:
        await system.wait_owner()
        body = platform_system.make_job(count=1, run_ms=1000)
        await platform_system.call(system.entries[0], "POST", ID, body)
        task = f"{ID}.0.0.0"
        first = (await wait_lines(lines, 811, task=task))[0]
        system.runners["i-0"].silent = True
        await platform_system.add_runner(system, "i-9")
        await platform_system.wait_state(system, ID, "completed")
        (ended,) = find_lines(lines, 806, job=ID)
        assert ended["late_s"] > 0
        (lost,) = find_lines(lines, 814, task=task)
        assert lost["reason"] == "lease expired"
        assert lost["runner"] == first["runner"]
        (silent,) = find_lines(lines, 825, runner=lost["runner"])
        assert silent["timestamp"] < lost["timestamp"]
        second = find_lines(lines, 811, task=task)[-1]
        assert second["waited_ms"] >= 0 and second["runner"] == "i-9"


async def test_failed_question_leads_to_the_change_of_the_owner(lines):
    # Guards against a 503 that cannot be traced to the takeover that caused it.
    async with platform_system.run_system(entries=2) as system:
        owner = await system.wait_owner()
        body = platform_system.make_job()
        await platform_system.call(owner, "POST", ID, body)
        await system.kill(owner)
        (left,) = system.entries
        reply = await platform_system.call(left, "GET", ID, deadline_ms=300)
        assert reply.status_code == 503
        (failed,) = find_lines(lines, 816, subject=ID)
        assert (failed["what"], failed["reason"]) == ("state", "owner")
        holder = owner.settings.id
        (claim,) = await wait_lines(lines, 831, holder=holder)
        assert claim["reason"] == "denied"
        with anyio.fail_after(8):
            while len(find_lines(lines, 832, outcome="won")) < 2:
                await anyio.sleep(0.01)
        epoch = find_lines(lines, 832, outcome="won")[-1]["epoch"]
        recovered = (await wait_lines(lines, 833, epoch=epoch))[-1]
        assert recovered["took_s"] < 2
        await platform_system.wait_state(system, ID, "completed")


async def test_malformed_entry_of_a_runner_is_reported_once(lines):
    # Guards against a runner that is never used without any log line, and
    # against one line per heartbeat.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        for value in (b"{}", b"[]", b"\xff"):
            system.store.put("keyed.servers", "i-odd", value)
        (line,) = await wait_lines(lines, 115, key="i-odd")
        assert line["stream"] == "keyed.servers"
        assert "2 bytes" in line["error"]
        system.store.put("keyed.servers", "i-odd", None)
        await anyio.sleep(0.6)
        system.store.put("keyed.servers", "i-odd", b"{}")
        with anyio.fail_after(5):
            while len(find_lines(lines, 115, key="i-odd")) < 2:
                await anyio.sleep(0.01)


async def test_missing_advice_is_reported_with_its_step(lines):
    # Guards against jobs that wait for a missing adviser without any log line.
    async with platform_system.run_system(entries=1) as system:
        await system.wait_owner()
        platform_system.write_configuration(
            system.store, 2, Advisor={"DecisionMs": 5, "ValidityMs": 1000}
        )
        await wait_lines(lines, 843, version=2)
        body = platform_system.make_job(count=1)
        await platform_system.call(system.entries[0], "POST", ID, body)
        line = (await wait_lines(lines, 817))[0]
        assert (line["step"], line["adviser"]) == (f"{ID}.0.0", False)
        assert system.list_starts() == []
