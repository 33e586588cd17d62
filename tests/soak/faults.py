"""Overlapping random faults, drawn from a seed."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import time
from typing import TYPE_CHECKING

from tests.node.conftest import wait_until

from .fleet import PlannedStop, SoakFleet, reset_connections, set_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Number of tasks that inject faults at the same time.
CONCURRENT_FAULTS = 2
MAX_INTERVAL_S = 0.8
# Processor time of the interpreter and of the imports before the first statement.
INTERPRETER_START_CPU_S = 0.1
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
    "odd-status",
    "cut-early",
)


def is_interpreter_starting(node) -> bool:
    """Returns whether a node has yet to run the first statement of the program.

    Until then a SIGHUP ends any program, as its default action.
    """
    process = pathlib.Path(f"/proc/{node.pid}")
    (ignored,) = [
        line.split()[1]
        for line in (process / "status").read_text().splitlines()
        if line.startswith("SigIgn")
    ]
    is_ignored = int(ignored, 16) >> (signal.SIGHUP - 1) & 1
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    used_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return not is_ignored and used_s < INTERPRETER_START_CPU_S


class FaultInjector:
    """Injects faults for a while; ``injected`` lists each with its time."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.injected: list[tuple[float, str]] = []
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._held_nodes: set[str] = set()
        self._closing_windows: list[asyncio.Task[None]] = []
        self._injectors: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._pause,
            self._stop,
            self._reload_settings,
            self._disturb_store,
            self._compact_history,
            self._disturb_upstream,
            self._disturb_upstream_link,
            self._disturb_caller_link,
            self._drain,
            self._publish_configurations,
            self._expire_entries,
        ]

    async def run(self, length_s: float) -> None:
        """Injects faults for ``length_s``, then waits until all of them have ended."""
        end = time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENT_FAULTS):
                group.create_task(self._inject_until(end))
        await asyncio.gather(*self._closing_windows)

    async def _inject_until(self, end: float) -> None:
        while time.monotonic() < end:
            await self._generator.choice(self._injectors)()
            await asyncio.sleep(self._generator.uniform(0, MAX_INTERVAL_S))

    def _record(self, text: str) -> None:
        self.injected.append((time.monotonic(), text))

    def _acquire_node(self):
        """Reserves a node that no other task holds, ``None`` if none is free."""
        free = [
            node for node in self._fleet.site.nodes if node.name not in self._held_nodes
        ]
        if not free:
            return None
        node = self._generator.choice(free)
        self._held_nodes.add(node.name)
        return node

    def _send_signal(self, node, number: int) -> None:
        """Sends a signal; records a node that has already exited unexpectedly."""
        try:
            if number == signal.SIGHUP and is_interpreter_starting(node):
                self._record(f"{node.name} is not there yet, SIGHUP not sent")
                return
            node.send_signal(number)
        except (ProcessLookupError, FileNotFoundError):
            self._record(f"{node.name} exited unexpectedly")
            self._fleet.exited_nodes.append(node.name)

    async def _kill(self) -> None:
        node = self._acquire_node()
        if node is None:
            return
        self._record(f"kill {node.name}")
        window = self._fleet.node_faults[node.name].open(time.monotonic())
        self._send_signal(node, signal.SIGKILL)
        await node.wait_exit()
        await self._restart(node, window)

    async def _restart(self, node, window: int) -> None:
        starts = len(node.find_lines("started"))
        await node.start()
        await asyncio.sleep(self._generator.uniform(0.2, 1.0))
        self._closing_windows.append(
            asyncio.create_task(self._close_when_started(node, starts, window))
        )
        self._held_nodes.discard(node.name)

    async def _close_when_started(self, node, starts: int, window: int) -> None:
        """Closes the fault window of a restart once the program is loaded.

        Callers' connections wait until then, longer than a caller does if the machine
        is overloaded.
        """
        await wait_until(
            lambda: len(node.find_lines("started")) > starts or not node.is_running()
        )
        self._fleet.node_faults[node.name].close(window)

    async def _stop(self) -> None:
        """Stops a node gracefully; the fault window opens only after it has exited."""
        node = self._acquire_node()
        if node is None:
            return
        self._record(f"stop {node.name}")
        asked_at = time.monotonic()
        self._send_signal(node, signal.SIGTERM)
        if self._generator.random() < 0.3:
            self._send_signal(node, signal.SIGTERM)
        # The nodes' settings allow 6 s; a longer stop raises and fails the soak.
        await node.wait_exit()
        ended_at = time.monotonic()
        stops = self._fleet.stops.setdefault(node.name, [])
        stops.append(PlannedStop(asked_at, ended_at))
        window = self._fleet.node_faults[node.name].open(ended_at)
        await self._restart(node, window)

    async def _pause(self) -> None:
        node = self._acquire_node()
        if node is None:
            return
        self._record(f"pause {node.name}")
        window = self._fleet.node_faults[node.name].open(time.monotonic())
        self._send_signal(node, signal.SIGSTOP)
        await asyncio.sleep(self._generator.uniform(0.3, 2.5))
        self._send_signal(node, signal.SIGCONT)
        await asyncio.sleep(0.2)
        self._fleet.node_faults[node.name].close(window)
        self._held_nodes.discard(node.name)

    async def _reload_settings(self) -> None:
        node = self._acquire_node()
        if node is None:
            return
        self._record(f"SIGHUP {node.name}")
        for _ in range(self._generator.randint(1, 3)):
            self._send_signal(node, signal.SIGHUP)
            await asyncio.sleep(0.05)
        self._held_nodes.discard(node.name)

    async def _disturb_store(self) -> None:
        names = [*self._fleet.store_endpoints]
        if self._generator.random() < 0.5:
            names = [self._generator.choice(names)]
        fault = self._generator.choice(STORE_FAULTS)
        self._record(f"store {fault} for {names}")
        windows = {
            name: self._fleet.store_outages[name].open(time.monotonic())
            for name in names
        }
        for name in names:
            self._fleet.store_endpoints[name].fault = fault
        await asyncio.sleep(self._generator.uniform(0.3, 3.0))
        for name, window in windows.items():
            self._fleet.store_endpoints[name].fault = ""
            self._fleet.store_outages[name].close(window)

    async def _compact_history(self) -> None:
        self._record("store history compacted")
        await self._fleet.site.store.compact_history()

    async def _disturb_upstream(self) -> None:
        upstream = self._generator.choice(self._fleet.upstreams)
        behaviours = self._generator.choices(UPSTREAM_FAULTS, k=4)
        upstream.cut_after_bytes = self._generator.randint(0, 150)
        self._record(f"{upstream.id} {behaviours}")
        upstream.behaviours += behaviours

    async def _disturb_upstream_link(self) -> None:
        upstream = self._generator.choice(self._fleet.upstreams)
        windows = self._fleet.upstream_faults[upstream.id]
        window = windows.open(time.monotonic())
        await self._disturb_link(
            self._fleet.upstream_proxies[upstream.id], f"to {upstream.id}"
        )
        windows.close(window)

    async def _disturb_caller_link(self) -> None:
        name = self._generator.choice([*self._fleet.caller_proxies])
        window = self._fleet.node_faults[name].open(time.monotonic())
        await self._disturb_link(self._fleet.caller_proxies[name], f"to {name}")
        self._fleet.node_faults[name].close(window)

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
        self._record(f"link {link}: {fault or 'reset'}")
        if not fault:
            reset_connections(proxy)
            return
        set_faults(proxy, **fault)
        await asyncio.sleep(self._generator.uniform(0.3, 1.5))
        set_faults(proxy)
        # A connection that lost bytes must not be used again.
        reset_connections(proxy)

    async def _drain(self) -> None:
        candidates = [
            upstream
            for upstream in self._fleet.upstreams
            if upstream.id not in self._fleet.draining_since
        ]
        if len(candidates) < 3:
            return
        upstream = self._generator.choice(candidates)
        self._record(f"drain {upstream.id}")
        if self._generator.random() < 0.3:
            await self._fleet.remove_upstream(upstream)
        else:
            await self._fleet.register_upstream(upstream, "draining")
        self._fleet.draining_since[upstream.id] = time.monotonic()
        await self._fleet.add_upstream(f"u{len(self._fleet.upstreams)}")

    async def _publish_configurations(self) -> None:
        for _ in range(self._generator.randint(1, 3)):
            await self._fleet.publish_configuration()
            self._record(f"version {max(self._fleet.acknowledged_at)}")
            await asyncio.sleep(self._generator.uniform(0, 0.2))

    async def _expire_entries(self) -> None:
        """Entries expire during a store outage and are written again after its end."""
        active = [
            upstream
            for upstream in self._fleet.upstreams
            if upstream.id not in self._fleet.draining_since
        ]
        self._record(f"entries of {[upstream.id for upstream in active]} expire")
        names = [*self._fleet.store_endpoints]
        windows = {
            name: self._fleet.store_outages[name].open(time.monotonic())
            for name in names
        }
        for name in names:
            self._fleet.store_endpoints[name].fault = "busy"
        for upstream in active:
            await self._fleet.site.store.remove(f"servers/{upstream.id}")
        await asyncio.sleep(self._generator.uniform(1.2, 2.5))
        for name, window in windows.items():
            self._fleet.store_endpoints[name].fault = ""
            self._fleet.store_outages[name].close(window)
        await asyncio.sleep(self._generator.uniform(0.2, 1.5))
        for upstream in active:
            if upstream.id not in self._fleet.draining_since:
                await self._fleet.register_upstream(upstream)
