"""Makes docs/settings.md from the settings types.

    python -m plantainvane.settings_page > docs/settings.md

Descriptions are the comments above the fields; limits come from the types.
"""

import ast
import inspect
import typing
from typing import Any

import msgspec

from plantainvane import settings as settings_module

_HEADER = """\
# Settings

Made by `python -m plantainvane.settings_page`; do not edit by hand. An entry
process reads one JSON file, `plantainvane entry --settings FILE`. It refuses
unknown fields and names every fault at once. Names that end in `_s`, `_ms` and
`_bytes` give the unit; a fraction is of 1.
"""


def make_page() -> str:
    """Makes the whole page as Markdown."""
    parts = [_HEADER, _make_section(settings_module.Settings, "")]
    for field in msgspec.structs.fields(settings_module.Settings):
        for kind in _list_structs(field.type):
            parts.append(_make_section(kind, field.name))
    return "\n".join(parts)


def _make_section(kind: type[msgspec.Struct], name: str) -> str:
    title = f"`{name}`" if name else "Top level"
    comments = _read_comments(kind)
    rows = [
        f"| `{field.name}` | {_describe_type(field.type)} |"
        f" {_describe_default(field)} | {comments.get(field.name, '')} |"
        for field in msgspec.structs.fields(kind)
    ]
    lines = [
        f"## {title}",
        "",
        " ".join(kind.__doc__.split()),
        "",
        "| field | type | default | meaning |",
        "| --- | --- | --- | --- |",
        *rows,
        "",
    ]
    return "\n".join(lines)


def _read_comments(kind: type[msgspec.Struct]) -> dict[str, str]:
    """Returns the comment directly above each field of a class."""
    source = inspect.getsource(kind)
    lines = source.splitlines()
    comments = {}
    for node in ast.parse(source).body[0].body:
        if not isinstance(node, ast.AnnAssign):
            continue
        first = node.lineno - 1
        while lines[first - 1].strip().startswith("#"):
            first -= 1
        text = [line.strip("# ") for line in lines[first : node.lineno - 1]]
        comments[node.target.id] = " ".join(text)
    return comments


def _describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    default = field.default
    if isinstance(default, msgspec.Struct):
        return "see below"
    return f"`{msgspec.json.encode(default).decode()}`"


def _describe_type(kind: Any) -> str:
    structs = _list_structs(kind)
    if structs:
        return "object" if structs[0] is kind else "list of objects"
    info = msgspec.inspect.type_info(kind)
    return _describe_info(info)


def _describe_info(info: Any) -> str:
    if isinstance(info, msgspec.inspect.UnionType):
        return " or ".join(_describe_info(option) for option in info.types)
    if isinstance(info, msgspec.inspect.VarTupleType):
        return f"list of {_describe_info(info.item_type)}"
    name = type(info).__name__.removesuffix("Type").lower()
    name = {"str": "text", "int": "integer", "float": "number"}.get(name, name)
    limits = [
        f"{sign} {value:g}"
        for field, sign in (("gt", ">"), ("ge", "≥"), ("lt", "<"), ("le", "≤"))
        if (value := getattr(info, field, None)) is not None
    ]
    if getattr(info, "pattern", None):
        limits.append("lower-case letters, digits and hyphens")
    return f"{name}, {', '.join(limits)}" if limits else name


def _list_structs(kind: Any) -> list[type[msgspec.Struct]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return [kind]
    return [
        struct
        for argument in typing.get_args(kind)
        for struct in _list_structs(argument)
    ]


if __name__ == "__main__":
    print(make_page(), end="")
