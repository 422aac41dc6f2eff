"""Numbered log events; docs/events.md is the catalogue for operators.

Numbers: 1xx log streams, 2xx configuration, 3xx membership, 4xx claims,
5xx tasks, 6xx requests, 7xx process. A number is never used again.
"""

import dataclasses
import enum
import logging
import sys
from typing import Any

import eliot

from plantainvane import settings as settings_module


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


class _LibraryHandler(logging.Handler):
    """Passes on what libraries report through `logging`."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            LIBRARY_MESSAGE,
            logger=record.name,
            text=record.getMessage()[:1000],
            error=f"{type(error).__name__}: {error}" if error else "",
        )


def start_logging(settings: settings_module.Settings) -> None:
    """Sends events to `settings.log_file`, or to stderr without one."""
    output = sys.stderr
    if settings.log_file is not None:
        output = open(settings.log_file, "a", buffering=1)  # noqa: SIM115
    eliot.to_file(output)
    logging.getLogger().addHandler(_LibraryHandler(logging.WARNING))


APPEND_LIMITED = Event(101, "append_limited", Level.WARNING)
APPEND_REPLY_LOST = Event(102, "append_reply_lost", Level.WARNING)
APPEND_RESOLVED = Event(103, "append_resolved", Level.INFO)
APPEND_UNRESOLVED = Event(104, "append_unresolved", Level.ERROR)
APPEND_REFUSED = Event(105, "append_refused", Level.WARNING)
APPEND_RECOVERED = Event(106, "append_recovered", Level.INFO)
READ_FAILING = Event(111, "read_failing", Level.WARNING)
READ_RECOVERED = Event(112, "read_recovered", Level.INFO)
STREAM_UNREADABLE = Event(113, "stream_unreadable", Level.ERROR)
STREAM_READABLE = Event(114, "stream_readable", Level.INFO)
RECORD_UNDECODABLE = Event(115, "record_undecodable", Level.ERROR)
STREAM_SHORTENED = Event(116, "stream_shortened", Level.ERROR)

CONFIGURATION_CHANGED = Event(201, "configuration_changed", Level.INFO)
CHANGE_VOID = Event(202, "change_void", Level.WARNING)
SNAPSHOT_LOADED = Event(203, "snapshot_loaded", Level.INFO)
SNAPSHOT_REFUSED = Event(204, "snapshot_refused", Level.ERROR)
SNAPSHOT_WRITTEN = Event(205, "snapshot_written", Level.INFO)
SNAPSHOT_FAILED = Event(206, "snapshot_failed", Level.WARNING)

MEMBER_CHANGED = Event(301, "member_changed", Level.INFO)
MEMBER_SUSPECTED = Event(302, "member_suspected", Level.WARNING)
MEMBER_RESTARTED = Event(303, "member_restarted", Level.INFO)
MEMBER_DROPPED = Event(304, "member_dropped", Level.WARNING)
PEER_FAILED = Event(305, "peer_failed", Level.WARNING)

CLAIM_WON = Event(401, "claim_won", Level.INFO)
CLAIM_LOST = Event(402, "claim_lost", Level.WARNING)
CLAIM_LAPSED = Event(403, "claim_lapsed", Level.WARNING)
CLAIM_RELEASED = Event(404, "claim_released", Level.INFO)
CLAIM_FAILING = Event(405, "claim_failing", Level.WARNING)

SHARD_OPENED = Event(501, "shard_opened", Level.INFO)
WORKER_FENCED = Event(502, "worker_fenced", Level.INFO)
WORKER_UNREACHABLE = Event(503, "worker_unreachable", Level.WARNING)
WORKER_SUPERSEDED = Event(504, "worker_superseded", Level.WARNING)
WORKER_SUSPECTED = Event(505, "worker_suspected", Level.WARNING)
WORKER_THROTTLED = Event(506, "worker_throttled", Level.INFO)
WORKER_RELEASED = Event(507, "worker_released", Level.INFO)
EVICTION_STARTED = Event(508, "eviction_started", Level.INFO)
EVICTION_ABANDONED = Event(509, "eviction_abandoned", Level.WARNING)
ATTEMPT_FOREIGN = Event(510, "attempt_foreign", Level.WARNING)
ATTEMPT_EXPIRED = Event(511, "attempt_expired", Level.WARNING)
TASK_UNKNOWN = Event(512, "task_unknown", Level.ERROR)
TASK_FAILED = Event(513, "task_failed", Level.WARNING)
TASK_IMPOSSIBLE = Event(514, "task_impossible", Level.WARNING)
START_WITHHELD = Event(515, "start_withheld", Level.WARNING)

TARGET_LIST_EMPTY = Event(601, "target_list_empty", Level.WARNING)
TARGET_RETIRED = Event(602, "target_retired", Level.INFO)
TARGET_EJECTED = Event(603, "target_ejected", Level.WARNING)
REQUESTS_SHED = Event(604, "requests_shed", Level.WARNING)
RETRIES_SPENT = Event(605, "retries_spent", Level.WARNING)
REQUESTS_DRAINING = Event(606, "requests_draining", Level.INFO)

PROCESS_STARTED = Event(701, "process_started", Level.INFO)
KEY_CLAIM_FAILED = Event(702, "key_claim_failed", Level.WARNING)
PROCESS_READY = Event(703, "process_ready", Level.INFO)
PROCESS_NOT_READY = Event(704, "process_not_ready", Level.WARNING)
DRAIN_STARTED = Event(705, "drain_started", Level.INFO)
DRAIN_ENDED = Event(706, "drain_ended", Level.INFO)
PROCESS_STOPPED = Event(707, "process_stopped", Level.INFO)
LIST_FAILING = Event(708, "list_failing", Level.WARNING)
LIST_RECOVERED = Event(709, "list_recovered", Level.INFO)
CONFIG_FETCHED = Event(710, "config_fetched", Level.INFO)
CONFIG_FETCH_INVALID = Event(711, "config_fetch_invalid", Level.ERROR)
LIBRARY_MESSAGE = Event(712, "library_message", Level.WARNING)
RELEASE_FAILED = Event(713, "release_failed", Level.WARNING)
