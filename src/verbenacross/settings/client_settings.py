"""Settings of the operators' command."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from pydantic import Field

from .address import AddressText


class ClientSettings(NamedTuple):
    """Settings of the operators' command.

    ``agents`` are admin addresses of agents; the first that answers gives the status.
    """

    store_url: str
    agents: tuple[AddressText, ...] = ()
    timeout_ms: Annotated[int, Field(gt=0)] = 5_000
