"""Helpers for tests that run several agents as separate processes."""

import json

from standins.fleet import (
    HOST,
    SHARED_KEY,
    START_TIMEOUT_S,
    Fleet,
    call,
    find_free_ports,
)

IN_FORCE_TARGET_S = 3.0
SERVICE = "cuepublish"


def build_key(version):
    return f"policies/{SERVICE}/{version}"


class AgentFleet(Fleet):
    """Fleet with helpers that read and wait for the state of agents and entries."""

    def add_agents(self, count, domains="ab", with_entry=True, **settings):
        names = [f"instance-{index}" for index in range(count)]
        for index, name in enumerate(names):
            domain = domains[index % len(domains)]
            self.add_instance(
                name, failure_domain=domain, agent=settings, with_entry=with_entry
            )
        self.publish_instances()
        self.wait_ready()
        self.wait_until(lambda: all(len(self.get_states(n)) == count for n in names))
        return names

    def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        """Waits for a condition, which is false while a process does not respond."""

        def is_met():
            try:
                return condition()
            except OSError:
                return False

        return super().wait_until(is_met, timeout_s)

    def read_status(self, name):
        port = self.ports[name].agent_admin
        return json.loads(call(f"http://{HOST}:{port}/status", timeout_s=1.0)[2])

    def get_states(self, name):
        members = self.read_status(name)["members"]
        return {member["instance"]: member["state"] for member in members}

    def all_report_state(self, names, members, state):
        return all(
            self.get_states(name).get(member) == state
            for name in names
            for member in members
        )

    def has_in_force(self, name, version, revision):
        policies = self.read_state(name, "entry")["policies"]
        return policies.get(build_key(version), {}).get("revision") == revision

    def is_in_force(self, names, version, revision):
        return all(self.has_in_force(name, version, revision) for name in names)

    def wait_in_force(self, names, version, revision, timeout_s=IN_FORCE_TARGET_S):
        return self.wait_until(
            lambda: self.is_in_force(names, version, revision), timeout_s
        )

    def set_faults(self, **faults):
        call(f"{self.store_url}/control", "POST", faults)

    def count_store_calls(self):
        body = json.loads(call(f"{self.store_url}/control/calls")[2])
        return sum(body["calls"].values())

    def add_proxy(self, name, target):
        """Starts a fault proxy and returns its port and the URL of its control API."""
        port, control = find_free_ports(2)
        arguments = ["--port", str(port), "--control-port", str(control)]
        self.start(name, ["-m", "standins.fault_proxy", *arguments, "--target", target])
        url = f"http://{HOST}:{control}"
        self.wait_until(lambda: self._responds_ok(f"{url}/connections"))
        return port, url


__all__ = ["HOST", "SHARED_KEY", "AgentFleet", "build_key", "call"]
