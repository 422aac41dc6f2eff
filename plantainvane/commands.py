"""Command line; exit status 0 done, 1 refused, 2 bad usage or document."""

import datetime
import getpass
import json
import pathlib
from typing import Annotated
from typing import Any
import urllib.parse

import anyio
import httpx
import msgspec
import result
import typer

from plantainvane import callers
from plantainvane import documents
from plantainvane import files
from plantainvane import schemas as schemas_module
from plantainvane import settings as settings_module
from plantainvane import traces
from plantainvane import validation

# Above the time in which an entry process answers a publish: the append and
# its confirmation with default settings.
_CALL_TIMEOUT_S = 20.0
_REFUSED = 1
_BAD_USAGE = 2

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
        help="ip:port of an entry process for operators.",
    ),
]
CallersAddress = Annotated[
    str,
    typer.Option(
        "--address",
        "--callers",
        envvar="PLANTAINVANE_CALLERS",
        callback=_parse_address,
        help="ip:port of an entry process for callers.",
    ),
]
Base = Annotated[
    int | None,
    typer.Option(min=0, help="Revision that the change was made on."),
]
Author = Annotated[str, typer.Option(help="Name shown in the history.")]


def run() -> None:
    """Runs the command line."""
    app()


@app.command()
def entry(
    settings: Annotated[pathlib.Path, typer.Option(help="JSON settings file.")],
) -> None:
    """Runs an entry process until SIGTERM or SIGINT."""
    loaded = settings_module.load_settings(settings)
    if loaded.is_err():
        _exit_faults(settings, loaded.err_value)
    # Imported here so that the other commands start without the daemon.
    from plantainvane import entry as entry_module

    anyio.run(entry_module.run_entry, loaded.ok_value)


@app.command()
def check(
    file: File,
    address: Annotated[
        str | None,
        typer.Option(
            "--address",
            "--operators",
            callback=lambda value: value and _parse_address(value),
            help="Also check against what is in force there.",
        ),
    ] = None,
) -> None:
    """Checks documents; offline unless an address is given."""
    items = _load_documents(file)
    if address is not None:
        _check_in_force(file, items, address)
    for item in items:
        typer.echo(f"{_name(item.value)}: no faults")


@app.command()
def publish(
    file: File,
    address: OperatorsAddress,
    base: Base = None,
    author: Author = "",
) -> None:
    """Publishes documents in the order of the file.

    A document that is in force already is left alone. For one that replaces
    another, name the revision it was made on, by --base or in the file.
    """
    items = _load_documents(file)
    if base is not None and len(items) != 1:
        raise typer.BadParameter("--base needs a file with one document")
    in_force = _fetch_in_force(address)
    changed = [item for item in items if not _is_in_force(item, in_force)]
    if len(changed) > 1:
        # All or nothing, as far as it can be known beforehand.
        _check_in_force(file, changed, address, default_base=0)
    for item in items:
        if item not in changed:
            typer.echo(f"{_name(item.value)}: unchanged")
            continue
        named = base if base is not None else item.base_revision
        body = {
            "document": item.value,
            "base_revision": named or 0,
            "author": author or _find_user(),
        }
        _publish_change(address, body, file, item.path)


@app.command()
def delete(
    kind: Annotated[str, typer.Argument(help="Kind, for example quota.")],
    name: str,
    address: OperatorsAddress,
    base: Annotated[
        int, typer.Option(min=1, help="Revision in force that you saw.")
    ],
    author: Author = "",
) -> None:
    """Deletes a document."""
    body = {
        "target": {"kind": kind, "name": name},
        "base_revision": base,
        "author": author or _find_user(),
    }
    _publish_change(address, body, None, "$")


@app.command()
def submit(file: File, address: CallersAddress) -> None:
    """Submits tasks; a repeated submission of the same id has no effect."""
    loaded = files.load_values(file, callers.TaskRequest)
    if loaded.is_err():
        _exit_faults(file, loaded.err_value)
    for item in loaded.ok_value:
        reply = _call(address, "POST", "/tasks", item.value)
        if reply.status_code != 202:
            _exit_refused(f"task {item.value.task}", reply)
        typer.echo(f"task {item.value.task}: submitted")


@app.command()
def task(
    task_id: Annotated[str, typer.Argument(metavar="ID")],
    address: CallersAddress,
) -> None:
    """Prints what is known of a task."""
    path = f"/tasks/{urllib.parse.quote(task_id, safe='')}"
    _print_json(_call_ok(address, path, f"task {task_id}"))


@app.command()
def cancel(
    task_id: Annotated[str, typer.Argument(metavar="ID")],
    address: CallersAddress,
) -> None:
    """Asks for the end of a task."""
    path = f"/tasks/{urllib.parse.quote(task_id, safe='')}/cancel"
    reply = _call(address, "POST", path)
    if reply.status_code != 202:
        _exit_refused(f"task {task_id}", reply)
    typer.echo(f"task {task_id}: cancellation accepted")


@app.command()
def diff(file: File, address: OperatorsAddress) -> None:
    """Compares documents with those in force, field by field."""
    items = _load_documents(file)
    in_force = _fetch_in_force(address)
    for item in items:
        stored = in_force.get(documents.get_key(item.value))
        if stored is None:
            typer.echo(f"{_name(item.value)}: new")
            continue
        lines = files.compare_values(
            stored["document"], msgspec.to_builtins(item.value)
        )
        state = "changed" if lines else "unchanged"
        typer.echo(
            f"{_name(item.value)}: {state} (revision"
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
    """Lists the changes that a process remembers, oldest first."""
    query = {"kind": kind, "name": name}
    named = {key: value for key, value in query.items() if value is not None}
    path = f"/history?{urllib.parse.urlencode(named)}"
    body = _call_ok(address, path, "history")
    if as_json:
        _print_json(body["changes"])
        return
    for change in body["changes"]:
        typer.echo(_describe_change(change))


@app.command()
def versions(address: OperatorsAddress) -> None:
    """Lists the version in force at each known entry process."""
    body = _call_ok(address, "/versions", "versions")
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
    _print_json(_call_ok(address, "/dump", "dump"))


@app.command()
def trace(
    request_id: Annotated[
        str, typer.Argument(help="Id of a job, or the name of a task.")
    ],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Files with the output of the processes."),
    ],
) -> None:
    """Prints what the logs say of a request, and what may explain it."""
    lines: list[traces.Line] = []
    for path in logs:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(_BAD_USAGE) from error
        lines.extend(traces.read_lines(texts, path.name))
    found = traces.trace_request(lines, request_id)
    if not found:
        typer.echo(f"no line of {request_id} in {len(lines)} lines", err=True)
        raise typer.Exit(_REFUSED)
    for line in found:
        typer.echo(traces.format_line(line, found[0].at))


@app.command()
def schemas() -> None:
    """Prints the JSON Schemas of all documents and of the settings."""
    _print_json(schemas_module.make_schemas())


def _load_documents(file: pathlib.Path) -> list[files.Item]:
    loaded: result.Result = files.load_documents(file)
    if loaded.is_err():
        _exit_faults(file, loaded.err_value)
    return loaded.ok_value


def _check_in_force(
    file: pathlib.Path,
    items: list[files.Item],
    address: str,
    default_base: int | None = None,
) -> None:
    """Ends the command when a change is refused at `address`."""
    changes = [
        {
            "document": item.value,
            "base_revision": default_base
            if item.base_revision is None
            else item.base_revision,
        }
        for item in items
    ]
    reply = _call(address, "POST", "/documents/check", {"changes": changes})
    if reply.status_code == 200:
        return
    body = _read_body(reply)
    if "verdicts" not in body:
        _exit_refused("check", reply)
    for item, verdict in zip(items, body["verdicts"], strict=True):
        for fault in verdict["faults"]:
            _print_fault(file, item.path, fault)
    typer.echo("refused", err=True)
    raise typer.Exit(_REFUSED)


def _publish_change(
    address: str, change: Any, file: pathlib.Path | None, path: str
) -> None:
    reply = _call(address, "POST", "/documents", change)
    body = _read_body(reply)
    if reply.status_code == 200:
        typer.echo(
            f"{body['kind']} {body['name']}: revision {body['revision']} in"
            f" force with version {body['version']}"
        )
        return
    if reply.status_code == 409:
        _print_stale(body, change)
    for fault in body.get("faults", []):
        _print_fault(file, path, fault)
    if "faults" not in body:
        _exit_refused("change", reply)
    typer.echo("refused; this change was not published", err=True)
    raise typer.Exit(_REFUSED)


def _print_stale(body: dict[str, Any], change: dict[str, Any]) -> None:
    """Shows what changed since the base of a refused change."""
    typer.echo(
        f"{body['kind']} {body['name']}: made on revision"
        f" {body['base_revision']}, but revision {body['revision']} is in"
        " force",
        err=True,
    )
    for other in body["changes"]:
        typer.echo(f"  {_describe_change(other)}", err=True)
    if "document" not in change:
        return
    typer.echo("  from your document to the one in force:", err=True)
    own = msgspec.to_builtins(change["document"])
    for line in files.compare_values(own, body["document"]):
        typer.echo(f"    {line}", err=True)


def _print_fault(
    file: pathlib.Path | None, path: str, fault: dict[str, str]
) -> None:
    """Prints a fault from a reply with its path in the file, if any."""
    if file is None:
        typer.echo(fault["reason"], err=True)
        return
    _, in_document, rest = fault["path"].partition(".document")
    field = rest if in_document else f" {fault['path'].rpartition('.')[2]}"
    typer.echo(f"{file}: {path}{field} {fault['reason']}", err=True)


def _describe_change(change: dict[str, Any]) -> str:
    moment = datetime.datetime.fromtimestamp(change["published"], datetime.UTC)
    what = "deleted" if change["document"] is None else "set"
    line = (
        f"{moment:%Y-%m-%dT%H:%M:%SZ} {change['kind']} {change['name']}"
        f" {what} by {change['author'] or 'unknown'}"
    )
    if not change["faults"]:
        return (
            f"{line}: revision {change['revision']}, version"
            f" {change['version']}"
        )
    reasons = "; ".join(
        f"{fault['path']} {fault['reason']}" for fault in change["faults"]
    )
    return f"{line}: void, {reasons}"


def _fetch_in_force(address: str) -> dict[documents.DocumentKey, Any]:
    body = _call_ok(address, "/documents", "documents")
    return {
        documents.DocumentKey(
            stored["document"]["kind"], stored["document"]["name"]
        ): stored
        for stored in body["documents"]
    }


def _is_in_force(
    item: files.Item, in_force: dict[documents.DocumentKey, Any]
) -> bool:
    stored = in_force.get(documents.get_key(item.value))
    return stored is not None and not files.compare_values(
        stored["document"], msgspec.to_builtins(item.value)
    )


def _call_ok(address: str, path: str, what: str) -> Any:
    reply = _call(address, "GET", path)
    if reply.status_code != 200:
        _exit_refused(what, reply)
    return _read_body(reply)


def _call(
    address: str, method: str, path: str, body: Any = None
) -> httpx.Response:
    content = None if body is None else msgspec.json.encode(body)
    try:
        return httpx.request(
            method,
            f"http://{address}{path}",
            content=content,
            timeout=_CALL_TIMEOUT_S,
            trust_env=False,
        )
    except httpx.ConnectError as error:
        typer.echo(f"{address} cannot be reached: {error}", err=True)
    except httpx.HTTPError as error:
        typer.echo(f"{address} gave no whole reply: {error}", err=True)
        if method != "GET":
            typer.echo("it is not known whether this took effect", err=True)
    raise typer.Exit(_REFUSED)


def _read_body(reply: httpx.Response) -> Any:
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.MsgspecError:
        return {"detail": f"status {reply.status_code}"}


def _exit_refused(what: str, reply: httpx.Response) -> None:
    body = _read_body(reply)
    outcome = body.get("outcome", "refused")
    detail = body.get("detail", f"status {reply.status_code}")
    typer.echo(f"{what}: {outcome}: {detail}", err=True)
    raise typer.Exit(_REFUSED)


def _exit_faults(file: pathlib.Path, faults: list[validation.Fault]) -> None:
    for fault in faults:
        typer.echo(f"{file}: {fault.path} {fault.reason}", err=True)
    raise typer.Exit(_BAD_USAGE)


def _name(document: documents.Document) -> str:
    key = documents.get_key(document)
    return f"{key.kind} {key.name}"


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _print_json(value: Any) -> None:
    typer.echo(json.dumps(value, indent=2))
