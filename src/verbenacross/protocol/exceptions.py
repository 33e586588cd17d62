"""Errors of the internal protocol."""

from ..exceptions import VerbenacrossError


class ProtocolError(VerbenacrossError):
    """A message is malformed, oversized or unexpected; its link must be closed."""
