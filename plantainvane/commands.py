"""The command line.

Exit status: 0 for success; 1 when a process refused the request or did not
reply, or when `trace` finds no line; 2 for wrong usage or an invalid file.
"""

import pathlib
from typing import Annotated
import urllib.parse

import anyio
import msgspec
import typer

from plantainvane import breakdowns
from plantainvane import callers
from plantainvane import documents
from plantainvane import files
from plantainvane import schemas as schemas_module
from plantainvane import settings as settings_module
from plantainvane import signals
from plantainvane import terminal
from plantainvane import traces

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


def _parse_address(address: str) -> str:
    if not settings_module.is_address(address):
        raise typer.BadParameter(f"{address!r} is not of the form ip:port")
    return address


File = Annotated[
    pathlib.Path,
    typer.Argument(help="JSON file with one document or a list of them."),
]
OperatorsAddress = Annotated[
    str,
    typer.Option(
        "--address",
        "--operators",
        envvar="PLANTAINVANE_OPERATORS",
        callback=_parse_address,
        help="ip:port at which an entry process serves operators.",
    ),
]
CallersAddress = Annotated[
    str,
    typer.Option(
        "--address",
        "--callers",
        envvar="PLANTAINVANE_CALLERS",
        callback=_parse_address,
        help="ip:port at which an entry process serves callers.",
    ),
]
BaseRevision = Annotated[
    int | None,
    typer.Option(min=0, help="Revision that the change is based on."),
]
Author = Annotated[str, typer.Option(help="Name shown in the history.")]


def run(received: signals.Receiver | None = None) -> None:
    """Runs the command line; `received` are the signals of a daemon."""
    app(obj=received)


@app.command()
def entry(
    context: typer.Context,
    settings: Annotated[pathlib.Path, typer.Option(help="JSON settings file.")],
) -> None:
    """Runs an entry process until SIGTERM or SIGINT."""
    loaded = settings_module.load_settings(settings)
    if loaded.is_err():
        terminal.exit_with_faults(settings, loaded.err_value)
    received = context.obj or signals.install()
    # Imported here so that the other commands do not load the modules of the
    # entry process.
    from plantainvane import entry as entry_module

    anyio.run(entry_module.run_entry, loaded.ok_value, received)
    signals.ignore()


@app.command()
def check(
    file: File,
    address: Annotated[
        str | None,
        typer.Option(
            "--address",
            "--operators",
            callback=lambda value: value and _parse_address(value),
            help="Also check against the configuration in force there.",
        ),
    ] = None,
) -> None:
    """Checks documents, offline unless an address is given."""
    items = terminal.load_documents(file)
    if address is not None:
        terminal.check_against_current(file, items, address)
    for item in items:
        typer.echo(f"{terminal.describe_key(item.value)}: no faults")


@app.command()
def publish(
    file: File,
    address: OperatorsAddress,
    base: BaseRevision = None,
    author: Author = "",
) -> None:
    """Publishes documents in the order of the file.

    A document that equals the one in force is skipped. For a document that
    replaces another, give the revision it is based on, with --base or in the
    file.
    """
    items = terminal.load_documents(file)
    if base is not None and len(items) != 1:
        raise typer.BadParameter("--base needs a file with one document")
    current_documents = terminal.fetch_current_documents(address)
    changed = [
        item
        for item in items
        if not terminal.is_current(item, current_documents)
    ]
    if len(changed) > 1:
        # Checks all changes first, so that a fault in one normally prevents
        # the others from being published. Not atomic: the configuration may
        # change between the check and a later publish.
        terminal.check_against_current(file, changed, address, default_base=0)
    for item in items:
        if item not in changed:
            typer.echo(f"{terminal.describe_key(item.value)}: unchanged")
            continue
        base_revision = base if base is not None else item.base_revision
        body = {
            "document": item.value,
            "base_revision": base_revision or 0,
            "author": author or terminal.get_user_name(),
        }
        terminal.publish_change(address, body, file, item.path)


@app.command()
def delete(
    kind: Annotated[str, typer.Argument(help="Kind, for example quota.")],
    name: str,
    address: OperatorsAddress,
    base: Annotated[
        int,
        typer.Option(
            min=1, help="Revision in force that the deletion is based on."
        ),
    ],
    author: Author = "",
) -> None:
    """Deletes a document."""
    body = {
        "target": {"kind": kind, "name": name},
        "base_revision": base,
        "author": author or terminal.get_user_name(),
    }
    terminal.publish_change(address, body, None, "$")


@app.command()
def submit(file: File, address: CallersAddress) -> None:
    """Submits tasks; submitting a known task id again has no effect."""
    loaded = files.load_values(file, callers.TaskRequest)
    if loaded.is_err():
        terminal.exit_with_faults(file, loaded.err_value)
    for item in loaded.ok_value:
        reply = terminal.send_request(address, "POST", "/tasks", item.value)
        if reply.status_code != 202:
            terminal.exit_with_refusal(f"task {item.value.task}", reply)
        typer.echo(f"task {item.value.task}: submitted")


@app.command()
def task(
    task_id: Annotated[str, typer.Argument(metavar="ID")],
    address: CallersAddress,
) -> None:
    """Prints the status of a task."""
    path = f"/tasks/{urllib.parse.quote(task_id, safe='')}"
    terminal.print_json(terminal.fetch_json(address, path, f"task {task_id}"))


@app.command()
def cancel(
    task_id: Annotated[str, typer.Argument(metavar="ID")],
    address: CallersAddress,
) -> None:
    """Requests the cancellation of a task."""
    path = f"/tasks/{urllib.parse.quote(task_id, safe='')}/cancel"
    reply = terminal.send_request(address, "POST", path)
    if reply.status_code != 202:
        terminal.exit_with_refusal(f"task {task_id}", reply)
    typer.echo(f"task {task_id}: cancellation accepted")


@app.command()
def diff(file: File, address: OperatorsAddress) -> None:
    """Compares documents with those in force, field by field."""
    items = terminal.load_documents(file)
    current_documents = terminal.fetch_current_documents(address)
    for item in items:
        stored = current_documents.get(documents.get_key(item.value))
        if stored is None:
            typer.echo(f"{terminal.describe_key(item.value)}: new")
            continue
        lines = files.compare_values(
            stored["document"], msgspec.to_builtins(item.value)
        )
        state = "changed" if lines else "unchanged"
        typer.echo(
            f"{terminal.describe_key(item.value)}: {state} (revision"
            f" {stored['revision']} in force)"
        )
        for line in lines:
            typer.echo(f"  {line}")


@app.command()
def history(
    address: OperatorsAddress,
    kind: Annotated[str | None, typer.Option()] = None,
    name: Annotated[str | None, typer.Option()] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print whole documents as JSON.")
    ] = False,
) -> None:
    """Lists the changes that a process keeps, oldest first."""
    query = {"kind": kind, "name": name}
    named = {key: value for key, value in query.items() if value is not None}
    path = f"/history?{urllib.parse.urlencode(named)}"
    body = terminal.fetch_json(address, path, "history")
    if as_json:
        terminal.print_json(body["changes"])
        return
    for change in body["changes"]:
        typer.echo(terminal.describe_change(change))


@app.command()
def versions(address: OperatorsAddress) -> None:
    """Lists the configuration version of each known entry process."""
    body = terminal.fetch_json(address, "/versions", "versions")
    for process in body["processes"]:
        ready = "" if process["ready"] else ", not ready"
        typer.echo(
            f"{process['id']} ({process['domain']}): version"
            f" {process['version']}{ready}, heard {process['heard_s']:.1f} s"
            " ago"
        )


@app.command()
def dump(
    address: Annotated[
        str,
        typer.Argument(
            envvar="PLANTAINVANE_OPERATORS", callback=_parse_address
        ),
    ],
) -> None:
    """Prints the state of an entry process as JSON."""
    terminal.print_json(terminal.fetch_json(address, "/dump", "dump"))


@app.command()
def trace(
    request_id: Annotated[
        str, typer.Argument(help="Id of a job, or the name of a task.")
    ],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Files with the log output of the processes."),
    ],
) -> None:
    """Prints the log lines of a request and those that may explain them."""
    lines = _read_logs(logs)
    found = traces.trace_request(lines, request_id)
    if not found:
        typer.echo(f"no line of {request_id} in {len(lines)} lines", err=True)
        raise typer.Exit(terminal.EXIT_REFUSED)
    for line in found:
        typer.echo(traces.format_line(line, found[0].timestamp_s))


@app.command(name="split")
def split_time(
    job_id: Annotated[str, typer.Argument(help="Id of a job.")],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Files with the log output of the processes."),
    ],
) -> None:
    """Prints what the last task of each step of a job spent its time on."""
    lines = _read_logs(logs)
    found = breakdowns.split_job(lines, job_id)
    if not found:
        typer.echo(
            f"no end of a task of {job_id} in {len(lines)} lines", err=True
        )
        raise typer.Exit(terminal.EXIT_REFUSED)
    for breakdown in found:
        typer.echo(breakdowns.format_breakdown(breakdown))


def _read_logs(logs: list[pathlib.Path]) -> list[traces.LogLine]:
    """Parses log files; exits if one cannot be read."""
    lines: list[traces.LogLine] = []
    for path in logs:
        try:
            raw_lines = path.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(terminal.EXIT_USAGE_ERROR) from error
        lines.extend(traces.parse_lines(raw_lines, path.name))
    return lines


@app.command(
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
    add_help_option=False,
)
def soak(context: typer.Context) -> None:
    """Soaks real processes of the job scheduler under seeded faults.

    Takes the options of `python -m standins.soak`; see docs/soak.md.
    """
    # Imported here so that the other commands load no stand-ins.
    from standins import soak as soak_module

    soak_module.app(context.args, prog_name="plantainvane soak")


@app.command(
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
    add_help_option=False,
)
def explore(context: typer.Context) -> None:
    """Runs whole fleets in one process under virtual time.

    Takes the options of `python -m standins.explore`; see docs/checking.md.
    """
    # Imported here so that the other commands load no stand-ins.
    from standins import explore as explore_module

    explore_module.main(context.args)


@app.command()
def schemas() -> None:
    """Prints the JSON Schemas of all documents and of the settings."""
    terminal.print_json(schemas_module.make_schemas())
