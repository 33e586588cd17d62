"""All routes of one version."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .caller_limits import CallerLimits
    from .route import Route
    from .service import Service


class RouteTable:
    """All routes of one version; ``revision`` is the store's."""

    def __init__(
        self,
        version: int,
        revision: int,
        limits: CallerLimits,
        routes: Iterable[Route],
        services: Mapping[str, Service],
    ) -> None:
        self.version = version
        self.revision = revision
        self.limits = limits
        self.services = services
        self.routes = {route.key: route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path.

        Prefixes begin and end with a slash, so only the slashes of the path are tried.
        """
        name = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
