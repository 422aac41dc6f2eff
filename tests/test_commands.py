"""Whole sessions of the command line against one entry process."""

import functools
import json
import pathlib
from typing import Any

import anyio
import pytest
import result
import typer.testing

from plantainvane import asgi
from plantainvane import callers
from plantainvane import commands
from plantainvane import outcomes
from standins import serving
from tests import log_server
from tests import test_operators

pytestmark = pytest.mark.anyio

LIMITS = test_operators.LIMITS
QUOTA = test_operators.QUOTA
WEEKLY = test_operators.WEEKLY
TASK = {"task": "week-50", "batch_class": "weekly", "work": {"steps": 3}}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Session:
    """Runs commands and notes what they print.

    Rules: addresses of processes read OPERATORS and CALLERS, the directory of
    the files reads DIRECTORY.
    """

    def __init__(self, directory: pathlib.Path, addresses: dict[str, str]):
        self.directory = directory
        self.replacements = {str(directory): "DIRECTORY"}
        for name, address in addresses.items():
            self.replacements[address] = name
        self.environment = {
            f"PLANTAINVANE_{name}": address
            for name, address in addresses.items()
        }
        self.lines: list[str] = []

    def write(self, name: str, value: Any) -> str:
        """Writes a JSON file and returns its path."""
        path = self.directory / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)

    async def run(self, *arguments: str) -> int:
        """Runs one command in a thread; returns its exit status."""
        finished = await anyio.to_thread.run_sync(
            functools.partial(
                typer.testing.CliRunner().invoke,
                commands.app,
                arguments,
                env=self.environment,
            )
        )
        text = f"$ plantainvane {' '.join(arguments)}\n{finished.output}"
        for value, name in self.replacements.items():
            text = text.replace(value, name)
        self.lines.append(f"{text}exit status {finished.exit_code}\n")
        return finished.exit_code


async def refuse_cancel(task: str) -> Any:
    return result.Err(
        outcomes.CallError(outcomes.CallFailure.REFUSED, "no such task")
    )


async def submit(task: callers.TaskRequest) -> Any:
    return result.Ok(task.task)


async def find(task: str) -> Any:
    return {"task": task, "state": "pending"} if task == "week-50" else None


async def serve(
    handle: asgi.Handler, address: str, stopped: anyio.Event
) -> None:
    application = asgi.make_application(handle, 1_000_000)
    await serving.serve_until(application, address, stopped)


async def test_session(snapshot, tmp_path):
    """Guards against commands that end with the wrong status or reason."""
    free = serving.find_free_addresses("127.0.0.1", 2)
    addresses = dict(zip(("OPERATORS", "CALLERS"), free, strict=True))
    session = Session(tmp_path, addresses)
    local = log_server.make_local_log()
    tasks = callers.TaskCallbacks(submit, find, refuse_cancel)
    callers_handler = callers.make_handler(
        local.settings, None, tasks, lambda: True
    )
    stopped = anyio.Event()
    with anyio.fail_after(60):
        async with (
            test_operators.run_process(local, "entry-a", []) as process,
            anyio.create_task_group() as group,
        ):
            group.start_soon(
                serve, process.handle, addresses["OPERATORS"], stopped
            )
            group.start_soon(
                serve, callers_handler, addresses["CALLERS"], stopped
            )
            await log_server.wait_listening(*addresses.values())
            await run_commands(session)
            stopped.set()
    assert "\n".join(session.lines) == snapshot


async def run_commands(session: Session) -> None:
    run = session.run
    all_documents = session.write("all.json", [LIMITS, QUOTA, WEEKLY])
    bad = session.write(
        "bad.json", [QUOTA | {"limit": {"processors": -1}}, {"kind": "x"}]
    )
    large = session.write("large.json", WEEKLY | {"size": {"processors": 13}})
    quota = QUOTA | {"limit": {"processors": 30, "memory_bytes": 10**9}}
    wrapped = {"document": quota, "base_revision": 1}
    grown = session.write("grown.json", wrapped)
    conflicting = session.write(
        "late.json", quota | {"limit": {"processors": 9}}
    )
    task = session.write("task.json", TASK)
    author_option = ("--author", "oyun")
    assert await run("check", all_documents) == 0
    assert await run("check", bad) == 2
    assert await run("check", session.write("text.json", "{")) == 2
    assert await run("check", str(session.directory / "none.json")) == 2
    assert await run("check", large, "--address", "nowhere") == 2
    assert await run("check", large) == 0
    assert await run("publish", large, *author_option) == 1
    assert await run("publish", all_documents, *author_option) == 0
    assert await run("publish", all_documents, *author_option) == 0
    assert await run("check", large, "--operators", addresses(session)) == 1
    assert await run("diff", grown) == 0
    assert await run("publish", grown, *author_option) == 0
    assert (
        await run("publish", conflicting, "--base", "1", "--author", "bat") == 1
    )
    assert await run("publish", all_documents, "--base", "1") == 2
    several = session.write("several.json", [LIMITS, wrapped | {}, quota])
    assert await run("publish", several) == 2
    stale = [wrapped | {"document": QUOTA}, WEEKLY | {"priority": "normal"}]
    assert await run("publish", session.write("stale.json", stale)) == 1
    assert await run("delete", "quota", "outlooks", "--base", "2") == 1
    weekly = ("delete", "batch_class", "weekly", "--base", "1")
    assert await run(*weekly, *author_option) == 0
    assert await run("history") == 0
    deleted = ("--kind", "batch_class", "--name", "weekly", "--json")
    assert await run("history", *deleted) == 0
    assert await run("versions") == 0
    assert await run("dump", addresses(session)) == 0
    assert await run("submit", task) == 0
    assert await run("submit", session.write("t.json", [{}])) == 2
    assert await run("task", "week-50") == 0
    assert await run("task", "week-51") == 1
    assert await run("cancel", "week-51") == 1
    assert await run("entry", "--settings", session.write("e", {})) == 2
    free = serving.find_free_address()
    session.replacements[free] = "UNUSED"
    assert await run("history", "--address", free) == 1


def addresses(session: Session) -> str:
    return session.environment["PLANTAINVANE_OPERATORS"]
