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
    """Print the log lines about a request, upstream or version in order of time.

    Searches JSON log files of any number of instances. Exit code 5 if no line matches.
    """

    request: Annotated[str, cappa.Arg(long=True, help="Request ID to search for.")] = ""
    upstream: Annotated[
        str, cappa.Arg(long=True, help="Upstream ID to search for.")
    ] = ""
    version: Annotated[
        int | None, cappa.Arg(long=True, help="Configuration version to search for.")
    ] = None
    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Log files; - for standard input.")
    ] = field(default_factory=lambda: [STANDARD_INPUT])

    async def run(self) -> CommandResult:
        """Searches all files and returns the matching lines."""
        return self._search()

    def _search(self) -> CommandResult:
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
