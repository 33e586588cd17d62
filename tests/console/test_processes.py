"""Exit codes, admin endpoints and dumps of the long-lived processes."""

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
    """Guards against a traceback or a hang when an address is taken."""
    document = read_settings(fleet, process)
    names = [name for name, value in document.items() if name.endswith("listen")]
    for name, port in zip(names, find_free_ports(len(names)), strict=True):
        document[name] = f"127.0.0.1:{port}"
    path = tmp_path / "settings.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        document[setting] = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_text(json.dumps(document))
        ran = run_module(f"{process}_application", str(path))
    assert ran.returncode == 3, ran
    lines = [json.loads(line) for line in ran.stderr.splitlines()]
    assert lines[-1]["setting"] == setting
    assert lines[-1]["address"] == document[setting]


def test_findings_of_settings_are_json_lines(fleet, tmp_path):
    """Guards the exit code 2 and that the log stays readable for collectors."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(read_settings(fleet, "agent") | {"a": 1, "b": 2}))
    ran = run_module("agent_application", str(path))
    assert ran.returncode == 2
    lines = [json.loads(line) for line in ran.stderr.splitlines()]
    assert [line["path"] for line in lines] == ["$.a", "$.b"]
    assert {line["source"] for line in lines} == {str(path)}


def test_interrupt_ends_a_process_without_traceback(fleet):
    """Guards operators who start a process by hand and press Control-C.

    A shell starts its background jobs with the interrupt ignored, which processes
    inherit, so the test must not pass on its own.
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
    """Guards scrapers, and the first set of metrics of both processes."""
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
    missed = 'verbenacross_admin_requests_total{path="other",status="404"}'
    assert float(values[missed]) == 1


def test_dump_prints_the_state_of_a_process(fleet):
    """Guards the dump command and its exit codes."""
    ports = fleet.ports["one"]
    for port in (ports.agent_admin, ports.entry_admin):
        ran = run_module("dump_application", f"127.0.0.1:{port}")
        assert ran.returncode == 0, ran
        assert json.loads(ran.stdout)["instance"] == "one"
        assert ran.stdout.count("\n") > 5
        compact = run_module("dump_application", f"127.0.0.1:{port}", "--compact")
        assert compact.stdout.count("\n") == 1
    wrong = f"127.0.0.1:{fleet.store_port}"
    assert run_module("dump_application", wrong).returncode == 9
    assert run_module("dump_application", "127.0.0.1:1").returncode == 6
    assert run_module("dump_application", "localhost").returncode == 2
