"""Choice among the peers that could become the owner."""

import random

from plantainvane.jobs import process as process_module
from plantainvane.jobs import settings as settings_module

# A peer whose last ping is older than this is not asked to become the owner.
_PEER_MAX_AGE_S = 1.5


def list_successors(
    known_peers: dict[str, process_module.PeerStatus], now: float
) -> list[str]:
    """Returns able peers, the ablest first and equals in random order."""
    able = [
        address
        for address, status in known_peers.items()
        if _is_able(status, now)
    ]
    random.shuffle(able)
    return sorted(able, key=lambda a: known_peers[a].capacity, reverse=True)


def find_ablest_capacity(
    known_peers: dict[str, process_module.PeerStatus], now: float
) -> float:
    """Returns the highest capacity of the able peers, or 0 without any."""
    return max(
        (s.capacity for s in known_peers.values() if _is_able(s, now)),
        default=0.0,
    )


def find_abler_peer(
    known_peers: dict[str, process_module.PeerStatus],
    settings: settings_module.Settings,
    now: float,
) -> str:
    """Returns an ablest peer that is markedly abler, or an empty string."""
    for address in list_successors(known_peers, now)[:1]:
        limit = settings.abler_peer_share * known_peers[address].capacity
        if settings.capacity < limit:
            return address
    return ""


def _is_able(status: process_module.PeerStatus, now: float) -> bool:
    return status.may_own and now - status.pinged_at < _PEER_MAX_AGE_S
