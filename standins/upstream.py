"""Stand-in for an upstream: slots, a queue, load reports and faults.

A request works for ``X-Work-Ms`` milliseconds (default 5) on one of the slots and
answers ``X-Answer-Bytes`` bytes (default 200). Every request that starts to work enters
the ledger, which ``GET /control/ledger`` serves. ``POST /control`` sets behaviour:
``slowdown`` (factor), ``fail_fast`` (share of requests that fail at once),
``draining``, ``shed_above`` (queued requests), ``cold_ms`` (time in which work takes
three times as long), ``report_in_flight`` (number reported instead of the truth),
``crossed`` (echo a wrong request id), ``cut_body`` (send half the body and close),
``close_delimited`` (no length, no chunks), ``cut_stream`` (break a chunked answer
half way), ``break_after_work`` (share of requests whose connection is closed after the
work without an answer), ``answer_headers`` (added to answers), ``keep_headers`` (put
the request's headers into the ledger).

``X-Status`` sets the status, ``X-Chunked: 1`` answers in chunks of 16,384 bytes,
``X-Answer-Early: 1`` answers before the body of the request was read. ``X-Chain: N``
with ``X-Chain-Url`` calls that URL with ``N - 1`` first and passes failures on.
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
DEFAULT_ANSWER_BYTES = 200
CHUNK_BYTES = 16_384
FIRST_FAILED_STATUS = 400
COLD_FACTOR = 3.0
MS_PER_S = 1_000


class UpstreamStandIn:
    """One server with slots and a queue in order of arrival."""

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
                web.route("*", "/{path:.*}", self.serve_work),
            ]
        )
        return application

    async def serve_health(self, request: web.Request) -> web.Response:
        """Serves the state."""
        self.count_probe()
        return web.json_response({"state": self.get_state()})

    async def serve_load(self, request: web.Request) -> web.Response:
        """Serves the load."""
        self.count_probe()
        body = {"in_flight": self.report_in_flight(), "slots": self.slots}
        return web.json_response(body, headers=self.build_headers())

    def count_probe(self) -> None:
        """Counts a probe."""
        self.probes += 1
        self.probe_times.append(time.time())

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Sets behaviour."""
        changes = await request.json()
        self.behaviour.update(changes)
        if "cold_ms" in changes:
            self.started = time.monotonic()
        return web.json_response(self.behaviour)

    async def serve_ledger(self, request: web.Request) -> web.Response:
        """Serves what ran."""
        body = {
            "ran": self.ledger,
            "probes": self.probes,
            "probe_times": self.probe_times,
            "refused_draining": self.refused_draining,
        }
        return web.json_response(body)

    async def serve_work(self, request: web.Request) -> web.StreamResponse:
        """Works on a request."""
        request_id = request.headers.get("X-Request-Id", "")
        if self.generator.random() < self.behaviour["fail_fast"]:
            entry = self.note_start(request, request_id)
            entry["failed"] = True
            return web.Response(status=500, headers=self.build_headers(request_id))
        shed_above = self.behaviour["shed_above"]
        if shed_above is not None and self.in_flight >= self.slots + shed_above:
            return self.refuse(request_id)
        self.in_flight += 1
        arrived = time.time()
        try:
            async with self.semaphore:
                return await self.work(request, request_id, arrived)
        finally:
            self.in_flight -= 1

    def refuse(self, request_id: str) -> web.Response:
        """Sheds a request that did not run."""
        headers = self.build_headers(request_id) | {"Execution-Status": "not-run"}
        return web.Response(status=503, headers=headers)

    def note_start(self, request: web.Request, request_id: str) -> dict[str, Any]:
        """Adds a request to the ledger."""
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

    async def work(
        self, request: web.Request, request_id: str, arrived: float
    ) -> web.StreamResponse:
        """Runs the work of a request and answers it."""
        entry = self.note_start(request, request_id)
        entry["received"] = arrived
        size = int(request.headers.get("X-Answer-Bytes", DEFAULT_ANSWER_BYTES))
        if "X-Answer-Early" in request.headers:
            return await self.answer(request, request_id, size)
        try:
            await self.receive(request, entry)
            work_ms = float(request.headers.get("X-Work-Ms", DEFAULT_WORK_MS))
            await asyncio.sleep(work_ms * self.get_slowdown() / MS_PER_S)
        except (asyncio.CancelledError, OSError):
            entry["cancelled"] = time.time()
            raise
        if not await self.call_next(request):
            return web.Response(status=502, headers=self.build_headers(request_id))
        entry["finished"] = time.time()
        if self.generator.random() < self.behaviour["break_after_work"]:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        return await self.answer(request, request_id, size)

    async def receive(self, request: web.Request, entry: dict[str, Any]) -> None:
        """Reads the body of a request, as slowly as ``X-Read-Ms`` asks."""
        pause_ms = float(request.headers.get("X-Read-Ms", 0))
        entry["received_bytes"] = 0
        async for chunk in request.content.iter_any():
            entry["received_bytes"] += len(chunk)
            if pause_ms:
                await asyncio.sleep(pause_ms / MS_PER_S)

    async def call_next(self, request: web.Request) -> bool:
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
            session.get(request.headers["X-Chain-Url"], headers=headers) as answer,
        ):
            return answer.status < FIRST_FAILED_STATUS

    async def answer(
        self, request: web.Request, request_id: str, size: int
    ) -> web.StreamResponse:
        """Sends the answer, with the faults that are set."""
        mark = request.headers.get("X-Work-Id", "").encode()
        body = (mark + b"." * size)[: max(size, len(mark))]
        headers = self.build_headers(request_id)
        if self.behaviour["close_delimited"] or self.behaviour["cut_body"]:
            return await self.answer_raw(request, headers, body)
        status = 200
        if not int(request.headers.get("X-Chain", 0)):
            status = int(request.headers.get("X-Status", status))
        if "X-Chunked" in request.headers:
            return await self.answer_chunked(request, status, headers, body)
        return web.Response(status=status, body=body, headers=headers)

    async def answer_chunked(
        self, request: web.Request, status: int, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Sends the answer in chunks, half of them when ``cut_stream`` is set."""
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
            raise ConnectionAbortedError("the answer is cut on purpose")
        await response.write_eof()
        return response

    async def answer_raw(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Sends a faulty answer past the HTTP library."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        if self.behaviour["cut_body"]:
            lines.append(f"Content-Length: {len(body)}")
            body = body[: len(body) // 2]
        lines.append("Connection: close")
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        transport = request.transport
        assert transport is not None
        transport.write(head.encode() + body)
        transport.close()
        return web.Response()

    def get_slowdown(self) -> float:
        """Returns the factor on work times."""
        age_ms = (time.monotonic() - self.started) * MS_PER_S
        cold = COLD_FACTOR if age_ms < self.behaviour["cold_ms"] else 1.0
        return float(self.behaviour["slowdown"]) * cold

    def get_state(self) -> str:
        """Returns the state that the upstream announces."""
        return "draining" if self.behaviour["draining"] else "live"

    def report_in_flight(self) -> int:
        """Returns the load that the upstream claims."""
        claimed = self.behaviour["report_in_flight"]
        return self.in_flight if claimed is None else int(claimed)

    def build_headers(self, request_id: str = "") -> dict[str, str]:
        """Returns the signals of the upstream."""
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
