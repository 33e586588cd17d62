"""Errors of the quota links."""

from __future__ import annotations


class QuotaError(Exception):
    """A message of a quota link is malformed or unexpected."""
