"""The lines of a request, and those that explain them."""

import msgspec
import typer.testing

from plantainvane import commands
from plantainvane import events
from plantainvane import traces

ID = "2b2732516fc068a9"


def make_log_line(event, at, prefix="", **fields):
    body = {
        "message_type": f"plantainvane:{event.number}:{event.name}",
        "timestamp": at,
        "level": event.level.value,
        **fields,
    }
    return prefix + msgspec.json.encode(body).decode()


LOG_LINES = [
    make_log_line(
        events.STORE_LOST, 99.5, "  1.5 entry-1 ", detail="status 503"
    ),
    make_log_line(events.STORE_LOST, 40.0, detail="an earlier outage"),
    make_log_line(events.JOB_REFUSED, 100.0, job=ID, reason="log unreachable"),
    make_log_line(events.JOB_REFUSED, 100.1, job="another", reason="deadline"),
    make_log_line(events.TASK_ORDERED, 101.0, task=f"{ID}.0.0.1", runner="i-1"),
    make_log_line(events.RUNNER_SILENT, 103.0, runner="i-1", failure="lost"),
    make_log_line(events.RUNNER_SILENT, 103.0, runner="i-2", failure="lost"),
    make_log_line(events.TASK_LOST, 108.0, task=f"{ID}.0.0.1", runner="i-1"),
    make_log_line(
        events.TASK_ORDERED, 101.0, task=f"{ID}9.0.0.1", runner="i-2"
    ),
    "Traceback (most recent call last):",
    '{"unrelated": true}',
    "[1, 2]",
]


def test_trace_has_lines_of_the_request_and_its_context():
    # Guards against a cause that is left out, and against lines of other
    # requests, runners and times that hide it.
    lines = traces.parse_lines(LOG_LINES, "a.log")
    found = traces.trace_request(lines, ID)
    assert [(line.number, line.subject or line.fields) for line in found] == [
        (841, {"detail": "status 503"}),
        (802, ID),
        (811, f"{ID}.0.0.1"),
        (825, {"runner": "i-1", "failure": "lost"}),
        (814, f"{ID}.0.0.1"),
    ]
    assert [line.source for line in found[:2]] == ["1.5 entry-1", "a.log"]


def test_command_prints_times_after_the_first_line(tmp_path):
    # Guards against output from which the order of events cannot be read.
    path = tmp_path / "a.log"
    path.write_text("\n".join(LOG_LINES))
    run = typer.testing.CliRunner().invoke(
        commands.app, ["trace", ID, str(path)]
    )
    assert run.exit_code == 0
    assert run.output.splitlines()[1] == (
        f"   +0.500 a.log 802:job_refused {ID} reason=log unreachable"
    )


def test_command_reports_a_request_that_is_not_found(tmp_path):
    # Guards against an empty answer that is read as "nothing went wrong".
    path = tmp_path / "a.log"
    path.write_text(LOG_LINES[0])
    runner = typer.testing.CliRunner()
    run = runner.invoke(commands.app, ["trace", ID, str(path)])
    assert (run.exit_code, run.output) == (1, f"no line of {ID} in 1 lines\n")
    run = runner.invoke(commands.app, ["trace", ID, str(tmp_path / "none")])
    assert run.exit_code == 2
