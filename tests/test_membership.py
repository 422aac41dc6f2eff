"""Tests of plantainvane.membership, including a golden session."""

import time
import types

from plantainvane import membership
from plantainvane import messages_pb2
from plantainvane import settings as settings_module

STARTED = int(time.time() * 1000)


def make_settings(id, domain="a", seeds=(), **changes):
    return settings_module.Settings(
        id=id,
        domain=domain,
        domains=("a", "b", "c"),
        listen=settings_module.Listen(
            "127.0.0.1:1", "127.0.0.1:2", f"127.0.0.1:{1000 + len(id)}"
        ),
        platform=settings_module.Platform("127.0.0.1:3", "127.0.0.1:4"),
        seeds=tuple(
            settings_module.Seed(seed, dom, "127.0.0.1:9")
            for seed, dom in seeds
        ),
        **changes,
    )


def make_member(id, domain="a", incarnation=STARTED, **changes):
    identity = types.SimpleNamespace(id=id, incarnation=incarnation)
    return membership.Membership(make_settings(id, domain, **changes), identity)


def build_heartbeat(
    source, now, ready=True, draining=False, version=0, load=()
):
    return source.make_heartbeat(
        now,
        ready=ready,
        draining=draining,
        config_version=version,
        load=list(load),
        with_heard=True,
    )


def list_ids(members):
    return [member.id for member in members]


def test_only_members_that_take_work_are_live():
    local, peer = make_member("e1"), make_member("e2")
    for changes, live in [
        ({"ready": False}, ["e1"]),
        ({}, ["e1", "e2"]),
        ({"draining": True}, ["e1"]),
    ]:
        assert local.apply_heartbeat(build_heartbeat(peer, 0.0, **changes), 0.0)
        assert list_ids(local.list_live("a", 0.0)) == live
    assert local.list_live("b", 0.0) == []


def test_silence_suspects_then_drops():
    # Guards against slots staying reserved for a process that has died.
    local, peer = make_member("e1"), make_member("e2")
    local.apply_heartbeat(build_heartbeat(peer, 0.0), 0.0)
    assert list_ids(local.list_live("a", 3.0)) == ["e1", "e2"]
    assert list_ids(local.list_live("a", 3.1)) == ["e1"]
    assert local.is_heard("e2", STARTED, 3.0)
    assert not local.is_heard("e2", STARTED, 3.1)
    local.review_members(10.0)
    assert local.find_member("e2") is not None
    local.review_members(10.1)
    assert local.find_member("e2") is None


def test_late_heartbeats_change_nothing():
    # Guards against applying outdated heartbeats: those of a replaced stream
    # that arrive late, and those of a previous incarnation.
    local, peer = make_member("e1"), make_member("e2")
    first, second = (
        build_heartbeat(peer, 0.0),
        build_heartbeat(peer, 0.0, draining=True),
    )
    assert local.apply_heartbeat(second, 1.0)
    assert not local.apply_heartbeat(first, 2.0)
    assert list_ids(local.list_live("a", 2.0)) == ["e1"]
    restarted = make_member("e2", incarnation=STARTED + 5)
    assert local.apply_heartbeat(build_heartbeat(restarted, 0.0), 2.0)
    assert not local.apply_heartbeat(build_heartbeat(peer, 0.0), 2.0)
    assert local.find_member("e2").incarnation == STARTED + 5
    assert not local.is_heard("e2", STARTED, 2.0)


def test_a_restart_named_by_others_voids_the_old_report():
    local, peer, other = (make_member(id) for id in ("e1", "e2", "e3"))
    local.apply_heartbeat(build_heartbeat(peer, 0.0), 0.0)
    restarted = make_member("e2", incarnation=STARTED + 5)
    other.apply_heartbeat(build_heartbeat(restarted, 0.0), 0.0)
    local.apply_heartbeat(build_heartbeat(other, 0.0), 0.0)
    assert list_ids(local.list_live("a", 0.0)) == ["e1", "e3"]


def test_seeds_stay_peers_through_a_long_partition():
    # Guards against a partition that never heals because both sides have
    # dropped each other.
    local = make_member("e1", seeds=[("e2", "a"), ("f1", "b")])
    for source in (make_member("e2"), make_member("f1", "b")):
        local.apply_heartbeat(build_heartbeat(source, 0.0), 0.0)
    local.review_members(1000.0)
    assert list_ids(local.list_peers(1000.0)) == ["e2", "f1"]


def test_peers_in_other_domains_are_few_and_prefer_the_heard():
    # Guards against heartbeat traffic that grows with the deployment.
    seeds = [(f"f{index}", "b") for index in range(6)]
    local = make_member("e1", seeds=seeds)
    assert len(local.list_peers(0.0)) == 2
    for index in range(5):
        local.apply_heartbeat(
            build_heartbeat(make_member(f"e9{index}"), 0.0), 0.0
        )
    source = make_member("f9", "b")
    local.apply_heartbeat(build_heartbeat(source, 0.0), 0.0)
    peers = list_ids(local.list_peers(0.0))
    assert len(peers) == 7
    assert "f9" in peers
    tried = {
        id
        for now in range(0, 400, 20)
        for id in list_ids(local.list_peers(1000.0 + now))
    }
    assert tried >= {id for id, _ in seeds}, "a silent seed is never tried"


def test_headroom_is_bounded_between_heartbeats():
    # Guards against a busy domain filling another within a heartbeat interval.
    local, remote = make_member("e1"), make_member("f1", "b")
    near = make_member("e2")
    local.apply_heartbeat(
        build_heartbeat(near, 0.0, load=[("quick", 0, 50)]), 0.0
    )
    assert local.pick_spillover_member("quick", 0.0) is None
    for _ in range(2):
        load = [("quick", 0, 8), ("slow", 3, 8), ("tiny", 0, 3)]
        local.apply_heartbeat(build_heartbeat(remote, 0.0, load=load), 0.0)
        assert local.pick_spillover_member("quick", 0.0).id == "f1"
        assert local.pick_spillover_member("quick", 0.0).id == "f1"
        assert local.pick_spillover_member("quick", 0.0) is None
        assert local.pick_spillover_member("slow", 0.0) is None
        assert local.pick_spillover_member("tiny", 0.0) is None
    local.apply_heartbeat(build_heartbeat(remote, 0.0, load=load), 0.0)
    assert local.pick_spillover_member("quick", 6.1) is None


def test_session(snapshot):
    """Golden session: discovery, partition, drain, restart, headroom."""
    seeds = [("e1", "a")]
    e1 = make_member("e1")
    e2 = make_member("e2", seeds=seeds)
    f1 = make_member("f1", "b", seeds=seeds)
    restarted = make_member("e2", incarnation=STARTED + 900)
    steps = [
        ("e2 finds its seed", e1, e2, 0.0, {"ready": False}),
        ("the seed answers", e2, e1, 0.1, {"version": 3}),
        ("f1 finds its seed", e1, f1, 0.2, {"load": [("q", 0, 8)]}),
        ("f1 is named", e2, e1, 1.0, {}),
        ("f1 drains", e1, f1, 2.0, {"draining": True}),
        ("e2 is silent", e1, f1, 4.0, {}),
        ("e2 is dropped", e1, f1, 12.0, {"version": 4}),
        ("e2 restarts", e1, restarted, 13.0, {}),
    ]
    session = []
    for title, receiver, sender, now, report in steps:
        receiver.apply_heartbeat(build_heartbeat(sender, now, **report), now)
        receiver.review_members(now)
        state = receiver.dump_state(now)
        state["newest"] = receiver.find_newest_configuration(now)
        session.append({"step": title, "now": now, "state": mask(state)})
    assert session == snapshot


def mask(value):
    """Replaces incarnations, which depend on the clock, by relative times."""
    if isinstance(value, dict):
        return {
            key: f"<start + {item - STARTED} ms>"
            if key == "incarnation" and item
            else mask(item)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [mask(item) for item in value]
    if isinstance(value, tuple):
        return [mask(item) for item in value]
    if isinstance(value, membership.Member):
        return value.id
    return value


def test_heartbeat_stays_small():
    # Guards against listing all members in every heartbeat.
    local = make_member("e1")
    others = [make_member(f"e{100 + index}") for index in range(40)]
    for now in (0.0, 10.0):
        for other in others:
            local.apply_heartbeat(build_heartbeat(other, now), now)
    heartbeats = [
        local.make_heartbeat(
            10.0, ready=True, draining=False, config_version=1, load=[]
        )
        for _ in range(membership.HEARTBEATS_PER_HEARD_LIST)
    ]
    sizes = [heartbeat.ByteSize() for heartbeat in heartbeats]
    assert sum(size < 60 for size in sizes) == len(sizes) - 1
    assert 60 < max(sizes) < 2000


def test_a_new_member_is_named_at_once():
    # Guards against announcing a new process to others only a minute later.
    local = make_member("e1")
    local.apply_heartbeat(build_heartbeat(make_member("e2"), 0.0), 0.0)
    local.apply_heartbeat(build_heartbeat(make_member("e2"), 10.0), 10.0)
    local.apply_heartbeat(build_heartbeat(make_member("e3"), 10.0), 10.0)
    heartbeat = local.make_heartbeat(
        10.0, ready=True, draining=False, config_version=1, load=[]
    )
    assert [member.id for member in heartbeat.heard] == ["e3"]
    assert isinstance(heartbeat, messages_pb2.Heartbeat)
