"""Messages between a publisher and its subscribers."""

from __future__ import annotations

from typing import NamedTuple

from ..infrastructure.key_value_store import StoredValue


class Subscribe(NamedTuple):
    """Subscribes to all changes after a store revision."""

    instance: str
    revision: int


class Update(NamedTuple):
    """Records as of a store revision; without records, a heartbeat.

    ``is_complete`` means that keys missing from ``records`` do not exist. ``is_fresh``
    means that the store has answered the sender recently.
    """

    revision: int
    is_complete: bool
    is_fresh: bool
    records: tuple[StoredValue, ...]


Message = Subscribe | Update
