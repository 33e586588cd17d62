"""Chooses an upstream for a request."""

from .attempt_outcome import AttemptOutcome
from .request_context import RequestContext
from .service_router import ServiceRouter
from .upstream_knowledge import NoKnowledge, UpstreamKnowledge
from .upstream_state import UpstreamState

__all__ = [
    "AttemptOutcome",
    "NoKnowledge",
    "RequestContext",
    "ServiceRouter",
    "UpstreamKnowledge",
    "UpstreamState",
]
