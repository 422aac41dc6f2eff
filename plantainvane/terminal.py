"""Shared by the commands: requests to processes, output, exit statuses."""

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

# Longer than an entry process takes to reply to a publish, that is, to append
# the change and to confirm it, with default settings.
_CALL_TIMEOUT_S = 20.0
# Exit statuses.
EXIT_REFUSED = 1
EXIT_USAGE_ERROR = 2


def load_documents(file: pathlib.Path) -> list[files.Item]:
    """Loads documents; exits with status 2 if the file has faults."""
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
    """Checks documents against the configuration in force at `address`.

    Prints the faults and exits with status 1 if a change would be rejected.

    Args:
      file: The file that the documents come from, for messages.
      items: The documents, in publishing order.
      address: ip:port at which an entry process serves operators.
      default_base: Base revision of items that give none; None for the
        revision in force.
    """
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
    """Publishes one change; exits with status 1 if it is not accepted.

    Args:
      address: ip:port at which an entry process serves operators.
      change: JSON-compatible body of `POST /documents`.
      file: The file that the document comes from; None for a deletion.
      path: JSON path of the document in the file, for messages.
    """
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
    """Prints what has changed since the base revision of a refused change."""
    typer.echo(
        f"{body['kind']} {body['name']}: based on revision"
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
    """Prints a fault of a reply, with its path in the file if there is one."""
    if file is None:
        typer.echo(fault["reason"], err=True)
        return
    _, in_document, subpath = fault["path"].partition(".document")
    field = subpath if in_document else f" {fault['path'].rpartition('.')[2]}"
    typer.echo(f"{file}: {path}{field} {fault['reason']}", err=True)


def describe_change(change: dict[str, Any]) -> str:
    """Formats a change of the history as one line."""
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
    return f"{line}: rejected, {reasons}"


def fetch_current_documents(address: str) -> dict[documents.DocumentKey, Any]:
    """Fetches the documents in force at an entry process.

    Returns:
      For each document key, an object with `revision` and `document`.
    """
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
    """Returns whether a document equals the one in force."""
    stored = current_documents.get(documents.get_key(item.value))
    return stored is not None and not files.compare_values(
        stored["document"], msgspec.to_builtins(item.value)
    )


def fetch_json(address: str, path: str, subject: str) -> Any:
    """Gets the JSON at `path`; exits with status 1 unless the reply is 200.

    `subject` names in the message what was requested.
    """
    reply = send_request(address, "GET", path)
    if reply.status_code != 200:
        exit_with_refusal(subject, reply)
    return decode_body(reply)


def send_request(
    address: str, method: str, path: str, body: Any = None
) -> httpx.Response:
    """Sends a request; exits with status 1 if there is no complete reply."""
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
        typer.echo(f"{address} sent no complete reply: {error}", err=True)
        if method != "GET":
            typer.echo("it is not known whether this took effect", err=True)
    raise typer.Exit(EXIT_REFUSED)


def decode_body(reply: httpx.Response) -> Any:
    """Decodes a JSON reply.

    Returns:
      The decoded body; for other content, an object whose `detail` is the
      status.
    """
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.MsgspecError:
        return {"detail": f"status {reply.status_code}"}


def exit_with_refusal(subject: str, reply: httpx.Response) -> None:
    """Prints why a process refused a request, and exits with status 1."""
    body = decode_body(reply)
    outcome = body.get("outcome", "refused")
    detail = body.get("detail", f"status {reply.status_code}")
    typer.echo(f"{subject}: {outcome}: {detail}", err=True)
    raise typer.Exit(EXIT_REFUSED)


def exit_with_faults(
    file: pathlib.Path, faults: list[validation.Fault]
) -> None:
    """Prints the faults of a file, and exits with status 2."""
    for fault in faults:
        typer.echo(f"{file}: {fault.path} {fault.reason}", err=True)
    raise typer.Exit(EXIT_USAGE_ERROR)


def describe_key(document: documents.Document) -> str:
    """Formats the kind and the name of a document."""
    key = documents.get_key(document)
    return f"{key.kind} {key.name}"


def get_user_name() -> str:
    """Returns the login name of the user, or an empty string."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    typer.echo(json.dumps(value, indent=2))
