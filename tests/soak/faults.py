"""Series of faults that overlap, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING

from .fleet import SoakFleet, reset_connections, set_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Two fault series run at a time.
SERIES = 2
LONGEST_PAUSE_S = 0.8
STORE_FAULTS = ("busy", "many", "silent", "reset", "lose-answers")
UPSTREAM_FAULTS = (
    "shed",
    "fail",
    "reset",
    "close",
    "truncate",
    "reset-midway",
    "twice",
    "twice-late",
    "foreign",
    "unsigned",
    "garbage",
    "misdirected",
    "silent",
)


class Faults:
    """Injects faults until told to stop; ``injected`` names them with their time."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.injected: list[tuple[float, str]] = []
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._busy: set[str] = set()
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._pause,
            self._stop,
            self._hang_up,
            self._disturb_store,
            self._forget_history,
            self._misbehave,
            self._disturb_upstream_link,
            self._disturb_caller_link,
            self._drain,
            self._configure,
            self._lapse,
        ]

    async def run(self, length_s: float) -> None:
        """Injects faults for a time, then ends all of them."""
        end = time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            for _ in range(SERIES):
                group.create_task(self._inject_until(end))

    async def _inject_until(self, end: float) -> None:
        while time.monotonic() < end:
            await self._generator.choice(self._kinds)()
            await asyncio.sleep(self._generator.uniform(0, LONGEST_PAUSE_S))

    def _note(self, text: str) -> None:
        self.injected.append((time.monotonic(), text))

    def _take_node(self):
        """Returns a node that no other series stops, ``None`` if there is none."""
        free = [node for node in self._fleet.site.nodes if node.name not in self._busy]
        if not free:
            return None
        node = self._generator.choice(free)
        self._busy.add(node.name)
        return node

    def _signal(self, node, number: int) -> None:
        """Sends a signal; notes a node that ended by itself."""
        try:
            node.send_signal(number)
        except ProcessLookupError:
            self._note(f"{node.name} has ended by itself")
            self._fleet.ended.append(node.name)

    async def _kill(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"kill {node.name}")
        span = self._fleet.kills[node.name].add(time.monotonic())
        self._signal(node, signal.SIGKILL)
        await node.wait_exit()
        await self._restart(node, span)

    async def _restart(self, node, span: int) -> None:
        await node.start()
        await asyncio.sleep(self._generator.uniform(0.2, 1.0))
        self._fleet.kills[node.name].end(span)
        self._busy.discard(node.name)

    async def _stop(self) -> None:
        """Stops a node gracefully; only its absence counts as a disturbance."""
        node = self._take_node()
        if node is None:
            return
        self._note(f"stop {node.name}")
        self._signal(node, signal.SIGTERM)
        if self._generator.random() < 0.3:
            self._signal(node, signal.SIGTERM)
        # The settings of the nodes allow 6 s; longer raises and fails the soak.
        await node.wait_exit()
        span = self._fleet.kills[node.name].add(time.monotonic())
        await self._restart(node, span)

    async def _pause(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"pause {node.name}")
        span = self._fleet.kills[node.name].add(time.monotonic())
        self._signal(node, signal.SIGSTOP)
        await asyncio.sleep(self._generator.uniform(0.3, 2.5))
        self._signal(node, signal.SIGCONT)
        await asyncio.sleep(0.2)
        self._fleet.kills[node.name].end(span)
        self._busy.discard(node.name)

    async def _hang_up(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"hang up {node.name}")
        for _ in range(self._generator.randint(1, 3)):
            self._signal(node, signal.SIGHUP)
            await asyncio.sleep(0.05)
        self._busy.discard(node.name)

    async def _disturb_store(self) -> None:
        names = [*self._fleet.fronts]
        if self._generator.random() < 0.5:
            names = [self._generator.choice(names)]
        fault = self._generator.choice(STORE_FAULTS)
        self._note(f"store {fault} for {names}")
        spans = {
            name: self._fleet.outages[name].add(time.monotonic()) for name in names
        }
        for name in names:
            self._fleet.fronts[name].fault = fault
        await asyncio.sleep(self._generator.uniform(0.3, 3.0))
        for name, span in spans.items():
            self._fleet.fronts[name].fault = ""
            self._fleet.outages[name].end(span)

    async def _forget_history(self) -> None:
        self._note("history forgotten")
        await self._fleet.site.store.forget_history()

    async def _misbehave(self) -> None:
        upstream = self._generator.choice(self._fleet.upstreams)
        behaviours = self._generator.choices(UPSTREAM_FAULTS, k=4)
        self._note(f"{upstream.id} {behaviours}")
        upstream.behaviours += behaviours

    async def _disturb_upstream_link(self) -> None:
        upstream = self._generator.choice(self._fleet.upstreams)
        await self._disturb_link(
            self._fleet.upstream_proxies[upstream.id], f"to {upstream.id}"
        )

    async def _disturb_caller_link(self) -> None:
        name = self._generator.choice([*self._fleet.caller_proxies])
        span = self._fleet.kills[name].add(time.monotonic())
        await self._disturb_link(self._fleet.caller_proxies[name], f"to {name}")
        self._fleet.kills[name].end(span)

    async def _disturb_link(self, proxy, link: str) -> None:
        fault = self._generator.choice(
            [
                {"delay_ms": 60},
                {"silent": True},
                {"cut": "to_target"},
                {"cut": "to_client"},
                {"refuse": True},
                {"cut_after_bytes": 300},
                {},
            ]
        )
        self._note(f"link {link}: {fault or 'reset'}")
        if not fault:
            reset_connections(proxy)
            return
        set_faults(proxy, **fault)
        await asyncio.sleep(self._generator.uniform(0.3, 1.5))
        set_faults(proxy)
        # What was cut does not come back to life.
        reset_connections(proxy)

    async def _drain(self) -> None:
        candidates = [
            upstream
            for upstream in self._fleet.upstreams
            if upstream.id not in self._fleet.leaving
        ]
        if len(candidates) < 3:
            return
        upstream = self._generator.choice(candidates)
        self._note(f"drain {upstream.id}")
        if self._generator.random() < 0.3:
            await self._fleet.site.store.remove(f"servers/{upstream.id}")
        else:
            await self._fleet.list_upstream(upstream, "draining")
        self._fleet.leaving[upstream.id] = time.monotonic()
        await self._fleet.add_upstream(f"u{len(self._fleet.upstreams)}")

    async def _configure(self) -> None:
        for _ in range(self._generator.randint(1, 3)):
            await self._fleet.configure()
            self._note(f"version {max(self._fleet.versions)}")
            await asyncio.sleep(self._generator.uniform(0, 0.2))

    async def _lapse(self) -> None:
        """Entries lapse while the store is away and come back after its return."""
        staying = [
            upstream
            for upstream in self._fleet.upstreams
            if upstream.id not in self._fleet.leaving
        ]
        self._note(f"entries of {[upstream.id for upstream in staying]} lapse")
        names = [*self._fleet.fronts]
        spans = {
            name: self._fleet.outages[name].add(time.monotonic()) for name in names
        }
        for name in names:
            self._fleet.fronts[name].fault = "busy"
        for upstream in staying:
            await self._fleet.site.store.remove(f"servers/{upstream.id}")
        await asyncio.sleep(self._generator.uniform(1.2, 2.5))
        for name, span in spans.items():
            self._fleet.fronts[name].fault = ""
            self._fleet.outages[name].end(span)
        await asyncio.sleep(self._generator.uniform(0.2, 1.5))
        for upstream in staying:
            if upstream.id not in self._fleet.leaving:
                await self._fleet.list_upstream(upstream)
