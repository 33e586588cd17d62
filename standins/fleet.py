"""Starts and ends real processes on free ports, for tests, demo and measurement."""

from __future__ import annotations

import fcntl
import functools
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
from typing import IO, TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"
SHARED_KEY = "a shared key for local runs"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 1_000
LOCKS: list[IO[str]] = []


class Ports(NamedTuple):
    """Ports of one instance."""

    peer: int
    entry_link: int
    agent_admin: int
    listen: int
    entry_admin: int


def reserve_ports() -> Iterator[int]:
    """Returns the ports of a range that no other process of this kind uses, in turn.

    A lock that lasts as long as the process keeps the range.
    """
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_PROCESS):
        path = pathlib.Path(tempfile.gettempdir(), f"verbenacross-ports-{first}.lock")
        lock = path.open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        LOCKS.append(lock)
        return itertools.cycle(range(first, first + PORTS_PER_PROCESS))
    raise RuntimeError("every range of ports is in use")


@functools.cache
def get_ports() -> Iterator[int]:
    """Returns the ports of this process, in turn."""
    return reserve_ports()


def find_free_ports(count: int) -> list[int]:
    """Returns ports that were free; all differ.

    They lie below the range from which the system takes ports of outgoing connections,
    so that no connection takes one before its process listens. Ports are handed out in
    turn, so that none is given twice before it is used.
    """
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            port = next(get_ports())
            probe = stack.enter_context(socket.socket())
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
    """Returns status, headers and body of an HTTP call; any status is an answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Fleet:
    """Platform stand-in, upstreams, agents and entries as real processes."""

    def __init__(self, directory: str | None = None) -> None:
        self._stack = ExitStack()
        created = directory or self._stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(created)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.instances: list[dict[str, Any]] = []
        self.ports: dict[str, Ports] = {}
        self.upstream_ports: dict[str, int] = {}
        self.store_port = find_free_ports(1)[0]
        self.store_url = f"http://{HOST}:{self.store_port}"

    def __enter__(self) -> Fleet:
        self.start(
            "platform", ["-m", "standins.platform", "--port", str(self.store_port)]
        )
        self.wait_until(lambda: self._answers(f"{self.store_url}/control/calls"))
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
        self._stack.close()

    def start(self, name: str, arguments: list[str]) -> None:
        """Starts a Python process; its output goes to a file in the directory."""
        path = self.directory / f"{name}.log"
        log = self._stack.enter_context(path.open("ab"))
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log
        )

    def add_upstream(
        self, service: str, index: int, failure_domain: str = "a", slots: int = 6
    ) -> str:
        """Starts an upstream and returns its id."""
        identifier = f"{service}-{index}"
        port = find_free_ports(1)[0]
        self.upstream_ports[identifier] = port
        self.start(
            identifier,
            ["-m", "standins.upstream", "--port", str(port), "--name", identifier]
            + ["--slots", str(slots), "--seed", str(index)],
        )
        self._list_instance(identifier, service, port, failure_domain)
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
            self._list_instance(
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
        """Puts the instances into the platform's list."""
        body = {"instances": self.instances}
        call(f"{self.store_url}/control/instances", "PUT", body)

    def set_instance_state(self, identifier: str, state: str) -> None:
        """Marks an instance live or leaving in the platform's list."""
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

    def read_ledger(self, upstream: str) -> dict[str, Any]:
        """Returns what ran on an upstream."""
        _, _, body = call(f"{self.get_upstream_url(upstream)}/control/ledger")
        return dict(json.loads(body))

    def get_upstream_url(self, upstream: str) -> str:
        """Returns the URL of an upstream."""
        return f"http://{HOST}:{self.upstream_ports[upstream]}"

    def get_entry_url(self, name: str) -> str:
        """Returns the URL that callers use."""
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
        """Writes a policy record straight to the store; returns its revision."""
        record = {"schema_version": 1, "service": service, "version": version, **parts}
        body = {"value": json.dumps(record), "expected_revision": expected}
        url = f"{self.store_url}/v1/kv/policies/{service}/{version}"
        status, _, answer = call(url, "PUT", body)
        if status != 200:
            raise RuntimeError(f"policy was not accepted: status {status}: {answer!r}")
        return int(json.loads(answer)["revision"])

    def wait_ready(self) -> None:
        """Waits until every started entry is ready."""
        for name, ports in self.ports.items():
            if f"{name}-entry" in self.processes:
                url = f"http://{HOST}:{ports.entry_admin}/ready"
                self.wait_until(lambda url=url: self._answers(url))
            else:
                url = f"http://{HOST}:{ports.agent_admin}/ready"
                self.wait_until(lambda url=url: self._answers(url))
        for port in self.upstream_ports.values():
            url = f"http://{HOST}:{port}/control/ledger"
            self.wait_until(lambda url=url: self._answers(url))

    def wait_until(self, condition: Any, timeout_s: float = START_TIMEOUT_S) -> float:
        """Waits for a condition; returns the seconds it took, or raises."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if condition():
                return time.monotonic() - started
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"the condition did not hold within {timeout_s} s")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Asks a process to stop and returns its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def stop_all(self) -> None:
        """Kills every process that still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _answers(self, url: str) -> bool:
        try:
            return call(url, timeout_s=2.0)[0] == 200
        except OSError:
            return False

    def _list_instance(
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
