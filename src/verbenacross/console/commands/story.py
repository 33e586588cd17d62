"""The command ``story``."""

from __future__ import annotations

import pathlib
import sys
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from ..command import Command
from ..command_result import CommandResult
from ..exit_code import ExitCode

STANDARD_INPUT = "-"


@cappa.command(name="story")
@dataclass(kw_only=True)
class StoryCommand(Command):
    """Print the log lines of one request, upstream or version, in order of time.

    Reads the JSON lines that processes write, of any number of instances. Exit code 5
    if no line matches.
    """

    request: Annotated[str, cappa.Arg(long=True, help="Id of a request.")] = ""
    upstream: Annotated[str, cappa.Arg(long=True, help="Id of an upstream.")] = ""
    version: Annotated[
        int | None, cappa.Arg(long=True, help="Version of a configuration.")
    ] = None
    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Log files; - for standard input.")
    ] = field(default_factory=lambda: [STANDARD_INPUT])

    async def run(self) -> CommandResult:
        """Collects the lines of all files."""
        return self._collect()

    def _collect(self) -> CommandResult:
        from ...observability.log_search import LogQuery, find_lines

        query = LogQuery(self.request, self.upstream, self.version)
        found = []
        for name in self.files or [STANDARD_INPUT]:
            if name == STANDARD_INPUT:
                found += find_lines(sys.stdin, "-", query)
                continue
            path = pathlib.Path(name)
            try:
                with path.open(errors="replace") as file:
                    found += find_lines(file, path.stem, query)
            except OSError as error:
                text = f"{name}: {error.strerror}"
                return CommandResult(ExitCode.INVALID, text, {"findings": [text]})
        found.sort(key=lambda line: line.time)
        code = ExitCode.OK if found else ExitCode.NOT_FOUND
        text = "\n".join(line.format() for line in found) or "no line matches"
        lines = [{"instance": line.instance, **line.fields} for line in found]
        return CommandResult(code, text, {"lines": lines})
