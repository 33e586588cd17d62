"""Requests that callers send ahead of the responses to earlier ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from aiohttp.streams import EMPTY_PAYLOAD

if TYPE_CHECKING:
    from typing import Any

    from aiohttp import web

# Key of a request's event that is set once all earlier responses have been sent.
TURN_KEY = "turn"


class RequestAhead(NamedTuple):
    """A request that is handled before earlier ones on its connection are answered."""

    request: web.BaseRequest
    task: asyncio.Task[web.StreamResponse]
    turn: asyncio.Event

    async def wait_response(self, _: web.BaseRequest) -> web.StreamResponse:
        """Waits for the response; cancelling the caller cancels the request."""
        return await self.task

    def cancel(self) -> None:
        """Cancels the request, whose connection has been closed."""
        self.task.cancel()


async def wait_turn(request: web.BaseRequest) -> None:
    """Waits until all earlier responses on the connection have been sent."""
    turn: asyncio.Event | None = request.get(TURN_KEY)
    if turn is not None:
        await turn.wait()


def retrieve_exception(task: asyncio.Task[web.StreamResponse]) -> None:
    """Marks the exception of a task as handled: its connection may be closed."""
    if not task.cancelled():
        task.exception()


def keeps_connection_usable(message: Any, payload: Any) -> bool:
    """Returns whether requests behind a parsed one may be handled before its answer.

    A malformed request, one with a body and one that asks for the connection to be
    closed may end the connection, and those behind it would have run in vain.
    """
    is_malformed = not hasattr(message, "should_close")
    return (
        not is_malformed
        and payload is EMPTY_PAYLOAD
        and not message.should_close
        and not message.upgrade
    )
