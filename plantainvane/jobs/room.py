"""Room of the owner for the tasks of further jobs.

The owner holds a limited number of tasks in memory. It reports how many more it
takes, and a job that needs more room is refused at submission.
"""

import dataclasses
import math
import zlib

from plantainvane.jobs import backlog
from plantainvane.jobs import checks
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import table as table_module

# Share of a new measurement in the smoothed rate, for one measurement a second.
# Jobs end one at a time and free all their tasks then.
_RATE_GAIN = 0.1
# An owner has loaded a job, or is behind, this long after it was stored; its
# reads of the log wait for new jobs.
_LOAD_S = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class Taken:
    """Room that a job takes which this process stores.

    Attributes:
      tasks: Number of its tasks.
      job_id: Id of the job.
      stored_at: When it was stored, or None before that.
    """

    tasks: int
    job_id: str
    stored_at: float | None = None


@dataclasses.dataclass(slots=True)
class Room:
    """What an owner can take, as last measured or reported.

    The room of jobs that this process stores is taken until the measurement or
    the report surely includes them.

    Attributes:
      free_tasks: Tasks of further jobs that it takes, or -1 if not known.
      freed_per_s: Smoothed number of tasks a second that it does not hold any
        more.
      freed_tasks: What the table had freed at the last measurement.
      measured_at: Time of that, or None before it.
      taken: Room of the jobs that it does not include yet.
    """

    free_tasks: int = -1
    freed_per_s: float = 0.0
    freed_tasks: int = 0
    measured_at: float | None = None
    taken: list[Taken] = dataclasses.field(default_factory=list)

    def measure(self, table: table_module.JobTable, now: float) -> None:
        """Measures the room in a table."""
        if self.measured_at is not None and now > self.measured_at:
            freed = table.freed_tasks - self.freed_tasks
            rate = freed / (now - self.measured_at)
            self.freed_per_s += _RATE_GAIN * (rate - self.freed_per_s)
        self.freed_tasks, self.measured_at = table.freed_tasks, now
        self.taken = [
            t
            for t in self.taken
            if t.job_id not in table.jobs and not _is_loaded(t, now)
        ]
        self._set_free(count_free(table))

    def apply_report(
        self, free_tasks: int, freed_per_s: float, asked_at: float
    ) -> None:
        """Applies the report of an owner that was asked at a time."""
        self.freed_per_s = freed_per_s
        self.taken = [t for t in self.taken if not _is_loaded(t, asked_at)]
        self._set_free(free_tasks)

    def take(self, tasks: int, job_id: str = "") -> Taken:
        """Counts a job that is being stored, and returns what to settle."""
        taken = Taken(tasks, job_id)
        self.taken.append(taken)
        if self.free_tasks >= 0:
            self.free_tasks = max(0, self.free_tasks - tasks)
        return taken

    def settle(self, taken: Taken, is_stored: bool, now: float) -> None:
        """Notes how the storing of a job has ended."""
        taken.stored_at = now
        if is_stored or taken not in self.taken:
            return
        self.taken.remove(taken)
        if self.free_tasks >= 0:
            self.free_tasks += taken.tasks

    def _set_free(self, free_tasks: int) -> None:
        self.free_tasks = free_tasks
        if free_tasks >= 0:
            taken = sum(t.tasks for t in self.taken)
            self.free_tasks = max(0, free_tasks - taken)


def _is_loaded(taken: Taken, now: float) -> bool:
    return taken.stored_at is not None and now - taken.stored_at >= _LOAD_S


def count_free(table: table_module.JobTable) -> int:
    """Returns how many tasks of further jobs the owner takes.

    Room for one more job of any size is kept for those that are accepted before
    the count is known everywhere. While a job has to wait for room, this is 0.
    """
    limit = checks.MAX_HELD_TASKS - checks.MAX_TASKS
    return max(0, limit - table.held_tasks)


def choose_retry_after(
    settings: settings_module.Settings, room: Room, tasks: int, job_id: str
) -> int:
    """Returns the whole seconds after which there should be room for a job.

    That is when as many tasks have been freed as are missing, at the present
    rate. Callers are spread over half as long again.
    """
    missing = max(0, tasks - room.free_tasks)
    wait_s = backlog.MAX_WAIT_S
    if room.freed_per_s > 0:
        wait_s = min(wait_s, missing / room.freed_per_s)
    spread = zlib.crc32(job_id.encode()) % 100 / 200
    return math.ceil(max(settings.retry_after_s, wait_s) * (1 + spread))
