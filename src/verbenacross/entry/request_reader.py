"""Validates the requests of callers and reads their parameters."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11, hdrs

from ..policy.policy import RequestClass
from ..refusals import build_not_run_error
from ..routing import RequestContext
from ..transport.exceptions import RequestTargetError
from ..transport.headers import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    VERSION_HEADER,
)
from ..transport.request_target import RequestTarget

if TYPE_CHECKING:
    from aiohttp import web

    from ..policy import Policy
    from ..policy.policy_selector import SelectedPolicy
    from ..transport.drain import Drain

MS_PER_S = 1_000
MAX_DIGITS = 15
MAX_ID_CHARACTERS = 256
REQUEST_ID_BITS = 128
CONTINUE = "100-continue"
# Retry-After while the process stops: a retry reaches another entry.
OTHER_ENTRY_RETRY_AFTER_S = 1
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
DEFAULT_CLASS = RequestClass("default")


def build_context(
    request: web.BaseRequest,
    request_id: str,
    selected: SelectedPolicy,
    drain: Drain,
) -> RequestContext:
    """Builds the context for routing and admission from a request.

    While draining, the deadline is at most the end of the process. Raises
    ``RequestProblemError`` if a header is malformed, or if the process stops too early
    for the request.
    """
    policy = selected.policy
    request_class = classify_request(request.method, request.path, policy)
    deadline = time.monotonic() + read_timeout_ms(request, policy) / MS_PER_S
    if drain.is_refusing(deadline):
        title = "The process may stop before the request completes"
        raise build_not_run_error(503, "stopping", title, OTHER_ENTRY_RETRY_AFTER_S)
    return RequestContext(
        request_id=request_id,
        service=policy.service,
        policy=policy,
        policy_revision=selected.revision,
        request_class=request_class,
        idempotent=is_idempotent(request.method, request_class),
        deadline=drain.limit_deadline(deadline),
        caller_attempt=read_number(request, ATTEMPT_HEADER, "bad-attempt") or 1,
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
    """Returns whether the request may run more than once."""
    if request_class.idempotent is not None:
        return request_class.idempotent
    return method not in NON_IDEMPOTENT_METHODS


def read_service(path: str) -> str:
    """Returns the service that a path names by its first segment."""
    return path.lstrip("/").partition("/")[0]


def read_version(request: web.BaseRequest) -> int | None:
    """Returns the policy version that the caller requested, if any."""
    return read_number(request, VERSION_HEADER, "bad-version")


def read_timeout_ms(request: web.BaseRequest, policy: Policy) -> int:
    """Returns the timeout of a request, bounded by the limits of the policy."""
    requested_ms = read_number(request, TIMEOUT_HEADER, "bad-deadline")
    if requested_ms is None:
        return policy.limits.default_timeout_ms
    return min(requested_ms, policy.limits.max_timeout_ms)


def read_number(request: web.BaseRequest, header: str, problem: str) -> int | None:
    """Returns the positive integer in a header, ``None`` if the header is absent.

    Raises ``RequestProblemError`` with ``problem`` for any other value.
    """
    values = request.headers.getall(header, None)
    if values is None:
        return None
    text = values[0]
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if len(values) > 1 or not digits or int(text) == 0:
        raise build_not_run_error(400, problem, f"{header} is not one positive number")
    return int(text)


def read_request_id(request: web.BaseRequest) -> str:
    """Returns the caller's request id, or a random one if there is none."""
    values = request.headers.getall(REQUEST_ID_HEADER, None)
    if values is None:
        return f"{random.getrandbits(REQUEST_ID_BITS):032x}"
    value = values[0]
    usable = value.isascii() and value.isprintable()
    if len(values) > 1 or not usable or not 0 < len(value) <= MAX_ID_CHARACTERS:
        title = f"{REQUEST_ID_HEADER} must be 1 to {MAX_ID_CHARACTERS} characters"
        raise build_not_run_error(400, "bad-request-id", title)
    return value


def validate_request(request: web.BaseRequest) -> None:
    """Raises ``RequestProblemError`` if a request must not be forwarded."""
    headers = request.headers
    if request.method == hdrs.METH_CONNECT:
        raise build_not_run_error(501, "unsupported-method", "CONNECT is not supported")
    if request.version >= HttpVersion11 and len(headers.getall(hdrs.HOST, ())) != 1:
        raise build_not_run_error(
            400, "bad-host", "Exactly one Host header is required"
        )
    if hdrs.CONTENT_LENGTH in headers and (
        hdrs.TRANSFER_ENCODING in headers
        or len(headers.getall(hdrs.CONTENT_LENGTH)) > 1
    ):
        raise build_not_run_error(400, "conflicting-lengths", "The lengths conflict")
    if headers.get(hdrs.EXPECT, CONTINUE).lower() != CONTINUE:
        raise build_not_run_error(
            417, "unknown-expectation", "Expect must be 100-continue"
        )
    try:
        RequestTarget.from_request(request)
    except RequestTargetError as error:
        raise build_not_run_error(
            400, "bad-target", "The request target is not a path"
        ) from error
    if not "".join(headers.values()).isascii():
        for value in headers.values():
            validate_encoding(value)


def validate_encoding(value: str) -> None:
    """Raises ``RequestProblemError`` if a header value is not UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError as error:
        title = "A header value is neither ASCII nor UTF-8"
        raise build_not_run_error(400, "bad-header", title) from error
