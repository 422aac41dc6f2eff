"""Jobs with many occurrences: what is held, when it starts, what is stored.

PYTEST_DONT_REWRITE: messages with whole tables take gigabytes.
"""

import random
import types

import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import model
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes

MINUTE_MS = 60_000


def add_repeating(table, job_id="j", count=20_000, steps=(), **fields):
    """Adds a job that repeats each minute from 1 s on."""
    fields = {"start_at_ms": 1000, "interval_ms": MINUTE_MS} | fields
    steps = steps or (decisions.make_step(),)
    return decisions.add_job(
        table, *steps, job_id=job_id, repeat_count=count, **fields
    )


def sweep(table, now):
    """Does what the owner does once a second."""
    while table.add_deferred_tasks(now, int(now * 1000)):
        pass


def list_due(table, now):
    return [t for t in table.ready.values() if t.step.due_at <= now]


def run_due(table, now, outcome="done"):
    """Starts and ends what is due; returns the names."""
    due = list_due(table, now)
    for task in due:
        run = table.begin_run(task, "r", now)
        table.end_run(run, outcome, "", now, int(now * 1000))
    return [task.name for task in due]


def take_stored(table, stored):
    """Stores the changed progress of all jobs, as the owner does."""
    for state in table.changed.values():
        for key, part in progress_module.take_changed(state):
            stored[key] = None if part is None else msgspec.json.encode(part)
    table.changed.clear()


def take_over(table, stored, now):
    """Returns the table of the next owner, whose clock shows `now`."""
    owner = passes.make_owner()
    for key, value in random.Random(1).sample(
        sorted(stored.items()), len(stored)
    ):
        recovery._load_progress(owner, key, value)
    successor = table_module.JobTable()
    for state in table.jobs.values():
        successor.add_job(
            state.job,
            state.queue,
            owner.progress.get(state.job.id),
            now,
            int(now * 1000),
        )
    return successor


def test_later_jobs_start_beside_jobs_of_many_occurrences():
    # Guards against accepted jobs of which nothing starts, as the occurrences
    # of the next 14 days of six jobs fill what an owner holds.
    table = table_module.JobTable()
    for number in range(6):
        add_repeating(table, f"r{number}")
    decisions.add_job(table, decisions.make_step(count=100), job_id="later")
    assert sum(t.job.job.id == "later" for t in table.ready.values()) == 100
    assert not table.deferred
    assert table.held_tasks <= 200


def test_what_is_due_now_is_held_in_full():
    # Guards against a process that runs out of memory, as jobs count for less
    # than they take.
    table = table_module.JobTable()
    for number in range(7):
        add_repeating(table, f"r{number}", interval_ms=0)
    assert table.held_tasks == 120_000 == len(table.tasks)
    assert list(table.deferred) == ["r6"]
    state = table.jobs["r0"]
    table.cancel_job(state, 1)
    sweep(table, 1.0)
    assert table.held_tasks == 120_000 and not table.deferred


def test_each_occurrence_starts_when_it_is_due_and_once():
    # Guards against occurrences that are left out, come early or come twice
    # when they are added late, and against an end that is shown too early.
    table = table_module.JobTable()
    state = add_repeating(table, count=20, interval_ms=7000)
    assert 0 < len(table.tasks) < 20
    started = {}
    for now in range(140):
        sweep(table, float(now))
        for name in run_due(table, float(now)):
            assert name not in started
            started[name] = now
        assert bool(state.ended) == (len(started) == 20)
    assert started == {f"j.{k}.0.0": 1 + 7 * k for k in range(20)}
    assert state.ended == "completed"
    assert (table.held_tasks, len(table.tasks)) == (0, 0)


def test_occurrences_overlap():
    # Guards against an occurrence that waits for the end of the one before.
    table = table_module.JobTable()
    add_repeating(table, count=100, interval_ms=10_000)
    for now in range(60):
        sweep(table, float(now))
        for task in list_due(table, float(now)):
            table.begin_run(task, "r", float(now))
    names = [t.name for t in table.tasks.values() if t.runs]
    assert names == [f"j.{k}.0.0" for k in range(6)]


@pytest.mark.parametrize("wall_ms", [0, 10 * MINUTE_MS, 20_000 * MINUTE_MS])
def test_occurrences_that_are_past_due_are_all_held(wall_ms):
    # Guards against occurrences that are forgotten, as their time passed while
    # no owner was there.
    table = table_module.JobTable()
    job = add_repeating(table_module.JobTable()).job
    state = table.add_job(job, decisions.QUEUE, None, 5.0, wall_ms)
    due = len(list_due(table, 5.0))
    assert due == min(20_000, -(-wall_ms // MINUTE_MS))
    assert due <= len(table.tasks) <= due + 1
    assert state.opened == len(table.tasks)


def test_only_open_occurrences_are_kept():
    # Guards against memory that grows with each occurrence that is done.
    table = table_module.JobTable()
    steps = (decisions.make_step(count=2), decisions.make_step(depends_on=(0,)))
    state = add_repeating(table, count=5000, steps=steps, interval_ms=1000)
    for now in range(400):
        sweep(table, float(now))
        run_due(table, float(now))
        run_due(table, float(now))
        assert len(state.steps) < 2 * 40
    assert table.held_tasks < 3 * 40
    assert table.find_task("j.3.0.1") is None
    assert table.find_run("j.3.0.1", 1) is None
    assert table.find_task("j.405.1.0").result is attempts.Result.OPEN


def test_an_occurrence_is_kept_while_a_run_has_to_be_stopped():
    # Guards against a copy that runs on, as its task is not known any more.
    table = table_module.JobTable()
    state = add_repeating(table, count=50, interval_ms=1000)
    task = table.ready["j.0.0.0"]
    runs = [table.begin_run(task, name, 1.0) for name in "ab"]
    table.end_run(runs[0], "done", "", 2.0, 2000)
    sweep(table, 3.0)
    assert table.find_run("j.0.0.0", 2) is runs[1]
    ((_, part),) = progress_module.take_changed(state)
    assert [len(row.runs) for row in part.tasks] == [1]
    table.end_run(runs[1], "stopped", "", 4.0, 4000)
    sweep(table, 5.0)
    assert table.find_task("j.0.0.0") is None


@pytest.mark.parametrize("dropped", [False, True])
def test_done_occurrences_never_start_again_after_takeovers(dropped):
    # Guards against a task that runs again after it was done (TWICE), or is
    # left out, and a job that ends early or never, at one of several owners.
    table, stored, started = table_module.JobTable(), {}, []
    steps = (decisions.make_step(count=2), decisions.make_step(depends_on=(0,)))
    add_repeating(table, count=1500, steps=steps, interval_ms=100)
    for second in range(150):
        now = float(second)
        if dropped or second % 40 == 0:
            sweep(table, now)
        started += run_due(table, now)
        # One occurrence in three is left half done over the takeover.
        if second % 3:
            started += run_due(table, now)
        take_stored(table, stored)
        if second % 20 == 19:
            table = take_over(table, stored, now)
    for second in range(150, 155):
        sweep(table, float(second))
        for _ in range(2):
            started += run_due(table, float(second))
    assert len(started) == len(set(started)) == 4500
    assert table.jobs["j"].ended == "completed"
    take_stored(table, stored)
    # Only the end is left.
    assert {key for key, part in stored.items() if part is not None} == {"j"}
    assert msgspec.json.decode(stored["j"])[2] == []


def test_attempts_under_way_are_restored():
    # Guards against attempts that run on and are started a second time.
    table, stored = table_module.JobTable(), {}
    add_repeating(table, count=3000, interval_ms=1000)
    for now in range(700):
        sweep(table, float(now))
        for task in list_due(table, float(now)):
            run = table.begin_run(task, "r", float(now))
            if task.step.occurrence % 100:
                table.end_run(run, "done", "", float(now), now * 1000)
    take_stored(table, stored)
    later = take_over(table, stored, 700.0)
    restored = [t.name for t in later.tasks.values() if t.runs]
    assert restored == [f"j.{100 * k}.0.0" for k in range(7)]
    assert later.held_tasks < 50
    # What the earlier release stored is the same rows in one record.
    rows = [
        row
        for value in stored.values()
        for row in msgspec.json.decode(value, type=model.JobProgress).tasks
    ]
    assert len(rows) == 699 and all(row.attempt for row in rows)


def test_rows_beyond_what_is_due_are_restored():
    # Guards against an attempt that is forgotten, as the clock of its owner was
    # ahead, and so started again.
    row = model.TaskProgress(7, 0, 0, 0, 1, 0, "", [model.RunProgress(1, "r")])
    table = table_module.JobTable()
    state = add_repeating(table, progress=model.JobProgress(tasks=[row]))
    assert state.steps[7, 0].tasks[0].runs
    assert (state.opened, table.held_tasks) == (8, 8)
    assert "j.7.0.0" not in table.ready


@pytest.mark.parametrize("occurrence", [-1, 20_000, 10**9])
def test_rows_of_no_occurrence_are_skipped(occurrence, monkeypatch):
    # Guards against a record of another writer that fills the memory.
    lines = []
    monkeypatch.setattr(
        progress_module.events, "log_event", lambda e, **_: lines.append(e)
    )
    row = model.TaskProgress(occurrence, 0, 0, 1, 1, 0)
    table = table_module.JobTable()
    add_repeating(table, progress=model.JobProgress(tasks=[row]))
    assert table.held_tasks == 1 and len(lines) == 1


def test_cancel_ends_all_occurrences():
    # Guards against occurrences that are added after the cancel.
    table, stored = table_module.JobTable(), {}
    state = add_repeating(table, count=100, interval_ms=1000)
    run_due(table, 5.0)
    run = table.begin_run(table.ready["j.6.0.0"], "r", 7.0)
    table.cancel_job(state, 7000)
    sweep(table, 60.0)
    assert not table.tasks and not table.ready and not table.held_tasks
    assert not table.unopened
    take_stored(table, stored)
    later = take_over(table, stored, 60.0)
    sweep(later, 90.0)
    assert not later.tasks and not later.held_tasks
    assert later.jobs["j"].stored_ended == "cancelled"
    assert [r.attempt for r in later.runs_to_stop] == [run.attempt]


def test_a_task_that_fails_too_often_ends_all_occurrences():
    # Guards against a failed job whose later occurrences start.
    table = table_module.JobTable()
    state = add_repeating(table, count=100)
    assert state.max_failures == 2
    for now, ended in ((1.0, ""), (2.0, "failed")):
        run_due(table, now, "failed")
        assert state.ended == ended
    sweep(table, 200.0)
    assert not table.ready and not table.unopened


def test_a_job_that_is_not_due_counts_as_pending():
    # Guards against a job that is not counted, as nothing of it is in memory,
    # or counts as completed.
    table = table_module.JobTable()
    state = add_repeating(table, start_at_ms=3_600_000)
    sweep(table, 5.0)
    assert (len(table.tasks), table.count_pending("q")) == (0, 1)
    assert table_module.describe_state(state) == "queued"
    sweep(table, 3590.0)
    assert len(table.tasks) == 1 and not list_due(table, 3590.0)
    run_due(table, 3600.0)
    assert table.count_pending("q") == 0
    assert table_module.describe_state(state) == "running"


def test_occurrences_wait_for_room_in_the_order_of_their_times(monkeypatch):
    # Guards against a later occurrence of one job that goes before those of
    # others, and against one that is left for good.
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 10)
    table = table_module.JobTable()
    plain = decisions.add_job(table, decisions.make_step(count=8), job_id="p")
    for number in (2, 1, 3):
        add_repeating(
            table, f"r{number}", 4, start_at_ms=40_000 + number * 1000
        )
    sweep(table, 60.0)
    names = [n for n in table.tasks if not n.startswith("p")]
    assert names == ["r1.0.0.0", "r2.0.0.0"]
    assert table.count_late(60.0) == 1
    for task in list(plain.steps[0, 0].tasks):
        table.end_run(table.begin_run(task, "r", 1.0), "done", "", 2.0, 2)
    sweep(table, 61.0)
    assert "r3.0.0.0" in table.tasks and not table.count_late(61.0)


def test_a_turn_adds_a_limited_number_of_tasks():
    # Guards against an event loop that stands still while the occurrences of
    # many jobs become due at the same time.
    table = table_module.JobTable()
    for number in range(2000):
        add_repeating(table, f"r{number}", 10, start_at_ms=100_000)
    turns, before = 0, 0
    unfinished = True
    while unfinished:
        unfinished = table.add_deferred_tasks(80.0, 80_000)
        assert table.held_tasks - before <= 500
        turns, before = turns + 1, table.held_tasks
    assert before == 2000 and turns > 3


def test_the_horizon_is_that_of_the_settings():
    # Guards against an owner that adds occurrences when they are due already.
    settings = msgspec.structs.replace(
        decisions.SETTINGS, occurrence_horizon_s=7.0
    )
    table = table_module.JobTable(horizon_s=settings.occurrence_horizon_s)
    add_repeating(table, start_at_ms=100_000)
    for now, held in ((92.0, 0), (94.0, 1)):
        sweep(table, now)
        assert table.held_tasks == held


def test_a_full_owner_says_so(monkeypatch):
    # Guards against jobs that are refused or wait without a line in the log.
    lines = []
    monkeypatch.setattr(
        owner_module.events,
        "log_event",
        lambda event, **fields: lines.append((event.number, fields)),
    )
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 12)
    monkeypatch.setattr(checks, "MAX_TASKS", 6)
    owner = passes.make_owner()
    owner.group = types.SimpleNamespace(start_soon=lambda *_: None)
    owner_module._report_room(owner, 1.0)
    assert lines == [] and owner.room.free_tasks == 6
    decisions.add_job(owner.table, decisions.make_step(count=6))
    owner_module._report_room(owner, 2.0)
    ((number, fields),) = lines
    assert number == 908
    assert (fields["held_tasks"], fields["free_tasks"]) == (6, 0)
