"""``status`` and ``--wait`` against responses from an agent's admin address."""

import http.server
import json
import threading

import pytest

from ..operator import Operator, finish


def build_member(name, state, in_force):
    return {
        "instance": name,
        "state": state,
        "failure_domain": "a",
        "in_force": in_force,
        "incarnation": 1,
    }


class StatusServer(http.server.ThreadingHTTPServer):
    """Serves ``GET /status`` as an agent does."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), StatusHandler)
        self.members = []
        self.address = f"127.0.0.1:{self.server_port}"


class StatusHandler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        body = {
            "instance": "e1",
            "watermark": 9,
            "members": self.server.members,
            "findings": [{"source": "policies/a/1", "path": "$", "message": "bad"}],
            "added_later": True,
        }
        self.send_response(200)
        self.end_headers()
        self.wfile.write(json.dumps(body).encode())

    def log_message(self, *arguments):
        pass


@pytest.fixture
def agent():
    server = StatusServer()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def operator_with_agents(fleet, tmp_path, agent):
    # The first address refuses connections, the second one responds.
    return Operator(fleet, tmp_path, agents=["127.0.0.1:1", agent.address])


def test_status_names_each_member_with_its_revision(operator_with_agents, agent):
    """Guards the table and the fallback to the next agent in the settings."""
    agent.members = [build_member("e2", "dead", 3), build_member("e1", "alive", 9)]
    completed = operator_with_agents.run("status")
    assert completed.exit_code == 0
    rows = [line.split() for line in completed.stdout.splitlines()]
    assert ["e1", "a", "alive", "9", "yes"] in rows
    assert ["e2", "a", "dead", "3", "no"] in rows
    assert "finding: policies/a/1: $: bad" in completed.stdout
    data = operator_with_agents.run("status", "--json").data
    assert [member["in_force"] for member in data["members"]] == [3, 9]


def test_status_without_an_agent_is_unreachable(fleet, tmp_path):
    """Guards the exit codes if no agent responds."""
    operator_without_agent = Operator(fleet, tmp_path, agents=["127.0.0.1:1"])
    assert operator_without_agent.run("status").exit_code == 6
    completed = operator_without_agent.run(
        "apply",
        operator_without_agent.write_policy_file("w", 1),
        "-w",
        "--wait-timeout-ms",
        300,
    )
    assert completed.exit_code == 8
    assert "accepted at revision" in completed.stderr


def test_wait_without_agents_writes_nothing(operator):
    """Guards against a write although ``--wait`` cannot succeed."""
    completed = operator.run(
        "apply", operator.write_policy_file("noagents", 1), "--wait"
    )
    assert (completed.exit_code, "$.agents" in completed.stderr) == (2, True)
    assert operator.run("show", "noagents", 1).exit_code == 5


def test_wait_ends_when_every_serving_member_has_the_revision(
    operator_with_agents, agent
):
    """Guards against waiting for dead members, and against ignoring suspected ones."""
    agent.members = [
        build_member("e1", "alive", 10_000),
        build_member("e2", "suspect", 0),
        build_member("e3", "dead", 0),
    ]
    path = operator_with_agents.write_policy_file("wait", 1)
    early = operator_with_agents.run("apply", path, "--wait", "--wait-timeout-ms", 500)
    assert early.exit_code == 8, early
    assert "in force on 1 of 2 live members; missing: e2 (suspect) at 0" in early.stderr
    process = operator_with_agents.start("apply", path, "--wait", "--json")
    assert "e2" in process.stderr.readline()
    agent.members[1]["in_force"] = 10_000
    completed = finish(process)
    assert completed.exit_code == 0, completed
    assert completed.data["in_force"] is True
    assert completed.data["live_members"] == 2
