"""Reads what decisions need from a caller's request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..policy.policy import RequestClass
from ..refusals import refuse_not_run
from ..routing import RequestContext
from .headers import ATTEMPT_HEADER, TIMEOUT_HEADER, VERSION_HEADER

if TYPE_CHECKING:
    from aiohttp import web

    from ..policy import Policy
    from ..policy.policy_selector import SelectedPolicy

MS_PER_S = 1_000
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
DEFAULT_CLASS = RequestClass("default")


def build_context(
    request: web.BaseRequest, request_id: str, selected: SelectedPolicy
) -> RequestContext:
    """Returns what decisions need to know; raises ``RefusedError`` on bad input."""
    policy = selected.policy
    request_class = classify_request(request.method, request.path, policy)
    return RequestContext(
        request_id=request_id,
        service=policy.service,
        policy=policy,
        revision=selected.revision,
        request_class=request_class,
        idempotent=is_idempotent(request.method, request_class),
        deadline=time.monotonic() + read_timeout_ms(request, policy) / MS_PER_S,
        attempt=read_number(request, ATTEMPT_HEADER, "bad-attempt") or 1,
    )


def classify_request(method: str, path: str, policy: Policy) -> RequestClass:
    """Returns the first class of the policy that matches, or the default class."""
    for request_class in policy.classes:
        if request_class.methods and method not in request_class.methods:
            continue
        if path.startswith(request_class.path_prefix):
            return request_class
    return DEFAULT_CLASS


def is_idempotent(method: str, request_class: RequestClass) -> bool:
    """Returns whether the work may run more than once."""
    if request_class.idempotent is not None:
        return request_class.idempotent
    return method not in NON_IDEMPOTENT_METHODS


def read_service(path: str) -> str:
    """Returns the first segment of a path."""
    return path.lstrip("/").partition("/")[0]


def read_version(request: web.BaseRequest) -> int | None:
    """Returns the policy version that the caller asked for, if any."""
    return read_number(request, VERSION_HEADER, "bad-version")


def read_timeout_ms(request: web.BaseRequest, policy: Policy) -> int:
    """Returns the milliseconds that are left for the request."""
    asked_ms = read_number(request, TIMEOUT_HEADER, "bad-deadline")
    if asked_ms is None:
        return policy.limits.default_timeout_ms
    return min(asked_ms, policy.limits.max_timeout_ms)


def read_number(request: web.BaseRequest, header: str, problem: str) -> int | None:
    """Returns a positive number in a header, or ``None`` when the header is absent."""
    text = request.headers.get(header)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise refuse_not_run(400, problem, f"{header} is not a positive number")
    return int(text)
