"""Command line of the node program."""

# What libraries read when they are imported is set between the imports.
# ruff: noqa: E402

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import logbook

from ..documents.exceptions import SettingsError

# The HTTP library loads the system's certificates when it is imported, which takes a
# third of the start-up time and some megabytes. The node program speaks no TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

# A hang-up while the program is still loading would end it. Settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..node.node import Node
from ..node.settings import NodeSettings
from ..observability.logs import configure_stdout_logging
from ..platform.boot import SETTINGS_VARIABLE

EXIT_SETTINGS = 2
USAGE = (
    f"usage: verbenacross-node [SETTINGS]   (default: the file in {SETTINGS_VARIABLE})"
)

logger = logbook.Logger("verbenacross.node")


def main() -> None:
    """Runs the node program."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Runs a node on the settings named by an argument or the environment.

    Returns the exit code. The command line is read by hand: a parser would be a third
    of the start-up time, which callers wait for after a restart.
    """
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, "")
    if len(arguments) > 1 or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return EXIT_SETTINGS
    try:
        settings = NodeSettings.from_file(path)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    configure_stdout_logging(settings.log_level, settings.log_lines_per_second)
    # Objects made so far live as long as the process.
    gc.freeze()
    asyncio.run(Node.run_from_settings(settings, path))
    return 0


if __name__ == "__main__":
    main()
