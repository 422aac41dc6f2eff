"""Dispatcher: carries each request from its arrival to its outcome.

The task that serves the caller admits the request and waits for its outcome.
The task of a slot gets the request by handover or from a queue, runs the
exchange with the target and settles the outcome. No decision spans an await, so
the state needs no locks.
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
# forward(member, request, deadline_s) sends a request to another entry process.
Forward = Callable[[Any, inflight.Request, float], Awaitable[outcomes.Answer]]

_HOUSEKEEPING_INTERVAL_S = 1.0  # Longest interval between checks of targets.
# Overload repeats some events; one line per interval is enough for an operator.
_LOG_INTERVAL_S = 10.0


class Dispatcher:
    """Runs requests on the targets of this process's failure domain."""

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: Any,
        membership: Any,
        key_table: Any,
        forward: Forward | None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        draw: Callable[[], float] = random.random,
    ):
        """Creates a dispatcher without targets or slots.

        Args:
          settings: The settings.
          configuration: Has `find_service_class` and `find_limits`.
          membership: Has `list_live` and `pick_spillover_member`.
          key_table: Has `claim_key` and `finish_key`.
          forward: Sends a request to another entry process; None disables
            spillover.
          clock: Returns the monotonic time in seconds.
          wall_clock: Returns the seconds since the Unix epoch.
          draw: Returns a random number in [0, 1).
        """
        self._settings = settings
        self._configuration = configuration
        self._membership = membership
        self._key_table = key_table
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
        self._repeated_ids = 0
        self._unfinished = 0
        self._draining = False
        self._closing = False
        self._request_arrived = anyio.Event()
        self._drained = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._next_housekeeping_at = 0.0
        self._next_log_at: dict[int, float] = {}
        self._slot_callbacks = connections.SlotCallbacks(
            clock=clock,
            is_slot_held=self._is_slot_held,
            take_request=self._take_request,
            get_timeout=self._get_timeout,
            settle_request=self._settle_request,
            note_probe_reply=self._note_probe_reply,
            note_failure=self._note_failure,
            count_open_slot=self._count_open_slot,
            remove_slot=self._remove_slot,
        )

    async def run(self) -> None:
        """Keeps the slots connected and sheds late requests until cancelled.

        On cancellation, requests in flight end as unknown and queued ones as
        not run.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                while True:
                    self._sweep(self._clock())
                    await self._wait_for_sweep()
            finally:
                self._closing = True
                for active in self._queues.pop_all():
                    self._finish_unanswered(active, "shutdown", "")

    async def handle_request(
        self, request: inflight.Request, now: float
    ) -> outcomes.Answer:
        """Runs one request and returns its outcome.

        Args:
          request: The request, from a caller or forwarded by another entry
            process.
          now: Monotonic time of its arrival in seconds.
        """
        service_class = self._configuration.find_service_class(
            request.service_class
        )
        if service_class is None:
            detail = f"service class {request.service_class!r} does not exist"
            return _make_not_run("unknown_class", detail)
        active = self._track_request(request, service_class, now)
        self._unfinished += 1
        self._request_arrived.set()
        try:
            await self._run_request(active, now)
        finally:
            self._unfinished -= 1
            if active.answer is None:
                self._abandon_request(active)
            self._check_drained()
        self._count_answer(active)
        return active.answer

    def update_targets(
        self, listed: list[instances.Instance], now: float
    ) -> None:
        """Applies the platform's list of instances to targets and slots."""
        self.fleet.update_targets(listed, now)
        self._update_slots(now)

    def list_load(self, now: float) -> list[tuple[str, int, int]]:
        """Returns (class, queued requests, idle slots), sorted by class.

        A class is included if it has or had open slots or queued requests.
        """
        del now
        names = set(self.fleet.open_slots_by_class) | set(
            self._queues.list_names()
        )
        return [
            (
                name,
                self._queues.count_queued(name),
                sum(
                    len(target.idle_slots)
                    for target in self.fleet.free_targets.list_targets(name)
                ),
            )
            for name in sorted(names)
        ]

    def count_queued(self) -> int:
        """Returns the number of queued requests of all classes."""
        return self._queues.total

    def is_serving(self) -> bool:
        """Tells whether this process accepts new requests."""
        return not (self._draining or self._closing or self._group is None)

    def start_drain(self) -> None:
        """Starts to refuse new requests; accepted ones run to their outcome."""
        if not self._draining:
            self._draining = True
            events.log_event(
                events.REQUESTS_DRAINING,
                queued=self._queues.total,
                running=len(self._admission.running),
            )
            self._check_drained()

    async def wait_drained(self) -> None:
        """Waits until a drain has started and no request is left."""
        await self._drained.wait()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of all components, bounded in size."""
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

    def _track_request(
        self,
        request: inflight.Request,
        service_class: documents.ServiceClass,
        now: float,
    ) -> inflight.ActiveRequest:
        limit_s = service_class.deadline_ms / 1000
        requested_s = request.deadline_s
        if requested_s is not None and requested_s < limit_s:
            limit_s = requested_s
        return inflight.ActiveRequest(
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

        Callers choose the ids, so two of them may be equal, and a reply is
        matched to its request by the id alone.
        """
        recent = self._recent_ids
        if request_id in recent:
            self._repeated_ids += 1
            request_id = f"{request_id}.{self._repeated_ids}"
        recent[request_id] = None
        if len(recent) > self._settings.requests.recent_ids:
            recent.popitem(last=False)
        return request_id

    async def _run_request(
        self, active: inflight.ActiveRequest, now: float
    ) -> None:
        refusal = self._find_refusal(active)
        if refusal is not None:
            active.answer = refusal
            return
        if not active.service_class.idempotent and not active.request.forwarded:
            await self._claim_key(active)
            if active.answer is not None:
                return
            now = self._clock()
        member = self._admit_request(active, now)
        if member is not None:
            await self._spill_request(active, member)
        if active.answer is None:
            await active.done.wait()
        if active.recorded and active.answer.outcome == (
            outcomes.RequestOutcome.NOT_RUN
        ):
            # The caller may retry at once, so wait until its key is free again.
            with anyio.move_on_after(self._settings.keys.claim_timeout_s):
                await active.recorded.wait()

    def _find_refusal(
        self, active: inflight.ActiveRequest
    ) -> outcomes.Answer | None:
        request = active.request
        limit_bytes = active.service_class.body_limit_bytes
        if not self.is_serving():
            retry_after_s = self._settings.requests.hint_min_s
            detail = "this process is starting or shutting down"
            return _make_not_run("not_serving", detail, retry_after_s)
        if len(request.body) > limit_bytes:
            detail = f"the body exceeds the limit of {limit_bytes} bytes"
            return _make_not_run("too_large", detail)
        if active.deadline <= active.arrived:
            return _make_not_run("late", "the deadline has passed")
        if active.service_class.idempotent or request.forwarded:
            return None
        if not request.key or request.issued is None:
            detail = "the class needs Idempotency-Key and Plantainvane-Issued"
            return _make_not_run("key_required", detail)
        # Checked before the key is claimed because a claim costs an append.
        reason = self._admission.find_overload(active, active.arrived)
        if reason:
            return self._make_shed_answer(active, reason, active.arrived)
        return None

    async def _claim_key(self, active: inflight.ActiveRequest) -> None:
        request = active.request
        # A claim that is cancelled half-way would hold the key for no request.
        with anyio.CancelScope(shield=True):
            claimed = await self._key_table.claim_key(
                request.key, request.issued, self._wall_clock()
            )
        if not claimed.won:
            active.answer = claimed.answer
            return
        active.keyed = True
        active.recorded = anyio.Event()
        if self._closing:
            self._finish_unanswered(active, "shutdown", "")

    # Admission.

    def _admit_request(
        self, active: inflight.ActiveRequest, now: float
    ) -> Any | None:
        """Places, queues or sheds a request.

        Returns:
          The member that the request is to be spilled to, else None.
        """
        if self._place_request(active, now):
            return None
        if active.request.forwarded:
            self._shed_request(active, "no_free_slot", now)
            return None
        reason = self._admission.find_overload(active, now)
        if reason:
            member = self._pick_spillover_member(active, now)
            if member is None:
                self._shed_request(active, reason, now)
            return member
        if self._queues.total >= self._settings.requests.queue_limit:
            victim = self._queues.pop_less_urgent(active.rank)
            self._shed_request(victim or active, "queue_full", now)
            if victim is None:
                return None
        self._queues.push_request(active)
        return None

    def _place_request(
        self, active: inflight.ActiveRequest, now: float
    ) -> bool:
        """Hands the request to an idle slot; False if it may not run now."""
        name = active.service_class.name
        candidates = self.fleet.free_targets.list_targets(name)
        if not candidates or self._queues.count_queued(name):
            return False
        if not self._admission.may_run(active):
            return False
        target = routing.pick_target(
            self._settings, candidates, active.avoid, now, self._draw
        )
        slot = self.fleet.take_idle_slot(target)
        self._admission.begin_request(slot.target, active, now)
        slot.request = active
        slot.wake.set()
        return True

    def _pick_spillover_member(
        self, active: inflight.ActiveRequest, now: float
    ) -> Any | None:
        if self._forward is None or active.deadline <= now:
            return None
        return self._membership.pick_spillover_member(
            active.service_class.name, now
        )

    async def _spill_request(
        self, active: inflight.ActiveRequest, member: Any
    ) -> None:
        left_s = active.deadline - self._clock()
        # The other process may have got the request even if this is cancelled.
        active.maybe_run = True
        answer = await self._forward(member, active.request, left_s)
        active.maybe_run = answer.outcome is not outcomes.RequestOutcome.NOT_RUN
        active.attempts += answer.attempts
        metrics.SPILLS.labels(answer.outcome.value).inc()
        if active.maybe_run:
            self._finish_request(active, answer)
            return
        now = self._clock()
        if not self._place_request(active, now):
            reason = self._admission.find_overload(active, now) or "overload"
            self._shed_request(active, reason, now)

    # Slots.

    def _take_request(
        self, slot: connections.Slot
    ) -> inflight.ActiveRequest | None:
        now = self._clock()
        if self._queues.total:
            self._shed_late(now)
            target = slot.target
            if routing.may_take_queued(self._settings, target, now, self._draw):
                active = self._queues.pop_next(
                    now, lambda active: self._suits_target(active, target)
                )
                if active is not None:
                    self._admission.begin_request(slot.target, active, now)
                    return active
        slot.idle_since = now
        self.fleet.add_idle_slot(slot.target, slot)
        return None

    def _suits_target(
        self, active: inflight.ActiveRequest, target: routing.Target
    ) -> bool:
        name = active.service_class.name
        if name not in target.instance.classes or not self._admission.may_run(
            active
        ):
            return False
        avoid = active.avoid
        return (
            not avoid
            or target.instance.id not in avoid
            or self.fleet.target_count_by_class[name] <= len(avoid)
        )

    def _is_slot_held(self, slot: connections.Slot) -> bool:
        target = slot.target
        if self._closing or target.retired:
            return False
        if slot.number >= target.share.slots:
            return False
        # After an ejection each slot opens a new connection and probes it.
        return slot.connection is None or not target.health.ejected_until

    def _remove_slot(self, slot: connections.Slot) -> None:
        slot.target.slot_numbers.discard(slot.number)

    def _count_open_slot(self, slot: connections.Slot, change: int) -> None:
        self.fleet.count_open_slot(slot.target, change)

    def _get_timeout(self, active: inflight.ActiveRequest, now: float) -> float:
        """Returns the timeout of the next exchange in seconds.

        It is shorter than the time left to the deadline only if the request
        could be retried, because a timeout gives up an answer that might still
        come.
        """
        left_s = active.deadline - now
        limit_s = self._run_times.get_silence_limit(active.run_time)
        if (
            limit_s is None
            or not active.service_class.idempotent
            or active.attempts + 1 >= self._settings.requests.attempt_limit
            or self._budget.tokens < 1.0
        ):
            return left_s
        return min(left_s, limit_s)

    # Outcomes of exchanges.

    def _settle_request(
        self,
        slot: connections.Slot,
        active: inflight.ActiveRequest,
        reply: targets.Reply,
        began: float,
    ) -> None:
        now = self._clock()
        target = slot.target
        self._admission.end_request(target, active)
        if reply.kind is targets.ReplyKind.NOT_SENT:
            self._retry_request(active, reply, now)
            return
        active.attempts += 1
        if reply.leaving:
            self.fleet.mark_leaving(target, "reply")
        if reply.kind is targets.ReplyKind.ANSWERED:
            self._note_answer(target, active, now - began, now)
            answer = outcomes.Answer(
                outcomes.RequestOutcome.ANSWERED,
                reply.body,
                reply.content_type,
                attempts=active.attempts,
            )
            self._finish_request(active, answer)
        else:
            self._note_bad_reply(slot, active, reply, now - began, now)
            self._retry_request(active, reply, now)
        if self._draining:
            self._check_drained()

    def _note_answer(
        self,
        target: routing.Target,
        active: inflight.ActiveRequest,
        run_s: float,
        now: float,
    ) -> None:
        run_time = active.run_time
        ratio = run_s / max(run_time.median_s, 1e-6)
        self._run_times.add_sample(run_time, run_s)
        target.heard_at = now
        ejection.note_success(self._settings, target.health, ratio, now)
        retries.add_tokens(self._settings, self._budget)
        if ejection.is_slow(self._settings, target.health):
            self.fleet.eject_if_due(target, now)

    def _note_bad_reply(
        self,
        slot: connections.Slot,
        active: inflight.ActiveRequest,
        reply: targets.Reply,
        run_s: float,
        now: float,
    ) -> None:
        target = slot.target
        metrics.BAD_REPLIES.labels(_bound_reason(reply.reason)).inc()
        if reply.reason == "timeout":
            # The elapsed time is a lower bound of the run time. Without it the
            # timeout could stay below the real run time of the class.
            self._run_times.add_sample(active.run_time, run_s)
        if self._closing or reply.leaving:
            return
        refused = reply.kind is targets.ReplyKind.REFUSED
        ejection.note_failure(
            target.health,
            # Refusals come from the target itself, so each one counts.
            connections.make_failure_id() if refused else slot.connection.id,
            now,
        )
        self.fleet.eject_if_due(target, now)
        if active.avoid is None:
            active.avoid = set()
        active.avoid.add(target.instance.id)

    def _retry_request(
        self, active: inflight.ActiveRequest, reply: targets.Reply, now: float
    ) -> None:
        """Retries a request whose attempt got no answer, or ends it."""
        if reply.kind is targets.ReplyKind.UNKNOWN:
            active.maybe_run = True
        reason = self._find_retry_obstacle(active, reply, now)
        if reason:
            self._finish_unanswered(active, reason, reply.reason)
            return
        if self._place_request(active, now):
            return
        if active.request.forwarded:
            self._finish_unanswered(active, "no_free_slot", reply.reason)
            return
        self._queues.push_request(active)

    def _find_retry_obstacle(
        self, active: inflight.ActiveRequest, reply: targets.Reply, now: float
    ) -> str:
        if self._closing:
            return "shutdown"
        if active.given_up:
            return "given_up"
        if queues_module.is_late(active, now):
            return "late"
        if reply.kind is targets.ReplyKind.NOT_SENT:
            return ""
        unknown = reply.kind is targets.ReplyKind.UNKNOWN
        if unknown and not active.service_class.idempotent:
            return "not_idempotent"
        if active.attempts >= self._settings.requests.attempt_limit:
            return "attempts"
        # A leaving target refuses only until it is known to leave, so these
        # retries cost no token.
        exempt = reply.leaving and not unknown
        if not exempt and not retries.take_token(self._budget):
            self._log_rate_limited(
                events.RETRIES_SPENT, now, reason=reply.reason
            )
            return "retry_budget"
        metrics.RETRIES.labels(_bound_reason(reply.reason)).inc()
        return ""

    def _finish_request(
        self, active: inflight.ActiveRequest, answer: outcomes.Answer
    ) -> None:
        if active.answer is not None:
            return
        active.answer = answer
        active.done.set()
        if active.keyed:
            self._record_outcome(active, answer)

    def _record_outcome(
        self, active: inflight.ActiveRequest, answer: outcomes.Answer
    ) -> None:
        async def record() -> None:
            try:
                await self._key_table.finish_key(active.request.key, answer)
            finally:
                active.recorded.set()
                self._unfinished -= 1
                self._check_drained()

        if self._closing:
            active.recorded.set()
            return
        self._unfinished += 1
        self._group.start_soon(record)

    def _finish_unanswered(
        self, active: inflight.ActiveRequest, reason: str, detail: str
    ) -> None:
        """Ends a request without an answer; as unknown if it may have run."""
        retry_after_s = self._settings.requests.hint_min_s
        if active.maybe_run:
            answer = outcomes.Answer(
                outcomes.RequestOutcome.UNKNOWN,
                reason=reason,
                detail=detail,
                attempts=active.attempts,
            )
        else:
            answer = _make_not_run(
                reason, detail, retry_after_s, active.attempts
            )
        self._finish_request(active, answer)

    def _abandon_request(self, active: inflight.ActiveRequest) -> None:
        """Ends a request whose caller's task was cancelled.

        An exchange in flight continues, so that its connection stays usable and
        the outcome of a keyed request is still recorded.
        """
        active.given_up = True
        if active in self._admission.running:
            return
        self._queues.remove_request(active)
        self._finish_unanswered(active, "given_up", "the caller went away")

    # Load shedding.

    def _shed_request(
        self, active: inflight.ActiveRequest, reason: str, now: float
    ) -> None:
        self._finish_request(
            active, self._make_shed_answer(active, reason, now)
        )

    def _make_shed_answer(
        self, active: inflight.ActiveRequest, reason: str, now: float
    ) -> outcomes.Answer:
        name = active.service_class.name
        metrics.SHEDS.labels(name, reason).inc()
        self._log_rate_limited(
            events.REQUESTS_SHED, now, service_class=name, reason=reason
        )
        if active.maybe_run:
            return outcomes.Answer(
                outcomes.RequestOutcome.UNKNOWN,
                reason=reason,
                attempts=active.attempts,
            )
        retry_after_s = self._admission.compute_retry_after(
            active, now, self._draw
        )
        detail = "the domain has no capacity for the request in time"
        return _make_not_run(reason, detail, retry_after_s, active.attempts)

    def _shed_late(self, now: float) -> None:
        for active in self._queues.pop_late(now):
            self._shed_request(active, "late", now)

    # Periodic work.

    async def _wait_for_sweep(self) -> None:
        """Waits until the next sweep is due; longer if no request is open."""
        if self._unfinished or self._admission.running:
            await anyio.sleep(self._settings.requests.sweep_s)
            return
        self._request_arrived = anyio.Event()
        with anyio.move_on_after(_HOUSEKEEPING_INTERVAL_S):
            await self._request_arrived.wait()

    def _sweep(self, now: float) -> None:
        if self._queues.total:
            self._shed_late(now)
            self._match_queued(now)
        if now >= self._next_housekeeping_at:
            self._next_housekeeping_at = now + min(
                _HOUSEKEEPING_INTERVAL_S,
                self._settings.requests.probe_interval_s,
            )
            self._update_slots(now)
            self._check_idle_slots(now)
            self._update_gauges()
        elif slots.is_settled(self._settings, self._views, now):
            self._update_slots(now)
        self._admission.count_overdue(now)

    def _match_queued(self, now: float) -> None:
        """Hands queued requests to idle slots that did not take them before.

        A slot leaves requests queued during the ramp-up of its target, or while
        their class is at its limit.
        """
        free_targets = self.fleet.free_targets
        while True:
            active = self._queues.pop_next(
                now,
                lambda active: (
                    self._admission.may_run(active)
                    and bool(
                        free_targets.list_targets(active.service_class.name)
                    )
                ),
            )
            if active is None:
                return
            candidates = free_targets.list_targets(active.service_class.name)
            target = routing.pick_target(
                self._settings, candidates, active.avoid, now, self._draw
            )
            slot = self.fleet.take_idle_slot(target)
            self._admission.begin_request(slot.target, active, now)
            slot.request = active
            slot.wake.set()

    def _update_slots(self, now: float) -> None:
        """Starts and ends slot tasks to match shares and targets."""
        members = self._membership.list_live(self._settings.domain, now)
        slots.update_views(
            self._settings, self._views, [m.id for m in members], now
        )
        for target in list(self.fleet.targets.values()):
            ejection.is_ejected(target.health, now)
            slots.update_share(
                self._settings, target.share, self._views, target.instance.id
            )
            if target.retired or self._group is None or self._closing:
                continue
            for number in range(target.share.slots):
                if number not in target.slot_numbers:
                    self._start_slot(target, number)
            for slot in list(target.idle_slots):
                if slot.number >= target.share.slots:
                    self.fleet.remove_idle_slot(target, slot)
                    slot.wake.set()
        self.fleet.remove_retired()

    def _start_slot(self, target: routing.Target, number: int) -> None:
        target.slot_numbers.add(number)
        slot = connections.Slot(target, number, anyio.Event())
        self._group.start_soon(
            connections.run_slot, self._settings, slot, self._slot_callbacks
        )

    def _check_idle_slots(self, now: float) -> None:
        """Replaces stale idle connections and probes silent targets."""
        requests = self._settings.requests
        for target in self.fleet.targets.values():
            for slot in list(target.idle_slots):
                expired = now - slot.idle_since > requests.idle_connection_s
                if expired or targets.is_stale(slot.connection):
                    self.fleet.remove_idle_slot(target, slot)
                    slot.wake.set()
            silent = now - target.heard_at >= requests.probe_interval_s
            if silent and target.idle_slots:
                # The least recently used slot: probes then rotate through the
                # connections and find a silent one before a request does.
                slot = target.idle_slots[0]
                self.fleet.remove_idle_slot(target, slot)
                slot.probe_due = True
                slot.wake.set()

    def _note_probe_reply(
        self, slot: connections.Slot, reply: targets.Reply
    ) -> None:
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

    def _log_rate_limited(
        self, event: events.Event, now: float, **fields: Any
    ) -> None:
        """Logs an event that overload repeats, once in _LOG_INTERVAL_S."""
        if now >= self._next_log_at.get(event.number, now):
            self._next_log_at[event.number] = now + _LOG_INTERVAL_S
            events.log_event(event, **fields)

    def _check_drained(self) -> None:
        if (
            self._draining
            and not self._unfinished
            and not self._admission.running
        ):
            self._drained.set()

    def _update_gauges(self) -> None:
        metrics.SLOTS.labels("open").set(self.fleet.open_slots)
        metrics.SLOTS.labels("running").set(len(self._admission.running))
        metrics.SLOTS.labels("long").set(self._admission.long_running)
        for name in self._queues.list_names():
            metrics.QUEUED.labels(name).set(self._queues.count_queued(name))

    def _count_answer(self, active: inflight.ActiveRequest) -> None:
        name = active.service_class.name
        metrics.count_request(
            name, active.answer.outcome.value, self._clock() - active.arrived
        )


def _make_not_run(
    reason: str, detail: str, retry_after_s: float = 0.0, attempts: int = 0
) -> outcomes.Answer:
    return outcomes.Answer(
        outcomes.RequestOutcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
        attempts=attempts,
    )


def _bound_reason(reason: str) -> str:
    """Returns a label of a fixed set; unlisted reasons are "connection"."""
    return reason if reason in metrics.REPLY_REASONS else "connection"
