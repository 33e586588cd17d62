"""Errors that end a request with a problem response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from .problem_details import ProblemDetails


class RequestProblemError(VerbenacrossError):
    """The request ends without an upstream's response; carries the problem to send."""

    def __init__(self, details: ProblemDetails) -> None:
        super().__init__(details.title)
        self.details = details
