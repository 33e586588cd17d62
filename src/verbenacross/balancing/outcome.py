"""Outcomes of one attempt at an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from .load_report import LoadReport


@dataclass(frozen=True, slots=True)
class Succeeded:
    """The upstream sent a complete response that is not a server error."""

    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The attempt failed: server error, broken connection or timeout."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream rejected the request and stated that it did not run it.

    ``is_misdirected`` means that another upstream did so.
    """

    report: LoadReport | None
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The attempt failed before any byte of the request was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The attempt ended without evidence about the health of the upstream.

    ``is_unsent`` states that no byte of the request was sent.
    """

    is_unsent: bool = False


Outcome = Succeeded | Failed | NotRun | Unreachable | Abandoned
