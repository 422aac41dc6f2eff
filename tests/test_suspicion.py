"""Tests of plantainvane.suspicion."""

from plantainvane import suspicion
from tests import test_claims

SETTINGS = test_claims.make_settings()


def fail(record, worker, task, now=0.0, batch_class="c"):
    suspicion.note_start(record, worker, task)
    return suspicion.note_failure(
        SETTINGS, record, worker, task, batch_class, now
    )


def succeed(record, worker, task, batch_class="c"):
    suspicion.note_start(record, worker, task)
    suspicion.note_success(SETTINGS, record, worker, task, batch_class)


def count_open(record, worker, running=0, now=0.0):
    return suspicion.count_open_starts(SETTINGS, record, worker, running, now)


def make_suspected() -> suspicion.Record:
    record = suspicion.Record()
    fail(record, "bad", "t1")
    assert fail(record, "bad", "t2")
    return record


def test_a_worker_that_fails_everything_costs_few_tasks():
    # Guards against a worker that looks free because it fails at once.
    record, lost = suspicion.Record(), 0
    while count_open(record, "bad") and lost < 20:
        for _ in range(count_open(record, "bad")):
            lost += 1
            fail(record, "bad", f"t{lost}")
    assert lost <= 3
    assert suspicion.is_suspected(record, "bad")


def test_a_failure_on_a_new_worker_counts_with_what_runs_there():
    # Guards against further starts beside attempts that may fail too.
    record = suspicion.Record()
    assert count_open(record, "new", running=2) == 1
    fail(record, "new", "t1")
    assert count_open(record, "new", running=2) == 0


def test_one_task_that_fails_everywhere_suspects_no_worker():
    # Guards against a broken task that takes the workers out one by one.
    record = suspicion.Record()
    for worker in ("w1", "w2", "w3"):
        fail(record, worker, "broken")
        fail(record, worker, "broken")
        assert not suspicion.is_suspected(record, worker)


def test_a_class_that_fails_in_general_clears_the_workers():
    # Guards against a broken release of a job that suspects every worker.
    record = suspicion.Record()
    for number, worker in enumerate(("w1", "w1", "w2", "w2", "w3", "w4")):
        fail(record, worker, f"t{number}")
    workers = ("w1", "w2", "w3", "w4")
    assert not any(suspicion.is_suspected(record, w) for w in workers)


def test_a_class_that_fails_now_and_then_suspects_no_worker():
    # Guards against slowly collecting failures on healthy workers.
    record = suspicion.Record()
    for number in range(50):
        fail(record, "w1", f"f{number}", now=float(number))
        succeed(record, "w2", f"f{number}")
        succeed(record, "w1", f"s{number}")
    assert not suspicion.is_suspected(record, "w1")


def test_a_failure_elsewhere_clears_the_worker():
    # Guards against a worker that stays suspected for others' faults.
    record = make_suspected()
    fail(record, "other", "t2")
    assert not suspicion.is_suspected(record, "bad")


def test_a_suspected_worker_gets_one_canary_at_a_time():
    # Guards against tasks lost in numbers while the worker is tried again.
    record = make_suspected()
    assert count_open(record, "bad", now=29.0) == 0
    assert count_open(record, "bad", now=31.0) == 1
    suspicion.note_start(record, "bad", "canary")
    assert count_open(record, "bad", now=31.0) == 0
    fail(record, "bad", "canary", now=40.0)
    assert count_open(record, "bad", now=60.0) == 0
    assert count_open(record, "bad", now=71.0) == 1


def test_canaries_that_succeed_clear_the_worker():
    # Guards against capacity lost after a repair.
    record = make_suspected()
    succeed(record, "bad", "canary-1")
    assert suspicion.is_suspected(record, "bad")
    succeed(record, "bad", "canary-2")
    assert not suspicion.is_suspected(record, "bad")
    assert count_open(record, "bad") > 1


def test_a_canary_that_ends_without_a_verdict_frees_its_place():
    # Guards against a worker that is never tried again.
    record = make_suspected()
    suspicion.note_start(record, "bad", "canary")
    suspicion.note_end(record, "bad", "canary")
    assert count_open(record, "bad", now=31.0) == 1


def test_a_long_run_proves_a_new_worker():
    # Guards against new workers that stay nearly idle during long tasks.
    record = suspicion.Record()
    assert count_open(record, "new", running=3) == 0
    suspicion.note_run(SETTINGS, record, "new", 2.0)
    assert count_open(record, "new", running=3) > 0
