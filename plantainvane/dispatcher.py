"""One request from arrival to outcome.

The caller's task admits the request and waits; the task of a connection takes
it from an idle slot or a queue, runs the exchange and settles the outcome. All
decisions run between awaits, so the state needs no locks.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import Any

import anyio
import anyio.abc

from plantainvane import admission
from plantainvane import connections
from plantainvane import documents
from plantainvane import ejection
from plantainvane import events
from plantainvane import fleet as fleet_module
from plantainvane import inflight
from plantainvane import instances
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import queues as queues_module
from plantainvane import retries
from plantainvane import routing
from plantainvane import runtimes
from plantainvane import settings as settings_module
from plantainvane import slots
from plantainvane import targets

Request = inflight.Request
# forward(member, request, deadline_s) sends a request to a peer.
Forward = Callable[[Any, inflight.Request, float], Awaitable[outcomes.Answer]]

_HOUSEKEEPING_S = 1.0  # Longest period of the checks of all targets.
_LOG_PAUSE_S = 10.0  # One line of a flood is enough for the person on call.


class Dispatcher:
    """Runs requests on the targets of this process's failure domain."""

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: Any,
        membership: Any,
        key_book: Any,
        forward: Forward | None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        draw: Callable[[], float] = random.random,
    ):
        """Makes a dispatcher without targets; it holds no slot at first.

        Args:
          settings: The settings.
          configuration: Has `find_service_class` and `find_limits`.
          membership: Has `list_live` and `pick_spillover_member`.
          key_book: Has `claim_key` and `finish_key`.
          forward: Sends a request to a peer; None disables spillover.
          clock: Returns the monotonic time in seconds.
          wall_clock: Returns the seconds since the Unix epoch.
          draw: Returns a random number in [0, 1).
        """
        self._settings = settings
        self._configuration = configuration
        self._membership = membership
        self._key_book = key_book
        self._forward = forward
        self._clock = clock
        self._wall_clock = wall_clock
        self._draw = draw
        self.fleet = fleet_module.Fleet(settings, draw)
        self._queues = queues_module.Queues(settings)
        self._run_times = runtimes.RunTimes(settings)
        self._budget = retries.make_budget(settings)
        self._views = slots.make_views(clock())
        self._admission = admission.Admission(
            settings, configuration, self.fleet, self._queues, self._run_times
        )
        self._recent_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._repeats = 0
        self._waiting = 0
        self._draining = False
        self._closing = False
        self._arrived = anyio.Event()
        self._drained = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._housekeeping_due = 0.0
        self._log_due: dict[int, float] = {}
        self._calls = connections.Calls(
            clock=clock,
            keep_slot=self._keep_slot,
            take_job=self._take_job,
            get_timeout=self._get_timeout,
            settle_job=self._settle_job,
            note_reply=self._note_reply,
            note_failure=self._note_failure,
            count_open=self._count_open,
            remove_slot=self._remove_slot,
        )

    async def run(self) -> None:
        """Holds the slots and expires waiting requests until cancelled.

        Cancelled while requests are in flight, it ends them as unknown and
        the waiting ones as not run.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                while True:
                    self._sweep(self._clock())
                    await self._pause_sweep()
            finally:
                self._closing = True
                for ticket in self._queues.pop_all():
                    self._finish_unanswered(ticket, "shutdown", "")

    async def handle_request(
        self, request: inflight.Request, now: float
    ) -> outcomes.Answer:
        """Runs one request and returns what is known about it.

        Args:
          request: The request, from a caller or forwarded by a peer.
          now: Monotonic time of its arrival in seconds.
        """
        service_class = self._configuration.find_service_class(
            request.service_class
        )
        if service_class is None:
            detail = f"service class {request.service_class!r} does not exist"
            return _make_not_run("unknown_class", detail)
        job = self._make_job(request, service_class, now)
        self._waiting += 1
        self._arrived.set()
        try:
            await self._run_job(job, now)
        finally:
            self._waiting -= 1
            if job.answer is None:
                self._give_up(job)
            self._check_drained()
        self._count_answer(job)
        return job.answer

    def update_targets(
        self, listed: list[instances.Instance], now: float
    ) -> None:
        """Takes over the platform's list of instances."""
        self.fleet.update_targets(listed, now)
        self._update_slots(now)

    def list_load(self, now: float) -> list[tuple[str, int, int]]:
        """Returns (class, queued, free slots) of each class with targets."""
        del now
        names = set(self.fleet.open_by_class) | set(self._queues.list_names())
        return [
            (
                name,
                self._queues.count_queued(name),
                sum(
                    len(target.free)
                    for target in self.fleet.free.list_targets(name)
                ),
            )
            for name in sorted(names)
        ]

    def count_queued(self) -> int:
        """Returns the number of waiting requests."""
        return self._queues.total

    def is_serving(self) -> bool:
        """Tells whether new requests are accepted."""
        return not (self._draining or self._closing or self._group is None)

    def start_drain(self) -> None:
        """Refuses new requests; those accepted before run to their end."""
        if not self._draining:
            self._draining = True
            events.log_event(
                events.REQUESTS_DRAINING,
                queued=self._queues.total,
                running=len(self._admission.running),
            )
            self._check_drained()

    async def wait_drained(self) -> None:
        """Returns once a drain was started and no request is left."""
        await self._drained.wait()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of all parts, bounded in size."""
        return {
            "draining": self._draining,
            **self._admission.dump_state(now),
            "queues": self._queues.dump_state(now),
            "run_times": self._run_times.dump_state(now),
            "retry_budget": self._budget.dump_state(now),
            "shares": self._views.dump_state(now),
            "fleet": self.fleet.dump_state(now),
        }

    # Arrival.

    def _make_job(
        self,
        request: inflight.Request,
        service_class: documents.ServiceClass,
        now: float,
    ) -> inflight.Job:
        limit_s = service_class.deadline_ms / 1000
        wanted_s = request.deadline_s
        if wanted_s is not None and wanted_s < limit_s:
            limit_s = wanted_s
        return inflight.Job(
            service_class=service_class,
            rank=queues_module.RANKS[service_class.priority],
            deadline=now + limit_s,
            arrived=now,
            run_time=self._run_times.get_run_time(service_class),
            request=request,
            path=f"/run/{service_class.name}".encode(),
            wire_id=self._make_wire_id(request.request_id),
            done=anyio.Event(),
        )

    def _make_wire_id(self, request_id: str) -> str:
        """Returns an id that no other recent request of this process has.

        Callers choose ids, and an answer is matched by its id alone.
        """
        recent = self._recent_ids
        if request_id in recent:
            self._repeats += 1
            request_id = f"{request_id}.{self._repeats}"
        recent[request_id] = None
        if len(recent) > self._settings.requests.recent_ids:
            recent.popitem(last=False)
        return request_id

    async def _run_job(self, job: inflight.Job, now: float) -> None:
        refusal = self._find_refusal(job)
        if refusal is not None:
            job.answer = refusal
            return
        if not job.service_class.idempotent and not job.request.forwarded:
            await self._claim_key(job)
            if job.answer is not None:
                return
            now = self._clock()
        member = self._admit_job(job, now)
        if member is not None:
            await self._spill_job(job, member)
        if job.answer is None:
            await job.done.wait()
        if job.recorded and job.answer.outcome == (
            outcomes.RequestOutcome.NOT_RUN
        ):
            # The caller may try again at once, which needs the key free.
            with anyio.move_on_after(self._settings.keys.claim_timeout_s):
                await job.recorded.wait()

    def _find_refusal(self, job: inflight.Job) -> outcomes.Answer | None:
        request = job.request
        limit = job.service_class.body_limit_bytes
        if not self.is_serving():
            hint = self._settings.requests.hint_min_s
            detail = "this process is starting or shutting down"
            return _make_not_run("not_serving", detail, hint)
        if len(request.body) > limit:
            detail = f"the body exceeds the limit of {limit} bytes"
            return _make_not_run("too_large", detail)
        if job.deadline <= job.arrived:
            return _make_not_run("late", "the deadline has passed")
        if job.service_class.idempotent or request.forwarded:
            return None
        if not request.key or request.issued is None:
            detail = "the class needs Idempotency-Key and Plantainvane-Issued"
            return _make_not_run("key_required", detail)
        # Checked before the key is claimed, which costs an append.
        reason = self._admission.find_overload(job, job.arrived)
        if reason:
            return self._make_shed_answer(job, reason, job.arrived)
        return None

    async def _claim_key(self, job: inflight.Job) -> None:
        request = job.request
        # A claim cut off half-way would hold the key without a request.
        with anyio.CancelScope(shield=True):
            verdict = await self._key_book.claim_key(
                request.key, request.issued, self._wall_clock()
            )
        if not verdict.won:
            job.answer = verdict.answer
            return
        job.keyed = True
        job.recorded = anyio.Event()
        if self._closing:
            self._finish_unanswered(job, "shutdown", "")

    # Admission.

    def _admit_job(self, job: inflight.Job, now: float) -> Any | None:
        """Places, queues or sheds a job; returns a member to spill it to."""
        if self._place_job(job, now):
            return None
        if job.request.forwarded:
            self._shed_job(job, "no_free_slot", now)
            return None
        reason = self._admission.find_overload(job, now)
        if reason:
            member = self._find_headroom(job, now)
            if member is None:
                self._shed_job(job, reason, now)
            return member
        if self._queues.total >= self._settings.requests.queue_limit:
            victim = self._queues.pop_less_urgent(job.rank)
            self._shed_job(victim or job, "queue_full", now)
            if victim is None:
                return None
        self._queues.push_ticket(job)
        return None

    def _place_job(self, job: inflight.Job, now: float) -> bool:
        """Hands the job to an idle slot if the policy lets it run now."""
        name = job.service_class.name
        candidates = self.fleet.free.list_targets(name)
        if not candidates or self._queues.count_queued(name):
            return False
        if not self._admission.may_run(job):
            return False
        target = routing.pick_target(
            self._settings, candidates, job.avoid, now, self._draw
        )
        slot = self.fleet.take_free(target)
        self._admission.begin_job(slot.target, job, now)
        slot.job = job
        slot.wake.set()
        return True

    def _find_headroom(self, job: inflight.Job, now: float) -> Any | None:
        if self._forward is None or job.deadline <= now:
            return None
        return self._membership.pick_spillover_member(
            job.service_class.name, now
        )

    async def _spill_job(self, job: inflight.Job, member: Any) -> None:
        left_s = job.deadline - self._clock()
        # A cancelled call may have reached the peer.
        job.maybe_run = True
        answer = await self._forward(member, job.request, left_s)
        job.maybe_run = answer.outcome is not outcomes.RequestOutcome.NOT_RUN
        job.attempts += answer.attempts
        metrics.SPILLS.labels(answer.outcome.value).inc()
        if job.maybe_run:
            self._finish_job(job, answer)
            return
        now = self._clock()
        if not self._place_job(job, now):
            reason = self._admission.find_overload(job, now) or "overload"
            self._shed_job(job, reason, now)

    # Slots.

    def _take_job(self, slot: connections.Slot) -> inflight.Job | None:
        now = self._clock()
        if self._queues.total:
            self._shed_late(now)
            target = slot.target
            if routing.may_take(self._settings, target, now, self._draw):
                job = self._queues.pop_next(
                    now, lambda job: self._suits_target(job, target)
                )
                if job is not None:
                    self._admission.begin_job(slot.target, job, now)
                    return job
        slot.idle_since = now
        self.fleet.add_free(slot.target, slot)
        return None

    def _suits_target(self, job: inflight.Job, target: routing.Target) -> bool:
        name = job.service_class.name
        if name not in target.instance.classes or not self._admission.may_run(
            job
        ):
            return False
        avoid = job.avoid
        return (
            not avoid
            or target.instance.id not in avoid
            or self.fleet.targets_by_class[name] <= len(avoid)
        )

    def _keep_slot(self, slot: connections.Slot) -> bool:
        target = slot.target
        if self._closing or target.leaving:
            return False
        if slot.number >= target.share.slots:
            return False
        # After an ejection each slot starts with a new, probed connection.
        return slot.connection is None or not target.health.ejected_until

    def _remove_slot(self, slot: connections.Slot) -> None:
        slot.target.slots.discard(slot.number)

    def _count_open(self, slot: connections.Slot, change: int) -> None:
        self.fleet.count_open(slot.target, change)

    def _get_timeout(self, job: inflight.Job, now: float) -> float:
        """Returns the longest wait for a reply in seconds.

        Silence ends an exchange early only if the request may be tried again:
        giving up costs the answer that might still come.
        """
        left_s = job.deadline - now
        limit_s = self._run_times.get_silence_limit(job.run_time)
        if (
            limit_s is None
            or not job.service_class.idempotent
            or job.attempts + 1 >= self._settings.requests.attempt_limit
            or self._budget.tokens < 1.0
        ):
            return left_s
        return min(left_s, limit_s)

    # Outcomes.

    def _settle_job(
        self,
        slot: connections.Slot,
        job: inflight.Job,
        reply: targets.Reply,
        began: float,
    ) -> None:
        now = self._clock()
        target = slot.target
        self._admission.end_job(target, job)
        if reply.kind is targets.ReplyKind.NOT_SENT:
            self._retry_job(job, reply, now)
            return
        job.attempts += 1
        if reply.leaving:
            self.fleet.mark_leaving(target, "reply")
        if reply.kind is targets.ReplyKind.ANSWERED:
            self._note_answer(target, job, now - began, now)
            answer = outcomes.Answer(
                outcomes.RequestOutcome.ANSWERED,
                reply.body,
                reply.content_type,
                attempts=job.attempts,
            )
            self._finish_job(job, answer)
        else:
            self._note_bad_reply(slot, job, reply, now - began, now)
            self._retry_job(job, reply, now)
        if self._draining:
            self._check_drained()

    def _note_answer(
        self,
        target: routing.Target,
        job: inflight.Job,
        run_s: float,
        now: float,
    ) -> None:
        run_time = job.run_time
        ratio = run_s / max(run_time.median_s, 1e-6)
        self._run_times.add_sample(run_time, run_s)
        target.heard_at = now
        ejection.note_success(self._settings, target.health, ratio, now)
        retries.add_success(self._settings, self._budget)
        if ejection.is_slow(self._settings, target.health):
            self.fleet.eject_if_due(target, now)

    def _note_bad_reply(
        self,
        slot: connections.Slot,
        job: inflight.Job,
        reply: targets.Reply,
        run_s: float,
        now: float,
    ) -> None:
        target = slot.target
        metrics.BAD_REPLIES.labels(_name_reason(reply.reason)).inc()
        if reply.reason == "timeout":
            # A lower bound of the run time keeps the limit from staying
            # below what the class really takes.
            self._run_times.add_sample(job.run_time, run_s)
        if self._closing or reply.leaving:
            return
        refused = reply.kind is targets.ReplyKind.REFUSED
        ejection.note_failure(
            target.health,
            # Each refusal is the target's own statement.
            connections.make_failure_id() if refused else slot.connection.id,
            now,
        )
        self.fleet.eject_if_due(target, now)
        if job.avoid is None:
            job.avoid = set()
        job.avoid.add(target.instance.id)

    def _retry_job(
        self, job: inflight.Job, reply: targets.Reply, now: float
    ) -> None:
        """Tries the job again or ends it, after an attempt without answer."""
        if reply.kind is targets.ReplyKind.UNKNOWN:
            job.maybe_run = True
        reason = self._find_retry_obstacle(job, reply, now)
        if reason:
            self._finish_unanswered(job, reason, reply.reason)
            return
        if self._place_job(job, now):
            return
        if job.request.forwarded:
            self._finish_unanswered(job, "no_free_slot", reply.reason)
            return
        self._queues.push_ticket(job)

    def _find_retry_obstacle(
        self, job: inflight.Job, reply: targets.Reply, now: float
    ) -> str:
        if self._closing:
            return "shutdown"
        if job.given_up:
            return "given_up"
        if queues_module.is_late(job, now):
            return "late"
        if reply.kind is targets.ReplyKind.NOT_SENT:
            return ""
        unknown = reply.kind is targets.ReplyKind.UNKNOWN
        if unknown and not job.service_class.idempotent:
            return "not_idempotent"
        if job.attempts >= self._settings.requests.attempt_limit:
            return "attempts"
        # A leaving target refuses only until it is known to leave.
        free = reply.leaving and not unknown
        if not free and not retries.take_token(self._budget):
            self._log_rarely(events.RETRIES_SPENT, now, reason=reply.reason)
            return "retry_budget"
        metrics.RETRIES.labels(_name_reason(reply.reason)).inc()
        return ""

    def _finish_job(self, job: inflight.Job, answer: outcomes.Answer) -> None:
        if job.answer is not None:
            return
        job.answer = answer
        job.done.set()
        if job.keyed:
            self._record_outcome(job, answer)

    def _record_outcome(
        self, job: inflight.Job, answer: outcomes.Answer
    ) -> None:
        async def record() -> None:
            try:
                await self._key_book.finish_key(job.request.key, answer)
            finally:
                job.recorded.set()
                self._waiting -= 1
                self._check_drained()

        if self._closing:
            job.recorded.set()
            return
        self._waiting += 1
        self._group.start_soon(record)

    def _finish_unanswered(
        self, job: inflight.Job, reason: str, detail: str
    ) -> None:
        """Ends a job without answer: unknown if it may have run."""
        hint = self._settings.requests.hint_min_s
        if job.maybe_run:
            answer = outcomes.Answer(
                outcomes.RequestOutcome.UNKNOWN,
                reason=reason,
                detail=detail,
                attempts=job.attempts,
            )
        else:
            answer = _make_not_run(reason, detail, hint, job.attempts)
        self._finish_job(job, answer)

    def _give_up(self, job: inflight.Job) -> None:
        """Ends a job whose caller's task was cancelled.

        An exchange in flight goes on, so its connection stays usable and the
        outcome of a keyed request is still recorded.
        """
        job.given_up = True
        if job in self._admission.running:
            return
        self._queues.remove_ticket(job)
        self._finish_unanswered(job, "given_up", "the caller went away")

    # Load shedding.

    def _shed_job(self, job: inflight.Job, reason: str, now: float) -> None:
        self._finish_job(job, self._make_shed_answer(job, reason, now))

    def _make_shed_answer(
        self, job: inflight.Job, reason: str, now: float
    ) -> outcomes.Answer:
        name = job.service_class.name
        metrics.SHEDS.labels(name, reason).inc()
        self._log_rarely(
            events.REQUESTS_SHED, now, service_class=name, reason=reason
        )
        if job.maybe_run:
            return outcomes.Answer(
                outcomes.RequestOutcome.UNKNOWN,
                reason=reason,
                attempts=job.attempts,
            )
        hint = self._admission.make_hint(job, now, self._draw)
        detail = "the domain has no capacity for the request in time"
        return _make_not_run(reason, detail, hint, job.attempts)

    def _shed_late(self, now: float) -> None:
        for ticket in self._queues.pop_late(now):
            self._shed_job(ticket, "late", now)

    # Periodic work.

    async def _pause_sweep(self) -> None:
        """Waits for the next sweep; an idle process needs few."""
        if self._waiting or self._admission.running:
            await anyio.sleep(self._settings.requests.sweep_s)
            return
        self._arrived = anyio.Event()
        with anyio.move_on_after(_HOUSEKEEPING_S):
            await self._arrived.wait()

    def _sweep(self, now: float) -> None:
        if self._queues.total:
            self._shed_late(now)
            self._match_queued(now)
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + min(
                _HOUSEKEEPING_S, self._settings.requests.probe_interval_s
            )
            self._update_slots(now)
            self._check_idle(now)
            self._update_gauges()
        elif slots.is_settled(self._settings, self._views, now):
            self._update_slots(now)
        self._admission.count_overdue(now)

    def _match_queued(self, now: float) -> None:
        """Runs queued work on idle slots that passed it by.

        A slot passes work by in its ramp, or while long work is at its limit.
        """
        free = self.fleet.free
        while True:
            job = self._queues.pop_next(
                now,
                lambda job: (
                    self._admission.may_run(job)
                    and bool(free.list_targets(job.service_class.name))
                ),
            )
            if job is None:
                return
            candidates = free.list_targets(job.service_class.name)
            target = routing.pick_target(
                self._settings, candidates, job.avoid, now, self._draw
            )
            slot = self.fleet.take_free(target)
            self._admission.begin_job(slot.target, job, now)
            slot.job = job
            slot.wake.set()

    def _update_slots(self, now: float) -> None:
        """Starts and ends slot tasks as shares and targets change."""
        members = self._membership.list_live(self._settings.domain, now)
        slots.note_members(
            self._settings, self._views, [m.id for m in members], now
        )
        for target in list(self.fleet.targets.values()):
            ejection.is_ejected(target.health, now)
            slots.update_share(
                self._settings, target.share, self._views, target.instance.id
            )
            if target.leaving or self._group is None or self._closing:
                continue
            for number in range(target.share.slots):
                if number not in target.slots:
                    self._start_slot(target, number)
            for slot in list(target.free):
                if slot.number >= target.share.slots:
                    self.fleet.remove_free(target, slot)
                    slot.wake.set()
        self.fleet.remove_ended()

    def _start_slot(self, target: routing.Target, number: int) -> None:
        target.slots.add(number)
        slot = connections.Slot(target, number, anyio.Event())
        self._group.start_soon(
            connections.run_slot, self._settings, slot, self._calls
        )

    def _check_idle(self, now: float) -> None:
        """Renews stale idle connections and probes silent targets."""
        requests = self._settings.requests
        for target in self.fleet.targets.values():
            for slot in list(target.free):
                old = now - slot.idle_since > requests.idle_connection_s
                if old or targets.is_stale(slot.connection):
                    self.fleet.remove_free(target, slot)
                    slot.wake.set()
            silent = now - target.heard_at >= requests.probe_interval_s
            if silent and target.free:
                # The least recently used one, so that probes go round and
                # find a silent connection before a request does.
                slot = target.free[0]
                self.fleet.remove_free(target, slot)
                slot.probe_due = True
                slot.wake.set()

    def _note_reply(self, slot: connections.Slot, reply: targets.Reply) -> None:
        now = self._clock()
        target = slot.target
        target.heard_at = now
        if reply.leaving:
            self.fleet.mark_leaving(target, "probe")

    def _note_failure(self, slot: connections.Slot, number: int) -> None:
        target = slot.target
        now = self._clock()
        ejection.note_failure(target.health, number, now)
        self.fleet.eject_if_due(target, now)

    def _log_rarely(
        self, event: events.Event, now: float, **fields: Any
    ) -> None:
        """Logs an event that overload repeats, once per _LOG_PAUSE_S."""
        if now >= self._log_due.get(event.number, now):
            self._log_due[event.number] = now + _LOG_PAUSE_S
            events.log_event(event, **fields)

    def _check_drained(self) -> None:
        if self._draining and not self._waiting and not self._admission.running:
            self._drained.set()

    def _update_gauges(self) -> None:
        metrics.SLOTS.labels("open").set(self.fleet.open_slots)
        metrics.SLOTS.labels("running").set(len(self._admission.running))
        metrics.SLOTS.labels("long").set(self._admission.long_running)
        for name in self._queues.list_names():
            metrics.QUEUED.labels(name).set(self._queues.count_queued(name))

    def _count_answer(self, job: inflight.Job) -> None:
        name = job.service_class.name
        metrics.count_request(
            name, job.answer.outcome.value, self._clock() - job.arrived
        )


def _make_not_run(
    reason: str, detail: str, hint_s: float = 0.0, attempts: int = 0
) -> outcomes.Answer:
    return outcomes.Answer(
        outcomes.RequestOutcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=hint_s,
        attempts=attempts,
    )


def _name_reason(reason: str) -> str:
    """Bounds the label: exception names and statuses share one each."""
    return reason if reason in metrics.REPLY_REASONS else "connection"
