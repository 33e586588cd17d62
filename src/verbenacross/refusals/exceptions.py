"""Errors of the entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from .refusal import Refusal


class RefusedError(VerbenacrossError):
    """The request is refused; carries what the caller is told."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.title)
        self.refusal = refusal
