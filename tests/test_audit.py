"""Tests that standins.audit detects each kind of violation.

They guard against a demo or chaos run that passes because the audit misses a
violation.
"""

from plantainvane import documents
from standins import audit
from standins import load
from standins import runner
from standins import tasks
from standins import worker

SIZE = documents.Size(processors=4.0)
SIZES = {"w1": documents.Size(processors=8.0), "w2": SIZE}
WORK = {"steps": 10, "seed": 1}


def make_attempt(task, attempt, began, ended, state="succeeded", **fields):
    return worker.AttemptEntry(
        task=task,
        attempt=attempt,
        epoch=1,
        batch_class="sync",
        size=SIZE,
        began=began,
        ended=ended,
        state=state,
        from_step=fields.get("from_step", 0),
        to_step=fields.get("to_step", 10),
    )


def make_record(outcome, request_id="q1", key="", detail=""):
    return load.Record(
        request_id=request_id,
        service_class="preview",
        key=key,
        outcome=outcome,
        detail=detail,
    )


def list_violated_guarantees(violations):
    return {number for number, found in violations.items() if found}


def check_attempts(attempts, ended=None):
    violations = audit.make_violations()
    audit.check_attempts(violations, SIZES, attempts, ended or {}, 100.0)
    return list_violated_guarantees(violations)


def check_requests(records, runs):
    violations = audit.make_violations()
    audit.check_requests(violations, records, {"r1": runs})
    return list_violated_guarantees(violations)


def check_task(
    entries, outcome="succeeded", idempotent=True, wrong="", expired=()
):
    violations = audit.make_violations()
    record = tasks.TaskRecord(
        task="t",
        batch_class="sync",
        work=WORK,
        idempotent=idempotent,
        outcome=outcome,
        wrong=wrong,
    )
    audit.check_tasks(violations, [record], {"w1": entries}, set(expired))
    return list_violated_guarantees(violations)


def test_clean_records_have_no_violation():
    attempts = {
        "w1": [make_attempt("t", 1, 0, 5, "stopped", to_step=4)],
        "w2": [make_attempt("t", 2, 5, 9, from_step=4)],
    }
    run = runner.RunEntry("q1", "", "preview", 1.0, 2.0)
    assert check_attempts(attempts) == set()
    assert check_requests([make_record("answered")], [run]) == set()
    assert check_task([*attempts["w1"], *attempts["w2"]]) == set()


def test_overcommitted_worker_is_found():
    attempts = {"w2": [make_attempt(f"t{n}", 1, n, 9) for n in range(2)]}
    assert check_attempts(attempts) == {1}


def test_two_places_at_once_are_found():
    first = {"w1": [make_attempt("t", 1, 0, 5, "lapsed")]}
    second = {"w2": [make_attempt("t", 2, 4, 9)]}
    assert check_attempts(first | second) == {2}
    unended = {"w1": [make_attempt("t", 1, 0, None, "running")]}
    assert check_attempts(unended | second) == {2}
    assert check_attempts(unended | second, {"w1": 3.0}) == set()


def test_repeated_attempt_number_is_found():
    attempts = {
        "w1": [make_attempt("t", 1, 0, 5, "lapsed")],
        "w2": [make_attempt("t", 1, 6, 9)],
    }
    assert check_attempts(attempts) == {2}


def test_wrong_output_and_second_success_are_found():
    entry = make_attempt("t", 1, 0, 5)
    assert check_task([entry], wrong="steps were skipped") == {3}
    assert check_task([entry, make_attempt("t", 2, 6, 9)]) == {3}
    assert check_task([make_attempt("t", 1, 0, 5, "lapsed")]) == {3}


def test_second_success_counts_unless_the_first_lease_expired_unseen():
    # A worker that is paused until after its lease has expired may report its
    # success only after the task was started again.
    entries = [make_attempt("t", 1, 0, 5), make_attempt("t", 2, 6, 9)]
    assert check_task(entries, expired=[("t", 1)]) == set()
    assert check_task(entries, expired=[("t", 2)]) == {3}
    assert check_task(entries, expired=[("other", 1)]) == {3}
    assert 6 in check_task(entries, idempotent=False, expired=[("t", 1)])
    # The owner logged the lease as expired while it was still valid by the
    # worker's record.
    entries[0].lease_until = 6.5
    assert check_task(entries, expired=[("t", 1)]) == {3}


def test_second_run_of_a_non_idempotent_task_is_found():
    second = make_attempt("t", 2, 6, 9)
    for state in ("lapsed", "failed", "running", "stopped"):
        first = make_attempt("t", 1, 0, 5, state, to_step=4)
        assert check_task([first, second], idempotent=False) == {6}
        assert check_task([first, second]) == set()


def test_steps_between_checkpoint_and_stop_are_found_when_repeated():
    first = make_attempt("t", 1, 0, 5, "stopped", to_step=4)
    for from_step, found in ((3, {6}), (4, set())):
        second = make_attempt("t", 2, 6, 9, from_step=from_step)
        assert check_task([first, second], idempotent=False) == found
        assert check_task([first, second]) == set()


def test_request_faults_are_found():
    run = runner.RunEntry("q1", "k", "preview", 1.0, 2.0)
    again = runner.RunEntry("q2", "k", "preview", 3.0, 4.0)
    unended = runner.RunEntry("q1", "", "preview", 1.0, None)
    assert check_requests([make_record("wrong")], [run]) == {4}
    assert check_requests([make_record("answered")], [unended]) == {4}
    assert check_requests([make_record("not_run")], [run]) == {5}
    keyed = [make_record("answered", key="k")]
    assert check_requests(keyed, [run, again]) == {6}


def test_audit_file_of_a_killed_worker_is_read(tmp_path):
    path = tmp_path / "w.audit"
    settings = worker.WorkerSettings("w", "", SIZE, audit_file=str(path))
    state = worker.Worker(settings, worker.gate_module.Gate())
    entry = make_attempt("t", 1, 0, None, "running")
    worker._write_audit(state, entry)
    with path.open("ab") as stream:
        stream.write(b'{"task": "t", "att')
    assert audit.read_attempts(path) == [entry]
