"""What the process learns from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..balancing.upstream import Upstream
    from ..routes.route_table import RouteTable


class ConfigurationChange(NamedTuple):
    """A new configuration, decoded and as it was stored."""

    table: RouteTable
    data: bytes


class UpstreamChange(NamedTuple):
    """An upstream as it describes itself now.

    ``upstream`` is ``None`` when its entry is gone or, as ``error`` tells, unusable.
    """

    id: str
    revision: int
    upstream: Upstream | None
    error: str = ""


class MemberChange(NamedTuple):
    """What another instance of the system says of itself; ``None`` when it is gone."""

    instance: str
    revision: int
    data: bytes | None


class InvalidConfiguration(NamedTuple):
    """A configuration that cannot be used; the last one stays in force."""

    revision: int
    reason: str


Change = ConfigurationChange | UpstreamChange | MemberChange | InvalidConfiguration
