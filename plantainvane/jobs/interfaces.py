"""What the job scheduler needs of its surroundings; adapters provide it."""

from collections.abc import Callable
import enum
from typing import Protocol

import msgspec
import result

from plantainvane import outcomes
from plantainvane.jobs import model


class Page(msgspec.Struct, frozen=True):
    """Records of one read.

    Attributes:
      records: Offset, key and value of each; a value of None deletes the key.
      next_offset: Where the next read starts.
      end_offset: Offset after the newest record.
      expired: The records asked for are no longer kept.
    """

    records: tuple[tuple[int, str, bytes | None], ...]
    next_offset: int
    end_offset: int
    expired: bool = False


class Appended(msgspec.Struct, frozen=True):
    """Answer to an append.

    Attributes:
      offset: Offset of the first record, or -1 when nothing was appended.
      end_offset: Offset after the newest record.
      fenced: A producer with a higher epoch has written.
      next_sequence: The sequence number that the log expects instead, or -1.
    """

    offset: int
    end_offset: int
    fenced: bool = False
    next_sequence: int = -1


class Producer(msgspec.Struct, frozen=True):
    """Identity that makes an append idempotent and fences older epochs."""

    name: str
    epoch: int
    sequence: int


class Store(Protocol):
    """The platform's log; topics of records with a key."""

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        timeout_s: float,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> result.Result[Appended, outcomes.CallError]:
        """Appends `records` atomically, if the topic ends as expected."""

    async def read(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> result.Result[Page, outcomes.CallError]:
        """Reads from `offset`; waits up to `wait_s` for a first record."""

    async def list_newest(
        self, topic: str, timeout_s: float
    ) -> result.Result[Page, outcomes.CallError]:
        """Reads the newest record of each key."""


class StartOutcome(enum.StrEnum):
    """Answer of a runner to an order.

    UNREACHED: no connection, so nothing was done. LOST: it may yet be done.
    """

    DONE = "done"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    UNREACHED = "unreached"
    LOST = "lost"


class RunnerCalls(Protocol):
    """Orders to one runner."""

    async def look(
        self,
        token: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> result.Result[model.RunnerStatus, StartOutcome]:
        """Renews all leases and reads what runs and what ended."""

    async def start(self, order: model.StartOrder) -> StartOutcome:
        """Starts an attempt; repeating it is harmless."""

    async def stop(self, task: str, attempt: int, token: int) -> StartOutcome:
        """Stops an attempt; one that comes later is rejected there."""

    async def pace(
        self, task: str, attempt: int, percent: int, token: int
    ) -> StartOutcome:
        """Lets a task work at `percent` of its speed."""

    async def aclose(self) -> None:
        """Closes the connections."""


class Adviser(Protocol):
    """Decides which runners may run a step."""

    async def advise(
        self, step: str, runners: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Returns tickets by runner id; None without an answer."""


class Surroundings(msgspec.Struct, frozen=True):
    """The adapters of one process.

    Attributes:
      store: The platform's log.
      connect_runner: Makes the client of one runner.
      adviser: The adviser, if the deployment has one.
      decode_configuration: Decodes the operator's document, or None.
      decode_runner: Decodes a runner's entry, or None.
      configuration_topic, configuration_key: Where the document is.
      runners_topic: Where runners list themselves.
    """

    store: Store
    connect_runner: Callable[[str, str], RunnerCalls]
    adviser: Adviser | None
    decode_configuration: Callable[[bytes], model.Configuration | None]
    decode_runner: Callable[[str, bytes], model.RunnerEntry | None]
    configuration_topic: str
    configuration_key: str
    runners_topic: str
