"""Errors of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .finding import Finding


class SettingsError(VerbenacrossError):
    """A settings file is unreadable or invalid; carries every finding."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
