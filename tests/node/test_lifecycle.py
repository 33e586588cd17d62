"""Start, reload, graceful shutdown and restart of a node process."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import time

import aiohttp
from websockets.asyncio.client import connect

from verbenacross.console.node_process import EXIT_SETTINGS
from verbenacross.feed.codec import encode_message
from verbenacross.feed.messages import Subscribe

from .conftest import GRACE_PERIOD_S, HOST, build_rule, wait_until


async def test_not_ready_before_anything_is_known(empty_site):
    node = await empty_site.add_node()
    await wait_until(lambda: node.find_lines("started"))

    assert not await node.is_ready()
    status, headers, _ = await node.call()
    assert status == 503
    assert "Retry-After" in headers

    await empty_site.configure()
    await empty_site.add_upstream("u1")
    await node.wait_ready()
    assert (await node.call())[0] == 200


async def test_graceful_stop_cuts_no_request(site):
    for upstream in site.upstreams:
        upstream.service_time_s = 1.5
    node = site.nodes[0]
    calls = [
        asyncio.create_task(node.call(request_id=f"r{number}")) for number in range(8)
    ]
    await wait_until(lambda: all(site.find_runs(f"r{n}") for n in range(8)))

    node.send_signal(signal.SIGTERM)
    await node.wait_ready(ready=False)

    assert [response[0] for response in await asyncio.gather(*calls)] == [200] * 8
    assert await node.wait_exit() == 0
    assert node.find_lines("stopped", in_flight=0)


async def test_requests_of_kept_connections_during_a_stop(site):
    """Callers reuse connections and open new ones until the process has exited."""
    node = site.nodes[0]
    results: list[int] = []

    async def call_until_exit(force_close):
        connector = aiohttp.TCPConnector(limit=1, force_close=force_close)
        async with aiohttp.ClientSession(connector=connector) as session:
            number = 0
            while True:
                number += 1
                headers = {"Host": HOST, "X-Request-Id": f"{force_close}-{number}"}
                try:
                    async with session.get(
                        node.url + "/safe/", headers=headers
                    ) as response:
                        await response.read()
                        results.append(response.status)
                        if response.status == 503:
                            assert "Retry-After" in response.headers
                except aiohttp.ClientConnectorError:
                    return
                await asyncio.sleep(0.005)

    callers = [asyncio.create_task(call_until_exit(n % 2 == 0)) for n in range(6)]
    await asyncio.sleep(0.5)
    node.send_signal(signal.SIGTERM)
    node.send_signal(signal.SIGTERM)

    assert await node.wait_exit() == 0
    await asyncio.gather(*callers)
    assert set(results) <= {200, 503}


async def test_requests_sent_ahead_at_a_stop(site):
    """Requests behind a response that closes the connection have not run.

    Clients send them again, whatever their kind.
    """
    for upstream in site.upstreams:
        upstream.service_time_s = 0.4
    node = site.nodes[0]
    port = int(node.settings["listen"].rpartition(":")[2])
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    names = [f"ahead-{number}" for number in range(4)]
    for name in names:
        head = f"GET /safe/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n\r\n"
        writer.write(head.encode())
    await wait_until(lambda: site.find_runs("ahead-1"))

    node.send_signal(signal.SIGTERM)
    received = (await reader.read()).lower().decode()
    writer.close()

    assert await node.wait_exit() == 0
    answered = re.findall(r"x-request-id: (\S+)", received)
    assert answered == names[: len(answered)]
    assert "ahead-1" in answered
    assert received.count("http/1.1 200") == len(answered)
    # Only the last response says that the connection closes.
    assert received.count("connection: close") == 1
    ran = [name for name in names if site.find_runs(name)]
    assert ran == answered


async def stop_during_hanging_request(site) -> None:
    """Stops a node during a request that no upstream responds to."""
    for upstream in site.upstreams:
        upstream.default_behaviour = "silent"
    node = site.nodes[0]
    call = asyncio.create_task(node.call(headers={"X-Deadline-Ms": "60000"}))
    await wait_until(lambda: site.find_runs("r1"))

    started = time.monotonic()
    node.send_signal(signal.SIGTERM)
    assert await node.wait_exit() == 0
    assert time.monotonic() - started < GRACE_PERIOD_S
    await asyncio.gather(call, return_exceptions=True)


async def test_stop_ends_before_the_kill_even_if_work_hangs(site):
    await stop_during_hanging_request(site)


async def allow_long_requests(site) -> None:
    """Sets a timeout of the route that is longer than the grace period."""
    await site.configure(build_rule("/safe/", timeout="60s"), version=2)
    node = site.nodes[0]
    await wait_until(lambda: node.find_lines("configuration in force", version=2))


async def test_stop_ends_before_the_kill_though_a_route_allows_more_time(site):
    """Requests still in flight at the end must not delay the exit past the kill."""
    await allow_long_requests(site)

    await stop_during_hanging_request(site)


async def test_stop_ends_before_the_kill_though_nothing_it_talks_to_responds(site):
    """Guards against closing steps that together outlast the grace period.

    The store does not answer the removal of the registration, a subscriber does not
    answer the end of its connection, and a request hangs.
    """
    await allow_long_requests(site)
    node = site.nodes[0]
    await wait_until(lambda: node.find_lines("registered"))
    connection = await connect(f"ws://{node.settings['peer_listen']}")
    await connection.send(encode_message(Subscribe("subscriber", 0, 0)))
    connection.transport.pause_reading()
    await wait_until(lambda: node.find_lines("subscriber connected"))
    site.endpoint.fault = "silent"

    await stop_during_hanging_request(site)
    connection.transport.abort()


async def test_stopping_instance_is_no_member_while_requests_complete(site):
    """Guards against peers that lose their source only when its process ends."""
    node = site.nodes[0]
    await wait_until(lambda: node.find_lines("registered"))
    for upstream in site.upstreams:
        upstream.service_time_s = 1.5
    call = asyncio.create_task(node.call())
    await wait_until(lambda: site.find_runs("r1"))

    node.send_signal(signal.SIGTERM)
    await wait_until(
        lambda: node.find_lines("members changed", is_present=False), timeout_s=1.0
    )

    assert not call.done()
    assert (await call)[0] == 200
    assert await node.wait_exit() == 0


async def test_restart_is_quick_and_does_not_go_back(site):
    node = site.nodes[0]
    await site.configure(version=9)
    await wait_until(lambda: node.find_lines("configuration in force", version=9))
    node.send_signal()
    await node.wait_exit()

    await node.start()
    await node.wait_ready()
    lines = node.find_lines("configuration in force")
    assert [line["version"] for line in lines][-1] == 9
    assert (await node.call())[0] == 200


async def test_start_while_the_store_is_away_learns_from_a_seed(site):
    endpoint = await site.store.open_endpoint()
    endpoint.fault = "silent"
    first = site.nodes[0]

    second = await site.add_node(
        "node-2", endpoint=endpoint, seeds=[first.settings["peer_listen"]]
    )
    await second.wait_ready()

    assert (await second.call())[0] == 200


async def test_unusable_settings_are_reported_together(site, tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"instance": "", "listen": "nowhere", "memory_mb": "300"}')
    node = site.nodes[0]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "verbenacross.console.node_application", str(path)),
        stderr=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()

    assert process.returncode == 2
    for name in ("instance", "listen", "memory_mb", "grace_period"):
        assert f"$.{name}:" in errors.decode()
    assert await node.is_ready()


async def test_hangup_keeps_serving(site):
    node = site.nodes[0]
    node.send_signal(signal.SIGHUP)

    await wait_until(lambda: node.find_lines("settings reloaded"))
    assert (await node.call())[0] == 200


async def test_hangup_while_the_program_loads_does_not_end_it(tmp_path):
    """SIGHUP must be ignored while the program is imported.

    Until the event loop handles the signal, its default action ends the process. The
    settings are a pipe, read once before and once after the imports, so the process
    waits at both points.
    """
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "verbenacross.console.node_application", str(path)),
        stderr=asyncio.subprocess.PIPE,
    )
    for _ in range(2):
        pipe = await asyncio.to_thread(os.open, path, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await asyncio.sleep(0.05)

    assert await asyncio.wait_for(process.wait(), GRACE_PERIOD_S) == EXIT_SETTINGS


async def test_connections_wait_while_the_program_loads(site):
    """Pattern: all instances restart, and callers have one retry each.

    Refused connections would use up both attempts in less time than the program takes
    to load, which is most of the time that a restart takes.
    """
    node = site.nodes[0]
    node.send_signal()
    await node.wait_exit()
    node.lines.clear()
    port = int(node.settings["listen"].rpartition(":")[2])

    begun = time.monotonic()
    await node.start()
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            break
        except ConnectionRefusedError:
            await asyncio.sleep(0.002)
    connected_s = time.monotonic() - begun
    writer.write(
        f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n\r\n".encode()
    )
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    answered_s = time.monotonic() - begun
    writer.close()

    assert head.startswith(b"HTTP/1.1 200")
    assert connected_s < 0.5 * answered_s


async def test_request_with_much_time_waits_until_the_process_has_loaded(empty_site):
    """Pattern: all instances restart, and each takes a second to read the store.

    A refusal would use up the retry of the caller, as the others are loading too.
    """
    await empty_site.configure(build_rule("/safe/", timeout="8s"))
    await empty_site.add_upstream("u1")
    empty_site.endpoint.delay_s = 0.7
    node = await empty_site.add_node()
    await wait_until(lambda: node.find_lines("started"))

    patient, hurried = await asyncio.gather(
        node.call(headers={"X-Deadline-Ms": "10000"}),
        node.call(headers={"X-Deadline-Ms": "600"}, request_id="r2"),
    )

    assert patient[0] == 200
    assert hurried[0] == 503
