"""Checks what a connection has received and the process has not read yet."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import trsock


def has_unread_input(sock: trsock.TransportSocket) -> bool:
    """Returns whether reading would yield bytes, or the end of the connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
