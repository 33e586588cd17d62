"""An upstream as it describes itself."""

from __future__ import annotations

from typing import NamedTuple


class Upstream(NamedTuple):
    """An upstream as it describes itself.

    ``cold_s`` is how much longer it stays slow after its start, ``started_ms`` the Unix
    time of that start (0: unknown); a later one under the same id knows nothing of
    before.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_s: float
    started_ms: int
