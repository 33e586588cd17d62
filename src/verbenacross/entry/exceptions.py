"""Errors of the entry process."""

from __future__ import annotations

import aiohttp

from ..exceptions import VerbenacrossError


class EntryError(VerbenacrossError):
    """Base of the errors of the entry process."""


class ConnectionBrokenError(EntryError, aiohttp.ClientError):
    """A connection to an upstream broke after it was given to a request."""


class UnusableAnswerError(EntryError):
    """An upstream's answer must not reach the caller; its connection is closed."""


class CallerBodyError(EntryError):
    """The caller's request body is malformed or ended early."""
