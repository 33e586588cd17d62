"""Bounds on what an entry sends to upstreams and on what waits in the entry."""

from .permit_client import PermitClient
from .service_gate import ServiceGate

__all__ = ["PermitClient", "ServiceGate"]
