"""Rendezvous hashing: same order everywhere, few moves, even spread."""

import collections

from plantainvane import rendezvous

IDS = [f"entry-{index}" for index in range(9)]
KEYS = [f"runner-{index}" for index in range(900)]


def test_order_of_ids_does_not_matter():
    # Processes with the same members in another order must pick one owner.
    for key in KEYS:
        forward = rendezvous.rank_members(IDS, key)
        assert forward == rendezvous.rank_members(reversed(IDS), key)
        assert forward[0] == rendezvous.pick_member(IDS, key)


def test_removal_moves_only_the_keys_of_the_removed_member():
    # Guards against a restart that moves every shard and slot.
    rest = [id for id in IDS if id != "entry-4"]
    for key in KEYS:
        before = rendezvous.rank_members(IDS, key)
        before.remove("entry-4")
        assert rendezvous.rank_members(rest, key) == before


def test_keys_spread_over_members():
    counts = collections.Counter(rendezvous.pick_member(IDS, k) for k in KEYS)
    assert set(counts) == set(IDS)
    assert max(counts.values()) < 2 * len(KEYS) / len(IDS)


def test_weights_are_fixed():
    # Guards against a hash that differs between processes or releases.
    assert rendezvous.rank_members(["a", "b", "c"], "k") == ["a", "b", "c"]
    assert rendezvous.pick_member([], "k") is None
