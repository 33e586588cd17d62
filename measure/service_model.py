"""Model of a service: slots, queues, noisy neighbours, cold starts and crashes."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from verbenacross.balancing.load_report import LoadReport
from verbenacross.balancing.upstream import Upstream
from verbenacross.balancing.upstream_notice import UpstreamNotice


class ServiceProfile(NamedTuple):
    """Parameters of a modelled service; times are in seconds.

    Noisy neighbours multiply the service time of a ``noisy_share`` of the upstreams by
    ``noisy_slowdown``; which ones changes every ``noise_period_s``. An upstream that
    uses more than ``knee_share`` of its slots takes ``knee_slowdown`` times as long.
    """

    upstreams: int
    slots: int = 6
    queue: int = 12
    noisy_share: float = 0.35
    noisy_slowdown: float = 7.0
    noise_period_s: float = 0.5
    knee_share: float = 0.8
    knee_slowdown: float = 1.7
    one_way_s: float = 0.0015


class ModelRejectedError(Exception):
    """The modelled upstream is full or sheds load, and did not run the request."""


class ModelFailedError(Exception):
    """The modelled upstream failed the request."""


@dataclass
class ModelUpstream:
    """A modelled upstream with slots and a FIFO queue."""

    upstream: Upstream
    profile: ServiceProfile
    generator: random.Random
    running: int = 0
    slowdown: float = 1.0
    # Share of requests that fail at once while health checks succeed.
    failing_share: float = 0.0
    # Share of requests that are rejected without running, independent of load.
    shedding_share: float = 0.0
    is_silent: bool = False
    # What the upstream states about itself; a busy one rejects all requests.
    is_leaving: bool = False
    busy_until: float = -math.inf

    def __post_init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._noise_phase = self.generator.random() * self.profile.noise_period_s
        self._noise_seed = self.generator.getrandbits(32)
        self.runs = 0
        # Requests that started while the load was above the knee.
        self.runs_above_knee = 0

    def get_slowness(self) -> float:
        """Returns the current factor on service times; 1.0 is the usual pace."""
        now = asyncio.get_running_loop().time()
        period = int((now + self._noise_phase) / self.profile.noise_period_s)
        noise = random.Random(self._noise_seed * 1_000_003 + period).random()
        noisy = noise < self.profile.noisy_share
        return self.slowdown * (self.profile.noisy_slowdown if noisy else 1.0)

    def report(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            self.running, len(self._waiting), self.profile.slots, self.get_slowness()
        )

    def get_notice(self) -> UpstreamNotice:
        """Returns what the upstream states about itself in a response now."""
        now = asyncio.get_running_loop().time()
        return UpstreamNotice(self.is_leaving, max(0.0, self.busy_until - now))

    async def serve(self, service_time_s: float) -> LoadReport:
        """Runs a request; raises ``ModelRejectedError`` or ``ModelFailedError``."""
        if self.is_silent:
            await asyncio.Event().wait()
        if self.get_notice().busy_for_s:
            raise ModelRejectedError
        if self.generator.random() < self.failing_share:
            self.runs += 1
            raise ModelFailedError
        if self.generator.random() < self.shedding_share:
            raise ModelRejectedError
        if self.running >= self.profile.slots:
            await self._wait_for_slot()
        else:
            self.running += 1
        try:
            self.runs += 1
            above_knee = self.running > self.profile.knee_share * self.profile.slots
            self.runs_above_knee += above_knee
            slowdown = self.profile.knee_slowdown if above_knee else 1.0
            await asyncio.sleep(service_time_s * self.get_slowness() * slowdown)
        finally:
            self._free_slot()
        return self.report()

    async def _wait_for_slot(self) -> None:
        if len(self._waiting) >= self.profile.queue:
            raise ModelRejectedError
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._free_slot()
            elif waiter in self._waiting:
                self._waiting.remove(waiter)
            raise

    def _free_slot(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1


class ServiceModel:
    """The modelled upstreams of one service."""

    def __init__(self, profile: ServiceProfile, seed: int) -> None:
        self.profile = profile
        self.generator = random.Random(seed)
        self.upstreams: dict[str, ModelUpstream] = {}
        for number in range(profile.upstreams):
            self.add(f"u{number}")

    def add(self, identifier: str, cold_start_s: float = 0.0) -> ModelUpstream:
        """Adds an upstream that has just started."""
        upstream = Upstream(
            id=identifier,
            service="model",
            address=f"10.0.0.{len(self.upstreams)}:80",
            failure_domain="a",
            slots=self.profile.slots,
            draining=False,
            cold_start_s=cold_start_s,
            started_ms=0,
        )
        model = ModelUpstream(
            upstream, self.profile, random.Random(self.generator.getrandbits(64))
        )
        self.upstreams[identifier] = model
        return model
