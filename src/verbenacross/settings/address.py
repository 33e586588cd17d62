"""An IP address with a port as a typed field."""

from __future__ import annotations

from typing import Annotated

from pydantic import BeforeValidator

from ..documents.address import Address


def parse_address(value: object) -> object:
    """Returns an ``Address`` for a text; leaves any other value to the checks."""
    if isinstance(value, str):
        return Address.from_text(value)
    return value


AddressText = Annotated[Address, BeforeValidator(parse_address)]
