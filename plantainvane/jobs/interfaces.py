"""Interfaces to the environment of the job scheduler; adapters provide them."""

from collections.abc import Callable
import enum
from typing import Protocol

import msgspec
import result

from plantainvane import outcomes
from plantainvane.jobs import model


class Page(msgspec.Struct, frozen=True):
    """Result of one read.

    Attributes:
      records: Offset, key and value of each; the value None deletes the key.
      next_offset: Where the next read starts.
      end_offset: Offset after the newest record of the topic.
      expired: The requested records are no longer retained.
    """

    records: tuple[tuple[int, str, bytes | None], ...]
    next_offset: int
    end_offset: int
    expired: bool = False


class Appended(msgspec.Struct, frozen=True):
    """Reply to an append.

    Attributes:
      offset: Offset of the first record, or -1 if nothing was appended.
      end_offset: Offset after the newest record of the topic.
      fenced: The log has seen a higher epoch of this producer.
      next_sequence: Sequence number that the log expects instead, or -1.
    """

    offset: int
    end_offset: int
    fenced: bool = False
    next_sequence: int = -1


class Producer(msgspec.Struct, frozen=True):
    """Producer identity; makes appends idempotent and fences lower epochs."""

    name: str
    epoch: int
    sequence: int


class Store(Protocol):
    """The platform's log: topics of keyed records."""

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        timeout_s: float,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> result.Result[Appended, outcomes.CallError]:
        """Appends `records` atomically.

        With `expected_end`, only if the topic ends at that offset.
        """

    async def read(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> result.Result[Page, outcomes.CallError]:
        """Reads from `offset`; waits up to `wait_s` for the first record."""

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[Page, outcomes.CallError]:
        """Reads the newest record of each key."""


class OrderOutcome(enum.StrEnum):
    """Outcome of an order to a runner.

    DONE: carried out. FENCED: the runner has seen a higher token. OUTDATED: it
    has seen a higher one of this owner, so nothing was done. OLD: the runner
    already knows this attempt or a later one. LATE: the lease had
    expired on arrival. OTHER_INCARNATION: another runner or incarnation has the
    address. UNREACHED: no connection, so nothing was done. LOST: no usable
    reply, so the order may still be carried out.
    """

    DONE = "done"
    FENCED = "fenced"
    OUTDATED = "outdated"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    UNREACHED = "unreached"
    LOST = "lost"


class StartReply(msgspec.Struct, frozen=True):
    """Reply to an order to start.

    Attributes:
      outcome: Its outcome.
      clock_ms: Reading of the clock of the life that has answered, or None if
        none has or the reading is unknown.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


class RunnerCalls(Protocol):
    """Client of one runner."""

    async def poll(
        self,
        token: int,
        last_stored_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> result.Result[model.RunnerStatus, OrderOutcome]:
        """Renews all leases and lists running and ended attempts.

        Without `lease_until_ms` no lease is renewed. Acknowledges the ends up
        to number `last_stored_end` and waits up to `wait_s` for a newer one.
        """

    async def start(self, order: model.StartOrder) -> StartReply:
        """Starts an attempt; idempotent."""

    async def stop(self, task: str, attempt: int, token: int) -> OrderOutcome:
        """Stops an attempt; the runner rejects a later start of it."""

    async def pace(
        self, task: str, attempt: int, percent: int, token: int
    ) -> OrderOutcome:
        """Limits a task to `percent` of its speed."""

    async def aclose(self) -> None:
        """Closes the connections."""


class Adviser(Protocol):
    """External service that decides which runners may run a step."""

    async def advise(
        self, step: str, runners: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Returns tickets by runner id; None if the call failed."""


class Adapters(msgspec.Struct, frozen=True):
    """The adapters of one process.

    Attributes:
      store: Client of the platform's log.
      connect_runner: Creates the client of a runner from address and id.
      adviser: Client of the adviser, if the deployment has one.
      decode_configuration: Decodes the operator's document; None if malformed.
      decode_runner: Decodes a runner's entry; None if it is unusable.
      configuration_topic, configuration_key: Location of the document.
      runners_topic: Topic in which runners register themselves.
      evacuation_prefix: Start of the keys of evacuations, in the topic of the
        document; a failure domain follows. Empty if there are none.
      is_evacuation: Tells whether the value of such a key can be read.
    """

    store: Store
    connect_runner: Callable[[str, str], RunnerCalls]
    adviser: Adviser | None
    decode_configuration: Callable[[bytes], model.Configuration | None]
    decode_runner: Callable[[str, bytes], model.RunnerEntry | None]
    configuration_topic: str
    configuration_key: str
    runners_topic: str
    evacuation_prefix: str = ""
    is_evacuation: Callable[[bytes], bool] = bool
