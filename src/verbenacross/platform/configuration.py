"""Decodes the operator's configuration into the route table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..customers.customer import Customer
from ..customers.customer_table import CustomerTable
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
        customers=decode_customers(root) if root.has("tenants") else None,
    )
    document.finish()
    return table


def decode_service(cluster: Fields) -> Service:
    """Decodes a service, which the configuration calls a cluster."""
    return Service(
        name=cluster.get_string("name"),
        health_path=cluster.get_string("health_check_path"),
        max_connections=cluster.get_int("max_connections", 1),
        cold_rate=cluster.get_number("warmup_per_s", 0.0, default=0.0),
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
        is_public=rule.get_bool("public", default=False),
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


def decode_customers(root: Fields) -> CustomerTable:
    """Decodes the customers; findings name the places of keys, never the keys."""
    customers_by_key: dict[str, Customer] = {}
    places: dict[str, str] = {}
    names: set[str] = set()
    for index, fields in enumerate(root.get_objects("tenants")):
        customer = decode_customer(fields)
        if customer.name in names:
            fields.add_finding("name", f"customer {customer.name!r} is defined twice")
        names.add(customer.name)
        for position, key in enumerate(fields.get_strings("api_keys")):
            place = f"$.tenants[{index}].api_keys[{position}]"
            if not key:
                fields.add_finding("api_keys", f"the key at {place} is empty")
            elif key in places:
                message = f"the key at {place} is also at {places[key]}"
                fields.add_finding("api_keys", message)
            places.setdefault(key, place)
            customers_by_key.setdefault(key, customer)
    return CustomerTable(customers_by_key)


def decode_customer(fields: Fields) -> Customer:
    """Decodes a customer without its keys."""
    name = fields.get_string("name")
    if not (name.isascii() and name.isprintable()):
        # The name is sent to upstreams in a header.
        fields.add_finding("name", "must consist of printable ASCII characters")
    return Customer(
        name=name,
        priority=fields.get_int("priority", 0) if fields.has("priority") else None,
        rate_per_s=fields.get_number("rate_per_s", 0.0, default=0.0),
        burst=fields.get_number("burst", 0.0, default=0.0),
    )


def decode_limits(limits: Fields) -> CallerLimits:
    """Decodes the limits on what callers may send."""
    return CallerLimits(
        max_header_bytes=limits.get_int("max_header_bytes", 1),
        max_body_bytes=limits.get_int("max_body_bytes", 0),
        header_timeout_s=limits.get_duration("header_timeout"),
        idle_timeout_s=limits.get_duration("idle_timeout"),
    )
