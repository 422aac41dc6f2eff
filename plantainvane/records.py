"""Record types that entry processes append to streams of the platform's log.

Every record carries (writer, incarnation, sequence). Readers ignore a record
that repeats all three, so an append can be retried after its reply was lost.
"""

from typing import Any

import msgspec

from plantainvane import documents

CONFIG_STREAM = "config"
KEYS_STREAM = "keys"


def name_claims_stream(domain: str) -> str:
    """Returns the name of the shard claims stream of a failure domain."""
    return f"claims.{domain}"


def name_tasks_stream(domain: str, shard: int) -> str:
    """Returns the name of the task stream of one shard."""
    return f"tasks.{domain}.{shard}"


class Record(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """Common fields of all records."""

    writer: str
    incarnation: int
    sequence: int


class ConfigChange(Record, tag="config_change"):
    """Replaces, creates or deletes a document.

    The change is based on revision `base_revision` of the document; 0 creates
    it. If `document` is None, the document named by `target_kind` and
    `target_name` is deleted.
    """

    base_revision: int
    document: documents.Document | None
    target_kind: str
    target_name: str
    author: str = ""
    # Seconds since the Unix epoch; informational only.
    published: float = 0.0


class StoredDocument(msgspec.Struct, frozen=True):
    """A current document and its revision, the base of further changes."""

    revision: int
    document: documents.Document


class ConfigSnapshot(Record, tag="config_snapshot"):
    """State of the configuration through `through_offset`, inclusive.

    `revisions` holds [kind, name, revision], also of deleted documents, so
    that a change based on an outdated revision is still rejected. `sequences`
    holds the rows of readers.SeenSequences, so that a duplicate record is
    still ignored.
    """

    through_offset: int
    version: int
    documents: list[StoredDocument]
    revisions: list[tuple[str, str, int]]
    sequences: list[tuple[str, int, int]] = []


class ShardClaim(msgspec.Struct, frozen=True):
    """One shard within a claim record."""

    shard: int
    epoch: int
    # Offset of the newest claim that the writer had applied. A takeover with
    # any other base offset has no effect.
    base_offset: int = -1


class Claim(Record, tag="claim"):
    """Claims or renews shards for `writer` for `ttl_s` seconds."""

    shards: list[ShardClaim]
    ttl_s: float


class Release(Record, tag="release"):
    """Releases the claims of `writer` on shards immediately."""

    shards: list[ShardClaim]


class KeyClaim(Record, tag="key_claim"):
    """Claims an idempotency key; the first one in offset order wins."""

    key: str
    # Seconds since the Unix epoch, set by the caller.
    issued: float


class KeyFinish(Record, tag="key_finish"):
    """Outcome of the request that holds an idempotency key.

    `claim_offset` is the offset of the claim that this record ends. It has no
    effect on any other claim, so that a late duplicate cannot release a key
    that has been claimed again.
    """

    key: str
    claim_offset: int
    outcome: str
    content_type: str = ""
    answer: bytes | None = None


class TaskSubmit(Record, tag="task_submit"):
    """A new task; a repeated submission of the same id is ignored."""

    task: str
    batch_class: str
    # Seconds since the Unix epoch; informational and for statistics only.
    submitted: float
    # Passed to the worker unchanged.
    work: dict[str, Any]
    size: documents.Size | None = None


class ShardOpen(Record, tag="shard_open"):
    """First record of a new owner; fences off records of older epochs.

    Readers ignore records of an older epoch that follow it.
    """

    epoch: int


class TaskStart(Record, tag="task_start"):
    """Recorded before attempt `attempt` is started on `worker`."""

    epoch: int
    task: str
    attempt: int
    worker: str


class TaskRequeue(Record, tag="task_requeue"):
    """Attempt `attempt` is known to have ended; the task is queued again."""

    epoch: int
    task: str
    attempt: int
    cause: str
    checkpoint: str | None = None


class TaskFinish(Record, tag="task_finish"):
    """The task has ended; `outcome` is a value of tasks.TaskOutcome."""

    epoch: int
    task: str
    attempt: int
    outcome: str
    detail: str = ""
    output: Any = None


class TaskCancel(Record, tag="task_cancel"):
    """A caller or operator has requested cancellation of the task."""

    task: str


class ShardSnapshot(Record, tag="shard_snapshot"):
    """State of the tasks of a shard through `through_offset`, inclusive."""

    epoch: int
    through_offset: int
    # JSON encoding of tasks.ShardState, decoded by the tasks module.
    state: msgspec.Raw


ConfigRecord = ConfigChange | ConfigSnapshot
ClaimRecord = Claim | Release
KeyRecord = KeyClaim | KeyFinish
TaskRecord = (
    TaskSubmit
    | ShardOpen
    | TaskStart
    | TaskRequeue
    | TaskFinish
    | TaskCancel
    | ShardSnapshot
)
AnyRecord = ConfigRecord | ClaimRecord | KeyRecord | TaskRecord
