"""Resources charged for a shard's attempts, by worker and by team.

Charges are cached between placement rounds and computed again for the workers
that changed.
"""

import functools

from plantainvane import estimates
from plantainvane import interference
from plantainvane import placement
from plantainvane import quotas
from plantainvane import resources
from plantainvane import shards
from plantainvane import suspicion
from plantainvane import workers


def sum_commitment(
    shard: shards.Shard, view: shards.WorkerView
) -> resources.Resources:
    """Sums the declared sizes of all attempts that may still run on a worker.

    These are the attempts started in the task stream, and those that the
    worker runs although they are not.
    """
    total = resources.Resources()
    started = shard.stream_view.table.started.get(view.id, {})
    for task in started.values():
        ref = workers.AttemptRef(task.id, task.attempt)
        listed = view.listing.get(ref)
        # The class may have changed since, so the worker's figure counts.
        if listed is not None:
            total += resources.convert_size(listed.size)
        else:
            total += shards.get_demand(shard, task)
    for ref, listed in view.listing.items():
        task = started.get(ref.task)
        current = task is not None and task.attempt == ref.attempt
        if listed.state == workers.AttemptState.RUNNING and not current:
            total += resources.convert_size(listed.size)
    return total


def refresh_charges(shard: shards.Shard, now: float) -> None:
    """Updates the placement state of the workers that changed.

    A charge that is missed here cannot overcommit a worker, because the
    commitment is summed again before each start is sent.
    """
    table = shard.stream_view.table
    changed_workers, table.changed_workers = table.changed_workers, set()
    changed, shard.stale_charges = shard.stale_charges, set()
    placing = _group_unfolded_decisions(shard)
    gone = shard.charges.keys() - shard.workers.keys()
    for worker in changed_workers | changed | gone:
        _replace_charge(shard, worker, placing.get(worker, []))
    shard.placement_state.workers = {}
    for id, charge in shard.charges.items():
        state, view = charge.state, shard.workers[id]
        if state is None or view.instance is None:
            continue
        state.services = tuple(view.latency_ratios)
        state.throttled = view.service_pressure.throttled
        state.open_starts = _count_open_starts(shard, view, state, now)
        shard.placement_state.workers[id] = state


def _group_unfolded_decisions(
    shard: shards.Shard,
) -> dict[str, list[placement.Decision]]:
    """Groups the decisions that are not yet folded by worker.

    Once a start is folded, it is charged as a started task instead.
    """
    grouped: dict[str, list[placement.Decision]] = {}
    for decision in shard.placing.values():
        if decision.task in shard.stream_view.table.pending:
            grouped.setdefault(decision.worker, []).append(decision)
    return grouped


def _replace_charge(
    shard: shards.Shard, worker: str, placing: list[placement.Decision]
) -> None:
    none = resources.Resources()
    old = shard.charges.pop(worker, None)
    if old is not None:
        for team, demand in old.teams.items():
            shard.team_use[team] -= demand
    view = shard.workers.get(worker)
    if view is None:
        return
    charge = _compute_charge(shard, view, placing)
    shard.charges[worker] = charge
    for team, demand in charge.teams.items():
        shard.team_use[team] = shard.team_use.get(team, none) + demand


def _compute_charge(
    shard: shards.Shard,
    view: shards.WorkerView,
    placing: list[placement.Decision],
) -> shards.Charge:
    none = resources.Resources()
    teams: dict[str, resources.Resources] = {}
    running: dict[str, int] = {}
    load = none
    for task in shard.stream_view.table.started.get(view.id, {}).values():
        demand = shards.get_demand(shard, task)
        batch_class = shards.find_batch_class(shard, task)
        if batch_class is not None:
            team = batch_class.team
            teams[team] = teams.get(team, none) + demand
        running[task.batch_class] = running.get(task.batch_class, 0) + 1
        load += _predict_use(shard, task.batch_class, demand)
    state = None
    if view.capacity is not None and view.instance is not None:
        state = placement.WorkerState(
            id=view.id,
            rack=view.instance.rack,
            capacity=view.capacity,
            committed=sum_commitment(shard, view),
            used=load,
            running=running,
        )
    for decision in placing:
        key = decision.key
        teams[key.team] = teams.get(key.team, none) + key.demand
        if state is not None:
            use = _predict_use(shard, key.batch_class, key.demand)
            placement.charge(state, key, use)
    return shards.Charge(state, teams)


def _predict_use(
    shard: shards.Shard, batch_class: str, demand: resources.Resources
) -> resources.Resources:
    estimate = shard.class_estimates.get(batch_class)
    if estimate is None:
        return demand
    return estimates.predict_use(estimate, demand)


def _count_open_starts(
    shard: shards.Shard,
    view: shards.WorkerView,
    state: placement.WorkerState,
    now: float,
) -> int:
    if not view.fenced or not view.reachable:
        return 0
    if not view.in_instance_list or view.instance.leaving:
        return 0
    running = sum(state.running.values())
    return suspicion.count_open_starts(
        shard.settings, shard.failure_history, view.id, running, now
    )


def make_policy(
    shard: shards.Shard, used: dict[str, resources.Resources]
) -> placement.Policy:
    """Creates the placement policy of a shard.

    `used` holds the declared sizes by team; placed tasks are added to it.
    """
    settings = shard.settings
    none = resources.Resources()
    elsewhere: dict[str, resources.Resources | None] = {}

    def sum_elsewhere(team: str) -> resources.Resources | None:
        if team not in elsewhere:
            elsewhere[team] = _sum_elsewhere(shard, team)
        return elsewhere[team]

    def is_within_quota(key: placement.GroupKey) -> bool:
        quota = shard.configuration.find_quota(key.team)
        mine = used.get(key.team, none)
        sum_for_team = functools.partial(sum_elsewhere, key.team)
        return quotas.allows_start(
            settings, quota, mine, key.demand, sum_for_team
        )

    def charge_quota(key: placement.GroupKey) -> None:
        used[key.team] = used.get(key.team, none) + key.demand

    def predict_ratio(worker: placement.WorkerState, batch_class: str) -> float:
        worst = 0.0
        for service in worker.services:
            ratio = interference.predict_ratio(
                settings, shard.interference_model, service, worker.running
            )
            ratio += interference.predict_effect(
                settings, shard.interference_model, service, batch_class
            )
            worst = max(worst, ratio)
        return worst

    def predict_use(key: placement.GroupKey) -> resources.Resources:
        return _predict_use(shard, key.batch_class, key.demand)

    return placement.Policy(
        is_within_quota, charge_quota, predict_ratio, predict_use
    )


def _sum_elsewhere(
    shard: shards.Shard, team: str
) -> resources.Resources | None:
    """Sums the declared sizes that a team runs in all other shards.

    Returns:
      The sum, or None while the streams of these shards are not up to date.
    """
    started = shard.list_started_elsewhere()
    if started is None:
        return None
    total = resources.Resources()
    for task in started:
        batch_class = shards.find_batch_class(shard, task)
        if batch_class is not None and batch_class.team == team:
            total += shards.get_demand(shard, task)
    return total
