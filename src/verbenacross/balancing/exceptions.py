"""Why a request gets no upstream."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class BalancingError(VerbenacrossError):
    """Base of the reasons why a request gets no upstream.

    ``retry_after_s`` is when there is likely room again, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class NoUpstreamError(BalancingError):
    """The service has no upstream that takes work."""


class DeadlineUnreachableError(BalancingError):
    """No upstream can answer before the request's deadline."""
