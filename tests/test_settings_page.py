"""Checks docs/settings.md and the schemas against the types."""

import gc
import pathlib

import msgspec
import pytest

from plantainvane import schemas
from plantainvane import settings
from plantainvane import settings_page

ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture
def uncollected():
    """Lets no garbage be collected: see `test_style.parse_source`."""
    gc.disable()
    yield
    gc.enable()


def test_page_matches_the_code(uncollected):
    """Guards against documenting outdated defaults."""
    page = (ROOT / "docs" / "settings.md").read_text()
    assert page == settings_page.make_page(), (
        "run `python -m plantainvane.settings_page > docs/settings.md`"
    )


@pytest.mark.parametrize("kind", sorted(schemas.DOCUMENT_KINDS))
def test_schema_names_every_field(kind):
    """Guards against forms and editors without a field of a document."""
    whole = schemas.make_schemas()[kind]
    schema = whole["$defs"][whole["$ref"].rpartition("/")[2]]
    fields = msgspec.structs.fields(schemas.DOCUMENT_KINDS[kind])
    assert set(schema["properties"]) == {"kind", *(f.name for f in fields)}
    required = {f.name for f in fields if f.required}
    assert set(schema["required"]) == {"kind", *required}
    assert not schema["additionalProperties"]


@pytest.mark.parametrize("name", ["", "-a", "A", "a\n", "a b", "a" * 65])
def test_bad_names_are_refused(name):
    """Guards against names that would break a header, path or log line."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(name, settings.Name)
