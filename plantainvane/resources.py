"""Exact sums of resources: whole numbers, so that sums never drift."""

import math

import msgspec

from plantainvane import documents


# A placement makes and compares hundreds; a frozen dataclass took about three
# times as long to make and to hash.
class Resources(msgspec.Struct, frozen=True, gc=False):
    """Resources as integers.

    Attributes:
      millis: Thousandths of a processor.
      memory: Bytes.
      accelerators: Whole devices.
    """

    millis: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millis + other.millis,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millis - other.millis,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits_within(self, other: "Resources") -> bool:
        """Says whether this amount is within `other` in every resource."""
        return (
            self.millis <= other.millis
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
        )

    def find_dominant_share(self, other: "Resources") -> float:
        """Returns the largest ratio of this amount to `other`."""
        return max(
            self.millis / max(other.millis, 1),
            self.memory / max(other.memory, 1),
            self.accelerators / other.accelerators
            if other.accelerators
            else 0.0,
        )


def convert_size(size: documents.Size) -> Resources:
    """Converts a declared size, rounding up."""
    return Resources(
        math.ceil(size.processors * 1000), size.memory_bytes, size.accelerators
    )


def compute_batch_capacity(size: documents.Size, fraction: float) -> Resources:
    """Converts the part of a worker open to batch work, rounding down.

    Accelerators are whole devices that services do not use: all are open.
    """
    return Resources(
        math.floor(size.processors * fraction * 1000),
        math.floor(size.memory_bytes * fraction),
        size.accelerators,
    )
