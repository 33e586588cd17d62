"""Interface of the platform's list of live and leaving instances."""

from __future__ import annotations

from typing import Literal, NamedTuple, Protocol

from ..settings.address import AddressText

AGENT_SERVICE = "verbenacross-agent"


class Instance(NamedTuple):
    """An instance in the platform's list, which may be out of date."""

    id: str
    service: str
    address: AddressText
    failure_domain: str
    state: Literal["live", "leaving"] = "live"


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self) -> tuple[Instance, ...]:
        """Reads all instances; raises ``InstanceListError`` if the call fails."""
