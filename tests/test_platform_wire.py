"""Decoding of the platform's formats: valid, malformed, unknown fields."""

import json
import pathlib
import tomllib

import msgspec
import pytest

from plantainvane.jobs import checks
from plantainvane.jobs import model
from plantainvane.jobs import progress
from plantainvane.jobs import table
from plantainvane.platform import node
from plantainvane.platform import runners
from plantainvane.platform import store
from plantainvane.platform import wire

QUEUE = model.Queue("q", "h", "/q/", "s")
# Largest record that the platform's log takes.
MAX_RECORD_BYTES = 262_144
ENTRY = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "z",
    "State": "ready",
    "born": 7,
    "ClockMs": 5,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "Unknown": [1],
}
NODE = """
NodeName = "frontend-a-1"
Ip = "10.1.0.13"
Zone = "a"
Seeds = ["10.1.0.13:8166"]
New = 1
[Listen]
Frontend = "10.1.0.13:8161"
Readiness = "10.1.0.13:8167"
ControlPlane = "10.1.0.13:8166"
[Bounds]
MaxHoldMs = 3000
GracePeriodS = 6
CrossRackFactor = 1.5
[platform]
Address = "10.200.1.7:8169"
"""


def test_runner_entry_decodes():
    # Guards against capacity or labels that are read from the wrong field.
    entry = wire.decode_runner("i-1", json.dumps(ENTRY).encode())
    assert entry.capacity == model.Amounts(16000, 32768, 0)
    assert (entry.born_ms, entry.draining) == (7, False)
    assert entry.labels == ("a", "r1-3")


@pytest.mark.parametrize(
    "change",
    [
        {"State": "gone"},
        {"Address": 5},
        {"Address": "nowhere"},
        {"born": "yesterday"},
        {"Capacity": None},
        {"Service": None},
    ],
    ids=str,
)
def test_malformed_entry_is_ignored(change):
    # Guards against malformed entries that other software has written.
    assert wire.decode_runner("i", json.dumps(ENTRY | change).encode()) is None


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b"7"])
def test_undecodable_bytes_are_ignored(value):
    # Guards against undecodable records that crash the process reading a topic.
    assert wire.decode_runner("i", value) is None
    assert wire.decode_configuration(value) is None


def test_submission_decodes():
    # Guards against fields of a step that are lost in decoding.
    body = {
        "Spec": "text",
        "RepeatCount": 2,
        "StartAtMs": 9,
        "IntervalMs": 4,
        "Steps": [
            {"Count": 4, "Cpu": 500, "MemMb": 256, "Affinity": "r1-3"},
            {
                "Count": 2,
                "DependsOn": [0],
                "Gang": True,
                "MaxPerServer": 1,
                "Fills": True,
                "Image": "i",
                "TargetMs": 18,
                "MaxDisrupted": 1,
            },
        ],
    }
    job = wire.decode_job(json.dumps(body).encode(), "id", QUEUE, 3).ok_value
    first, second = job.steps
    assert first.amounts == model.Amounts(500, 256, 0)
    assert first.preferred_rack == "r1-3"
    assert (second.depends_on, second.gang, second.fills) == ((0,), True, True)
    assert (second.max_per_runner, second.max_unavailable) == (1, 1)
    assert (job.repeat_count, job.start_at_ms, job.interval_ms) == (2, 9, 4)


@pytest.mark.parametrize(
    ("body", "fault"),
    [
        (b"{", "truncated"),
        (b'{"Steps":[]}', "there are no steps"),
        (b'{"Steps":[{"Count":0}]}', "step 0: the number of tasks is below 1"),
        (b'{"Steps":[{"Count":"x"}]}', "Expected `int`"),
        (b'{"Steps":[{"Count":1,"Cpu":-1}]}', "negative"),
        (b'{"Steps":[{"Count":1,"DependsOn":[0]}]}', "no earlier step"),
        (b'{"Steps":[{"Count":1000000}]}', "exceed"),
        (b'{"Steps":[{"Count":9}],"RepeatCount":9999}', "exceed"),
        (b'{"Steps":[{"Count":1}],"RepeatCount":-1}', "negative"),
        (b'{"Steps":[{"Count":1}],"IntervalMs":-1}', "negative"),
        (b'{"Steps":[{"Count":1,"MaxPerServer":-1}]}', "negative"),
        (b'{"Steps":[{"Count":1,"TargetMs":-1}]}', "negative"),
        (b'{"Steps":[{"Count":1,"EstimateMs":1e300}]}', "too large"),
        (b'{"Steps":[{"Count":1,"Cpu":1' + b"0" * 400 + b"}]}", "too large"),
        (b'{"Steps":[{"Count":1,"Image":"' + b"i" * 1001 + b'"}]}', "name"),
        (b'{"Spec":"' + b"x" * 4001 + b'","Steps":[{"Count":1}]}', "4000"),
    ],
)
def test_invalid_submission_is_refused_with_the_reason(body, fault):
    # Guards against a stored job that can never be decoded.
    assert fault in wire.decode_job(body, "id", QUEUE, 0).err_value


def test_longest_prefix_selects_the_queue():
    # Guards against a job that runs with another queue's parameters.
    short = model.Queue("short", "h", "/a/", "s")
    long = model.Queue("long", "h", "/a/b/", "s")
    configuration = model.Configuration(1, (short, long))
    assert model.find_queue_by_path(configuration, "h", "/a/b/x") is long
    assert model.find_queue_by_path(configuration, "h", "/a/x") is short
    assert model.find_queue_by_path(configuration, "other", "/a/x") is None


def test_records_round_trip():
    # Guards against keys or values that are truncated or shifted.
    records = [("k", b"value"), ("other", None), ("", b"x" * 300)]
    content = b"\0" * 7 + b"\x09" + b"\0" * 8 + store.encode_records(records)
    page = store.decode_records(content, 6)
    assert [(key, value) for _, key, value in page.records] == records
    assert (page.next_offset, page.end_offset) == (9, 9)


def test_truncated_record_is_an_error():
    # Guards against a truncated record that is taken for a complete one.
    content = b"\0" * 16 + store.encode_records([("k", b"value")])[:-1]
    with pytest.raises(ValueError, match="last record is truncated"):
        store.decode_records(content, 0)


def test_poll_reply_decodes_rows_with_and_without_a_measurement():
    # Guards against failures on deployments whose rows have four entries.
    reply = runners.decode_poll_reply(
        b'{"ClockMs":5,"born":7,"Active":[["t",2,"c",41],["u",1,"",100,9]],'
        b'"Finished":[[58,"t",1,"done",""]]}'
    ).ok_value
    assert [r.measurement for r in reply.running] == [0.0, 9.0]
    assert reply.ends[0] == model.AttemptEnd(58, "t", 1, "done", "")


@pytest.mark.parametrize(("ends", "is_whole"), [(499, True), (500, False)])
def test_poll_reply_with_as_many_ends_as_one_lists_may_leave_some_out(
    ends, is_whole
):
    # Guards against a list that the runner cut off and that counts as whole.
    rows = ",".join(f'[{n},"t{n}",1,"done",""]' for n in range(1, ends + 1))
    content = f'{{"ClockMs":5,"born":7,"Finished":[{rows}]}}'
    reply = runners.decode_poll_reply(content.encode()).ok_value
    assert reply.lists_all_ends is is_whole


def test_settings_file_decodes_and_unknown_fields_are_ignored():
    # Guards against a newer platform whose extra fields stop the process.
    settings = node.decode_settings(NODE).ok_value
    assert settings.lease_s == 3.0
    assert settings.peer_address == "10.1.0.13:8166"
    # The port has to match deploy/system.toml.
    deploy = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
    role = tomllib.loads(deploy.read_text())["roles"]["entry"]
    port = role["metrics"].partition("/")[0]
    assert settings.metrics_address == f"10.1.0.13:{port}"


def test_capacity_is_the_share_of_all_cores():
    # Guards against processes of different strength that look alike, and
    # against a settings file without limits that stops the process.
    limits = "\n[Limits]\nCpuShare = 0.5\nCores = 3\nMemoryMb = 300\n"
    assert node.decode_settings(NODE + limits).ok_value.capacity == 1.5
    assert node.decode_settings(NODE).ok_value.capacity == 1.0


@pytest.mark.parametrize("text", ["", "x =", 'NodeName = "a"', "Ip = 5"])
def test_unusable_settings_are_refused_with_the_reason(text):
    # Guards against a process that starts with incomplete settings.
    assert node.decode_settings(text).err_value


def test_progress_of_the_largest_job_fits_the_log():
    # Guards against a job whose progress the log refuses: the append is tried
    # for ever, and no progress of any job is stored, by this owner or the next.
    largest = checks.MAX_TASKS
    for count, accepted in ((largest, True), (largest + 1, False)):
        body = json.dumps({"Steps": [{"Count": count}]}).encode()
        assert wire.decode_job(body, "f" * 16, QUEUE, 0).is_ok() is accepted
    body = json.dumps(
        {"Steps": [{"Count": 1, "Checkpointing": True}], "RepeatCount": largest}
    ).encode()
    job = wire.decode_job(body, "f" * 16, QUEUE, 0).ok_value
    job_table = table.JobTable()
    state = job_table.add_job(job, QUEUE, None, 0.0, 0)
    for task in list(job_table.tasks.values()):
        task.attempt, task.failures, task.checkpoint = 999, 99, "f" * 16
        job_table.begin_run(task, "i-ffffffffffff", 0.0)
    sizes = [
        len(msgspec.json.encode(part))
        for _, part in progress.take_changed(state)
    ]
    assert max(sizes) <= MAX_RECORD_BYTES
