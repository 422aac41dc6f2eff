"""Limits on how often something is done in total."""

import heapq

import pytest

from plantainvane.jobs import budgets


def count_turns(number, per_s, shortest_s, duration_s):
    """Returns how often each of a number of users has had its turn."""
    budget, turns = budgets.Budget(per_s), [0] * number
    queue = [(0.0, user) for user in range(number)]
    while queue[0][0] < duration_s:
        now, user = heapq.heappop(queue)
        turns[user] += 1
        heapq.heappush(queue, (now + budget.reserve(shortest_s, now), user))
    return turns


@pytest.mark.parametrize("number", [300, 3000])
def test_any_number_of_users_keeps_to_the_rate(number):
    # Guards against a cost that grows with the number of odd entries, and
    # against one user whose turn does not come.
    turns = count_turns(number, 20.0, 0.4, 600.0)
    assert sum(turns) <= number + 20.0 * 600.0 + 1
    assert max(turns) - min(turns) <= 2


def test_few_users_wait_for_the_shortest_time():
    # Guards against a runner that is found late beside few others.
    assert min(count_turns(5, 20.0, 0.5, 60.0)) >= 118


def test_what_was_not_used_is_not_made_up_for():
    # Guards against a burst after a quiet time.
    budget = budgets.Budget(10.0)
    budget.reserve(0.0, 0.0)
    waits = [budget.reserve(0.0, 100.0) for _ in range(3)]
    assert waits == pytest.approx([0.1, 0.2, 0.3])
