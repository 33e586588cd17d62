"""A node process with scripted upstreams, and the checks of what callers see."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import tempfile
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from tests.node.conftest import Site, wait_until

from .caller_bytes import INNER_ID
from .server_bytes import Script, ScriptedUpstream, build_body

if TYPE_CHECKING:
    from .caller_bytes import CallerRequest

UPSTREAMS = 3
DEADLINE_MS = 300
NOT_RUN_STATUSES = {408, 421, 429, 503}
CLOSE_TIMEOUT_S = 2.0


class FuzzSite:
    """A node process, its upstreams and a caller, used by many examples.

    ``open`` and ``close`` and the checks run on an event loop of their own.
    """

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.stack = AsyncExitStack()
        self.numbers = itertools.count()

    def __enter__(self) -> FuzzSite:
        self.runner.run(self._open())
        return self

    def __exit__(self, *exception: object) -> None:
        self.runner.run(self.stack.aclose())
        self.runner.close()

    async def _open(self) -> None:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.site = Site(self.stack, pathlib.Path(folder))
        await self.site.open()
        await self.site.configure()
        earlier_ids: list[str] = []
        for number in range(UPSTREAMS):
            upstream = ScriptedUpstream(f"u{number}")
            upstream.scripts, upstream.earlier_ids = iter(()), earlier_ids
            await self.stack.enter_async_context(upstream)
            self.site.upstreams.append(upstream)
            await self.site.store.put(f"servers/{upstream.id}", upstream.describe())
        self.node = await self.site.add_node()
        await self.node.wait_ready()
        name = f"u{UPSTREAMS - 1}"
        await wait_until(
            lambda: self.node.find_lines("upstream discovered", upstream=name)
        )

    def check_servers(self, calls: list[tuple[str, list[Script]]]) -> None:
        """Sends one request a list of scripts; raises ``AssertionError``."""
        self.runner.run(self._check_servers(calls))

    async def _check_servers(self, calls: list[tuple[str, list[Script]]]) -> None:
        for path, scripts in calls:
            request_id = f"f{next(self.numbers)}"
            shared = iter(scripts)
            for upstream in self.site.upstreams:
                upstream.scripts = shared
            method = "POST" if path.startswith("/once/") else "GET"
            status, headers, body = await self.node.call(
                path,
                method,
                request_id=request_id,
                headers={"X-Deadline-Ms": str(DEADLINE_MS)},
            )
            runs = len(self.site.find_runs(request_id))
            if method == "POST":
                assert runs <= 1, f"{request_id} ran {runs} times"
            if status in NOT_RUN_STATUSES:
                lines = [
                    line
                    for line in self.node.lines
                    if line.get("request_id") == request_id
                ]
                assert runs == 0, f"{request_id} got {status} and ran: {lines}"
            if status == 200:
                assert body == build_body(request_id)
                assert "X-Upstream-Signature" in headers
            assert headers.get("X-Request-Id", request_id) == request_id
        await self._check_alive()
        await self._check_no_notices()

    async def _check_no_notices(self) -> None:
        """Checks that only statements of a server itself that mean something count."""
        state = await self.node.read_state()
        upstreams = state["services"]["service-a"]["upstreams"]
        for name, upstream in upstreams.items():
            assert not upstream["leaving"], f"{name} is taken to leave"
            assert not upstream["busy_for_s"], f"{name} is taken to be busy"

    def check_callers(self, requests: list[CallerRequest]) -> None:
        """Sends requests on one connection; raises ``AssertionError``."""
        self.runner.run(self._check_callers(requests))

    async def _check_callers(self, requests: list[CallerRequest]) -> None:
        for upstream in self.site.upstreams:
            upstream.scripts = iter(())
        host, _, port = self.node.settings["listen"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = {f"f{next(self.numbers)}": request for request in requests}
        try:
            for request_id, request in sent.items():
                data = request.build(request_id)
                for start in range(0, len(data), request.part_bytes):
                    writer.write(data[start : start + request.part_bytes])
                    await writer.drain()
                if request.omitted_bytes:
                    # Whatever follows would be taken as the rest of this request.
                    break
            writer.write_eof()
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await reader.read()
        except (OSError, TimeoutError):
            # The node may close the connection at a malformed request, at any moment.
            pass
        finally:
            writer.close()
        assert self.site.find_runs(INNER_ID) == []
        for request_id, request in sent.items():
            bodies = [run.body for run in self.site.find_runs(request_id)]
            assert set(bodies) <= {request.get_expected_body()}
            if request.path.startswith("/once/"):
                assert len(bodies) <= 1
        await self._check_alive()

    async def _check_alive(self) -> None:
        """Checks that the node serves a proper request again."""
        for upstream in self.site.upstreams:
            upstream.scripts = iter(())

        async def is_served() -> bool:
            name = f"f{next(self.numbers)}"
            status, _, body = await self.node.call(request_id=name)
            return status == 200 and body == build_body(name)

        await wait_until(is_served)
