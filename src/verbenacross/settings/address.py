"""Field type for an IP address with a port."""

from __future__ import annotations

from typing import Annotated

from pydantic import BeforeValidator

from ..documents.address import Address


def parse_address(value: object) -> object:
    """Parses a string into an ``Address``; leaves other values to validation.

    Raises ``ValueError`` for an array, which validation would take for the fields of an
    ``Address`` without parsing its host.
    """
    if isinstance(value, str):
        return Address.from_text(value)
    if isinstance(value, list):
        raise ValueError("must be an address, not an array")
    return value


AddressText = Annotated[Address, BeforeValidator(parse_address)]
