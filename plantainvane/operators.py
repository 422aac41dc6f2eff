"""HTTP handler of the operators' address; docs/design.md section 8.

A change is checked against the configuration in force, appended to the config
stream, and answered once the own fold shows whether it is valid. Faults have
paths in the request body. Replies other than 200 carry `outcome` (`refused`, or
`unknown` when the change may still take effect), `reason` and `detail`.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Annotated
from typing import Any

import anyio
import msgspec
import result

from plantainvane import asgi
from plantainvane import configuration as configuration_module
from plantainvane import console
from plantainvane import documents
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import records
from plantainvane import schemas
from plantainvane import settings as settings_module
from plantainvane import validation

Append = Callable[..., Awaitable[result.Result[int, outcomes.CallError]]]


class DocumentReference(settings_module.StrictStruct):
    """Names the document that a change deletes."""

    kind: str
    name: str


class ChangeRequest(settings_module.StrictStruct, kw_only=True):
    """Body of `POST /documents`.

    Attributes:
      document: The new document; None to delete `target`.
      target: The document to delete.
      base_revision: Revision that the change was made on; 0 for a new
        document. Only a check may leave it out, to mean the one in force.
      author: Who publishes, for the history.
    """

    document: documents.Document | None = None
    target: DocumentReference | None = None
    base_revision: Annotated[int, msgspec.Meta(ge=0)] | None = None
    author: Annotated[str, msgspec.Meta(max_length=200)] = ""


class CheckRequest(settings_module.StrictStruct):
    """Body of `POST /documents/check`: changes in order of publishing."""

    changes: list[ChangeRequest]


class ProcessVersion(msgspec.Struct, frozen=True):
    """Version in force at one entry process, as known here.

    Attributes:
      heard_s: Seconds since the process reported it; 0 for this process.
    """

    id: str
    domain: str
    version: int
    ready: bool
    heard_s: float


class CheckResult(msgspec.Struct, frozen=True):
    """Result of checking one change."""

    kind: str
    name: str
    revision: int
    stale: bool
    faults: list[validation.Fault]


Faults = list[validation.Fault]


def make_handler(
    settings: settings_module.Settings,
    configuration: configuration_module.Configuration,
    append: Append,
    list_versions: Callable[[], list[ProcessVersion]],
    dump_state: Callable[[], dict[str, Any]],
    read_wall_clock: Callable[[], float] = time.time,
) -> asgi.Handler:
    """Makes the handler for `asgi.make_application`.

    Args:
      settings: Settings of the process.
      configuration: The fold of the config stream.
      append: `append` of the writer of the config stream.
      list_versions: Lists the versions in force at all known processes.
      dump_state: Makes the JSON-ready state of the whole process.
      read_wall_clock: Returns seconds since the Unix epoch.
    """

    async def publish(request: asgi.HttpRequest) -> asgi.HttpReply:
        decoded = decode_change(request.body)
        if decoded.is_err():
            return _refuse_faults(decoded.err_value)
        return await publish_change(
            settings,
            configuration,
            append,
            decoded.ok_value,
            read_wall_clock(),
        )

    async def check(request: asgi.HttpRequest) -> asgi.HttpReply:
        return _check_changes(configuration, request.body)

    async def list_documents(request: asgi.HttpRequest) -> asgi.HttpReply:
        if not configuration.ready:
            return _refuse_not_ready()
        return asgi.make_json_reply(200, describe_documents(configuration))

    async def list_history(request: asgi.HttpRequest) -> asgi.HttpReply:
        if not configuration.ready:
            return _refuse_not_ready()
        body = describe_history(configuration, request.query)
        return asgi.make_json_reply(200, body)

    async def show_versions(request: asgi.HttpRequest) -> asgi.HttpReply:
        body = {"version": configuration.version, "processes": list_versions()}
        return asgi.make_json_reply(200, body)

    async def show_schemas(request: asgi.HttpRequest) -> asgi.HttpReply:
        return asgi.make_json_reply(200, schemas.make_schemas())

    async def show_dump(request: asgi.HttpRequest) -> asgi.HttpReply:
        return asgi.make_json_reply(200, dump_state())

    async def show_metrics(request: asgi.HttpRequest) -> asgi.HttpReply:
        text = metrics.encode_metrics()
        return asgi.HttpReply(200, text, "text/plain; version=0.0.4")

    routes: dict[str, dict[str, asgi.Handler]] = {
        "/documents": {"GET": list_documents, "POST": publish},
        "/documents/check": {"POST": check},
        "/history": {"GET": list_history},
        "/versions": {"GET": show_versions},
        "/schemas": {"GET": show_schemas},
        "/dump": {"GET": show_dump},
        "/metrics": {"GET": show_metrics},
    }
    for path in console.FILES:
        routes[path] = {"GET": console.serve_file}
    return _make_router(routes)


def decode_change(body: bytes) -> result.Result[ChangeRequest, Faults]:
    """Decodes the body of `POST /documents`; Err lists every fault."""
    decoded = validation.decode_document(body, ChangeRequest)
    if decoded.is_err():
        return decoded
    faults = _check_document_or_target(decoded.ok_value)
    if decoded.ok_value.base_revision is None:
        faults.append(validation.Fault("$.base_revision", "is required"))
    return result.Err(faults) if faults else decoded


async def publish_change(
    settings: settings_module.Settings,
    configuration: configuration_module.Configuration,
    append: Append,
    change: ChangeRequest,
    wall_now: float,
) -> asgi.HttpReply:
    """Publishes one change and waits until it is known whether it is valid."""
    if not configuration.ready:
        return _refuse_not_ready()
    key = find_key(change)
    with anyio.move_on_after(settings.operators.confirm_s):
        # The operator may have seen a revision at a process that is ahead.
        await configuration.wait_revision(key, change.base_revision)
    faults = configuration.check_change(
        change.document, change.base_revision, key
    )
    if faults:
        return _refuse_change(configuration, change, faults)
    appended = await append(
        records.ConfigChange,
        base_revision=change.base_revision,
        document=change.document,
        target_kind=key.kind,
        target_name=key.name,
        author=change.author,
        published=wall_now,
    )
    if appended.is_err():
        return _refuse_append(appended.err_value)
    with anyio.move_on_after(settings.operators.confirm_s):
        await configuration.wait_offset(appended.ok_value)
    applied = configuration.find_change(appended.ok_value)
    if applied is None:
        detail = (
            f"the change is in the log at offset {appended.ok_value}, but it"
            " is not known yet whether it is valid; see /history"
        )
        return _refuse(503, "unknown", "unconfirmed", detail)
    if applied.faults:
        return _refuse_change(configuration, change, applied.faults)
    return asgi.make_json_reply(
        200,
        {
            "kind": applied.kind,
            "name": applied.name,
            "revision": applied.revision,
            "version": applied.version,
            "offset": applied.offset,
        },
    )


def find_key(change: ChangeRequest) -> documents.DocumentKey:
    """Returns the key of the document that a checked request changes."""
    if change.document is not None:
        return documents.get_key(change.document)
    return documents.DocumentKey(change.target.kind, change.target.name)


def describe_documents(
    configuration: configuration_module.Configuration,
) -> dict[str, Any]:
    """Lists the documents in force and the revisions of deleted ones."""
    return {
        "version": configuration.version,
        "documents": [
            {"revision": configuration.revisions[key], "document": document}
            for key, document in sorted(configuration.documents.items())
        ],
        "deleted": [
            {"kind": key.kind, "name": key.name, "revision": revision}
            for key, revision in sorted(configuration.revisions.items())
            if key not in configuration.documents
        ],
    }


def describe_history(
    configuration: configuration_module.Configuration, query: dict[str, str]
) -> dict[str, Any]:
    """Lists the remembered changes, oldest first.

    `query` may restrict them by `kind` and `name`. Changes that a snapshot
    covered when the process started are not remembered; then the first version
    listed is above 1.
    """
    changes = [
        change
        for change in configuration.history
        if query.get("kind", change.kind) == change.kind
        and query.get("name", change.name) == change.name
    ]
    return {"version": configuration.version, "changes": changes}


def _make_router(routes: dict[str, dict[str, asgi.Handler]]) -> asgi.Handler:
    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        methods = routes.get(request.path)
        if methods is None:
            detail = f"there is no {request.path}"
            return _refuse(404, "refused", "unknown_path", detail)
        if request.method not in methods:
            allowed = ", ".join(sorted(methods))
            reply = _refuse(405, "refused", "method", f"use {allowed}")
            reply.headers = ((b"allow", allowed.encode()),)
            return reply
        if _is_cross_origin(request):
            detail = "the request was sent by a page of another origin"
            return _refuse(403, "refused", "foreign_origin", detail)
        return await methods[request.method](request)

    return handle


def _is_cross_origin(request: asgi.HttpRequest) -> bool:
    """Tells whether a page of another origin sent the request.

    Browsers on the operators' network would otherwise let any web page
    publish documents.
    """
    origin = request.headers.get("origin")
    host = request.headers.get("host", "")
    return origin is not None and origin != f"http://{host}"


def _check_document_or_target(change: ChangeRequest) -> Faults:
    given_count = (change.document is not None) + (change.target is not None)
    if given_count == 1:
        return []
    reason = "needs either $.document, or $.target to delete it"
    return [validation.Fault("$", reason)]


def _check_changes(
    configuration: configuration_module.Configuration, body: bytes
) -> asgi.HttpReply:
    """Checks changes as if each were published after the one before it."""
    decoded = validation.decode_document(body, CheckRequest)
    if decoded.is_err():
        return _refuse_faults(decoded.err_value)
    if not configuration.ready:
        return _refuse_not_ready()
    scratch = configuration.make_scratch_copy()
    verdicts = []
    for index, change in enumerate(decoded.ok_value.changes):
        path = f"$.changes[{index}]"
        faults = _check_document_or_target(change)
        if faults:
            return _refuse_faults(validation.prefix_fault_paths(faults, path))
        verdicts.append(_check_and_apply_change(scratch, change, path))
    refused = any(verdict.faults for verdict in verdicts)
    body = {"version": configuration.version, "verdicts": verdicts}
    return asgi.make_json_reply(422 if refused else 200, body)


def _check_and_apply_change(
    scratch: configuration_module.Configuration,
    change: ChangeRequest,
    path: str,
) -> CheckResult:
    """Checks one change and puts it in force in `scratch` if it is valid."""
    key = find_key(change)
    revision = scratch.revisions.get(key, 0)
    base_revision = (
        change.base_revision if change.base_revision is not None else (revision)
    )
    faults = scratch.check_change(change.document, base_revision, key)
    if not faults:
        scratch.apply_document(key, change.document)
    return CheckResult(
        kind=key.kind,
        name=key.name,
        revision=revision,
        stale=base_revision != revision,
        faults=_qualify_fault_paths(change, faults, path),
    )


def _qualify_fault_paths(
    change: ChangeRequest, faults: Faults, path: str
) -> Faults:
    """Turns paths in a document into paths in the request body."""
    field = "target" if change.document is None else "document"
    qualified: Faults = []
    for fault in faults:
        stale = fault.path == configuration_module.BASE_REVISION_PATH
        prefix = path if stale else f"{path}.{field}"
        qualified.extend(validation.prefix_fault_paths([fault], prefix))
    return qualified


def _refuse_change(
    configuration: configuration_module.Configuration,
    change: ChangeRequest,
    faults: Faults,
) -> asgi.HttpReply:
    qualified = _qualify_fault_paths(change, faults, "$")
    stale = any(
        f.path == configuration_module.BASE_REVISION_PATH for f in faults
    )
    if not stale:
        return _refuse_faults(qualified)
    key = find_key(change)
    body = {
        "outcome": "refused",
        "reason": "stale",
        "detail": "the document was changed since the base revision",
        "kind": key.kind,
        "name": key.name,
        "base_revision": change.base_revision,
        "revision": configuration.revisions.get(key, 0),
        "document": configuration.documents.get(key),
        "changes": configuration.list_changes_since(key, change.base_revision),
        "faults": qualified,
    }
    return asgi.make_json_reply(409, body)


def _refuse_faults(faults: Faults) -> asgi.HttpReply:
    body = {
        "outcome": "refused",
        "reason": "faults",
        "detail": "; ".join(f"{f.path} {f.reason}" for f in faults),
        "faults": faults,
    }
    return asgi.make_json_reply(422, body)


def _refuse_not_ready() -> asgi.HttpReply:
    """Refuses what needs the configuration before it is known.

    Version 0 of a process that starts would look like a configuration that
    was reverted.
    """
    detail = "this process does not know the configuration yet"
    return _refuse(503, "refused", "not_ready", detail)


def _refuse_append(error: outcomes.CallError) -> asgi.HttpReply:
    if error.failure == outcomes.CallFailure.LOST:
        detail = f"{error.detail}; see /history before you publish it again"
        return _refuse(503, "unknown", "unresolved", detail)
    detail = f"the log took no change: {error.detail}"
    return _refuse(503, "refused", "log_unavailable", detail)


def _refuse(
    status: int, outcome: str, reason: str, detail: str
) -> asgi.HttpReply:
    body = {"outcome": outcome, "reason": reason, "detail": detail}
    return asgi.make_json_reply(status, body)
