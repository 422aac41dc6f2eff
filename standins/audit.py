"""Checks a run against the guarantees of docs/design.md, section 1.

The checks use records that runners, workers, callers and submitters wrote,
independent of the system under test. Only the expiry of leases is read from its
log. Violations are sentences, grouped by the number of the guarantee.
"""

import collections
import pathlib
from typing import Any

import msgspec

from plantainvane import documents
from plantainvane import workers
from standins import load as load_module
from standins import runner as runner_module
from standins import tasks as tasks_module
from standins import worker as worker_module

GUARANTEES = range(1, 10)
# Maximum difference between readings of the host's clock by two processes.
CLOCK_SLACK_S = 0.005
Violations = dict[int, list[str]]
_EXPIRED_MESSAGE_TYPE = "plantainvane:511:attempt_expired"


class _LoggedEvent(msgspec.Struct):
    """The fields of an entry process's log line that the audit uses."""

    message_type: str
    task: str = ""
    attempt: int = 0


def make_violations() -> Violations:
    """Returns an empty list of violations for each guarantee."""
    return {number: [] for number in GUARANTEES}


def read_attempts(path: pathlib.Path) -> list[worker_module.AttemptEntry]:
    """Reads a worker's audit file; keeps the last line of each attempt."""
    kind = worker_module.AttemptEntry
    entries: dict[tuple[str, int], worker_module.AttemptEntry] = {}
    for entry in _read_lines(path, kind):
        entries[entry.task, entry.attempt] = entry
    return list(entries.values())


def read_runs(path: pathlib.Path) -> list[runner_module.RunEntry]:
    """Reads a runner's audit file; keeps the last line of each run.

    Runs of the same request, as after a retry, differ in when they began.
    """
    entries: dict[tuple[str, float], runner_module.RunEntry] = {}
    for entry in _read_lines(path, runner_module.RunEntry):
        entries[entry.request_id, entry.began] = entry
    return list(entries.values())


def read_expired(path: pathlib.Path) -> set[tuple[str, int]]:
    """Reads the attempts whose lease an entry process logged as expired.

    Returns:
      (task, attempt) of each.
    """
    return {
        (line.task, line.attempt)
        for line in _read_lines(path, _LoggedEvent)
        if line.message_type == _EXPIRED_MESSAGE_TYPE
    }


def check_requests(
    violations: Violations,
    records: list[load_module.Record],
    runs: dict[str, list[runner_module.RunEntry]],
) -> None:
    """Checks guarantees 4, 5 and 6 for requests.

    Args:
      violations: New violations are added to it.
      records: Requests as recorded by the callers.
      runs: Runs recorded by each runner, by runner id.
    """
    by_id = collections.Counter()
    by_key = collections.Counter()
    for entries in runs.values():
        by_id.update(entry.request_id for entry in entries)
        by_key.update(entry.key for entry in entries)
    ended = {
        entry.request_id
        for entries in runs.values()
        for entry in entries
        if entry.ended is not None
    }
    for record in records:
        name = f"{record.service_class} {record.request_id}"
        if record.outcome == "wrong":
            violations[4].append(f"{name}: {record.detail}")
        if (
            record.outcome == "answered"
            and not record.key
            and record.request_id not in ended
        ):
            violations[4].append(f"{name}: answered, but no run of it ended")
        if record.outcome == "not_run" and by_id[record.request_id]:
            violations[5].append(f"{name}: reported as not run, but it ran")
    for key in {record.key for record in records if record.key}:
        if by_key[key] > 1:
            violations[6].append(
                f"idempotency key {key} ran {by_key[key]} times, not once"
            )


def check_attempts(
    violations: Violations,
    sizes: dict[str, documents.Size],
    attempts: dict[str, list[worker_module.AttemptEntry]],
    ended: dict[str, float],
    now: float,
) -> None:
    """Checks guarantees 1 and 2, and that each attempt number is used once.

    Args:
      violations: New violations are added to it.
      sizes: Capacity of each worker, by worker id.
      attempts: Attempts recorded by each worker, by worker id.
      ended: When workers were killed or ended, by worker id; this is the end of
        their attempts that have none recorded.
      now: Time of the audit, the end of attempts that are still running.
    """
    places: dict[str, list[tuple[float, float, str, int]]] = {}
    for worker, entries in attempts.items():
        for entry in entries:
            end = entry.ended or ended.get(worker, now)
            place = (entry.began, end, worker, entry.attempt)
            places.setdefault(entry.task, []).append(place)
        highest = find_highest(entries, ended.get(worker, now))
        for field in documents.Size.__struct_fields__:
            most, limit = getattr(highest, field), getattr(sizes[worker], field)
            if most > limit + 1e-6:
                text = f"{worker}: {most} of {limit} {field} committed"
                violations[1].append(text)
    for task, spans in places.items():
        _check_attempt_sequence(violations, task, sorted(spans))


def check_tasks(
    violations: Violations,
    records: list[tasks_module.TaskRecord],
    attempts: dict[str, list[worker_module.AttemptEntry]],
    expired: set[tuple[str, int]] = frozenset(),
) -> None:
    """Checks guarantees 3 and 6 for tasks.

    Args:
      violations: New violations are added to it.
      records: Tasks as recorded by the submitters.
      attempts: Attempts recorded by each worker, by worker id.
      expired: (task, attempt) of the leases that an owner logged as expired.
    """
    by_task: dict[str, list[worker_module.AttemptEntry]] = {}
    for entries in attempts.values():
        for entry in entries:
            by_task.setdefault(entry.task, []).append(entry)
    for record in records:
        entries = sorted(
            by_task.get(record.task, []), key=lambda entry: entry.attempt
        )
        if record.wrong:
            violations[3].append(f"{record.task}: {record.wrong}")
        _check_success(violations, record, entries, expired)
        if not record.idempotent:
            _check_steps_once(violations, record, entries)


def count_ran_twice(violations: Violations) -> int:
    """Counts the violations of guarantees 2 and 6.

    These concern tasks that ran in two places at the same time, and requests
    and tasks that ran more than once.
    """
    return len(violations[2]) + len(violations[6])


def count_violations(violations: Violations) -> dict[str, int]:
    """Counts the violations of each guarantee."""
    return {str(number): len(violations[number]) for number in GUARANTEES}


def find_highest(
    entries: list[worker_module.AttemptEntry], now: float
) -> documents.Size:
    """Computes the peak sum of declared sizes, for each resource separately.

    Attempts without an end count as running until `now`.
    """
    changes: list[tuple[float, int, documents.Size]] = []
    for entry in entries:
        # At equal times, ends sort before starts.
        changes.append((entry.began, 1, entry.size))
        changes.append((entry.ended or now, -1, entry.size))
    changes.sort(key=lambda change: change[:2])
    fields = documents.Size.__struct_fields__
    current = dict.fromkeys(fields, 0)
    highest = dict.fromkeys(fields, 0)
    for _, sign, size in changes:
        for field in fields:
            current[field] += sign * getattr(size, field)
            highest[field] = max(highest[field], current[field])
    return documents.Size(**highest)


def _read_lines(path: pathlib.Path, kind: Any) -> list[Any]:
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    # What follows the last newline is empty, or the incomplete line of a
    # process that was killed while it wrote.
    return [msgspec.json.decode(line, type=kind) for line in lines[:-1]]


def _check_attempt_sequence(
    violations: Violations,
    task: str,
    spans: list[tuple[float, float, str, int]],
) -> None:
    for before, after in zip(spans, spans[1:], strict=False):
        if after[0] < before[1] - CLOCK_SLACK_S:
            violations[2].append(
                f"{task}: attempt {after[3]} on {after[2]} began"
                f" {before[1] - after[0]:.3f} s before attempt {before[3]}"
                f" on {before[2]} ended"
            )
    numbers = [span[3] for span in spans]
    if len(set(numbers)) != len(numbers):
        violations[2].append(f"{task}: attempt numbers {numbers} repeat")


def _check_success(
    violations: Violations,
    record: tasks_module.TaskRecord,
    entries: list[worker_module.AttemptEntry],
    expired: set[tuple[str, int]],
) -> None:
    """Checks that exactly one attempt completed the last step.

    One exception is allowed: a worker that is unreachable until the lease has
    expired may have completed the attempt unnoticed. An idempotent task then
    runs again, but only after the lease's expiry as the worker recorded it.
    """
    for entry, after in zip(entries, entries[1:], strict=False):
        allowed = (
            record.idempotent
            and (entry.task, entry.attempt) in expired
            and after.began >= entry.lease_until
        )
        if entry.state == workers.AttemptState.SUCCEEDED and not allowed:
            violations[3].append(
                f"{record.task}: attempt {entry.attempt} completed the last"
                " step, but another attempt followed"
            )
    states = [entry.state for entry in entries]
    if record.outcome == "succeeded" and (
        workers.AttemptState.SUCCEEDED not in states
    ):
        violations[3].append(
            f"{record.task}: succeeded, but no attempt completed the last step"
        )


def _check_steps_once(
    violations: Violations,
    record: tasks_module.TaskRecord,
    entries: list[worker_module.AttemptEntry],
) -> None:
    """Checks that no attempt repeats steps of the one before it.

    An attempt may only follow one that was stopped, and must start at or after
    the step that the stopped one reached.
    """
    for before, after in zip(entries, entries[1:], strict=False):
        name = f"{record.task}: attempt {after.attempt}"
        if before.state != workers.AttemptState.STOPPED:
            violations[6].append(
                f"{name} follows one that is {before.state}, not stopped"
            )
        elif after.from_step < before.to_step:
            repeated = before.to_step - after.from_step
            violations[6].append(f"{name} repeats {repeated} steps")
