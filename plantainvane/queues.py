"""Queues of waiting requests: one per class, earliest deadline first."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools

from plantainvane import documents
from plantainvane import runtimes
from plantainvane import settings as settings_module

RANKS = {
    documents.Priority.URGENT: 0,
    documents.Priority.NORMAL: 1,
    documents.Priority.BULK: 2,
}


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
      service_class: Class of the request.
      rank: Rank of its priority; 0 is the most urgent.
      deadline: Monotonic time by which the caller needs the answer.
      arrived: Monotonic time of arrival.
      queued: Whether it is in a queue now.
      run_time: Estimates of its class.
    """

    service_class: documents.ServiceClass
    rank: int
    deadline: float
    arrived: float
    run_time: runtimes.RunTime
    queued: bool = dataclasses.field(default=False, init=False)


_Entry = tuple[float, int, Ticket]


@dataclasses.dataclass(slots=True, eq=False)
class _Queue:
    """Heap of one class; `count` leaves out entries that were removed."""

    rank: int
    run_time: runtimes.RunTime
    heap: list[_Entry] = dataclasses.field(default_factory=list)
    count: int = 0


class Queues:
    """Waiting requests of all classes."""

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._queues: dict[str, _Queue] = {}
        self._numbers = itertools.count()
        self.total = 0

    def push_ticket(self, ticket: Ticket) -> None:
        """Adds a ticket to the queue of its class."""
        name = ticket.service_class.name
        queue = self._queues.get(name)
        if queue is None:
            queue = _Queue(ticket.rank, ticket.run_time)
            self._queues[name] = queue
        queue.rank = ticket.rank
        number = next(self._numbers)
        heapq.heappush(queue.heap, (ticket.deadline, number, ticket))
        ticket.queued = True
        queue.count += 1
        self.total += 1

    def remove_ticket(self, ticket: Ticket) -> None:
        """Takes out a ticket that waits, for example because it was given up.

        Its heap entry stays until it comes to the front; `queued` marks it.
        """
        if ticket.queued:
            self._mark_out(self._queues[ticket.service_class.name], ticket)

    def pop_next(
        self, now: float, accepts: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Takes the most urgent ticket at the front of a queue.

        Args:
          now: Monotonic time in seconds.
          accepts: Tells whether the free slot may run the ticket.

        Returns:
          The accepted front ticket with the lowest rank after aging, then the
          earliest deadline; None when no front ticket is accepted.
        """
        best: tuple[int, float] | None = None
        best_queue: _Queue | None = None
        for queue in self._queues.values():
            ticket = _peek(queue)
            if ticket is None or not accepts(ticket):
                continue
            order = (age_rank(self._settings, ticket, now), ticket.deadline)
            if best is None or order < best:
                best, best_queue = order, queue
        if best_queue is None:
            return None
        ticket = best_queue.heap[0][2]
        heapq.heappop(best_queue.heap)
        self._mark_out(best_queue, ticket)
        return ticket

    def pop_late(self, now: float) -> list[Ticket]:
        """Takes the tickets that too little time is left to run."""
        late: list[Ticket] = []
        for queue in self._queues.values():
            while (ticket := _peek(queue)) and is_late(ticket, now):
                heapq.heappop(queue.heap)
                self._mark_out(queue, ticket)
                late.append(ticket)
        return late

    def pop_less_urgent(self, rank: int) -> Ticket | None:
        """Takes the least urgent ticket that ranks behind `rank`.

        Among those of the last rank it is the one with the latest deadline.
        """
        queues = [
            queue
            for queue in self._queues.values()
            if queue.rank > rank and queue.count
        ]
        if not queues:
            return None
        queue = max(queues, key=lambda queue: queue.rank)
        ticket = max(entry for entry in queue.heap if entry[2].queued)[2]
        self._mark_out(queue, ticket)
        return ticket

    def pop_all(self) -> list[Ticket]:
        """Takes every ticket, at shutdown."""
        tickets = [
            entry[2]
            for queue in self._queues.values()
            for entry in queue.heap
            if entry[2].queued
        ]
        for ticket in tickets:
            self.remove_ticket(ticket)
        return tickets

    def list_names(self) -> list[str]:
        """Returns the classes that have had a waiting request."""
        return list(self._queues)

    def count_queued(self, service_class: str) -> int:
        """Returns the number of waiting requests of a class."""
        queue = self._queues.get(service_class)
        return queue.count if queue else 0

    def estimate_work(
        self, ticket: Ticket, counts: Callable[[runtimes.RunTime], bool]
    ) -> float:
        """Returns the seconds of run time queued ahead of `ticket`.

        Args:
          ticket: A request that is not queued yet.
          counts: Tells whether a class competes for the same slots.
        """
        return sum(
            queue.count * queue.run_time.mean_s
            for queue in self._queues.values()
            if queue.count
            and queue.rank <= ticket.rank
            and counts(queue.run_time)
        )

    def dump_state(self, now: float) -> dict[str, dict[str, float]]:
        """Returns length, rank and age of the front ticket by class."""
        return {
            name: {
                "queued": queue.count,
                "rank": queue.rank,
                "front_waited_s": round(now - front.arrived, 3)
                if (front := _peek(queue))
                else 0.0,
            }
            for name, queue in sorted(self._queues.items())
        }

    def _mark_out(self, queue: _Queue, ticket: Ticket) -> None:
        ticket.queued = False
        queue.count -= 1
        self.total -= 1
        if not queue.count:
            queue.heap.clear()


def age_rank(
    settings: settings_module.Settings, ticket: Ticket, now: float
) -> int:
    """Returns the rank after aging; it never passes the most urgent one."""
    steps = int((now - ticket.arrived) / settings.requests.aging_s)
    return max(0, ticket.rank - steps)


def is_late(ticket: Ticket, now: float) -> bool:
    """Tells whether too little time is left to run the request."""
    return ticket.deadline - now < get_needed_time(ticket)


def get_needed_time(ticket: Ticket) -> float:
    """Returns the time that a request needs at a target, in seconds.

    It is the class's median run time, but at most half of the time that the
    caller gave: a median above the deadline would refuse all requests of the
    class, so no newer run time could ever correct it.
    """
    return min(ticket.run_time.median_s, (ticket.deadline - ticket.arrived) / 2)


def _peek(queue: _Queue) -> Ticket | None:
    heap = queue.heap
    while heap:
        ticket = heap[0][2]
        if ticket.queued:
            return ticket
        heapq.heappop(heap)
    return None
