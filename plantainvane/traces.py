"""Finds the log lines that explain one request, in the logs of processes."""

from collections.abc import Iterable
import dataclasses
from typing import Any

import msgspec

from plantainvane import events

# What happened to the log or the owner this long before or after a line of the
# request may explain it: a takeover and an outage last a few seconds.
_CONTEXT_WINDOW_S = 5.0
_OMITTED_FIELDS = (
    "message_type",
    "timestamp",
    "level",
    "job",
    "task",
    "subject",
)
_OWNER_AND_LOG_EVENTS = frozenset(
    event.number
    for event in (
        events.CLAIM_STARTED,
        events.CLAIM_DECIDED,
        events.OWNER_RECOVERED,
        events.OWNER_FENCED,
        events.OWNER_RELEASED,
        events.STORE_LOST,
        events.STORE_REGAINED,
    )
)
_RUNNER_EVENTS = frozenset(
    event.number
    for event in (
        events.RUNNER_DRAINING,
        events.RUNNER_UNLISTED,
        events.RUNNER_RESTARTED,
        events.RUNNER_SILENT,
        events.RUNNER_HEARD,
    )
)


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One log line.

    Attributes:
      source: What stood before the JSON object, or the name of the file.
      number: Number of the event, or -1.
      name: Name of the event.
      timestamp_s: Unix time in seconds.
      subject: Id of the job, task or question, or empty.
      fields: All other fields.
    """

    source: str
    number: int
    name: str
    timestamp_s: float
    subject: str
    fields: dict[str, Any]


def parse_lines(raw_lines: Iterable[str], source: str) -> list[LogLine]:
    """Reads log lines; what is not one JSON object of ours is left out."""
    lines = []
    for raw_line in raw_lines:
        prefix, brace, rest = raw_line.partition("{")
        try:
            fields = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        line = _parse_fields(fields, prefix.strip() or source)
        if line is not None:
            lines.append(line)
    return lines


def _parse_fields(fields: Any, source: str) -> LogLine | None:
    if not isinstance(fields, dict):
        return None
    _, _, numbered_name = str(fields.get("message_type", "")).partition(":")
    number, _, name = numbered_name.partition(":")
    timestamp = fields.get("timestamp")
    if not number.isdecimal() or not isinstance(timestamp, int | float):
        return None
    subject = fields.get("task") or fields.get("job") or fields.get("subject")
    shown = {k: v for k, v in fields.items() if k not in _OMITTED_FIELDS}
    return LogLine(
        source, int(number), name, float(timestamp), str(subject or ""), shown
    )


def trace_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Lines of a request, and those that may explain them, by time.

    `request_id` is the id of a job or the name of one of its tasks. Changes of
    a runner are included if an attempt was ordered there; changes of the owner
    and of the log, if they are close to a line of the request.
    """
    lines = sorted(lines, key=lambda line: line.timestamp_s)
    request_lines = [
        line for line in lines if _belongs_to_request(line, request_id)
    ]
    runners = {line.fields.get("runner") for line in request_lines} - {None}
    times = [line.timestamp_s for line in request_lines]

    def is_context(line: LogLine) -> bool:
        if not times or not times[0] - _CONTEXT_WINDOW_S < line.timestamp_s:
            return False
        if line.number in _RUNNER_EVENTS:
            return (
                line.fields.get("runner") in runners
                and line.timestamp_s < times[-1] + _CONTEXT_WINDOW_S
            )
        return line.number in _OWNER_AND_LOG_EVENTS and any(
            abs(line.timestamp_s - at) < _CONTEXT_WINDOW_S for at in times
        )

    return [
        line
        for line in lines
        if _belongs_to_request(line, request_id) or is_context(line)
    ]


def _belongs_to_request(line: LogLine, request_id: str) -> bool:
    return line.subject == request_id or line.subject.startswith(
        request_id + "."
    )


def format_line(line: LogLine, started_at: float) -> str:
    """One line for people; times are seconds after `started_at`."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    subject = f" {line.subject}" if line.subject else ""
    return (
        f"{line.timestamp_s - started_at:+9.3f} {line.source} "
        f"{line.number}:{line.name}{subject} {fields}"
    )
