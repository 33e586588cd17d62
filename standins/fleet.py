"""Starts and stops real processes on free ports, for tests, demo and measurement."""

from __future__ import annotations

import itertools
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from contextlib import ExitStack
from typing import Any, NamedTuple

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORT_BLOCKS = 22
PORTS_PER_BLOCK = 1_000
PORT_NUMBERS = itertools.count()
PORT_LOCKS: list[socket.socket] = []
SHARED_KEY = "a shared key for local runs"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02


class Ports(NamedTuple):
    """Ports of one instance."""

    peer: int
    entry_link: int
    agent_admin: int
    listen: int
    entry_admin: int


def reserve_port_block() -> int:
    """Returns the first port of a block that no other fleet process uses.

    The first port of a block stays bound as a lock until this process ends. The blocks
    lie below the ephemeral port range.
    """
    for block in range(PORT_BLOCKS):
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        lock = socket.socket()
        try:
            lock.bind((HOST, first))
        except OSError:
            lock.close()
            continue
        PORT_LOCKS.append(lock)
        return first
    raise RuntimeError("all port blocks are in use")


def find_free_ports(count: int) -> list[int]:
    """Returns distinct free ports from the block of this process.

    It does not suffice that a port is free at the moment: under load, another fleet or
    an outgoing connection took such ports before the started process bound them.
    """
    first = PORT_LOCKS[0].getsockname()[1] if PORT_LOCKS else reserve_port_block()
    ports: list[int] = []
    while len(ports) < count:
        port = first + 1 + next(PORT_NUMBERS) % (PORTS_PER_BLOCK - 1)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def call(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of an HTTP call; no status raises."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Fleet:
    """Platform stand-in, upstreams, agents and entries as real processes.

    A context manager: starts the platform on entry and kills all processes on exit.
    """

    def __init__(self, directory: str | None = None) -> None:
        self._stack = ExitStack()
        path = directory or self._stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(path)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.instances: list[dict[str, Any]] = []
        self.ports: dict[str, Ports] = {}
        self.upstream_ports: dict[str, int] = {}
        self.proxy_control_ports: dict[str, int] = {}
        self.store_port = find_free_ports(1)[0]
        self.store_url = f"http://{HOST}:{self.store_port}"

    def __enter__(self) -> Fleet:
        self.start(
            "platform", ["-m", "standins.platform", "--port", str(self.store_port)]
        )
        self.wait_until(lambda: self._responds_ok(f"{self.store_url}/control/calls"))
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
        self._stack.close()

    def start(self, name: str, arguments: list[str]) -> None:
        """Starts a Python process; its output goes to ``{name}.log`` in the folder."""
        path = self.directory / f"{name}.log"
        log = self._stack.enter_context(path.open("ab"))
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log
        )

    def add_upstream(
        self,
        service: str,
        index: int,
        failure_domain: str = "a",
        slots: int = 6,
        proxied: bool = False,
    ) -> str:
        """Starts an upstream, behind a fault proxy if ``proxied``; returns its id."""
        identifier = f"{service}-{index}"
        port, proxy_port, control_port = find_free_ports(3)
        self.upstream_ports[identifier] = port
        self.start(
            identifier,
            ["-m", "standins.upstream", "--port", str(port), "--name", identifier]
            + ["--slots", str(slots), "--seed", str(index)],
        )
        if proxied:
            self.proxy_control_ports[identifier] = control_port
            self.start(
                f"{identifier}-proxy",
                ["-m", "standins.fault_proxy", "--port", str(proxy_port)]
                + ["--control-port", str(control_port), "--target", f"{HOST}:{port}"],
            )
        listed_port = proxy_port if proxied else port
        self._add_listed_instance(identifier, service, listed_port, failure_domain)
        return identifier

    def add_instance(
        self,
        name: str,
        failure_domain: str = "a",
        agent: dict[str, Any] | None = None,
        entry: dict[str, Any] | None = None,
        with_entry: bool = True,
    ) -> None:
        """Starts an agent and an entry; ``agent`` and ``entry`` add settings."""
        if name not in self.ports:
            self.ports[name] = Ports(*find_free_ports(5))
            self._add_listed_instance(
                name, "verbenacross-agent", self.ports[name].peer, failure_domain
            )
        self._write_settings(name, failure_domain, agent or {}, entry or {})
        self.start_agent(name)
        if with_entry:
            self.start_entry(name)

    def start_agent(self, name: str) -> None:
        """Starts the agent of an instance from its settings file."""
        path = str(self.directory / f"{name}-agent.json")
        self.start(
            f"{name}-agent", ["-m", "verbenacross.console.agent_application", path]
        )

    def start_entry(self, name: str) -> None:
        """Starts the entry of an instance from its settings file."""
        path = str(self.directory / f"{name}-entry.json")
        self.start(
            f"{name}-entry", ["-m", "verbenacross.console.entry_application", path]
        )

    def publish_instances(self) -> None:
        """Publishes the instances in the platform's instance list."""
        body = {"instances": self.instances}
        call(f"{self.store_url}/control/instances", "PUT", body)

    def set_instance_state(self, identifier: str, state: str) -> None:
        """Sets the state of an instance, live or leaving, in the platform's list."""
        for instance in self.instances:
            if instance["id"] == identifier:
                instance["state"] = state
        self.publish_instances()

    def set_store_faults(self, **faults: Any) -> None:
        """Sets faults of the store."""
        call(f"{self.store_url}/control", "POST", faults)

    def set_behaviour(self, upstream: str, **behaviour: Any) -> None:
        """Sets behaviour of an upstream."""
        call(f"{self.get_upstream_url(upstream)}/control", "POST", behaviour)

    def set_proxy_faults(self, upstream: str, **faults: Any) -> None:
        """Sets faults of the proxy in front of an upstream."""
        self._control_proxy(upstream, "control", faults)

    def silence_open_connections(self, upstream: str) -> int:
        """Drops all data on the open connections to an upstream; returns how many."""
        open_connections = len(self._read_connections(upstream)["open"])
        self._control_proxy(
            upstream, "control", {"connections": "open", "silent": True}
        )
        return open_connections

    def reset_open_connections(self, upstream: str) -> int:
        """Resets the open connections to an upstream; returns how many."""
        return int(self._control_proxy(upstream, "reset", {})["connections"])

    def count_connections(self, upstream: str) -> int:
        """Returns how many connections the proxy of an upstream has accepted."""
        return int(self._read_connections(upstream)["accepted"])

    def _read_connections(self, upstream: str) -> Any:
        port = self.proxy_control_ports[upstream]
        return json.loads(call(f"http://{HOST}:{port}/connections")[2])

    def _control_proxy(self, upstream: str, path: str, body: dict[str, Any]) -> Any:
        url = f"http://{HOST}:{self.proxy_control_ports[upstream]}/{path}"
        status, _, response = call(url, "POST", body)
        if status != 200:
            raise ValueError(f"{url} returned status {status}: {response!r}")
        return json.loads(response)

    def read_ledger(self, upstream: str) -> dict[str, Any]:
        """Returns the ledger of an upstream: its requests and probes."""
        _, _, body = call(f"{self.get_upstream_url(upstream)}/control/ledger")
        return dict(json.loads(body))

    def get_upstream_url(self, upstream: str) -> str:
        """Returns the URL of an upstream."""
        return f"http://{HOST}:{self.upstream_ports[upstream]}"

    def get_entry_url(self, name: str) -> str:
        """Returns the URL at which the entry of an instance accepts requests."""
        return f"http://{HOST}:{self.ports[name].listen}"

    def read_state(self, name: str, process: str = "agent") -> dict[str, Any]:
        """Returns the state dump of an instance's agent or entry."""
        ports = self.ports[name]
        port = ports.agent_admin if process == "agent" else ports.entry_admin
        _, _, body = call(f"http://{HOST}:{port}/state")
        return dict(json.loads(body))

    def write_policy(
        self, service: str, version: int, expected: int = 0, **parts: Any
    ) -> int:
        """Writes a policy record directly to the store; returns its revision."""
        record = {"schema_version": 1, "service": service, "version": version, **parts}
        body = {"value": json.dumps(record), "expected_revision": expected}
        url = f"{self.store_url}/v1/kv/policies/{service}/{version}"
        status, _, response = call(url, "PUT", body)
        if status != 200:
            raise RuntimeError(f"store rejected policy: status {status}: {response!r}")
        return int(json.loads(response)["revision"])

    def wait_ready(self) -> None:
        """Waits until every agent, entry, fault proxy and upstream is ready."""
        for name, ports in self.ports.items():
            if f"{name}-entry" in self.processes:
                url = f"http://{HOST}:{ports.entry_admin}/ready"
                self.wait_until(lambda url=url: self._responds_ok(url))
            else:
                url = f"http://{HOST}:{ports.agent_admin}/ready"
                self.wait_until(lambda url=url: self._responds_ok(url))
        for port in self.proxy_control_ports.values():
            url = f"http://{HOST}:{port}/connections"
            self.wait_until(lambda url=url: self._responds_ok(url))
        for port in self.upstream_ports.values():
            url = f"http://{HOST}:{port}/control/ledger"
            self.wait_until(lambda url=url: self._responds_ok(url))

    def wait_until(self, condition: Any, timeout_s: float = START_TIMEOUT_S) -> float:
        """Polls a condition; returns the seconds it took, raises ``TimeoutError``."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if condition():
                return time.monotonic() - started
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"condition not met within {timeout_s} s; {self.describe_ended()}"
        )

    def describe_ended(self) -> str:
        """Returns which processes have exited, with the end of their logs."""
        ended = [
            f"{name} exited with {process.returncode}: "
            + (self.directory / f"{name}.log").read_text()[-500:]
            for name, process in self.processes.items()
            if process.poll() is not None
        ]
        return "; ".join(ended) or "no process has exited"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Sends SIGTERM to a process and returns its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def stop_all(self) -> None:
        """Kills every process that still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _responds_ok(self, url: str) -> bool:
        try:
            return call(url, timeout_s=2.0)[0] == 200
        except OSError:
            return False

    def _add_listed_instance(
        self, identifier: str, service: str, port: int, failure_domain: str
    ) -> None:
        self.instances.append(
            {
                "id": identifier,
                "service": service,
                "address": f"{HOST}:{port}",
                "failure_domain": failure_domain,
                "state": "live",
            }
        )

    def _write_settings(
        self, name: str, domain: str, agent: dict[str, Any], entry: dict[str, Any]
    ) -> None:
        ports = self.ports[name]
        common = {"instance": name, "failure_domain": domain}
        agent_settings = {
            **common,
            "peer_listen": f"{HOST}:{ports.peer}",
            "entry_listen": f"{HOST}:{ports.entry_link}",
            "admin_listen": f"{HOST}:{ports.agent_admin}",
            "store_url": self.store_url,
            "list_url": self.store_url,
            "shared_key": SHARED_KEY,
            **agent,
        }
        entry_settings = {
            **common,
            "listen": f"{HOST}:{ports.listen}",
            "admin_listen": f"{HOST}:{ports.entry_admin}",
            "agent": f"{HOST}:{ports.entry_link}",
            "store_url": self.store_url,
            **entry,
        }
        for process, settings in (("agent", agent_settings), ("entry", entry_settings)):
            path = self.directory / f"{name}-{process}.json"
            path.write_text(json.dumps(settings, indent=2))
