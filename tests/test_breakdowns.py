"""Tests of splitting the time of a job into what it was spent on."""

import pytest
import typer.testing

from plantainvane import breakdowns
from plantainvane import commands
from plantainvane import events
from plantainvane import traces
from tests import test_traces

JOB = "2b2732516fc068a9"


def make_log():
    def order(task, at, waited_ms, attempt=1):
        return test_traces.make_log_line(
            events.TASK_ORDERED,
            at,
            task=f"{JOB}.{task}",
            attempt=attempt,
            waited_ms=waited_ms,
            took_ms=20,
        )

    def end(task, at, how, ran_ms, paced_ms=0, slowed_for=""):
        return test_traces.make_log_line(
            events.TASK_ENDED,
            at,
            task=f"{JOB}.{task}",
            how=how,
            ran_ms=ran_ms,
            paced_ms=paced_ms,
            slowed_for=slowed_for,
        )

    stop = test_traces.make_log_line(
        events.TASK_STOPPED,
        101.4,
        task=f"{JOB}.0.0.1",
        reason="moved to a runner with less interference",
    )
    quick = [
        line
        for index in range(2, 20)
        for line in (
            order(f"0.0.{index}", 100.0, 5),
            end(f"0.0.{index}", 102.0, "done", 2000),
        )
    ]
    slow = [
        order("0.0.1", 100.0, 5),
        stop,
        end("0.0.1", 101.5, "stopped", 1500, 900, "web"),
        order("0.0.1", 102.0, 450, 2),
        end("0.0.1", 106.0, "done", 4000, 1500, "api"),
    ]
    other = test_traces.make_log_line(
        events.TASK_ENDED, 200.0, task=f"{JOB}9.0.0.1", how="done", ran_ms=9
    )
    return [*quick, *slow, other, "not a log line"]


def test_time_of_the_last_task_is_split_by_cause():
    # Guards against a late job whose time cannot be told apart into waiting,
    # pacing and restarts.
    (found,) = breakdowns.split_job(
        traces.parse_lines(make_log(), "a.log"), JOB
    )
    assert found.task == f"{JOB}.0.0.1"
    assert found.attempts == 2
    assert found.waited_s == pytest.approx(0.455)
    assert found.restarted_s == pytest.approx(1.5)
    assert found.reasons == ("moved to a runner with less interference",)
    assert (found.paced_s, found.slowed_for) == (pytest.approx(1.5), "api")
    assert found.worked_s == pytest.approx(2.5)
    assert found.trailing_s == pytest.approx(4.0)


def test_split_command_reads_log_files(tmp_path):
    # Guards against a command that fails on the output of earlier releases,
    # which has none of the newer fields.
    old = test_traces.make_log_line(
        events.TASK_ENDED, 1.0, task=f"{JOB}.0.0.0", how="done", ran_ms=None
    )
    path = tmp_path / "a.log"
    path.write_text("\n".join([*make_log(), old]))
    runner = typer.testing.CliRunner()
    result = runner.invoke(commands.app, ["split", JOB, str(path)])
    assert result.exit_code == 0
    assert "restarted=1.500 (moved to a runner" in result.output
    result = runner.invoke(commands.app, ["split", "unknown", str(path)])
    assert result.exit_code == 1
    result = runner.invoke(commands.app, ["split", JOB, str(tmp_path / "no")])
    assert result.exit_code == 2
