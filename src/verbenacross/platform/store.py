"""The platform's key-value store over HTTP."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from ..documents.durations import format_milliseconds
from ..infrastructure.exceptions import (
    HistoryLostError,
    LeaseLostError,
    ResponseTooLargeError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from ..infrastructure.key_value_store import (
    StoredValue,
    StorePosition,
    StoreSnapshot,
)
from ..infrastructure.store_era import ERA_HEADER, EraTracker
from ..transport.response_body import read_limited

if TYPE_CHECKING:
    from collections.abc import Mapping

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
MS_PER_S = 1_000
# A check must end well within the maximum age of store updates.
CHECK_TIMEOUT_S = 0.4
# A short key, which need not exist.
CHECKED_KEY = "verbenacross/check"
# Pages are about 1 MB, and the changes of one watch a few values of up to 1 MB.
MAX_RESPONSE_BYTES = 8_388_608
# The platform's upper limit on the wait of a watch.
MAX_WAIT_MS = 30_000


class StoreResponse(NamedTuple):
    """A response of the store, and the era in which the store sent it."""

    status: int
    body: Any
    era: int


class PlatformStore:
    """The platform's key-value store; implements ``CheckedStore``.

    Every call times out after ``timeout_s``, a watch after that plus its wait, so that
    an unresponsive connection is detected and replaced. ``era`` is the highest era of
    its responses.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f"http://{address}/verbenacross/"
        self._timeout_s = timeout_s
        self._eras = EraTracker()

    @property
    def era(self) -> int:
        """The highest era of the store's responses."""
        return self._eras.era

    async def get(self, key: str) -> StoredValue | None:
        """Returns the value of a key, or ``None`` when it is absent."""
        status, response, _ = await self._call("GET", "kv-key", {"key": key})
        return None if status == HTTP_NOT_FOUND else parse_value(response)

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        """Returns all values under a prefix, as of the first page or later.

        The pages are not a consistent snapshot, so the revision is that of the first
        page: a watch from there repeats the changes made while the rest was read.
        Raises ``HistoryLostError`` if the store is restored from a copy meanwhile.
        """
        values: list[StoredValue] = []
        position: StorePosition | None = None
        params = {"path_prefix": prefix}
        while True:
            _, response, era = await self._call("GET", "kv-range", params)
            page = parse_values(response, "items")
            values += page
            if position is None:
                position = StorePosition(era, parse_integer(response, "at"))
            if era != position.era:
                raise HistoryLostError(
                    f"the store began era {era} while records of era {position.era} "
                    "were read"
                )
            if not response.get("truncated") or not page:
                return StoreSnapshot(position.revision, tuple(values), position.era)
            params = {"path_prefix": prefix, "after": page[-1].key}

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        """Returns the changes under a prefix after a revision."""
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        params = {
            "path_prefix": prefix,
            "after": str(revision),
            "wait_ms": str(wait_ms),
        }
        extra_s = wait_ms / MS_PER_S
        try:
            status, response, era = await self._call(
                "GET", "kv-watch", params, extra_s=extra_s
            )
        except ResponseTooLargeError as error:
            # They hold each version of a value; a read returns the latest ones only.
            raise HistoryLostError(
                f"changes after revision {revision} are too large"
            ) from error
        if status == HTTP_GONE:
            raise HistoryLostError(
                f"changes after revision {revision} are no longer held"
            )
        return StoreSnapshot(
            parse_integer(response, "at"), parse_values(response, "events"), era
        )

    async def put(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Writes a value if the key is at the expected revision (0: absent)."""
        write = {"key": key, "value": base64.b64encode(value).decode()}
        if lease is not None:
            write["lease"] = int(lease)  # type: ignore[assignment]
        return await self._change(key, expected, writes=[write], deletes=[])

    async def delete(self, key: str, expected: int) -> int:
        """Deletes a key if it is at the expected revision; returns the new revision."""
        return await self._change(key, expected, writes=[], deletes=[key])

    async def grant_lease(self, ttl_ms: int) -> str:
        """Returns the id of a new lease that lives for ``ttl_ms`` milliseconds."""
        body = {"ttl_time": format_milliseconds(ttl_ms / MS_PER_S)}
        _, response, _ = await self._call("POST", "kv-lease", body=body)
        return str(parse_integer(response, "lease"))

    async def renew_lease(self, lease: str) -> None:
        """Restarts the lifetime of a lease; raises ``LeaseLostError`` if expired."""
        status, _, _ = await self._call("POST", f"kv-keep/{lease}")
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"lease {lease} has lapsed")

    async def revoke_lease(self, lease: str) -> None:
        """Ends a lease and deletes the keys written with it."""
        await self._call("DELETE", f"kv-lease-end/{lease}")

    async def check(self) -> int:
        """Returns the store's era, at a tenth of the cost of a call.

        Raises ``StoreUnavailableError`` after ``CHECK_TIMEOUT_S`` without a response.
        """
        params = {"key": CHECKED_KEY, "allow_stale": "1"}
        extra_s = CHECK_TIMEOUT_S - self._timeout_s
        response = await self._call(
            "GET", "kv-key", params, extra_s=extra_s, may_be_stale=True
        )
        return response.era

    async def _change(
        self, key: str, expected: int, *, writes: list[Any], deletes: list[str]
    ) -> int:
        body = {
            "precondition": [{"key": key, "revision": expected}],
            "writes": writes,
            "deletes": deletes,
        }
        status, response, _ = await self._call("POST", "kv-txn", body=body)
        if status == HTTP_NOT_FOUND:
            raise LeaseLostError(f"the lease of key {key!r} has lapsed")
        if status == HTTP_PRECONDITION_FAILED:
            raise StoreConflictError(
                key, expected, find_current_revision(response, key)
            )
        return parse_integer(response, "revision")

    async def _call(
        self,
        method: str,
        path: str,
        params: Mapping[str, str] | None = None,
        *,
        body: dict[str, Any] | None = None,
        extra_s: float = 0.0,
        may_be_stale: bool = False,
    ) -> StoreResponse:
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s + extra_s, sock_connect=self._timeout_s
        )
        try:
            async with self._session.request(
                method, self._url + path, params=params, json=body, timeout=timeout
            ) as response:
                length = response.content_length
                if length is not None and length > MAX_RESPONSE_BYTES:
                    content, is_complete = b"", False
                else:
                    content, is_complete = await read_limited(
                        response, MAX_RESPONSE_BYTES
                    )
                status = response.status
                era_text = response.headers.get(ERA_HEADER)
                if not is_complete:
                    response.close()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        era = self._eras.record(era_text, may_be_stale=may_be_stale)
        if not is_complete:
            raise ResponseTooLargeError(
                f"{method} {path}: the answer is longer than {MAX_RESPONSE_BYTES} bytes"
            )
        if status >= HTTP_SERVER_ERROR or status == HTTP_TOO_MANY_REQUESTS:
            raise StoreUnavailableError(f"{method} {path}: status {status}")
        return StoreResponse(*parse_response(status, content, f"{method} {path}"), era)


def parse_response(status: int, content: bytes, call: str) -> tuple[int, Any]:
    """Parses a response into status and object; raises ``StoreError`` if malformed."""
    accepted = (HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE, HTTP_PRECONDITION_FAILED)
    if status not in accepted:
        raise StoreError(f"{call}: status {status}: {content[:200]!r}")
    if status != HTTP_OK and not content:
        return status, {}
    try:
        response = json.loads(content)
    except (RecursionError, ValueError) as error:
        raise StoreError(f"{call}: the answer is not JSON") from error
    if not isinstance(response, dict):
        raise StoreError(f"{call}: the answer is not a JSON object")
    return status, response


def parse_integer(response: Any, name: str) -> int:
    """Parses an integer of a response; raises ``StoreError`` if malformed."""
    value = response.get(name)
    if not isinstance(value, int):
        raise StoreError(f"the store's answer has no {name!r}")
    return value


def parse_values(response: Any, name: str) -> tuple[StoredValue, ...]:
    """Parses the items of a response; raises ``StoreError`` if malformed."""
    items = response.get(name)
    if not isinstance(items, list):
        raise StoreError(f"the store's answer has no list {name!r}")
    return tuple(map(parse_value, items))


def parse_value(item: Any) -> StoredValue:
    """Parses a value or a deletion; raises ``StoreError`` if malformed."""
    try:
        key, revision = str(item["key"]), int(item["revision"])
        if item.get("deleted"):
            return StoredValue(key, None, revision)
        return StoredValue(key, base64.b64decode(item["value"]), revision)
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
        raise StoreError(f"malformed item in the store's answer: {error!r}") from error


def find_current_revision(response: Any, key: str) -> int:
    """Returns the revision of a key in a failed precondition, 0 if absent."""
    for value in parse_values(response, "items"):
        if value.key == key and value.value is not None:
            return value.revision
    return 0
