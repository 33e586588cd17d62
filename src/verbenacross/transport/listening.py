"""Opens the listen socket for callers before the program is loaded."""

from __future__ import annotations

import json
import socket

LISTEN_BACKLOG = 1_024


def open_early(settings_path: str) -> socket.socket | None:
    """Opens the listen socket that a settings file names.

    Connections wait in its backlog until the process accepts them, instead of being
    refused. Returns ``None`` if the file or the address cannot be used: the settings
    are validated, and the reason reported, when the program has been loaded.
    """
    try:
        with open(settings_path, "rb") as file:
            host, _, port = json.load(file)["listen"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
