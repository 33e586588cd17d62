"""Decodes the entries in which servers register themselves."""

from __future__ import annotations

from ..balancing.upstream import Upstream
from ..documents.fields import Document

DRAINING = "draining"
READY = "ready"


def decode_server(identifier: str, data: bytes) -> Upstream:
    """Decodes an upstream; raises ``InvalidDocumentError`` if the entry is invalid."""
    document = Document(f"server {identifier!r}", data)
    root = document.root
    information = root.get_object("info")
    status = root.get_object("status")
    state = status.get_string("state")
    if state not in (READY, DRAINING):
        status.add_finding("state", f"unknown state {state!r}")
    address = root.get_string("address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        root.add_finding("address", f"{address!r} is not HOST:PORT")
    upstream = Upstream(
        id=identifier,
        service=information.get_string("service"),
        address=address,
        failure_domain=information.get_string("zone"),
        slots=information.get_int("max_concurrency", 1),
        draining=state == DRAINING,
        # Remaining time for which the server is slow after its start.
        cold_start_s=status.get_duration("warmup_left", default="0ms"),
        # The server's report counter ``sequence`` restarts when ``born`` changes.
        started_ms=root.get_int("born", 0, default=0),
    )
    document.finish()
    return upstream
