"""What one attempt at an upstream showed."""

from __future__ import annotations

from dataclasses import dataclass

from .load_report import LoadReport


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream gave a whole answer that is no server error."""

    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The upstream failed: an error of its own, a broken connection or silence."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream stated that it did not run the request."""

    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request left."""

    reason: str


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The attempt was given up, which says nothing of the upstream."""


Outcome = Answered | Failed | NotRun | Unreachable | Abandoned
