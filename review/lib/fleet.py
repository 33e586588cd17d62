"""Runs the project's node program beside stand-ins of the store and the servers."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import AsyncExitStack
from typing import Any

from standins.fleet import find_free_ports

from .store import BoundedHistoryStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CALLER_HOST = "hulo84.example"
START_TIMEOUT_S = 20.0
# The pages give the platform's store 4 ms an answer.
STORE_DELAY_S = 0.004
# Bounds of the small site vifcs-gateway.
BOUNDS = {
    "grace_period": "6s",
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 56,
    "probes_per_s": 60,
}
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def has_trouble() -> bool:
    """Returns whether the script is to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Appends a line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def render_template(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of the settings template."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            value = value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", replace, template)


def build_rule(prefix: str, kind: str, service: str, timeout: str, **more: Any) -> Any:
    """Returns a rule of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "kind": kind,
        "target_latency": "300ms",
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout": timeout, "max_attempts": 2},
    } | more


def build_configuration(version: int, rules: list[Any], services: list[str]) -> Any:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "listeners": [{"host": CALLER_HOST, "rules": rules}],
        "clusters": [
            {"name": name, "health_check_path": "/health", "max_connections": 220}
            for name in services
        ],
    }


class Node:
    """A process of the node program, started with the command of the deploy file."""

    def __init__(self, name: str, command: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self.ports = find_free_ports(4)
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.pid = 0
        self._command = command
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def peer_address(self) -> str:
        """The address for other nodes, of which the seeds are some."""
        return f"{HOST}:{self.ports[2]}"

    def write_settings(
        self, zone: str, seeds: list[str], store: str, *, bootstrap: bool
    ) -> None:
        """Writes the settings file as the platform renders it from the template."""
        template = (ROOT / "deploy" / "node-settings.json").read_text()
        # Every machine has its own address on the platform, here they share one.
        metrics = f"{HOST}:{self.ports[3]}"
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": HOST,
            "listen": {
                "front": f"{HOST}:{self.ports[0]}",
                "readiness": f"{HOST}:{self.ports[1]}",
                "control": self.peer_address,
            },
            "seeds": seeds,
            "bootstrap": bootstrap,
            "platform": {"address": store},
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        text = render_template(template, fields).replace(f"{HOST}:9464", metrics)
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["VERBENACROSS_BOOT"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.pid = self._process.pid

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def has_exited(self) -> bool:
        """Returns whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    async def wait_exit(self, timeout_s: float) -> int | None:
        """Waits until the process has ended; returns its exit code."""
        assert self._process is not None
        try:
            return await asyncio.to_thread(self._process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Ends the process, also a stopped one."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the log lines so far."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    async def get(self, port: int, path: str) -> tuple[int, bytes]:
        """Sends a plain GET to one of the node's ports; status 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    head = (
                        f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    )
                    writer.write(head.encode())
                    answer = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, body

    async def is_ready(self) -> bool:
        """Asks the readiness address as the platform does."""
        status, _ = await self.get(self.ports[1], "/verbenacross/ready")
        return status == 200

    async def wait_ready(self) -> None:
        """Waits until the node is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline or self.has_exited():
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def read_state(self) -> dict[str, Any]:
        """Returns the state dump of the node."""
        _, body = await self.get(self.ports[3], "/state")
        return json.loads(body) if body else {}


class Fleet:
    """The store's stand-in and the nodes of one script."""

    def __init__(self, stack: AsyncExitStack, folder: pathlib.Path) -> None:
        self.stack = stack
        self.folder = folder
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split(" ")
        self.nodes: list[Node] = []

    async def open(self) -> None:
        """Starts the store's stand-in."""
        self.store = await self.stack.enter_async_context(BoundedHistoryStore())
        self.endpoint = await self.store.open_endpoint()
        self.endpoint.delay_s = STORE_DELAY_S

    def add_node(self, name: str) -> Node:
        """Creates a node, which is not started yet."""
        node = Node(name, self.command, self.folder)
        self.nodes.append(node)
        self.stack.callback(node.close)
        return node


async def call(
    node: Node,
    path: str,
    request_id: str,
    deadline_ms: int,
    method: str = "GET",
    body: bytes = b"",
) -> tuple[int, dict[str, str], bytes, str]:
    """Sends a request on a new connection.

    Returns status, headers, body and how the answer ended: ``complete``, or why not.
    """
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(
                HOST, node.ports[0], limit=1 << 22
            )
            try:
                writer.write(head.encode() + b"\r\n" + body)
                return await read_answer(reader)
            finally:
                writer.close()
    except TimeoutError:
        return 0, {}, b"", "no answer in time"
    except OSError as error:
        return 0, {}, b"", repr(error)


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes, str]:
    """Reads an answer as HTTP/1.1 frames it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return 0, {}, b"", "the connection closed without an answer"
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    parts: list[bytes] = []
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            parts.append(await reader.readexactly(int(headers["content-length"])))
        else:
            parts.append(await reader.read())
    except (asyncio.IncompleteReadError, OSError) as error:
        return status, headers, b"".join(parts), f"ends early: {error!r}"[:80]
    return status, headers, b"".join(parts), "complete"


def run_script(folder: pathlib.Path, main: Any) -> None:
    """Runs ``main(fleet, record)``; exits with the code that the issue asks for."""

    async def run() -> int:
        record = Record(folder)
        with tempfile.TemporaryDirectory() as directory:
            async with AsyncExitStack() as stack:
                stack.callback(record.close)
                fleet = Fleet(stack, pathlib.Path(directory))
                try:
                    async with asyncio.timeout(110):
                        await fleet.open()
                        broken = await main(fleet, record)
                except Exception as error:
                    record.write(f"the case could not run: {error!r}")
                    print(f"the case could not run: {error!r}", file=sys.stderr)
                    return EXIT_NOT_RUN
        print("the rule was broken" if broken else "the rule held")
        return EXIT_BROKEN if broken else EXIT_HELD

    # A terminated script ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    sys.exit(asyncio.run(run()))
