"""Errors between an instance and its subscribers."""

from __future__ import annotations

from ..exceptions import VerbenacrossError


class FeedError(VerbenacrossError):
    """A message of a peer cannot be used."""
