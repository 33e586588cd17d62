"""Decodes the entries in which servers register themselves."""

from __future__ import annotations

from ..balancing.upstream import Upstream
from ..documents.fields import Document

DRAINING = "draining"
READY = "ready"
# Larger figures are mistakes of whoever wrote the entry. Sums of them must fit into a
# floating-point number.
MAX_SLOTS = 1_000_000
MAX_COLD_START_S = 86_400.0
MAX_TIME_MS = 1 << 53
MAX_SEQUENCE = 1 << 53


def decode_server(identifier: str, data: bytes) -> Upstream:
    """Decodes an upstream; raises ``InvalidDocumentError`` if the entry is invalid.

    Every field is required: an entry that lacks one was not written by the server, so
    it cannot tell a restart of the server, nor the end of its draining.
    """
    document = Document(f"server {identifier!r}", data)
    root = document.root
    information = root.get_object("info")
    status = root.get_object("status")
    state = status.get_string("state")
    if state not in (READY, DRAINING):
        status.add_finding("state", f"unknown state {state!r}")
    address = root.get_address("address")
    if address.port == 0:
        root.add_finding("address", "must have a port of at least 1")
    # Not used, but the entries of servers have it.
    information.get_string("version")
    upstream = Upstream(
        id=identifier,
        service=information.get_string("service"),
        address=str(address),
        failure_domain=information.get_string("zone"),
        slots=information.get_int("max_concurrency", 1, maximum=MAX_SLOTS),
        draining=state == DRAINING,
        # Remaining time for which the server is slow after its start.
        cold_start_s=status.get_duration("warmup_left", maximum_s=MAX_COLD_START_S),
        started_ms=root.get_int("born", 0, maximum=MAX_TIME_MS),
        # Restarts when ``born`` changes.
        sequence=status.get_int("sequence", 0, maximum=MAX_SEQUENCE),
    )
    document.finish()
    return upstream
