"""Messages between a publisher and its subscribers."""

from __future__ import annotations

from typing import NamedTuple

from ..infrastructure.key_value_store import StoredValue, StorePosition


class Subscribe(NamedTuple):
    """Subscribes to all changes after a position of the store.

    A standby subscriber receives ``Status`` messages only: it has another source, and
    subscribes again if that one fails or falls behind.
    """

    instance: str
    era: int
    revision: int
    is_standby: bool = False

    @property
    def position(self) -> StorePosition:
        """The position up to which the subscriber has the records."""
        return StorePosition(self.era, self.revision)


class Update(NamedTuple):
    """Records as of a position of the store; without records, a heartbeat.

    ``is_complete`` means that keys missing from ``records`` do not exist. ``is_fresh``
    means that the store has answered the sender recently.
    """

    era: int
    revision: int
    is_complete: bool
    is_fresh: bool
    records: tuple[StoredValue, ...]

    @property
    def position(self) -> StorePosition:
        """The position that the sender has reached."""
        return StorePosition(self.era, self.revision)


class Status(NamedTuple):
    """The store position that the sender has reached, and whether it is fresh."""

    era: int
    revision: int
    is_fresh: bool

    @property
    def position(self) -> StorePosition:
        """The position that the sender has reached."""
        return StorePosition(self.era, self.revision)


Message = Subscribe | Update | Status
