"""Bounds on what an entry sends to upstreams and on what waits in the entry."""

from .admission_controller import AdmissionController
from .permit_client import PermitClient
from .rate_limit import RateLimit
from .retry_budget import RetryBudget

__all__ = ["PermitClient", "RateLimit", "RetryBudget", "AdmissionController"]
