"""Routing: chooses an upstream for each attempt of a request."""

from .attempt_outcome import AttemptOutcome
from .request_context import RequestContext
from .service_router import ServiceRouter
from .upstream_observations import NoObservations, UpstreamObservations
from .upstream_state import UpstreamState

__all__ = [
    "AttemptOutcome",
    "NoObservations",
    "RequestContext",
    "ServiceRouter",
    "UpstreamObservations",
    "UpstreamState",
]
