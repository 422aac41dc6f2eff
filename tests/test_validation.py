"""Tests of plantainvane.validation."""

from plantainvane import documents
from plantainvane import validation


def test_decode_document_lists_every_fault_at_once():
    """Guards against reporting only one fault per attempt to publish."""
    text = b"""{"kind": "batch_class", "name": "outlook", "extra": 1,
               "priority": "soon", "size": {"processors": -1}}"""
    faults = validation.decode_document(text, documents.Document).err_value
    assert [fault.path for fault in faults] == [
        "$.extra",
        "$.team",
        "$.priority",
        "$.size.processors",
    ]


def test_decode_document_refuses_duplicate_keys():
    """Guards against silently using the last of two equal keys."""
    text = b'{"kind": "quota", "name": "a", "name": "b", "limit": {}}'
    faults = validation.decode_document(text, documents.Document).err_value
    assert faults == [validation.Fault("$", "key 'name' appears twice")]
