"""Header rules of an intermediary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

VIA_NAME = "verbenacross"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "Request-Timeout-Ms"
ATTEMPT_HEADER = "Request-Attempt"
SERVICE_HEADER = "Verbenacross-Service"
VERSION_HEADER = "Verbenacross-Policy-Version"
CALLER_HEADER = "Verbenacross-Caller"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def copy_end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Returns the headers without hop-by-hop ones and those ``Connection`` names."""
    dropped = HOP_BY_HOP_HEADERS
    named = headers.getall("Connection", ())
    if named:
        tokens = (
            token.strip().lower() for value in named for token in value.split(",")
        )
        dropped = HOP_BY_HOP_HEADERS | set(tokens)
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def append_via(headers: CIMultiDict[str]) -> None:
    """Adds this intermediary to ``Via``."""
    previous = headers.popall("Via", [])
    headers["Via"] = ", ".join([*previous, f"1.1 {VIA_NAME}"])
