"""Passes over the tests that KNOWN-RED.txt lists; CI prints the list."""

import pathlib
import re

import pytest

_LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_ENTRY = re.compile(
    r"^python -m pytest (tests/\S+\.py) -k (\w+)$", re.MULTILINE
)


def pytest_collection_modifyitems(items):
    """Lets a listed test fail; it still runs."""
    listed = set()
    if _LIST.exists():
        listed = set(_ENTRY.findall(_LIST.read_text()))
    for item in items:
        path = item.location[0]
        if (path, item.originalname) in listed:
            mark = pytest.mark.xfail(strict=False, reason="KNOWN-RED.txt")
            item.add_marker(mark)
