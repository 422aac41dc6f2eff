"""Decoding of JSON into typed structs that reports all faults at once."""

import json
import types
import typing
from typing import Any

import msgspec
import result


class Fault(msgspec.Struct, frozen=True):
    """One reason why a value is invalid.

    Attributes:
      path: JSON path of the invalid field, for example `$.size.processors`.
      reason: What is wrong with the field.
    """

    path: str
    reason: str


def decode_document(text: bytes, kind: Any) -> result.Result[Any, list[Fault]]:
    """Decodes `text` into `kind`, a msgspec struct type.

    Args:
      text: A JSON document in UTF-8.
      kind: The struct type, or a tagged union of struct types.

    Returns:
      Ok with the struct, or Err with all faults.
    """
    parsed = parse_json(text)
    if parsed.is_err():
        return parsed
    return convert_value(parsed.ok_value, kind)


def parse_json(text: bytes) -> result.Result[Any, list[Fault]]:
    """Parses JSON and rejects duplicate keys.

    The `json` module would keep only the last value of a duplicate key.
    """
    duplicates: list[str] = []

    def collect_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields = dict(pairs)
        if len(fields) != len(pairs):
            keys = [key for key, _ in pairs]
            duplicates.extend(key for key in fields if keys.count(key) > 1)
        return fields

    try:
        value = json.loads(
            text,
            object_pairs_hook=collect_pairs,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        return result.Err([Fault("$", f"is not valid JSON: {error}")])
    if duplicates:
        return result.Err(
            [Fault("$", f"key {key!r} appears twice") for key in duplicates]
        )
    return result.Ok(value)


def convert_value(value: Any, kind: Any) -> result.Result[Any, list[Fault]]:
    """Converts parsed JSON into `kind`; Err lists all faults."""
    try:
        return result.Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        faults = _list_faults(value, kind, "$")
        return result.Err(faults or [Fault("$", str(error))])


def prefix_fault_paths(faults: list[Fault], path: str) -> list[Fault]:
    """Converts fault paths relative to `path` into absolute ones."""
    return [
        Fault(path + fault.path.removeprefix("$"), fault.reason)
        for fault in faults
    ]


def _refuse_constant(name: str) -> None:
    """Rejects NaN and Infinity, which `json` accepts but JSON does not have.

    Raises:
      ValueError: Always.
    """
    raise ValueError(f"{name} is not a JSON number")


def _list_faults(value: Any, kind: Any, path: str) -> list[Fault]:
    struct = _find_struct(value, kind)
    if struct is not None and isinstance(value, dict):
        return _list_struct_faults(value, struct, path)
    origin = typing.get_origin(kind)
    if origin in (list, tuple) and isinstance(value, list):
        item_kind = typing.get_args(kind)[0]
        return [
            fault
            for index, item in enumerate(value)
            for fault in _list_faults(item, item_kind, f"{path}[{index}]")
        ]
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return [_make_fault(str(error), path)]
    return []


def _list_struct_faults(
    value: dict[str, Any], struct: Any, path: str
) -> list[Fault]:
    fields = msgspec.structs.fields(struct)
    known = {field.encode_name for field in fields}
    tag = struct.__struct_config__.tag_field
    faults = [
        Fault(f"{path}.{key}", "is not a known field")
        for key in value
        if key not in known and key != tag
    ]
    for field in fields:
        field_path = f"{path}.{field.encode_name}"
        if field.encode_name in value:
            item = value[field.encode_name]
            faults.extend(_list_faults(item, field.type, field_path))
        elif field.required:
            faults.append(Fault(field_path, "is required"))
    return faults


def _find_struct(value: Any, kind: Any) -> Any:
    """Returns the struct type in `kind` that `value` should decode to, if any.

    In a union of several structs, the type is selected by the tag of `value`.
    """
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return None
    structs = [
        option
        for option in typing.get_args(kind)
        if isinstance(option, type) and issubclass(option, msgspec.Struct)
    ]
    if len(structs) == 1:
        return structs[0]
    for option in structs:
        config = option.__struct_config__
        if isinstance(value, dict) and value.get(config.tag_field) == (
            config.tag
        ):
            return option
    return None


def _make_fault(message: str, path: str) -> Fault:
    """Makes a fault from a msgspec message "reason - at `$.path`"."""
    reason, _, where = message.partition(" - at `")
    return Fault(path + where.rstrip("`").removeprefix("$"), reason)
