"""Errors of the inner protocol."""

from ..exceptions import VerbenacrossError


class ProtocolError(VerbenacrossError):
    """A message is malformed, oversized or out of order; its link must be closed."""
