"""Bounds on what an entry sends to upstreams and on what waits in the entry."""

from .permit_client import PermitClient
from .rate_limit import RateLimit
from .retry_budget import RetryBudget
from .service_gate import ServiceGate

__all__ = ["PermitClient", "RateLimit", "RetryBudget", "ServiceGate"]
