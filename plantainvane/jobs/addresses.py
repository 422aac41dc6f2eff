"""Addresses and ids that records of other programs name."""

from plantainvane import settings as product_settings


def is_callable(address: str) -> bool:
    """Tells whether `address` is an `ip:port` to which calls can be sent.

    An address with a zone, such as `[fe80::1%eth0]:80`, has a meaning only on
    the machine that it comes from, and the zone may be any text.
    """
    port = address.rpartition(":")[2]
    return (
        is_header_value(address)
        and port.isdecimal()
        and "%" not in address
        and product_settings.is_address(address)
    )


def is_header_value(text: str) -> bool:
    """Tells whether calls can carry `text` in a header."""
    return bool(text) and text.isascii() and text.isprintable()
