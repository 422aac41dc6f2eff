"""Decoding of documents that other programs have written."""

from typing import Any

import msgspec
import result


def decode(
    decoder: msgspec.json.Decoder, content: bytes
) -> result.Result[Any, str]:
    """Decodes `content`; an error is its reason, whatever the bytes are."""
    try:
        return result.Ok(decoder.decode(content))
    except (ValueError, RecursionError) as error:
        # Faults of type and syntax are ValueErrors, and so is text that is not
        # UTF-8; deep nesting is a RecursionError.
        return result.Err(str(error))
