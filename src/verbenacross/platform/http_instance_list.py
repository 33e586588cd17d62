"""Instance list of the platform over HTTP with JSON, see docs/platform.md."""

from __future__ import annotations

from typing import NamedTuple

import aiohttp
from pydantic import TypeAdapter, ValidationError

from .exceptions import InstanceListError
from .instance_list import Instance

HTTP_OK = 200


class ListAnswer(NamedTuple):
    """Body of the list's answer."""

    instances: tuple[Instance, ...]


ANSWER_ADAPTER = TypeAdapter(ListAnswer)


class HttpInstanceList:
    """Instance list over HTTP; implements ``InstanceList``."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float = 2.0
    ) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/v1/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self) -> tuple[Instance, ...]:
        """Returns all instances; raises ``InstanceListError`` if it cannot be read."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                text = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise InstanceListError(f"GET {self._url}: {error!r}") from error
        if status != HTTP_OK:
            raise InstanceListError(f"GET {self._url}: status {status}")
        try:
            return ANSWER_ADAPTER.validate_json(text).instances
        except ValidationError as error:
            raise InstanceListError(f"GET {self._url}: {error}") from error
