"""Stand-in for an upstream: slots, a queue, load reports and faults.

A request occupies a slot for ``X-Work-Ms`` milliseconds (default 5) and gets a response
of ``X-Answer-Bytes`` bytes (default 200). Every request that starts to run is recorded
in the ledger, which ``GET /control/ledger`` serves. ``POST /control`` sets behaviour:
``slowdown`` (factor on service times), ``fail_fast`` (share of requests that fail at
once), ``draining``, ``shed_above`` (queue length above which requests are shed),
``cold_ms`` (duration of a cold start, in which service times triple),
``report_in_flight`` (number to report instead of the real one), ``crossed`` (echo a
wrong request id), ``cut_body`` (send half the body and close), ``close_delimited``
(send neither a length nor chunks), ``cut_stream`` (break off a chunked response half
way), ``break_after_work`` (share of requests that run but whose connection is closed
without a response), ``answer_headers`` (headers added to responses), ``keep_headers``
(record request headers in the ledger).

``X-Status`` sets the status, ``X-Chunked: 1`` asks for chunks of 16,384 bytes,
``X-Answer-Early: 1`` for a response before the request body was read. ``X-Chain: N``
with ``X-Chain-Url`` first calls that URL with ``N - 1`` and responds with 502 if that
fails.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from typing import Any

import aiohttp
from aiohttp import web

DEFAULT_WORK_MS = 5.0
DEFAULT_RESPONSE_BYTES = 200
CHUNK_BYTES = 16_384
FIRST_ERROR_STATUS = 400
COLD_FACTOR = 3.0
MS_PER_S = 1_000


class UpstreamStandIn:
    """One upstream with slots and a FIFO queue."""

    def __init__(self, name: str, slots: int, seed: int) -> None:
        self.name = name
        self.slots = slots
        self.semaphore = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.started = time.monotonic()
        self.generator = random.Random(seed)
        self.ledger: list[dict[str, Any]] = []
        self.probes = 0
        self.probe_times: list[float] = []
        self.refused_draining = 0
        self.behaviour: dict[str, Any] = {
            "slowdown": 1.0,
            "fail_fast": 0.0,
            "draining": False,
            "shed_above": None,
            "cold_ms": 0,
            "report_in_flight": None,
            "crossed": False,
            "cut_body": False,
            "close_delimited": False,
            "cut_stream": False,
            "break_after_work": 0.0,
            "answer_headers": {},
            "keep_headers": False,
            "anonymous_refusal": False,
        }

    def build_application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(client_max_size=1 << 30)
        application.add_routes(
            [
                web.get("/health", self.serve_health),
                web.get("/load", self.serve_load),
                web.post("/control", self.set_behaviour),
                web.get("/control/ledger", self.serve_ledger),
                web.route("*", "/{path:.*}", self.serve_request),
            ]
        )
        return application

    async def serve_health(self, request: web.Request) -> web.Response:
        """Serves the announced state."""
        self.record_probe()
        return web.json_response({"state": self.get_state()})

    async def serve_load(self, request: web.Request) -> web.Response:
        """Serves the load report."""
        self.record_probe()
        body = {"in_flight": self.report_in_flight(), "slots": self.slots}
        return web.json_response(body, headers=self.build_headers())

    def record_probe(self) -> None:
        """Records a probe with its wall-clock time."""
        self.probes += 1
        self.probe_times.append(time.time())

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Sets behaviour; ``cold_ms`` restarts the cold start."""
        changes = await request.json()
        self.behaviour.update(changes)
        if "cold_ms" in changes:
            self.started = time.monotonic()
        return web.json_response(self.behaviour)

    async def serve_ledger(self, request: web.Request) -> web.Response:
        """Serves the requests that ran, and the probes."""
        body = {
            "ran": self.ledger,
            "probes": self.probes,
            "probe_times": self.probe_times,
            "refused_draining": self.refused_draining,
        }
        return web.json_response(body)

    async def serve_request(self, request: web.Request) -> web.StreamResponse:
        """Handles a request: fails it, sheds it or runs it on a slot."""
        request_id = request.headers.get("X-Request-Id", "")
        if self.generator.random() < self.behaviour["fail_fast"]:
            entry = self.add_ledger_entry(request, request_id)
            entry["failed"] = True
            return web.Response(status=500, headers=self.build_headers(request_id))
        if self.behaviour["anonymous_refusal"]:
            # The request runs, and a refusal without an id precedes its response.
            self.add_ledger_entry(request, request_id)
            return web.Response(status=503, headers={"Execution-Status": "not-run"})
        shed_above = self.behaviour["shed_above"]
        if shed_above is not None and self.in_flight >= self.slots + shed_above:
            return self.shed(request_id)
        self.in_flight += 1
        arrived_at = time.time()
        try:
            async with self.semaphore:
                return await self.execute(request, request_id, arrived_at)
        finally:
            self.in_flight -= 1

    def shed(self, request_id: str) -> web.Response:
        """Returns the response to a request that is shed without running."""
        headers = self.build_headers(request_id) | {"Execution-Status": "not-run"}
        return web.Response(status=503, headers=headers)

    def add_ledger_entry(self, request: web.Request, request_id: str) -> dict[str, Any]:
        """Adds a request to the ledger and returns its entry."""
        entry = {
            "id": request_id,
            "method": request.method,
            "path": request.path_qs,
            "work": request.headers.get("X-Work-Id", ""),
            "attempt": request.headers.get("Request-Attempt", ""),
            "timeout_ms": request.headers.get("Request-Timeout-Ms", ""),
            "started": time.time(),
            "finished": None,
        }
        if self.behaviour["keep_headers"]:
            entry["headers"] = list(request.headers.items())
        self.ledger.append(entry)
        return entry

    async def execute(
        self, request: web.Request, request_id: str, arrived_at: float
    ) -> web.StreamResponse:
        """Runs a request on a slot and responds."""
        entry = self.add_ledger_entry(request, request_id)
        entry["received"] = arrived_at
        size = int(request.headers.get("X-Answer-Bytes", DEFAULT_RESPONSE_BYTES))
        if "X-Answer-Early" in request.headers:
            return await self.respond(request, request_id, size)
        try:
            await self.read_body(request, entry)
            work_ms = float(request.headers.get("X-Work-Ms", DEFAULT_WORK_MS))
            await asyncio.sleep(work_ms * self.get_slowdown() / MS_PER_S)
        except (asyncio.CancelledError, OSError):
            entry["cancelled"] = time.time()
            raise
        if not await self.call_next_layer(request):
            return web.Response(status=502, headers=self.build_headers(request_id))
        entry["finished"] = time.time()
        if self.generator.random() < self.behaviour["break_after_work"]:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        return await self.respond(request, request_id, size)

    async def read_body(self, request: web.Request, entry: dict[str, Any]) -> None:
        """Reads the request body, pausing ``X-Read-Ms`` after each chunk."""
        pause_ms = float(request.headers.get("X-Read-Ms", 0))
        entry["received_bytes"] = 0
        async for chunk in request.content.iter_any():
            entry["received_bytes"] += len(chunk)
            if pause_ms:
                await asyncio.sleep(pause_ms / MS_PER_S)

    async def call_next_layer(self, request: web.Request) -> bool:
        """Calls the next layer of a chain, if any; returns whether that succeeded."""
        depth = int(request.headers.get("X-Chain", 0))
        if depth == 0:
            return True
        names = ("X-Chain-Url", "X-Work-Ms", "X-Status", "Request-Attempt")
        headers = {
            name: request.headers[name] for name in names if name in request.headers
        }
        headers["X-Chain"] = str(depth - 1)
        headers["Request-Timeout-Ms"] = request.headers["Request-Timeout-Ms"]
        async with (
            aiohttp.ClientSession() as session,
            session.get(request.headers["X-Chain-Url"], headers=headers) as response,
        ):
            return response.status < FIRST_ERROR_STATUS

    async def respond(
        self, request: web.Request, request_id: str, size: int
    ) -> web.StreamResponse:
        """Sends the response, with the configured faults."""
        work_id = request.headers.get("X-Work-Id", "").encode()
        body = (work_id + b"." * size)[: max(size, len(work_id))]
        headers = self.build_headers(request_id)
        if self.behaviour["close_delimited"] or self.behaviour["cut_body"]:
            return await self.respond_raw(request, headers, body)
        status = 200
        if not int(request.headers.get("X-Chain", 0)):
            status = int(request.headers.get("X-Status", status))
        if "X-Chunked" in request.headers:
            return await self.respond_chunked(request, status, headers, body)
        return web.Response(status=status, body=body, headers=headers)

    async def respond_chunked(
        self, request: web.Request, status: int, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Sends the response in chunks, half of them if ``cut_stream`` is set."""
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(request)
        cut = self.behaviour["cut_stream"]
        end = len(body) // 2 if cut else len(body)
        pause_ms = float(request.headers.get("X-Chunk-Ms", 0))
        for start in range(0, end, CHUNK_BYTES):
            await response.write(body[start : min(end, start + CHUNK_BYTES)])
            await asyncio.sleep(pause_ms / MS_PER_S)
        if cut:
            assert request.transport is not None
            request.transport.close()
            raise ConnectionAbortedError("response cut short by the stand-in")
        await response.write_eof()
        return response

    async def respond_raw(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Sends a malformed response directly to the transport."""
        header_lines = [f"{name}: {value}" for name, value in headers.items()]
        if self.behaviour["cut_body"]:
            header_lines.append(f"Content-Length: {len(body)}")
            body = body[: len(body) // 2]
        header_lines.append("Connection: close")
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(header_lines) + "\r\n\r\n"
        transport = request.transport
        assert transport is not None
        transport.write(head.encode() + body)
        transport.close()
        return web.Response()

    def get_slowdown(self) -> float:
        """Returns the factor on service times."""
        age_ms = (time.monotonic() - self.started) * MS_PER_S
        cold_factor = COLD_FACTOR if age_ms < self.behaviour["cold_ms"] else 1.0
        return float(self.behaviour["slowdown"]) * cold_factor

    def get_state(self) -> str:
        """Returns the state that the upstream announces."""
        return "draining" if self.behaviour["draining"] else "live"

    def report_in_flight(self) -> int:
        """Returns the number of requests in flight to report."""
        override = self.behaviour["report_in_flight"]
        return self.in_flight if override is None else int(override)

    def build_headers(self, request_id: str = "") -> dict[str, str]:
        """Returns the response headers with load report, state and request id."""
        load = f"TEXT named_metrics.in_flight={self.report_in_flight()}"
        headers = {"endpoint-load-metrics": load, "X-Upstream": self.name}
        if self.get_state() != "live":
            headers["Upstream-State"] = self.get_state()
        if request_id:
            crossed = self.behaviour["crossed"]
            headers["X-Request-Id"] = "crossed-" + request_id if crossed else request_id
        headers.update(self.behaviour["answer_headers"])
        return headers


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()

    async def build() -> web.Application:
        standin = UpstreamStandIn(arguments.name, arguments.slots, arguments.seed)
        return standin.build_application()

    web.run_app(
        build(),
        host=arguments.host,
        port=arguments.port,
        print=None,
        access_log=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main()
