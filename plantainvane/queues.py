"""Queues of requests: one per service class, earliest deadline first."""

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
class QueuedRequest:
    """A request that may wait in a queue.

    Attributes:
      service_class: Class of the request.
      rank: Rank of its priority; 0 is the most urgent.
      deadline: Monotonic time by which the caller needs the answer.
      arrived: Monotonic time of arrival.
      run_time: Run time estimates of its class.
      queued: Whether it is in a queue now.
    """

    service_class: documents.ServiceClass
    rank: int
    deadline: float
    arrived: float
    run_time: runtimes.RunTime
    queued: bool = dataclasses.field(default=False, init=False)


_HeapEntry = tuple[float, int, QueuedRequest]


@dataclasses.dataclass(slots=True, eq=False)
class _Queue:
    """Queue of one class; `count` excludes removed entries of the heap."""

    rank: int
    run_time: runtimes.RunTime
    heap: list[_HeapEntry] = dataclasses.field(default_factory=list)
    count: int = 0


class Queues:
    """Queues of all classes; `total` is the number of queued requests."""

    def __init__(self, settings: settings_module.Settings):
        self._settings = settings
        self._queues: dict[str, _Queue] = {}
        self._numbers = itertools.count()
        self.total = 0

    def push_request(self, request: QueuedRequest) -> None:
        """Adds a request to the queue of its class."""
        name = request.service_class.name
        queue = self._queues.get(name)
        if queue is None:
            queue = _Queue(request.rank, request.run_time)
            self._queues[name] = queue
        queue.rank = request.rank
        number = next(self._numbers)
        heapq.heappush(queue.heap, (request.deadline, number, request))
        request.queued = True
        queue.count += 1
        self.total += 1

    def remove_request(self, request: QueuedRequest) -> None:
        """Removes a request from its queue, if it is in one.

        This is lazy: the heap entry stays, with `queued` False, until it
        reaches the front.
        """
        if request.queued:
            self._mark_removed(
                self._queues[request.service_class.name], request
            )

    def pop_next(
        self, now: float, accepts: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Removes and returns the most urgent front request of all queues.

        Args:
          now: Monotonic time in seconds.
          accepts: Tells whether a request may run now.

        Returns:
          Of the accepted front requests, the one with the lowest rank after
          aging, then the earliest deadline; None if none is accepted.
        """
        best: tuple[int, float] | None = None
        best_queue: _Queue | None = None
        for queue in self._queues.values():
            request = _peek(queue)
            if request is None or not accepts(request):
                continue
            order = (age_rank(self._settings, request, now), request.deadline)
            if best is None or order < best:
                best, best_queue = order, queue
        if best_queue is None:
            return None
        request = best_queue.heap[0][2]
        heapq.heappop(best_queue.heap)
        self._mark_removed(best_queue, request)
        return request

    def pop_late(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the requests with too little time left to run."""
        late: list[QueuedRequest] = []
        for queue in self._queues.values():
            while (request := _peek(queue)) and is_late(request, now):
                heapq.heappop(queue.heap)
                self._mark_removed(queue, request)
                late.append(request)
        return late

    def pop_less_urgent(self, rank: int) -> QueuedRequest | None:
        """Removes and returns the least urgent request ranked behind `rank`.

        Within the last class it is the one with the latest deadline. Returns
        None if no queued request ranks behind `rank`.
        """
        queues = [
            queue
            for queue in self._queues.values()
            if queue.rank > rank and queue.count
        ]
        if not queues:
            return None
        queue = max(queues, key=lambda queue: queue.rank)
        request = max(entry for entry in queue.heap if entry[2].queued)[2]
        self._mark_removed(queue, request)
        return request

    def pop_all(self) -> list[QueuedRequest]:
        """Removes and returns every queued request, for the shutdown."""
        requests = [
            entry[2]
            for queue in self._queues.values()
            for entry in queue.heap
            if entry[2].queued
        ]
        for request in requests:
            self.remove_request(request)
        return requests

    def list_names(self) -> list[str]:
        """Returns the names of the classes that ever had a queued request."""
        return list(self._queues)

    def count_queued(self, service_class: str) -> int:
        """Returns the number of queued requests of a class."""
        queue = self._queues.get(service_class)
        return queue.count if queue else 0

    def estimate_work(
        self, request: QueuedRequest, counts: Callable[[runtimes.RunTime], bool]
    ) -> float:
        """Returns the total mean run time of the requests ahead, in seconds.

        These are the queued requests of at least the same priority.

        Args:
          request: A request that is not queued yet.
          counts: Tells whether a class competes for the same slots.
        """
        return sum(
            queue.count * queue.run_time.mean_s
            for queue in self._queues.values()
            if queue.count
            and queue.rank <= request.rank
            and counts(queue.run_time)
        )

    def dump_state(self, now: float) -> dict[str, dict[str, float]]:
        """Returns length, rank and wait of the front request, by class."""
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

    def _mark_removed(self, queue: _Queue, request: QueuedRequest) -> None:
        request.queued = False
        queue.count -= 1
        self.total -= 1
        if not queue.count:
            queue.heap.clear()


def age_rank(
    settings: settings_module.Settings, request: QueuedRequest, now: float
) -> int:
    """Returns the rank after aging: one less per `aging_s`, at least 0."""
    steps = int((now - request.arrived) / settings.requests.aging_s)
    return max(0, request.rank - steps)


def is_late(request: QueuedRequest, now: float) -> bool:
    """Tells whether the time left is too short to run the request."""
    return request.deadline - now < estimate_run_s(request)


def estimate_run_s(request: QueuedRequest) -> float:
    """Returns the expected run time of a request at a target, in seconds.

    It is the median run time of the class, but at most half of the time that
    the caller allowed. A median above the deadline would otherwise shed every
    request of the class, and no newer run time could correct it.
    """
    return min(
        request.run_time.median_s, (request.deadline - request.arrived) / 2
    )


def _peek(queue: _Queue) -> QueuedRequest | None:
    heap = queue.heap
    while heap:
        request = heap[0][2]
        if request.queued:
            return request
        heapq.heappop(heap)
    return None
