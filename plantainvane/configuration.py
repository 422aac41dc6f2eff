"""Aggregate: the fold of the config stream.

Every process folds the same records in offset order and reaches the same
documents and the same version. The version only rises.
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

# Path of the fault of a stale change; all others are paths in a document.
BASE_REVISION_PATH = "$.base_revision"


class Change(msgspec.Struct, frozen=True):
    """One folded change, as shown to operators.

    Attributes:
      offset: Offset of its record.
      version: Global version after it.
      revision: Revision of the document in force after it.
      document: What it put in force, or would have; None to delete.
      faults: Why it is void; empty for a valid change.
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
    """The configuration in force at this process.

    Attributes:
      version: Count of valid changes.
      documents: Documents in force by key.
      revisions: Revision by key, of deleted documents too.
      through_offset: Offset of the last record folded; -1 before the first.
      ready: The state was current once, from the log or from a peer.
      history: The last changes folded here, valid and void, oldest first.
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
        # The last snapshot in the stream; its age is unknown at the start.
        self._snapshot_through = -1
        self._snapshot_at = float("-inf")

    def apply_records(self, entries: readers.Entries, now: float) -> None:
        """Folds records in offset order; an empty list marks the end.

        Records that a peer's state already covers are passed over.
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
        """Returns a service class in force."""
        return self._find("service_class", name)

    def find_batch_class(self, name: str) -> documents_module.BatchClass | None:
        """Returns a batch class in force."""
        return self._find("batch_class", name)

    def find_quota(self, team: str) -> documents_module.Quota | None:
        """Returns the quota of a team."""
        return self._find("quota", team)

    def find_limits(self) -> documents_module.ClusterLimits | None:
        """Returns the limits of the cluster."""
        return documents_module.find_limits(self.documents)

    def check_change(
        self,
        document: documents_module.Document | None,
        base_revision: int,
        target: documents_module.DocumentKey | None = None,
    ) -> list[validation.Fault]:
        """Lists why a change would be void now; empty when it is valid.

        Publishing and the fold both decide by this, so that what publishing
        accepts on the newest state is valid in the fold.

        Args:
          document: The new document, or None to delete `target`.
          base_revision: Revision that the change was made on; 0 for none.
          target: Key of the document; needed to delete.

        Returns:
          Faults with paths in the document, and `$.base_revision` when stale.
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
        """Tells whether another revision than `base_revision` is in force."""
        return self.revisions.get(key, 0) != base_revision

    def list_changes_since(
        self, key: documents_module.DocumentKey, base_revision: int
    ) -> list[Change]:
        """Lists the remembered valid changes of a document above a base."""
        return [
            change
            for change in self.history
            if (change.kind, change.name) == (key.kind, key.name)
            and change.revision > base_revision
            and not change.faults
        ]

    def find_change(self, offset: int) -> Change | None:
        """Returns the change that was folded from the record at `offset`."""
        for change in reversed(self.history):
            if change.offset == offset:
                return change
        return None

    async def wait_offset(self, offset: int) -> None:
        """Waits until the record at `offset` is folded."""
        while self.through_offset < offset:
            await self._progressed.wait()

    async def wait_revision(
        self, key: documents_module.DocumentKey, revision: int
    ) -> None:
        """Waits until `revision` of a document, or a later one, is folded."""
        while self.revisions.get(key, 0) < revision:
            await self._progressed.wait()

    async def wait_change(self) -> None:
        """Waits until something was folded or the end was reached."""
        await self._progressed.wait()

    def make_snapshot(self) -> records.ConfigSnapshot:
        """Makes a snapshot for a peer; its writer fields are empty."""
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
        """Takes over a peer's state; False when it is not ahead of this one.

        A state through a later offset but with a lower version contradicts
        the log and is refused.
        """
        installed = self._install_snapshot(snapshot)
        if snapshot.through_offset <= self.through_offset:
            self.ready = True
        self._notify_waiters()
        return installed

    def make_scratch_copy(self) -> "Configuration":
        """Copies the documents in force, to try changes on."""
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
        """Puts a checked document in force, or deletes it."""
        self.version += 1
        self.revisions[key] = self.revisions.get(key, 0) + 1
        if document is None:
            del self.documents[key]
        else:
            self.documents[key] = document

    def is_snapshot_due(self, now: float) -> bool:
        """Tells whether the stream needs a new snapshot.

        It does so by age even without new records, because the last snapshot
        must not grow older than the retention. A snapshot read before the end
        was first reached has an unknown age.
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
        """Describes the state; ages in seconds."""
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
                # Only behind a gap; the reader goes on below this record.
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
                f"the limits bound batch classes: {', '.join(batch_classes)}"
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
        """Lists the faults of a whole set in which `key` was changed.

        A fault of another document is a fault of the change as a whole.
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
    """Appends snapshots when they are due, until it is cancelled.

    Args:
      configuration: The fold; follows the stream of `writer`.
      writer: Writer of the config stream.
      is_snapshot_writer: Returns whether this process writes the snapshots
        now. Two processes that both do so waste a record but harm nothing.
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
