"""Configuration documents published by operators: types and checks."""

import enum
from typing import Annotated

import msgspec

from plantainvane import settings
from plantainvane import validation

PROCESSORS_PER_WORKER_LIMIT = 1024


class Priority(enum.StrEnum):
    """Scheduling priority of a class; `urgent` is served first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Size(settings.StrictStruct):
    """Resources of one worker or one task.

    Attributes:
      processors: Number of cores; fractions are allowed.
      memory_bytes: Memory in bytes.
      accelerators: Number of whole devices.
    """

    # The upper bounds are large enough for the quota of a whole region. They
    # exclude infinity, and integers above 2**53, which browsers cannot
    # represent exactly.
    processors: Annotated[float, msgspec.Meta(ge=0, le=10_000_000)] = 0.0
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class ServiceClass(
    settings.StrictStruct, tag_field="kind", tag="service_class", kw_only=True
):
    """Service parameters of one class of requests."""

    name: settings.Name
    priority: Priority
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)]
    idempotent: bool = True
    expected_run_ms: Annotated[int, msgspec.Meta(ge=1, le=86_400_000)] = 50
    body_limit_bytes: Annotated[int, msgspec.Meta(ge=1, le=2**30)] = 65536
    # 99th percentile latency that colocated batch work must not exceed.
    latency_target_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 200


class BatchClass(
    settings.StrictStruct, tag_field="kind", tag="batch_class", kw_only=True
):
    """Execution parameters of one class of batch tasks.

    An evicted task repeats the steps since its last checkpoint. A class that is
    not idempotent may therefore declare `checkpoints` only if its steps have no
    external effect before the next checkpoint.
    """

    name: settings.Name
    team: settings.Name
    priority: Priority
    size: Size
    idempotent: bool = True
    checkpoints: bool = True
    expected_run_s: Annotated[float, msgspec.Meta(gt=0, le=31_536_000)] = 60.0
    # Whether tasks may be evicted to protect a service.
    evictable: bool = True


class Quota(settings.StrictStruct, tag_field="kind", tag="quota", kw_only=True):
    """Limit on the total declared size of a team's running tasks."""

    name: settings.Name
    limit: Size


class ClusterLimits(
    settings.StrictStruct, tag_field="kind", tag="cluster_limits", kw_only=True
):
    """Limits that apply to every class of the deployment."""

    name: settings.Name = "cluster"
    largest_worker: Size
    # Fraction of each worker's capacity that batch tasks may reserve.
    batch_fraction: settings.Fraction = 0.75
    reserved_fraction: settings.Fraction = 0.5


Document = ServiceClass | BatchClass | Quota | ClusterLimits


class DocumentKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a document by its kind and its name."""

    kind: str
    name: str


def get_key(document: Document) -> DocumentKey:
    """Returns the key of `document`."""
    return DocumentKey(document.__struct_config__.tag, document.name)


def check_set(
    documents: dict[DocumentKey, Document],
) -> list[validation.Fault]:
    """Lists the faults of a whole set of documents, in a fixed order.

    The check is deterministic, so that every process that applies the same
    records reaches the same result.
    """
    return [
        fault
        for key in sorted(documents)
        for fault in check_document(documents[key], documents)
    ]


def check_document(
    document: Document,
    documents: dict[DocumentKey, Document],
    complete: bool = True,
) -> list[validation.Fault]:
    """Lists the faults of one document within its set of documents.

    Args:
      document: The document to check.
      documents: The set that the document belongs to.
      complete: Whether the set contains every current document. If not, a
        missing quota is no fault, because the quota may exist outside the set.
    """
    if isinstance(document, ClusterLimits):
        return _check_limits(document)
    if not isinstance(document, BatchClass):
        return []
    faults = []
    quota = documents.get(DocumentKey("quota", document.team))
    if quota is None and complete:
        faults.append(
            validation.Fault(
                "$.team",
                f"batch class {document.name!r} names team"
                f" {document.team!r}, which has no quota",
            )
        )
    if quota is not None:
        faults.extend(_check_quota(document, quota))
    limits = find_limits(documents)
    if limits is not None:
        faults.extend(_check_fit(document, limits))
    return faults


def list_dependents(
    key: DocumentKey, documents: dict[DocumentKey, Document]
) -> list[DocumentKey]:
    """Lists the documents that a change of `key` can invalidate, sorted.

    If the set had no faults before the change, checking only these documents
    finds the same faults as `check_set`. Checking all 3,000 documents of a
    large deployment would take about 1 ms per record at process startup.
    """
    if key.kind not in ("quota", "cluster_limits"):
        return [key] if key in documents else []
    return sorted(
        other
        for other, document in documents.items()
        if other == key
        or (
            isinstance(document, BatchClass)
            and (key.kind == "cluster_limits" or document.team == key.name)
        )
    )


def find_limits(
    documents: dict[DocumentKey, Document],
) -> ClusterLimits | None:
    """Returns the cluster limits of the set, if any."""
    return documents.get(DocumentKey("cluster_limits", "cluster"))


def _check_limits(limits: ClusterLimits) -> list[validation.Fault]:
    faults = []
    if limits.name != "cluster":
        faults.append(
            validation.Fault(
                "$.name",
                f"is {limits.name!r}, but the limits of the cluster are"
                " named 'cluster'",
            )
        )
    processors = limits.largest_worker.processors
    if processors > PROCESSORS_PER_WORKER_LIMIT:
        faults.append(
            validation.Fault(
                "$.largest_worker.processors",
                f"{processors:g} exceeds {PROCESSORS_PER_WORKER_LIMIT},"
                " the most that a worker can have",
            )
        )
    return faults


def _check_quota(document: BatchClass, quota: Quota) -> list[validation.Fault]:
    return [
        validation.Fault(
            f"$.size.{field}",
            f"{declared:g} {field} of batch class {document.name!r} exceed"
            f" {allowed:g}, the quota of team {quota.name!r}",
        )
        for field in Size.__struct_fields__
        if (declared := getattr(document.size, field))
        > (allowed := getattr(quota.limit, field))
    ]


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
                    f"{declared:g} {field} of batch class"
                    f" {document.name!r} exceed {available:g}, the most that"
                    " a worker offers",
                )
            )
    return faults
