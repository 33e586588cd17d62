"""Errors on connections to callers and upstreams."""

from __future__ import annotations

import aiohttp

from ..exceptions import VerbenacrossError


class TransportError(VerbenacrossError):
    """Base of the errors on connections."""


class ConnectionBrokenError(TransportError, aiohttp.ClientError):
    """A connection to an upstream broke after it was assigned to a request."""


class AssignmentWithdrawnError(TransportError, aiohttp.ClientError):
    """A request may no longer be sent to the upstream that it was assigned to."""


class UnusableAnswerError(TransportError):
    """An upstream's response must not reach the caller; its connection is closed."""


class StreamLimitError(TransportError):
    """Too many responses were streamed until the deadline of a request."""


class SlowCallerError(TransportError):
    """The caller did not take a streamed response in time."""


class RequestTargetError(TransportError):
    """The target of a caller's request cannot be passed on."""


class CallerBodyError(TransportError):
    """The caller's request body is malformed or ended early."""


class CallerBodyTooLargeError(CallerBodyError):
    """The caller's request body exceeds the limit."""
