"""Asks the health paths of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from ..balancing.prober import ProbeResult
from ..platform.headers import UPSTREAM_ID, read_load

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..balancing.upstream import Upstream

HTTP_OK = 200
# A probe takes one round trip, so a longer silence means trouble.
PROBE_TIMEOUT_S = 0.12


class UpstreamProber:
    """Asks the health paths of upstreams; implements ``Prober``."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        find_path: Callable[[str], str | None],
    ) -> None:
        self._session = session
        self._find_path = find_path
        self._timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        self._urls: dict[tuple[str, str], URL] = {}

    async def probe(self, upstream: Upstream) -> ProbeResult | None:
        """Returns the answer; ``None`` without a usable one."""
        path = self._find_path(upstream.service)
        if path is None:
            return None
        key = (upstream.address, path)
        url = self._urls.get(key)
        if url is None:
            url = self._urls[key] = URL(f"http://{upstream.address}{path}")
        try:
            async with self._session.get(url, timeout=self._timeout) as answer:
                await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The balancer logs the silence with its reason.
            return None
        identifier = answer.headers.get(UPSTREAM_ID, upstream.id)
        if identifier != upstream.id:
            raise LookupError(f"{identifier!r} answers at {upstream.address}")
        report = read_load(answer.headers)
        return ProbeResult(report, answer.status == HTTP_OK)
