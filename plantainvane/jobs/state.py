"""State of the owner of the jobs in one epoch."""

from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc
import msgspec

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import book as book_module
from plantainvane.jobs import expiries as expiries_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import interference
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import model
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import settings as settings_module

JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
# Keys of learned effects and of promised expiries in the topic of progress; no
# id of a job is like them.
LEARNED_KEY = "learned"
EXPIRIES_KEY = "expiries"


@dataclasses.dataclass(slots=True, eq=False)
class Owner:
    """State of the owner of one epoch.

    Attributes:
      epoch: Offset of the claim; the fencing token at the runners.
      started_at: When the claim was won.
      recovered: Stored state is loaded and runners have been fenced.
      lost: Set when a higher epoch was seen.
      doubts: Attempts on runners that are not listed, by runner id.
      undecodable: Runners whose entry is malformed and was reported.
      expiries: When nothing can run any more on runners that do not answer.
      tail_offset: Where the next read of the jobs topic starts.
    """

    settings: settings_module.Settings
    surroundings: interfaces.Surroundings
    epoch: int
    health: journal_module.Health
    get_configuration: Callable[[], model.Configuration | None]
    started_at: float
    book: book_module.Book
    journal: journal_module.Journal
    group: anyio.abc.TaskGroup
    runners: dict[str, runners_module.Runner] = dataclasses.field(
        default_factory=dict
    )
    doubts: dict[str, list[attempts.Run]] = dataclasses.field(
        default_factory=dict
    )
    expiries: expiries_module.LeaseExpiries = dataclasses.field(
        default_factory=expiries_module.LeaseExpiries
    )
    progress: dict[str, model.JobProgress] = dataclasses.field(
        default_factory=dict
    )
    queues: dict[str, model.Queue] = dataclasses.field(default_factory=dict)
    learned: interference.InterferenceModel = dataclasses.field(
        default_factory=interference.InterferenceModel
    )
    recovered: bool = False
    draining: bool = False
    lost: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    wake: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    next_move_at: float = 0.0
    next_clear_at: float = 0.0
    next_learned_at: float = 0.0
    tail_offset: int = 0
    list_offset: int = 0
    tickets: dict[tuple[str, str], tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    advising: set[str] = dataclasses.field(default_factory=set)
    undecodable: set[str] = dataclasses.field(default_factory=set)
    encoded: list[tuple[attempts.JobState, str]] = dataclasses.field(
        default_factory=list
    )

    def lose(self, reason: str) -> None:
        """Notes that another process is the owner."""
        if not self.lost.is_set():
            events.log_event(
                events.OWNER_FENCED, epoch=self.epoch, reason=reason
            )
            self.lost.set()

    def find_expiry(self, runner: str) -> float:
        """Time after which no lease of an earlier owner is left there."""
        return self.expiries.find_expiry(
            runner, self.started_at + self.settings.doubt_s
        )

    def poke(self) -> None:
        """Asks for a scheduling pass."""
        self.wake.set()


def store_expiries(owner: Owner, now: float) -> journal_module.Batch:
    """Stores the promised expiries as they are now."""
    left_s = owner.expiries.export_remaining_s(now)
    record = (EXPIRIES_KEY, msgspec.json.encode(left_s))
    return owner.journal.add([record])


def find_queue(owner: Owner, name: str) -> model.Queue | None:
    """Finds a queue as configured now, or as last configured."""
    configuration = owner.get_configuration()
    for queue in configuration.queues if configuration else ():
        if queue.name == name:
            owner.queues[name] = queue
            return queue
    return owner.queues.get(name)
