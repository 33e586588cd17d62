"""The ids of all upstreams but one."""

from __future__ import annotations

from collections.abc import Collection, Iterator


class EveryUpstreamBut(Collection[str]):
    """Excludes every upstream but one from a choice, without listing them."""

    def __init__(self, identifier: str) -> None:
        self._identifier = identifier

    def __contains__(self, identifier: object) -> bool:
        return identifier != self._identifier

    def __iter__(self) -> Iterator[str]:
        raise TypeError("the excluded upstreams cannot be listed")

    def __len__(self) -> int:
        raise TypeError("the excluded upstreams cannot be counted")
