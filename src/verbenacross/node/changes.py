"""Changes that are decoded from the store's records."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..balancing.upstream import Upstream
    from ..routes.route_table import RouteTable


class ConfigurationChange(NamedTuple):
    """A new configuration, as route table and as stored."""

    table: RouteTable
    data: bytes


class UpstreamChange(NamedTuple):
    """A changed or removed entry of an upstream.

    ``upstream`` is ``None`` when the entry is removed or invalid; ``error`` states why
    it is invalid.
    """

    id: str
    revision: int
    upstream: Upstream | None
    error: str = ""


class MemberChange(NamedTuple):
    """A changed record of an instance; ``data`` is ``None`` when it is removed."""

    instance: str
    revision: int
    data: bytes | None


class InvalidConfiguration(NamedTuple):
    """A configuration that is invalid or deleted; the last one stays in force."""

    revision: int
    reason: str


class EvacuationChange(NamedTuple):
    """The start or the end of the evacuation of a failure domain."""

    failure_domain: str
    revision: int
    is_evacuated: bool


Change = (
    ConfigurationChange
    | UpstreamChange
    | MemberChange
    | InvalidConfiguration
    | EvacuationChange
)
