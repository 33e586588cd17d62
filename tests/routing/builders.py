"""Builders of values for the tests of routing and limits."""

import random

from verbenacross.infrastructure.instance_list import Instance
from verbenacross.limits import AdmissionController, PermitClient
from verbenacross.policy.policy import (
    LimitOptions,
    Policy,
    RequestClass,
    RoutingOptions,
    UpstreamOptions,
)
from verbenacross.routing import AttemptOutcome, RequestContext, ServiceRouter
from verbenacross.settings import Address
from verbenacross.upstreams import ObservationReporter, ObservationTable


def build_instance(index, domain="a", state="live"):
    return Instance(f"u{index}", "s", Address("127.0.0.1", 1000 + index), domain, state)


def build_policy(limits=None, upstreams=None, **routing):
    routing = {"chooser": "least_estimated", **routing}
    return Policy(
        1,
        "s",
        1,
        upstreams=UpstreamOptions(**(upstreams or {})),
        routing=RoutingOptions(**routing),
        limits=LimitOptions(**(limits or {})),
    )


def build_context(policy, deadline=1e12, size="short", priority=5):
    request_class = RequestClass(size, size=size, priority=priority)
    return RequestContext("r", "s", policy, 1, request_class, True, deadline)


def build_router(clock, upstreams=4, peers=1, seed=1, domains="a", **options):
    router = ServiceRouter(random.Random(seed), "a", clock=clock, **options)
    router.set_instances(
        build_instance(index, domains[index % len(domains)])
        for index in range(upstreams)
    )
    router.set_peers([f"entry-{index}" for index in range(peers)], "entry-0")
    return router


def run_request(router, clock, context, latency_of, **outcome):
    """Runs one request to its end and returns the id of its upstream.

    The clock advances by ``latency_of(upstream_id)`` seconds.
    """
    state = router.choose(context)
    router.start_attempt(state, context)
    latency_s = latency_of(state.instance.id)
    clock.now += latency_s
    router.finish_attempt(state, AttemptOutcome(latency_s, **outcome), context.policy)
    return state.instance.id


def build_admission_controller(router):
    """Builds an admission controller that discards its messages to the agent."""
    reporter = ObservationReporter(ObservationTable(router.clock), "entry-0")
    return AdmissionController(
        "s", router, PermitClient(lambda message: None), reporter
    )
