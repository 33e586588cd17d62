"""Settings of the entry process."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from pydantic import Field

from .address import AddressText


class EntrySettings(NamedTuple):
    """Settings of the entry process.

    Times end in ``_ms``. ``agent`` is the loopback address of the instance's agent.
    """

    instance: Annotated[str, Field(min_length=1, max_length=64)]
    failure_domain: Annotated[str, Field(min_length=1, max_length=64)]
    listen: AddressText
    admin_listen: AddressText
    agent: AddressText
    store_url: str
    drain_notice_ms: Annotated[int, Field(ge=0)] = 1_000
    drain_timeout_ms: Annotated[int, Field(ge=0)] = 60_000
    max_header_bytes: Annotated[int, Field(ge=1_024)] = 16_384
    keyed_requests_per_second: Annotated[float, Field(gt=0)] = 20.0
    log_level: str = "INFO"
    access_log: bool = False
