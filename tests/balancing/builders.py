"""Builds upstreams for tests."""

from __future__ import annotations

import functools

from measure.virtual_loop import run_in_virtual_time
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


def on_virtual_time(test):
    """Runs an asynchronous test on virtual time."""

    @functools.wraps(test)
    def run(**arguments):
        run_in_virtual_time(test(**arguments))

    return run
