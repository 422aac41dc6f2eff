"""Checks that docs/events.md and the code list the same log events."""

import ast
import collections
import pathlib
import re

import eliot

from plantainvane import events

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| (.+) \| (.+) \|$")


def list_events() -> dict[str, events.Event]:
    return {
        name: value
        for name, value in vars(events).items()
        if isinstance(value, events.Event)
    }


def test_catalogue_and_code_list_the_same_events():
    # Guards against events that on-call operators cannot look up, and against
    # rows for events that no longer exist.
    lines = (ROOT / "docs" / "events.md").read_text().splitlines()
    rows = [match.groups() for line in lines if (match := ROW.match(line))]
    catalogued = [(int(row[0]), row[1], row[2]) for row in rows]
    in_code = [
        (e.number, e.name, e.level.value) for e in list_events().values()
    ]
    assert catalogued == sorted(in_code)


def test_numbers_and_names_are_used_once():
    found = list_events()
    for field in ("number", "name"):
        counts = collections.Counter(getattr(e, field) for e in found.values())
        assert [value for value, count in counts.items() if count > 1] == []
    for name, event in found.items():
        assert name == event.name.upper()
        assert 101 <= event.number <= 999


def test_every_event_is_logged_somewhere():
    # Guards against documenting events that are never logged.
    used = {"LIBRARY_MESSAGE"}  # Logged by the module that defines it.
    for path in (ROOT / "plantainvane").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == "events"
            ):
                used.add(node.attr)
    assert sorted(set(list_events()) - used) == []


def test_a_line_has_the_fields_of_its_event_and_no_action():
    # Guards against a cost of logging that holds up an owner: an action and a
    # UUID for each line take several times the rest of the line.
    written = []
    eliot.add_destinations(written.append)
    try:
        events.log_event(events.JOB_LOADED, job="1b", tasks=2)
    finally:
        eliot.remove_destination(written.append)
    line = written[-1]
    assert list(line) == [
        "level",
        "job",
        "tasks",
        "timestamp",
        "message_type",
    ]
    assert line["level"] == "info"
    assert line["message_type"] == "plantainvane:804:job_loaded"
    assert line["job"] == "1b"
