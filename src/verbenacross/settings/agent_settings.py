"""Settings of the agent process."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from pydantic import Field

from .address import Address, AddressText

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
    store_url: str
    list_url: str
    shared_key: Annotated[str, Field(min_length=MIN_SHARED_KEY_CHARACTERS)]
    region: str = "default"
    seeds: tuple[AddressText, ...] = ()
    peer_links: Annotated[int, Field(ge=2, le=32)] = 6
    readers_per_failure_domain: Annotated[int, Field(ge=1, le=8)] = 2
    ownership_shards: Annotated[int, Field(ge=1, le=4096)] = 32
    membership_bytes_per_second: Annotated[int, Field(ge=256)] = 4096
    advertise: AddressText | None = None
    log_level: str = "INFO"

    @property
    def peer_address(self) -> Address:
        """The address that other agents are told to connect to."""
        return self.advertise or self.peer_listen
