"""Counts what a connection has sent and its peer has not received yet."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import trsock

COUNT = struct.Struct("i")


def count_unacknowledged_bytes(sock: trsock.TransportSocket) -> int:
    """Returns how many bytes the kernel holds until the peer acknowledges them.

    0 if the platform does not tell.
    """
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError:
        return 0
    return int(COUNT.unpack(count)[0])
