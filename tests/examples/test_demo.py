"""Runs the demonstration as a user does."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from examples.demo_reporter import DemoReporter
from verbenacross.policy import parse_policy

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 60


@pytest.fixture
def start():
    """Starts demonstrations, and stops those that a failed test leaves running."""
    with contextlib.ExitStack() as stack:

        def start_process(*arguments):
            process = start_demo(*arguments)
            stack.callback(process.wait)
            stack.callback(process.terminate)
            return process

        yield start_process


def start_demo(*arguments):
    return subprocess.Popen(
        [sys.executable, "-m", "examples.demo", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )


def find_session_processes(leader):
    """Returns the ids of the processes in a session, without its leader."""
    found = []
    for entry in pathlib.Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != leader:
            try:
                if os.getsid(int(entry.name)) == leader:
                    found.append(int(entry.name))
            except ProcessLookupError:
                continue
    return found


def test_demo_ends_by_itself_and_leaves_no_process(start):
    """``make run ONCE=1`` exits by itself and prints its results."""
    process = start("--once")
    out, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0, out
    assert "FAILED" not in out
    for check in ("a caller can ask for version 1", "asking for version 1 is refused"):
        assert f"ok: {check}" in out
    assert "ok: no process was restarted" in out
    assert find_session_processes(process.pid) == []


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_demo_runs_until_interrupted(start, signal_number):
    """``make run`` prints addresses and calls, and stops all processes on a signal."""
    process = start()
    lines = []
    for line in process.stdout:
        lines.append(line)
        if "Running until interrupted" in line:
            break
    assert len(find_session_processes(process.pid)) == 10, lines
    assert any("curl -i http://127.0.0.1:" in line for line in lines), lines
    process.send_signal(signal_number)
    assert process.wait(TIMEOUT_S) == 0
    assert find_session_processes(process.pid) == []


def test_interruption_amid_the_start_leaves_no_process(start):
    """A signal during a process start must not leave an unregistered process."""
    for delay_s in (0.0, 0.01, 0.05, 0.3):
        process = start("--once")
        while len(find_session_processes(process.pid)) < 2:
            time.sleep(0.001)
        time.sleep(delay_s)
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 1
        assert find_session_processes(process.pid) == []


def test_wrong_facts_are_failures():
    """A failed check must show in the exit code."""
    reporter = DemoReporter()
    reporter.check("holds", True, "")
    assert reporter.exit_code == 0
    reporter.check("does not hold", False, "")
    assert reporter.exit_code == 1


def test_example_policies_are_valid():
    """The example policies must keep up with changes of the policy fields."""
    paths = list((ROOT / "examples" / "policies").glob("*.json"))
    assert paths
    for path in paths:
        parse_policy(path.read_bytes(), str(path))
