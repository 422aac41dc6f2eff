"""Numbered log events; docs/events.md is the catalogue for operators.

Numbers: 1xx log streams, 2xx configuration, 3xx membership, 4xx claims,
5xx tasks, 6xx requests, 7xx process. A number is never used again.
"""

import dataclasses
import enum
from typing import Any

import eliot


class Level(enum.StrEnum):
    """How urgent an event is for the person on call."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of log event."""

    number: int
    name: str
    level: Level


def log_event(event: Event, **fields: Any) -> None:
    """Logs `event`; fields never hold request bodies or idempotency keys."""
    eliot.log_message(
        message_type=f"plantainvane:{event.number}:{event.name}",
        level=event.level.value,
        **fields,
    )


MEMBER_CHANGED = Event(301, "member_changed", Level.INFO)
MEMBER_SUSPECTED = Event(302, "member_suspected", Level.WARNING)
MEMBER_RESTARTED = Event(303, "member_restarted", Level.INFO)
MEMBER_DROPPED = Event(304, "member_dropped", Level.WARNING)
PEER_FAILED = Event(305, "peer_failed", Level.WARNING)

PROCESS_STARTED = Event(701, "process_started", Level.INFO)
KEY_CLAIM_FAILED = Event(702, "key_claim_failed", Level.WARNING)
