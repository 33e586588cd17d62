"""Errors of policy records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..settings import Finding


class PolicyError(VerbenacrossError):
    """A policy record is invalid; carries every finding."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
