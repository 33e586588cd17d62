"""Route table of one configuration version."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..customers.customer_table import CustomerTable
    from .caller_limits import CallerLimits
    from .route import Route
    from .service import Service


class RouteTable:
    """All routes, services and limits of one configuration version.

    ``version`` is the operator's, ``revision`` the store's. Without ``customers``,
    requests need no API key.
    """

    def __init__(
        self,
        version: int,
        revision: int,
        limits: CallerLimits,
        routes: Iterable[Route],
        services: Mapping[str, Service],
        customers: CustomerTable | None = None,
    ) -> None:
        self.version = version
        self.revision = revision
        self.limits = limits
        self.services = services
        self.customers = customers
        self.routes = {route.key: route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix that matches a path.

        The host is matched without regard to case. Prefixes begin and end with a slash,
        so only the parts of the path up to each slash are looked up.
        """
        host = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
