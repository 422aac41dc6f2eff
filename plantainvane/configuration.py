"""The cluster configuration, built by applying the config stream.

Every process applies the same records in offset order and therefore reaches
the same documents and the same version. The version never decreases.
"""

import collections
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from plantainvane import documents as documents_module
from plantainvane import events
from plantainvane import readers
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import validation
from plantainvane import writers

# Fault path of a change based on an outdated revision; the paths of all other
# faults refer to the document itself.
BASE_REVISION_PATH = "$.base_revision"


class Change(msgspec.Struct, frozen=True):
    """One processed change record, as shown to operators.

    Attributes:
      offset: Offset of the change record in the stream.
      version: Global version after the change.
      kind: Kind of the changed document.
      name: Name of the changed document.
      base_revision: Revision that the change is based on; 0 for none.
      revision: Revision of the document after the change.
      author: Author named in the change record.
      published: Publication time, in seconds since the Unix epoch.
      document: The new document, also when rejected; None for a deletion.
      faults: Why the change was rejected; empty for a valid change.
    """

    offset: int
    version: int
    kind: str
    name: str
    base_revision: int
    revision: int
    author: str
    published: float
    document: documents_module.Document | None
    faults: list[validation.Fault]


class Configuration:
    """The current configuration of this process.

    Attributes:
      version: Number of valid changes.
      documents: Current documents by key.
      revisions: Revision by key, including those of deleted documents.
      through_offset: Offset of the last applied record; -1 before the first.
      ready: Whether the state has been up to date at least once, from the log
        or from a peer.
      history: The most recent changes applied by this process, valid and
        rejected ones, oldest first.
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        self.version = 0
        self.documents: dict[
            documents_module.DocumentKey, documents_module.Document
        ] = {}
        self.revisions: dict[documents_module.DocumentKey, int] = {}
        self.through_offset = -1
        self.ready = False
        self.history: collections.deque[Change] = collections.deque(
            maxlen=settings.operators.history_kept
        )
        self._seen = readers.SeenSequences()
        self._progressed = anyio.Event()
        # The latest snapshot in the stream; its age is unknown at startup.
        self._snapshot_through = -1
        self._snapshot_at = float("-inf")

    def apply_records(self, entries: readers.Entries, now: float) -> None:
        """Applies records in offset order.

        An empty list means that the end of the stream was reached. Records
        that are already covered by a snapshot from a peer are skipped.
        """
        for offset, record in entries:
            if offset > self.through_offset:
                self._apply_record(offset, record, now)
        if not entries:
            self.ready = True
        self._notify_waiters()

    def find_service_class(
        self, name: str
    ) -> documents_module.ServiceClass | None:
        """Returns the current service class of that name, if any."""
        return self._find("service_class", name)

    def find_batch_class(self, name: str) -> documents_module.BatchClass | None:
        """Returns the current batch class of that name, if any."""
        return self._find("batch_class", name)

    def find_quota(self, team: str) -> documents_module.Quota | None:
        """Returns the current quota of a team, if any."""
        return self._find("quota", team)

    def find_limits(self) -> documents_module.ClusterLimits | None:
        """Returns the current cluster limits, if any."""
        return documents_module.find_limits(self.documents)

    def check_change(
        self,
        document: documents_module.Document | None,
        base_revision: int,
        target: documents_module.DocumentKey | None = None,
    ) -> list[validation.Fault]:
        """Lists why a change would be rejected now; empty when it is valid.

        Used both for publishing and for applying records, so that a change
        accepted against the newest state is also valid when it is applied.

        Args:
          document: The new document, or None to delete `target`.
          base_revision: Revision that the change is based on; 0 for none.
          target: Key of the document; required for a deletion.

        Returns:
          Faults with paths in the document, or with the path
          `$.base_revision` when the change is based on another revision than
          the current one.
        """
        key = target or documents_module.get_key(document)
        faults = self._check_base(key, base_revision)
        if document is None:
            return faults + self._check_deletion(key)
        if documents_module.get_key(document) != key:
            faults.append(
                validation.Fault("$.name", f"differs from target {key.name!r}")
            )
        return faults + self._check_resulting(
            key, self.documents | {key: document}
        )

    def is_stale(
        self, key: documents_module.DocumentKey, base_revision: int
    ) -> bool:
        """Returns whether the current revision is not `base_revision`."""
        return self.revisions.get(key, 0) != base_revision

    def list_changes_since(
        self, key: documents_module.DocumentKey, base_revision: int
    ) -> list[Change]:
        """Lists the valid changes of a document after `base_revision`.

        Changes that were already dropped from `history` are missing.
        """
        return [
            change
            for change in self.history
            if (change.kind, change.name) == (key.kind, key.name)
            and change.revision > base_revision
            and not change.faults
        ]

    def find_change(self, offset: int) -> Change | None:
        """Returns the change recorded at `offset` if it is in `history`."""
        for change in reversed(self.history):
            if change.offset == offset:
                return change
        return None

    async def wait_offset(self, offset: int) -> None:
        """Waits until the record at `offset` has been applied."""
        while self.through_offset < offset:
            await self._progressed.wait()

    async def wait_revision(
        self, key: documents_module.DocumentKey, revision: int
    ) -> None:
        """Waits until a document has reached `revision` or a later one."""
        while self.revisions.get(key, 0) < revision:
            await self._progressed.wait()

    async def wait_change(self) -> None:
        """Waits for new records, a snapshot, or the end of the stream."""
        await self._progressed.wait()

    def make_snapshot(self) -> records.ConfigSnapshot:
        """Creates a snapshot for a peer; its writer fields are empty."""
        return records.ConfigSnapshot(
            writer="",
            incarnation=0,
            sequence=0,
            through_offset=self.through_offset,
            version=self.version,
            documents=[
                records.StoredDocument(self.revisions[key], document)
                for key, document in sorted(self.documents.items())
            ],
            revisions=[
                (key.kind, key.name, revision)
                for key, revision in sorted(self.revisions.items())
            ],
            sequences=self._seen.list_rows(),
        )

    def load_snapshot(self, snapshot: records.ConfigSnapshot) -> bool:
        """Replaces the state with a peer's snapshot if that is newer.

        A snapshot through a later offset but with a lower version contradicts
        the log and is refused.

        Returns:
          Whether the snapshot was installed.
        """
        installed = self._install_snapshot(snapshot)
        if snapshot.through_offset <= self.through_offset:
            self.ready = True
        self._notify_waiters()
        return installed

    def make_scratch_copy(self) -> "Configuration":
        """Copies the current documents, so that changes can be tried out."""
        scratch = Configuration(self.settings)
        scratch.version = self.version
        scratch.documents = dict(self.documents)
        scratch.revisions = dict(self.revisions)
        return scratch

    def apply_document(
        self,
        key: documents_module.DocumentKey,
        document: documents_module.Document | None,
    ) -> None:
        """Stores or deletes a document whose change has been checked."""
        self.version += 1
        self.revisions[key] = self.revisions.get(key, 0) + 1
        if document is None:
            del self.documents[key]
        else:
            self.documents[key] = document

    def is_snapshot_due(self, now: float) -> bool:
        """Returns whether the stream needs a new snapshot.

        A snapshot also becomes due by age when there are no new records,
        because the last one must not become older than the log's retention.
        A snapshot that was read before the end of the stream was first reached
        has an unknown age and counts as infinitely old.
        """
        if not self.ready or self.through_offset < 0:
            return False
        log = self.settings.log
        count = self.through_offset - self._snapshot_through
        return (
            count > log.snapshot_records
            or now - self._snapshot_at >= log.snapshot_age_s
        )

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state as JSON-compatible values; ages in seconds."""
        known = self._snapshot_at != float("-inf")
        age_s = round(now - self._snapshot_at, 3) if known else None
        return {
            "version": self.version,
            "ready": self.ready,
            "through_offset": self.through_offset,
            "documents": [
                [key.kind, key.name, self.revisions[key]]
                for key in sorted(self.documents)
            ],
            "snapshot_through": self._snapshot_through,
            "snapshot_age_s": age_s,
        }

    def _find(self, kind: str, name: str) -> Any:
        return self.documents.get(documents_module.DocumentKey(kind, name))

    def _apply_record(self, offset: int, record: Any, now: float) -> None:
        if isinstance(record, records.ConfigSnapshot):
            if record.through_offset > self.through_offset:
                # Only after a gap; the reader then continues right after
                # `through_offset`, which lies before this record.
                self._install_snapshot(record)
                return
            self._snapshot_through = record.through_offset
            if self.ready:
                self._snapshot_at = now
            self._seen.add_record(record)
        elif self._seen.add_record(record):
            self._apply_change(offset, record)
        self.through_offset = offset

    def _apply_change(self, offset: int, record: records.ConfigChange) -> None:
        key = documents_module.DocumentKey(
            record.target_kind, record.target_name
        )
        faults = self.check_change(record.document, record.base_revision, key)
        if not faults:
            self.apply_document(key, record.document)
        change = Change(
            offset=offset,
            version=self.version,
            kind=key.kind,
            name=key.name,
            base_revision=record.base_revision,
            revision=self.revisions.get(key, 0),
            author=record.author,
            published=record.published,
            document=record.document,
            faults=faults,
        )
        self.history.append(change)
        events.log_event(
            events.CHANGE_VOID if faults else events.CONFIGURATION_CHANGED,
            offset=offset,
            version=self.version,
            kind=key.kind,
            name=key.name,
            revision=change.revision,
            author=record.author,
            faults=msgspec.to_builtins(faults),
        )

    def _install_snapshot(self, snapshot: records.ConfigSnapshot) -> bool:
        if snapshot.through_offset <= self.through_offset:
            return False
        if snapshot.version < self.version:
            self._log_snapshot(events.SNAPSHOT_REFUSED, snapshot)
            return False
        self.version = snapshot.version
        self.documents = {
            documents_module.get_key(stored.document): stored.document
            for stored in snapshot.documents
        }
        self.revisions = {
            documents_module.DocumentKey(kind, name): revision
            for kind, name, revision in snapshot.revisions
        }
        self.through_offset = snapshot.through_offset
        self._seen = readers.SeenSequences(snapshot.sequences)
        self._log_snapshot(events.SNAPSHOT_LOADED, snapshot)
        return True

    def _log_snapshot(
        self, event: events.Event, snapshot: records.ConfigSnapshot
    ) -> None:
        events.log_event(
            event,
            version=self.version,
            snapshot_version=snapshot.version,
            through_offset=snapshot.through_offset,
        )

    def _check_base(
        self, key: documents_module.DocumentKey, base_revision: int
    ) -> list[validation.Fault]:
        if not self.is_stale(key, base_revision):
            return []
        revision = self.revisions.get(key, 0)
        reason = f"is {base_revision}, but revision {revision} is in force"
        return [validation.Fault(BASE_REVISION_PATH, reason)]

    def _check_deletion(
        self, key: documents_module.DocumentKey
    ) -> list[validation.Fault]:
        if key not in self.documents:
            reason = f"there is no {key.kind} {key.name!r} to delete"
            return [validation.Fault("$", reason)]
        remaining = {
            other: document
            for other, document in self.documents.items()
            if other != key
        }
        faults = self._check_resulting(key, remaining)
        batch_classes = [
            other.name for other in remaining if other.kind == "batch_class"
        ]
        if key.kind == "cluster_limits" and batch_classes:
            reason = (
                "batch classes depend on the limits:"
                f" {', '.join(batch_classes)}"
            )
            faults.append(validation.Fault("$", reason))
        return faults

    def _check_resulting(
        self,
        key: documents_module.DocumentKey,
        resulting: dict[
            documents_module.DocumentKey, documents_module.Document
        ],
    ) -> list[validation.Fault]:
        """Lists the faults of the set of documents after a change of `key`.

        Faults of other documents are reported at `$`, as faults of the change
        as a whole.
        """
        return [
            fault if other == key else validation.Fault("$", fault.reason)
            for other in documents_module.list_dependents(key, resulting)
            for fault in documents_module.check_document(
                resulting[other], resulting
            )
        ]

    def _notify_waiters(self) -> None:
        self._progressed.set()
        self._progressed = anyio.Event()


async def write_snapshots(
    configuration: Configuration,
    writer: writers.Writer,
    is_snapshot_writer: Callable[[], bool],
) -> None:
    """Appends snapshots when they are due, until cancelled.

    Args:
      configuration: The configuration, which follows the stream of `writer`.
      writer: Writer of the config stream.
      is_snapshot_writer: Returns whether this process writes the snapshots
        now. If two processes do, the extra record is harmless.
    """
    log = configuration.settings.log
    while True:
        with anyio.move_on_after(log.snapshot_age_s / 10):
            await configuration.wait_change()
        due = configuration.is_snapshot_due(anyio.current_time())
        if not due or not is_snapshot_writer():
            continue
        snapshot = configuration.make_snapshot()
        fields = msgspec.structs.asdict(snapshot)
        for name in records.Record.__struct_fields__:
            del fields[name]
        appended = await writer.append(records.ConfigSnapshot, **fields)
        if appended.is_ok():
            events.log_event(
                events.SNAPSHOT_WRITTEN,
                offset=appended.ok_value,
                version=snapshot.version,
            )
            await configuration.wait_offset(appended.ok_value)
        else:
            events.log_event(
                events.SNAPSHOT_FAILED, detail=appended.err_value.detail
            )
            await anyio.sleep(log.linger_max_s)
