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
