"""Faults of a soak, drawn from its seed."""

import dataclasses
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
    "order_late": (1, 0.0, 0.0),
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
