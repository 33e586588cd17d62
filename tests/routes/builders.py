"""Builders of routes and route tables for tests."""

from __future__ import annotations

from verbenacross.routes.caller_limits import CallerLimits
from verbenacross.routes.route import Route, WeightedService
from verbenacross.routes.route_table import RouteTable
from verbenacross.routes.service import Service


def build_route(prefix: str = "/a/", **changes) -> Route:
    """Returns a route of ``host.example``."""
    route = Route(
        name=f"route {prefix}",
        host="host.example",
        prefix=prefix,
        idempotent=True,
        target_latency_s=0.3,
        priority=1,
        timeout_s=2.0,
        max_attempts=2,
        destinations=(WeightedService("service-a", 1.0),),
    )
    return route._replace(**changes)


def build_table(*routes: Route, version: int = 1, revision: int = 1) -> RouteTable:
    """Returns a table with these routes."""
    names = {
        destination.service for route in routes for destination in route.destinations
    }
    return RouteTable(
        version=version,
        revision=revision,
        limits=CallerLimits(16_384, 1_048_576, 3.0, 15.0),
        routes=routes,
        services={name: Service(name, "/health", 200) for name in names},
    )
