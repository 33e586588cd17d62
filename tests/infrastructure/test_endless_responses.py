"""Responses of the platform's services that go on until the caller closes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from verbenacross.infrastructure import http_instance_list, http_key_value_store
from verbenacross.infrastructure.exceptions import (
    InstanceListError,
    ResponseTooLargeError,
)
from verbenacross.infrastructure.http_instance_list import HttpInstanceList
from verbenacross.infrastructure.http_key_value_store import HttpKeyValueStore

MAX_BYTES = 1_000_000
PART = b"x" * 65_536
TIMEOUT_S = 5.0


@asynccontextmanager
async def serve_endless(is_end):
    """Serves responses without end; ``is_end`` is set when the caller closes one."""

    async def respond(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            while True:
                await response.write(PART)
        finally:
            is_end.set()

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", respond)
    server = TestServer(application)
    async with server, aiohttp.ClientSession() as session:
        yield session, str(server.make_url(""))


async def test_store(monkeypatch):
    """Guards against an agent that keeps all bytes and runs out of memory."""
    monkeypatch.setattr(http_key_value_store, "MAX_RESPONSE_BYTES", MAX_BYTES)
    is_end = asyncio.Event()
    async with serve_endless(is_end) as (session, url), asyncio.timeout(TIMEOUT_S):
        store = HttpKeyValueStore(session, url, timeout_ms=60_000)
        with pytest.raises(ResponseTooLargeError):
            await store.read_prefix("policies/")
        await is_end.wait()


async def test_instance_list(monkeypatch):
    monkeypatch.setattr(http_instance_list, "MAX_LIST_BYTES", MAX_BYTES)
    is_end = asyncio.Event()
    async with serve_endless(is_end) as (session, url), asyncio.timeout(TIMEOUT_S):
        instances = HttpInstanceList(session, url, timeout_s=60.0)
        with pytest.raises(InstanceListError, match="longer than"):
            await instances.read()
        await is_end.wait()
