"""Runs the node process once its listen socket is open."""

from __future__ import annotations

import asyncio
import gc
import sys
from typing import TYPE_CHECKING

from ..documents.exceptions import SettingsError
from ..node.node import Node
from ..node.settings import NodeSettings
from ..observability.logs import configure_stdout_logging
from .node_application import EXIT_SETTINGS

if TYPE_CHECKING:
    import socket


def run_node(path: str, listener: socket.socket | None) -> int:
    """Runs a node until it is stopped; returns the exit code.

    ``listener`` is a socket that callers connect to already, if there is one.
    """
    try:
        settings = NodeSettings.from_file(path)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    configure_stdout_logging(settings.log_level, settings.log_lines_per_second)
    # Objects created so far live as long as the process; excluding them from garbage
    # collection shortens each run of the collector.
    gc.freeze()
    gc.enable()
    asyncio.run(Node.run_from_settings(settings, path, listener))
    return 0
