"""Instance list of the platform over HTTP with JSON, see docs/infrastructure.md."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp
import logbook
from pydantic import TypeAdapter, ValidationError

from ..transport.response_body import read_limited
from .exceptions import InstanceListError
from .instance_list import Instance

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
# 25,000 instances take about 5 MB.
MAX_LIST_BYTES = 33_554_432


class ListAnswer(NamedTuple):
    """Body of a response of the instance list; errors name this class."""

    instances: tuple[Instance, ...]


class UncheckedAnswer(NamedTuple):
    """Body of a response whose entries are not validated yet."""

    instances: tuple[Any, ...]


RESPONSE_ADAPTER = TypeAdapter(ListAnswer)
UNCHECKED_ADAPTER = TypeAdapter(UncheckedAnswer)
INSTANCE_ADAPTER = TypeAdapter(Instance)

logger = logbook.Logger("verbenacross.infrastructure.instance_list")


class HttpInstanceList:
    """Instance list over HTTP; implements ``InstanceList``.

    The list is read every second and rarely changes: an unchanged response is not
    parsed again, nor sent again if the platform supports entity tags.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float = 2.0
    ) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/v1/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._tag: str | None = None
        self._body = b""
        self._instances: tuple[Instance, ...] = ()

    async def read(self) -> tuple[Instance, ...]:
        """Reads all instances; raises ``InstanceListError`` if the call fails.

        If the list is unchanged, returns the same object as before.
        """
        headers = {} if self._tag is None else {"If-None-Match": self._tag}
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, headers=headers
            ) as response:
                body, is_complete = await read_limited(response, MAX_LIST_BYTES)
                status = response.status
                if not is_complete:
                    response.close()
                tag = response.headers.get("ETag")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise InstanceListError(f"GET {self._url}: {error!r}") from error
        if not is_complete:
            raise InstanceListError(
                f"GET {self._url}: the list is longer than {MAX_LIST_BYTES} bytes"
            )
        if status == HTTP_NOT_MODIFIED and self._tag is not None:
            return self._instances
        if status != HTTP_OK:
            raise InstanceListError(f"GET {self._url}: status {status}")
        if body != self._body:
            self._instances = self._parse(body)
            self._body = body
        self._tag = tag
        return self._instances

    def _parse(self, body: bytes) -> tuple[Instance, ...]:
        try:
            return RESPONSE_ADAPTER.validate_json(body).instances
        except ValidationError:
            # Some entries may be invalid; the others must still be followed.
            pass
        try:
            entries = UNCHECKED_ADAPTER.validate_json(body).instances
        except ValidationError as error:
            raise InstanceListError(f"GET {self._url}: {error}") from error
        valid = []
        for entry in entries:
            try:
                valid.append(INSTANCE_ADAPTER.validate_python(entry))
            except ValidationError as error:
                logger.warning("invalid listed instance", extra={"reason": str(error)})
        return tuple(valid)
