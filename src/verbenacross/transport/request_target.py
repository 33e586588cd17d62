"""Target of a caller's request, exactly as received."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Self

from .exceptions import RequestTargetError

if TYPE_CHECKING:
    from aiohttp import web


class RequestTarget(NamedTuple):
    """Target of a request.

    ``path_and_query`` is as received, so that an empty query is kept. ``authority`` is
    that of a target in absolute form, empty for one that is only a path.
    """

    authority: str
    path_and_query: str

    @classmethod
    def from_request(cls, request: web.BaseRequest) -> Self:
        """Returns the target; raises ``RequestTargetError`` if it has no path."""
        raw = request.raw_path
        if "#" in raw:
            raise RequestTargetError(f"the target {raw!r} has a fragment")
        if raw.startswith("/"):
            return cls("", raw)
        _, separator, rest = raw.partition("://")
        if not separator:
            raise RequestTargetError(f"the target {raw!r} is neither a path nor a URL")
        authority = rest.partition("?")[0].partition("/")[0]
        path_and_query = rest[len(authority) :]
        if not path_and_query.startswith("/"):
            path_and_query = f"/{path_and_query}"
        return cls(authority, path_and_query)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.path_and_query.partition("?")[0]
