"""Values for tests of routing and limits."""

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


class Clock:
    """A monotonic clock that tests advance."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


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
    """Sends one request, lets it take its time, and returns its upstream's id."""
    state = router.choose(context)
    router.start_attempt(state, context)
    latency_s = latency_of(state.instance.id)
    clock.now += latency_s
    answer = AttemptOutcome(latency_s, **outcome)
    router.finish_attempt(state, answer, context.policy)
    return state.instance.id


def build_admission_controller(router):
    """Returns an admission controller whose messages to the agent go nowhere."""
    reporter = ObservationReporter(ObservationTable(router.clock), "entry-0")
    return AdmissionController(
        "s", router, PermitClient(lambda message: None), reporter
    )
