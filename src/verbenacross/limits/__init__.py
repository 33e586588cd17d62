"""Limits on requests to upstreams, on queued requests and on retries."""

from .admission_controller import AdmissionController
from .permit_client import PermitClient
from .rate_limiter import RateLimiter
from .retry_budget import RetryBudget

__all__ = ["AdmissionController", "PermitClient", "RateLimiter", "RetryBudget"]
