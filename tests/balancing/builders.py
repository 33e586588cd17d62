"""Builds upstreams for tests."""

from __future__ import annotations

from verbenacross.balancing.upstream import Upstream


def build_upstream(identifier: str, **changes) -> Upstream:
    """Builds an upstream with default properties; ``changes`` override them."""
    upstream = Upstream(
        id=identifier,
        service="service-a",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=6,
        draining=False,
        cold_start_s=0.0,
        started_ms=0,
    )
    return upstream._replace(**changes)
