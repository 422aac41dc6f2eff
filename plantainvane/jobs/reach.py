"""How many of its runners an owner hears, and who would hear more of them.

An owner may reach the log but few of its runners, while another process reaches
most of them. It then reports in its claim how many it hears, with a sample of
the runners that it hears and of those that it does not. A standby polls the
sample several times and claims if it would hear markedly more, also than the
owner by then: runners may have begun to answer everybody since the report.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools
import random
from typing import Annotated

import anyio
import msgspec

from plantainvane.jobs import addresses
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import settings as settings_module

# Runners with attempts are polled at least this often; one that has not been
# polled for longer is neither heard nor silent.
_HEARD_WITHIN_S = 3.0
# A runner is counted as silent after this time, in which a poll on a new
# connection has failed as well. Connections may be reset while paths are sound.
SILENT_AFTER_S = 0.25
# Pause before a silent runner with attempts is polled again.
SILENT_RETRY_S = 0.1
# How often an owner counts its runners.
WATCH_INTERVAL_S = 0.2

# Whole numbers up to here are exact as floats.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_MAX_SAMPLE = 64


class SampledRunner(msgspec.Struct, array_like=True, frozen=True):
    """Id and address of a runner, and its owner's token; 0 if unknown."""

    id: str
    address: str
    token: int = 0


Sample = Annotated[
    tuple[SampledRunner, ...], msgspec.Meta(max_length=_MAX_SAMPLE)
]


class Reach(msgspec.Struct, frozen=True):
    """What an owner reports that hears few of its runners.

    Attributes:
      heard, silent: Number of listed runners whose polls are answered and are
        not answered.
      heard_sample, silent_sample: Some of them, of all failure domains.
    """

    heard: _Count
    silent: _Count
    heard_sample: Sample = ()
    silent_sample: Sample = ()

    def is_usable(self) -> bool:
        """Tells whether each runner that it names can be asked."""
        return all(
            addresses.is_callable(runner.address)
            and addresses.is_header_value(runner.id)
            for runner in (*self.heard_sample, *self.silent_sample)
        )


@dataclasses.dataclass(slots=True)
class Answers:
    """How many runners of each sample have answered all polls of a process."""

    heard_sample: int = 0
    silent_sample: int = 0

    def record(self, is_silent: bool) -> None:
        """Records an answer; `is_silent` for a runner silent for the owner."""
        if is_silent:
            self.silent_sample += 1
        else:
            self.heard_sample += 1


@dataclasses.dataclass(slots=True)
class Check:
    """The owner polls the runners of a report again.

    Attributes:
      done: Set when the check has ended.
      answers: The answers, or None if it was broken off.
    """

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    answers: Answers | None = None


@dataclasses.dataclass(slots=True)
class Comparisons:
    """When this process may compare its reach with that of the owner again.

    Attributes:
      epoch: Epoch of the owner that was compared last, or -1.
      next_at: Earliest time of the next comparison.
      wait_s: Time between the last comparison and `next_at`.
      stands_back_until: Until then this process is no candidate, as it heard
        few runners when it was the owner.
      keeps_until: Until then this process hands over to an abler one only if
        that hears the runners as well, as it became the owner because it hears
        more of them.
    """

    epoch: int = -1
    next_at: float = 0.0
    wait_s: float = 0.0
    stands_back_until: float = float("-inf")
    keeps_until: float = float("-inf")

    def is_due(self, epoch: int, now: float) -> bool:
        """Tells whether to compare with the owner of `epoch` now."""
        if now < self.stands_back_until:
            return False
        return epoch != self.epoch or now >= self.next_at

    def record(
        self, epoch: int, settings: settings_module.Settings, now: float
    ) -> None:
        """Records a comparison that led to no claim; waits get longer."""
        if epoch != self.epoch:
            self.wait_s = settings.reach_retry_s / 2
        self.epoch = epoch
        self.wait_s = min(2 * self.wait_s, settings.reach_retry_max_s)
        self.next_at = now + self.wait_s


def list_heard_and_silent(
    runners: Iterable[runners_module.Runner], now: float
) -> tuple[list[runners_module.Runner], list[runners_module.Runner]]:
    """Returns the listed runners that are heard, and those that are silent.

    A runner that an owner cannot reach from its start on goes on writing its
    entry. Entries to which nobody answers and that nobody rewrites count as
    neither, or they would hide what the owner does not reach.
    """
    heard: list[runners_module.Runner] = []
    silent: list[runners_module.Runner] = []
    for runner in runners:
        if not runner.listed:
            continue
        if runner.silent:
            lasts = now - runner.silent_since >= SILENT_AFTER_S
            if lasts and runner.shows_life(now):
                silent.append(runner)
        elif runner.fenced and now - runner.answered_at <= _HEARD_WITHIN_S:
            heard.append(runner)
    return heard, silent


def make_report(
    heard: Sequence[runners_module.Runner],
    silent: Sequence[runners_module.Runner],
    settings: settings_module.Settings,
) -> Reach:
    """Creates a report with a sample of both."""
    return Reach(
        len(heard),
        len(silent),
        _choose_sample(heard, settings.reach_sample),
        _choose_sample(silent, settings.reach_sample),
    )


def choose_handover_sample(
    runners: Collection[runners_module.Runner],
    recovered: bool,
    settings: settings_module.Settings,
    now: float,
) -> Sample:
    """Returns runners that the next owner has to hear.

    Empty while this owner does not hear nearly all itself: what it hears by
    then may be what anybody hears. During a recovery all are polled, later not
    those that are idle.
    """
    heard, silent = list_heard_and_silent(runners, now)
    counted = len(heard) + len(silent)
    if not recovered:
        counted = sum(r.listed and r.shows_life(now) for r in runners)
    if len(heard) < settings.enough_runners_share * counted:
        return ()
    return _choose_sample(heard, settings.reach_handover_sample)


def _choose_sample(
    runners: Sequence[runners_module.Runner], size: int
) -> tuple[SampledRunner, ...]:
    """Returns random runners, as many of each failure domain as possible."""
    domains: dict[str, list[runners_module.Runner]] = {}
    for runner in random.sample(runners, len(runners)):
        domains.setdefault(runner.entry.domain, []).append(runner)
    turns = itertools.zip_longest(*domains.values())
    mixed = (runner for turn in turns for runner in turn if runner is not None)
    return tuple(
        SampledRunner(runner.entry.id, runner.entry.address, runner.token)
        for runner in itertools.islice(mixed, size)
    )


def hears_few(
    heard: int,
    silent: int,
    before: bool,
    is_late: bool,
    settings: settings_module.Settings,
) -> bool:
    """Tells whether an owner hears few of its runners.

    Args:
      heard: Number of runners that it hears.
      silent: Number of runners that are silent for it.
      before: The result before.
      is_late: The owner itself is late now, so that polls may fail because of
        that; the result stays.
      settings: Limits; the one that ends the state is higher.
    """
    if is_late:
        return before
    share = settings.few_runners_share
    if before:
        share = settings.enough_runners_share
    return heard < share * (heard + silent)


def estimate_heard(reach: Reach, answers: Answers) -> float:
    """Returns how many runners a process would hear, from its answers."""
    estimate = 0.0
    if reach.heard_sample:
        share = answers.heard_sample / len(reach.heard_sample)
        estimate += reach.heard * share
    if reach.silent_sample:
        share = answers.silent_sample / len(reach.silent_sample)
        estimate += reach.silent * share
    return estimate


def hears_enough(
    reach: Reach, answers: Answers, settings: settings_module.Settings
) -> bool:
    """Tells whether a process would hear so many that it need not ask on.

    Such a process claims before one that is waiting for its last answers.
    """
    runners = reach.heard + reach.silent
    return estimate_heard(reach, answers) >= (
        settings.enough_runners_share * runners
    )


def hears_markedly_more(
    reach: Reach, answers: Answers, settings: settings_module.Settings
) -> bool:
    """Tells whether a process would hear markedly more than the owner.

    Runners that are down answer nobody. Of two processes that each reach one
    half, neither hears more. As each change of the owner adds a part of all
    runners, few can follow each other.
    """
    return estimate_heard(reach, answers) >= reach.heard + _find_least_gain(
        reach, settings
    )


def is_confirmed(
    reach: Reach,
    answers: Answers,
    owner_answers: Answers,
    settings: settings_module.Settings,
) -> bool:
    """Tells whether a process still hears markedly more than the owner.

    Args:
      reach: The report of the owner.
      answers: The answers to this process.
      owner_answers: The later answers of the same runners to the owner.
      settings: Limits.
    """
    gain = _find_least_gain(reach, settings)
    return estimate_heard(reach, answers) >= gain + estimate_heard(
        reach, owner_answers
    )


def find_notice_time(settings: settings_module.Settings) -> float:
    """Returns how long an owner may take to report that it hears enough.

    A poll that is on its way may still time out.
    """
    return settings.call_timeout_s + SILENT_RETRY_S + WATCH_INTERVAL_S


def _find_least_gain(reach: Reach, settings: settings_module.Settings) -> float:
    return settings.reach_gain_share * (reach.heard + reach.silent)
