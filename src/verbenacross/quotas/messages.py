"""Messages between instances and the coordinators of quotas."""

from __future__ import annotations

from typing import NamedTuple


class Hello(NamedTuple):
    """Opens a link; ``is_coordinator`` states that the sender reports for a domain."""

    instance: str
    failure_domain: str
    is_coordinator: bool


class CustomerCount(NamedTuple):
    """Requests of a customer since the link was opened.

    ``admitted`` excludes refunded requests. The rates, in requests per second, are set
    in the reports of domain coordinators.
    """

    customer: str
    demand: int
    admitted: int
    demand_per_s: float = 0.0
    admitted_per_s: float = 0.0


class Report(NamedTuple):
    """Counts of the customers that changed; without any, a heartbeat.

    ``sequence`` grows with each message of a link; older ones are ignored.
    """

    sequence: int
    counts: tuple[CustomerCount, ...] = ()


class Fractions(NamedTuple):
    """Admitted fractions of all customers that have one."""

    version: int
    fractions: dict[str, float]


class Heartbeat(NamedTuple):
    """The coordinator is running and has not changed the fractions since a version."""

    version: int


Message = Hello | Report | Fractions | Heartbeat
