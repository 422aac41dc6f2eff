"""Errors that libraries raise unforeseen: logged, and outcomes for the caller.

An error of this project's own code is a broken invariant, and ends the process.
"""

import traceback
import types

import prometheus_client

from plantainvane import events

_OWN_PACKAGE = "plantainvane"
_LIBRARIES = frozenset(
    {
        "anyio",
        "asyncio",
        "grpclib",
        "h11",
        "h2",
        "hpack",
        "httptools",
        "httpx",
        "hypercorn",
        "msgspec",
    }
)
# Shortest time between two lines about the same kind of error.
_REPORT_INTERVAL_S = 10.0
# Longest traceback that is logged; its end tells most.
_MAX_TRACEBACK_CHARACTERS = 2000
# Kinds of errors that are told apart.
_MAX_KINDS = 100

_ERRORS = prometheus_client.Counter(
    "plantainvane_library_errors_total",
    "Errors that a library raised unforeseen; each failed one call.",
    ["library"],
)
_reported_at: dict[tuple[str, str], float] = {}


def take_error(error: Exception, now: float) -> str:
    """Logs an error that a library raised, and returns its description.

    Args:
      error: An error that the caller does not expect of the library.
      now: Present time in seconds, of any steady clock.

    Raises:
      Exception: `error` itself, if this project's own code raised it.
    """
    library = find_library(error)
    if not library:
        raise error
    description = f"{type(error).__name__}: {error}"
    _ERRORS.labels(library).inc()
    kind = (library, type(error).__name__)
    last_at = _reported_at.get(kind, float("-inf"))
    if now - last_at >= _REPORT_INTERVAL_S and (
        kind in _reported_at or len(_reported_at) < _MAX_KINDS
    ):
        _reported_at[kind] = now
        text = "".join(traceback.format_exception(error))
        events.log_event(
            events.LIBRARY_ERROR,
            library=library,
            error=description[:_MAX_TRACEBACK_CHARACTERS],
            traceback=text[-_MAX_TRACEBACK_CHARACTERS:],
        )
    return description


def find_library(error: BaseException) -> str:
    """Returns the library in whose code an error was raised; else empty.

    Standard modules count with the code that called them.
    """
    library, frame = "", error.__traceback__
    while frame is not None:
        package = _find_package(frame)
        if package == _OWN_PACKAGE:
            library = ""
        elif package in _LIBRARIES:
            library = package
        frame = frame.tb_next
    return library


def _find_package(frame: types.TracebackType) -> str:
    name = frame.tb_frame.f_globals.get("__name__", "")
    return str(name).partition(".")[0]
