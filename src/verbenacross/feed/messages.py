"""Messages between an instance and its subscribers."""

from __future__ import annotations

from typing import NamedTuple

from ..infrastructure.key_value_store import StoredValue


class Subscribe(NamedTuple):
    """Asks for all changes after a revision of the store."""

    instance: str
    revision: int


class Update(NamedTuple):
    """Records as of a revision of the store.

    ``is_complete`` tells that keys that are not in it do not exist. ``is_fresh`` tells
    that the sender has just been in touch with the store. Without records it is a
    heartbeat.
    """

    revision: int
    is_complete: bool
    is_fresh: bool
    records: tuple[StoredValue, ...]


Message = Subscribe | Update
