"""Errors of connections to callers and upstreams."""

from __future__ import annotations

import aiohttp

from ..exceptions import VerbenacrossError


class TransportError(VerbenacrossError):
    """Base of the errors of connections."""


class ConnectionBrokenError(TransportError, aiohttp.ClientError):
    """A connection to an upstream broke after it was given to a request."""


class UnusableAnswerError(TransportError):
    """An upstream's answer must not reach the caller; its connection is closed."""


class CallerBodyError(TransportError):
    """The caller's request body is malformed or ended early."""
