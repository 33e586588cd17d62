"""What an upstream states about itself in a response."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamNotice(NamedTuple):
    """What an upstream states about itself in a response.

    ``is_leaving`` means that it wants no new requests any more. ``busy_for_s`` is the
    time in seconds for which it wants no requests from this instance.
    """

    is_leaving: bool = False
    busy_for_s: float = 0.0


NO_NOTICE = UpstreamNotice()
