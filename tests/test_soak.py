"""A short soak with a fixed seed; `plantainvane soak` does longer ones."""

import copy
import json
import subprocess
import sys
import time

import anyio
import msgspec
import psutil
import pytest
import typer.testing

from plantainvane import commands
from standins import launcher
from standins import soak
from standins import soak_audit
from standins import soak_faults
from standins import soak_observations as observations_module
from standins import soak_session

# Its faults are ends of processes by each signal, and lives of runners.
SEED = 12
MINUTES = 0.25
PROCESSES = 6
# For steps whose time is not tested.
LIMIT_S = 30.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
def directory(tmp_path_factory):
    return tmp_path_factory.mktemp("soak")


@pytest.fixture
def kept(soaked, directory):
    """Returns the observations that the soak has written."""
    content = (directory / soak.OBSERVATIONS_FILE).read_bytes()
    return msgspec.json.decode(content, type=observations_module.Observations)


@pytest.fixture(scope="module")
def soaked(directory):
    """Returns the report and the observations of one soak."""
    return anyio.run(soak.run_soak, SEED, MINUTES, PROCESSES, directory)


@pytest.fixture
def seen(soaked):
    """Returns observations that a test may change."""
    return copy.deepcopy(soaked[1])


def test_what_was_seen_is_kept(soaked, kept):
    # Guards against a finding that nobody can look into afterwards.
    assert kept == soaked[1]


def test_short_soak_breaks_no_rule(soaked):
    # Guards against errors that appear only when real processes fail.
    report, _ = soaked
    lines = "\n".join(soak.describe_report(report))
    assert report.findings == [], lines
    # Without these checks, a run without faults or load would pass as well.
    assert sum(report.faults.values()) > 10, lines
    assert report.load["jobs"]["ended"] > 30, lines
    assert report.load["requests"]["probe"]["400"] > 200, lines
    assert {
        "process.SIGTERM",
        "process.SIGKILL",
        "runner.lives",
    } <= report.faults.keys()


def test_orders_are_seen_before_their_starts(seen):
    # Guards against an auditor that cannot tell when a start was ordered.
    ordered, unseen = set(), []
    for event in seen.runner_events:
        run = (event.runner, event.task, event.attempt)
        if event.kind == "ordered":
            ordered.add(run)
        elif event.kind == "start" and run not in ordered:
            unseen.append(run)
    assert ordered
    assert unseen == []


def find_event(seen, kind, how=""):
    return next(
        event
        for event in seen.runner_events
        if (event.kind, event.how) == (kind, how)
    )


def add_run(seen, event, at, runner, attempt=1, kinds=("start", "end")):
    """Adds a short run of the task of `event`, or only its end."""
    for number, kind in enumerate(kinds):
        how = "stopped" if kind == "end" else ""
        seen.runner_events.append(
            observations_module.RunnerEvent(
                at + number / 1000, runner, kind, event.task, attempt, how
            )
        )
    seen.runner_events.sort(key=lambda event: event.at)


def forget_completion(seen):
    job = next(e.what for e in seen.exchanges if e.state == "completed")
    seen.exchanges = [
        e for e in seen.exchanges if (e.what, e.kind) != (job, "state")
    ]


def run_beside(seen):
    event = find_event(seen, "start")
    add_run(seen, event, event.at + 0.001, "i-999")


def run_after_done(seen):
    event = find_event(seen, "noted", "done")
    add_run(seen, event, event.at + 0.001, "i-999")


def cut_in_drain(seen):
    # The processes end one after the other, long after the last fault.
    exits = [e for e in seen.process_events if e.kind == "exited"]
    request = next(e for e in seen.exchanges if e.kind == "state")
    last = copy.copy(request)
    last.process, last.life = exits[-1].process, exits[-1].life
    last.status, last.state, last.cut = 0, "", True
    last.sent, last.ended = exits[-1].at - 0.3, exits[-1].at
    seen.exchanges.append(last)


def start_cancelled(seen):
    cancel = next(
        e for e in seen.exchanges if (e.kind, e.status) == ("cancel", 200)
    )
    event = copy.copy(find_event(seen, "start"))
    event.task = f"{cancel.what}.0.0.9"
    add_run(seen, event, cancel.ended + 3.1, "i-999")


def end_lasting_in_calm(seen):
    cancelled = {e.what for e in seen.exchanges if e.kind == "cancel"}
    accepted = {
        e.what
        for e in seen.exchanges
        if (e.kind, e.status) == ("submit", 200) and e.ended < seen.calm_from
    }
    job = next(
        job.id
        for job in seen.jobs
        if job.lasts and job.id in accepted - cancelled
    )
    seen.runner_events = [
        e
        for e in seen.runner_events
        if e.at < seen.calm_from or not e.task.startswith(job)
    ]
    task = f"{job}.0.0.0"
    run = next(e for e in reversed(seen.runner_events) if e.task == task)
    if run.kind == "start":
        add_run(
            seen, run, seen.calm_from, run.runner, run.attempt, kinds=["end"]
        )


def apply_late(seen):
    newest = seen.configurations[-1]
    probe = next(e for e in reversed(seen.exchanges) if e.kind == "probe")
    late = copy.copy(probe)
    late.what, late.status, late.cut = str(newest.version), 404, False
    late.process, late.life = "entry-99", 1
    late.sent = max(newest.acknowledged, seen.calm_from) + 4.0
    late.ended = late.sent + 0.01
    seen.exchanges.append(late)


def end_by_itself(seen):
    event = next(e for e in seen.process_events if e.kind == "started")
    ended = copy.copy(event)
    ended.kind, ended.status, ended.at = "exited", 1, event.at + 0.1
    seen.process_events.insert(seen.process_events.index(event) + 1, ended)


def leak_descriptors(seen):
    seen.samples[-1].descriptors = 5000


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (forget_completion, "lost"),
        (run_beside, "twice"),
        (run_after_done, "twice"),
        (cut_in_drain, "cut"),
        (start_cancelled, "cancelled"),
        (end_lasting_in_calm, "waits"),
        (apply_late, "configuration"),
        (end_by_itself, "ended"),
        (leak_descriptors, "growth"),
    ],
)
def test_change_of_what_was_seen_is_reported(change, rule, seen):
    # Guards against a soak that records too little for the auditor to see.
    before = soak_audit.count_findings(soak_audit.find_faults(seen))
    change(seen)
    after = soak_audit.count_findings(soak_audit.find_faults(seen))
    assert after[rule] > before[rule]
    others = {name for name in after if after[name] > before[name]}
    assert others == {rule}


def test_command_prints_and_writes_its_report(soaked, monkeypatch, tmp_path):
    # Guards against a broken rule that the exit status does not show, and
    # against a report that names no seed.
    report, _ = soaked
    asked = []

    async def run_soak(*arguments):
        asked.append(arguments[:3])
        finding = soak_audit.Finding("twice", report.began + 1.0, "beside")
        changed = copy.copy(report)
        changed.findings = [finding]
        changed.counts = soak_audit.count_findings([finding])
        return changed, None

    monkeypatch.setattr(soak, "run_soak", run_soak)
    path = tmp_path / "report.json"
    arguments = ["soak", "--seed", str(SEED), "--minutes", "0.5"]
    finished = typer.testing.CliRunner().invoke(
        commands.app, [*arguments, "--processes", "7", "--report", str(path)]
    )
    assert finished.exit_code == 1, finished.output
    assert asked == [(SEED, 0.5, 7)]
    assert f"seed {SEED}:" in finished.output
    assert "BROKEN, 1 times" in finished.output
    written = json.loads(path.read_text())
    assert written["seed"] == SEED
    assert written["findings"][0]["text"] == "beside"


async def fail(*arguments):
    raise OSError(9, "Bad file descriptor")


def fail_in_a_fault(patch):
    patch.setitem(soak._ACTIONS, "process", fail)


def fail_in_a_server(patch):
    def start_clients(load, seed):
        load.session.servers.start_soon(fail)

    patch.setattr(soak, "_start_clients", start_clients)


def fail_in_the_auditor(patch):
    def find_faults(seen):
        raise OSError(9, "Bad file descriptor")

    patch.setattr(soak_audit, "find_faults", find_faults)
    patch.setattr(soak, "_CALM_S", 0.1)
    patch.setattr(soak, "_FINISH_S", 0.1)


@pytest.mark.parametrize(
    "change", [fail_in_a_fault, fail_in_a_server, fail_in_the_auditor]
)
def test_error_of_the_soak_itself_is_told_and_all_before_it_is_reported(
    change, monkeypatch, tmp_path, caplog
):
    # Guards against a soak that ends in tracebacks, without a report, or with
    # the exit status of a broken rule.
    change(monkeypatch)
    path = tmp_path / "report.json"
    arguments = ["--seed", str(SEED), "--minutes", "0.05"]
    arguments += ["--directory", str(tmp_path), "--report", str(path)]
    finished = typer.testing.CliRunner().invoke(
        commands.app, ["soak", *arguments]
    )
    assert finished.exit_code == 2, finished.output
    lines = finished.output.splitlines()
    assert "failed: OSError: [Errno 9] Bad file descriptor (" in lines[0]
    written = msgspec.json.decode(path.read_bytes(), type=soak.Report)
    assert lines == soak.describe_report(written)
    # Nothing is said of the end, which no job has seen.
    assert written.findings == []
    assert written.most_descriptors > 0
    assert (tmp_path / soak.OBSERVATIONS_FILE).exists()
    assert [r for r in caplog.records if r.levelname == "ERROR"] == []
    assert psutil.Process().children() == []


def test_directory_that_cannot_be_made_is_told_in_one_line(tmp_path):
    # Guards against a traceback in place of the cause.
    (tmp_path / "file").touch()
    finished = typer.testing.CliRunner().invoke(
        commands.app, ["soak", "--directory", str(tmp_path / "file" / "soak")]
    )
    assert finished.exit_code == 2
    (line,) = finished.output.splitlines()
    assert line.startswith("the soak itself failed: [Errno 20]")


def test_wrong_usage_starts_nothing_and_shows_the_usage():
    # Guards against wrong usage that looks like an error of the soak itself.
    finished = typer.testing.CliRunner().invoke(
        commands.app, ["soak", "--processes", "5"]
    )
    assert finished.exit_code == 2
    assert finished.output.startswith("Usage: ")


@pytest.mark.anyio
async def test_faults_at_the_same_time_are_brought_about(monkeypatch):
    # Guards against a soak that fails when a fault is due before the last one
    # has been started.
    brought = []

    async def bring(course, fault):
        brought.append(fault)

    monkeypatch.setattr(soak, "_bring_fault", bring)
    fault = soak_faults.Fault(0.0, "process", "SIGHUP", 0.0, 0.0, 1)
    async with anyio.create_task_group() as group:
        session = soak_session.Session(group, group, None, "", None)
        await soak._bring_faults(soak._Course(session), [fault] * 3)
    assert brought == [fault] * 3


def test_interrupted_soak_leaves_no_process(tmp_path):
    # Guards against entry processes that nobody ends any more.
    arguments = ["--processes", str(PROCESSES), "--directory", str(tmp_path)]
    process = psutil.Popen(
        [sys.executable, "-m", "standins.soak", *arguments],
        cwd=launcher.ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    until = time.monotonic() + LIMIT_S
    while len(children := process.children()) < PROCESSES:
        assert process.poll() is None and time.monotonic() < until
        time.sleep(0.05)
    process.terminate()
    status = process.wait(LIMIT_S)
    _, alive = psutil.wait_procs(children, timeout=LIMIT_S)
    for child in alive:
        child.kill()
    assert (status, alive) == (1, [])
