"""In-process comparison of the choosers, for trying out changes quickly.

A discrete-event simulation with a virtual clock: entries with a router each, and
servers with slots and a queue. No processes, no network, no policy distribution. Run it
with ``python -m measure.choosers``; latencies are multiples of the mean short service
time.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import math
import random
from typing import TYPE_CHECKING, NamedTuple

from verbenacross.infrastructure.instance_list import Instance
from verbenacross.infrastructure.upstream_signals import LoadReport
from verbenacross.policy import Policy
from verbenacross.policy.policy import RequestClass, RoutingOptions, UpstreamOptions
from verbenacross.routing import AttemptOutcome, RequestContext, ServiceRouter
from verbenacross.settings import Address

if TYPE_CHECKING:
    from verbenacross.policy.policy import Chooser
    from verbenacross.routing import UpstreamState

SLOTS = 6
LONG_SHARE = 0.02
LONG_FACTOR = 20.0
SLOW_SERVER = 3
SLOWDOWN = 10.0
SERVICE_TIME_S = 0.08
BASELINE_CHOOSERS: tuple[Chooser, ...] = (
    "random",
    "round_robin",
    "least_in_flight",
    "two_choices",
)
LOAD_AWARE_CHOOSERS: tuple[Chooser, ...] = (
    "two_choices_reported",
    "report_pool",
    "least_estimated",
)


class Request(NamedTuple):
    """A request; ``service_time_s`` and the arrival ``due`` are in seconds."""

    size: str
    service_time_s: float
    entry: int
    due: float


class Attempt(NamedTuple):
    """A request that was sent to a server at ``sent_at``."""

    request: Request
    state: UpstreamState
    sent_at: float


class Server:
    """A simulated server with slots and a FIFO queue."""

    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.busy = 0
        self.waiting: collections.deque[Attempt] = collections.deque()


class ChooserComparison:
    """Simulation of one chooser."""

    def __init__(
        self,
        chooser: Chooser,
        servers: int,
        entries: int,
        with_slow_server: bool,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.latencies: list[float] = []
        self._generator = random.Random(seed)
        is_baseline = chooser in BASELINE_CHOOSERS
        routing = RoutingOptions(chooser, False, outlier_detection=not is_baseline)
        self._policy = Policy(
            1, "s", 1, upstreams=UpstreamOptions(SLOTS), routing=routing
        )
        self._policy = self._policy._replace(
            limits=self._policy.limits._replace(adaptive_concurrency=False)
        )
        self._servers = [
            Server(SLOWDOWN if with_slow_server and index == SLOW_SERVER else 1.0)
            for index in range(servers)
        ]
        self._routers = [self._build_router(entries) for _ in range(entries)]
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Request | Attempt]] = []

    def run(self, utilization: float, count: int) -> None:
        """Simulates ``count`` requests until all are completed."""
        mean = 1 + LONG_SHARE * (LONG_FACTOR - 1)
        rate = utilization * len(self._servers) * SLOTS / mean / SERVICE_TIME_S
        due = 0.0
        for _ in range(count):
            due += self._generator.expovariate(rate)
            self._schedule(due, self._generate_request(due))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            match event:
                case Request():
                    self._send(event)
                case Attempt():
                    self._finish(event)

    def _build_router(self, entries: int) -> ServiceRouter:
        router = ServiceRouter(self._generator, clock=lambda: self.now)
        router.set_instances(
            Instance(str(index), "s", Address("127.0.0.1", index + 1), "a")
            for index in range(len(self._servers))
        )
        router.set_peers([str(index) for index in range(entries)], "0")
        return router

    def _generate_request(self, due: float) -> Request:
        is_long = self._generator.random() < LONG_SHARE
        service_time_s = (
            SERVICE_TIME_S * self._generator.lognormvariate(0, 0.4) / math.exp(0.08)
        )
        entry = self._generator.randrange(len(self._routers))
        if is_long:
            return Request("long", service_time_s * LONG_FACTOR, entry, due)
        return Request("short", service_time_s, entry, due)

    def _schedule(self, due: float, event: Request | Attempt) -> None:
        heapq.heappush(self._events, (due, next(self._sequence), event))

    def _send(self, request: Request) -> None:
        router = self._routers[request.entry]
        context = self._build_context(request)
        state = router.choose(context)
        assert state is not None
        router.start_attempt(state, context)
        server = self._servers[int(state.instance.id)]
        attempt = Attempt(request, state, self.now)
        if server.busy < SLOTS:
            self._start(server, attempt)
        else:
            server.waiting.append(attempt)

    def _build_context(self, request: Request) -> RequestContext:
        request_class = RequestClass(request.size)
        return RequestContext("", "s", self._policy, 1, request_class, True, math.inf)

    def _start(self, server: Server, attempt: Attempt) -> None:
        server.busy += 1
        self._schedule(
            self.now + attempt.request.service_time_s * server.slowdown, attempt
        )

    def _finish(self, attempt: Attempt) -> None:
        server = self._servers[int(attempt.state.instance.id)]
        load = LoadReport(server.busy + len(server.waiting))
        outcome = AttemptOutcome(self.now - attempt.sent_at, load=load)
        self._routers[attempt.request.entry].finish_attempt(
            attempt.state, outcome, self._policy
        )
        if attempt.request.size == "short":
            self.latencies.append((self.now - attempt.request.due) / SERVICE_TIME_S)
        server.busy -= 1
        if server.waiting:
            self._start(server, server.waiting.popleft())


def main() -> None:
    """Prints p50, p99 and p99.9 latency of short requests for each chooser."""
    parser = argparse.ArgumentParser(prog="measure.choosers", description=__doc__)
    parser.add_argument("--servers", type=int, default=15)
    parser.add_argument("--entries", type=int, default=13)
    parser.add_argument("--utilization", type=float, default=0.7)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    sizes = (arguments.servers, arguments.entries)
    for with_slow_server in (False, True):
        for chooser in (*BASELINE_CHOOSERS, *LOAD_AWARE_CHOOSERS):
            run = ChooserComparison(chooser, *sizes, with_slow_server, arguments.seed)
            run.run(arguments.utilization, arguments.requests)
            ordered = sorted(run.latencies)
            figures = " ".join(
                f"{ordered[int(len(ordered) * share)]:8.2f}"
                for share in (0.5, 0.99, 0.999)
            )
            scenario = "slow-10x" if with_slow_server else "normal"
            print(f"{scenario:8} {chooser:20} {figures}")


if __name__ == "__main__":
    main()
