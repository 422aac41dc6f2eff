"""Measures what jobs with many occurrences cost an owner of the job scheduler.

Each job has 20,000 occurrences of one task, one a minute, the most that a job
may have. The jobs are added as an owner loads them, and the seconds that follow
are simulated: what is due is started and ends. A turn is one run of the event
loop without a pause.
"""

import time
import tracemalloc
from typing import Any

from plantainvane.jobs import backlog
from plantainvane.jobs import model
from plantainvane.jobs import recovery
from plantainvane.jobs import table as table_module

_OCCURRENCES_PER_JOB = 20_000
_SIZES = (120_000, 1_000_000)
_INTERVAL_MS = 60_000
_SIMULATED_S = 150
_MS_PER_S = 1000
_BYTES_PER_MB = 1e6
_QUEUE = model.Queue("q", "h", "/q/", "s")


def run_measurements() -> dict[str, Any]:
    """Returns the memory in MB and the longest turns in ms, by size."""
    return {f"{size} occurrences": _measure(size) for size in _SIZES}


def _measure(size: int) -> dict[str, Any]:
    jobs = [
        _make_job(f"{number:016x}", _OCCURRENCES_PER_JOB)
        for number in range(size // _OCCURRENCES_PER_JOB)
    ]
    tracemalloc.start()
    table = table_module.JobTable()
    _load_jobs(table, jobs)
    loaded_bytes = tracemalloc.get_traced_memory()[0]
    _simulate(table)
    played_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    table = table_module.JobTable()
    load_turn_s = _load_jobs(table, jobs)
    look_turn_s = _look_at_tasks(table)
    sweep_turn_s, ended = _simulate(table)
    later = _make_job("f" * 16, 0)
    table.add_job(later, _QUEUE, None, 0.0, 0)
    return {
        "jobs": len(jobs),
        "held_tasks": table.held_tasks,
        "deferred_jobs": len(table.deferred),
        "later_job_is_ready": f"{later.id}.0.0.0" in table.ready,
        "loaded_mb": round(loaded_bytes / _BYTES_PER_MB, 2),
        f"after_{_SIMULATED_S}_s_mb": round(played_bytes / _BYTES_PER_MB, 2),
        "tasks_ended": ended,
        "load_turn_ms": round(load_turn_s * _MS_PER_S, 2),
        "look_at_open_tasks_ms": round(look_turn_s * _MS_PER_S, 2),
        "sweep_turn_ms": round(sweep_turn_s * _MS_PER_S, 2),
    }


def _make_job(job_id: str, occurrences: int) -> model.Job:
    return model.Job(
        id=job_id,
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=(model.Step(count=1, estimate_ms=1000),),
        repeat_count=occurrences,
        start_at_ms=1000,
        interval_ms=_INTERVAL_MS,
    )


def _load_jobs(table: table_module.JobTable, jobs: list[model.Job]) -> float:
    """Adds the jobs as a recovery does; returns the longest turn in seconds."""
    longest_s = 0.0
    per_turn = recovery._RECORDS_PER_TURN
    for first in range(0, len(jobs), per_turn):
        began = time.perf_counter()
        for job in jobs[first : first + per_turn]:
            table.add_job(job, _QUEUE, None, 0.0, 0)
        longest_s = max(longest_s, time.perf_counter() - began)
    return longest_s


def _look_at_tasks(table: table_module.JobTable) -> float:
    """Returns the seconds that the once-a-second look at open tasks takes."""
    known = backlog.Backlog(behind_since=-10.0)
    began = time.perf_counter()
    known.measure(table.tasks.values(), 1.0)
    return time.perf_counter() - began


def _simulate(table: table_module.JobTable) -> tuple[float, int]:
    """Returns the longest turn of a sweep in seconds, and the tasks ended."""
    longest_s, ended = 0.0, 0
    for second in range(_SIMULATED_S):
        unfinished = True
        while unfinished:
            began = time.perf_counter()
            unfinished = table.add_deferred_tasks(second, second * _MS_PER_S)
            longest_s = max(longest_s, time.perf_counter() - began)
        due = [t for t in table.ready.values() if t.step.due_at <= second]
        for task in due:
            run = table.begin_run(task, "r", second)
            table.end_run(run, "done", "", second, second * _MS_PER_S)
        ended += len(due)
        table.changed.clear()
    return longest_s, ended
