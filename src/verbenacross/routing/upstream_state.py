"""What an entry knows of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..platform.instance_list import Instance


class UpstreamState:
    """What an entry knows of one upstream; updated on each request."""

    __slots__ = ("in_flight", "instance", "reported_in_flight", "url_prefix")

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.url_prefix = f"http://{instance.address}"
        self.in_flight = 0
        self.reported_in_flight = 0
