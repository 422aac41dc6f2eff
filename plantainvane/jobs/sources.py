"""Sources of the configuration: the log, and the peers while it is silent."""

import dataclasses
import random

import anyio

from plantainvane import events
from plantainvane.jobs import addresses as addresses_module
from plantainvane.jobs import clock
from plantainvane.jobs import metrics
from plantainvane.jobs import settings as settings_module

# Most addresses that are kept, and that one reply names.
_MAX_ADDRESSES = 64
MAX_NAMED = 8
MAX_ADDRESS_CHARACTERS = 64
# Growth of the pause after each round without a newer version.
_PAUSE_GROWTH = 1.5
_MAX_PAUSE_GROWTHS = 10
# Shortest time between two lines with the same outcome.
_REPORT_INTERVAL_S = 2.0
# Most lines about unknown queues in that time.
_MAX_UNKNOWN_REPORTS = 10
# Longest part of a caller's text that is logged.
_MAX_SHOWN_CHARACTERS = 100


@dataclasses.dataclass(slots=True)
class Sources:
    """What a process has heard from the sources of its configuration.

    Attributes:
      confirmed_at: When the log last answered a read of the configuration; at
        first when the process began.
      is_failing: The last read of the log had no usable answer.
      failed: Set when a read of the log begins to fail.
      asked_at: When peers were last asked.
      vain_rounds: Rounds of questions in a row without a newer version.
      addresses: Peers that other processes have named, the last named last.
      failed_rounds: Rounds of questions in a row that no peer has answered.
      newest_from: Address of the peer that had the last newer version.
    """

    confirmed_at: float = dataclasses.field(default_factory=clock.read_now)
    is_failing: bool = False
    failed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    asked_at: float = float("-inf")
    vain_rounds: int = 0
    addresses: dict[str, None] = dataclasses.field(default_factory=dict)
    failed_rounds: int = 0
    newest_from: str = ""
    _asked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    _reported: str = ""
    _reported_at: float = float("-inf")
    _unknown_reports: int = 0
    _unknown_since: float = float("-inf")

    def record_answer(self, now: float) -> None:
        """Records that the log has answered with all newer versions."""
        metrics.CONFIGURATION_GAP_SECONDS.observe(now - self.confirmed_at)
        self.confirmed_at = now
        self.is_failing = False
        self.vain_rounds = 0

    def record_failure(self) -> None:
        """Records a read of the log without a usable answer."""
        if not self.is_failing:
            self.is_failing = True
            self.failed.set()
            self.failed = anyio.Event()

    def find_due(
        self, has_version: bool, settings: settings_module.Settings
    ) -> float:
        """Returns when peers are to be asked next, if the log goes on as now.

        A read that works is answered after `read_wait_s` and the time of a
        call. A process without any version serves nobody, so it asks sooner.
        """
        pause_s = settings.fetch_pause_s * _PAUSE_GROWTH ** min(
            self.vain_rounds, _MAX_PAUSE_GROWTHS
        )
        next_at = self.asked_at + min(settings.fetch_pause_max_s, pause_s)
        if self.is_failing:
            return next_at
        limit_s = (
            settings.fetch_after_s if has_version else settings.fetch_pause_s
        )
        return max(next_at, self.confirmed_at + limit_s)

    def add_address(self, address: str) -> None:
        """Keeps the address of a peer that another process has named."""
        if not is_nameable(address):
            return
        self.forget_address(address)
        self.addresses[address] = None
        if len(self.addresses) > _MAX_ADDRESSES:
            del self.addresses[next(iter(self.addresses))]

    def forget_address(self, address: str) -> None:
        """Forgets the address of a peer that has not answered."""
        self.addresses.pop(address, None)

    def choose_peers(
        self, known: list[str], settings: settings_module.Settings, now: float
    ) -> list[str]:
        """Chooses the peers to ask, and notes that they are asked.

        They are the first one, the one that had the last newer version, and
        those that were not asked for the longest time. Twice as many are asked
        after each round without any answer.
        """
        count = min(
            settings.fetch_peers_max,
            settings.fetch_peers
            << min(self.failed_rounds, settings.fetch_peers_max),
        )
        never = float("-inf")
        others = sorted(
            known[1:],
            key=lambda a: (
                a != self.newest_from,
                self._asked_at.get(a, never),
                random.random(),
            ),
        )
        chosen = [*known[:1], *others][:count]
        self._asked_at = {
            a: self._asked_at[a] for a in known if a in self._asked_at
        }
        self._asked_at.update(dict.fromkeys(chosen, now))
        self.asked_at = now
        self.vain_rounds += 1
        return chosen

    def report(
        self, before: int, answers: dict[str, int | None], now: float
    ) -> None:
        """Records and reports what the peers that were asked have answered.

        Args:
          before: Version in force before, or -1.
          answers: By the address of each peer, the version that it has, or
            None without an answer; -1 without a document that can be read.
          now: Present time.
        """
        newest = max((v for v in answers.values() if v is not None), default=-1)
        outcome = "newer" if newest > before else "not_newer"
        if outcome == "newer":
            self.vain_rounds = 0
            self.newest_from = max(answers, key=lambda a: answers[a] or -1)
        self.failed_rounds += 1
        if any(version is not None for version in answers.values()):
            self.failed_rounds = 0
        else:
            outcome = "failed"
        metrics.CONFIGURATION_FETCHES.labels(outcome).inc()
        if (
            outcome == self._reported != "newer"
            and now - self._reported_at < _REPORT_INTERVAL_S
        ):
            return
        self._reported, self._reported_at = outcome, now
        events.log_event(
            events.CONFIGURATION_SOUGHT,
            outcome=outcome,
            before=before,
            answers=answers,
            unconfirmed_s=round(now - self.confirmed_at, 3),
        )

    def report_unknown_queue(
        self, host: str, path: str, version: int, now: float
    ) -> None:
        """Reports a request that the version in force has no queue for."""
        metrics.UNKNOWN_QUEUES.inc()
        if now - self._unknown_since >= _REPORT_INTERVAL_S:
            self._unknown_since, self._unknown_reports = now, 0
        self._unknown_reports += 1
        if self._unknown_reports > _MAX_UNKNOWN_REPORTS:
            return
        events.log_event(
            events.QUEUE_UNKNOWN,
            host=host[:_MAX_SHOWN_CHARACTERS],
            path=path[:_MAX_SHOWN_CHARACTERS],
            version=version,
            unconfirmed_s=round(now - self.confirmed_at, 3),
        )


def is_nameable(address: str) -> bool:
    """Tells whether messages between processes may name an address."""
    return len(
        address
    ) <= MAX_ADDRESS_CHARACTERS and addresses_module.is_callable(address)


def choose_named(known: list[str], count: int) -> list[str]:
    """Chooses up to `count` of the peers that a reply may name, by chance."""
    # Replies are frequent, so only those that are chosen are checked.
    chosen = random.sample(known, min(len(known), count))
    return [address for address in chosen if is_nameable(address)]
