"""Golden files of whole sessions: the log records and the workers' runs."""

import json

import anyio

from plantainvane import documents
from tests import batch_session
from tests import test_scheduler

# Written at the top of each golden file.
GOLDEN_HEADER = """\
Volatile: submitted, incarnation and sequence are left out; steps that depend
on timing (from_step, checkpoint) are shown as <step>. Left out: claims that
only renew, and snapshots.
"""
LEFT_OUT = ("kind", "writer", "incarnation", "sequence", "submitted", "work")


def render_session(session) -> str:
    lines = [GOLDEN_HEADER, "claims:"]
    epochs = set()
    for record in read_stream(session, "claims.a"):
        for claim in record["shards"]:
            key = (record["kind"], claim["shard"], claim["epoch"])
            if key not in epochs:
                epochs.add(key)
                lines.append(
                    f"  {record['writer']} {record['kind']}"
                    f" shard={claim['shard']} epoch={claim['epoch']}"
                )
    lines.append("tasks:")
    for record in read_stream(session, "tasks.a.0"):
        if record["kind"] != "shard_snapshot":
            lines.append(f"  {render_record(record)}")
    lines.append("workers:")
    for id, worker in session.workers.items():
        for entry in worker.entries:
            begins = "<step>" if entry.from_step else 0
            lines.append(
                f"  {id} ran {entry.task}/{entry.attempt} of epoch"
                f" {entry.epoch} from step {begins}: {entry.state}"
            )
    return "\n".join(lines) + "\n"


def read_stream(session, stream):
    page = json.loads(session.log_state.read_page(stream, 0, 10**6, 0.0))
    return [entry["record"] for entry in page["records"]]


def render_record(record) -> str:
    shown = {
        key: value
        for key, value in record.items()
        if key not in LEFT_OUT and value not in (None, "")
    }
    if "checkpoint" in shown:
        shown["checkpoint"] = "<step>"
    if isinstance(shown.get("output"), dict) and shown["output"]["from_step"]:
        shown["output"] = shown["output"] | {"from_step": "<step>"}
    fields = " ".join(f"{key}={value}" for key, value in shown.items())
    return f"{record['writer']} {record['kind']} {fields}"


def run_golden(test, snapshot) -> None:
    rendered = []

    async def run(session):
        await test(session)
        rendered.append(render_session(session))

    batch_session.run_session(run)
    assert rendered[0] == snapshot


async def evict_and_resume(session):
    session.add_workers("w1")
    process = session.add_process("p1")
    await test_scheduler.wait_owner(session, process)
    await session.submit("evicted", steps=40)
    await session.wait_for(
        lambda: test_scheduler.find_running(session, "evicted")
    )
    test_scheduler.start_eviction(process, "evicted")
    await session.wait_outcome("evicted")
    await session.submit("failing", fails=True)
    await session.wait_outcome("failing")
    session.configuration.add_class("huge", size=documents.Size(64.0))
    await session.submit("huge", batch_class="huge")
    await session.wait_outcome("huge")
    await process.scheduler.release_claims()


async def take_over(session):
    session.configuration.add_class("sync", idempotent=False)
    session.add_workers("w1")
    owner = session.add_process("p1")
    await test_scheduler.wait_owner(session, owner)
    await session.submit("running", steps=150)
    await session.wait_for(
        lambda: test_scheduler.find_running(session, "running")
    )

    async def kill(forward):
        await session.wait_for(
            lambda: len(session.list_records("task_start")) == 3
        )
        session.kill(owner)
        await anyio.sleep(0)

    session.interfere(lambda call: call.path == "/attempts", kill)
    await session.submit("once", batch_class="sync")
    await session.submit("again")
    session.add_process("p2")
    await session.wait_outcome("once", "again", "running")


def test_a_session_with_an_eviction_and_tasks_that_cannot_end_well(snapshot):
    # Guards against unnoticed changes of the records or of their order.
    run_golden(evict_and_resume, snapshot)


def test_a_session_in_which_the_owner_is_killed(snapshot):
    # Guards against unnoticed changes of what the next owner does.
    run_golden(take_over, snapshot)
