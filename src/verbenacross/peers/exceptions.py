"""Errors of the overlay between agents."""

from ..exceptions import VerbenacrossError


class PeerUnreachableError(VerbenacrossError):
    """No link to the member could be opened in time."""
