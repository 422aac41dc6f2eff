"""Faults of a soak, drawn from its seed."""

import dataclasses
import math
import random

_BURST_S = (3.0, 9.0)
_PAUSE_IN_BURST_S = 0.7
_SHORT_CALM_S = (0.5, 3.0)
_LONG_CALM_S = 9.5
_LONG_CALM_SHARE = 0.35
# Share of the faults of processes that hit the present owner.
_OWNER_SHARE = 0.4
# Share of the ends by a signal that are followed by further signals.
_SERIES_SHARE = 0.3
_LAST_TARGET = 0.999
# Share of the new lives of runners that come with the end of the owner, and
# when it ends, from the start of the fault.
_LOST_OWNER_SHARE = 0.3
_LOST_OWNER_S = (0.0, 6.0)
LONGEST_LEASES_MS = (6000, 10_000)
# New lives of a runner: how many follow each other, the time between two, how
# long one lasts before the next one or the cut, and what clocks begin with.
_LIVES = (1, 1, 2, 3)
_DARK_S = (0.05, 3.0)
_LIVED_S = (0.05, 3.0)
_CLOCKS_S = (0.0, 0.0, 7000.0)
_BROKEN_SHARE = 0.25
_ANNOUNCED_SHARE = 0.3
# Calls that are carried out late, the first of them before the life ends.
_LATE_LEAD_S = (0.0, 1.5)
_LATE_CALLS = (0, 1, 2)
_LATE_S = (2.0, 12.0)
_ACKNOWLEDGING_SHARE = 0.7
_WAYS = ((0, 1), (0, 1), (0,), (1,))

# Faults by name: weight, and bounds of their duration in seconds. For a process
# that ends, the duration is the time until it is started again.
PROCESS_FAULTS = {
    "SIGTERM": (4, 0.2, 3.0),
    "SIGINT": (1, 0.2, 3.0),
    "SIGKILL": (3, 0.2, 3.0),
    "SIGSTOP": (3, 0.3, 7.0),
    "SIGHUP": (2, 0.0, 0.0),
    "store_held": (2, 0.5, 5.0),
    "store_reset": (2, 0.0, 0.0),
    "store_silent": (2, 0.0, 0.0),
}
RUNNER_FAULTS = {
    "added": (1, 0.0, 0.0),
    "drained": (2, 2.0, 5.0),
    "crashed": (2, 0.2, 4.0),
    "crashed_for_good": (1, 0.0, 0.0),
    "held": (2, 0.5, 9.0),
    "reset": (2, 0.0, 0.0),
    "silent": (2, 0.0, 0.0),
    "order_late": (1, 0.5, 12.0),
    "lives": (5, 0.5, 9.0),
}
STORE_FAULTS = {
    "outage": (2, 0.3, 5.0),
    "answers_lost": (2, 0.0, 0.0),
    "slow": (3, 1.0, 5.0),
}
_GROUPS = (
    ("process", 8, PROCESS_FAULTS),
    ("runner", 6, RUNNER_FAULTS),
    ("store", 2, STORE_FAULTS),
    ("configuration", 3, {"written": (1, 0.0, 0.0)}),
)


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault to bring about.

    Attributes:
      at_s: Time from the start of the faults.
      group: `process`, `runner`, `store` or `configuration`.
      target: Number from 0 up to 1, of which the target follows; -1 for the
        present owner.
      number: How many answers are lost, or versions the configuration rises by.
    """

    at_s: float
    group: str
    kind: str
    target: float
    duration_s: float
    number: int


@dataclasses.dataclass(slots=True)
class Lives:
    """New lives of a runner, of which the last one is cut off.

    Attributes:
      late_starts_s, late_polls_s: Delays of the next calls, from the start on;
        whichever life there is then carries them out.
      acknowledging: Of the polls, only those that acknowledge ends are late.
      lead_s: Time until the present life ends.
      spans_s: Of each new life, the time before it and the time until the next
        one, or the cut.
      breaks: Connections break as a life ends; nothing is heard otherwise.
      announces: Each life writes its entry at once.
      clock_s: What the clock of each life begins with.
      ways: Ways of the path that are cut, as numbered by `soak_links`.
    """

    late_starts_s: list[float]
    late_polls_s: list[float]
    acknowledging: bool
    lead_s: float
    spans_s: list[tuple[float, float]]
    breaks: bool
    announces: bool
    clock_s: float
    ways: tuple[int, ...]


def plan_lives(fault: Fault) -> Lives:
    """Draws the new lives of a runner; they follow from the fault alone."""
    rng = random.Random(f"lives of {fault.at_s} {fault.target}")

    def draw_delays() -> list[float]:
        count = rng.choice(_LATE_CALLS)
        return [_draw_time(rng, *_LATE_S) for _ in range(count)]

    return Lives(
        draw_delays(),
        draw_delays(),
        rng.random() < _ACKNOWLEDGING_SHARE,
        rng.uniform(*_LATE_LEAD_S),
        [
            (_draw_time(rng, *_DARK_S), _draw_time(rng, *_LIVED_S))
            for _ in range(rng.choice(_LIVES))
        ],
        rng.random() < _BROKEN_SHARE,
        rng.random() < _ANNOUNCED_SHARE,
        rng.choice(_CLOCKS_S),
        rng.choice(_WAYS),
    )


def _draw_time(
    rng: random.Random, shortest_s: float, longest_s: float
) -> float:
    """Draws a time whose magnitude is uniform; short ones are as frequent."""
    return math.exp(rng.uniform(math.log(shortest_s), math.log(longest_s)))


def choose_longest_lease_ms(seed: int) -> int:
    """Returns the longest lease that the runners of a soak grant."""
    return random.Random(f"lease of {seed}").choice(LONGEST_LEASES_MS)


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Draws the faults of a soak: bursts that overlap, with calm between."""
    rng = random.Random(f"faults of {seed}")
    plan: list[Fault] = []
    now_s = 0.0
    while now_s < duration_s:
        until_s = min(duration_s, now_s + rng.uniform(*_BURST_S))
        while (now_s := now_s + rng.expovariate(1 / _PAUSE_IN_BURST_S)) < (
            until_s
        ):
            plan += _draw_fault(rng, round(now_s, 3))
        if rng.random() < _LONG_CALM_SHARE:
            now_s = until_s + _LONG_CALM_S
        else:
            now_s = until_s + rng.uniform(*_SHORT_CALM_S)
    return sorted(plan, key=lambda fault: fault.at_s)


def _draw_fault(rng: random.Random, at_s: float) -> list[Fault]:
    weights = [weight for _, weight, _ in _GROUPS]
    ((group, _, kinds),) = rng.choices(_GROUPS, weights)
    names = list(kinds)
    (kind,) = rng.choices(names, [kinds[name][0] for name in names])
    _, shortest_s, longest_s = kinds[kind]
    by_owner = group == "process" and rng.random() < _OWNER_SHARE
    fault = Fault(
        at_s,
        group,
        kind,
        -1.0 if by_owner else min(_LAST_TARGET, round(rng.random(), 3)),
        round(rng.uniform(shortest_s, longest_s), 3),
        rng.randint(1, 4),
    )
    if kind == "lives" and rng.random() < _LOST_OWNER_SHARE:
        lost_at_s = round(at_s + rng.uniform(*_LOST_OWNER_S), 3)
        _, *bounds = PROCESS_FAULTS["SIGKILL"]
        away_s = round(rng.uniform(*bounds), 3)
        return [
            fault,
            Fault(lost_at_s, "process", "SIGKILL", -1.0, away_s, 1),
        ]
    if kind not in ("SIGTERM", "SIGINT") or rng.random() >= _SERIES_SHARE:
        return [fault]
    further = rng.choices(("SIGHUP", "SIGINT", "SIGTERM"), k=rng.randint(1, 3))
    # Further signals reach the same process, as they name the same target.
    return [fault] + [
        dataclasses.replace(
            fault,
            at_s=round(at_s + rng.uniform(0.05, 1.5), 3),
            kind=f"then_{name}",
            duration_s=0.0,
        )
        for name in further
    ]
