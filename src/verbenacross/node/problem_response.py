"""Problem responses (RFC 9457) that the process itself sends to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping


def build_problem_response(
    status: int, problem: str, request_id: str, retry_after_s: float | None = None
) -> web.Response:
    """Builds a response that does not come from an upstream.

    Status 429 and 503 guarantee that the request did not run and never will; 502 and
    504 guarantee nothing.
    """
    headers: Mapping[str, str] = {}
    if retry_after_s is not None:
        headers = {"Retry-After": f"{retry_after_s:.3f}"}
    body = {"status": status, "problem": problem, "request_id": request_id}
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
