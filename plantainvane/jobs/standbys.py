"""Choice among the peers that could become the owner."""

import heapq
import random
import zlib

from plantainvane.jobs import process as process_module
from plantainvane.jobs import settings as settings_module

# A peer whose ping is overdue by more than this is not asked to become the
# owner, and not counted.
_OVERDUE_S = 1.15
# Standbys that ping often even if the owner is weak: one may be lost with it.
_LEAST_FAST_STANDBYS = 2


def list_successors(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> list[str]:
    """Returns able peers, the ablest first and equals in random order."""
    able = [
        address
        for address, status in known_peers.items()
        if _is_able(status, settings, now)
    ]
    random.shuffle(able)
    return sorted(able, key=lambda a: known_peers[a].capacity, reverse=True)


def list_heard(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> list[str]:
    """Returns the peers that ping this process."""
    return [a for a, s in known_peers.items() if _is_heard(s, settings, now)]


def find_ablest_capacity(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> float:
    """Returns the highest capacity of the able peers, or 0 without any."""
    return max(
        (
            status.capacity
            for status in known_peers.values()
            if _is_able(status, settings, now)
        ),
        default=0.0,
    )


def find_abler_peer(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> str:
    """Returns an ablest peer that is markedly abler, or an empty string."""
    return next(iter(list_abler_peers(known_peers, settings, now)), "")


def list_abler_peers(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> list[str]:
    """Returns the markedly abler peers, the ablest first."""
    return [
        address
        for address in list_successors(known_peers, settings, now)
        if settings.capacity
        < settings.abler_peer_share * known_peers[address].capacity
    ]


def choose_ping_interval(
    known_peers: dict[str, process_module.PeerStatus],
    address: str,
    settings: settings_module.Settings,
    now: float,
) -> float:
    """Returns the time until the next ping of the peer at `address`.

    Only the first claim counts, so a few able standbys are enough to find a
    failed owner at once.
    """
    heard = list_heard(known_peers, settings, now)
    budget_per_s = settings.affordable_pings_per_s
    if len(heard) <= budget_per_s * settings.ping_s:
        return settings.ping_s
    # Half of the budget at most is for the fast ones, but for two of them.
    affordable = int(budget_per_s * settings.ping_s / 2)
    fast_standbys = min(
        settings.fast_standbys, max(_LEAST_FAST_STANDBYS, affordable)
    )
    # The checksum mixes equals of all failure domains.
    fast = heapq.nlargest(
        fast_standbys,
        (a for a in heard if known_peers[a].may_own),
        key=lambda a: (known_peers[a].capacity, zlib.crc32(a.encode()), a),
    )
    if address in fast:
        return settings.ping_s
    left_per_s = budget_per_s - len(fast) / settings.ping_s
    if left_per_s <= 0:
        return settings.slow_ping_max_s
    interval_s = (len(heard) - len(fast)) / left_per_s
    return min(settings.slow_ping_max_s, max(settings.ping_s, interval_s))


def _is_able(
    status: process_module.PeerStatus,
    settings: settings_module.Settings,
    now: float,
) -> bool:
    return status.may_own and _is_heard(status, settings, now)


def _is_heard(
    status: process_module.PeerStatus,
    settings: settings_module.Settings,
    now: float,
) -> bool:
    interval_s = status.ping_after_s or settings.ping_s
    return now - status.pinged_at < interval_s + _OVERDUE_S
