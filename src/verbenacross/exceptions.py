"""Base class of the exception hierarchy."""


class VerbenacrossError(Exception):
    """Base class of all exceptions that this package defines."""
