"""A node that wakes from a freeze keeps a server that left meanwhile in use.

See claim.txt. The fleet has three zones. The node ``edge-c-2`` stands still; meanwhile
a server leaves and the other node of its zone is restarted, both of which is planned.
"""

from __future__ import annotations

import asyncio
import pathlib
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

SERVICE = "huvo11a"
# Bounds of the pages for the small sites, in seconds.
STABLE_WINDOW_S = 3.0
DRAIN_TIMEOUT_S = 2.0
# Length of the freeze; the pages' longest is 7.6 s.
FREEZE_S = 7.5
# Machines are restarted one at a time, one each second.
RESTART_GAP_S = 1.0
# The platform starts an ended process again after a short delay, in seconds.
RESTART_DELAY_S = 1.0
# "a little longer (at times many seconds)": the server goes on serving for this time.
LEAVING_SERVES_S = 15.0
ZONES = {"edge-a-1": "a", "edge-b-1": "b", "edge-c-1": "c", "edge-c-2": "c"}


async def main(fleet, record) -> bool:
    """Plays the case; returns whether DRAIN was broken."""
    rules = [build_rule("/leny950/", "safe", SERVICE, "800ms")]
    await fleet.store.put("op/config", build_configuration(1, rules, [SERVICE]))
    servers = []
    for zone in "abc":
        for number in (1, 2):
            server = Server(f"i-{zone}{number}", SERVICE, zone)
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

    # Which node of the zone reads the store and which receives the records from it.
    reading = {
        name: any(line["message"] == "reading the store" for line in node.read_log())
        and not (await node.read_state())["sources"]
        for name, node in nodes.items()
    }
    record.write(f"nodes that read the store: {reading}")
    source, other = (
        ("edge-c-1", "edge-c-2") if reading["edge-c-1"] else ("edge-c-2", "edge-c-1")
    )
    frozen = nodes[other]
    leaving = next(server for server in servers if server.zone == "c")

    if has_trouble():
        record.write(f"{other} freezes")
        frozen.send_signal(signal.SIGSTOP)
    woken_at = time.monotonic() + FREEZE_S
    order = [source, *(name for name in nodes if name not in (source, other))]
    left_at = 0.0
    async with asyncio.TaskGroup() as group:
        restarts = []
        for name in order:
            restart = restart_node(nodes[name], ZONES[name], seeds, fleet, record)
            restarts.append(group.create_task(restart))
            await asyncio.sleep(RESTART_GAP_S)
        await nodes[source].wait_exit(6.0)
        await asyncio.sleep(RESTART_DELAY_S / 2)
        await fleet.store.remove(f"servers/{leaving.id}")
        left_at = time.monotonic()
        record.write(f"the store has accepted that {leaving.id}'s entry is removed")
    await asyncio.sleep(max(0.0, woken_at - time.monotonic()))
    if has_trouble():
        record.write(f"{other} wakes")
        frozen.send_signal(signal.SIGCONT)
    in_touch_at = time.monotonic() + STABLE_WINDOW_S
    await asyncio.sleep(STABLE_WINDOW_S + 0.2)

    number = 0
    late = 0
    while time.monotonic() < left_at + LEAVING_SERVES_S:
        number += 1
        request_id = f"{number:016x}"
        sent_at = time.monotonic()
        status, _, body, end = await call(frozen, "/leny950/2f", request_id, 800)
        ran = [
            run.server
            for server in servers
            for run in server.runs
            if run.request_id == request_id
        ]
        record.write(f"{request_id} to {other}: {status} {end}, run by {ran}")
        runs = [run for run in leaving.runs if run.request_id == request_id]
        if runs and sent_at > in_touch_at:
            late += runs[0].at - left_at > DRAIN_TIMEOUT_S
        await asyncio.sleep(0.05)
    record.write(
        f"{late} of {number} requests reached {leaving.id} more than "
        f"{DRAIN_TIMEOUT_S} s after its removal was acknowledged, sent on by a node "
        "that had been undisturbed for the stable window"
    )
    state = await frozen.read_state()
    entry = state["knowledge"]["upstreams"].get(leaving.id)
    record.write(f"what {other} knows of {leaving.id}: {entry}")
    return late > 0


async def restart_node(node, zone, seeds, fleet, record) -> None:
    """Stops a node and starts it again, as a planned restart does."""
    record.write(f"{node.name} gets SIGTERM")
    node.send_signal(signal.SIGTERM)
    code = await node.wait_exit(6.0)
    record.write(f"{node.name} has ended with {code}")
    await asyncio.sleep(RESTART_DELAY_S)
    node.write_settings(zone, seeds, fleet.endpoint.address, bootstrap=False)
    node.start()
    await node.wait_ready()
    record.write(f"{node.name} has started again and is ready")


run_script(FOLDER, main)
