"""Root of the exception tree."""


class VerbenacrossError(Exception):
    """Base of every error that this package raises on purpose."""
