"""Errors that end a request with a problem response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from .refusal import Refusal


class RequestProblemError(VerbenacrossError):
    """The request ends without an upstream's response; carries the problem to send."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.title)
        self.refusal = refusal
