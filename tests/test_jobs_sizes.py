"""Large jobs: the owner loads, runs and stores them without a long pause.

An owner whose event loop stands still answers no ping and renews no lease, so
it is replaced, and each successor loads the same job.
"""

import contextlib
import random
import types

import anyio
import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import crashes
from plantainvane.jobs import interference
from plantainvane.jobs import journal
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import scheduling
from plantainvane.jobs import table as table_module
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes


@pytest.fixture
def anyio_backend():
    return "asyncio"


class CountedSteps(dict):
    """Steps of a job; counts how many are visited."""

    visits = 0

    def items(self):
        for item in super().items():
            CountedSteps.visits += 1
            yield item


def make_job(steps, repeat_count=0):
    return model.Job(
        id="j",
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=steps,
        repeat_count=repeat_count,
    )


@pytest.mark.parametrize(
    "job",
    [
        make_job((decisions.make_step(),), repeat_count=1000),
        make_job(
            tuple(
                decisions.make_step(depends_on=(n - 1,) if n else ())
                for n in range(1000)
            )
        ),
    ],
    ids=["occurrences", "chain"],
)
def test_the_end_of_a_step_visits_only_the_steps_that_wait_for_it(
    job, monkeypatch
):
    # Guards against a job of many steps or occurrences whose load takes a time
    # that grows with their square: 30 s at 20,000 steps.
    monkeypatch.setattr(CountedSteps, "visits", 0)
    table = table_module.JobTable()
    state = table.add_job(job, decisions.QUEUE, None, 1.0, 1)
    state.steps = CountedSteps(state.steps)
    for step_state in state.steps.values():
        (task,) = step_state.tasks
        run = table.begin_run(task, "r", 1.0)
        table.end_run(run, "done", "", 2.0, 2)
    assert state.ended == "completed"
    # Closing the job visits each step once.
    assert CountedSteps.visits <= 2 * len(state.steps)


def test_only_the_steps_that_wait_for_a_step_are_released():
    # Guards against a step that starts early in another occurrence, or not at
    # all because it names a dependency twice.
    table = table_module.JobTable()
    steps = (
        decisions.make_step(),
        decisions.make_step(depends_on=(0, 0)),
        decisions.make_step(depends_on=(0, 1)),
    )
    state = table.add_job(make_job(steps, 2), decisions.QUEUE, None, 1.0, 1)
    assert sorted(table.ready) == ["j.0.0.0", "j.1.0.0"]
    run = table.begin_run(state.steps[1, 0].tasks[0], "r", 1.0)
    table.end_run(run, "done", "", 2.0, 2)
    assert sorted(table.ready) == ["j.0.0.0", "j.1.1.0"]
    assert run.task.result is attempts.Result.DONE


def make_large_state():
    """Makes a job of 20,000 tasks in several steps, all of them running."""
    table = table_module.JobTable()
    steps = tuple(decisions.make_step(count=n) for n in (1, 1500, 8499))
    job = make_job(steps, repeat_count=2)
    state = table.add_job(job, decisions.QUEUE, None, 1.0, 1)
    for task in list(table.ready.values()):
        table.begin_run(task, "i-0123456789", 1.0)
        task.checkpoint = "0123456789abcdef"
    return table, state


def place_runs(state):
    """Adds what is known of the runners to the attempts of a large job."""
    for task in list_all_tasks(state):
        for run in task.runs:
            run.born_ms = run.ordered_ms = 1_768_235_695_304
            run.place = "m-0123456789"
            run.address = "10.200.200.200:65535"


def take_records(state):
    """Returns the changed records of a job, encoded as the owner does."""
    return [
        (key, None if part is None else msgspec.json.encode(part))
        for key, part in progress_module.take_changed(state)
    ]


def load_state(records):
    """Loads the job of `make_large_state` from records in any order."""
    owner = passes.make_owner()
    for key, value in records:
        recovery._load_progress(owner, key, value)
    _, state = make_large_state()
    record = msgspec.json.encode(state.job)
    recovery._add_job(owner, state.job.id, record)
    return owner.table.jobs[state.job.id]


def list_all_tasks(state):
    return [
        task for step_state in state.steps.values() for task in step_state.tasks
    ]


def list_tasks(state):
    return [
        (task.name, task.result, task.attempt, len(task.runs), task.checkpoint)
        for task in list_all_tasks(state)
    ]


def test_each_record_of_a_large_job_fits_the_log():
    # Guards against progress that the log never takes: its append is repeated
    # for good, nothing is stored any more, and each successor does the same.
    _, state = make_large_state()
    place_runs(state)
    records = take_records(state)
    limit = decisions.SETTINGS.max_record_bytes
    assert len(records) > 1
    assert max(map(journal.measure_record, records)) < limit / 2
    random.Random(1).shuffle(records)
    assert list_tasks(load_state(records)) == list_tasks(state)


def test_only_the_changed_part_of_a_large_job_is_stored():
    # Guards against 20,000 tasks that are encoded and stored at each end.
    table, state = make_large_state()
    take_records(state)
    task = state.steps[1, 2].tasks[-1]
    table.end_run(task.runs[0], "done", "", 2.0, 2)
    ((key, value),) = take_records(state)
    assert key == f"j.{progress_module.count_parts(state) - 1}"
    assert len(value) < 50_000


def test_an_ended_large_job_is_known_to_have_ended_first():
    # Guards against a successor that finds tasks dropped as done in a job that
    # it takes for open, and starts them again.
    table, state = make_large_state()
    before = take_records(state)
    for step_state in state.steps.values():
        for task in step_state.tasks:
            table.end_run(task.runs[0], "done", "", 2.0, 2)
    records = take_records(state)
    assert records[0][0] == "j" and b"completed" in records[0][1]
    assert {value for _, value in records[1:]} == {None}
    assert {key for key, _ in records} == {key for key, _ in before}


class EarlierRun(msgspec.Struct, array_like=True):
    attempt: int
    runner: str


class EarlierTask(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    result: int
    attempt: int
    failures: int
    checkpoint: str = ""
    runs: list[EarlierRun] = []


class EarlierProgress(msgspec.Struct, array_like=True):
    ended: str = ""
    ended_ms: int = 0
    tasks: list[EarlierTask] = []


def test_a_job_of_one_record_is_loaded_by_the_earlier_release():
    # Guards against progress that a process of the last release cannot load. It
    # knows neither the crashes of a task nor when and where an attempt began.
    table = table_module.JobTable()
    job = make_job((decisions.make_step(count=500),))
    state = table.add_job(job, decisions.QUEUE, None, 1.0, 1)
    table.begin_run(state.steps[0, 0].tasks[499], "r", 1.0)
    ((key, value),) = take_records(state)
    assert key == "j"
    assert value == b'["",0,[[0,0,499,0,1,0,"",[[1,"r",0,"",0,"",0.0]],[]]]]'
    assert msgspec.json.decode(value, type=EarlierProgress) == EarlierProgress(
        "", 0, [EarlierTask(0, 0, 499, 0, 1, 0, "", [EarlierRun(1, "r")])]
    )


def test_records_fit_the_log_when_every_task_is_suspected():
    # Guards against the crashes of many runners, each blamed on all that had
    # been started there, which fill a record that the log never takes.
    _, state = make_large_state()
    place_runs(state)
    for task in list_all_tasks(state):
        (run,) = task.runs
        crash = model.Crash(run.runner, run.born_ms, run.place, confirmed=True)
        task.crashes = (crash,) * crashes.MAX_CRASHES
    limit = decisions.SETTINGS.max_record_bytes
    assert max(map(journal.measure_record, take_records(state))) < limit


def test_the_record_of_learned_effects_fits_the_log():
    # Guards against images that are many, or have long names, and fill a record
    # that the log never takes, so that nothing is stored any more.
    owner = passes.make_owner()
    for number in range(900):
        pair = f"{number:04}" + "s" * 400, "f"
        owner.interference_model.effects[pair] = interference.Effect(
            0.2, 0.001, 9.0
        )
    owner_module._store_effects(owner, 10.0)
    ((key, value),) = owner.journal._open.records
    limit = owner.settings.max_record_bytes
    assert limit / 4 < journal.measure_record((key, value)) <= limit
    assert b'"0899s' in value and b'"0000s' not in value


def test_the_starts_in_flight_are_limited():
    # Guards against tasks that need next to nothing, all of which fit at once:
    # 20,000 start orders in flight take 137 MB of the owner's memory, and of
    # that of each successor.
    owner = passes.make_owner(decisions.make_runner())
    step = decisions.make_step(count=5000, cpu=0, memory_mb=0)
    decisions.add_job(owner.table, step)
    counts = []
    for in_flight in (0, 1990, 0):
        owner.starts_in_flight = in_flight
        scheduling.place_ready_tasks(owner, 1.0)
        counts.append(len(passes.list_placed(owner)))
    assert counts == [2000, 2010, 4010]


@pytest.mark.anyio
async def test_a_start_is_in_flight_until_its_outcome(monkeypatch):
    # Guards against a count that keeps what has ended, after which nothing is
    # started any more.
    seen = []

    async def start(owner, run):
        seen.append(owner.starts_in_flight)
        if run == "b":
            raise OSError("not sent")

    monkeypatch.setattr(orders, "_start_run", start)
    owner = passes.make_owner()
    owner.journal = types.SimpleNamespace(flush=lambda: anyio.sleep(0))
    await orders.start_runs(owner, ["a", "b"])
    for _, (_, run) in owner.group.started:
        with contextlib.suppress(OSError):
            await orders._start_counted_run(owner, run)
    assert (seen, owner.starts_in_flight) == ([2, 1], 0)


def make_full_table(monkeypatch):
    """Makes a table with room for 10 tasks, and jobs a to d of 6 tasks each."""
    monkeypatch.setattr(checks, "MAX_HELD_TASKS", 10)
    table = table_module.JobTable()
    step = decisions.make_step(count=6)
    return table, [
        decisions.add_job(table, step, job_id=name) for name in "abcd"
    ]


def end_all(table, state):
    for task in state.steps[0, 0].tasks:
        run = table.begin_run(task, "r", 1.0)
        table.end_run(run, "done", "", 2.0, 2)


def test_jobs_wait_for_their_tasks_while_there_are_too_many(monkeypatch):
    # Guards against large jobs whose tasks exceed the memory of a process: it
    # ends, and so does each successor, which loads the same jobs.
    table, (first, second, third, fourth) = make_full_table(monkeypatch)
    small = decisions.add_job(table, decisions.make_step(), job_id="e")
    assert [len(table.tasks), list(table.deferred)] == [7, ["b", "c", "d"]]
    assert table_module.describe_state(second) == "queued"
    assert table.count_pending("q") == 5
    table.cancel_job(third, 3)
    table.add_deferred_tasks(3.0, 3)
    assert list(table.deferred) == ["b", "c", "d"]
    end_all(table, first)
    table.add_deferred_tasks(4.0, 4)
    assert list(table.deferred) == ["d"]
    assert len(table.ready) == 7 and third.ended == "cancelled"
    for state in (small, second):
        end_all(table, state)
    assert table.held_tasks == 0
    table.add_deferred_tasks(5.0, 5)
    end_all(table, fourth)
    assert (fourth.ended, table.held_tasks) == ("completed", 0)


def test_a_job_that_has_been_started_does_not_wait(monkeypatch):
    # Guards against attempts that may be running and are charged to no runner
    # after a takeover.
    table, _ = make_full_table(monkeypatch)
    row = model.TaskProgress(0, 0, 0, 0, 1, 0, "", [model.RunProgress(1, "r")])
    state = decisions.add_job(
        table,
        decisions.make_step(count=6),
        job_id="s",
        progress=model.JobProgress(tasks=[row]),
    )
    assert len(state.steps[0, 0].tasks[0].runs) == 1


def test_an_ended_job_holds_no_room_after_a_takeover(monkeypatch):
    # Guards against a count that grows with each job that is loaded as ended.
    table, _ = make_full_table(monkeypatch)
    row = model.TaskProgress(0, 0, 0, 0, 1, 0, "", [model.RunProgress(1, "r")])
    progress = model.JobProgress("cancelled", 5, [row])
    decisions.add_job(
        table, decisions.make_step(count=6), job_id="s", progress=progress
    )
    assert table.held_tasks == 6


@pytest.mark.parametrize(
    "fields",
    [{"count": 33}, {"count": 500}, {"count": 3, "max_per_runner": 1}],
    ids=str,
)
def test_a_gang_that_fits_nowhere_is_not_tried(fields, monkeypatch):
    # Guards against a gang whose tries, one in each rack in each pass, take all
    # of the owner's time: it answers no ping then, nor does its successor.
    tried = passes.count_calls(
        monkeypatch, scheduling.placement, "_evaluate_runner"
    )
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{n}", cpu=16_000) for n in range(2))
    )
    step = decisions.make_step(gang=True, same_rack=True, **fields)
    decisions.add_job(owner.table, step)
    scheduling.place_ready_tasks(owner, 1.0)
    assert (tried, owner.table.changed) == ([], {})


@pytest.mark.parametrize(
    "fields", [{"count": 32}, {"count": 40, "cpu": 0, "memory_mb": 0}], ids=str
)
def test_a_gang_that_fits_is_placed(fields):
    # Guards against an estimate that keeps a gang from the room that it needs.
    owner = passes.make_owner(
        *(decisions.make_runner(f"r{n}", cpu=16_000) for n in range(2))
    )
    decisions.add_job(owner.table, decisions.make_step(gang=True, **fields))
    scheduling.place_ready_tasks(owner, 1.0)
    assert len(passes.list_placed(owner)) == fields["count"]


@pytest.mark.parametrize("index", [0, 700, 1400])
def test_progress_in_one_record_is_taken_over_at_any_point(index):
    # Guards against tasks of a large job that are started again after an update
    # from the last release, which stored all of them in one record: the records
    # that replace it may reach the log in several appends.
    table = table_module.JobTable()
    job = make_job((decisions.make_step(count=1500),))
    state = table.add_job(job, decisions.QUEUE, None, 1.0, 1)
    for task in list(table.ready.values()):
        table.begin_run(task, "r", 1.0)
    whole = [
        row
        for _, part in progress_module.take_changed(state)
        for row in part.tasks
    ]
    stored = {"j": msgspec.json.encode(model.JobProgress(tasks=whole))}

    def load():
        owner = passes.make_owner()
        for key, value in stored.items():
            recovery._load_progress(owner, key, value)
        recovery._add_job(owner, "j", msgspec.json.encode(job))
        return owner.table

    loaded = load()
    run = loaded.jobs["j"].steps[0, 0].tasks[index].runs[0]
    loaded.end_run(run, "done", "", 2.0, 2)
    records = take_records(loaded.jobs["j"])
    assert len(records) == 3
    for key, value in records:
        stored[key] = value
        tasks = load().jobs["j"].steps[0, 0].tasks
        assert min(task.attempt for task in tasks) == 1
        counts = {len(task.runs) for task in tasks if task.index != index}
        assert counts == {1}
    assert tasks[index].result is attempts.Result.DONE
