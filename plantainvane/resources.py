"""Resource vectors of integers, so that sums have no rounding error."""

import math

import msgspec

from plantainvane import documents


# A placement creates and compares hundreds of these. A frozen dataclass took
# about three times as long to create and to hash.
class Resources(msgspec.Struct, frozen=True, gc=False):
    """Resources demanded, used or available.

    Attributes:
      millis: Processors, in thousandths of one.
      memory: Memory in bytes.
      accelerators: Number of devices.
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
        """Returns whether no resource exceeds that of `other`."""
        return (
            self.millis <= other.millis
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
        )

    def find_dominant_share(self, other: "Resources") -> float:
        """Returns the largest ratio of any resource to that of `other`."""
        return max(
            self.millis / max(other.millis, 1),
            self.memory / max(other.memory, 1),
            self.accelerators / other.accelerators
            if other.accelerators
            else 0.0,
        )


def convert_size(size: documents.Size) -> Resources:
    """Converts a declared size, rounding processors up."""
    return Resources(
        math.ceil(size.processors * 1000), size.memory_bytes, size.accelerators
    )


def compute_batch_capacity(size: documents.Size, fraction: float) -> Resources:
    """Returns the part of a worker that batch work may use, rounded down.

    `fraction` applies to processors and memory. All accelerators are open to
    batch work, because they are whole devices that services do not use.
    """
    return Resources(
        math.floor(size.processors * fraction * 1000),
        math.floor(size.memory_bytes * fraction),
        size.accelerators,
    )
