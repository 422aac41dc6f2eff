"""Malformed documents of other programs: skipped, and never a crash.

An exception that nobody catches ends the process. A record stays in the log,
so it would end each successor as well.
"""

import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from plantainvane import http_client
from plantainvane.jobs import attempts
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import ownership
from plantainvane.jobs import pacing
from plantainvane.jobs import progress
from plantainvane.jobs import recovery
from plantainvane.jobs import runners as jobs_runners
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from plantainvane.jobs import state
from plantainvane.platform import ingress
from plantainvane.platform import runners
from plantainvane.platform import store
from plantainvane.platform import wire
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes
from tests import test_platform_wire as wires

_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True
)
_HUGE = 10**400
_NUMBERS = strategies.one_of(
    strategies.integers(-5, 5),
    strategies.integers(),
    strategies.sampled_from([2**63, -(2**64), _HUGE, -_HUGE, 1e308, -1e308]),
)
_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), strategies.text(), _NUMBERS
    ),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=4,
)
_ADDRESSES = strategies.one_of(
    strategies.text(),
    strategies.builds(
        "{}:{}".format,
        strategies.one_of(
            strategies.text(), strategies.sampled_from(["10.0.0.9", "[::1]"])
        ),
        strategies.one_of(strategies.integers(), strategies.text()),
    ),
)


@pytest.mark.parametrize(
    "change",
    [
        {"Address": "10.0.0.9:99999"},
        {"Address": "10.0.0.9:0"},
        {"Address": "..:80"},
        {"Address": "a" * 80 + ":80"},
        {"Address": "10.0.0.9:\u0663"},
        {"Address": "\0:80"},
        {"ClockMs": _HUGE},
        {"born": _HUGE},
        {"Capacity": {"Cpu": _HUGE}},
    ],
    ids=lambda change: str(change)[:40],
)
def test_an_entry_that_no_call_can_use_is_ignored(change):
    # Guards against an entry of other software whose address or clock raises
    # an exception at the first poll, in each owner in turn.
    entry = json.dumps(wires.ENTRY | change).encode()
    assert wire.decode_runner("i", entry) is None


@pytest.mark.parametrize("key", ["", "i\ufffd", "\u4e2d", "i\r\nX: y"])
def test_an_entry_under_an_unusable_id_is_ignored(key):
    # Guards against a key that raises an exception as the client of the runner
    # is created, since calls carry the id in a header.
    assert wire.decode_runner(key, json.dumps(wires.ENTRY).encode()) is None


@_SETTINGS
@hypothesis.given(
    key=strategies.text(max_size=20),
    field=strategies.sampled_from(sorted(wires.ENTRY)),
    value=_VALUES,
    address=_ADDRESSES,
)
def test_an_entry_is_ignored_or_usable(key, field, value, address):
    # Guards against fields of a type or size that raise an exception later.
    document = {**wires.ENTRY, "Address": address, field: value}
    for changed in ({**wires.ENTRY, field: value}, document):
        entry = wire.decode_runner(key, json.dumps(changed).encode())
        if entry is None:
            continue
        client = runners.RunnerClient(
            decisions.SETTINGS, entry.address, entry.id
        )
        runner = jobs_runners.Runner(
            entry, client, jobs_runners.find_rack(entry.labels)
        )
        runner.record_clock(entry.clock_ms, 1.0)
        assert runner.extend_lease(decisions.SETTINGS, 2.0) < 2**63


_DEEP = b'{"X":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def test_deep_nesting_is_malformed_and_no_exception():
    # Guards against a document whose nesting ends the process: of any runner
    # entry, claim, stored record, submission or reply.
    assert wire.decode_runner("i", _DEEP) is None
    assert wire.decode_configuration(_DEEP) is None
    assert wire.decode_job(_DEEP, "0" * 16, wires.QUEUE, 0).is_err()
    assert ownership.decode_claim(_DEEP, 9) is None
    assert runners.decode_poll_reply(_DEEP).is_err()
    assert runners._read_reason(_DEEP) is interfaces.OrderOutcome.INVALID
    assert store._decode_append(http_client.Reply(200, _DEEP)).is_err()
    owner = passes.make_owner()
    for key in ("j", state.LEARNED_KEY, state.EXPIRIES_KEY):
        recovery._load_progress(owner, key, _DEEP)
    recovery._add_job(owner, "j", _DEEP)
    assert owner.table.jobs == {} == owner.progress


_NAMES = strategies.sampled_from(
    ["other.0.0.0", "other.0.1.0", "other.0.0.-1", "other.0.0." + "9" * 5000]
)
_ROWS = strategies.lists(
    strategies.tuples(
        _NAMES,
        strategies.sampled_from([1, 1, 2, _HUGE]),
        strategies.sampled_from(["", "c", None]),
        strategies.sampled_from([100, 100, -1, 1e308, _HUGE, "nan"]),
        strategies.sampled_from(
            [9, 200, 5e-324, -1, 2**53, 1e308, _HUGE, "nan", None]
        ),
    ),
    max_size=4,
)
_ENDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([1, 2, -1, _HUGE]),
        _NAMES,
        strategies.sampled_from([1, 1, _HUGE]),
        strategies.text(max_size=5),
        strategies.text(max_size=5),
    ),
    max_size=2,
)


def make_runner_with_fills():
    """Makes an owner whose runner has a serving task and a fill task."""
    runner = decisions.make_runner()
    owner = passes.make_owner(runner)
    decisions.place_runs(
        runner,
        owner.table,
        decisions.make_step(long_running=True, target_ms=40.0, image="s"),
        decisions.make_step(fills=True, image="f"),
    )
    return owner, runner


@_SETTINGS
@hypothesis.given(
    clock_ms=strategies.sampled_from([5, 0, -1, 2**53, _HUGE]),
    born_ms=strategies.sampled_from([1, 2, _HUGE]),
    rows=_ROWS,
    ends=_ENDS,
)
def test_a_reply_to_a_poll_is_refused_or_applied(clock_ms, born_ms, rows, ends):
    # Guards against numbers of a runner that raise an exception in the model of
    # the interference, in the paces, in the lease or in the next poll.
    owner, runner = make_runner_with_fills()
    reply = {
        "ClockMs": clock_ms,
        "born": born_ms,
        "Active": rows,
        "Finished": ends,
    }
    for now in (1.0, 1.5, 2.0):
        status = runners.decode_poll_reply(json.dumps(reply).encode())
        if status.is_ok():
            sessions._apply_reply(owner, runner, status.ok_value, now, now)
            runner.extend_lease(owner.settings, now)
            pacing.decide_paces(owner.interference_model, runner, 4.0, now)
            assert runner.last_stored_end < 2**63


_ROW = {
    "occurrence": 0,
    "step": 0,
    "index": 0,
    "result": 0,
    "attempt": 2,
    "failures": 0,
    "checkpoint": "c",
    "runs": [(2, "r")],
}


def load_job(*rows):
    """Loads a job with two tasks and stored rows of its progress."""
    owner = passes.make_owner(decisions.make_runner())
    stored = [list((_ROW | row).values()) for row in rows]
    recovery._load_progress(owner, "j", json.dumps(["", 0, stored]).encode())
    job = model.Job(
        id="j",
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=(decisions.make_step(count=2),),
    )
    recovery._add_job(owner, "j", msgspec.json.encode(job))
    return owner


@pytest.mark.parametrize(
    "row",
    [
        {"index": -1},
        {"index": 2},
        {"step": 1},
        {"occurrence": -1},
        {"attempt": 1},
        {"attempt": -1, "runs": []},
        {"failures": -1},
        {"runs": [(2, "r"), (2, "x")]},
        {"runs": [(-1, "r")]},
    ],
    ids=str,
)
def test_a_contradictory_row_of_progress_is_skipped_and_logged(
    row, monkeypatch
):
    # Guards against a record that ends each owner as it is loaded, or that is
    # applied to another task, and against a job that is lost with the row.
    lines = []
    monkeypatch.setattr(
        recovery.events,
        "log_event",
        lambda event, **fields: lines.append((event.name, fields)),
    )
    owner = load_job(row, {"index": 1})
    assert sorted(owner.table.ready) == ["j.0.0.0"]
    assert len(owner.runners["r"].runs) == 1
    (fields,) = [f for name, f in lines if name == "progress_contradictory"]
    assert fields["job"] == "j"


def test_a_task_that_is_named_twice_is_restored_once():
    # Guards against an attempt that is charged twice and ends once.
    owner = load_job({}, {"attempt": 3, "runs": [(3, "r")]})
    assert [run.attempt for run in owner.runners["r"].runs] == [2]


def test_an_unknown_result_counts_as_open_and_keeps_its_attempts():
    # Guards against progress of a later version that ends each earlier one that
    # loads it, and against a second start beside the attempt that it names.
    owner = load_job({"result": 9})
    (run,) = owner.runners["r"].runs
    assert (run.attempt, run.task.result) == (2, attempts.Result.OPEN)
    assert list(owner.table.ready) == ["j.0.0.1"]


@_SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.fixed_dictionaries(
            {},
            optional={
                **{name: strategies.integers(-2, 4) for name in list(_ROW)[:6]},
                "runs": strategies.lists(
                    strategies.tuples(
                        strategies.integers(-1, 3),
                        strategies.sampled_from(["r", "x", ""]),
                    ),
                    max_size=2,
                ),
            },
        ),
        max_size=3,
    )
)
def test_any_progress_is_loaded_and_stored_again(rows):
    # Guards against rows that raise an exception, and against a task or attempt
    # of which two are made.
    owner = load_job(*rows)
    state = owner.table.jobs["j"]
    again = progress.build_progress(state, 0)
    names = [(row.occurrence, row.step, row.index) for row in again.tasks]
    assert len(set(names)) == len(names)
    assert all(
        run.attempt > 0 for r in owner.runners.values() for run in r.runs
    )


def make_stored_job(**fields):
    job = model.Job(
        id="j",
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=(decisions.make_step(),),
    )
    return msgspec.structs.replace(job, **fields)


@pytest.mark.parametrize(
    "fields",
    [
        {"steps": ()},
        {"steps": (decisions.make_step(depends_on=(1,)),)},
        {"steps": (decisions.make_step(count=10**8),)},
        {"repeat_count": 10**9},
        {"repeat_count": 2, "start_at_ms": _HUGE},
    ],
    ids=lambda fields: str(fields)[:30],
)
def test_a_stored_job_that_cannot_be_run_has_failed(fields, monkeypatch):
    # Guards against a stored job that ends each owner as it is loaded, by an
    # exception or by its memory, and against one that callers lose track of.
    lines = []
    monkeypatch.setattr(
        recovery.events,
        "log_event",
        lambda event, **f: lines.append(event.name),
    )
    owner = passes.make_owner(decisions.make_runner())
    record = msgspec.json.encode(make_stored_job(**fields))
    recovery._add_job(owner, "j", record)
    assert lines == ["job_unservable"]
    assert (owner.table.jobs["j"].ended, owner.table.ready) == ("failed", {})
    assert list(owner.table.changed) == ["j"]


def test_a_job_under_the_key_of_another_is_skipped():
    # Guards against an id that is too long for the key of its progress, which
    # would end each owner as it is stored.
    owner = passes.make_owner()
    record = msgspec.json.encode(make_stored_job(id="x" * 300))
    recovery._add_job(owner, "j", record)
    assert owner.table.jobs == {}


_STEPS = strategies.lists(
    strategies.fixed_dictionaries(
        {"Count": strategies.sampled_from([1, 1, 3, 0, -1, _HUGE])},
        optional={
            **dict.fromkeys(
                ("Cpu", "MemMb", "Gpu", "MaxPerServer", "MaxDisrupted"),
                strategies.sampled_from([0, 1, 500, -1, 2**53, _HUGE]),
            ),
            **dict.fromkeys(
                ("EstimateMs", "TargetMs"),
                strategies.sampled_from([0, 5e-324, 40, -1, 2**53, 1e308]),
            ),
            **dict.fromkeys(
                ("Gang", "SameRack", "LongRunning", "Fills", "Checkpointing"),
                strategies.booleans(),
            ),
            "DependsOn": strategies.lists(
                strategies.integers(-1, 2), max_size=2
            ),
            "RequiredLabel": strategies.sampled_from(["", "\0", "x" * 9999]),
            "Image": strategies.text(max_size=3),
        },
    ),
    max_size=3,
)


@_SETTINGS
@hypothesis.given(
    steps=_STEPS,
    repeat_count=strategies.sampled_from([0, 0, 2, -1, _HUGE]),
    start_at_ms=strategies.sampled_from([0, 5, -1, 2**53, _HUGE]),
)
def test_a_submission_is_refused_or_scheduled(steps, repeat_count, start_at_ms):
    # Guards against a job that is accepted and then ends each owner: an amount
    # or a time that raises an exception, or a dependency on no step.
    body = {
        "Steps": steps,
        "RepeatCount": repeat_count,
        "StartAtMs": start_at_ms,
    }
    job = wire.decode_job(json.dumps(body).encode(), "j", wires.QUEUE, 5)
    if job.is_err():
        return
    owner = passes.make_owner(decisions.make_runner())
    recovery._add_job(owner, "j", msgspec.json.encode(job.ok_value))
    state = owner.table.jobs["j"]
    for _ in range(3):
        scheduling.place_ready_tasks(owner, 2.0**60)
        for run in list(owner.runners["r"].runs):
            owner.runners["r"].charge(run, -1)
            owner.table.end_run(run, "done", "", 2.0**60, 9)
    msgspec.json.encode(progress.take_changed(state))


@pytest.mark.parametrize(
    ("text", "deadline_s"),
    [
        ("2500", 2.5),
        ("", 3.0),
        ("-1", 3.0),
        ("1e9", 3.0),
        ("\u00b2", 3.0),
        ("99999999", 60.0),
        ("9" * 400, 60.0),
        ("9" * 5000, 60.0),
    ],
    ids=lambda value: str(value)[:12],
)
def test_any_deadline_of_a_caller_is_read(text, deadline_s):
    # Guards against a request that is answered 500 because of its deadline, or
    # that is held for as long as it asks.
    assert ingress._read_deadline(text) == deadline_s


@pytest.mark.parametrize(
    "change",
    [
        {"Version": _HUGE},
        {"Routes": [{"Attempts": _HUGE}]},
        {"Routes": [{"Priority": _HUGE}]},
    ],
    ids=lambda change: str(change)[:30],
)
def test_a_configuration_with_numbers_out_of_range_is_ignored(change):
    # Guards against a version that no metric and no message to a peer can hold:
    # each process that reads it would end.
    route = {"Name": "q", "Host": "h", "PathPrefix": "/q/"}
    document = {"Version": 1, "Routes": [{}]} | change
    document["Routes"] = [route | fields for fields in document["Routes"]]
    content = json.dumps(document).encode()
    assert wire.decode_configuration(content) is None
