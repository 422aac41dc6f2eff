"""State of each runner as last known, and the resources charged to it."""

import dataclasses

import anyio

from plantainvane.jobs import attempts
from plantainvane.jobs import budgets
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import settings as settings_module

# A slowed fill task stays charged with at least this share of its processors,
# so that it can speed up again.
_MIN_CHARGED_PACE_PERCENT = 20
# Stops that are sent again to a runner that answers none; a silent runner is
# polled as often.
_STOP_REPEATS_PER_S = 10.0
# A call without an answer may be carried out for this long.
LATE_CALL_S = 6.0
# An order to start without an answer may be carried out for this long.
LATE_START_S = 12.0
# Times of day of two machines differ by no more than this; the platform allows
# starts that are early by as much on days on which clocks jump.
CLOCK_DIFFERENCE_S = 5.0
# Calls of an owner that are meant for the life before reach a life within this
# time of its start: 3 s until a poll finds it, then late ones.
_STRAY_CALLS_S = 3.0 + LATE_START_S + CLOCK_DIFFERENCE_S
# A clock that is behind the known one by less than this, beyond what its rate
# explains, counts as the same. The margin of leases is larger.
_CLOCK_BEHIND_S = 0.1
# The same for a clock that is ahead, as the known reading may have come late.
# Leases end earlier by it.
_CLOCK_AHEAD_S = 0.5
# A runner writes its entry about once in 1.5 s, and the platform removes it
# after three times that.
_ENTRY_AGE_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """State of a runner, with the resources of the attempts charged to it.

    Processors are thousandths of a core. Times are seconds of this process's
    clock, except those in milliseconds, which are on the runner's clock.

    Attributes:
      entry: Its newest entry in the platform's list.
      calls: Client that sends orders to it.
      rack: Label that names its rack, or empty.
      listed: The entry is still in the list, and is that of the present
        incarnation.
      evacuated: The operator has its failure domain evacuated.
      entry_awaited: Only a poll has told of the present incarnation; its own
        entry has not been read.
      announced: Entry of another incarnation than the present one, or None. A
        poll tells whether that one runs.
      announced_at: When an entry of that incarnation was first read.
      missed_life: An entry has told of an incarnation since the last answer to
        a poll that was sent later. Unlike `announced`, this outlasts the entry.
      refuted_born_ms: Incarnation of an entry that a later poll did not find,
        or None.
      entry_read_at: When an entry under its id and address was last read.
      token: Fencing token of calls to its present incarnation.
      heard: It has answered a poll of this owner.
      fenced: Its present incarnation has answered a poll that carried `token`,
        so it rejects calls of earlier owners, and calls to earlier
        incarnations.
      was_fenced: The present incarnation has done so before.
      born_at: When this process learned of the present incarnation. An answer
        to a later poll comes from it or from one that followed; `born_ms` may
        be lower there, as the time of day may be set back.
      restarted_at: When this process learned of its last restart, if any.
      last_stored_end: Sequence number of the newest stored end of an attempt.
      acknowledged_end: That of the newest end that it may have forgotten.
      acknowledging_end: Number that the last poll carried to acknowledge ends.
      open_token: Token of the poll that acknowledges ends or requests a lease
        and has no answer yet, or None. Starts carry a higher one.
      last_listed_end: That of the newest listed end, or None if this owner has
        not seen the first ends of the present incarnation.
      clock_read_at, clock_ms: When its clock was read, and the reading.
      clock_listed: The reading is from its entry, which may be of another life
        or by another writer. Its own answers may show any other time.
      lease_until_ms: Latest end of a lease that was requested, on its clock.
      lease_requested_at: When that was requested.
      late_lease_until: When a lease that was requested on a wrong clock, by a
        call without an answer, has expired even if it is granted late.
      strayed: An answer to a start has shown the clock of another life than the
        known one, and no poll has found that.
      stray_grants_until: Until when such a life may have carried out a start,
        or a poll that requested a lease.
      late_grants_until: When leases have expired that calls to an earlier
        incarnation, or of an earlier owner, may be granted. These name a time
        on another clock.
      lease_withheld: It has not answered the last poll that was sent while the
        jobs were loaded, and gets no lease before it answers.
      renewed_at: When the newest lease that it has accepted was requested.
      earlier_leases_until: When the leases that earlier owners have granted, or
        that were granted at its earlier address, have certainly expired; minus
        infinity once it has accepted a lease that covers them.
      moved: It was known at another address before.
      answered_at: When it last answered a poll.
      polled_at: When the last poll was sent to it while it was not silent.
      up_at: When it was last known to be up.
      down_from, down_at: Between these times it stopped answering, the last
        time that it did.
      suspected: Names of the tasks and gangs that had been started shortly
        before that.
      down_in_trial: One task or gang had been started shortly before that, and
        it was a suspect already.
      trial_until: Until this time nothing else is started there, because a task
        that may crash runners has just been started.
      kept_for: Name of the task for which it is kept free until then, or empty.
      stop_repeats: Turns of the stops that are sent again.
      start_answered: Set when an order to start has an outcome.
      stop_answered: Set when it answers a stop.
      silent: The last poll was not answered.
      silent_since: When it became silent.
      heard_since: Since when it has answered its polls.
      ignores_stops: A stop has had no answer for some seconds, although polls
        were answered. Nothing is started there.
      expiry_promised: The expiry of its leases is stored, so they must not be
        extended.
      runs: Attempts that are charged to it.
      charges: How often that has changed.
      late_starts: Until when an order to start without an answer may be carried
        out, by task and number of the attempt.
      foreign: Task and number of the attempts that it last reported although
        they are not charged to it. They are being stopped.
      foreign_since: Since when each poll has listed such attempts.
      foreign_stops: Those whose stop is under way.
      cpu: Processors charged to tasks other than fill tasks.
      memory_mb, accelerators: Charged to all tasks.
      fill_cpu: Processors charged to fill tasks.
      serving_cpu: The part of `cpu` that belongs to long-running tasks.
      reservations: Priority and amounts of what is reserved there, by name of
        the task.
      reserved: Sum of these amounts.
      backoff_until: No task is started before this time, because a start was
        rejected for lack of capacity or has failed.
      probation_until: Until this time a task is started only while nothing
        else runs there, as a canary.
      faults: Number of recent failures that suggest a fault of the runner.
      has_active: Set when an attempt there may have been started, or when a
        poll is needed for another reason.
      speed: Measured speed of its tasks relative to other runners; 1.0 is
        normal.
    """

    entry: model.RunnerEntry
    calls: interfaces.RunnerCalls
    rack: str
    listed: bool = True
    evacuated: bool = False
    entry_awaited: bool = False
    announced: model.RunnerEntry | None = None
    announced_at: float = float("-inf")
    missed_life: bool = False
    refuted_born_ms: int | None = None
    entry_read_at: float = float("-inf")
    token: int = 0
    heard: bool = False
    fenced: bool = False
    was_fenced: bool = False
    born_at: float = 0.0
    restarted_at: float = float("-inf")
    last_stored_end: int = 0
    acknowledged_end: int = 0
    acknowledging_end: int = 0
    open_token: int | None = None
    last_listed_end: int | None = None
    clock_read_at: float = 0.0
    clock_ms: int = 0
    clock_listed: bool = False
    lease_until_ms: int = 0
    lease_requested_at: float = float("-inf")
    late_lease_until: float = float("-inf")
    strayed: bool = False
    stray_grants_until: float = float("-inf")
    late_grants_until: float = float("-inf")
    lease_withheld: bool = False
    renewed_at: float = 0.0
    earlier_leases_until: float = float("-inf")
    moved: bool = False
    answered_at: float = 0.0
    polled_at: float = 0.0
    up_at: float = 0.0
    down_from: float = 0.0
    down_at: float = 0.0
    suspected: frozenset[str] = frozenset()
    down_in_trial: bool = False
    trial_until: float = 0.0
    kept_for: str = ""
    stop_repeats: budgets.Budget = dataclasses.field(
        default_factory=lambda: budgets.Budget(_STOP_REPEATS_PER_S)
    )
    start_answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    stop_answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    silent: bool = False
    silent_since: float = 0.0
    heard_since: float = 0.0
    ignores_stops: bool = False
    expiry_promised: bool = False
    runs: dict[attempts.Run, None] = dataclasses.field(default_factory=dict)
    charges: int = 0
    late_starts: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    foreign: frozenset[tuple[str, int]] = frozenset()
    foreign_since: float = 0.0
    foreign_stops: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    fill_cpu: int = 0
    serving_cpu: int = 0
    reservations: dict[str, tuple[int, model.Amounts]] = dataclasses.field(
        default_factory=dict
    )
    reserved: model.Amounts = model.Amounts()
    backoff_until: float = 0.0
    probation_until: float = 0.0
    faults: int = 0
    speed: float = 1.0
    has_active: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def charge(self, run: attempts.Run, sign: int = 1) -> None:
        """Charges the resources of an attempt; `sign` -1 releases them.

        Charging an attempt twice, or releasing it twice, has no effect.
        """
        if (sign > 0) == (run in self.runs):
            return
        self.charges += 1
        if sign > 0:
            self.runs[run] = None
            if run.phase is not attempts.Phase.STARTING:
                self.has_active.set()
        else:
            del self.runs[run]
        step = run.task.step.definition
        if step.fills:
            self.fill_cpu += sign * _compute_fill_charge(run)
        else:
            self.cpu += sign * step.amounts.cpu
        if step.long_running:
            self.serving_cpu += sign * step.amounts.cpu
        self.memory_mb += sign * step.amounts.memory_mb
        self.accelerators += sign * step.amounts.accelerators

    def reserve_room(
        self, task: str, priority: int, amounts: model.Amounts
    ) -> None:
        """Keeps room free for a task, but not from more urgent ones."""
        self.reservations[task] = priority, amounts
        self.reserved = self.sum_reservations()

    def release_room(self, task: str) -> None:
        """Ends what is reserved for a task, if anything is."""
        if self.reservations.pop(task, None) is not None:
            self.reserved = self.sum_reservations()

    def sum_reservations(
        self, priority: int | None = None, task: str = ""
    ) -> model.Amounts:
        """Sums what is reserved for other tasks than the named one.

        With a priority, only for those that are as urgent at least.
        """
        amounts = [
            amounts
            for name, (urgency, amounts) in self.reservations.items()
            if name != task and (priority is None or urgency <= priority)
        ]
        return model.Amounts(
            sum(a.cpu for a in amounts),
            sum(a.memory_mb for a in amounts),
            sum(a.accelerators for a in amounts),
        )

    def change_pace(self, run: attempts.Run, percent: int, now: float) -> None:
        """Records a new pace and charges the processors used at that pace."""
        charged = run in self.runs
        if charged:
            self.fill_cpu -= _compute_fill_charge(run)
        run.change_pace(percent, now)
        if charged:
            self.fill_cpu += _compute_fill_charge(run)

    def expect_late_start(self, run: attempts.Run, now: float) -> None:
        """Records an order to start that has no answer yet, sent at `now`."""
        self.list_late_starts(now)
        until = now + LATE_START_S
        self.late_starts[run.task.name, run.attempt] = until

    def list_late_starts(self, now: float) -> list[tuple[str, int]]:
        """Lists task and number of the starts that may be carried out late."""
        self.late_starts = {
            start: until
            for start, until in self.late_starts.items()
            if until > now
        }
        return list(self.late_starts)

    def has_open_start(self) -> bool:
        """Tells whether an order to start has no outcome yet."""
        return any(
            run.phase is attempts.Phase.STARTING and run.sent_at > 0
            for run in self.runs
        )

    def has_stray_start(self, now: float) -> bool:
        """Tells whether another life may have carried out a start there."""
        return any(
            run.sent_at > 0
            and now - run.sent_at < LATE_START_S
            and self._may_have_strayed(run)
            for run in self.runs
        )

    def has_earlier_stray(self, sent_at: float) -> bool:
        """Tells whether another life may carry out a poll sent at a time.

        It has carried out a start that was sent before, with no later token
        than that poll. What is sent after the poll has a later one.
        """
        return any(
            0 < run.sent_at <= sent_at and self._may_have_strayed(run)
            for run in self.runs
        )

    def lists_stray_ends(self, now: float) -> bool:
        """Tells whether stored ends are not acknowledged, for a stray start."""
        return (
            self.last_stored_end > self.acknowledged_end
            and self.has_stray_start(now)
            and not self.has_open_start()
        )

    def shows_life(self, now: float) -> bool:
        """Tells whether it has answered, or its entry has just been written.

        An entry that another writer has left does neither.
        """
        return self.heard or now - self.entry_read_at <= _ENTRY_AGE_S

    def is_in_doubt(self) -> bool:
        """Tells whether another life than the known one may answer a poll."""
        return self.silent or self.strayed or self.is_announced()

    def is_announced(self) -> bool:
        """Tells whether its entry is of a life that no poll has found yet."""
        return (
            self.announced is not None
            and self.announced.born_ms != self.refuted_born_ms
        )

    def note_start_answered(self) -> None:
        """Lets a poll go on that waits to acknowledge ends."""
        self.start_answered.set()
        self.start_answered = anyio.Event()

    def note_stop_answered(self) -> None:
        """Lets all stops go on that wait to be sent again."""
        self.stop_repeats.clear()
        self.stop_answered.set()
        self.stop_answered = anyio.Event()

    def require_poll(self) -> None:
        """Keeps tasks away until a poll is answered, and ends an idle wait."""
        self.fenced = False
        self.has_active.set()

    def record_clock(
        self, clock_ms: int, now: float, listed: bool = False
    ) -> None:
        """Records a reading of the runner's clock, received at `now`.

        `listed` tells that it was read from its entry, not from an answer.
        """
        self.clock_read_at, self.clock_ms = now, clock_ms
        self.clock_listed = listed

    def limit_lease(self, settings: settings_module.Settings) -> bool:
        """Limits the known lease to what the runner can have granted.

        Returns whether it exceeded that, because it was requested on another
        clock than the runner's.
        """
        granted_ms = self.clock_ms + int(settings.max_lease_s * 1000)
        exceeded = self.lease_until_ms > granted_ms
        self.lease_until_ms = min(self.lease_until_ms, granted_ms)
        return exceeded

    def fits_clock(
        self,
        settings: settings_module.Settings,
        clock_ms: int,
        sent_at: float,
        now: float,
    ) -> bool | None:
        """Tells whether its known life may have answered a call.

        Each life has a clock that starts anew. Returns None if the clock of the
        known one has not been read.

        Args:
          settings: The settings.
          clock_ms: Reading in the reply.
          sent_at: When the call was sent.
          now: Present time, at which the reply was received.
        """
        if self.clock_listed or not self.clock_ms:
            return None
        error = settings.clock_rate_error
        least_s = (sent_at - self.clock_read_at) * (1 - error) - _CLOCK_BEHIND_S
        most_s = (now - self.clock_read_at) * (1 + error) + _CLOCK_AHEAD_S
        passed_s = (clock_ms - self.clock_ms) / 1000
        return least_s <= passed_s <= most_s

    def expect_stray_lease(self, until: float) -> None:
        """Records that another life may carry out a call up to a time."""
        self.stray_grants_until = max(self.stray_grants_until, until)

    def find_stray_expiry(
        self,
        settings: settings_module.Settings,
        run: attempts.Run,
        now: float,
    ) -> float:
        """Returns when an attempt has ended in a life that no poll has found.

        Such a life grants the longest lease, as orders name times on another
        clock, and any of them extends it. Minus infinity if it cannot have
        started the attempt, or nothing tells that there is such a life.

        A life whose entry is gone may have ended, or be cut off from the log as
        well. A long-running task must be back before its lease would have
        expired, so it waits only as long as the entry is there.
        """
        lasts = run.task.step.definition.long_running
        if run.sent_at:
            is_shown = self.strayed or self.is_announced()
            if not is_shown and (lasts or not self.missed_life):
                return float("-inf")
            if not self._may_have_strayed(run):
                return float("-inf")
            until = self.stray_grants_until
        else:
            if not self._may_stray_inherited(run, lasts, now):
                return float("-inf")
            until = run.inherited_at + _STRAY_CALLS_S
        return until + find_longest_lease_s(settings)

    def _may_have_strayed(self, run: attempts.Run) -> bool:
        """Tells whether another life may have carried out a start."""
        key = run.task.name, run.attempt
        return not run.start_settled or key in self.late_starts

    def _may_stray_inherited(
        self, run: attempts.Run, lasts: bool, now: float
    ) -> bool:
        """Tells whether a life that the owner before had not found runs `run`.

        That life has written an entry, and writes it still if the task lasts.
        No poll of this owner has reached it. An earlier life may have answered
        while the jobs were loaded, which tells nothing of the attempt.
        """
        has_answered = self.heard and (run.reported or not self.missed_life)
        if has_answered or not run.born_ms:
            return False
        is_written = self.listed and now - self.entry_read_at <= _ENTRY_AGE_S
        if lasts and not is_written:
            return False
        entry = self.announced if self.is_announced() else self.entry
        return self.missed_life or run.born_ms != entry.born_ms

    def expect_late_lease(self, settings: settings_module.Settings) -> None:
        """Records that the last lease may be granted late, for any time."""
        granted_by = self.lease_requested_at + LATE_CALL_S
        self.late_lease_until = granted_by + find_longest_lease_s(settings)

    def extend_lease(
        self,
        settings: settings_module.Settings,
        now: float,
        limit: float = float("inf"),
    ) -> int:
        """Returns the end of a lease sent now, on the runner's clock.

        No lease is extended beyond `limit`, in seconds of this process's clock.

        The lease of a runner that is silent, or whose expiry is promised, is
        not extended, so that the time after which nothing can run there stays
        fixed. The clock counts as slow since its last reading, as a lease that
        is requested too long may be granted late, and then ends late.
        """
        if self.silent or self.expiry_promised:
            return self.lease_until_ms
        slowest_rate = 1 - settings.clock_rate_error
        passed_s = (now - self.clock_read_at) * slowest_rate
        lease_s = min(settings.lease_s, limit - now)
        until_ms = self.clock_ms + int((passed_s + lease_s) * 1000)
        if lease_s < settings.lease_s and until_ms <= self.lease_until_ms:
            return self.lease_until_ms
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.lease_requested_at = now
        return self.lease_until_ms

    def expect_late_grants(
        self, settings: settings_module.Settings, now: float
    ) -> None:
        """Records that its life is new, and takes calls to the one before.

        Starts extend leases as well, and are the calls that come latest.
        """
        granted_by = now + LATE_START_S
        self.late_grants_until = granted_by + find_longest_lease_s(settings)

    def note_fenced(
        self, settings: settings_module.Settings, now: float
    ) -> None:
        """Records that it takes no call with an earlier token from now on.

        What it has granted to calls to an earlier life lasts no longer than the
        longest lease.
        """
        if not self.was_fenced and self.late_grants_until > now:
            self.late_grants_until = now + find_longest_lease_s(settings)
        self.fenced = self.was_fenced = True

    def expect_earlier_grants(
        self, settings: settings_module.Settings, age_s: float, now: float
    ) -> None:
        """Records that an earlier owner may not have known its life.

        Args:
          settings: The settings.
          age_s: Seconds since the life began, by the time of day.
          now: Present time; no call of that owner is carried out from now on.
        """
        until_s = find_longest_lease_s(settings)
        until_s -= max(0.0, age_s - _STRAY_CALLS_S)
        self.late_grants_until = max(self.late_grants_until, now + until_s)

    def find_lease_expiry(self, settings: settings_module.Settings) -> float:
        """Returns the time after which every lease has certainly expired.

        The runner's clock may be slow by up to `clock_rate_error`. No lease
        lasts longer than `max_lease_s` on it.
        """
        late = max(self.late_lease_until, self.late_grants_until)
        slowest_rate = 1 - settings.clock_rate_error
        margin_s = settings_module.LEASE_MARGIN_S
        latest = self.lease_requested_at + find_longest_lease_s(settings)
        if self.clock_listed:
            return max(latest, late)
        remaining_s = max(0, self.lease_until_ms - self.clock_ms) / 1000
        expiry = self.clock_read_at + remaining_s / slowest_rate + margin_s
        return max(min(expiry, latest), late)


def find_longest_lease_s(settings: settings_module.Settings) -> float:
    """Returns the seconds after which a lease granted now has expired."""
    slowest_rate = 1 - settings.clock_rate_error
    return settings.max_lease_s / slowest_rate + settings_module.LEASE_MARGIN_S


def _compute_fill_charge(run: attempts.Run) -> int:
    """Returns the thousandths of a core that a fill task is charged with."""
    pace = max(run.pace_percent, _MIN_CHARGED_PACE_PERCENT)
    return run.task.step.definition.amounts.cpu * pace // 100


def find_rack(labels: tuple[str, ...]) -> str:
    """Returns the label of the rack, which the platform lists last."""
    return labels[-1] if labels else ""


def find_place(entry: model.RunnerEntry) -> str:
    """Returns what successive lives of a machine have in common."""
    return entry.machine or entry.address
