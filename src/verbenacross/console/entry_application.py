"""Command-line interface of the entry process."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from .. import __version__
from ..entry import Entry
from ..settings import EntrySettings
from .process_runner import run_process


@cappa.command(name="verbenacross-entry")
@dataclass
class EntryApplication:
    """Run the entry process of an instance."""

    settings: Annotated[str, cappa.Arg(help="JSON settings file.")]


def main() -> None:
    """Parses the command line and runs the entry process."""
    arguments = cappa.parse(EntryApplication, version=__version__)
    sys.exit(run_process(arguments.settings, EntrySettings, Entry.run_from_config))


if __name__ == "__main__":
    main()
