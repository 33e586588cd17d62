"""Settings of the entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

from pydantic import Field

from .address import AddressText
from .listen_check import find_listen_conflicts, is_loopback
from .string_types import HttpUrl, LogLevel
from .typed_document import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class EntrySettings(NamedTuple):
    """Settings of the entry process.

    Times end in ``_ms``. ``agent`` is the loopback address of the instance's agent.
    """

    instance: Annotated[str, Field(min_length=1, max_length=64)]
    failure_domain: Annotated[str, Field(min_length=1, max_length=64)]
    listen: AddressText
    admin_listen: AddressText
    agent: AddressText
    store_url: HttpUrl
    drain_notice_ms: Annotated[int, Field(ge=0)] = 1_000
    drain_timeout_ms: Annotated[int, Field(ge=0)] = 60_000
    max_header_bytes: Annotated[int, Field(ge=1_024)] = 16_384
    keyed_requests_per_second: Annotated[float, Field(gt=0)] = 20.0
    log_level: LogLevel = "INFO"
    access_log: bool = False

    @staticmethod
    def find_conflicts(fields: Mapping[str, Any]) -> Iterator[Conflict]:
        """Yields conflicts between valid fields."""
        yield from find_listen_conflicts(fields, ("listen", "admin_listen", "agent"))
        agent = fields.get("agent")
        if agent is not None and not is_loopback(agent):
            yield Conflict("$.agent", f"{agent} is not a loopback address")
