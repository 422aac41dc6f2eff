"""State of the process that owns the jobs, for one epoch."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

import anyio
import anyio.abc
import msgspec

from plantainvane import events
from plantainvane.jobs import attempts
from plantainvane.jobs import backlog as backlog_module
from plantainvane.jobs import budgets
from plantainvane.jobs import colocation as colocation_module
from plantainvane.jobs import expiries as expiries_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import interference
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import load as load_module
from plantainvane.jobs import model
from plantainvane.jobs import placement
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import room as room_module
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import table as table_module
from plantainvane.jobs import tokens

JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
# Keys of the learned effects and of the promised expiries in the progress
# topic. They cannot collide with job ids.
LEARNED_KEY = "learned"
EXPIRIES_KEY = "expiries"
# A poll of a runner that does not answer costs about 0.3 ms. The first rate
# keeps 80 runners that refuse calls at their shortest interval.
_SILENT_POLLS_PER_S = 200.0
_LIFELESS_POLLS_PER_S = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class ReadyGroup:
    """Ready tasks of a step that a scheduling pass tries together.

    Attributes:
      step: The step.
      tasks: The tasks as they were listed; empty once they are in the heap.
      heap: Heap of the tasks that have not been tried, suspects first and then
        by name.
    """

    step: attempts.StepState
    tasks: list[attempts.Task]
    heap: list[tuple[bool, str, attempts.Task]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Room on a runner that is kept free for a task.

    Attributes:
      task: The task.
      runner: Id of the runner.
      since: When it was reserved.
      expected_s: Time after which the room was expected to be free.
    """

    task: attempts.Task
    runner: str
    since: float
    expected_s: float


@dataclasses.dataclass(slots=True, eq=False)
class Owner:
    """State of the owner of one epoch.

    Attributes:
      epoch: Offset of the claim record; the fencing token for runners.
      started_at: When the claim was won.
      renewed_at: When the newest record of its claim was sent that is known to
        be stored; bounds the leases that it gives.
      renewal_sent_at: When the first renewal was sent of those that may be
        stored; inf without any.
      former_renewed_at: When the last record of the claim before was first
        seen, or None without one; bounds the leases of earlier owners.
      claims_seen: When this process first saw each claim, by epoch.
      earlier_leases_until: When all leases of earlier owners have expired, by
        what they have said, or None if that is not known.
      waives_leases: No lease is extended, as a successor may count on that.
      offers: The ownership is being offered to peers.
      offered_until: When the last offer ended.
      orphans: Attempts on unlisted runners, by runner id.
      expiries: When the leases on unresponsive runners have expired.
      progress: Stored progress by job id, as loaded at recovery.
      ended_since: When the end of each job was first found stored, by job id.
      early_cancels: When the cancel of each job was stored whose record had not
        been found, by job id.
      queues: Each queue as last configured, by name; removed queues stay.
      interference_model: Learned effects of fill images on serving images.
      loading: The stored jobs are being loaded, and no session has begun.
      recovered: Stored state is loaded; runners were fenced or timed out.
      recovery_ended: Set when the owner has recovered, or has stepped down.
      confirmed_at: When the last read of the log began that found no later
        claim while the ownership was on offer.
      questions: Scopes of the questions that are being answered.
      stepped_down: Set when this process stops being the owner.
      pass_requested: Set to start a scheduling pass.
      unvisited: Ready tasks that an earlier scheduling pass has listed and none
        has tried since, in their order.
      reservations: Room that is kept free for tasks, by name of the task.
      next_move_at, next_clear_at, next_effects_at: Earliest time to move slowed
        fill tasks, to clear a runner and to store the learned effects again.
      jobs_offset: Where the next read of the jobs topic starts.
      jobs_behind: The last read of the jobs topic did not reach its end.
      tokens_issued: Number of fencing tokens issued, by id of the runner.
      runners_offset: Where the next read of the runners topic starts.
      evacuated: Failure domains that the operator has evacuated.
      shut_out: Services, and labels or empty, whose runners are all evacuated.
      starts_in_flight: Number of attempts whose start has no outcome yet.
      stops_in_flight: Number of stops whose first order has no outcome yet, at
        runners that answer polls.
      tickets: Ticket and its expiry, by name of the step and runner id; an
        empty ticket if the adviser does not allow the runner.
      advice_in_flight: Names of the steps that the adviser is being asked for.
      malformed_runners: Runners whose malformed entry has been reported.
      moved_entries: Newest entry that names another address of a runner, by
        runner id, while the runner is being asked at its own address.
      silent_polls: Limits the polls of silent runners without attempts.
      lifeless_polls: Limits those of runners that show no life.
      checks_epoch: An epoch that a peer has named is being looked up.
      epoch_refuted_at: When a line was last logged that the log knows none.
      paced_runners: Ids of the runners with serving tasks and fill tasks.
      appending: Jobs in the append under way, with their outcome.
      load: Load of this process.
      estimates: Intermediate results of the last scheduling pass.
      estimated_at: Time to which these apply.
      backlog: What waits while this process cannot keep up.
      room: Tasks of further jobs that this process takes.
      colocation: Limits and counts of the lines about fill tasks.
      reach: What this process hears of its runners, if that is few.
      reach_checks: Checks under way, by the report that a standby compares.
      reach_changed: Set to report at once that `reach` begins or ends.
    """

    settings: settings_module.Settings
    adapters: interfaces.Adapters
    epoch: int
    health: journal_module.Health
    get_configuration: Callable[[], model.Configuration | None]
    started_at: float
    table: table_module.JobTable
    journal: journal_module.Journal
    group: anyio.abc.TaskGroup
    runners: dict[str, runners_module.Runner] = dataclasses.field(
        default_factory=dict
    )
    orphans: dict[str, list[attempts.Run]] = dataclasses.field(
        default_factory=dict
    )
    expiries: expiries_module.LeaseExpiries = dataclasses.field(
        default_factory=expiries_module.LeaseExpiries
    )
    renewed_at: float = float("inf")
    renewal_sent_at: float = float("inf")
    former_renewed_at: float | None = None
    claims_seen: dict[int, float] = dataclasses.field(default_factory=dict)
    earlier_leases_until: float | None = None
    waives_leases: bool = False
    offers: bool = False
    offered_until: float = float("-inf")
    progress: dict[str, model.JobProgress] = dataclasses.field(
        default_factory=dict
    )
    ended_since: dict[str, float] = dataclasses.field(default_factory=dict)
    early_cancels: dict[str, float] = dataclasses.field(default_factory=dict)
    queues: dict[str, model.Queue] = dataclasses.field(default_factory=dict)
    interference_model: interference.InterferenceModel = dataclasses.field(
        default_factory=interference.InterferenceModel
    )
    loading: bool = False
    recovered: bool = False
    recovery_ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    draining: bool = False
    confirmed_at: float = float("-inf")
    questions: set[anyio.CancelScope] = dataclasses.field(default_factory=set)
    stepped_down: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    pass_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    unvisited: collections.deque[ReadyGroup] = dataclasses.field(
        default_factory=collections.deque
    )
    reservations: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    next_move_at: float = 0.0
    next_clear_at: float = 0.0
    next_effects_at: float = 0.0
    jobs_offset: int = 0
    jobs_behind: bool = True
    tokens_issued: dict[str, int] = dataclasses.field(default_factory=dict)
    runners_offset: int = 0
    evacuated: frozenset[str] = frozenset()
    shut_out: tuple[tuple[str, str], ...] = ()
    starts_in_flight: int = 0
    stops_in_flight: int = 0
    tickets: dict[tuple[str, str], tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    advice_in_flight: set[str] = dataclasses.field(default_factory=set)
    malformed_runners: set[str] = dataclasses.field(default_factory=set)
    moved_entries: dict[str, model.RunnerEntry] = dataclasses.field(
        default_factory=dict
    )
    silent_polls: budgets.Budget = dataclasses.field(
        default_factory=lambda: budgets.Budget(_SILENT_POLLS_PER_S)
    )
    lifeless_polls: budgets.Budget = dataclasses.field(
        default_factory=lambda: budgets.Budget(_LIFELESS_POLLS_PER_S)
    )
    checks_epoch: bool = False
    epoch_refuted_at: float = float("-inf")
    paced_runners: set[str] = dataclasses.field(default_factory=set)
    appending: list[tuple[attempts.JobState, str]] = dataclasses.field(
        default_factory=list
    )
    load: load_module.Load = dataclasses.field(default_factory=load_module.Load)
    estimates: placement.Estimates = dataclasses.field(
        default_factory=placement.Estimates
    )
    estimated_at: float = 0.0
    backlog: backlog_module.Backlog = dataclasses.field(
        default_factory=backlog_module.Backlog
    )
    room: room_module.Room = dataclasses.field(default_factory=room_module.Room)
    colocation: colocation_module.Report = dataclasses.field(
        default_factory=colocation_module.Report
    )
    reach: reach_module.Reach | None = None
    reach_checks: dict[reach_module.Reach, reach_module.Check] = (
        dataclasses.field(default_factory=dict)
    )
    reach_changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def end_recovery(self) -> None:
        """Lets questions be answered and tasks be started."""
        self.recovered = True
        self.recovery_ended.set()

    def step_down(self, reason: str) -> None:
        """Ends this ownership; only the first `reason` is logged."""
        self.recovery_ended.set()
        if not self.stepped_down.is_set():
            events.log_event(
                events.OWNER_FENCED, epoch=self.epoch, reason=reason
            )
            self.stepped_down.set()
            for scope in self.questions:
                scope.cancel()

    def issue_token(self, runner: str) -> int:
        """Returns a fencing token above all issued for a runner, by its id.

        The ownership ends with its last token, as the next one has more.
        """
        number = self.tokens_issued.get(runner, 0) + 1
        self.tokens_issued[runner] = number
        token = tokens.make_token(self.epoch, number)
        if tokens.is_last(token):
            self.step_down("tokens used up")
        return token

    def find_expiry(self, runner: str) -> float:
        """Returns when all leases of earlier owners there have expired."""
        return self.expiries.find_expiry(runner, self.find_earlier_limit())

    def find_earlier_limit(self) -> float:
        """Returns when all leases of earlier owners have expired."""
        renewed_at = self.started_at
        if self.former_renewed_at is not None:
            renewed_at = min(renewed_at, self.former_renewed_at)
        limit = renewed_at + self.settings.old_lease_limit_s
        if self.earlier_leases_until is None:
            return limit
        return min(limit, self.earlier_leases_until)

    def limit_earlier_leases(self, until: float) -> None:
        """Records that all leases of earlier owners have expired by a time."""
        until = min(until, self.find_earlier_limit())
        self.earlier_leases_until = until
        self.expiries.limit(until, self.epoch)
        for key, runner in self.runners.items():
            if runner.moved:
                continue
            limit = min(runner.earlier_leases_until, until)
            runner.earlier_leases_until = limit
            own = runner.find_lease_expiry(self.settings)
            # What this owner has promised includes its own leases.
            self.expiries.limit_runner(key, max(own, limit))

    def find_claim_limit(self, epoch: int) -> float:
        """Returns when the leases of owners before that of `epoch` expired.

        That one has fenced them off as this process first saw its claim.
        """
        seen_at = self.claims_seen.get(epoch, self.started_at)
        return seen_at + self.settings.old_lease_limit_s

    def find_lease_limit(self, since: int) -> float:
        """Returns when the leases of owners before `since` have expired.

        Each later claim ends them, and this process saw it no earlier than it
        was made. Unlike a stored remaining time, that includes the time between
        two owners.
        """
        seen = [at for epoch, at in self.claims_seen.items() if epoch >= since]
        claimed_at = min(seen, default=self.started_at)
        limit = claimed_at + self.settings.old_lease_limit_s
        return min(limit, self.find_earlier_limit())

    def request_pass(self) -> None:
        """Requests a scheduling pass."""
        self.pass_requested.set()


def note_outdated(
    owner: Owner, runner: runners_module.Runner, token: int
) -> bool:
    """Logs a refused call with an earlier token of this owner.

    Returns whether it is one, so that it may be sent again: a new life of the
    runner was found while it was under way, and nothing was done.
    """
    present = owner.runners.get(runner.entry.id, runner).token
    if token >= present:
        return False
    events.log_event(
        events.CALL_OUTDATED,
        runner=runner.entry.id,
        token=token,
        present_token=present,
        epoch=owner.epoch,
    )
    return True


def choose_start_token(owner: Owner, runner: runners_module.Runner) -> int:
    """Returns the token of a start, above that of an open poll.

    That may be carried out late, by a life that has carried out the start: it
    would acknowledge the end, or extend the lease.
    """
    if runner.open_token is not None:
        outdate_call(owner, runner, runner.open_token)
    return runner.token


def outdate_call(
    owner: Owner, runner: runners_module.Runner, token: int
) -> None:
    """Has a runner refuse a call that may come late, once it sees a later one.

    Whichever life that reaches refuses it.
    """
    if runner.token == token:
        runner.token = owner.issue_token(runner.entry.id)


def store_expiries(owner: Owner, now: float) -> journal_module.Batch:
    """Stores the current set of promised expiries."""
    left_s = owner.expiries.export_remaining_s(now)
    record = (EXPIRIES_KEY, msgspec.json.encode(left_s))
    return owner.journal.add([record])


async def withdraw_expiries(
    owner: Owner, runners: Collection[str], now: float
) -> None:
    """Withdraws promises; leases may be extended once that is stored."""
    for runner in runners:
        owner.expiries.withdraw(runner)
    await store_expiries(owner, now).stored.wait()
    for runner in runners:
        owner.expiries.complete_withdrawal(runner)
        # The runner may have been replaced or added in the meantime.
        known = owner.runners.get(runner)
        if known is not None:
            known.expiry_promised = owner.expiries.is_binding(runner)
    owner.request_pass()


def find_queue(owner: Owner, name: str) -> model.Queue | None:
    """Returns a queue as configured, or as it was before its removal."""
    configuration = owner.get_configuration()
    for queue in configuration.queues if configuration else ():
        if queue.name == name:
            owner.queues[name] = queue
            return queue
    return owner.queues.get(name)
