"""Decodes the operator's configuration into the route table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..documents.fields import Document
from ..routes.caller_limits import CallerLimits
from ..routes.route import Route, WeightedService
from ..routes.route_table import RouteTable
from ..routes.service import Service

if TYPE_CHECKING:
    from ..documents.fields import Fields

# Requests of these kinds may run more than once; those of any other kind may not.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})


def decode_configuration(
    data: bytes, revision: int, source: str = "configuration"
) -> RouteTable:
    """Decodes the route table; raises ``InvalidDocumentError`` with every finding."""
    document = Document(source, data)
    root = document.root
    services = {
        service.name: service
        for service in map(decode_service, root.get_objects("clusters"))
    }
    routes = []
    for listener in root.get_objects("listeners"):
        host = listener.get_string("host").lower()
        for rule in listener.get_objects("rules"):
            route = decode_route(rule, host)
            for destination in route.destinations:
                if destination.service not in services:
                    name = destination.service
                    rule.add_finding("action", f"service {name!r} is not defined")
            routes.append(route)
    table = RouteTable(
        version=root.get_int("version", 0),
        revision=revision,
        limits=decode_limits(root.get_object("limits")),
        routes=routes,
        services=services,
    )
    document.finish()
    return table


def decode_service(cluster: Fields) -> Service:
    """Decodes a service, which the configuration calls a cluster."""
    return Service(
        name=cluster.get_string("name"),
        health_path=cluster.get_string("health_check_path"),
        max_connections=cluster.get_int("max_connections", 1),
    )


def decode_route(rule: Fields, host: str) -> Route:
    """Decodes a route from a rule, which consists of a match and an action."""
    action = rule.get_object("action")
    prefix = rule.get_object("match").get_string("path_prefix")
    return Route(
        name=rule.get_string("name", default=f"{host}{prefix}"),
        host=host,
        prefix=prefix,
        # Only the kind tells whether requests are idempotent; the method does not.
        idempotent=rule.get_string("kind") in IDEMPOTENT_KINDS,
        target_latency_s=rule.get_duration("target_latency"),
        # 0 is the highest priority.
        priority=rule.get_int("priority", 0),
        timeout_s=action.get_duration("timeout"),
        max_attempts=action.get_int("max_attempts", 1),
        destinations=decode_destinations(action),
    )


def decode_destinations(action: Fields) -> tuple[WeightedService, ...]:
    """Decodes the services of a route and their weights."""
    if not action.has("weighted_services"):
        return (WeightedService(action.get_string("service"), 1.0),)
    destinations = tuple(
        WeightedService(part.get_string("service"), part.get_number("weight", 0.0))
        for part in action.get_objects("weighted_services")
    )
    if not any(destination.weight > 0 for destination in destinations):
        action.add_finding("weighted_services", "needs a weight above 0")
    return destinations


def decode_limits(limits: Fields) -> CallerLimits:
    """Decodes the limits on what callers may send."""
    return CallerLimits(
        max_header_bytes=limits.get_int("max_header_bytes", 1),
        max_body_bytes=limits.get_int("max_body_bytes", 0),
        header_timeout_s=limits.get_duration("header_timeout"),
        idle_timeout_s=limits.get_duration("idle_timeout"),
    )
