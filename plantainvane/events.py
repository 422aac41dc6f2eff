"""Numbered log events; docs/events.md documents them for operators.

Numbers: 1xx log streams, 2xx configuration, 3xx membership, 4xx claims,
5xx tasks, 6xx requests, 7xx process, 8xx and 9xx jobs. Numbers are never
reused.
"""

import dataclasses
import enum
import logging
import sys
import time
from typing import Any

import eliot

from plantainvane import settings as settings_module

_LOGGER = eliot.Logger()


class Level(enum.StrEnum):
    """Severity of an event for the on-call operator."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A type of log event."""

    number: int
    name: str
    level: Level


def log_event(event: Event, **fields: Any) -> None:
    """Logs `event` with `fields`.

    Fields must never contain request bodies or idempotency keys.
    """
    # `eliot.log_message` begins an action for each message, with a new UUID,
    # which costs several times the rest of the line.
    _LOGGER.write(
        {
            "level": event.level.value,
            **fields,
            "timestamp": time.time(),
            "message_type": f"plantainvane:{event.number}:{event.name}",
        }
    )


class _LibraryHandler(logging.Handler):
    """Logs messages that libraries send to `logging` as events."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            LIBRARY_MESSAGE,
            logger=record.name,
            text=record.getMessage()[:1000],
            error=f"{type(error).__name__}: {error}" if error else "",
        )


def start_logging(settings: settings_module.Settings) -> None:
    """Writes events to `settings.log_file`, or to stderr if it is not set."""
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

JOB_ACCEPTED = Event(801, "job_accepted", Level.INFO)
JOB_REFUSED = Event(802, "job_refused", Level.WARNING)
JOB_UNKNOWN_OUTCOME = Event(803, "job_unknown_outcome", Level.WARNING)
JOB_LOADED = Event(804, "job_loaded", Level.INFO)
JOB_CANCELLED = Event(805, "job_cancelled", Level.INFO)
JOB_ENDED = Event(806, "job_ended", Level.INFO)
TASK_ORDERED = Event(811, "task_ordered", Level.INFO)
TASK_ENDED = Event(812, "task_ended", Level.INFO)
TASK_STOPPED = Event(813, "task_stopped", Level.INFO)
TASK_LOST = Event(814, "task_lost", Level.WARNING)
QUESTION_FAILED = Event(816, "question_failed", Level.WARNING)
ADVICE_FAILED = Event(817, "advice_failed", Level.WARNING)
TASK_GIVEN_UP = Event(818, "task_given_up", Level.ERROR)
START_DROPPED = Event(819, "start_dropped", Level.INFO)
RUNNER_ADDED = Event(821, "runner_added", Level.INFO)
RUNNER_DRAINING = Event(822, "runner_draining", Level.INFO)
RUNNER_UNLISTED = Event(823, "runner_unlisted", Level.INFO)
RUNNER_RESTARTED = Event(824, "runner_restarted", Level.WARNING)
RUNNER_SILENT = Event(825, "runner_silent", Level.WARNING)
RUNNER_HEARD = Event(826, "runner_heard", Level.INFO)
RUNNER_CAPACITY_CHANGED = Event(828, "runner_capacity_changed", Level.INFO)
RUNNER_CRASHED = Event(829, "runner_crashed", Level.WARNING)
CLAIM_STARTED = Event(831, "claim_started", Level.INFO)
CLAIM_DECIDED = Event(832, "claim_decided", Level.INFO)
OWNER_RECOVERED = Event(833, "owner_recovered", Level.INFO)
OWNER_FENCED = Event(834, "owner_fenced", Level.WARNING)
OWNER_RELEASED = Event(835, "owner_released", Level.INFO)
ABLER_PEER_FOUND = Event(836, "abler_peer_found", Level.INFO)
FEW_RUNNERS_HEARD = Event(837, "few_runners_heard", Level.WARNING)
ENOUGH_RUNNERS_HEARD = Event(838, "enough_runners_heard", Level.INFO)
REACH_COMPARED = Event(839, "reach_compared", Level.INFO)
STORE_LOST = Event(841, "store_lost", Level.WARNING)
STORE_REGAINED = Event(842, "store_regained", Level.INFO)
QUEUES_CHANGED = Event(843, "queues_changed", Level.INFO)
SETTINGS_RELOADED = Event(844, "settings_reloaded", Level.INFO)
DOCUMENT_UNDECODABLE = Event(845, "document_undecodable", Level.ERROR)
LOOP_LATE = Event(846, "loop_late", Level.WARNING)
PASS_SLOW = Event(847, "pass_slow", Level.WARNING)
OWNER_LOAD = Event(848, "owner_load", Level.INFO)
TASK_WAITS = Event(849, "task_waits", Level.INFO)
TASKS_NOT_AT_WORK = Event(850, "tasks_not_at_work", Level.WARNING)
ATTEMPTS_OUTLIVE_TASK = Event(851, "attempts_outlive_task", Level.WARNING)
STOP_ANSWERED = Event(852, "stop_answered", Level.INFO)
STOP_CALL_HUNG = Event(853, "stop_call_hung", Level.WARNING)
RUNNER_IGNORES_STOPS = Event(854, "runner_ignores_stops", Level.WARNING)
CANCEL_ANSWERED = Event(855, "cancel_answered", Level.INFO)
COLOCATION = Event(856, "colocation", Level.INFO)
FILL_HALTED = Event(857, "fill_halted", Level.INFO)
OWNER_BEHIND = Event(858, "owner_behind", Level.WARNING)
APPEND_UNCONFIRMED = Event(860, "append_unconfirmed", Level.WARNING)
JOB_CANCELLED_EARLY = Event(861, "job_cancelled_early", Level.INFO)
LEASES_KEPT = Event(865, "leases_kept", Level.INFO)
RUNNER_CLOCK_CORRECTED = Event(870, "runner_clock_corrected", Level.WARNING)
PROGRESS_CONTRADICTORY = Event(871, "progress_contradictory", Level.ERROR)
JOB_UNSERVABLE = Event(872, "job_unservable", Level.ERROR)
ATTEMPTS_UNCHARGED = Event(881, "attempts_uncharged", Level.ERROR)
RUNNER_MOVE_REFUSED = Event(885, "runner_move_refused", Level.WARNING)
PEER_MESSAGE_MALFORMED = Event(886, "peer_message_malformed", Level.WARNING)
EPOCH_REFUTED = Event(887, "epoch_refuted", Level.WARNING)
RUNNER_ENDS_CUT = Event(888, "runner_ends_cut", Level.INFO)
SIGNAL_IGNORED = Event(889, "signal_ignored", Level.INFO)
FORMER_LEASES_KNOWN = Event(890, "former_leases_known", Level.INFO)
CONFIGURATION_SOUGHT = Event(891, "configuration_sought", Level.INFO)
QUEUE_UNKNOWN = Event(892, "queue_unknown", Level.INFO)
LIBRARY_ERROR = Event(893, "library_error", Level.ERROR)
ROOM_RESERVED = Event(894, "room_reserved", Level.INFO)
RESERVATION_ENDED = Event(895, "reservation_ended", Level.INFO)
LONG_RUNNING_RESTARTED = Event(896, "long_running_restarted", Level.INFO)
EVACUATION_CHANGED = Event(900, "evacuation_changed", Level.INFO)
EVACUATION_MALFORMED = Event(901, "evacuation_malformed", Level.ERROR)
DOMAIN_EVACUATED = Event(902, "domain_evacuated", Level.INFO)
EVACUATION_UNKNOWN = Event(903, "evacuation_unknown", Level.WARNING)
WORK_SHUT_OUT = Event(904, "work_shut_out", Level.WARNING)
OWNER_FULL = Event(908, "owner_full", Level.WARNING)
JOB_DEFERRED = Event(909, "job_deferred", Level.WARNING)
RUNNER_ENDS_MISSED = Event(910, "runner_ends_missed", Level.ERROR)
CALL_OUTDATED = Event(911, "call_outdated", Level.INFO)
ENDS_IN_DOUBT = Event(912, "ends_in_doubt", Level.WARNING)
LOST_TASK_ENDED = Event(913, "lost_task_ended", Level.INFO)
START_STRAYED = Event(914, "start_strayed", Level.WARNING)
