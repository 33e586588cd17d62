"""Problem details (RFC 9457) that tell whether the request ran."""

from __future__ import annotations

import json
from enum import Enum
from typing import NamedTuple

from aiohttp import web

from ..infrastructure.upstream_signals import EXECUTION_HEADER
from .exceptions import RequestProblemError

PROBLEM_TYPE_PREFIX = "urn:verbenacross:problem:"


class Execution(Enum):
    """Whether an upstream ran the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ProblemDetails(NamedTuple):
    """Problem details for a request that gets no response from an upstream.

    ``problem`` is the last part of the problem type, ``execution`` tells whether the
    request ran, and ``retry_after_s`` is sent as ``Retry-After`` if set.
    """

    status: int
    problem: str
    title: str
    execution: Execution
    detail: str = ""
    retry_after_s: int | None = None

    def build_response(self, request_id: str) -> web.Response:
        """Builds the response to the caller."""
        body = {
            "type": PROBLEM_TYPE_PREFIX + self.problem,
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "execution": self.execution.value,
            "request_id": request_id,
        }
        headers = {EXECUTION_HEADER: self.execution.value.replace("_", "-")}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        return web.Response(
            status=self.status,
            body=json.dumps(body).encode(),
            content_type="application/problem+json",
            headers=headers,
        )


def build_not_run_error(
    status: int, problem: str, title: str, retry_after_s: int | None = None
) -> RequestProblemError:
    """Builds the error for a request that is refused before it is sent upstream."""
    details = ProblemDetails(
        status, problem, title, Execution.NOT_RUN, retry_after_s=retry_after_s
    )
    return RequestProblemError(details)
