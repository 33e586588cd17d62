"""Errors of the feed between instances."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class FeedError(VerbenacrossError):
    """A message or member record is malformed or unexpected."""
