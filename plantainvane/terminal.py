"""What commands share: calls to processes, what they print, how they end."""

import datetime
import getpass
import json
import pathlib
from typing import Any

import httpx
import msgspec
import result
import typer

from plantainvane import documents
from plantainvane import files
from plantainvane import validation

# Above the time in which an entry process answers a publish: the append and
# its confirmation with default settings.
_CALL_TIMEOUT_S = 20.0
# Exit statuses.
EXIT_REFUSED = 1
EXIT_USAGE_ERROR = 2


def load_documents(file: pathlib.Path) -> list[files.Item]:
    """Loads documents; faults in them end the command."""
    loaded: result.Result = files.load_documents(file)
    if loaded.is_err():
        exit_with_faults(file, loaded.err_value)
    return loaded.ok_value


def check_against_current(
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
    reply = send_request(
        address, "POST", "/documents/check", {"changes": changes}
    )
    if reply.status_code == 200:
        return
    body = decode_body(reply)
    if "verdicts" not in body:
        exit_with_refusal("check", reply)
    for item, verdict in zip(items, body["verdicts"], strict=True):
        for fault in verdict["faults"]:
            _print_fault(file, item.path, fault)
    typer.echo("refused", err=True)
    raise typer.Exit(EXIT_REFUSED)


def publish_change(
    address: str, change: Any, file: pathlib.Path | None, path: str
) -> None:
    """Publishes one change; a refusal ends the command."""
    reply = send_request(address, "POST", "/documents", change)
    body = decode_body(reply)
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
        exit_with_refusal("change", reply)
    typer.echo("refused; this change was not published", err=True)
    raise typer.Exit(EXIT_REFUSED)


def _print_stale(body: dict[str, Any], change: dict[str, Any]) -> None:
    """Shows what changed since the base of a refused change."""
    typer.echo(
        f"{body['kind']} {body['name']}: made on revision"
        f" {body['base_revision']}, but revision {body['revision']} is in"
        " force",
        err=True,
    )
    for other in body["changes"]:
        typer.echo(f"  {describe_change(other)}", err=True)
    if "document" not in change:
        return
    typer.echo("  from your document to the one in force:", err=True)
    submitted = msgspec.to_builtins(change["document"])
    for line in files.compare_values(submitted, body["document"]):
        typer.echo(f"    {line}", err=True)


def _print_fault(
    file: pathlib.Path | None, path: str, fault: dict[str, str]
) -> None:
    """Prints a fault from a reply with its path in the file, if any."""
    if file is None:
        typer.echo(fault["reason"], err=True)
        return
    _, in_document, subpath = fault["path"].partition(".document")
    field = subpath if in_document else f" {fault['path'].rpartition('.')[2]}"
    typer.echo(f"{file}: {path}{field} {fault['reason']}", err=True)


def describe_change(change: dict[str, Any]) -> str:
    """One line on a change of the history."""
    published_at = datetime.datetime.fromtimestamp(
        change["published"], datetime.UTC
    )
    action = "deleted" if change["document"] is None else "set"
    line = (
        f"{published_at:%Y-%m-%dT%H:%M:%SZ} {change['kind']} {change['name']}"
        f" {action} by {change['author'] or 'unknown'}"
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


def fetch_current_documents(address: str) -> dict[documents.DocumentKey, Any]:
    """Documents in force at an entry process, by their key."""
    body = fetch_json(address, "/documents", "documents")
    return {
        documents.DocumentKey(
            stored["document"]["kind"], stored["document"]["name"]
        ): stored
        for stored in body["documents"]
    }


def is_current(
    item: files.Item, current_documents: dict[documents.DocumentKey, Any]
) -> bool:
    """Tells whether a document is in force as it is."""
    stored = current_documents.get(documents.get_key(item.value))
    return stored is not None and not files.compare_values(
        stored["document"], msgspec.to_builtins(item.value)
    )


def fetch_json(address: str, path: str, subject: str) -> Any:
    """Reads `path`; anything but status 200 ends the command."""
    reply = send_request(address, "GET", path)
    if reply.status_code != 200:
        exit_with_refusal(subject, reply)
    return decode_body(reply)


def send_request(
    address: str, method: str, path: str, body: Any = None
) -> httpx.Response:
    """Sends a request; a process that gives no reply ends the command."""
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
    raise typer.Exit(EXIT_REFUSED)


def decode_body(reply: httpx.Response) -> Any:
    """Decodes a JSON reply; of another, only the status is told."""
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.MsgspecError:
        return {"detail": f"status {reply.status_code}"}


def exit_with_refusal(subject: str, reply: httpx.Response) -> None:
    """Prints why a process refused, and ends the command."""
    body = decode_body(reply)
    outcome = body.get("outcome", "refused")
    detail = body.get("detail", f"status {reply.status_code}")
    typer.echo(f"{subject}: {outcome}: {detail}", err=True)
    raise typer.Exit(EXIT_REFUSED)


def exit_with_faults(
    file: pathlib.Path, faults: list[validation.Fault]
) -> None:
    """Prints the faults of a file, and ends the command."""
    for fault in faults:
        typer.echo(f"{file}: {fault.path} {fault.reason}", err=True)
    raise typer.Exit(EXIT_USAGE_ERROR)


def describe_key(document: documents.Document) -> str:
    """Kind and name of a document."""
    key = documents.get_key(document)
    return f"{key.kind} {key.name}"


def get_user_name() -> str:
    """Name of the user, or empty."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    typer.echo(json.dumps(value, indent=2))
