"""Reads the files of documents and tasks that the command line takes.

A file holds one document or a list of documents. A document may be wrapped as
`{"document": ..., "base_revision": N}`.
"""

import pathlib
from typing import Annotated
from typing import Any

import msgspec
import result

from plantainvane import documents
from plantainvane import settings as settings_module
from plantainvane import validation

Faults = list[validation.Fault]


class Wrapped(settings_module.StrictStruct, kw_only=True):
    """A document and the revision that it is based on."""

    document: documents.Document
    base_revision: Annotated[int, msgspec.Meta(ge=0)] | None = None


class Item(msgspec.Struct, frozen=True):
    """One decoded value of a file.

    Attributes:
      path: JSON path of the value in the file.
      value: The decoded value.
      base_revision: Base revision given in the file, if any.
    """

    path: str
    value: Any
    base_revision: int | None = None


def load_documents(path: pathlib.Path) -> result.Result[list[Item], Faults]:
    """Reads a file of documents; Err lists all faults of the file."""
    loaded = _load_items(path, _decode_document)
    if loaded.is_err():
        return loaded
    faults = _check_consistency(loaded.ok_value)
    return result.Err(faults) if faults else loaded


def load_values(
    path: pathlib.Path, kind: Any
) -> result.Result[list[Item], Faults]:
    """Reads a file that holds one value of `kind` or a list of them."""

    def decode(value: Any, item_path: str) -> result.Result[Item, Faults]:
        decoded = validation.convert_value(value, kind)
        return decoded.map(lambda item: Item(item_path, item))

    return _load_items(path, decode)


def compare_values(before: Any, after: Any, path: str = "$") -> list[str]:
    """Lists the differences between two JSON values, one line per field."""
    if isinstance(before, dict) and isinstance(after, dict):
        return [
            line
            for key in sorted(before.keys() | after.keys())
            for line in compare_values(
                before.get(key), after.get(key), f"{path}.{key}"
            )
        ]
    if before == after:
        return []
    return [f"{path}: {_encode(before)} -> {_encode(after)}"]


def _encode(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _load_items(
    path: pathlib.Path, decode: Any
) -> result.Result[list[Item], Faults]:
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
        return result.Err([validation.Fault("$", reason)])
    parsed = validation.parse_json(text)
    if parsed.is_err():
        return parsed
    value = parsed.ok_value
    if not isinstance(value, list):
        return decode(value, "$").map(lambda item: [item])
    items: list[Item] = []
    faults: Faults = []
    for index, entry in enumerate(value):
        place = f"$[{index}]"
        decoded = decode(entry, place)
        if decoded.is_ok():
            items.append(decoded.ok_value)
        else:
            faults.extend(
                validation.prefix_fault_paths(decoded.err_value, place)
            )
    return result.Err(faults) if faults else result.Ok(items)


def _decode_document(value: Any, path: str) -> result.Result[Item, Faults]:
    if not isinstance(value, dict) or "document" not in value:
        decoded = validation.convert_value(value, documents.Document)
        return decoded.map(lambda document: Item(path, document))
    return validation.convert_value(value, Wrapped).map(
        lambda wrapped: Item(
            f"{path}.document", wrapped.document, wrapped.base_revision
        )
    )


def _check_consistency(items: list[Item]) -> Faults:
    """Lists faults that can be found from the documents of the file alone.

    The current configuration is not taken into account.
    """
    faults: Faults = []
    known: dict[documents.DocumentKey, documents.Document] = {}
    for item in items:
        key = documents.get_key(item.value)
        if key in known:
            reason = f"{key.kind} {key.name!r} is in the file twice"
            faults.append(validation.Fault(item.path, reason))
        known[key] = item.value
    for item in items:
        found = documents.check_document(item.value, known, complete=False)
        faults.extend(validation.prefix_fault_paths(found, item.path))
    return faults
