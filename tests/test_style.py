"""Checks rules of the project's style that the linter cannot express."""

import ast
import gc
import importlib.util
import pathlib
import traceback

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ("plantainvane", "standins", "bench", "tests")
# Names may be imported from these modules; all other imports name a module.
TYPE_MODULES = ("collections.abc", "typing")
GENERATED = ("messages_pb2.py", "messages_grpc.py")


def parse_source(source: str) -> ast.Module:
    """Parses a source without a garbage collection in between.

    A task that an earlier test has left behind may print its traceback when it
    is collected. That parses sources as well, and CPython 3.11 then ends the
    outer call with a SystemError.
    """
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        gc.enable()


def list_name_imports(source: str) -> list[str]:
    """Lists imported names that are not modules."""
    found = []
    for node in ast.walk(parse_source(source)):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module in TYPE_MODULES:
            continue
        found.extend(
            f"{node.module}.{alias.name}"
            for alias in node.names
            if not is_module(node.module or "", alias.name)
        )
    return found


def is_module(package: str, name: str) -> bool:
    if package in PACKAGES:  # Their __init__ modules define no names.
        return True
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:  # `package` is a module without submodules.
        return False


def test_modules_are_imported_not_names():
    # Guards against names whose origin is not visible at their use, and against
    # tests that patch a name in one importing module only.
    found = {
        str(path.relative_to(ROOT)): names
        for package in PACKAGES
        for path in (ROOT / package).rglob("*.py")
        if path.name not in GENERATED
        and (names := list_name_imports(path.read_text()))
    }
    assert found == {}


def test_sources_are_parsed_while_tracebacks_are_printed():
    # Guards against a failure of these checks that an earlier test causes.
    class Leftover:
        def __init__(self):
            self.cycle = self

        def __del__(self):
            try:
                raise KeyError
            except KeyError:
                traceback.format_exc()

    for _ in range(300):
        Leftover()
        parse_source("x = [" + "f(1)," * 300 + "]")


def test_a_name_import_is_found():
    assert list_name_imports("from plantainvane.log import Page") == [
        "plantainvane.log.Page"
    ]
    assert list_name_imports("from plantainvane import log") == []
