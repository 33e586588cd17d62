"""Transport of a caller's connection that is closed without a reset."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

# Time for a caller to close its side of a connection once all has been sent, in
# seconds.
LINGER_S = 1.0
# Time for a caller to take what is left to be sent as its connection closes, in
# seconds.
MAX_LINGER_S = 10.0


class LingeringTransport:
    """Transport that reads on for a while after it has been closed.

    The kernel resets a connection that is closed with unread bytes, or that receives
    bytes afterwards, and discards what is on its way to the caller. A caller that sends
    its next request before it has the last response would lose that response (RFC
    9112, section 9.6). So closing ends the writing side only. The protocol has to
    ignore what arrives from then on, until the caller closes its side or ``LINGER_S``
    after all has been sent. A caller that has not taken all within ``MAX_LINGER_S`` is
    reset. ``handle_close`` is called when this process begins to
    close the connection, not when it is lost.
    """

    __slots__ = (
        "_handle_close",
        "_is_closing",
        "_linger_end",
        "_loop",
        "_timer",
        "_transport",
        "write",
        "writelines",
    )

    def __init__(
        self, transport: asyncio.Transport, handle_close: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._handle_close = handle_close
        self._loop = asyncio.get_running_loop()
        self._is_closing = False
        self._linger_end = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.write = transport.write
        self.writelines = transport.writelines

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Returns whether the transport is closed or being closed."""
        return self._is_closing or self._transport.is_closing()

    def close(self) -> None:
        """Ends the writing side once all has been sent; reads on for a while."""
        if self.is_closing():
            return
        self._begin_close()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.close()
            return
        self._linger_end = self._loop.time() + MAX_LINGER_S
        self._transport.resume_reading()
        self._timer = self._loop.call_later(LINGER_S, self._end_linger)

    def _begin_close(self) -> None:
        if not self.is_closing():
            self._is_closing = True
            self._handle_close()

    def _end_linger(self) -> None:
        is_sending = bool(self._transport.get_write_buffer_size())
        if is_sending and self._loop.time() >= self._linger_end:
            self._transport.abort()
        elif is_sending:
            self._timer = self._loop.call_later(LINGER_S, self._end_linger)
        else:
            self._transport.close()

    def close_now(self) -> None:
        """Closes both sides once all has been sent."""
        self._begin_close()
        self.cancel_timer()
        self._transport.close()

    def abort(self) -> None:
        """Closes both sides at once; what has not been sent is discarded."""
        self._begin_close()
        self.cancel_timer()
        self._transport.abort()

    def cancel_timer(self) -> None:
        """Cancels the timer; for a connection that has been lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
