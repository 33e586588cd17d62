"""Probes the health paths of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from ..balancing.prober import ProbeResult
from ..balancing.upstream_notice import NO_NOTICE
from ..platform.headers import (
    UPSTREAM_ID,
    parse_cold_time,
    parse_load_header,
    parse_notice,
)
from ..transport.response_body import read_limited

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..balancing.upstream import Upstream

HTTP_OK = 200
# A probe takes one round trip, so a response that takes longer indicates a failure.
PROBE_TIMEOUT_S = 0.12
# The body of a response to a probe is not used; one without end is not read further.
MAX_PROBE_BYTES = 16_384


class UpstreamProber:
    """Probes the health paths of upstreams; implements ``Prober``.

    ``find_health_path`` returns the health path of a service, ``None`` if unknown.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        find_health_path: Callable[[str], str | None],
    ) -> None:
        self._session = session
        self._find_health_path = find_health_path
        self._timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        self._urls: dict[tuple[str, str], URL] = {}

    async def probe(self, upstream: Upstream) -> ProbeResult | None:
        """Returns the result of a probe, ``None`` without a usable response.

        Raises ``LookupError`` if another upstream responds at the address.
        """
        path = self._find_health_path(upstream.service)
        if path is None:
            return None
        key = (upstream.address, path)
        url = self._urls.get(key)
        if url is None:
            url = self._urls[key] = URL(f"http://{upstream.address}{path}")
        try:
            async with self._session.get(url, timeout=self._timeout) as response:
                _, is_complete = await read_limited(response, MAX_PROBE_BYTES)
                if not is_complete:
                    response.close()
                    return None
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The balancer logs the missing response.
            return None
        identifier = response.headers.get(UPSTREAM_ID, upstream.id)
        if identifier != upstream.id:
            raise LookupError(f"{identifier!r} responds at {upstream.address}")
        report = parse_load_header(response.headers)
        notice, cold_s = NO_NOTICE, None
        if UPSTREAM_ID in response.headers:
            notice = parse_notice(response.status, response.headers)
            cold_s = parse_cold_time(response.headers)
        return ProbeResult(report, response.status == HTTP_OK, notice, cold_s)
