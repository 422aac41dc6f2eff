"""Long-running tasks on runners that leave, or that do not answer any more."""

import dataclasses

import anyio
import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import departures
from plantainvane.jobs import leases
from plantainvane.jobs import model
from plantainvane.jobs import succession
from standins import platform_system
from tests import test_jobs_reservations as reservations_tests
from tests import test_platform_sessions as sessions

PASS_S = reservations_tests.PASS_S
timeline = reservations_tests.timeline
# A runner serves for at least this long after it has announced that it leaves.
DRAIN_S = 2.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def drain(runner):
    runner.entry = msgspec.structs.replace(runner.entry, draining=True)


def silence(fleet, runner, expiry, monkeypatch):
    """Lets a runner answer no more; its leases end at `expiry`."""
    runner.silent = True
    known = leases.find_last_expiry
    monkeypatch.setattr(
        leases,
        "find_last_expiry",
        lambda owner, r: expiry if r is runner else known(owner, r),
    )


@dataclasses.dataclass
class Play:
    """What happened while a fleet was played until a time."""

    stopped: dict
    started: dict


def play(fleet, now, until, short=0, on_pass=lambda now: None):
    """Runs passes beside an endless queue of short tasks."""
    stopped = {}
    while now < until:
        if short:
            fleet.add_short(now, short, 1000)
        fleet.advance(now)
        on_pass(now)
        for runner in fleet.owner.runners.values():
            for run in runner.runs:
                if run.phase is attempts.Phase.STOPPING:
                    stopped.setdefault(run.task.name, now)
        now += PASS_S
    return Play(stopped, fleet.starts)


def test_long_running_tasks_move_before_a_draining_runner_leaves(timeline):
    # Guards against a service that is away for as long as the leases on a
    # runner last that has announced its departure seconds before.
    fleet = reservations_tests.Fleet(timeline, runners=3)
    runs = fleet.add_lasting("r0", count=3, cpu=4000, memory_mb=100)
    drain(fleet.owner.runners["r0"])
    found = play(fleet, 0.0, 1.0)
    assert set(found.stopped) == {run.task.name for run in runs}
    assert max(found.started.values()) <= 4 * PASS_S
    assert not fleet.owner.runners["r0"].runs


def test_long_running_tasks_leave_an_evacuated_domain(timeline):
    # Guards against services that stay in a failure domain which is emptied.
    fleet = reservations_tests.Fleet(timeline, runners=4)
    fleet.add_lasting("r0", count=2, cpu=4000, memory_mb=100, max_unavailable=1)
    for name in ("r0", "r1"):
        fleet.owner.runners[name].evacuated = True
    found = play(fleet, 0.0, 1.0)
    assert len(found.started) == 2
    assert not fleet.owner.runners["r0"].runs
    assert not fleet.owner.runners["r1"].runs


def test_tasks_stay_on_a_draining_runner_without_room_elsewhere(timeline):
    # Guards against a move that ends a task which then runs nowhere.
    fleet = reservations_tests.Fleet(timeline, runners=2)
    (run,) = fleet.add_lasting("r0", cpu=4000, memory_mb=100)
    fleet.add_lasting("r1", cpu=13_000, memory_mb=100)
    drain(fleet.owner.runners["r0"])
    found = play(fleet, 0.0, 3.0)
    assert not found.stopped
    assert run.phase is attempts.Phase.RUNNING


def test_tasks_wait_for_short_ones_before_they_leave_a_draining_runner(
    timeline,
):
    # Guards against a task that is stopped before the room reserved for it is
    # free, and against one that never moves as short tasks take each piece.
    fleet = reservations_tests.Fleet(timeline, runners=4)
    (run,) = fleet.add_lasting("r0", cpu=4600, memory_mb=100)
    now = reservations_tests.fill_with_shorts(fleet)
    drain(fleet.owner.runners["r0"])
    found = play(fleet, now, now + 3.0, short=20)
    name = run.task.name
    assert found.stopped[name] - now <= reservations_tests.MAX_WAIT_S
    assert found.started[name] - found.stopped[name] <= 3 * PASS_S


def test_moves_off_a_draining_runner_respect_the_disruption_budget(timeline):
    # Guards against a step whose tasks are all away at the same time by order
    # of the scheduler.
    fleet = reservations_tests.Fleet(timeline, runners=3)
    fleet.add_lasting("r0", count=3, cpu=2000, memory_mb=100, max_unavailable=1)
    drain(fleet.owner.runners["r0"])
    away = []

    def count_away(now):
        step = next(iter(fleet.owner.table.tasks.values())).step
        away.append(
            sum(
                not any(r.phase is attempts.Phase.RUNNING for r in task.runs)
                for task in step.tasks
            )
        )

    found = play(fleet, 0.0, 2.0, on_pass=count_away)
    assert len(found.started) == 3
    assert max(away) == 1


@pytest.mark.parametrize("returns", [False, True])
def test_room_is_kept_for_tasks_whose_leases_are_about_to_end(
    timeline, monkeypatch, returns
):
    # Guards against a service that has its leases end, and only then begins to
    # wait for room among short tasks; and against room that stays reserved for
    # a task whose runner answers again.
    fleet = reservations_tests.Fleet(timeline, runners=4)
    (run,) = fleet.add_lasting("r0", cpu=4600, memory_mb=100)
    now = reservations_tests.fill_with_shorts(fleet)
    runner, expiry = fleet.owner.runners["r0"], now + 3.0
    silence(fleet, runner, expiry, monkeypatch)
    play(fleet, now, expiry, short=20)
    assert run.task.name in fleet.owner.reservations
    if returns:
        runner.silent = False
        play(fleet, expiry, expiry + PASS_S, short=20)
        assert not fleet.owner.reservations
        assert not any(r.reservations for r in fleet.owner.runners.values())
        return
    fleet.lose(run, expiry)
    play(fleet, expiry, expiry + PASS_S / 2, short=20)
    assert fleet.starts == {run.task.name: expiry}
    assert run.runner == "r0" != run.task.runs[0].runner
    assert not fleet.owner.reservations


def test_reservations_end_with_the_job(timeline):
    # Guards against room that stays reserved for a cancelled job.
    fleet = reservations_tests.Fleet(timeline, runners=4)
    (run,) = fleet.add_lasting("r0", cpu=4600, memory_mb=100)
    now = reservations_tests.fill_with_shorts(fleet)
    fleet.lose(run, now)
    fleet.advance(now)
    assert run.task.name in fleet.owner.reservations
    fleet.owner.table.cancel_job(run.task.job, 0)
    fleet.advance(now + PASS_S)
    assert not fleet.owner.reservations
    assert not any(r.reservations for r in fleet.owner.runners.values())
    assert departures.list_departures(fleet.owner, now) == []


def test_tasks_do_not_move_within_a_service_that_their_queue_has_left(timeline):
    # Guards against a start on a service to which the configuration no longer
    # sends the queue.
    fleet = reservations_tests.Fleet(timeline, runners=3)
    (run,) = fleet.add_lasting("r0", cpu=4000, memory_mb=100)
    moved = fleet.owner.runners["r2"]
    moved.entry = msgspec.structs.replace(moved.entry, service="s2")
    fleet.add_lasting("r2", cpu=15_000, memory_mb=100)
    queue = msgspec.structs.replace(reservations_tests.QUEUE, service="s2")
    configuration = model.Configuration(2, (queue,))
    fleet.owner.get_configuration = lambda: configuration
    drain(fleet.owner.runners["r0"])
    found = play(fleet, 0.0, 2.0)
    assert not found.stopped and run.phase is attempts.Phase.RUNNING


def spread_step(fleet, **fields):
    """Adds a step of which one task runs on `r0` and one on `r1`."""
    first, second = fleet.add_lasting("r0", count=2, memory_mb=100, **fields)
    fleet.owner.runners["r0"].charge(second, -1)
    second.runner = "r1"
    fleet.owner.runners["r1"].charge(second)
    return first, second


def test_tasks_of_a_step_with_a_limit_reserve_different_runners(timeline):
    # Guards against a task that is stopped for a runner on which its step may
    # have no second task.
    fleet = reservations_tests.Fleet(timeline, runners=5)
    spread_step(fleet, cpu=4600, max_per_runner=1)
    now = reservations_tests.fill_with_shorts(fleet)
    for name in ("r0", "r1"):
        drain(fleet.owner.runners[name])
    found = play(fleet, now, now + 12.0, short=20)
    for name, stopped_at in found.stopped.items():
        assert found.started[name] - stopped_at <= reservations_tests.MAX_WAIT_S


def test_task_on_a_silent_runner_counts_against_the_disruption_budget(timeline):
    # Guards against a move while another task of the step is away.
    fleet = reservations_tests.Fleet(timeline, runners=4)
    spread_step(fleet, cpu=2000, max_unavailable=1)
    fleet.owner.runners["r1"].silent = True
    fleet.owner.runners["r1"].lease_until_ms = 60_000
    fleet.owner.runners["r1"].lease_requested_at = 0.0
    drain(fleet.owner.runners["r0"])
    assert not play(fleet, 0.0, 1.0).stopped


def test_tasks_move_once_while_entries_contradict_each_other(timeline):
    # Guards against services that are stopped again and again by entries of
    # another writer.
    fleet = reservations_tests.Fleet(timeline, runners=2)
    fleet.add_lasting("r0", cpu=2000, memory_mb=100)
    draining = {"r0": True, "r1": False}

    def swap(now):
        turn = int(now / 0.5) % 2
        for name, first in draining.items():
            runner = fleet.owner.runners[name]
            runner.entry = msgspec.structs.replace(
                runner.entry, draining=first == (turn == 0)
            )

    swap(0.0)
    stops = []

    def count(now):
        swap(now)
        stops.extend(
            run
            for runner in fleet.owner.runners.values()
            for run in runner.runs
            if run.phase is attempts.Phase.STOPPING
        )

    play(fleet, 0.0, 4.5, on_pass=count)
    assert len(set(map(id, stops))) == 1


@pytest.mark.parametrize("obstacle", ["backoff", "trial"])
def test_task_stays_until_its_next_runner_accepts_it(timeline, obstacle):
    # Guards against a task that is stopped for a runner which starts nothing.
    fleet = reservations_tests.Fleet(timeline, runners=2)
    (run,) = fleet.add_lasting("r0", cpu=4000, memory_mb=100)
    drain(fleet.owner.runners["r0"])
    following = fleet.owner.runners["r1"]
    if obstacle == "backoff":
        following.backoff_until = 1.0
    else:
        following.trial_until, following.kept_for = 1.0, "other"
    found = play(fleet, 0.0, 2.0)
    name = run.task.name
    assert found.stopped[name] >= 1.0
    assert found.started[name] - found.stopped[name] <= 3 * PASS_S


@pytest.mark.anyio
@pytest.mark.parametrize("hands_over", [False, True])
async def test_tasks_run_elsewhere_when_a_runner_that_announced_it_is_gone(
    hands_over,
):
    # Guards against services that are away for 6 s and more after a planned
    # departure, or for longer if the ownership passes on meanwhile.
    async with platform_system.run_system(entries=3, runners=2) as system:
        owner = await system.wait_owner()
        body = platform_system.make_job(
            count=3, run_ms=600_000, LongRunning=True
        )
        await platform_system.call(owner, "POST", sessions.ID, body)
        await sessions.wait_until(lambda: len(system.list_starts()) == 3)
        await anyio.sleep(0.5)
        leaving = max(system.runners.values(), key=lambda r: len(r.running))
        before = len(leaving.running)
        platform_system.write_entry(system, leaving, "draining")
        if hands_over:
            await succession.hand_over(owner)
        await sessions.wait_until(lambda: not leaving.running, limit_s=DRAIN_S)
        await sessions.wait_until(
            lambda: sum(len(r.running) for r in system.runners.values()) == 3
        )
        assert not leaving.running
        assert len(system.list_starts()) == 3 + before
