"""Command-line interface of the node process.

Callers wait while the process starts. This module imports only what opening the listen
socket takes, so that their connections are accepted early; the program follows in
``run``.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

from ..platform.boot import SETTINGS_VARIABLE
from ..transport.listening import open_early

EXIT_SETTINGS = 2
USAGE = (
    f"usage: verbenacross-node [SETTINGS]   (default: the file in {SETTINGS_VARIABLE})"
)


def main() -> None:
    """Runs the node process and exits with its exit code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Runs a node with the settings file from the arguments or the environment.

    Returns the exit code. The arguments are parsed by hand: a parser library would take
    a third of the start-up time, for which callers wait after a restart.
    """
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, "")
    if len(arguments) > 1 or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return EXIT_SETTINGS
    prepare_start()
    listener = open_early(path)

    from .node_process import run_node

    return run_node(path, listener)


def prepare_start() -> None:
    """Prepares the process for loading the program."""
    # The HTTP library loads the system's CA certificates on import, which takes a third
    # of the start-up time and several megabytes. The node does not use TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # Almost nothing that the imports allocate is garbage. The collector is enabled
    # again once the process runs.
    gc.disable()
    # SIGHUP reloads the settings, but before the handler is installed its default
    # action would terminate the process. The settings are read after this point anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == "__main__":
    main()
