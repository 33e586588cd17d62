"""Runs the product on this machine and shows what operators and callers see.

Starts stand-ins for the platform, upstreams and several instances as plain processes on
free ports, applies two versions of a policy with the operators' command, and retires
the first. With ``--once`` it ends by itself, with exit code 1 if a step went wrong.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import uuid

from standins.fleet import HOST, Fleet, call

from .interruptible_fleet import InterruptibleFleet
from .narrator import Narrator

SERVICE = "layerhouse"
POLICIES = pathlib.Path(__file__).resolve().parent / "policies"
INSTANCES = {"entry-1": "hanoi-a", "entry-2": "hanoi-b", "entry-3": "hanoi-a"}
UPSTREAM_DOMAINS = ["hanoi-a", "hanoi-b", "hanoi-a"]
FIRST_TIMEOUT_MS = 10_000
SECOND_TIMEOUT_MS = 2_000
BURST_REQUESTS = 60
BURST_WORKERS = 6
SLOWDOWN = 10.0
VERSION_HEADER = "Verbenacross-Policy-Version"


class Demo:
    """The steps of the demonstration on a fleet."""

    def __init__(self, fleet: Fleet, narrator: Narrator) -> None:
        self._fleet = fleet
        self._narrator = narrator
        self._settings = fleet.directory / "operator.json"
        self._upstreams: list[str] = []

    def start(self) -> None:
        """Starts upstreams and instances and waits until they are ready."""
        for index, domain in enumerate(UPSTREAM_DOMAINS):
            self._upstreams.append(self._fleet.add_upstream(SERVICE, index, domain))
        for name, domain in INSTANCES.items():
            self._fleet.add_instance(name, domain)
        self._fleet.publish_instances()
        try:
            self._fleet.wait_ready()
        except TimeoutError:
            self._show_ended()
            raise
        ports = [self._fleet.ports[name].agent_admin for name in INSTANCES]
        document = {
            "store_url": self._fleet.store_url,
            "agents": [f"{HOST}:{port}" for port in ports],
        }
        self._settings.write_text(json.dumps(document, indent=2))

    def run(self) -> None:
        """Runs every step."""
        say = self._narrator
        say.title("Version 1 of the policy for layerhouse")
        self._operate("apply", str(POLICIES / "layerhouse-1.json"), "--wait")
        self._check_timeouts("every entry serves it", FIRST_TIMEOUT_MS)
        say.title("Version 2 beside it: another chooser, a shorter deadline")
        self._operate("diff", f"{SERVICE}/1", str(POLICIES / "layerhouse-2.json"), ok=1)
        before = self._read_processes()
        self._operate("apply", str(POLICIES / "layerhouse-2.json"), "--wait")
        self._check_timeouts("callers without a wish get version 2", SECOND_TIMEOUT_MS)
        self._check_timeouts("a caller can ask for version 1", FIRST_TIMEOUT_MS, 1)
        self._check_timeouts("a caller can ask for version 2", SECOND_TIMEOUT_MS, 2)
        self._show_routing()
        say.title("Version 1 is retired")
        self._operate("retire", SERVICE, "1", "--wait")
        status, _, body = self._request("entry-1", version=1)
        said = json.loads(body).get("title", "") if status == 410 else ""
        say.check("asking for version 1 is refused", status == 410, f"410 {said}")
        self._check_timeouts("everyone else gets version 2", SECOND_TIMEOUT_MS)
        self._operate("apply", str(POLICIES / "layerhouse-1.json"), ok=4)
        self._operate("list")
        self._operate("status")
        same = before == self._read_processes()
        say.check("no process was restarted", same, f"{len(before)} processes")

    def show_addresses(self) -> None:
        """Prints where everything listens, and calls to try."""
        say = self._narrator
        say.title("Addresses")
        for name, ports in self._fleet.ports.items():
            say.line(
                f"{name}: callers {HOST}:{ports.listen}, admin of the entry "
                f"{HOST}:{ports.entry_admin}, of the agent {HOST}:{ports.agent_admin}"
            )
        say.line(f"store and instance list: {self._fleet.store_url}")
        say.title("Calls to try")
        entry = self._fleet.get_entry_url("entry-1")
        admin = f"{HOST}:{self._fleet.ports['entry-1'].entry_admin}"
        say.line(f"curl -i {entry}/{SERVICE}/layers/wind")
        say.line(f"curl -i -H '{VERSION_HEADER}: 2' {entry}/{SERVICE}/layers/wind")
        say.line(f"curl -i -H '{VERSION_HEADER}: 1' {entry}/{SERVICE}/layers/wind")
        say.line(f"curl http://{admin}/metrics")
        say.line(f"verbenacross-dump {admin}")
        say.line(f"verbenacross list --settings {self._settings}")

    def _show_ended(self) -> None:
        """Prints the processes that ended early, with their last log line."""
        for name, process in self._fleet.processes.items():
            if process.poll() is not None:
                log = (self._fleet.directory / f"{name}.log").read_text().splitlines()
                reason = log[-1] if log else "no log"
                self._narrator.line(f"{name} ended with {process.poll()}: {reason}")

    def _operate(self, command: str, *arguments: str, ok: int = 0) -> None:
        shown = [os.path.relpath(a) if a.endswith(".json") else a for a in arguments]
        self._narrator.line(f"$ verbenacross {' '.join([command, *shown])}")
        ran = subprocess.run(
            [sys.executable, "-m", "verbenacross.console.application", command]
            + [*arguments, "--settings", str(self._settings)],
            capture_output=True,
            text=True,
            check=False,
        )
        for line in (ran.stdout + ran.stderr).splitlines():
            self._narrator.line(f"  {line}")
        if ran.returncode != ok:
            self._narrator.check(
                f"{command} ends with {ok}", False, str(ran.returncode)
            )

    def _request(
        self, instance: str, version: int | None = None, work: str = ""
    ) -> tuple[int, dict[str, str], bytes]:
        headers = {"X-Work-Id": work, "X-Work-Ms": "10"}
        if version is not None:
            headers[VERSION_HEADER] = str(version)
        url = f"{self._fleet.get_entry_url(instance)}/{SERVICE}/layers/wind"
        return call(url, headers=headers)

    def _check_timeouts(
        self, name: str, timeout_ms: int, version: int | None = None
    ) -> None:
        """Checks by the deadline that upstreams are given which version served."""
        seen = []
        for instance in INSTANCES:
            work = uuid.uuid4().hex
            status, _, _ = self._request(instance, version, work)
            seen.append(self._find_timeout_ms(work) if status == 200 else 0)
        matches = all(timeout_ms / 2 < passed <= timeout_ms for passed in seen)
        passed = ", ".join(str(milliseconds) for milliseconds in seen)
        self._narrator.check(name, matches, f"ms left at the upstream: {passed}")

    def _find_timeout_ms(self, work: str) -> int:
        for upstream in self._upstreams:
            for entry in self._fleet.read_ledger(upstream)["ran"]:
                if entry["work"] == work:
                    return int(entry["timeout_ms"])
        return 0

    def _show_routing(self) -> None:
        self._narrator.line(f"{self._upstreams[0]} now works {SLOWDOWN:.0f} x slower")
        self._fleet.set_behaviour(self._upstreams[0], slowdown=SLOWDOWN)
        for version in (1, 2):
            counts = self._send_burst(version)
            shares = ", ".join(f"{name} {count}" for name, count in counts.items())
            self._narrator.line(
                f"{BURST_REQUESTS} requests under version {version} went to: {shares}"
            )
        self._fleet.set_behaviour(self._upstreams[0], slowdown=1.0)

    def _send_burst(self, version: int) -> dict[str, int]:
        with concurrent.futures.ThreadPoolExecutor(BURST_WORKERS) as workers:
            answers = list(
                workers.map(
                    lambda number: self._request("entry-1", version),
                    range(BURST_REQUESTS),
                )
            )
        served = [headers.get("X-Upstream", "") for _, headers, _ in answers]
        whole = all(status == 200 for status, _, _ in answers)
        name = f"the burst under version {version} is answered"
        self._narrator.check(name, whole, f"{len(answers)} requests")
        return {upstream: served.count(upstream) for upstream in self._upstreams}

    def _read_processes(self) -> dict[str, tuple[int, int | None]]:
        return {
            name: (process.pid, process.poll())
            for name, process in self._fleet.processes.items()
        }


def main() -> int:
    """Runs the demonstration and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true", help="end after the last step")
    once = parser.parse_args().once
    narrator = Narrator()
    fleet = InterruptibleFleet()
    finished = False
    try:
        with fleet:
            demo = Demo(fleet, narrator)
            narrator.title("Starting the platform, 3 upstreams and 3 instances")
            demo.start()
            demo.run()
            narrator.summarize()
            finished = True
            if not once:
                demo.show_addresses()
                narrator.line("Running until interrupted (Ctrl-C).")
                signal.pause()
    except KeyboardInterrupt:
        narrator.line("stopped")
    except TimeoutError as error:
        narrator.check("every process is ready in time", False, str(error))
    finally:
        # A fleet that could not start its platform is not closed by the block above.
        fleet.stop_all()
    return narrator.exit_code if finished else 1


if __name__ == "__main__":
    sys.exit(main())
