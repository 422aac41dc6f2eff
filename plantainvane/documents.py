"""Operator documents: types and checks against what is in force."""

import enum
from typing import Annotated

import msgspec

from plantainvane import settings
from plantainvane import validation

PROCESSORS_PER_WORKER_LIMIT = 1024


class Priority(enum.StrEnum):
    """Order in which classes are served; `urgent` first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Size(settings.Struct):
    """Resources of one worker or one task.

    Attributes:
      processors: Cores; fractions are allowed.
      memory_bytes: Bytes of memory.
      accelerators: Whole devices.
    """

    processors: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0)] = 0


class ServiceClass(
    settings.Struct, tag_field="kind", tag="service_class", kw_only=True
):
    """How requests of one kind are served."""

    name: settings.Name
    priority: Priority
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)]
    idempotent: bool = True
    expected_run_ms: Annotated[int, msgspec.Meta(ge=1)] = 50
    body_limit_bytes: Annotated[int, msgspec.Meta(ge=1)] = 65536
    # Latency that colocated batch work must not break, 99th percentile.
    latency_target_ms: Annotated[int, msgspec.Meta(ge=1)] = 200


class BatchClass(
    settings.Struct, tag_field="kind", tag="batch_class", kw_only=True
):
    """How batch tasks of one kind run."""

    name: settings.Name
    team: settings.Name
    priority: Priority
    size: Size
    idempotent: bool = True
    checkpoints: bool = True
    expected_run_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    # A task may be evicted to protect a service.
    evictable: bool = True


class Quota(settings.Struct, tag_field="kind", tag="quota", kw_only=True):
    """Upper limit of the declared sizes that a team runs at once."""

    name: settings.Name
    limit: Size


class ClusterLimits(
    settings.Struct, tag_field="kind", tag="cluster_limits", kw_only=True
):
    """Limits that hold for every class of the deployment."""

    name: settings.Name = "cluster"
    largest_worker: Size
    # Part of each worker that batch tasks may commit.
    batch_fraction: settings.Fraction = 0.75
    reserved_fraction: settings.Fraction = 0.5


Document = ServiceClass | BatchClass | Quota | ClusterLimits


class DocumentKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a document: its kind and its name."""

    kind: str
    name: str


def get_key(document: Document) -> DocumentKey:
    """Returns the identity of `document`."""
    return DocumentKey(document.__struct_config__.tag, document.name)


def check_set(
    documents: dict[DocumentKey, Document],
) -> list[validation.Fault]:
    """Lists faults of a whole set of documents, in a fixed order.

    The check is deterministic: every process that folds the same records
    reaches the same verdict.
    """
    faults: list[validation.Fault] = []
    limits = find_limits(documents)
    for key in sorted(documents):
        document = documents[key]
        if not isinstance(document, BatchClass):
            continue
        if DocumentKey("quota", document.team) not in documents:
            faults.append(
                validation.Fault(
                    "$.team",
                    f"batch class {document.name!r} names team"
                    f" {document.team!r}, which has no quota",
                )
            )
        if limits is not None:
            faults.extend(_check_fit(document, limits))
    return faults


def find_limits(
    documents: dict[DocumentKey, Document],
) -> ClusterLimits | None:
    """Returns the cluster limits in force, if any."""
    return documents.get(DocumentKey("cluster_limits", "cluster"))


def _check_fit(
    document: BatchClass, limits: ClusterLimits
) -> list[validation.Fault]:
    faults = []
    largest = limits.largest_worker
    for field in Size.__struct_fields__:
        declared = getattr(document.size, field)
        available = getattr(largest, field)
        if field != "accelerators":
            available *= limits.batch_fraction
        if declared > available:
            faults.append(
                validation.Fault(
                    f"$.size.{field}",
                    f"{declared} of batch class {document.name!r} exceeds"
                    f" {available}, the most that a worker offers",
                )
            )
    return faults
