"""Limits how many bytes a connection reads at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# The event loop reads up to 256 KiB by default, which a protocol gets even if it has
# just paused reading.
MAX_READ_BYTES = 32_768


def limit_read_size(transport: asyncio.BaseTransport) -> None:
    """Limits what the event loop reads from a connection in one call."""
    # An attribute of the transports of asyncio's selector event loops.
    transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
