"""Golden file of a complete session on the platform's stand-ins."""

import re

import anyio
import msgspec
import pytest

from standins import platform_system

pytestmark = pytest.mark.anyio
ID = "5c0e7a21d94b36f8"
FAILING_ID = "5c0e7a21d94b36f9"
CANCELLED_ID = "5c0e7a21d94b36fa"

# Stands at the top of the golden file.
RULE = """\
Volatile: addresses, incarnations and Unix times read <address>, <incarnation>
and <ms>. Records of progress are shown for the last state of each job; renewed
claims are left out.
"""
_VOLATILE = (
    (r"127\.0\.\d+\.\d+:\d+", "<address>"),
    (r'"(accepted_ms|ended_ms)":\d+', r'"\1":<ms>'),
    (r'"incarnation":\d+', '"incarnation":<incarnation>'),
    (r"(,)\d{13}(?=[,\]])", r"\1<ms>"),
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def render_value(value):
    text = value.decode()
    for pattern, replacement in _VOLATILE:
        text = re.sub(pattern, replacement, text)
    return text


def render_session(system):
    lines = [RULE]
    for topic in ("keyed.claims", "keyed.jobs", "keyed.progress"):
        lines.append(f"{topic}:")
        newest = system.store.list_newest(topic)
        for key, (_, value) in sorted(newest.items()):
            if topic == "keyed.claims":
                claim = msgspec.json.decode(value)
                claim = {k: v for k, v in claim.items() if k != "epoch"}
                value = msgspec.json.encode(claim)
            lines.append(f"  {key} {render_value(value)}")
    for name, runner in system.runners.items():
        lines.append(f"{name}:")
        lines.extend(
            f"  started {task} attempt {number}"
            for task, number in sorted(runner.starts)
        )
    return "\n".join(lines) + "\n"


async def test_session(snapshot):
    # Guards against changes of the stored format that a successor of an earlier
    # version could not read, and against duplicate starts.
    async with platform_system.run_system(entries=1, runners=1) as system:
        await system.wait_owner()
        (entry,) = system.entries
        for job_id, fields in (
            (ID, {"steps": 2, "run_ms": 30}),
            (FAILING_ID, {"count": 1, "run_ms": 30, "fails": True}),
            (CANCELLED_ID, {"count": 1, "run_ms": 60_000}),
        ):
            body = platform_system.make_job(**fields)
            reply = await platform_system.call(entry, "POST", job_id, body)
            assert reply.status_code == 200
        await platform_system.wait_state(system, ID, "completed")
        await platform_system.wait_state(system, FAILING_ID, "failed")
        with anyio.fail_after(5):
            while len(system.list_starts()) < 7:
                await anyio.sleep(0.01)
        await platform_system.call(entry, "DELETE", CANCELLED_ID)
        await platform_system.wait_state(system, CANCELLED_ID, "cancelled")
        with anyio.fail_after(5):
            while system.runners["i-0"].running:
                await anyio.sleep(0.01)
        await entry.owner.journal.flush()
        await anyio.sleep(0.2)
        assert render_session(system) == snapshot
