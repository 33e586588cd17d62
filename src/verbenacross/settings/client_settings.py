"""Settings of the operator command."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

from pydantic import Field

from .address import AddressText
from .string_types import HttpUrl
from .typed_document import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class ClientSettings(NamedTuple):
    """Settings of the operator command.

    ``agents`` are admin addresses of agents; the status comes from the first that
    responds.
    """

    store_url: HttpUrl
    agents: tuple[AddressText, ...] = ()
    timeout_ms: Annotated[int, Field(gt=0)] = 5_000

    @staticmethod
    def find_conflicts(fields: Mapping[str, Any]) -> Iterator[Conflict]:
        """Yields conflicts between valid fields."""
        agents = fields.get("agents", ())
        for index, address in enumerate(agents):
            if address in agents[:index]:
                yield Conflict(f"$.agents[{index}]", f"{address} is named twice")
