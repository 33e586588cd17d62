"""Exit codes, admin endpoints and state dumps of long-running processes."""

import json
import re
import signal
import socket
import subprocess
import sys

import pytest

from standins.fleet import Fleet, call, find_free_ports

pytestmark = pytest.mark.xdist_group("console-processes")

SAMPLE = re.compile(r'[a-z_]+(\{([a-z]+="[^"\n]*",?)*\})? [0-9.e+-]+')


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as running:
        running.add_instance("one")
        running.publish_instances()
        running.write_policy("svc", 1)
        running.write_policy("svc", 2, state="retired")
        running.wait_ready()
        running.wait_until(lambda: len(running.read_state("one")["records"]) == 2)
        yield running


def run_module(module, *arguments):
    return subprocess.run(
        [sys.executable, "-m", f"verbenacross.console.{module}", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def read_settings(fleet, process):
    return json.loads((fleet.directory / f"one-{process}.json").read_text())


@pytest.mark.parametrize(
    ("process", "setting"),
    [
        ("agent", "admin_listen"),
        ("agent", "entry_listen"),
        ("entry", "admin_listen"),
        ("entry", "listen"),
    ],
)
def test_taken_address_has_an_exit_code(fleet, tmp_path, process, setting):
    """Guards against a traceback or a hang if a listen address is already in use."""
    document = read_settings(fleet, process)
    names = [name for name, value in document.items() if name.endswith("listen")]
    for name, port in zip(names, find_free_ports(len(names)), strict=True):
        document[name] = f"127.0.0.1:{port}"
    path = tmp_path / "settings.json"
    with socket.create_server(("127.0.0.1", 0)) as occupying:
        document[setting] = f"127.0.0.1:{occupying.getsockname()[1]}"
        path.write_text(json.dumps(document))
        completed = run_module(f"{process}_application", str(path))
    assert completed.returncode == 3, completed
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert lines[-1]["setting"] == setting
    assert lines[-1]["address"] == document[setting]


def test_findings_of_settings_are_json_lines(fleet, tmp_path):
    """Guards exit code 2 and a log that log collectors can parse."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(read_settings(fleet, "agent") | {"a": 1, "b": 2}))
    completed = run_module("agent_application", str(path))
    assert completed.returncode == 2
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert [line["path"] for line in lines] == ["$.a", "$.b"]
    assert {line["source"] for line in lines} == {str(path)}


def test_interrupt_ends_a_process_without_traceback(fleet):
    """Guards against a traceback when a process is stopped with Control-C.

    Shells start background jobs with SIGINT ignored, which child processes inherit.
    The test therefore restores the default handler before it starts the process.
    """
    inherited = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        fleet.add_instance("two", with_entry=False)
    finally:
        signal.signal(signal.SIGINT, inherited)
    fleet.wait_ready()
    fleet.signal("two-agent", signal.SIGINT)
    assert fleet.processes["two-agent"].wait(10) == 130
    for line in (fleet.directory / "two-agent.log").read_text().splitlines():
        json.loads(line)


def test_metrics_are_in_prometheus_format(fleet):
    """Guards the exposition format and the common metrics of both processes."""
    ports = fleet.ports["one"]
    call(f"http://127.0.0.1:{ports.entry_admin}/missing")
    for port in (ports.agent_admin, ports.entry_admin):
        _, headers, body = call(f"http://127.0.0.1:{port}/metrics")
        assert headers["Content-Type"].startswith("text/plain")
        lines = [line for line in body.decode().splitlines() if line]
        samples = [line for line in lines if not line.startswith("#")]
        assert all(SAMPLE.fullmatch(line) for line in samples), samples
        values = dict(line.rsplit(" ", 1) for line in samples)
        assert float(values["verbenacross_ready"]) == 1
        assert float(values["verbenacross_resident_memory_bytes"]) > 1_000_000
        assert float(values['verbenacross_policy_records{state="active"}']) == 1
        assert float(values['verbenacross_policy_records{state="retired"}']) == 1
        assert float(values["verbenacross_policy_changes_total"]) == 2
        assert float(values['verbenacross_log_lines_total{level="info"}']) >= 1
    not_found = 'verbenacross_admin_requests_total{path="other",status="404"}'
    assert float(values[not_found]) == 1


def test_dump_prints_the_state_of_a_process(fleet):
    """Guards verbenacross-dump and its exit codes."""
    ports = fleet.ports["one"]
    for port in (ports.agent_admin, ports.entry_admin):
        completed = run_module("dump_application", f"127.0.0.1:{port}")
        assert completed.returncode == 0, completed
        assert json.loads(completed.stdout)["instance"] == "one"
        assert completed.stdout.count("\n") > 5
        compact = run_module("dump_application", f"127.0.0.1:{port}", "--compact")
        assert compact.stdout.count("\n") == 1
    store_address = f"127.0.0.1:{fleet.store_port}"
    assert run_module("dump_application", store_address).returncode == 9
    assert run_module("dump_application", "127.0.0.1:1").returncode == 6
    assert run_module("dump_application", "localhost").returncode == 2
