"""Errors of the entry process."""

from ..exceptions import VerbenacrossError


class EntryError(VerbenacrossError):
    """Base of the errors of the entry process."""
