"""Tests of plantainvane.configuration."""

import contextlib
import random
from typing import Any

import anyio
import msgspec
import pytest

from plantainvane import configuration as configuration_module
from plantainvane import documents
from plantainvane import readers
from plantainvane import records
from plantainvane import writers
from tests import log_server

LIMITS = documents.ClusterLimits(
    largest_worker=documents.Size(16.0, 60_000_000_000, 0)
)
QUOTA = documents.Quota(name="outlooks", limit=documents.Size(100.0, 10**12, 0))


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_class(
    processors: float, name: str = "weekly", team: str = "outlooks"
) -> documents.BatchClass:
    return documents.BatchClass(
        name=name,
        team=team,
        priority=documents.Priority.BULK,
        size=documents.Size(processors, 1000, 0),
    )


class Stream:
    """Builds a config stream: records with their offsets."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, Any]] = []

    def add(self, kind: Any, writer: str = "a", **fields: Any) -> Any:
        offset = len(self.entries)
        record = kind(
            writer=writer, incarnation=1, sequence=offset + 1, **fields
        )
        self.entries.append((offset, record))
        return record

    def change(
        self, document: documents.Document, base: int, **fields: Any
    ) -> records.ConfigChange:
        key = documents.get_key(document)
        return self.add(
            records.ConfigChange,
            base_revision=base,
            document=document,
            target_kind=key.kind,
            target_name=key.name,
            **fields,
        )

    def delete(self, key: documents.DocumentKey, base: int) -> Any:
        return self.add(
            records.ConfigChange,
            base_revision=base,
            document=None,
            target_kind=key.kind,
            target_name=key.name,
        )

    def snapshot(
        self, configuration: configuration_module.Configuration
    ) -> None:
        fields = msgspec.structs.asdict(configuration.make_snapshot())
        for name in ("writer", "incarnation", "sequence"):
            del fields[name]
        self.add(records.ConfigSnapshot, **fields)


def make_configuration() -> configuration_module.Configuration:
    return configuration_module.Configuration(
        log_server.make_settings("127.0.0.1:9")
    )


def apply_stream(stream: Stream) -> configuration_module.Configuration:
    configuration = make_configuration()
    configuration.apply_records(stream.entries, now=1.0)
    configuration.apply_records([], now=1.0)
    return configuration


def describe(configuration: configuration_module.Configuration) -> Any:
    snapshot = configuration.make_snapshot()
    return snapshot.version, snapshot.documents, snapshot.revisions


def test_first_of_two_changes_on_one_base_wins():
    """Guards against one operator silently overwriting another's change."""
    stream = Stream()
    stream.change(QUOTA, 0)
    stream.change(make_class(1.0), 0, writer="a", author="Oyun")
    stream.change(make_class(2.0), 0, writer="b", author="Bat")
    configuration = apply_stream(stream)
    assert configuration.version == 2
    assert configuration.find_batch_class("weekly").size.processors == 1.0
    void = configuration.find_change(2)
    assert [fault.path for fault in void.faults] == ["$.base_revision"]
    since = configuration.list_changes_since(
        documents.get_key(make_class(1.0)), 0
    )
    assert [change.author for change in since] == ["Oyun"]


def test_unrelated_changes_do_not_conflict():
    """Guards against rejecting concurrent changes of different documents."""
    stream = Stream()
    stream.change(QUOTA, 0, writer="a")
    stream.change(LIMITS, 0, writer="b")
    assert apply_stream(stream).version == 2


def test_repeat_is_void_although_it_would_be_valid_now():
    """Guards against a change that was reported rejected but is applied later.

    The record is repeated after its change has become valid.
    """
    stream = Stream()
    change = stream.change(make_class(1.0), 0)  # The quota does not exist yet.
    stream.change(QUOTA, 0)
    stream.entries.append((2, change))
    assert apply_stream(stream).find_batch_class("weekly") is None


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (make_class(13.0), "exceed 12, the most that a worker offers"),
        (make_class(1.0, team="nobody"), "which has no quota"),
        (
            documents.Quota(name="outlooks", limit=documents.Size(1.0)),
            "exceed 1, the quota of team 'outlooks'",
        ),
        (
            documents.ClusterLimits(largest_worker=documents.Size(2.0)),
            "exceed 1.5, the most that a worker offers",
        ),
        (
            documents.ClusterLimits(
                name="all", largest_worker=documents.Size(1.0)
            ),
            "are named 'cluster'",
        ),
        (documents.get_key(QUOTA), "which has no quota"),
        (
            documents.get_key(LIMITS),
            "batch classes depend on the limits: weekly",
        ),
        (documents.DocumentKey("quota", "nobody"), "there is no quota"),
    ],
)
def test_change_that_breaks_what_is_in_use_is_void(change, reason):
    """Guards against changes after which an existing class could never run."""
    stream = Stream()
    stream.change(LIMITS, 0)
    stream.change(QUOTA, 0)
    stream.change(make_class(2.0), 0)
    deletes = isinstance(change, documents.DocumentKey)
    key = change if deletes else documents.get_key(change)
    base = apply_stream(stream).revisions.get(key, 0)
    stream.delete(key, base) if deletes else stream.change(change, base)
    configuration = apply_stream(stream)
    assert configuration.version == 3
    reasons = [fault.reason for fault in configuration.history[-1].faults]
    assert reason in "; ".join(reasons)
    # Publishing uses the same function and must report the same faults.
    document = None if deletes else change
    before = apply_stream(stream)
    assert before.check_change(document, base, key) == (
        configuration.history[-1].faults
    )


def test_deleted_document_keeps_its_revision():
    """Guards against an outdated change recreating a deleted document."""
    stream = Stream()
    stream.change(QUOTA, 0)
    stream.delete(documents.get_key(QUOTA), 1)
    stream.change(QUOTA, 0)
    stream.change(QUOTA, 1)
    configuration = apply_stream(stream)
    assert configuration.find_quota("outlooks") is None
    loaded = make_configuration()
    loaded.load_snapshot(configuration.make_snapshot())
    assert loaded.is_stale(documents.get_key(QUOTA), 0)


def test_snapshot_does_not_cover_records_before_its_offset():
    """Guards against losing a change appended while a snapshot is written."""
    stream = Stream()
    stream.change(QUOTA, 0)
    earlier = apply_stream(stream)
    stream.change(make_class(1.0), 0)
    stream.snapshot(earlier)
    stream.change(make_class(2.0), 1)
    expected = apply_stream(stream)
    assert expected.version == 3
    restored = make_configuration()
    # What a reader applies after a gap: first the snapshot, then all records
    # after its `through_offset`, which include the snapshot again.
    restored.apply_records([stream.entries[2]], now=1.0)
    restored.apply_records(stream.entries[1:], now=1.0)
    assert describe(restored) == describe(expected)


def test_version_never_falls():
    """Guards against an old snapshot restoring outdated documents."""
    stream = Stream()
    stream.change(QUOTA, 0)
    old = apply_stream(stream).make_snapshot()
    stream.change(make_class(1.0), 0)
    configuration = apply_stream(stream)
    expected = describe(configuration)
    assert not configuration.load_snapshot(old)
    # An inconsistent snapshot: a later offset, but a lower version.
    wrong = msgspec.structs.replace(old, through_offset=50)
    assert not configuration.load_snapshot(wrong)
    configuration.apply_records([(60, wrong)], now=1.0)
    assert describe(configuration) == expected


def test_checking_dependents_finds_what_checking_all_finds():
    """Guards against accepting an invalid set because of the partial check."""
    rng = random.Random(7)
    configuration = make_configuration()
    valid = 0
    for offset in range(600):
        size = documents.Size(float(rng.randint(1, 9)), 1000, 0)
        name = rng.choice("ab")
        document = rng.choice(
            [
                documents.Quota(name=name, limit=size),
                documents.ClusterLimits(largest_worker=size),
                make_class(size.processors, name=name, team=name),
            ]
        )
        key = documents.get_key(document)
        if rng.random() < 0.2:
            document = None
        resulting = dict(configuration.documents)
        if document is None:
            resulting.pop(key, None)
        else:
            resulting[key] = document
        base = configuration.revisions.get(key, 0)
        faults = configuration.check_change(document, base, key)
        if documents.check_set(resulting):
            assert faults
        elif document is not None:
            assert not faults
        valid += not faults
        record = records.ConfigChange(
            writer="a",
            incarnation=1,
            sequence=offset + 1,
            base_revision=base,
            document=document,
            target_kind=key.kind,
            target_name=key.name,
        )
        configuration.apply_records([(offset, record)], now=1.0)
    assert 100 < valid < 500


@contextlib.asynccontextmanager
async def run_process(
    local: Any,
    name: str,
    configuration: configuration_module.Configuration | None = None,
) -> Any:
    """Follows the config stream and writes snapshots as one process."""
    configuration = configuration or configuration_module.Configuration(
        local.settings
    )
    writer = writers.Writer(
        local.settings,
        local.client,
        writers.Identity(name, 1),
        records.CONFIG_STREAM,
    )
    position = readers.Position(records.CONFIG_STREAM)
    position.advance_to(configuration.through_offset + 1)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            group.start_soon(
                readers.follow_stream,
                local.settings,
                local.client,
                position,
                records.ConfigRecord,
                configuration.apply_records,
            )
            group.start_soon(
                configuration_module.write_snapshots,
                configuration,
                writer,
                lambda: name == "chosen",
            )
            yield configuration, writer, position
            group.cancel_scope.cancel()


async def publish(writer: writers.Writer, document: Any, base: int) -> int:
    key = documents.get_key(document)
    appended = await writer.append(
        records.ConfigChange,
        base_revision=base,
        document=document,
        target_kind=key.kind,
        target_name=key.name,
    )
    return appended.unwrap()


@pytest.mark.anyio
async def test_snapshots_outlive_the_retention_of_the_last_document():
    """Guards against losing documents that have not been changed for long.

    Their records are no longer retained, so only snapshots hold them. Also
    guards against a returning process that stays at an older version.
    """
    local = log_server.make_local_log(
        {"snapshot_records": 5}, retention_records=12
    )
    returning = configuration_module.Configuration(local.settings)
    async with run_process(local, "chosen") as (chosen, writer, _):
        offset = await publish(writer, QUOTA, 0)
        await chosen.wait_offset(offset)
        returning.load_snapshot(chosen.make_snapshot())
        for base in range(30):
            offset = await publish(writer, LIMITS, base)
            await chosen.wait_offset(offset)
        expected = describe(chosen)
    assert local.state.get_stream("config").earliest > 1
    for late in (configuration_module.Configuration(local.settings), returning):
        async with run_process(local, "late", late):
            await late.wait_offset(offset)
            assert describe(late) == expected


@pytest.mark.anyio
async def test_starts_from_a_peer_while_the_log_is_down():
    """Guards against processes that cannot start during a log outage."""
    async with (
        log_server.run_log() as server,
        run_process(server, "peer") as (peer, writer, _),
    ):
        await peer.wait_offset(await publish(writer, QUOTA, 0))
        await server.switch_faults(down=True)
        async with run_process(server, "new") as (new, _, position):
            assert not new.ready
            text = msgspec.json.encode(peer.make_snapshot())
            new.load_snapshot(
                msgspec.json.decode(text, type=records.ConfigSnapshot)
            )
            assert new.ready
            assert new.find_quota("outlooks") == QUOTA
            await server.switch_faults(down=False)
            await new.wait_offset(await publish(writer, LIMITS, 0))
            assert (new.version, new.find_limits()) == (2, LIMITS)
            assert not position.unreadable
