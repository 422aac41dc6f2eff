"""Exact sums of resources: whole numbers, so that sums never drift."""

import math

import msgspec

from plantainvane import documents


# A placement makes and compares hundreds; a frozen dataclass took about three
# times as long to make and to hash.
class Amount(msgspec.Struct, frozen=True, gc=False):
    """Resources as integers.

    Attributes:
      millis: Thousandths of a processor.
      memory: Bytes.
      accelerators: Whole devices.
    """

    millis: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(
            self.millis + other.millis,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(
            self.millis - other.millis,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits(self, other: "Amount") -> bool:
        """Says whether this amount is within `other` in every resource."""
        return (
            self.millis <= other.millis
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
        )

    def divide_by(self, other: "Amount") -> float:
        """Returns the largest ratio of this amount to `other`."""
        return max(
            self.millis / max(other.millis, 1),
            self.memory / max(other.memory, 1),
            self.accelerators / other.accelerators
            if other.accelerators
            else 0.0,
        )


def measure_size(size: documents.Size) -> Amount:
    """Converts a declared size, rounding up."""
    return Amount(
        math.ceil(size.processors * 1000), size.memory_bytes, size.accelerators
    )


def measure_capacity(size: documents.Size, fraction: float) -> Amount:
    """Converts the part of a worker open to batch work, rounding down.

    Accelerators are whole devices that services do not use: all are open.
    """
    return Amount(
        math.floor(size.processors * fraction * 1000),
        math.floor(size.memory_bytes * fraction),
        size.accelerators,
    )
