"""Blame for the crash of a runner, without a network."""

import asyncio

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import crashes
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import table as table_module
from plantainvane.jobs import trials
from tests import test_jobs_decisions as decisions
from tests import test_jobs_journal as journals
from tests import test_jobs_scheduling as passes

NOW = 50.0
WALL_MS = 1_000_000
# A long-running task is to run again after this time if there is room (LOST).
IDLE_LIMIT_S = 3.0


@pytest.fixture(autouse=True)
def fixed_clock(monkeypatch):
    monkeypatch.setattr(sessions.clock, "read_now", lambda: NOW)
    monkeypatch.setattr(sessions.clock, "read_wall_ms", lambda: WALL_MS)


def make_runners(count, **fields):
    return [make_runner(f"r{number}", **fields) for number in range(count)]


def make_runner(runner_id, address="", machine="", born_ms=1, **fields):
    runner = decisions.make_runner(runner_id, **fields)
    runner.entry = msgspec.structs.replace(
        runner.entry,
        address=address or f"{runner_id}:9",
        machine=machine,
        born_ms=born_ms,
    )
    return runner


def start(owner, runner, task, age_s, answered=True):
    """Starts a task on a runner, `age_s` before NOW."""
    run = owner.table.begin_run(task, runner.entry.id, NOW - age_s)
    run.born_ms = runner.entry.born_ms
    run.place = runners_module.find_place(runner.entry)
    run.ordered_ms = int(WALL_MS - age_s * 1000)
    run.sent_at = NOW - age_s
    run.start_answered = answered
    run.phase, run.running_since = attempts.Phase.RUNNING, NOW - age_s
    runner.charge(run)
    return run


def add_task(owner, job_id, **fields):
    state = decisions.add_job(
        owner.table, decisions.make_step(**fields), job_id=job_id
    )
    return state.steps[0, 0].tasks[0]


def crash(owner, runner, now=NOW):
    """Lets a runner restart under its id and ends what ran there."""
    runner.up_at = now
    sessions.handle_restart(
        owner, runner, runner.entry.born_ms + 1, 1, now + 3.0
    )
    runner.entry = msgspec.structs.replace(
        runner.entry, born_ms=runner.entry.born_ms + 1
    )
    sessions._drop_runs(
        owner, runner, list(runner.runs), "not running there", now
    )


def make_crash(number, **fields):
    fields = {"alone": False, "confirmed": True} | fields
    return model.Crash(f"i-{number}", number, f"m-{number}", **fields)


def test_only_attempts_started_shortly_before_a_crash_are_suspects():
    # Guards against a count for every attempt on the runner, which gives up
    # long-running tasks that only had bad luck.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    old = add_task(owner, "old", long_running=True)
    new, unanswered = add_task(owner, "new"), add_task(owner, "unanswered")
    start(owner, runner, old, age_s=1.5)
    start(owner, runner, new, age_s=0.6)
    start(owner, runner, unanswered, age_s=2.0, answered=False)
    crash(owner, runner)
    assert [len(task.crashes) for task in (old, new, unanswered)] == [0, 1, 1]
    assert not new.crashes[0].alone
    assert owner.table.suspects == {
        "new.0.0.0": new,
        "unanswered.0.0.0": unanswered,
    }


def test_bystander_of_many_crashes_is_never_given_up():
    # Guards against a service that is given up because its runners crash.
    owner = passes.make_owner(*make_runners(9))
    task = add_task(owner, "service", long_running=True)
    for number, runner in enumerate(owner.runners.values()):
        run = start(owner, runner, task, age_s=3.0)
        start(owner, runner, add_task(owner, f"d{number}"), age_s=0.01)
        crash(owner, runner)
        assert run not in task.runs
    assert task.job.ended == "" and not task.crashes


@pytest.mark.parametrize(
    ("long_running", "found", "given_up"),
    [
        (False, [{"alone": True}], False),
        (False, [{}, {"alone": True}], True),
        (False, [{}, {}], False),
        (False, [{}, {"alone": True, "confirmed": False}], False),
        (False, [{}, {"alone": True, "shared": True}], False),
        (False, [{}, {}, {}], False),
        (False, [{}, {}, {}, {}], True),
        (False, 9 * [{"shared": True}], False),
        (False, [{}, {}] + 3 * [{"shared": True}], False),
        (False, [{}, {}] + 3 * [{"confirmed": False}], True),
        (False, [{}] + 4 * [{"confirmed": False}], False),
        (True, [{}, {}] + 9 * [{"shared": True}], False),
        (True, [{}, {"alone": True}], False),
        (True, [{}, {"alone": True}, {}], True),
        (True, [{}, {}, {}], False),
        (False, [{"alone": True}, {"unseen": True}], False),
        (False, [{"alone": True, "unseen": True}, {}], False),
        (False, [{"alone": True}, {"unseen": True}, {}], True),
        (False, [{"alone": True}] + 2 * [{"unseen": True}], True),
        (False, 3 * [{"unseen": True}], False),
        (False, 4 * [{"unseen": True}], True),
        (True, [{"alone": True}, {}, {"unseen": True}], False),
        (True, 4 * [{"unseen": True}], True),
    ],
)
def test_task_is_given_up_after_enough_crashes(long_running, found, given_up):
    # Guards against a task that is given up before two runners have crashed
    # under it, or for crashes that others may have caused, and against one
    # that is started more than five times.
    owner = passes.make_owner()
    task = add_task(owner, "t", long_running=long_running)
    task.crashes = tuple(make_crash(n, **f) for n, f in enumerate(found))
    assert crashes.is_to_be_given_up(task) is given_up


@pytest.mark.parametrize(
    ("count", "fields", "given_up"),
    [
        (4, {}, False),
        (5, {}, True),
        (9, {"confirmed": False}, False),
        (9, {"shared": True}, False),
    ],
)
def test_few_crashes_of_one_machine_do_not_end_a_long_running_task(
    count, fields, given_up
):
    # Guards against a service that is given up because one machine flaps, and
    # against one that fits on a single machine and crashes it without end.
    owner = passes.make_owner()
    task = add_task(owner, "t", long_running=True)
    fields = {"alone": True, "confirmed": True} | fields
    task.crashes = tuple(
        model.Crash(f"i-{n}", n, "m-1", **fields) for n in range(count)
    )
    assert crashes.is_to_be_given_up(task) is given_up


def test_runners_that_go_down_together_prove_nothing():
    # Guards against tasks that are given up because of a rack or a power loss.
    runners = make_runners(3)
    owner = passes.make_owner(*runners)
    tasks = [add_task(owner, f"t{n}") for n in range(3)]
    for runner, task in zip(runners, tasks, strict=True):
        start(owner, runner, task, age_s=0.2)
        runner.silent = True
        runner.up_at = NOW
        crashes.mark_down(runner, NOW + 0.01)
    for runner in runners:
        crash(owner, runner)
    assert all(task.crashes[0].shared for task in tasks)


def test_runner_that_was_down_before_a_takeover_is_no_common_cause():
    # Guards against crashes that do not count because the new owner finds other
    # runners down at the same moment.
    down, runner = make_runner("r0"), make_runner("r1")
    owner = passes.make_owner(down, runner)
    down.born_at = down.answered_at = down.up_at = NOW - 0.1
    crashes.mark_down(down, NOW)
    task = add_task(owner, "t")
    start(owner, runner, task, age_s=0.01)
    crash(owner, runner)
    assert not task.crashes[0].shared and task.crashes[0].alone


def test_two_runners_that_crash_under_suspects_at_once_both_count():
    # Guards against two tasks that hide each other by chance.
    runners = make_runners(2)
    owner = passes.make_owner(*runners)
    tasks = [add_task(owner, f"t{n}") for n in range(2)]
    for runner, task in zip(runners, tasks, strict=True):
        start(owner, runner, task, age_s=0.01)
        runner.silent = True
        runner.up_at = NOW
        crashes.mark_down(runner, NOW)
    for runner in runners:
        crash(owner, runner)
    assert [task.crashes[0].alone for task in tasks] == [True, True]


@pytest.mark.parametrize(
    ("unheard_s", "shared"), [(0.2, True), (2.2, True), (20.0, False)]
)
def test_runner_that_was_not_polled_is_no_common_cause(unheard_s, shared):
    # Guards against crashes that do not count because an idle runner, which is
    # not polled, is found down or restarted and may have crashed at any time.
    runner, idle = make_runners(2)
    owner = passes.make_owner(runner, idle)
    idle.born_at, idle.answered_at = NOW - 60.0, NOW + 0.1 - unheard_s
    idle.up_at = idle.answered_at
    task = add_task(owner, "t")
    start(owner, runner, task, age_s=0.01)
    runner.silent, runner.up_at = True, NOW
    crashes.mark_down(runner, NOW)
    crashes.mark_down(idle, NOW + 0.1)
    crash(owner, runner)
    assert task.crashes[0].shared is shared


def test_start_on_an_idle_runner_that_was_down_is_shared_with_others():
    # Guards against a task that is blamed for idle runners that went down
    # together before it was sent there.
    runner, idle = make_runners(2)
    owner = passes.make_owner(runner, idle)
    for down in (runner, idle):
        down.born_at, down.answered_at = NOW - 60.0, NOW - 20.0
        down.up_at, down.silent = NOW - 20.0, True
    task = add_task(owner, "t")
    run = start(owner, runner, task, age_s=0.01, answered=False)
    crashes.mark_down(runner, NOW)
    crashes.mark_down(idle, NOW + 0.1)
    sessions.handle_restart(owner, runner, 2, 1, NOW + 3.0)
    assert run.crash.shared


@pytest.mark.parametrize("bystander", [False, True])
def test_trials_that_crash_at_once_do_not_hide_each_other(bystander):
    # Guards against tasks of one job that start again in the same pass, crash
    # their runners at the same moment each time, and are never given up. A
    # runner that goes down without a suspect still shows another cause.
    runners = make_runners(4)
    owner = passes.make_owner(*runners)
    tasks = [add_task(owner, f"t{n}") for n in range(3)]
    for number, task in enumerate(tasks):
        owner.table.record_crash(task, make_crash(number, shared=True))
        start(owner, runners[number], task, age_s=0.01)
    for runner in runners[: 4 if bystander else 3]:
        runner.silent = True
        runner.up_at = NOW
        crashes.mark_down(runner, NOW)
    for runner in runners[:3]:
        crash(owner, runner)
    assert [task.crashes[-1].shared for task in tasks] == 3 * [bystander]
    assert [task.crashes[-1].alone for task in tasks] == 3 * [not bystander]


@pytest.mark.parametrize("same", ["address", "machine"])
def test_later_life_under_another_id_shows_a_crash(same):
    # Guards against a crash that is taken for silence because the runner came
    # back under another id.
    fields = {"address": "a:1"} if same == "address" else {"machine": "m"}
    earlier = make_runner("r0", **fields, silent=True, up_at=NOW)
    later = make_runner("r1", **fields, born_ms=9)
    owner = passes.make_owner(earlier, later)
    task = add_task(owner, "t")
    task.crashes = (
        model.Crash(
            "r0", 1, runners_module.find_place(earlier.entry), alone=True
        ),
    )
    owner.table.suspects[task.name] = task
    crashes.settle_doubts(owner, later, WALL_MS)
    assert task.crashes[0].confirmed


@pytest.mark.parametrize(
    "fields",
    [{"draining": True}, {"born_ms": 20}, {"address": "b:1"}],
    ids=str,
)
def test_runner_that_left_or_is_elsewhere_has_not_crashed(fields):
    # Guards against a planned departure, an old entry and an unrelated runner
    # that are taken for a crash.
    earlier = make_runner(
        "r0", silent=True, up_at=NOW, **({"address": "a:1"} | fields)
    )
    later = make_runner("r1", address="a:1", born_ms=9)
    owner = passes.make_owner(earlier, later)
    later.answered_at = NOW + 3.0
    task = add_task(owner, "t")
    run = start(owner, earlier, task, age_s=0.1)
    sessions._end_replaced(owner, earlier, NOW + 3.0)
    assert not task.crashes
    assert (run in task.runs) is (not earlier.entry.draining)


@pytest.mark.parametrize(
    ("answered_s", "crashed"), [(3.0, True), (-1.0, False)]
)
def test_only_a_life_that_answered_later_shows_a_crash(answered_s, crashed):
    # Guards against a runner that is out of reach and taken for crashed,
    # because the one that had its address before is still remembered.
    earlier = make_runner("r0", address="a:1", silent=True, up_at=NOW)
    later = make_runner("r1", address="a:1", born_ms=9)
    owner = passes.make_owner(earlier, later)
    later.answered_at = NOW + answered_s
    task = add_task(owner, "t")
    run = start(owner, earlier, task, age_s=0.1)
    sessions._end_replaced(owner, earlier, NOW + 3.0)
    assert (run not in task.runs) is bool(task.crashes) is crashed


@pytest.mark.parametrize("machine", ["m", "other"])
def test_later_life_at_another_address_shows_a_crash(machine):
    # Guards against a crash that is never counted, because the machine was back
    # at another address before the leases of its earlier life had expired, and
    # against tasks that are started again before that.
    earlier = make_runner("r0", machine="m", silent=True, up_at=NOW)
    later = make_runner("r1", machine=machine, born_ms=9)
    owner = passes.make_owner(earlier, later)
    later.answered_at = NOW + 3.0
    task = add_task(owner, "t")
    run = start(owner, earlier, task, age_s=0.1)
    crashes.settle_doubts(owner, later, WALL_MS)
    sessions._end_replaced(owner, earlier, NOW + 3.0)
    assert run in task.runs
    sessions._end_expired(owner, earlier, list(earlier.runs), NOW + 6.0)
    assert [crash.confirmed for crash in task.crashes] == [machine == "m"]


def test_runner_that_answers_again_has_not_crashed():
    # Guards against a count for a runner that was only out of reach.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    owner.table.record_crash(task, model.Crash("r", 1, "r:9", alone=True))
    crashes.settle_doubts(owner, runner, WALL_MS)
    assert not task.crashes and not owner.table.suspects


def test_suspects_are_tried_apart_from_each_other():
    # Guards against a second crash that leaves the suspects of the first one
    # together, and against innocent tasks that start beside a suspect.
    owner = passes.make_owner(*make_runners(8))
    suspects = [add_task(owner, f"s{n}") for n in range(2)]
    for task in suspects:
        owner.table.record_crash(task, make_crash(1))
    for number in range(6):
        add_task(owner, f"t{number}", count=4)
    for task in owner.table.ready.values():
        task.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    placed = dict(passes.list_placed(owner))
    assert len(placed) == 26
    for task in suspects:
        runner = placed.pop(task.name)
        assert runner not in placed.values()


def test_suspect_avoids_runners_with_long_running_tasks():
    # Guards against a trial that takes services down although another runner
    # is free.
    runners = make_runners(4)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate(runners[1:]):
        service = add_task(owner, f"l{number}", long_running=True)
        start(owner, runner, service, age_s=20.0)
    task = add_task(owner, "s")
    owner.table.record_crash(task, make_crash(1))
    task.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert dict(passes.list_placed(owner)) == {task.name: "r0"}


def test_suspect_gets_a_runner_where_all_have_new_attempts():
    # Guards against suspects that never start apart from others on busy
    # runners.
    runners = make_runners(4)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate(runners):
        start(owner, runner, add_task(owner, f"b{number}"), age_s=0.1)
    suspect = add_task(owner, "s")
    owner.table.record_crash(suspect, make_crash(1))
    suspect.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert not passes.list_placed(owner)
    (kept,) = [r.entry.id for r in runners if r.trial_until > NOW]
    other = add_task(owner, "other", count=12)
    other.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW + 1.1)
    placed = passes.list_placed(owner)
    assert [task for task, runner in placed if runner == kept] == [suspect.name]
    assert len(placed) == 13


@pytest.mark.parametrize("long_running", [True, False])
def test_many_suspects_do_not_stall_placement(long_running):
    # Guards against tasks that wait for trials after a power loss, in which
    # most tasks had just been started.
    runners = make_runners(4)
    owner = passes.make_owner(*runners)
    tasks = [
        add_task(owner, f"s{n}", long_running=long_running) for n in range(30)
    ]
    for task in tasks:
        owner.table.record_crash(task, make_crash(1))
        task.ready_since = NOW
    other = add_task(owner, "other")
    other.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert other.name in dict(passes.list_placed(owner))
    wait_s = IDLE_LIMIT_S if long_running else 6.0
    for step in range(int(wait_s * 10)):
        scheduling.place_ready_tasks(owner, NOW + step / 10)
    assert not owner.table.ready


def test_trials_leave_runners_open_while_most_are_down():
    # Guards against trials that close all runners that are up, as after a power
    # loss: those that are down were counted in the share that may be closed.
    runners = make_runners(16)
    for runner in runners[4:]:
        runner.silent = True
    owner = passes.make_owner(*runners)
    for number in range(30):
        task = add_task(owner, f"s{number}")
        owner.table.record_crash(task, make_crash(1))
        task.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert sum(runner.trial_until > NOW for runner in runners) == 1
    other = add_task(owner, "other", long_running=True)
    other.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert other.name in dict(passes.list_placed(owner))


def test_time_without_room_does_not_end_the_wait_for_a_trial():
    # Guards against a suspect that starts beside new attempts, because all
    # runners were full for longer than it may wait for a trial.
    runners = make_runners(2, cpu=1000)
    owner = passes.make_owner(*runners)
    runs = [
        start(owner, runner, add_task(owner, f"b{number}"), age_s=9.0)
        for number, runner in enumerate(runners)
    ]
    suspect = add_task(owner, "s", cpu=500)
    owner.table.record_crash(suspect, make_crash(1))
    suspect.ready_since = NOW - 60.0
    scheduling.place_ready_tasks(owner, NOW)
    assert not passes.list_placed(owner) and not suspect.trial_since
    runners[0].charge(runs[0], -1)
    start(owner, runners[0], add_task(owner, "n", cpu=500), age_s=0.1)
    scheduling.place_ready_tasks(owner, NOW)
    assert not passes.list_placed(owner) and runners[0].trial_until > NOW
    scheduling.place_ready_tasks(owner, NOW + 1.1)
    assert passes.list_placed(owner) == [(suspect.name, "r0")]


def test_task_that_survives_its_trial_is_no_suspect():
    # Guards against crashes that add up over the life of a service.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    task = add_task(owner, "t", long_running=True)
    owner.table.record_crash(task, make_crash(1))
    run = start(owner, runner, task, age_s=1.2)
    crashes.record_survival(owner, run, NOW - 0.5, WALL_MS)
    assert task.crashes
    crashes.record_survival(owner, run, NOW, WALL_MS)
    assert not task.crashes and not owner.table.suspects
    crash(owner, runner)
    assert not task.crashes


@pytest.mark.parametrize(("age_s", "suspected"), [(3.0, False), (0.5, True)])
def test_inherited_attempt_that_is_listed_is_a_bystander(age_s, suspected):
    # Guards against a trial that proves nothing, because the attempts that a
    # new owner found there count as just started.
    runner = make_runner("r", born_ms=WALL_MS)
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    run = owner.table.begin_run(task, "r", 0.0)
    run.ordered_at, run.born_ms, run.place = 0.0, WALL_MS, "r:9"
    run.ordered_ms = int(WALL_MS - age_s * 1000)
    runner.charge(run)
    run.running_since = NOW - 0.1
    crashes.record_survival(owner, run, NOW, WALL_MS)
    crash(owner, runner)
    assert bool(task.crashes) is suspected


def test_giving_up_ends_the_job_and_stops_its_other_attempts():
    # Guards against tasks of a failed job that are started or run on.
    runners = make_runners(2)
    owner = passes.make_owner(*runners)
    state = decisions.add_job(owner.table, decisions.make_step(count=3))
    deadly, running, waiting = state.steps[0, 0].tasks
    other = start(owner, runners[1], running, age_s=5.0)
    owner.table.record_crash(deadly, make_crash(1))
    start(owner, runners[0], deadly, age_s=0.01)
    crash(owner, runners[0])
    assert state.ended == "failed"
    assert not owner.table.ready and not owner.table.suspects
    assert other not in owner.table.runs_to_stop
    owner.table.confirm_end(state)
    assert other in owner.table.runs_to_stop
    assert waiting.name not in owner.table.tasks
    assert state.job.id in owner.table.changed


def test_end_of_a_job_that_is_given_up_is_stored_at_once():
    # Guards against tasks of a failed job that run on, as they are stopped once
    # its end is stored, until anything else is written to the log.
    runners = make_runners(2)
    owner = passes.make_owner(*runners)
    state = decisions.add_job(owner.table, decisions.make_step(count=2))
    deadly, running = state.steps[0, 0].tasks
    other = start(owner, runners[1], running, age_s=5.0)
    owner.table.record_crash(deadly, make_crash(1))
    owner.journal.store = journals.FakeStore()
    owner.journal.collect = lambda: owner_module._collect_progress(owner)
    owner.journal.on_stored = lambda: owner_module._handle_stored(owner)

    async def crash_beside_a_calm_log():
        async with anyio.create_task_group() as group:
            group.start_soon(owner.journal.run)
            group.start_soon(owner_module._store_ends, owner)
            await anyio.wait_all_tasks_blocked()
            start(owner, runners[0], deadly, age_s=0.01)
            crash(owner, runners[0])
            with anyio.move_on_after(1.0):
                await owner.table.has_runs_to_stop.wait()
            group.cancel_scope.cancel()

    anyio.run(crash_beside_a_calm_log)
    assert state.stored_ended == "failed"
    assert owner.table.runs_to_stop == [other]


def test_task_that_was_given_up_is_no_suspect_any_more():
    # Guards against ended jobs that are kept and examined for good, because
    # several crashes of one task were confirmed at once.
    later = make_runner("r1", address="a:1", born_ms=9)
    owner = passes.make_owner(later)
    task = add_task(owner, "t")
    owner.table.record_crash(task, make_crash(1, alone=True))
    for number in range(2):
        doubt = model.Crash(f"x{number}", number, "a:1")
        owner.table.record_crash(task, doubt)
    crashes.settle_doubts(owner, later, WALL_MS)
    assert task.job.ended == "failed"
    assert not owner.table.suspects


def test_crashes_survive_the_owner():
    # Guards against a count that begins anew with each owner.
    runner = make_runner("r", machine="m", born_ms=7)
    owner = passes.make_owner(runner)
    task = add_task(owner, "j")
    owner.table.record_crash(task, make_crash(1))
    start(owner, runner, task, age_s=0.1)
    stored = msgspec.json.encode(progress_module.build_progress(task.job, 0))
    progress = msgspec.json.decode(stored, type=model.JobProgress)
    table = table_module.JobTable()
    state = decisions.add_job(table, decisions.make_step(), progress=progress)
    (loaded,) = state.steps[0, 0].tasks
    assert loaded.crashes == task.crashes
    assert table.suspects == {loaded.name: loaded}
    (run,) = loaded.runs
    assert (run.born_ms, run.place, run.ordered_ms) == (7, "m", 999_900)


def test_progress_of_an_earlier_version_is_loaded():
    # Guards against an update that loses the progress of every job.
    stored = b'["",0,[[0,0,0,0,3,1,"saved",[[3,"r"]]]]]'
    progress = msgspec.json.decode(stored, type=model.JobProgress)
    table = table_module.JobTable()
    state = decisions.add_job(table, decisions.make_step(), progress=progress)
    (task,) = state.steps[0, 0].tasks
    assert (task.attempt, task.failures, task.crashes) == (3, 1, ())
    assert [(run.attempt, run.runner) for run in task.runs] == [(3, "r")]


@pytest.mark.parametrize(
    ("born_ms", "suspected"),
    [
        (1_003_000, True),
        (998_000, True),
        (1_040_000, False),
        (960_000, False),
    ],
)
def test_successor_blames_attempts_by_the_next_life_of_the_runner(
    born_ms, suspected
):
    # Guards against a crash that is not counted because the runner was back
    # before the next owner looked, and against one that is counted for an
    # attempt that had run for long, also if the clock of the earlier owner was
    # ahead of that of the runner.
    runner = make_runner("r", born_ms=born_ms, fenced=False)
    owner = passes.make_owner(runner)
    owner.interference_model = decisions.interference.InterferenceModel()
    task = add_task(owner, "t", long_running=True)
    run = owner.table.begin_run(task, "r", 0.0)
    run.ordered_at, run.born_ms, run.place = 0.0, 1, "r:9"
    run.ordered_ms = 1_000_000
    runner.charge(run)
    status = model.RunnerStatus(born_ms, 1, (), ())
    sessions._apply_reply(owner, runner, status, NOW, NOW + 0.1)
    assert not task.runs
    assert bool(task.crashes) is suspected


def test_start_without_an_answer_counts_if_another_life_refuses_the_retry():
    # Guards against a start in doubt that is forgotten because the runner was
    # back before the order was repeated.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    run = start(owner, runner, task, age_s=0.5, answered=False)
    run.phase = attempts.Phase.STARTING
    outcome = interfaces.OrderOutcome.OTHER_INCARNATION
    orders._apply_start_outcome(owner, runner, run, outcome, NOW, lost=True)
    assert [crash.confirmed for crash in task.crashes] == [True]


def test_start_is_not_repeated_after_its_job_has_ended():
    # Guards against a start that is sent again, as it had no answer, after its
    # job was given up or cancelled.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    run = owner.table.begin_run(task, "r", NOW)
    runner.charge(run)
    sent = []

    class Calls:
        async def start(self, order):
            sent.append(order.attempt)
            owner.table.give_up(task, 1)
            return interfaces.StartReply(interfaces.OrderOutcome.LOST)

    runner.calls = Calls()
    asyncio.run(orders._start_run(owner, run))
    assert sent == [1]
    assert passes.list_stopped(owner) == [run]


@pytest.mark.parametrize("took_s", [0.01, 0.4])
def test_broken_poll_tells_until_when_a_runner_was_up(monkeypatch, took_s):
    # Guards against suspects that had been started long before a crash which
    # broke the connection, and against bystanders that are cleared by a poll
    # which was never answered.
    runner = make_runner("r", up_at=NOW - 2.0)
    owner = passes.make_owner(runner)
    times = [NOW - took_s, NOW]

    class Calls:
        async def poll(self, *unused):
            return result.Err(interfaces.OrderOutcome.LOST)

    runner.calls = Calls()
    monkeypatch.setattr(sessions.clock, "read_now", lambda: times.pop(0))
    monkeypatch.setattr(sessions, "_SILENT_RETRY_S", 0.0)
    asyncio.run(sessions._poll(owner, runner, 0.0, None))
    assert runner.up_at == (NOW if took_s < 0.4 else NOW - 2.0)


def test_suspect_that_waited_too_long_starts_beside_the_fewest_new_attempts():
    # Guards against a task that is started beside ten others once it has waited
    # too long for a runner of its own, so that its crash proves nothing.
    runners = make_runners(3)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate((*runners, *runners[1:])):
        start(owner, runner, add_task(owner, f"b{number}"), age_s=0.1)
    for number in range(4):
        start(owner, runners[0], add_task(owner, f"o{number}"), age_s=9.0)
    suspect = add_task(owner, "s")
    owner.table.record_crash(suspect, make_crash(1))
    suspect.ready_since = suspect.trial_since = NOW - 60.0
    scheduling.place_ready_tasks(owner, NOW)
    assert dict(passes.list_placed(owner)) == {suspect.name: "r0"}


@pytest.mark.parametrize(
    ("fields", "ended", "blamed"),
    [
        ({}, True, True),
        ({"address": "b:1"}, False, True),
        ({"machine": "other"}, False, False),
        ({"born_ms": 999_000}, False, False),
    ],
    ids=str,
)
def test_successor_ends_attempts_of_replaced_runners_only(
    fields, ended, blamed
):
    # Guards against a second copy of a task whose unlisted runner may still be
    # up: another machine, another address or an earlier life proves nothing.
    fields = {"address": "a:1", "machine": "m", "born_ms": 1_003_000} | fields
    runner = make_runner("r1", fenced=False, **fields)
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    run = owner.table.begin_run(task, "r0", 0.0)
    run.ordered_at, run.born_ms, run.place = 0.0, 999_500, "m"
    run.address, run.ordered_ms = "a:1", 1_000_000
    owner.orphans["r0"] = [run]
    sessions._end_orphans(owner, runner, NOW)
    assert (run not in task.runs) is ended
    assert ("r0" not in owner.orphans) is ended
    assert bool(task.crashes or run.crash) is blamed


def test_suspect_without_a_ticket_keeps_no_other_task_waiting():
    # Guards against a service that waits while the adviser does not answer: a
    # suspect that waits for tickets counted as a task that fits nowhere.
    owner = passes.make_owner(
        *make_runners(2),
        queue=msgspec.structs.replace(decisions.QUEUE, name="none"),
    )
    suspect = add_task(owner, "s", cpu=500, long_running=True)
    suspect.job.queue = msgspec.structs.replace(
        decisions.QUEUE, advice=model.AdviserTimings(0.01, 0.001, 60.0)
    )
    owner.table.record_crash(suspect, make_crash(1))
    other = add_task(owner, "z", cpu=500, long_running=True)
    suspect.ready_since, other.ready_since = NOW - 9.0, NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert [name for name, _ in passes.list_placed(owner)] == [other.name]


def test_a_suspect_with_tickets_is_not_blocked_by_one_without():
    # Guards against a suspect whose wait for a trial never begins, as it is
    # skipped while another one waits for tickets.
    runners = make_runners(2)
    unused = msgspec.structs.replace(decisions.QUEUE, name="none")
    owner = passes.make_owner(*runners, queue=unused)
    queue = msgspec.structs.replace(
        decisions.QUEUE, advice=model.AdviserTimings(0.01, 0.001, 60.0)
    )
    for number, runner in enumerate(runners):
        start(owner, runner, add_task(owner, f"b{number}"), age_s=0.1)
    tasks = [add_task(owner, name, long_running=True) for name in ("s", "t")]
    for task, ready_since in zip(tasks, (NOW - 9.0, NOW), strict=True):
        task.job.queue, task.ready_since = queue, ready_since
        owner.table.record_crash(task, make_crash(1))
    for runner in runners:
        owner.tickets["t.0.0", runner.entry.id] = ("ticket", NOW + 60.0)
    scheduling.place_ready_tasks(owner, NOW)
    assert not tasks[0].trial_since
    assert tasks[1].trial_since == NOW
    assert [r.kept_for for r in runners if r.kept_for] == [tasks[1].name]


def keep_runner_for(suspect, runner):
    suspect.trial_since = NOW - 1.2
    trials.keep_runner(runner, suspect, NOW - 1.0)


def test_suspect_starts_on_its_kept_runner_after_an_easier_task_found_none():
    # Guards against a runner that is kept for a trial and stays unused, because
    # the pass skips the suspect once an easier task has found no runner.
    runners = make_runners(2, cpu=1000)
    owner = passes.make_owner(*runners)
    start(owner, runners[1], add_task(owner, "b"), age_s=9.0)
    easier = add_task(owner, "e", cpu=500, long_running=True)
    suspect = add_task(owner, "s", cpu=500, long_running=True)
    owner.table.record_crash(suspect, make_crash(1))
    easier.ready_since, suspect.ready_since = NOW - 9.0, NOW - 2.0
    keep_runner_for(suspect, runners[0])
    scheduling.place_ready_tasks(owner, NOW)
    assert passes.list_placed(owner) == [(suspect.name, "r0")]


def test_suspect_starts_on_its_kept_runner_before_others_of_its_step():
    # Guards against a runner that is kept for a trial and stays unused, because
    # the pass skips a step once a task of it has found no runner.
    runners = make_runners(2, cpu=1000)
    owner = passes.make_owner(*runners)
    start(owner, runners[1], add_task(owner, "b"), age_s=9.0)
    first = add_task(owner, "s", count=2, cpu=500)
    suspect = first.step.tasks[1]
    owner.table.record_crash(suspect, make_crash(1))
    first.ready_since = suspect.ready_since = NOW - 2.0
    keep_runner_for(suspect, runners[0])
    scheduling.place_ready_tasks(owner, NOW)
    assert passes.list_placed(owner) == [(suspect.name, "r0")]


@pytest.mark.parametrize(
    ("others", "advice", "started"),
    [
        ([], None, True),
        ([{"listed": False}], None, True),
        ([{}], None, False),
        ([{"silent": True}], None, False),
        ([], model.AdviserTimings(0.01, 0.001, 60.0), False),
    ],
    ids=["alone", "unlisted", "full", "silent", "advised"],
)
def test_suspect_waits_for_another_machine_only_if_there_is_one(
    others, advice, started
):
    # Guards against a service that is held up for 2 s by the wait for a trial
    # on another machine, although the only machine is the one that crashed.
    site = make_runner("r0", machine="m-1")
    runners = [
        make_runner(f"o{number}", cpu=0, **fields)
        for number, fields in enumerate(others)
    ]
    queue = msgspec.structs.replace(decisions.QUEUE, name="none")
    owner = passes.make_owner(site, *runners, queue=queue)
    suspect = add_task(owner, "s", long_running=True)
    suspect.job.queue = msgspec.structs.replace(decisions.QUEUE, advice=advice)
    owner.tickets["s.0.0", "r0"] = ("ticket", NOW + 60.0)
    owner.table.record_crash(suspect, make_crash(1))
    suspect.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert passes.list_placed(owner) == [(suspect.name, "r0")] * started


def test_trial_on_the_only_machine_is_apart_from_other_starts():
    # Guards against a trial beside new attempts, which separates no suspects,
    # when the machine that crashed is the only one.
    runner = make_runner("r0", machine="m-1")
    owner = passes.make_owner(runner)
    start(owner, runner, add_task(owner, "b"), age_s=0.1)
    suspect = add_task(owner, "s", long_running=True)
    owner.table.record_crash(suspect, make_crash(1))
    other = add_task(owner, "z")
    suspect.ready_since = other.ready_since = NOW
    scheduling.place_ready_tasks(owner, NOW)
    assert not passes.list_placed(owner)
    scheduling.place_ready_tasks(owner, NOW + 1.0)
    assert passes.list_placed(owner) == [(suspect.name, "r0")]


def crash_at(owner, runner, task, now, age_s=0.01):
    """Lets a polled runner crash some time after the start of a task."""
    start(owner, runner, task, NOW - now + age_s)
    runner.answered_at, runner.silent = now, True
    runner.up_at = now
    crashes.mark_down(runner, now)
    crash(owner, runner, now)


def crash_others(owner, runners, until=NOW):
    """Lets runners crash one after another, with a bystander each."""
    for number, runner in enumerate(runners):
        task = add_task(owner, f"o{number}")
        crash_at(owner, runner, task, until - 5.0 + number, age_s=9.0)


def crash_twice(owner, runners):
    """Lets two runners crash on which the same task has just started."""
    task = add_task(owner, "t")
    for number, runner in enumerate(runners):
        crash_at(owner, runner, task, NOW - 0.8 + 0.4 * number)
    return task


def test_sound_task_on_crashing_runners_survives_two_crashes():
    # Guards against a sound task that is given up because its runners crash for
    # other reasons, as do those that did not run it. A third crash is enough.
    runners = make_runners(8)
    owner = passes.make_owner(*runners)
    crash_others(owner, runners[3:7])
    task = crash_twice(owner, runners[:2])
    assert len(task.crashes) == 2 and task.job.ended == ""
    crash_at(owner, runners[2], task, NOW)
    assert task.job.ended == "failed"


def test_crash_whose_suspects_have_survived_a_trial_has_another_cause():
    # Guards against crashing runners that are not recognized, because on a busy
    # runner some task has always just started.
    runners = make_runners(8)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate(runners[3:7]):
        other = add_task(owner, f"n{number}")
        crash_at(owner, runner, other, NOW - 6.0 + number)
        assert other.crashes
        run = start(owner, runners[7], other, age_s=1.2)
        crashes.record_survival(owner, run, NOW, WALL_MS)
    task = crash_twice(owner, runners[:2])
    assert len(task.crashes) == 2 and task.job.ended == ""


@pytest.mark.parametrize("how", ["suspected", "given up", "cancelled"])
def test_crashes_under_other_suspects_keep_no_task(how):
    # Guards against tasks that crash one more runner each because there are
    # several of them, or because some were given up or cancelled.
    runners = make_runners(8)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate(runners[3:]):
        other = add_task(owner, f"d{number}")
        crash_at(owner, runner, other, NOW - 6.0 + number)
        if how == "given up":
            owner.table.give_up(other, WALL_MS)
        elif how == "cancelled":
            owner.table.cancel_job(other.job, WALL_MS)
    assert crash_twice(owner, runners[:2]).job.ended == "failed"


@pytest.mark.parametrize("case", ["few", "old", "leaving"])
def test_few_crashes_of_other_runners_keep_no_task(case):
    # Guards against a task that crashes one more runner because of a single
    # crash in a large fleet, of crashes long ago, or of runners that left.
    runners = make_runners(80 if case == "few" else 8)
    owner = passes.make_owner(*runners)
    others = runners[3:4] if case == "few" else runners[3:7]
    for runner in others:
        runner.entry = msgspec.structs.replace(
            runner.entry, draining=case == "leaving"
        )
    crash_others(owner, others, NOW - 40.0 if case == "old" else NOW)
    assert crash_twice(owner, runners[:2]).job.ended == "failed"


def test_runner_that_is_back_after_its_leases_shows_no_other_cause():
    # Guards against a crash under a task that counts as one without it, because
    # the attempts there had been dropped before the runner was back.
    runners = make_runners(8)
    owner = passes.make_owner(*runners)
    for number, runner in enumerate(runners[3:7]):
        other = add_task(owner, f"d{number}")
        start(owner, runner, other, age_s=9.01 - number)
        runner.silent, runner.up_at = True, NOW - 9.0 + number
        runner.answered_at = runner.up_at
        crashes.mark_down(runner, runner.up_at)
        sessions._end_expired(owner, runner, list(runner.runs), NOW - 1.0)
        sessions.handle_restart(owner, runner, 2, 1, NOW)
    assert crash_twice(owner, runners[:2]).job.ended == "failed"


def test_runner_whose_leases_expire_one_by_one_has_crashed_once():
    # Guards against one crash that is counted for each attempt, or without the
    # suspect whose lease expires last.
    earlier = make_runner("r0", address="a:1", machine="m")
    later = make_runner("r1", address="b:1", machine="m", born_ms=9)
    owner = passes.make_owner(earlier, later)
    runs = [
        start(owner, earlier, add_task(owner, f"s{number}"), age_s=0.1)
        for number in range(3)
    ]
    earlier.answered_at, earlier.silent = NOW, True
    earlier.up_at = NOW
    crashes.mark_down(earlier, NOW)
    later.answered_at = NOW + 3.0
    for run in runs:
        sessions._end_expired(owner, earlier, [run], NOW + 6.0)
    (noted,) = owner.table.runner_crashes.values()
    assert noted.suspects == {(run.task.name, 1) for run in runs}


def test_no_start_is_added_after_three_crashes_however_many_runners_crash():
    # Guards against a task that is started more often after its third crash
    # because other runners crash, some of them at the same moment.
    runners = make_runners(8)
    owner = passes.make_owner(*runners)
    crash_others(owner, runners[3:8])
    assert crashes.are_runners_crashing(owner)
    task = add_task(owner, "t")
    owner.table.record_crash(task, make_crash(1, shared=True))
    owner.table.record_crash(task, make_crash(2))
    assert task.job.ended == ""
    crash_at(owner, runners[0], task, NOW)
    assert task.crashes[-1].alone and task.job.ended == "failed"


@pytest.mark.parametrize("how", ["answered", "unanswered", "refused"])
def test_crash_counts_less_if_its_start_was_not_answered(how):
    # Guards against a job that fails by the crash of a runner that has never
    # carried out the start of its task.
    runner = make_runner("r")
    owner = passes.make_owner(runner)
    task = add_task(owner, "t")
    run = start(owner, runner, task, age_s=0.01, answered=how == "answered")
    if how == "refused":
        run.phase = attempts.Phase.STARTING
        outcome = interfaces.OrderOutcome.OTHER_INCARNATION
        orders._apply_start_outcome(owner, runner, run, outcome, NOW, lost=True)
    else:
        crash(owner, runner)
    assert [c.unseen for c in task.crashes] == [how != "answered"]
    owner.table.record_crash(task, make_crash(1, alone=True))
    crashes._give_up_if_due(owner, task, WALL_MS)
    assert task.job.ended == ("failed" if how == "answered" else "")


@pytest.mark.parametrize("listed", [True, False])
def test_crash_under_an_inherited_attempt_counts_less_unless_it_was_listed(
    listed,
):
    # Guards against a job that fails by an attempt whose end was not read
    # before its runner crashed: a successor does not know that it ran then.
    runner = make_runner("r", fenced=True)
    owner = passes.make_owner(runner)
    owner.interference_model = decisions.interference.InterferenceModel()
    task = add_task(owner, "t")
    run = owner.table.begin_run(task, "r", 0.0)
    run.ordered_at, run.born_ms, run.place = 0.0, 1, "r:9"
    run.ordered_ms, run.running_since = WALL_MS - 500, NOW
    runner.charge(run)
    if listed:
        running = model.RunningAttempt(task.name, 1, "", 0.0, 0)
        status = model.RunnerStatus(1, 1, (running,), ())
        sessions._apply_reply(owner, runner, status, NOW, NOW + 0.1)
    status = model.RunnerStatus(WALL_MS, 1, (), ())
    sessions._apply_reply(owner, runner, status, NOW + 0.2, NOW + 0.3)
    sessions._apply_reply(owner, runner, status, NOW + 0.4, NOW + 0.5)
    assert not task.runs
    assert [c.unseen for c in task.crashes] == [not listed]


@pytest.mark.parametrize(
    ("pause_s", "age_s", "unseen"),
    [(0.05, 0.6, False), (0.45, 0.6, True), (0.45, 0.05, False)],
)
def test_crash_counts_less_if_no_poll_could_list_the_end_before(
    pause_s, age_s, unseen
):
    # Guards against a job that fails by an attempt which had ended on its
    # runner before that crashed, while ends were being stored and no poll was
    # under way. Where the attempt has just started no end can be missed.
    runner = make_runner("r", fenced=True)
    owner = passes.make_owner(runner)
    owner.interference_model = decisions.interference.InterferenceModel()
    task = add_task(owner, "t")
    runner.answered_at = runner.up_at = NOW - pause_s
    start(owner, runner, task, age_s=age_s).reported = True

    class Calls:
        async def poll(self, *unused):
            return result.Ok(model.RunnerStatus(2, 1, (), ()))

    runner.calls = Calls()
    asyncio.run(sessions._poll(owner, runner, 0.0, None))
    assert [c.unseen for c in task.crashes] == [unseen]
