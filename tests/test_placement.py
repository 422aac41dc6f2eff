"""Tests of plantainvane.placement and plantainvane.quotas."""

import hypothesis
from hypothesis import strategies

from plantainvane import documents
from plantainvane import placement
from plantainvane import quotas
from plantainvane import resources
from tests import test_claims

SETTINGS = test_claims.make_settings()
URGENT = documents.Priority.URGENT
NORMAL = documents.Priority.NORMAL
BULK = documents.Priority.BULK


def make_worker(id="w1", rack="r1", cores=4, **fields):
    return placement.WorkerState(
        id, rack, resources.Resources(cores * 1000, 1 << 30, 1), **fields
    )


def make_key(priority=NORMAL, cores=1.0, **fields):
    size = documents.Size(processors=cores)
    fields = {"batch_class": "c", "team": "t", **fields}
    demand = resources.convert_size(size)
    return placement.GroupKey(priority=priority, demand=demand, **fields)


def make_state(workers, *waiting):
    """Queues `waiting`, given as (task, key) or (task, key, since)."""
    state = placement.State({w.id: w for w in workers}, placement.Queue())
    for order, (task, key, *since) in enumerate(waiting):
        state.queue.add(
            key, placement.QueuedTask(task, order, since[0] if since else 0.0)
        )
    for worker in workers:
        worker.open_starts = 1000
    return state


def make_policy(
    ratio=lambda worker, batch_class: 0.0, is_within_quota=lambda key: True
):
    return placement.Policy(
        is_within_quota=is_within_quota,
        charge_quota=lambda key: None,
        predict_ratio=ratio,
        predict_use=lambda key: key.demand,
    )


def place(state, now=0.0, **policy):
    decisions = placement.place_tasks(
        SETTINGS, state, make_policy(**policy), now
    )
    return [(decision.task, decision.worker) for decision in decisions]


SIZES = strategies.tuples(
    strategies.floats(0, 6),
    strategies.integers(0, 2**30),
    strategies.integers(0, 2),
)


@hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(SIZES, max_size=30))
def test_no_worker_is_committed_beyond_any_resource(sizes):
    # Guards against commitments beyond processors, memory or accelerators.
    waiting = []
    for number, (cores, memory, accelerators) in enumerate(sizes):
        size = documents.Size(cores, memory, accelerators)
        key = placement.GroupKey("c", NORMAL, "t", resources.convert_size(size))
        waiting.append((str(number), key))
    state = make_state([make_worker("w1"), make_worker("w2")], *waiting)
    place(state)
    for worker in state.workers.values():
        assert worker.committed.fits_within(worker.capacity)


def test_fractions_are_charged_rounded_up():
    # Guards against rounding errors that add up beyond a worker's capacity.
    key = make_key(cores=0.0333)
    tasks = [(str(number), key) for number in range(150)]
    state = make_state([make_worker(cores=4)], *tasks)
    assert len(place(state)) == 4000 // 34


def test_urgent_goes_first_and_waiting_raises_up_to_below_urgent():
    # Guards against starvation of bulk tasks, and against bulk before urgent.
    waiting = [
        ("bulk", make_key(BULK), 0.0),
        ("normal", make_key(NORMAL), 50.0),
        ("urgent", make_key(URGENT), 50.0),
    ]
    young = make_state([make_worker()], *waiting)
    assert [task for task, _ in place(young, now=59.0)] == [
        "urgent",
        "normal",
        "bulk",
    ]
    old = make_state([make_worker()], *waiting)
    assert [task for task, _ in place(old, now=120.0)] == [
        "urgent",
        "bulk",
        "normal",
    ]


def test_a_large_task_that_waits_long_reserves_a_worker():
    # Small tasks must not take all freed capacity, which starves large ones.
    large, small = make_key(cores=4.0), make_key(cores=1.0)
    worker = make_worker(committed=resources.Resources(1000))
    state = make_state([worker], ("large", large, 0.0), ("small", small, 61.0))
    assert place(state, now=61.0) == []
    worker.committed = resources.Resources()
    assert place(state, now=62.0) == [("large", "w1")]


def test_a_class_spreads_over_racks():
    # Guards against losing all tasks of a class with one rack.
    workers = [make_worker(f"w{n}", f"r{n // 2}") for n in range(4)]
    state = make_state(workers, *[(str(n), make_key()) for n in range(4)])
    racks = [state.workers[worker].rack for _, worker in place(state)]
    assert sorted(racks) == ["r0", "r0", "r1", "r1"]
    assert racks[0] != racks[1]


def test_the_least_predicted_interference_wins():
    # Guards against placing by load alone when a service would be slowed.
    busy = make_worker("busy", used=resources.Resources(3000))
    idle = make_worker("idle", services=("ring",))
    state = make_state([idle, busy], ("t", make_key()))
    ratios = {"idle": 0.9, "busy": 0.1}
    assert place(state, ratio=lambda worker, _: ratios[worker.id]) == [
        ("t", "busy")
    ]


def test_a_throttled_worker_takes_urgent_and_harmless_work_only():
    # Guards against more batch work beside a service that is slowed down, and
    # against capacity left idle although a task would not slow the service.
    state = make_state(
        [make_worker(throttled=True)],
        ("harmful", make_key(batch_class="harmful")),
        ("harmless", make_key(batch_class="harmless")),
        ("urgent", make_key(URGENT, batch_class="harmful")),
    )
    ratios = {"harmful": 1.1, "harmless": 0.9}
    placed = place(state, ratio=lambda _, batch_class: ratios[batch_class])
    assert [task for task, _ in placed] == ["urgent", "harmless"]


def test_a_task_avoids_workers_it_failed_on_and_ends_after_all():
    # Guards against a task that fails on the same worker again and again.
    key = make_key(failed_on=frozenset({"w1"}))
    state = make_state([make_worker("w1"), make_worker("w2")], ("t", key))
    assert placement.explain_unschedulable(state, key, all_listed=True) is None
    assert place(state) == [("t", "w2")]
    key = make_key(failed_on=frozenset({"w1", "w2"}))
    assert "failed on every" in placement.explain_unschedulable(
        state, key, True
    )


def test_a_task_that_fits_no_worker_is_named_once_all_are_listed():
    # Guards against a task that waits forever, and against ending it before
    # all workers are known.
    state, key = make_state([make_worker(cores=4)]), make_key(cores=5.0)
    assert placement.explain_unschedulable(state, key, all_listed=False) is None
    assert "fits no worker" in placement.explain_unschedulable(state, key, True)


def test_a_blocked_team_does_not_block_others():
    # Guards against head-of-line blocking by a team with an exhausted quota.
    state = make_state(
        [make_worker()],
        ("first", make_key(team="full")),
        ("second", make_key(team="free")),
    )
    assert place(state, is_within_quota=lambda key: key.team == "free") == [
        ("second", "w1")
    ]


def allows_start(limit, used, amount, elsewhere=None):
    """Checks a quota with two shards, so that the share is half the limit."""
    quota = documents.Quota(name="t", limit=documents.Size(processors=limit))
    return quotas.allows_start(
        SETTINGS,
        quota,
        resources.Resources(used),
        resources.Resources(amount),
        lambda: None if elsewhere is None else resources.Resources(elsewhere),
    )


def test_a_quota_is_divided_among_the_shards():
    # Guards against a team that runs its whole quota in every shard.
    assert allows_start(limit=8, used=3000, amount=1000)
    assert not allows_start(limit=8, used=4000, amount=1, elsewhere=0)
    nothing = resources.Resources()
    assert not quotas.allows_start(
        SETTINGS, None, nothing, nothing, lambda: nothing
    )


def test_a_task_above_the_share_is_checked_against_the_whole_quota():
    # Guards against a small quota under which nothing can run, and against one
    # that each shard may use in full.
    assert allows_start(limit=2, used=0, amount=2000, elsewhere=0)
    assert not allows_start(limit=2, used=0, amount=2000, elsewhere=1)
    assert not allows_start(limit=2, used=1, amount=2000, elsewhere=0)
    assert not allows_start(limit=2, used=0, amount=2000, elsewhere=None)
