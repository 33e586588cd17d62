"""Results of one attempt at an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp
    from multidict import CIMultiDict


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of an upstream that ran the request."""

    status: int
    reason: str
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class OpenAnswer:
    """An answer that is too large to be held; all but ``start`` is still to come."""

    answer: aiohttp.ClientResponse
    headers: CIMultiDict[str]
    start: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream stated that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Lost:
    """No usable answer; ``sent`` tells whether the request may have run.

    ``is_stale`` tells that only a kept connection was unusable, not the upstream.
    """

    reason: str
    sent: bool
    is_stale: bool = False
    timed_out: bool = False


AttemptResult = WholeAnswer | OpenAnswer | Rejected | Lost
