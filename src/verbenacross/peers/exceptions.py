"""Errors of the overlay network between agents."""

from ..exceptions import VerbenacrossError


class PeerUnreachableError(VerbenacrossError):
    """There is no open link to the member and none could be opened in time."""
