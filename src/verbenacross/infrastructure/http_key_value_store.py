"""Key-value store of the platform over HTTP with JSON, see docs/infrastructure.md."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

import aiohttp

from ..transport.response_body import read_limited
from .exceptions import (
    HistoryLostError,
    LeaseLostError,
    ResponseTooLargeError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from .key_value_store import StoredValue, StoreSnapshot
from .store_era import ERA_HEADER, EraTracker

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_SERVER_ERROR = 500
MS_PER_S = 1_000
# A read returns all records of a prefix at once.
MAX_RESPONSE_BYTES = 67_108_864


class HttpKeyValueStore:
    """Key-value store over HTTP; implements ``KeyValueStore``.

    ``era`` is the highest era of its responses.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._eras = EraTracker()

    @property
    def era(self) -> int:
        """The highest era of the store's responses."""
        return self._eras.era

    async def get(self, key: str) -> StoredValue | None:
        """Returns the value of a key, or ``None`` when it is absent."""
        status, response = await self._call("GET", f"/v1/kv/{quote(key)}")
        if status == HTTP_NOT_FOUND:
            return None
        return parse_value(response)

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        """Returns all values under a prefix."""
        _, response = await self._call("GET", "/v1/kv", params={"prefix": prefix})
        return parse_snapshot(response, self.era)

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        """Returns the changes under a prefix after a revision."""
        params = {
            "prefix": prefix,
            "after_revision": str(revision),
            "wait_ms": str(wait_ms),
        }
        status, response = await self._call(
            "GET", "/v1/watch", params=params, extra_ms=wait_ms
        )
        if status == HTTP_GONE:
            raise HistoryLostError(
                f"changes after revision {revision} are no longer held"
            )
        return parse_snapshot(response, self.era)

    async def put(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Writes a value if the key is at the expected revision (0: absent)."""
        body = {
            "value": value.decode(),
            "expected_revision": expected,
            "lease_id": lease,
        }
        status, response = await self._call("PUT", f"/v1/kv/{quote(key)}", body=body)
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} of key {key!r} has lapsed")
        if status == HTTP_CONFLICT:
            raise StoreConflictError(key, expected, int(response["revision"]))
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} has lapsed")
        return int(response["revision"])

    async def delete(self, key: str, expected: int) -> int:
        """Deletes a key if it is at the expected revision."""
        params = {"expected_revision": str(expected)}
        status, response = await self._call(
            "DELETE", f"/v1/kv/{quote(key)}", params=params
        )
        if status == HTTP_CONFLICT:
            raise StoreConflictError(key, expected, int(response["revision"]))
        return int(response["revision"])

    async def grant_lease(self, ttl_ms: int) -> str:
        """Returns the id of a new lease."""
        _, response = await self._call("POST", "/v1/leases", body={"ttl_ms": ttl_ms})
        return str(response["lease_id"])

    async def renew_lease(self, lease: str) -> None:
        """Restarts the lifetime of a lease."""
        status, _ = await self._call("POST", f"/v1/leases/{lease}/renew")
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} has lapsed")

    async def revoke_lease(self, lease: str) -> None:
        """Ends a lease and deletes the keys written with it."""
        await self._call("DELETE", f"/v1/leases/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        extra_ms: int = 0,
    ) -> tuple[int, Any]:
        timeout = aiohttp.ClientTimeout(total=(self._timeout_ms + extra_ms) / MS_PER_S)
        try:
            async with self._session.request(
                method, self._url + path, params=params, json=body, timeout=timeout
            ) as response:
                content, is_complete = await read_limited(response, MAX_RESPONSE_BYTES)
                status = response.status
                era_text = response.headers.get(ERA_HEADER)
                if not is_complete:
                    response.close()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        self._eras.record(era_text)
        if not is_complete:
            raise ResponseTooLargeError(
                f"{method} {path}: the answer is longer than {MAX_RESPONSE_BYTES} bytes"
            )
        if status >= HTTP_SERVER_ERROR:
            raise StoreUnavailableError(f"{method} {path}: status {status}")
        return parse_response(status, content, f"{method} {path}")


def parse_response(status: int, content: bytes, call: str) -> tuple[int, Any]:
    """Parses a response into status and object; raises ``StoreError`` if malformed."""
    if status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_GONE):
        raise StoreError(f"{call}: status {status}: {content[:200]!r}")
    try:
        response = json.loads(content)
    except ValueError as error:
        raise StoreError(f"{call}: the answer is not JSON") from error
    if not isinstance(response, dict):
        raise StoreError(f"{call}: the answer is not a JSON object")
    return status, response


def parse_value(response: Any) -> StoredValue:
    """Parses a stored value; raises ``StoreError`` if it is malformed."""
    try:
        value = response["value"]
        encoded = None if value is None else str(value).encode()
        return StoredValue(str(response["key"]), encoded, int(response["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(f"malformed value in the store's answer: {error!r}") from error


def parse_snapshot(response: Any, era: int) -> StoreSnapshot:
    """Parses a snapshot of an era; raises ``StoreError`` if it is malformed."""
    try:
        values = tuple(parse_value(entry) for entry in response["entries"])
        return StoreSnapshot(int(response["revision"]), values, era)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(
            f"malformed snapshot in the store's answer: {error!r}"
        ) from error
