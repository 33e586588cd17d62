"""In-process comparison of the choosers only, for trying out changes quickly.

Discrete events with a virtual clock: entries with a router each, and servers with slots
and a queue. No processes, no network, no policy distribution. Run it with
``python -m measure.choosers``; times are multiples of the mean short work.
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
SLOWED_SERVER = 3
SLOWDOWN = 10.0
WORK_S = 0.08
PLAIN_CHOOSERS: tuple[Chooser, ...] = (
    "random",
    "round_robin",
    "least_in_flight",
    "two_choices",
)
FULL_CHOOSERS: tuple[Chooser, ...] = (
    "two_choices_reported",
    "report_pool",
    "least_estimated",
)


class Work(NamedTuple):
    """A request with its work, entry and arrival."""

    size: str
    work: float
    entry: int
    due: float


class Sent(NamedTuple):
    """A request on a server."""

    work: Work
    state: UpstreamState
    sent: float


class Server:
    """Slots in use and requests that wait, in order of arrival."""

    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.busy = 0
        self.waiting: collections.deque[Sent] = collections.deque()


class ChooserComparison:
    """One run of one chooser."""

    def __init__(
        self, chooser: Chooser, servers: int, entries: int, slowed: bool, seed: int
    ) -> None:
        self.now = 0.0
        self.latencies: list[float] = []
        self._generator = random.Random(seed)
        plain = chooser in PLAIN_CHOOSERS
        routing = RoutingOptions(chooser, False, outlier_detection=not plain)
        self._policy = Policy(
            1, "s", 1, upstreams=UpstreamOptions(SLOTS), routing=routing
        )
        self._policy = self._policy._replace(
            limits=self._policy.limits._replace(adaptive_concurrency=False)
        )
        self._servers = [
            Server(SLOWDOWN if slowed and index == SLOWED_SERVER else 1.0)
            for index in range(servers)
        ]
        self._routers = [self._build_router(entries) for _ in range(entries)]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Work | Sent]] = []

    def run(self, utilization: float, count: int) -> None:
        """Runs a number of requests to the end."""
        mean = 1 + LONG_SHARE * (LONG_FACTOR - 1)
        rate = utilization * len(self._servers) * SLOTS / mean / WORK_S
        due = 0.0
        for _ in range(count):
            due += self._generator.expovariate(rate)
            self._push(due, self._draw(due))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            match event:
                case Work():
                    self._send(event)
                case Sent():
                    self._finish(event)

    def _build_router(self, entries: int) -> ServiceRouter:
        router = ServiceRouter(self._generator, clock=lambda: self.now)
        router.set_instances(
            Instance(str(index), "s", Address("127.0.0.1", index + 1), "a")
            for index in range(len(self._servers))
        )
        router.set_peers([str(index) for index in range(entries)], "0")
        return router

    def _draw(self, due: float) -> Work:
        is_long = self._generator.random() < LONG_SHARE
        work = WORK_S * self._generator.lognormvariate(0, 0.4) / math.exp(0.08)
        entry = self._generator.randrange(len(self._routers))
        if is_long:
            return Work("long", work * LONG_FACTOR, entry, due)
        return Work("short", work, entry, due)

    def _push(self, due: float, event: Work | Sent) -> None:
        heapq.heappush(self._events, (due, next(self._numbers), event))

    def _send(self, work: Work) -> None:
        router = self._routers[work.entry]
        context = self._build_context(work)
        state = router.choose(context)
        assert state is not None
        router.start_attempt(state, context)
        server = self._servers[int(state.instance.id)]
        sent = Sent(work, state, self.now)
        if server.busy < SLOTS:
            self._start(server, sent)
        else:
            server.waiting.append(sent)

    def _build_context(self, work: Work) -> RequestContext:
        request_class = RequestClass(work.size)
        return RequestContext("", "s", self._policy, 1, request_class, True, math.inf)

    def _start(self, server: Server, sent: Sent) -> None:
        server.busy += 1
        self._push(self.now + sent.work.work * server.slowdown, sent)

    def _finish(self, sent: Sent) -> None:
        server = self._servers[int(sent.state.instance.id)]
        load = LoadReport(server.busy + len(server.waiting))
        outcome = AttemptOutcome(self.now - sent.sent, load=load)
        self._routers[sent.work.entry].finish_attempt(sent.state, outcome, self._policy)
        if sent.work.size == "short":
            self.latencies.append((self.now - sent.work.due) / WORK_S)
        server.busy -= 1
        if server.waiting:
            self._start(server, server.waiting.popleft())


def main() -> None:
    """Prints p50, p99 and p99.9 of short work for each chooser."""
    parser = argparse.ArgumentParser(prog="measure.choosers", description=__doc__)
    parser.add_argument("--servers", type=int, default=15)
    parser.add_argument("--entries", type=int, default=13)
    parser.add_argument("--utilization", type=float, default=0.7)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    sizes = (arguments.servers, arguments.entries)
    for slowed in (False, True):
        for chooser in (*PLAIN_CHOOSERS, *FULL_CHOOSERS):
            run = ChooserComparison(chooser, *sizes, slowed, arguments.seed)
            run.run(arguments.utilization, arguments.requests)
            ordered = sorted(run.latencies)
            figures = " ".join(
                f"{ordered[int(len(ordered) * share)]:8.2f}"
                for share in (0.5, 0.99, 0.999)
            )
            print(f"{'slow-10x' if slowed else 'normal':8} {chooser:20} {figures}")


if __name__ == "__main__":
    main()
