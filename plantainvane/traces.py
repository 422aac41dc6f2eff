"""Finds the log lines that explain one request, in the logs of processes."""

from collections.abc import Iterable
import dataclasses
from typing import Any

import msgspec

from plantainvane import events

# What happened to the log or the owner this long before or after a line of the
# request may explain it: a takeover and an outage last a few seconds.
_WINDOW_S = 5.0
_NEVER_SHOWN = ("message_type", "timestamp", "level", "job", "task", "subject")
_SURROUNDINGS = frozenset(
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
_RUNNER_CHANGES = frozenset(
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
class Line:
    """One log line.

    Attributes:
      source: What stood before the JSON object, or the name of the file.
      number: Number of the event, or -1.
      name: Name of the event.
      at: Unix time in seconds.
      subject: Id of the job, task or question, or empty.
      fields: All other fields.
    """

    source: str
    number: int
    name: str
    at: float
    subject: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str], source: str) -> list[Line]:
    """Reads log lines; what is not one JSON object of ours is left out."""
    lines = []
    for text in texts:
        prefix, brace, rest = text.partition("{")
        try:
            fields = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        line = _make_line(fields, prefix.strip() or source)
        if line is not None:
            lines.append(line)
    return lines


def _make_line(fields: Any, source: str) -> Line | None:
    if not isinstance(fields, dict):
        return None
    _, _, kind = str(fields.get("message_type", "")).partition(":")
    number, _, name = kind.partition(":")
    at = fields.get("timestamp")
    if not number.isdecimal() or not isinstance(at, int | float):
        return None
    subject = fields.get("task") or fields.get("job") or fields.get("subject")
    shown = {k: v for k, v in fields.items() if k not in _NEVER_SHOWN}
    return Line(source, int(number), name, float(at), str(subject or ""), shown)


def trace_request(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Lines of a request, and those that may explain them, by time.

    `request_id` is the id of a job or the name of one of its tasks. Changes of
    a runner are included if an attempt was ordered there; changes of the owner
    and of the log, if they are close to a line of the request.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if _is_of(line, request_id)]
    runners = {line.fields.get("runner") for line in own} - {None}
    times = [line.at for line in own]

    def explains(line: Line) -> bool:
        if not times or not times[0] - _WINDOW_S < line.at:
            return False
        if line.number in _RUNNER_CHANGES:
            return (
                line.fields.get("runner") in runners
                and line.at < times[-1] + _WINDOW_S
            )
        return line.number in _SURROUNDINGS and any(
            abs(line.at - at) < _WINDOW_S for at in times
        )

    return [
        line for line in lines if _is_of(line, request_id) or explains(line)
    ]


def _is_of(line: Line, request_id: str) -> bool:
    return line.subject == request_id or line.subject.startswith(
        request_id + "."
    )


def format_line(line: Line, started_at: float) -> str:
    """One line for people; times are seconds after `started_at`."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    subject = f" {line.subject}" if line.subject else ""
    return (
        f"{line.at - started_at:+9.3f} {line.source} "
        f"{line.number}:{line.name}{subject} {fields}"
    )
