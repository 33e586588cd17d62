"""Field type for an IP address with a port."""

from __future__ import annotations

from typing import Annotated

from pydantic import BeforeValidator

from ..documents.address import Address


def parse_address(value: object) -> object:
    """Parses a string into an ``Address``; leaves other values to validation."""
    if isinstance(value, str):
        return Address.from_text(value)
    return value


AddressText = Annotated[Address, BeforeValidator(parse_address)]
