"""Probes the upstreams of held shards within the budget of their policies."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import logbook
from aioprometheus import Counter, Gauge

from ..exceptions import VerbenacrossError
from ..infrastructure.probe_responses import parse_health_response, parse_load_response
from ..infrastructure.upstream_signals import parse_state_header
from ..transport.response_body import read_limited

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import Registry

    from ..infrastructure.instance_list import Instance
    from ..upstreams import UpstreamDirectory
    from ..upstreams.observation_reporter import ObservationReporter
    from .service_policies import ServicePolicies
    from .shard_ownership import ShardOwnership

TARGET_UPDATE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
MIN_INITIAL_DELAY_S = 1.0
# Probes are spaced wider than the budget requires. Otherwise a probe delayed in transit
# by up to 250 ms could fall into a second that already contains all its probes.
INTERVAL_MARGIN_FACTOR = 1.25
# A longer body is no report; the rest of it is not read.
MAX_PROBE_BYTES = 16_384
PROBE_PATHS = ("/health", "/load")

logger = logbook.Logger("verbenacross.agent.prober")


class LeaseExpiredError(VerbenacrossError):
    """Raised when the lease of a shard has expired before a probe is sent."""


class ProbeTarget(NamedTuple):
    """An upstream to probe; when any field changes, its probing starts over."""

    instance: Instance
    shard: int
    held_since: float
    interval_s: float


class LeaseCheck:
    """Checks the lease immediately before a probe is sent and records the send time."""

    def __init__(self, holds_lease: Callable[[], bool]) -> None:
        self.sent_at: float | None = None
        self._holds_lease = holds_lease

    def confirm_send(self) -> None:
        """Records the send time; raises ``LeaseExpiredError`` if the lease expired.

        Called once the connection is open: a process that is paused while it connects
        would otherwise send the probe after its lease has expired.
        """
        if not self._holds_lease():
            raise LeaseExpiredError("shard lease expired before the probe was sent")
        self.sent_at = time.monotonic()


class Prober:
    """Probes each upstream of the held shards, with one task per upstream.

    Only the holder of a shard's lease probes its upstreams, so the budget holds across
    all instances. As it is unknown when a previous holder last probed, the first probe
    of each upstream is sent no earlier than its interval, and at least one second,
    after the acquisition.
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
        self._tasks: dict[str, tuple[ProbeTarget, asyncio.Task[None]]] = {}
        self._sent_count = 0
        self._failed_count = 0
        self._suppressed_count = 0
        self._probes = Counter(
            "verbenacross_probes_total", "Probes sent by result", registry=registry
        )
        self._targets = Gauge(
            "verbenacross_probe_targets", "Upstreams probed", registry=registry
        )

    async def run(self) -> None:
        """Probes the upstreams until cancelled."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(check_lease_before_send)
        trace.on_connection_create_end.append(check_lease_before_send)
        async with aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[trace],
        ) as session:
            try:
                while True:
                    self._update_tasks(session)
                    await asyncio.sleep(TARGET_UPDATE_INTERVAL_S)
            finally:
                for _, task in self._tasks.values():
                    task.cancel()

    def dump_state(self) -> dict[str, int]:
        """Returns the number of targets and of sent, failed and suppressed probes."""
        return {
            "targets": len(self._tasks),
            "sent": self._sent_count,
            "failed": self._failed_count,
            "suppressed_without_lease": self._suppressed_count,
        }

    def find_targets(self) -> dict[str, ProbeTarget]:
        """Returns the upstreams of the held shards whose policies enable probing."""
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
                targets[instance.id] = ProbeTarget(
                    instance, shard, held[shard], interval_s * INTERVAL_MARGIN_FACTOR
                )
        return targets

    def _update_tasks(self, session: aiohttp.ClientSession) -> None:
        targets = self.find_targets()
        for key, (target, task) in list(self._tasks.items()):
            if targets.get(key) != target:
                task.cancel()
                del self._tasks[key]
        for key, target in targets.items():
            if key not in self._tasks:
                task = asyncio.create_task(self._probe_periodically(session, target))
                self._tasks[key] = (target, task)
        self._targets.set({}, len(self._tasks))

    async def _probe_periodically(
        self, session: aiohttp.ClientSession, target: ProbeTarget
    ) -> None:
        initial_delay_s = max(MIN_INITIAL_DELAY_S, target.interval_s)
        await asyncio.sleep(initial_delay_s + random.uniform(0, target.interval_s))
        path_index = random.randrange(len(PROBE_PATHS))
        while True:
            path_index += 1
            started_at = time.monotonic()
            lease_check = LeaseCheck(lambda: self._ownership.holds(target.shard))
            path = PROBE_PATHS[path_index % len(PROBE_PATHS)]
            await self._probe(session, target, path, lease_check)
            due_at = (lease_check.sent_at or started_at) + target.interval_s
            await asyncio.sleep(due_at - time.monotonic())

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        target: ProbeTarget,
        path: str,
        lease_check: LeaseCheck,
    ) -> None:
        url = f"http://{target.instance.address}{path}"
        try:
            async with session.get(
                url,
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
                trace_request_ctx=lease_check,
                allow_redirects=False,
            ) as response:
                body, is_complete = await read_limited(response, MAX_PROBE_BYTES)
                if not is_complete:
                    response.close()
                self._process_response(target, path, response, body)
            self._count_result(lease_check, "answered")
        except LeaseExpiredError:
            self._suppressed_count += 1
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._count_result(lease_check, "failed")
            self._failed_count += 1
            logger.debug("probe of {} failed: {!r}", target.instance.id, error)
        finally:
            # Also counts a probe that is cancelled before the response has arrived.
            if lease_check.sent_at is not None:
                self._sent_count += 1

    def _count_result(self, lease_check: LeaseCheck, result: str) -> None:
        if lease_check.sent_at is not None:
            self._probes.inc({"result": result})

    def _process_response(
        self,
        target: ProbeTarget,
        path: str,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        upstream = target.instance.id
        cold_start_ms = self._policies.get_cold_start_ms(target.instance.service)
        state = parse_state_header(response.headers)
        if path == "/health":
            state = parse_health_response(body) or state
        else:
            load = parse_load_response(body)
            if load is not None:
                self._reporter.report_load(upstream, load.in_flight)
        self._reporter.report_state(upstream, state, cold_start_ms)


async def check_lease_before_send(session: Any, context: Any, parameters: Any) -> None:
    """Trace hook that checks the lease when a connection is ready to send a probe."""
    context.trace_request_ctx.confirm_send()
