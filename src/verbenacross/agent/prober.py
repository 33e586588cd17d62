"""Probes the upstreams of held shards within the policies' budget."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import logbook
from aioprometheus import Counter, Gauge

from ..exceptions import VerbenacrossError
from ..infrastructure.probe_answers import read_health, read_load_answer
from ..infrastructure.upstream_signals import read_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import Registry

    from ..infrastructure.instance_list import Instance
    from ..upstreams import UpstreamDirectory
    from ..upstreams.observation_reporter import ObservationReporter
    from .service_policies import ServicePolicies
    from .shard_ownership import ShardOwnership

PLAN_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
MIN_WAIT_S = 1.0
# Probes are sent more slowly than the budget: a delay of up to 250 ms on the way must
# not move one of them into a second that already has all its probes.
PACE_MARGIN = 1.25
PROBE_PATHS = ("/health", "/load")

logger = logbook.Logger("verbenacross.agent.prober")


class LeaseEndedError(VerbenacrossError):
    """The shard's lease ended before the probe was sent."""


class Target(NamedTuple):
    """An upstream to probe; any difference starts its budget anew."""

    instance: Instance
    shard: int
    held_since: float
    interval_s: float


class ProbeTicket:
    """Checks the lease right before a probe is written and notes the moment."""

    def __init__(self, holds: Callable[[], bool]) -> None:
        self.sent_at: float | None = None
        self._holds = holds

    def use(self) -> None:
        """Notes that the probe is sent; raises ``LeaseEndedError`` if it must not be.

        The check runs after the connection is open, as a process that is paused while
        it connects would otherwise send the probe after its lease has ended.
        """
        if not self._holds():
            raise LeaseEndedError("the lease ended before the probe was sent")
        self.sent_at = time.monotonic()


class Prober:
    """Probes each upstream of the held shards, one task an upstream.

    Only the holder of a shard's lease probes its upstreams, so the budget holds over
    all instances. Nobody knows when an earlier holder probed, hence each upstream
    waits for its interval, at least a second, after the acquisition.
    """

    def __init__(
        self,
        ownership: ShardOwnership,
        directory: UpstreamDirectory,
        policies: ServicePolicies,
        reporter: ObservationReporter,
        registry: Registry,
    ) -> None:
        self._ownership = ownership
        self._directory = directory
        self._policies = policies
        self._reporter = reporter
        self._tasks: dict[str, tuple[Target, asyncio.Task[None]]] = {}
        self._sent = 0
        self._failed = 0
        self._suppressed = 0
        self._probes = Counter(
            "verbenacross_probes_total", "Probes sent by result", registry=registry
        )
        self._targets = Gauge(
            "verbenacross_probe_targets", "Upstreams probed", registry=registry
        )

    async def run(self) -> None:
        """Probes until cancelled."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(use_ticket)
        trace.on_connection_create_end.append(use_ticket)
        async with aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[trace],
        ) as session:
            try:
                while True:
                    self._plan(session)
                    await asyncio.sleep(PLAN_INTERVAL_S)
            finally:
                for _, task in self._tasks.values():
                    task.cancel()

    def dump_state(self) -> dict[str, int]:
        """Returns the numbers of probes and targets."""
        return {
            "targets": len(self._tasks),
            "sent": self._sent,
            "failed": self._failed,
            "suppressed_without_lease": self._suppressed,
        }

    def find_targets(self) -> dict[str, Target]:
        """Returns the upstreams that the held shards and the policies give."""
        held = self._ownership.get_held()
        if not held:
            return {}
        targets = {}
        for service in self._policies.get_services():
            shard = self._ownership.find_shard(service)
            interval_s = self._policies.get_probe_interval_s(service)
            if shard not in held or interval_s is None:
                continue
            for instance in self._directory.get_instances(service):
                targets[instance.id] = Target(
                    instance, shard, held[shard], interval_s * PACE_MARGIN
                )
        return targets

    def _plan(self, session: aiohttp.ClientSession) -> None:
        targets = self.find_targets()
        for key, (target, task) in list(self._tasks.items()):
            if targets.get(key) != target:
                task.cancel()
                del self._tasks[key]
        for key, target in targets.items():
            if key not in self._tasks:
                task = asyncio.create_task(self._follow(session, target))
                self._tasks[key] = (target, task)
        self._targets.set({}, len(self._tasks))

    async def _follow(self, session: aiohttp.ClientSession, target: Target) -> None:
        wait_s = max(MIN_WAIT_S, target.interval_s)
        await asyncio.sleep(wait_s + random.uniform(0, target.interval_s))
        number = random.randrange(len(PROBE_PATHS))
        while True:
            number += 1
            started_at = time.monotonic()
            ticket = ProbeTicket(lambda: self._ownership.holds(target.shard))
            path = PROBE_PATHS[number % len(PROBE_PATHS)]
            await self._probe(session, target, path, ticket)
            due_at = (ticket.sent_at or started_at) + target.interval_s
            await asyncio.sleep(due_at - time.monotonic())

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        target: Target,
        path: str,
        ticket: ProbeTicket,
    ) -> None:
        url = f"http://{target.instance.address}{path}"
        try:
            async with session.get(
                url,
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
                trace_request_ctx=ticket,
                allow_redirects=False,
            ) as answer:
                body = await answer.read()
                self._take_answer(target, path, answer, body)
            self._count(ticket, "answered")
        except LeaseEndedError:
            self._suppressed += 1
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._count(ticket, "failed")
            self._failed += 1
            logger.debug("probe of {} failed: {!r}", target.instance.id, error)

    def _count(self, ticket: ProbeTicket, result: str) -> None:
        if ticket.sent_at is None:
            return
        self._sent += 1
        self._probes.inc({"result": result})

    def _take_answer(
        self, target: Target, path: str, answer: aiohttp.ClientResponse, body: bytes
    ) -> None:
        upstream = target.instance.id
        cold_start_ms = self._policies.get_cold_start_ms(target.instance.service)
        state = read_state(answer.headers)
        if path == "/health":
            state = read_health(body) or state
        else:
            load = read_load_answer(body)
            if load is not None:
                self._reporter.report_load(upstream, load.in_flight)
        self._reporter.report_state(upstream, state, cold_start_ms)


async def use_ticket(session: Any, context: Any, parameters: Any) -> None:
    """Trace hook: the connection is ready and the probe is about to be written."""
    context.trace_request_ctx.use()
