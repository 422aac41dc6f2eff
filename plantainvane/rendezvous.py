"""Rendezvous (highest random weight) hashing.

Every process ranks the members for a key in the same order. When a member
leaves, only the keys for which it ranked first move, each to the member ranked
next.
"""

from collections.abc import Iterable
import hashlib


def pick_member(ids: Iterable[str], key: str) -> str | None:
    """Returns the id with the highest weight for `key`; None without ids."""
    return max(ids, key=lambda id: _weigh(id, key), default=None)


def rank_members(ids: Iterable[str], key: str) -> list[str]:
    """Returns all ids in descending order of weight for `key`."""
    return sorted(ids, key=lambda id: _weigh(id, key), reverse=True)


def _weigh(id: str, key: str) -> tuple[bytes, str]:
    # Python's hash() differs between processes. The id breaks ties.
    digest = hashlib.blake2b(f"{id}\0{key}".encode(), digest_size=8).digest()
    return digest, id
