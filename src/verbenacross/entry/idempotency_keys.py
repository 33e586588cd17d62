"""Stores the idempotency keys of callers."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
import uuid
from typing import TYPE_CHECKING

import logbook
from pydantic import TypeAdapter, ValidationError

from ..infrastructure.exceptions import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from ..limits import RateLimiter
from ..refusals import (
    Execution,
    ProblemDetails,
    RequestProblemError,
    build_not_run_error,
)
from .key_claim import KeyClaim
from .key_leases import KeyLeases
from .key_record import KeyRecord

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence

    from ..infrastructure.key_value_store import KeyValueStore

KEY_PREFIX = "once/"
MAX_KEY_CHARACTERS = 255
MAX_TRIES = 4
MAX_RETRY_DELAY_S = 0.2
RELEASE_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 2.0

RECORD_ADAPTER = TypeAdapter(KeyRecord)

TOO_MANY_KEYED_REQUESTS = ProblemDetails(
    429,
    "too-many-keyed-requests",
    "This entry takes no more requests with an idempotency key now",
    Execution.NOT_RUN,
    retry_after_s=1,
)
STORE_UNAVAILABLE = ProblemDetails(
    503,
    "store-unavailable",
    "The idempotency key cannot be stored",
    Execution.NOT_RUN,
    retry_after_s=1,
)

logger = logbook.Logger("verbenacross.entry.idempotency_keys")


class IdempotencyKeys:
    """Stores the idempotency keys of callers.

    A key is created before its request is sent, so at most one of the requests with
    that key, across all entries, is sent while the store keeps the key.
    """

    def __init__(
        self, store: KeyValueStore, instance: str, requests_per_second: float
    ) -> None:
        self._store = store
        self._instance = instance
        self._limiter = RateLimiter(requests_per_second)
        self._leases = KeyLeases(store)
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self, service: str, values: Sequence[str], retention_s: int, deadline: float
    ) -> KeyClaim:
        """Creates a key and returns the claim on it.

        ``deadline`` is on the monotonic clock. Raises ``RequestProblemError``: 409 with
        the recorded execution when the key exists, otherwise "not run".
        """
        store_key = build_store_key(service, values)
        if not self._limiter.try_acquire():
            raise RequestProblemError(TOO_MANY_KEYED_REQUESTS)
        creating = asyncio.ensure_future(self._create(store_key, retention_s))
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                return await asyncio.shield(creating)
        except (StoreError, TimeoutError) as error:
            creating.add_done_callback(self._delete_when_created)
            details = STORE_UNAVAILABLE._replace(detail=repr(error))
            raise RequestProblemError(details) from error
        except asyncio.CancelledError:
            creating.add_done_callback(self._delete_when_created)
            raise

    async def release(self, claim: KeyClaim) -> None:
        """Deletes the key of a request that certainly did not run.

        Continues in the background if the store is slow. A key that cannot be deleted
        stays "unknown" until its retention ends.
        """
        task = self._run_in_background(self._delete(claim))
        await asyncio.wait([task], timeout=RELEASE_TIMEOUT_S)

    def record_ran(self, claim: KeyClaim) -> None:
        """Records in the background that the request of a key ran."""
        self._run_in_background(self._write_ran(claim))

    async def close(self) -> None:
        """Waits up to ``CLOSE_TIMEOUT_S`` for pending writes, then cancels them."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()

    async def _create(self, store_key: str, retention_s: int) -> KeyClaim:
        record = KeyRecord(uuid.uuid4().hex, self._instance)
        value = encode_record(record)
        failure: StoreError | None = None
        for _ in range(MAX_TRIES):
            try:
                lease = await self._leases.get(retention_s)
                revision = await self._store.put(store_key, value, 0, lease)
                return KeyClaim(store_key, record, revision, lease)
            except StoreConflictError:
                found = await self._resolve_conflict(store_key, record, lease)
                if found is not None:
                    return found
            except LeaseLostError as error:
                failure = error
                self._leases.discard(retention_s)
            except StoreUnavailableError as error:
                failure = error
                await asyncio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
        raise failure or StoreUnavailableError(f"key {store_key!r} keeps changing")

    async def _resolve_conflict(
        self, store_key: str, record: KeyRecord, lease: str
    ) -> KeyClaim | None:
        """Reads a key whose creation failed with a conflict.

        Returns the claim if the stored record is this request's, ``None`` if there is
        none. Raises ``RequestProblemError`` if the key belongs to another request.
        """
        try:
            stored = await self._store.get(store_key)
        except StoreError as error:
            raise build_repeated_key_error("unknown") from error
        if stored is None or stored.value is None:
            return None
        found = decode_record(stored.value)
        if found is not None and found.claim == record.claim:
            return KeyClaim(store_key, record, stored.revision, lease)
        raise build_repeated_key_error("unknown" if found is None else found.state)

    async def _delete(self, claim: KeyClaim) -> None:
        for _ in range(MAX_TRIES):
            try:
                await self._store.delete(claim.store_key, claim.revision)
            except StoreConflictError:
                return
            except StoreError:
                await asyncio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
            else:
                return
        logger.warning("cannot delete idempotency key {}", claim.store_key)

    async def _write_ran(self, claim: KeyClaim) -> None:
        value = encode_record(claim.record._replace(state="ran"))
        for _ in range(MAX_TRIES):
            try:
                await self._store.put(
                    claim.store_key, value, claim.revision, claim.lease
                )
            except (StoreConflictError, LeaseLostError):
                # The write took effect and its response was lost, or the key expired.
                return
            except StoreError:
                await asyncio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
            else:
                return
        logger.warning("cannot record that the request of {} ran", claim.store_key)

    def _delete_when_created(self, creating: asyncio.Future[KeyClaim]) -> None:
        """Deletes a key that was created after its request had ended."""
        if not creating.cancelled() and creating.exception() is None:
            self._run_in_background(self._delete(creating.result()))

    def _run_in_background(
        self, coroutine: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def build_store_key(service: str, values: Sequence[str]) -> str:
    """Builds the store key; raises ``RequestProblemError`` for a malformed key."""
    value = values[0]
    usable = value.isascii() and value.isprintable()
    if len(values) > 1 or not usable or not 0 < len(value) <= MAX_KEY_CHARACTERS:
        title = (
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARACTERS} printable characters"
        )
        raise build_not_run_error(400, "bad-idempotency-key", title)
    return f"{KEY_PREFIX}{service}/{hashlib.sha256(value.encode()).hexdigest()}"


def build_repeated_key_error(state: str) -> RequestProblemError:
    """Builds the error for a key that another request has claimed."""
    title = "A request with this idempotency key was sent before"
    return RequestProblemError(
        ProblemDetails(409, "repeated-key", title, Execution(state))
    )


def encode_record(record: KeyRecord) -> bytes:
    """Encodes a record as the value of its key in the store."""
    return json.dumps(record._asdict()).encode()


def decode_record(value: bytes) -> KeyRecord | None:
    """Decodes the value of a key; returns ``None`` if it is malformed."""
    try:
        return RECORD_ADAPTER.validate_json(value)
    except ValidationError:
        return None
