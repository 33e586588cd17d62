"""Errors for requests that are refused an upstream."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class BalancingError(VerbenacrossError):
    """Base of the errors for requests that are refused an upstream.

    ``retry_after_s`` is the time until capacity is likely to be available, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class NoUpstreamError(BalancingError):
    """The service has no available upstream."""


class DeadlineUnreachableError(BalancingError):
    """No upstream can complete the request before its deadline."""
