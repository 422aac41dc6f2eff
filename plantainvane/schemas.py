"""JSON Schemas of documents and settings, generated from the types."""

from typing import Any

import msgspec

from plantainvane import documents
from plantainvane import settings as settings_module

DOCUMENT_KINDS: dict[str, type[msgspec.Struct]] = {
    kind.__struct_config__.tag: kind
    for kind in (
        documents.ServiceClass,
        documents.BatchClass,
        documents.Quota,
        documents.ClusterLimits,
    )
}


def make_schemas() -> dict[str, Any]:
    """Generates the JSON Schemas (2020-12) of documents and settings.

    Returns:
      Schemas by document kind, and that of the settings file as `settings`.
    """
    kinds = DOCUMENT_KINDS | {"settings": settings_module.Settings}
    return {name: msgspec.json.schema(kind) for name, kind in kinds.items()}
