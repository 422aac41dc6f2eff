"""Records that the system appends to its streams in the platform's log.

Every record carries (writer, incarnation, sequence); a repeat of the three is
void, which makes it safe to append again after a lost reply.
"""

from typing import Any

import msgspec

from plantainvane import documents

CONFIG_STREAM = "config"
KEYS_STREAM = "keys"


def name_claims_stream(domain: str) -> str:
    """Names the stream of the shard claims of a failure domain."""
    return f"claims.{domain}"


def name_tasks_stream(domain: str, shard: int) -> str:
    """Names the stream of the tasks of one shard."""
    return f"tasks.{domain}.{shard}"


class Record(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """Common fields of all records."""

    writer: str
    incarnation: int
    sequence: int


class ConfigChange(Record, tag="config_change"):
    """A document that replaces revision `base_revision` of itself.

    A base of 0 creates the document. `document` is None to delete it; then
    `target_kind` and `target_name` name it.
    """

    base_revision: int
    document: documents.Document | None
    target_kind: str
    target_name: str
    author: str = ""
    # Seconds since the Unix epoch; for people only, decides nothing.
    published: float = 0.0


class StoredDocument(msgspec.Struct, frozen=True):
    """A document in force with the revision that operators base changes on."""

    revision: int
    document: documents.Document


class ConfigSnapshot(Record, tag="config_snapshot"):
    """State of the config fold through `through_offset`, inclusive.

    `revisions` holds the revisions of deleted documents too, as
    [kind, name, revision], so that a stale change stays void. `sequences` are
    the rows of readers.SeenSequences, so that a repeat stays void.
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
    # Offset of the newest claim folded; a takeover with another base is void.
    base_offset: int = -1


class Claim(Record, tag="claim"):
    """Claims or renews shards for `writer` for `ttl_s` seconds."""

    shards: list[ShardClaim]
    ttl_s: float


class Release(Record, tag="release"):
    """Ends the claims of `writer` on shards at once."""

    shards: list[ShardClaim]


class KeyClaim(Record, tag="key_claim"):
    """Claims an idempotency key; the first one in offset order wins."""

    key: str
    # Seconds since the Unix epoch, as given by the caller.
    issued: float


class KeyFinish(Record, tag="key_finish"):
    """Outcome of the request that holds a key.

    `claim_offset` is the offset of the claim that it ends; one for another
    claim is void, so that a late repeat cannot free a key claimed again.
    """

    key: str
    claim_offset: int
    outcome: str
    content_type: str = ""
    answer: bytes | None = None


class TaskSubmit(Record, tag="task_submit"):
    """A new task; a repeat of the same id is void."""

    task: str
    batch_class: str
    # Seconds since the Unix epoch; for people and statistics only.
    submitted: float
    # Passed to the worker unchanged.
    work: dict[str, Any]
    size: documents.Size | None = None


class ShardOpen(Record, tag="shard_open"):
    """First record of a new owner; later records of older epochs are void."""

    epoch: int


class TaskStart(Record, tag="task_start"):
    """Attempt `attempt` is about to start on `worker`."""

    epoch: int
    task: str
    attempt: int
    worker: str


class TaskRequeue(Record, tag="task_requeue"):
    """Attempt `attempt` is known to have ended; the task is pending again."""

    epoch: int
    task: str
    attempt: int
    cause: str
    checkpoint: str | None = None


class TaskFinish(Record, tag="task_finish"):
    """The task reached its end; `outcome` is a tasks.TaskOutcome."""

    epoch: int
    task: str
    attempt: int
    outcome: str
    detail: str = ""
    output: Any = None


class TaskCancel(Record, tag="task_cancel"):
    """A caller or operator wants the task to end."""

    task: str


class ShardSnapshot(Record, tag="shard_snapshot"):
    """State of the task fold through `through_offset`, inclusive."""

    epoch: int
    through_offset: int
    # JSON encoding of tasks.ShardState; typed by that module.
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
