"""Command-line interface for operators."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass

import cappa

from .. import __version__
from .command import Command
from .commands.apply import ApplyCommand
from .commands.diff import DiffCommand
from .commands.list import ListCommand
from .commands.retire import RetireCommand
from .commands.show import ShowCommand
from .commands.status import StatusCommand
from .commands.story import StoryCommand
from .commands.validate import ValidateCommand
from .exceptions import CommandError
from .help_output import build_output

EXIT_INTERRUPTED = 130


@cappa.command(name="verbenacross")
@dataclass
class Application:
    """Manage verbenacross through versioned policy records.

    Every command supports --json and --help. The exit codes are documented in
    docs/operators/policies.md.
    """

    command: cappa.Subcommands[
        ValidateCommand
        | ApplyCommand
        | ListCommand
        | ShowCommand
        | DiffCommand
        | RetireCommand
        | StatusCommand
        | StoryCommand
    ]


def run_command(command: Command) -> int:
    """Runs a command, prints its result and returns the exit code."""
    try:
        result = asyncio.run(command.run())
    except CommandError as error:
        result = error.result
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED
    result.print(command.as_json)
    return int(result.code)


def main() -> None:
    """Parses the command line, runs the command and exits with its exit code."""
    arguments = cappa.parse(Application, version=__version__, output=build_output())
    sys.exit(run_command(arguments.command))


if __name__ == "__main__":
    main()
