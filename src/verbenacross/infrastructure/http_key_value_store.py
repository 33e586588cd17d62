"""Key-value store of the platform over HTTP with JSON, see docs/infrastructure.md."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

import aiohttp

from .exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from .key_value_store import StoredValue, StoreSnapshot

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_SERVER_ERROR = 500
MS_PER_S = 1_000


class HttpKeyValueStore:
    """Key-value store over HTTP; implements ``KeyValueStore``."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_ms = timeout_ms

    async def get(self, key: str) -> StoredValue | None:
        """Returns the value of a key, or ``None`` when it is absent."""
        status, answer = await self._call("GET", f"/v1/kv/{quote(key)}")
        if status == HTTP_NOT_FOUND:
            return None
        return read_value(answer)

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        """Returns all values under a prefix."""
        _, answer = await self._call("GET", "/v1/kv", params={"prefix": prefix})
        return read_snapshot(answer)

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        """Returns the changes under a prefix after a revision."""
        params = {
            "prefix": prefix,
            "after_revision": str(revision),
            "wait_ms": str(wait_ms),
        }
        status, answer = await self._call(
            "GET", "/v1/watch", params=params, extra_ms=wait_ms
        )
        if status == HTTP_GONE:
            raise HistoryLostError(
                f"changes after revision {revision} are no longer held"
            )
        return read_snapshot(answer)

    async def put(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Writes a value if the key is at the expected revision (0: absent)."""
        body = {
            "value": value.decode(),
            "expected_revision": expected,
            "lease_id": lease,
        }
        status, answer = await self._call("PUT", f"/v1/kv/{quote(key)}", body=body)
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} of key {key!r} has lapsed")
        if status == HTTP_CONFLICT:
            raise StoreConflictError(key, expected, int(answer["revision"]))
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} has lapsed")
        return int(answer["revision"])

    async def delete(self, key: str, expected: int) -> int:
        """Deletes a key if it is at the expected revision."""
        params = {"expected_revision": str(expected)}
        status, answer = await self._call(
            "DELETE", f"/v1/kv/{quote(key)}", params=params
        )
        if status == HTTP_CONFLICT:
            raise StoreConflictError(key, expected, int(answer["revision"]))
        return int(answer["revision"])

    async def grant_lease(self, ttl_ms: int) -> str:
        """Returns the id of a new lease."""
        _, answer = await self._call("POST", "/v1/leases", body={"ttl_ms": ttl_ms})
        return str(answer["lease_id"])

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
                text = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        if status >= HTTP_SERVER_ERROR:
            raise StoreUnavailableError(f"{method} {path}: status {status}")
        return check_answer(status, text, f"{method} {path}")


def check_answer(status: int, text: bytes, call: str) -> tuple[int, Any]:
    """Returns status and JSON object; raises ``StoreError`` if unusable."""
    if status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_GONE):
        raise StoreError(f"{call}: status {status}: {text[:200]!r}")
    try:
        answer = json.loads(text)
    except ValueError as error:
        raise StoreError(f"{call}: the answer is not JSON") from error
    if not isinstance(answer, dict):
        raise StoreError(f"{call}: the answer is not a JSON object")
    return status, answer


def read_value(answer: Any) -> StoredValue:
    """Returns the stored value in a JSON object; raises ``StoreError`` if malformed."""
    try:
        value = answer["value"]
        encoded = None if value is None else str(value).encode()
        return StoredValue(str(answer["key"]), encoded, int(answer["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(f"malformed value in the store's answer: {error!r}") from error


def read_snapshot(answer: Any) -> StoreSnapshot:
    """Returns the snapshot in a JSON object; raises ``StoreError`` if malformed."""
    try:
        values = tuple(read_value(entry) for entry in answer["entries"])
        return StoreSnapshot(int(answer["revision"]), values)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(
            f"malformed snapshot in the store's answer: {error!r}"
        ) from error
