"""Tests of plantainvane.suspicion."""

from plantainvane import suspicion
from tests import test_claims

SETTINGS = test_claims.make_settings()


def fail(history, worker, task, now=0.0, batch_class="c"):
    suspicion.note_start(history, worker, task)
    return suspicion.note_failure(
        SETTINGS, history, worker, task, batch_class, now
    )


def succeed(history, worker, task, batch_class="c"):
    suspicion.note_start(history, worker, task)
    suspicion.note_success(SETTINGS, history, worker, task, batch_class)


def count_open_starts(history, worker, running=0, now=0.0):
    return suspicion.count_open_starts(SETTINGS, history, worker, running, now)


def make_suspected() -> suspicion.FailureHistory:
    history = suspicion.FailureHistory()
    fail(history, "bad", "t1")
    assert fail(history, "bad", "t2")
    return history


def test_a_worker_that_fails_everything_costs_few_tasks():
    # A worker that fails all attempts at once always has free capacity.
    history, lost = suspicion.FailureHistory(), 0
    while count_open_starts(history, "bad") and lost < 20:
        for _ in range(count_open_starts(history, "bad")):
            lost += 1
            fail(history, "bad", f"t{lost}")
    assert lost <= 3
    assert suspicion.is_suspected(history, "bad")


def test_a_failure_on_a_new_worker_counts_with_what_runs_there():
    # Attempts that run on an unproven worker may fail as well.
    history = suspicion.FailureHistory()
    assert count_open_starts(history, "new", running=2) == 1
    fail(history, "new", "t1")
    assert count_open_starts(history, "new", running=2) == 0


def test_one_task_that_fails_everywhere_suspects_no_worker():
    # A broken task must not make worker after worker suspected.
    history = suspicion.FailureHistory()
    for worker in ("w1", "w2", "w3"):
        fail(history, worker, "broken")
        fail(history, worker, "broken")
        assert not suspicion.is_suspected(history, worker)


def test_a_class_that_fails_in_general_clears_the_workers():
    # A faulty release of a job fails on every worker and must suspect none.
    history = suspicion.FailureHistory()
    for number, worker in enumerate(("w1", "w1", "w2", "w2", "w3", "w4")):
        fail(history, worker, f"t{number}")
    workers = ("w1", "w2", "w3", "w4")
    assert not any(suspicion.is_suspected(history, w) for w in workers)


def test_a_class_that_fails_now_and_then_suspects_no_worker():
    # Occasional failures must not add up on healthy workers.
    history = suspicion.FailureHistory()
    for number in range(50):
        fail(history, "w1", f"f{number}", now=float(number))
        succeed(history, "w2", f"f{number}")
        succeed(history, "w1", f"s{number}")
    assert not suspicion.is_suspected(history, "w1")


def test_a_failure_elsewhere_clears_the_worker():
    # A task that fails on a second worker is no evidence against the first.
    history = make_suspected()
    fail(history, "other", "t2")
    assert not suspicion.is_suspected(history, "bad")


def test_a_suspected_worker_gets_one_canary_at_a_time():
    # Guards against many failed tasks while the worker is tested again.
    history = make_suspected()
    assert count_open_starts(history, "bad", now=29.0) == 0
    assert count_open_starts(history, "bad", now=31.0) == 1
    suspicion.note_start(history, "bad", "canary")
    assert count_open_starts(history, "bad", now=31.0) == 0
    fail(history, "bad", "canary", now=40.0)
    assert count_open_starts(history, "bad", now=60.0) == 0
    assert count_open_starts(history, "bad", now=71.0) == 1


def test_canaries_that_succeed_clear_the_worker():
    # Guards against a repaired worker that stays unused.
    history = make_suspected()
    succeed(history, "bad", "canary-1")
    assert suspicion.is_suspected(history, "bad")
    succeed(history, "bad", "canary-2")
    assert not suspicion.is_suspected(history, "bad")
    assert count_open_starts(history, "bad") > 1


def test_a_canary_that_ends_without_a_verdict_frees_its_place():
    # A canary that was evicted or lost must not block the next one.
    history = make_suspected()
    suspicion.note_start(history, "bad", "canary")
    suspicion.clear_canary(history, "bad", "canary")
    assert count_open_starts(history, "bad", now=31.0) == 1


def test_a_long_run_proves_a_new_worker():
    # Guards against new workers that stay nearly idle while long tasks run.
    history = suspicion.FailureHistory()
    assert count_open_starts(history, "new", running=3) == 0
    suspicion.note_run_time(SETTINGS, history, "new", 2.0)
    assert count_open_starts(history, "new", running=3) > 0
