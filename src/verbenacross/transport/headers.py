"""Headers as HTTP requires an intermediary to forward them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict, istr

if TYPE_CHECKING:
    from aiohttp import web
    from multidict import CIMultiDictProxy

VIA_NAME = "verbenacross"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "Request-Timeout-Ms"
ATTEMPT_HEADER = "Request-Attempt"
SERVICE_HEADER = "Verbenacross-Service"
VERSION_HEADER = "Verbenacross-Policy-Version"
CALLER_HEADER = "Verbenacross-Caller"
IDEMPOTENCY_HEADER = "Idempotency-Key"

HOP_BY_HOP_HEADERS = tuple(
    istr(name)
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)

# ``Connection`` must not remove headers that delimit or route the message (RFC 9110,
# section 7.6.1, forbids naming them).
PROTECTED_HEADERS = frozenset(
    {
        "content-length",
        "host",
        ATTEMPT_HEADER.lower(),
        IDEMPOTENCY_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
        TIMEOUT_HEADER.lower(),
    }
)


def copy_end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Returns a copy without hop-by-hop headers and those named by ``Connection``.

    Raises ``UnicodeEncodeError`` if a value cannot be encoded.
    """
    copied = CIMultiDict(headers)
    if not "".join(copied.values()).isascii():
        for value in copied.values():
            value.encode()
    for named in copied.getall("Connection", ()):
        for token in named.split(","):
            name = token.strip()
            if name.lower() not in PROTECTED_HEADERS:
                copied.popall(name, None)
    for name in HOP_BY_HOP_HEADERS:
        if name in copied:
            del copied[name]
    return copied


def append_via(headers: CIMultiDict[str]) -> None:
    """Appends this intermediary to ``Via``."""
    previous = headers.popall("Via", None)
    own = f"1.1 {VIA_NAME}"
    headers["Via"] = ", ".join([*previous, own]) if previous else own


def append_forwarded_headers(
    headers: CIMultiDict[str], request: web.BaseRequest
) -> None:
    """Appends the caller's address to ``X-Forwarded-For``.

    Sets ``X-Forwarded-Proto`` and ``X-Forwarded-Host`` if they are absent.
    """
    previous = headers.popall("X-Forwarded-For", None)
    remote = request.remote or "unknown"
    headers["X-Forwarded-For"] = ", ".join([*previous, remote]) if previous else remote
    headers.setdefault("X-Forwarded-Proto", request.scheme)
    if request.host:
        headers.setdefault("X-Forwarded-Host", request.host)
