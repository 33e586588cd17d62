"""Errors of the key-value store and the instance list."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class StoreError(VerbenacrossError):
    """The store rejected a call or sent an invalid response."""


class StoreUnavailableError(StoreError):
    """The store could not be reached or its response was lost.

    A write that raises this may have taken effect.
    """


class ResponseTooLargeError(StoreUnavailableError):
    """The store's response is larger than the process reads."""


class HistoryLostError(StoreError):
    """The changes after the requested revision cannot be read any more.

    The store no longer holds them, or they are too large; all values must be read.
    """


class StoreConflictError(StoreError):
    """A compare-and-swap failed because the key is at another revision.

    ``expected`` and ``current`` are store revisions; 0 means that the key is absent.
    """

    def __init__(self, key: str, expected: int, current: int) -> None:
        super().__init__(
            f"key {key!r} is at revision {current}, expected revision {expected}"
        )
        self.key = key
        self.expected = expected
        self.current = current


class LeaseLostError(StoreError):
    """The lease has expired or was never granted."""


class InstanceListError(VerbenacrossError):
    """The instance list could not be read."""
