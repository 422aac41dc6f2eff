"""Sources of the configuration: the log, and the peers while it is silent."""

import dataclasses

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import metrics

# Shortest time between two lines that say the same.
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
    """

    confirmed_at: float = dataclasses.field(default_factory=clock.read_now)
    _reported: dict[str, int | None] | None = None
    _reported_at: float = float("-inf")
    _unknown_reports: int = 0
    _unknown_since: float = float("-inf")

    def record_answer(self, now: float) -> None:
        """Records that the log has answered with all newer versions."""
        metrics.CONFIGURATION_GAP_SECONDS.observe(now - self.confirmed_at)
        self.confirmed_at = now

    def report(
        self, before: int, answers: dict[str, int | None], now: float
    ) -> None:
        """Reports what the peers that were asked have answered.

        Args:
          before: Version in force before, or -1.
          answers: By the address of each peer, the version that it sent, or
            None without a document. A version of -1 is malformed.
          now: Present time.
        """
        newest = max((v for v in answers.values() if v is not None), default=-1)
        outcome = "newer" if newest > before else "not_newer"
        if all(version is None for version in answers.values()):
            outcome = "failed"
        metrics.CONFIGURATION_FETCHES.labels(outcome).inc()
        if (
            answers == self._reported
            and now - self._reported_at < _REPORT_INTERVAL_S
        ):
            return
        self._reported, self._reported_at = answers, now
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
