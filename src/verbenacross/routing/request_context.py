"""Properties of a request that routing and admission decisions depend on."""

from __future__ import annotations

import time
from typing import NamedTuple

from ..policy.policy import Policy, RequestClass

MS_PER_S = 1_000


class RequestContext(NamedTuple):
    """Properties of a request that routing and admission decisions depend on.

    ``deadline`` is on the monotonic clock, in seconds. ``caller_attempt`` is the value
    of the caller's ``Request-Attempt`` header: above 1, another layer already retries.
    """

    request_id: str
    service: str
    policy: Policy
    policy_revision: int
    request_class: RequestClass
    idempotent: bool
    deadline: float
    caller_attempt: int = 1

    def get_remaining_ms(self) -> float:
        """Returns the milliseconds until the deadline, negative after it."""
        return (self.deadline - time.monotonic()) * MS_PER_S
