"""Validation of listen addresses."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

from .typed_document import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from ..documents.address import Address


def find_listen_conflicts(
    fields: Mapping[str, Any], names: Sequence[str]
) -> Iterator[Conflict]:
    """Yields a conflict for each listen address that overlaps an earlier field's."""
    earlier: list[tuple[str, Address]] = []
    for name in names:
        address = fields.get(name)
        if address is None:
            continue
        for other_name, other in earlier:
            if overlaps(address, other):
                message = f"{address} clashes with {other_name} ({other})"
                yield Conflict(f"$.{name}", message)
        earlier.append((name, address))


def overlaps(first: Address, second: Address) -> bool:
    """Returns whether listening on both addresses at once is impossible."""
    if first.port != second.port or first.port == 0:
        return False
    hosts = [ipaddress.ip_address(address.host) for address in (first, second)]
    if hosts[0].version != hosts[1].version:
        return False
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def is_wildcard(address: Address) -> bool:
    """Returns whether the address is the unspecified one, for all interfaces."""
    return ipaddress.ip_address(address.host).is_unspecified


def is_loopback(address: Address) -> bool:
    """Returns whether the address is reachable from the same host only."""
    return ipaddress.ip_address(address.host).is_loopback
