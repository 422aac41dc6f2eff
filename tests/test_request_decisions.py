"""Unit tests of the decision functions of the request path."""

import itertools
import random
import time

import hypothesis
from hypothesis import strategies
import pytest

from plantainvane import documents
from plantainvane import ejection
from plantainvane import queues as queues_module
from plantainvane import retries
from plantainvane import routing
from plantainvane import runtimes
from plantainvane import settings as settings_module
from plantainvane import slots
from tests import request_fakes

PRIORITY = documents.Priority
SETTINGS = request_fakes.make_settings(settings_module.Requests())
REQUESTS = SETTINGS.requests
# The default of hypothesis, in processor time of this process.
LONGEST_EXAMPLE_S = 0.2


def make_request(
    name="preview", priority=PRIORITY.URGENT, deadline=5.0, at=0.0
):
    run_time = runtimes.RunTimes(SETTINGS).get_run_time(
        request_fakes.make_class(name)
    )
    return queues_module.QueuedRequest(
        request_fakes.make_class(name, priority=priority),
        queues_module.RANKS[priority],
        deadline,
        at,
        run_time,
    )


def pop_names(queues, now, accepts=lambda request: True):
    requests = iter(lambda: queues.pop_next(now, accepts), None)
    return [request.service_class.name for request in requests]


def test_queue_serves_by_priority_then_deadline():
    # Guards against running bulk requests before urgent ones.
    queues = queues_module.Queues(SETTINGS)
    for name, priority, deadline in (
        ("bulk", PRIORITY.BULK, 1.0),
        ("later", PRIORITY.URGENT, 3.0),
        ("sooner", PRIORITY.URGENT, 2.0),
        ("normal", PRIORITY.NORMAL, 1.0),
    ):
        queues.push_request(make_request(name, priority, deadline))
    assert pop_names(queues, 0.0) == ["sooner", "later", "normal", "bulk"]


def test_queue_orders_one_class_by_deadline():
    # Guards against FIFO order within a class.
    queues = queues_module.Queues(SETTINGS)
    deadlines = [4.0, 1.0, 3.0, 2.0]
    for deadline in deadlines:
        queues.push_request(make_request(deadline=deadline))
    popped = [queues.pop_next(0.0, lambda t: True).deadline for _ in deadlines]
    assert popped == sorted(deadlines)


def test_waiting_raises_priority_but_not_above_urgent():
    # Guards against starvation of bulk requests, and against an aged bulk
    # request that overtakes an urgent one with an earlier deadline.
    old = make_request("bulk", PRIORITY.BULK, deadline=100.0)
    aging = REQUESTS.aging_s
    ranks = [
        queues_module.age_rank(SETTINGS, old, now)
        for now in (0.0, aging, 2 * aging, 9 * aging)
    ]
    assert ranks == [2, 1, 0, 0]
    queues = queues_module.Queues(SETTINGS)
    queues.push_request(old)
    queues.push_request(make_request("normal", PRIORITY.NORMAL, 99.0, 50.0))
    queues.push_request(make_request("urgent", PRIORITY.URGENT, 98.0, 50.0))
    assert pop_names(queues, 50.0) == ["urgent", "bulk", "normal"]


def test_class_that_is_not_accepted_does_not_block_others():
    # Guards against head-of-line blocking behind a class at its limit.
    queues = queues_module.Queues(SETTINGS)
    queues.push_request(make_request("sync", PRIORITY.URGENT, 1.0))
    queues.push_request(make_request("preview", PRIORITY.BULK, 9.0))

    def accepts(request):
        return request.service_class.name != "sync"

    assert pop_names(queues, 0.0, accepts) == ["preview"]
    assert queues.count_queued("sync") == 1


def test_removed_request_is_never_served():
    # Guards against running a request whose caller has gone.
    queues = queues_module.Queues(SETTINGS)
    gone, kept = make_request(deadline=1.0), make_request(deadline=2.0)
    queues.push_request(gone)
    queues.push_request(kept)
    queues.remove_request(gone)
    queues.remove_request(gone)
    assert queues.total == 1
    assert queues.pop_next(0.0, lambda request: True) is kept


def test_late_requests_leave_time_to_run():
    # Guards against sending a request that cannot finish before its deadline.
    queues = queues_module.Queues(SETTINGS)
    late, fine = make_request(deadline=1.0), make_request(deadline=2.0)
    late.run_time.median_s = fine.run_time.median_s = 0.4
    queues.push_request(late)
    queues.push_request(fine)
    assert queues.pop_late(0.5) == []
    assert queues.pop_late(0.7) == [late]


def test_run_time_above_the_deadline_does_not_shed_for_ever():
    # Guards against shedding every request because of a wrong run time, which
    # no new measurement could correct then.
    request = make_request(deadline=1.0)
    request.run_time.median_s = 60.0
    assert not queues_module.is_late(request, 0.4)


@hypothesis.given(
    strategies.integers(0, 70),
    strategies.sets(strategies.text("abcde", min_size=1), min_size=1),
    strategies.text("xyz"),
)
def test_shares_of_equal_views_add_up_to_the_total(total, members, runner):
    # Guards against more exchanges at a runner than it has slots.
    members = sorted(members)
    shares = [slots.compute_share(total, members, m, runner) for m in members]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


@hypothesis.settings(deadline=None)
@hypothesis.given(strategies.integers(1, 100), strategies.text("xyz"))
def test_each_slot_has_a_connection(count, runner):
    # Guards against a slot whose connection the runner would refuse, and
    # against shares that take long to compute.
    begun_s = time.process_time()
    members = sorted(f"e{number}" for number in range(count))
    for member in members:
        held, connections = (
            slots.compute_share(total, members, member, runner)
            for total in (
                REQUESTS.slots_per_target,
                REQUESTS.connections_per_target,
            )
        )
        assert held <= connections
    assert time.process_time() - begun_s < LONGEST_EXAMPLE_S


def test_remainder_is_spread_over_runners():
    # Guards against one process that gets the remainder at every runner.
    members = ["e1", "e2", "e3"]
    spare = [
        slots.compute_share(8, members, "e1", f"t{n}") == 3 for n in range(60)
    ]
    assert 25 < sum(spare) < 55


def test_new_process_takes_no_slot_before_it_heard_its_peers():
    # Guards against a starting process that takes all slots of a runner because
    # it has not heard its peers yet.
    views = slots.make_views(0.0)
    share = slots.Share()
    settle = REQUESTS.slot_settle_s

    def get_slots(members, now):
        slots.update_views(SETTINGS, views, members, now)
        slots.update_share(SETTINGS, share, views, "t")
        return share.slots

    assert get_slots(["e1"], 0.0) == 0
    assert get_slots(["e1", "e2"], 1.0) == 0
    assert get_slots(["e1", "e2"], 1.0 + settle) == 4
    # The other member dies; it joins again, as when a partition heals; then
    # this process does not see itself as live.
    assert get_slots(["e1"], 10.0) == 4
    assert get_slots(["e1"], 10.0 + settle) == 8
    assert get_slots(["e1", "e2"], 20.0) == 4
    assert get_slots([], 21.0) == 0


def make_health(*failures):
    health = ejection.Health()
    for number in failures:
        ejection.note_failure(health, number, 0.0)
    return health


def test_only_distinct_connections_eject():
    # Guards against ejecting a healthy target for one silent connection.
    assert not ejection.should_eject(SETTINGS, make_health(1, 1, 1, 1))
    assert ejection.should_eject(SETTINGS, make_health(1, 2, 3))


def test_success_forgets_failures():
    # Guards against rare failures that add up over days to an ejection.
    health = make_health(1, 2)
    ejection.note_success(SETTINGS, health, 1.0, 1.0)
    ejection.note_failure(health, 3, 2.0)
    assert not ejection.should_eject(SETTINGS, health)


def test_ejections_grow_and_vary():
    # Guards against processes that return to a dead target simultaneously.
    health = make_health()
    delays = []
    for draw in (0.0, 0.5, 0.999, 0.5, 0.5, 0.5, 0.5, 0.5):
        ejection.eject_target(SETTINGS, health, 0.0, lambda draw=draw: draw)
        delays.append(health.ejected_until)
    assert delays[0] == pytest.approx(0.7)
    assert delays[1:4] == pytest.approx([2.0, 5.2, 8.0], abs=0.01)
    assert delays[-1] == REQUESTS.eject_max_s


def test_returned_target_ramps_up():
    # Guards against full load on a target that has just returned.
    health = make_health()
    ejection.eject_target(SETTINGS, health, 0.0, lambda: 0.5)
    assert ejection.is_ejected(health, 0.9)
    assert not ejection.is_ejected(health, 1.0)
    weights = [
        ejection.get_ramp_weight(SETTINGS, health, t) for t in (1.0, 3.5, 6)
    ]
    assert weights == [0.1, 0.5, 1.0]


def test_slow_target_is_ejected_and_one_long_job_is_not_slowness():
    # Guards against keeping a target that is 20 times slower than the rest, and
    # against ejecting a healthy one for a single very long request.
    health = make_health()
    ejection.note_success(SETTINGS, health, 1000.0, 0.0)
    for _ in range(3):
        ejection.note_success(SETTINGS, health, 1.0, 0.0)
    assert not ejection.is_slow(SETTINGS, health)
    for _ in range(4):
        ejection.note_success(SETTINGS, health, 20.0, 0.0)
    assert ejection.should_eject(SETTINGS, health)


def test_budget_bounds_retries_by_successes():
    # Guards against retries that multiply the load of a failing domain.
    budget = retries.make_budget(SETTINGS)
    burst = sum(retries.take_token(budget) for _ in range(100))
    for _ in range(95):
        retries.add_tokens(SETTINGS, budget)
    later = sum(retries.take_token(budget) for _ in range(100))
    assert (burst, later) == (REQUESTS.retry_burst, 9)


def make_target(number, **health):
    instance = request_fakes.make_runner(f"t{number}", "", ("preview",))
    return routing.Target(instance, ejection.Health(**health), slots.Share())


def pick_often(candidates, avoid=None, times=200):
    draw = random.Random(1).random
    return {
        routing.pick_target(SETTINGS, candidates, avoid, 100.0, draw)
        for _ in range(times)
    }


def test_routing_passes_over_bad_targets_while_others_are_free():
    # Guards against picking a slow, failing, busy, avoided or ramping target.
    good = [make_target(number) for number in range(9)]
    slow = make_target("slow", run_time_ratio=20.0)
    failing = make_target("failing", failed_connections={1}, failed_at=99.5)
    busy = make_target("busy")
    busy.in_flight = 3
    avoided = make_target("avoided", run_time_ratio=0.1)
    ramping = make_target("ramping", returned_at=99.9)
    bad = [slow, failing, busy, avoided, ramping]
    picked = pick_often(good + bad, {"tavoided"}, 2000)
    assert len(picked & set(good)) == 9
    # A bad target is picked only if all four candidates drawn are bad, which is
    # rare.
    assert len(picked & set(bad)) <= 1
    assert avoided not in picked
    assert pick_often([slow]) == {slow}
    assert pick_often([]) == {None}


def test_free_targets_survive_any_order_of_changes():
    # Guards against a stale position after the last target of a list was moved.
    free = routing.FreeTargets()
    targets = [make_target(number) for number in range(6)]
    for order in itertools.islice(itertools.permutations(targets), 50):
        for target in targets:
            free.add_target(target)
        for index, target in enumerate(order):
            free.remove_target(target)
            left = free.list_targets("preview")
            assert set(left) == set(order[index + 1 :])


def test_measured_run_time_replaces_the_declared_one():
    # Guards against a long-running class, declared as short, that takes the
    # reserved slots.
    run_times = runtimes.RunTimes(SETTINGS)
    service_class = request_fakes.make_class(expected_run_ms=10)
    run_time = run_times.get_run_time(service_class)
    assert not run_times.is_long(run_time)
    run_times.set_overdue({"preview": 1})
    assert run_times.is_long(run_time)
    run_times.set_overdue({})
    for _ in range(20):
        run_times.add_sample(run_time, 0.02)
    assert run_time.median_s == 0.02
    for _ in range(300):
        run_times.add_sample(run_time, 30.0)
    assert run_times.is_long(run_time)


def test_silence_limit_needs_measured_run_times():
    # Guards against timeouts of long requests whose class is declared as short.
    run_times = runtimes.RunTimes(SETTINGS)
    run_time = run_times.get_run_time(request_fakes.make_class())
    assert run_times.get_silence_limit(run_time) is None
    for _ in range(REQUESTS.run_samples):
        run_times.add_sample(run_time, 0.5)
    assert run_times.get_silence_limit(run_time) == 2.0
