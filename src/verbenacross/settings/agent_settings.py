"""Settings of the agent process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

from pydantic import Field

from ..documents.address import Address
from .address import AddressText
from .listen_check import find_listen_conflicts, is_wildcard
from .string_types import HttpUrl, LogLevel
from .typed_document import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MIN_SHARED_KEY_CHARACTERS = 16


class AgentSettings(NamedTuple):
    """Settings of the agent process.

    Times end in ``_ms`` and rates in ``_per_second``. ``peer_listen`` is the address
    that other agents connect to, ``entry_listen`` the one for entries of this instance.
    """

    instance: Annotated[str, Field(min_length=1, max_length=64)]
    failure_domain: Annotated[str, Field(min_length=1, max_length=64)]
    peer_listen: AddressText
    entry_listen: AddressText
    admin_listen: AddressText
    store_url: HttpUrl
    list_url: HttpUrl
    shared_key: Annotated[str, Field(min_length=MIN_SHARED_KEY_CHARACTERS)]
    region: str = "default"
    seeds: tuple[AddressText, ...] = ()
    peer_links: Annotated[int, Field(ge=2, le=32)] = 6
    readers_per_failure_domain: Annotated[int, Field(ge=1, le=8)] = 2
    ownership_shards: Annotated[int, Field(ge=1, le=4096)] = 32
    membership_bytes_per_second: Annotated[int, Field(ge=256)] = 4096
    advertise: AddressText | None = None
    log_level: LogLevel = "INFO"

    @property
    def peer_address(self) -> Address:
        """The address that is advertised to other agents."""
        return self.advertise or self.peer_listen

    @staticmethod
    def find_conflicts(fields: Mapping[str, Any]) -> Iterator[Conflict]:
        """Yields conflicts between valid fields."""
        yield from find_listen_conflicts(
            fields, ("peer_listen", "entry_listen", "admin_listen")
        )
        name = "advertise" if fields.get("advertise") else "peer_listen"
        address = fields.get(name)
        if address is not None and is_wildcard(address):
            message = f"other agents cannot connect to {address}; set advertise"
            yield Conflict(f"$.{name}", message)
