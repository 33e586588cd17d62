"""Runs the command-line interface for operators as real processes."""

import json
import pathlib
import subprocess
import sys
from typing import Any, NamedTuple

from standins.fleet import Fleet

TIMEOUT_S = 30


class CompletedCommand(NamedTuple):
    exit_code: int
    stdout: str
    stderr: str

    @property
    def data(self) -> Any:
        return json.loads(self.stdout)


class Operator:
    """Runs commands against the store of a fleet; keeps its files in a directory."""

    def __init__(self, fleet: Fleet, directory: pathlib.Path, **settings: Any) -> None:
        self.fleet = fleet
        self.directory = directory
        self.settings = str(directory / "operator.json")
        document = {"store_url": fleet.store_url, **settings}
        pathlib.Path(self.settings).write_text(json.dumps(document))

    def write_policy_file(self, service: str, version: int, **parts: Any) -> str:
        record = {"schema_version": 1, "service": service, "version": version, **parts}
        path = self.directory / f"{service}-{len(list(self.directory.iterdir()))}.json"
        path.write_text(json.dumps(record))
        return str(path)

    def start(self, command: str, *arguments: Any) -> subprocess.Popen[str]:
        options = [] if command == "validate" else ["--settings", self.settings]
        return subprocess.Popen(
            [sys.executable, "-m", "verbenacross.console.application", command]
            + [str(argument) for argument in arguments]
            + options,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, command: str, *arguments: Any) -> CompletedCommand:
        return finish(self.start(command, *arguments))


def finish(process: subprocess.Popen[str]) -> CompletedCommand:
    stdout, stderr = process.communicate(timeout=TIMEOUT_S)
    return CompletedCommand(process.returncode, stdout, stderr)
