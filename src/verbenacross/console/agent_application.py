"""Command-line interface of the agent process."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from .. import __version__
from ..agent import Agent
from ..settings import AgentSettings
from .process_runner import run_process


@cappa.command(name="verbenacross-agent")
@dataclass
class AgentApplication:
    """Run the agent process of an instance."""

    settings: Annotated[str, cappa.Arg(help="JSON settings file.")]


def main() -> None:
    """Parses the command line and runs the agent process."""
    arguments = cappa.parse(AgentApplication, version=__version__)
    sys.exit(run_process(arguments.settings, AgentSettings, Agent.run_from_config))


if __name__ == "__main__":
    main()
