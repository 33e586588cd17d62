"""Runs a fleet on this machine and shows what operators and callers see.

Starts the stand-ins of the platform and of upstreams, and several instances, as local
processes on free ports; applies two versions of a policy with the ``verbenacross``
command, and retires the first. With ``--once`` it exits after the last step, with code
1 if a step failed.
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

from .demo_reporter import DemoReporter
from .interruptible_fleet import InterruptibleFleet

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
    """Runs the steps of the demonstration on a fleet."""

    def __init__(self, fleet: Fleet, reporter: DemoReporter) -> None:
        self._fleet = fleet
        self._reporter = reporter
        self._operator_settings = fleet.directory / "operator.json"
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
            self._show_exited()
            raise
        ports = [self._fleet.ports[name].agent_admin for name in INSTANCES]
        document = {
            "store_url": self._fleet.store_url,
            "agents": [f"{HOST}:{port}" for port in ports],
        }
        self._operator_settings.write_text(json.dumps(document, indent=2))

    def run(self) -> None:
        """Runs every step."""
        reporter = self._reporter
        reporter.title("Version 1 of the policy for layerhouse")
        self._run_command("apply", str(POLICIES / "layerhouse-1.json"), "--wait")
        self._check_timeouts("every entry serves it", FIRST_TIMEOUT_MS)
        reporter.title("Version 2 beside it: another chooser, a shorter deadline")
        self._run_command(
            "diff",
            f"{SERVICE}/1",
            str(POLICIES / "layerhouse-2.json"),
            expected_exit_code=1,
        )
        before = self._read_processes()
        self._run_command("apply", str(POLICIES / "layerhouse-2.json"), "--wait")
        self._check_timeouts(
            "callers that select no version get version 2", SECOND_TIMEOUT_MS
        )
        self._check_timeouts("a caller can ask for version 1", FIRST_TIMEOUT_MS, 1)
        self._check_timeouts("a caller can ask for version 2", SECOND_TIMEOUT_MS, 2)
        self._show_routing()
        reporter.title("Version 1 is retired")
        self._run_command("retire", SERVICE, "1", "--wait")
        status, _, body = self._request("entry-1", version=1)
        title = json.loads(body).get("title", "") if status == 410 else ""
        reporter.check("asking for version 1 is refused", status == 410, f"410 {title}")
        self._check_timeouts("everyone else gets version 2", SECOND_TIMEOUT_MS)
        self._run_command(
            "apply", str(POLICIES / "layerhouse-1.json"), expected_exit_code=4
        )
        self._run_command("list")
        self._run_command("status")
        unchanged = before == self._read_processes()
        reporter.check(
            "no process was restarted", unchanged, f"{len(before)} processes"
        )

    def show_addresses(self) -> None:
        """Prints all addresses, and commands to try."""
        reporter = self._reporter
        reporter.title("Addresses")
        for name, ports in self._fleet.ports.items():
            reporter.line(
                f"{name}: callers {HOST}:{ports.listen}, admin of the entry "
                f"{HOST}:{ports.entry_admin}, of the agent {HOST}:{ports.agent_admin}"
            )
        reporter.line(f"store and instance list: {self._fleet.store_url}")
        reporter.title("Calls to try")
        entry = self._fleet.get_entry_url("entry-1")
        admin = f"{HOST}:{self._fleet.ports['entry-1'].entry_admin}"
        reporter.line(f"curl -i {entry}/{SERVICE}/layers/wind")
        reporter.line(f"curl -i -H '{VERSION_HEADER}: 2' {entry}/{SERVICE}/layers/wind")
        reporter.line(f"curl -i -H '{VERSION_HEADER}: 1' {entry}/{SERVICE}/layers/wind")
        reporter.line(f"curl http://{admin}/metrics")
        reporter.line(f"verbenacross-dump {admin}")
        reporter.line(f"verbenacross list --settings {self._operator_settings}")

    def _show_exited(self) -> None:
        """Prints the processes that exited early, with their last log line."""
        for name, process in self._fleet.processes.items():
            if process.poll() is not None:
                log = (self._fleet.directory / f"{name}.log").read_text().splitlines()
                reason = log[-1] if log else "no log"
                self._reporter.line(
                    f"{name} exited with code {process.poll()}: {reason}"
                )

    def _run_command(
        self, command: str, *arguments: str, expected_exit_code: int = 0
    ) -> None:
        displayed = [
            os.path.relpath(a) if a.endswith(".json") else a for a in arguments
        ]
        self._reporter.line(f"$ verbenacross {' '.join([command, *displayed])}")
        result = subprocess.run(
            [sys.executable, "-m", "verbenacross.console.application", command]
            + [*arguments, "--settings", str(self._operator_settings)],
            capture_output=True,
            text=True,
            check=False,
        )
        for line in (result.stdout + result.stderr).splitlines():
            self._reporter.line(f"  {line}")
        if result.returncode != expected_exit_code:
            self._reporter.check(
                f"{command} exits with code {expected_exit_code}",
                False,
                str(result.returncode),
            )

    def _request(
        self, instance: str, version: int | None = None, work_id: str = ""
    ) -> tuple[int, dict[str, str], bytes]:
        headers = {"X-Work-Id": work_id, "X-Work-Ms": "10"}
        if version is not None:
            headers[VERSION_HEADER] = str(version)
        url = f"{self._fleet.get_entry_url(instance)}/{SERVICE}/layers/wind"
        return call(url, headers=headers)

    def _check_timeouts(
        self, name: str, timeout_ms: int, version: int | None = None
    ) -> None:
        """Checks which version served, by the remaining time passed to upstreams."""
        timeouts_ms = []
        for instance in INSTANCES:
            work_id = uuid.uuid4().hex
            status, _, _ = self._request(instance, version, work_id)
            timeouts_ms.append(self._find_timeout_ms(work_id) if status == 200 else 0)
        matches = all(timeout_ms / 2 < passed <= timeout_ms for passed in timeouts_ms)
        passed = ", ".join(str(milliseconds) for milliseconds in timeouts_ms)
        self._reporter.check(name, matches, f"ms left at the upstream: {passed}")

    def _find_timeout_ms(self, work_id: str) -> int:
        for upstream in self._upstreams:
            for entry in self._fleet.read_ledger(upstream)["ran"]:
                if entry["work"] == work_id:
                    return int(entry["timeout_ms"])
        return 0

    def _show_routing(self) -> None:
        self._reporter.line(f"{self._upstreams[0]} is now {SLOWDOWN:.0f} times slower")
        self._fleet.set_behaviour(self._upstreams[0], slowdown=SLOWDOWN)
        for version in (1, 2):
            counts = self._send_burst(version)
            shares = ", ".join(f"{name} {count}" for name, count in counts.items())
            self._reporter.line(
                f"{BURST_REQUESTS} requests under version {version} went to: {shares}"
            )
        self._fleet.set_behaviour(self._upstreams[0], slowdown=1.0)

    def _send_burst(self, version: int) -> dict[str, int]:
        with concurrent.futures.ThreadPoolExecutor(BURST_WORKERS) as workers:
            responses = list(
                workers.map(
                    lambda number: self._request("entry-1", version),
                    range(BURST_REQUESTS),
                )
            )
        upstreams = [headers.get("X-Upstream", "") for _, headers, _ in responses]
        all_succeeded = all(status == 200 for status, _, _ in responses)
        name = f"all requests of the burst under version {version} succeed"
        self._reporter.check(name, all_succeeded, f"{len(responses)} requests")
        return {upstream: upstreams.count(upstream) for upstream in self._upstreams}

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
    reporter = DemoReporter()
    fleet = InterruptibleFleet()
    finished = False
    try:
        with fleet:
            demo = Demo(fleet, reporter)
            reporter.title("Starting the platform, 3 upstreams and 3 instances")
            demo.start()
            demo.run()
            reporter.summarize()
            finished = True
            if not once:
                demo.show_addresses()
                reporter.line("Running until interrupted (Ctrl-C).")
                signal.pause()
    except KeyboardInterrupt:
        reporter.line("stopped")
    except TimeoutError as error:
        reporter.check("every process is ready in time", False, str(error))
    finally:
        # The ``with`` block does not stop a fleet whose platform could not start.
        fleet.stop_all()
    return reporter.exit_code if finished else 1


if __name__ == "__main__":
    sys.exit(main())
