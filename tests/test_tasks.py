"""Tests of plantainvane.tasks."""

import hypothesis
from hypothesis import strategies
import msgspec

from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import tasks
from tests import test_claims

SETTINGS = test_claims.make_settings()


def make_record(kind, sequence, **fields):
    return kind(writer="w", incarnation=1, sequence=sequence, **fields)


def make_table(*parts, settings=SETTINGS) -> tasks.TaskTable:
    """Folds (kind, fields) pairs with rising offsets and sequences."""
    table = tasks.TaskTable(settings)
    table.apply_records(
        [
            (offset, make_record(kind, offset + 1, **fields))
            for offset, (kind, fields) in enumerate(parts)
        ],
        now=10.0,
    )
    return table


def submit(task="t"):
    fields = {"batch_class": "c", "submitted": 0.0, "work": {"n": 1}}
    return records.TaskSubmit, {"task": task, **fields}


def opened(epoch):
    return records.ShardOpen, {"epoch": epoch}


def start(attempt, epoch=1, task="t", worker="w1"):
    fields = {"task": task, "attempt": attempt, "epoch": epoch}
    return records.TaskStart, {"worker": worker, **fields}


def requeue(attempt, epoch=1, task="t", **fields):
    fields = {"cause": "evicted", "attempt": attempt, **fields}
    return records.TaskRequeue, {"task": task, "epoch": epoch, **fields}


def finish(attempt, epoch=1, task="t"):
    fields = {"task": task, "attempt": attempt, "epoch": epoch}
    return records.TaskFinish, {"outcome": "succeeded", **fields}


def test_records_of_a_superseded_epoch_are_void():
    # A paused owner may append a start after another process took over.
    table = make_table(submit(), opened(1), opened(2), start(1, epoch=1))
    assert list(table.pending) == ["t"]


def test_a_requeue_counts_once():
    # A repeated requeue must not start a second attempt beside the next one.
    table = make_table(
        submit(),
        opened(1),
        start(1),
        requeue(1, checkpoint="c1"),
        start(2, worker="w2"),
        requeue(1, checkpoint="c1"),
    )
    task = table.find_task("t")
    assert (task.phase, task.attempt, task.worker) == ("started", 2, "w2")
    assert (task.checkpoint, task.evictions) == ("c1", 1)


def test_a_second_start_of_a_started_task_is_void():
    # Guards against a task that runs on two workers.
    table = make_table(submit(), opened(1), start(1), start(2, worker="w2"))
    assert table.find_task("t").worker == "w1"


def test_a_finish_of_a_stale_attempt_is_void():
    # An attempt that was replaced may report its result late.
    table = make_table(
        submit(), opened(1), start(1), requeue(1), start(2), finish(1)
    )
    assert table.find_task("t").phase == "started"


def test_a_repeated_submission_changes_nothing():
    # A retry of a submission must not run a non-idempotent task twice, such as
    # a catalogue sync.
    table = make_table(submit(), opened(1), start(1), finish(1), submit())
    assert table.pending == {}
    assert table.find_task("t").outcome == "succeeded"


def test_a_repeated_record_is_void():
    # An append whose reply was lost is sent again and may be stored twice.
    table = make_table(submit(), opened(1), start(1), requeue(1))
    repeat = make_record(start(2)[0], 3, **start(2)[1])
    table.apply_records([(4, repeat)], now=0.0)
    assert list(table.pending) == ["t"]


def test_ended_tasks_are_bounded():
    # Guards against memory use and snapshots that grow with each task.
    limited = msgspec.structs.replace(
        SETTINGS, tasks=settings_module.Tasks(finished_kept=2)
    )
    parts = [opened(1)]
    for task in ("t1", "t2", "t3"):
        parts += [submit(task), start(1, task=task), finish(1, task=task)]
    table = make_table(*parts, settings=limited)
    assert list(table.finished) == ["t2", "t3"]


NAMES = strategies.sampled_from(["t1", "t2"])
SMALL = strategies.integers(1, 3)
PARTS = strategies.one_of(
    strategies.builds(submit, NAMES),
    strategies.builds(opened, SMALL),
    strategies.builds(start, SMALL, SMALL, NAMES),
    strategies.builds(requeue, SMALL, SMALL, NAMES),
    strategies.builds(finish, SMALL, SMALL, NAMES),
)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(PARTS, min_size=1, max_size=25), strategies.data()
)
def test_a_snapshot_replaces_the_records_before_it(parts, data):
    # A reader that starts from a snapshot must reach the same state as one that
    # read all records.
    cut = data.draw(strategies.integers(1, len(parts)))
    whole, before = make_table(*parts), make_table(*parts[:cut])
    through, state = before.encode_state()
    snapshot = make_record(
        records.ShardSnapshot,
        1000,
        epoch=before.epoch,
        through_offset=through,
        state=state,
    )
    joined = tasks.TaskTable(SETTINGS)
    entries = [
        (offset, make_record(kind, offset + 1, **fields))
        for offset, (kind, fields) in enumerate(parts)
    ]
    # The snapshot record is stored after records that it does not cover.
    joined.apply_records([(len(parts), snapshot)], now=0.0)
    joined.apply_records(entries, now=0.0)
    assert joined.encode_state() == whole.encode_state()


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(PARTS, max_size=40))
def test_every_task_is_in_exactly_one_place(parts):
    # Guards against an index that has a task as both pending and started.
    table = make_table(*parts)
    places = [*table.pending, *table.finished]
    for worker, started in table.started.items():
        places += started
        assert all(task.worker == worker for task in started.values())
    assert sorted(places) == sorted(set(places))
    live = {task.id for task in table.list_live()} | set(table.finished)
    assert live == set(places)
