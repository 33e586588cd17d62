"""Errors of the platform adapters."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class StoreError(VerbenacrossError):
    """The store refused a call or answered with something unusable."""


class StoreUnavailableError(StoreError):
    """The store could not be reached or its answer was lost.

    A write that raises this may have taken effect.
    """


class HistoryLostError(StoreError):
    """The store no longer has the changes after the revision that was asked for."""


class StoreConflictError(StoreError):
    """A compare-and-swap found another revision.

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
    """The lease has lapsed or was never granted."""


class InstanceListError(VerbenacrossError):
    """The instance list could not be read."""
