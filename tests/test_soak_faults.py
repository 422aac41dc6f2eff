"""Faults of a soak, drawn from its seed."""

import itertools

from standins import soak_audit
from standins import soak_faults

MINUTE_S = 60.0
# In so many seeds each fault is drawn.
SEEDS = range(1, 11)


def test_plan_follows_from_its_seed():
    # Guards against a seed that cannot be replayed.
    plan = soak_faults.plan_faults(7, MINUTE_S)
    assert plan == soak_faults.plan_faults(7, MINUTE_S)
    assert plan != soak_faults.plan_faults(8, MINUTE_S)


def test_plan_has_every_fault_and_ends_in_time():
    # Guards against a fault that the soak never brings about.
    plans = [soak_faults.plan_faults(seed, MINUTE_S) for seed in SEEDS]
    kinds = {(fault.group, fault.kind) for plan in plans for fault in plan}
    for group, faults in (
        ("process", soak_faults.PROCESS_FAULTS),
        ("runner", soak_faults.RUNNER_FAULTS),
        ("store", soak_faults.STORE_FAULTS),
        ("configuration", {"written": None}),
    ):
        assert {(group, kind) for kind in faults} <= kinds
    assert ("process", "then_SIGTERM") in kinds
    longest_series_s = 1.5
    for plan in plans:
        assert plan[-1].at_s < MINUTE_S + longest_series_s


def test_each_target_is_within_the_targets():
    # Guards against a soak that a rounded number ends.
    for seed in range(300):
        for fault in soak_faults.plan_faults(seed, MINUTE_S):
            assert fault.target == -1 or 0 <= fault.target < 1


def test_lives_of_runners_are_drawn_in_all_variants():
    # Guards against a soak in which no run ends in a life that nobody has
    # found, or in which no call of an earlier life comes late.
    faults = [
        fault
        for seed in range(100)
        for fault in soak_faults.plan_faults(seed, MINUTE_S)
    ]
    drawn = [f for f in faults if f.kind == "lives"]
    plans = [soak_faults.plan_lives(fault) for fault in drawn]
    assert plans == [soak_faults.plan_lives(fault) for fault in drawn]
    assert {len(plan.spans_s) for plan in plans} == {1, 2, 3}
    assert {plan.ways for plan in plans} == {(0, 1), (0,), (1,)}
    for times_s in (
        [dark_s for plan in plans for dark_s, _ in plan.spans_s],
        [lived_s for plan in plans for _, lived_s in plan.spans_s],
    ):
        assert 0.05 <= min(times_s) < 0.2 and 2.8 < max(times_s) <= 3.0
    for delays_s in (
        [delay_s for plan in plans for delay_s in plan.late_starts_s],
        [delay_s for plan in plans for delay_s in plan.late_polls_s],
    ):
        assert 2.0 <= min(delays_s) < 2.5 and 11.5 < max(delays_s) <= 12.0
    for values in (
        [plan.breaks for plan in plans],
        [plan.announces for plan in plans],
        [plan.acknowledging for plan in plans],
        [plan.clock_s > 0 for plan in plans],
    ):
        assert set(values) == {False, True}


def test_both_longest_leases_are_drawn():
    # Guards against a soak that keeps rules under one bound of leases only.
    leases = [soak_faults.choose_longest_lease_ms(seed) for seed in SEEDS]
    assert set(leases) == {6000, 10_000}


def test_plans_leave_calm_in_which_waits_are_judged():
    # Guards against faults so dense that no wait of a task that lasts counts.
    calm = 0
    for seed in SEEDS:
        plan = soak_faults.plan_faults(seed, MINUTE_S)
        calm += sum(
            later.at_s - fault.at_s > soak_audit.WAIT_S
            for fault, later in itertools.pairwise(plan)
        )
    assert calm >= len(SEEDS)
