"""A node whose source stands still keeps a server in use that has left.

See claim.txt. The servers of the service shed part of their requests, and one of them
leaves just after the node from which another one receives the store's records has
frozen. That other node is never disturbed.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib.fleet import (  # noqa: E402
    build_configuration,
    build_rule,
    call,
    has_trouble,
    run_script,
)
from review.lib.servers import Server  # noqa: E402

SERVICE = "dele69a"
# srv_grey "shed all" of the small site, day scale-1: this share of the requests.
SHED_SHARE = 0.55
# Length of the freeze: the pages' default.
FREEZE_S = 5.0
DRAIN_TIMEOUT_S = 2.0
CALLERS = 24
ZONES = {"edge-a-1": "a", "edge-b-1": "b", "edge-c-1": "c", "edge-c-2": "c"}


class SheddingServer(Server):
    """Sheds part of its requests while its health is good."""

    is_grey = False
    generator = random.Random(24)

    async def handle(self, method, target, request_id, headers, reader, writer):
        """Runs or sheds a request."""
        if self.is_grey and self.generator.random() < SHED_SHARE:
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                b"X-Request-Id: " + request_id.encode() + b"\r\n"
                b"X-Server-Load: " + self.load().encode() + b"\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        return await super().handle(method, target, request_id, headers, reader, writer)


async def main(fleet, record) -> bool:
    """Plays the case; returns whether DRAIN was broken."""
    rules = [build_rule("/leny950/", "safe", SERVICE, "800ms")]
    await fleet.store.put("op/config", build_configuration(1, rules, [SERVICE]))
    servers = []
    for zone in "abc":
        for number in (1, 2):
            server = SheddingServer(f"i-{zone}{number}", SERVICE, zone)
            await fleet.stack.enter_async_context(server)
            await fleet.store.put(f"servers/{server.id}", server.describe())
            servers.append(server)
    nodes = {name: fleet.add_node(name) for name in ZONES}
    seeds = [nodes[name].peer_address for name in ("edge-a-1", "edge-b-1", "edge-c-1")]
    for name, node in nodes.items():
        node.write_settings(ZONES[name], seeds, fleet.endpoint.address, bootstrap=True)
        node.start()
    for node in nodes.values():
        await node.wait_ready()
    await asyncio.sleep(12.0)
    states = {name: await node.read_state() for name, node in nodes.items()}
    watched = next(name for name in nodes if states[name]["sources"])
    record.write(f"{watched} receives the records from other nodes")

    is_over = asyncio.Event()
    sent_by_watched: set[str] = set()

    async def ask(caller: int) -> None:
        """Sends one request after the other to the watched node."""
        number = 0
        while not is_over.is_set():
            number += 1
            request_id = f"{caller:04d}{number:012x}"
            sent_by_watched.add(request_id)
            status, _, _, end = await call(
                nodes[watched], "/leny950/2f", request_id, 800
            )
            record.write(f"{request_id} to {watched}: {status} {end}")
            await asyncio.sleep(0.05)

    async def find_source():
        """Returns the node that the watched node receives the records from."""
        sources = (await nodes[watched].read_state())["sources"]
        main = next(row["peer"] for row in sources if not row["is_standby"])
        return next(
            node for node in nodes.values() if main in (node.name, node.peer_address)
        )

    leaving = servers[-1]
    async with asyncio.TaskGroup() as group:
        for caller in range(CALLERS):
            group.create_task(ask(caller))
        await asyncio.sleep(3.0)
        for server in servers:
            server.is_grey = has_trouble()
        await asyncio.sleep(1.5)
        source = await find_source()
        if has_trouble():
            record.write(f"{source.name}, the source of {watched}, freezes")
            source.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        await fleet.store.remove(f"servers/{leaving.id}")
        left_at = time.monotonic()
        record.write(f"the store has accepted that {leaving.id}'s entry is removed")
        await asyncio.sleep(FREEZE_S)
        if has_trouble():
            record.write(f"{source.name} wakes")
            source.send_signal(signal.SIGCONT)
        is_over.set()
    late = [
        round(run.at - left_at, 2)
        for run in leaving.runs
        if run.at - left_at > DRAIN_TIMEOUT_S and run.request_id in sent_by_watched
    ]
    record.write(
        f"{len(late)} requests reached {leaving.id} later than {DRAIN_TIMEOUT_S} s "
        f"after its removal was acknowledged, at {late[:5]} to {late[-1:]} s"
    )
    return bool(late)


run_script(FOLDER, main)
