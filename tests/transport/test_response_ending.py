"""How the end of a response without a length is judged."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict

from standins.platform_upstream import reset
from verbenacross.transport.exceptions import UnusableAnswerError
from verbenacross.transport.response_ending import ResponseEnding
from verbenacross.transport.single_attempt_middleware import SingleAttemptMiddleware
from verbenacross.transport.upstream_client import UpstreamClient

MAX_HEADER_BYTES = 8_192
CONNECT_TIMEOUT_MS = 1_000
# More than is read from a connection while the response is not read.
ANSWER_BYTES = 300_000
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PIECE = b"u" * 1_000


class Upstream:
    """Server that responds at once and ends the connection when it is told to."""

    async def accept(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.writer = writer
        writer.write(HEAD + b"a" * ANSWER_BYTES)
        await writer.drain()

    def reset(self):
        reset(self.writer)

    def end(self):
        self.writer.write_eof()


class Upload:
    """Request body that goes on once ``goes_on`` is set."""

    def __init__(self):
        self.goes_on = asyncio.Event()

    async def iterate(self):
        yield PIECE
        await self.goes_on.wait()
        for _ in range(5):
            yield PIECE


@pytest.fixture
async def exchange():
    """An upstream, an upload to it and the response, which is still to be read."""
    async with AsyncExitStack() as stack:
        upstream, upload = Upstream(), Upload()
        server = await asyncio.start_server(upstream.accept, "127.0.0.1", 0)
        stack.callback(server.close)
        client = await UpstreamClient.from_stack(stack, MAX_HEADER_BYTES)
        middleware = SingleAttemptMiddleware()
        host, port = server.sockets[0].getsockname()
        response = await client.send(
            "POST",
            f"http://{host}:{port}",
            "/",
            CIMultiDict(),
            upload.iterate(),
            middleware,
            CONNECT_TIMEOUT_MS,
            new_connection=False,
        )
        stack.callback(response.close)
        yield upstream, upload, response, middleware
        upstream.writer.transport.abort()


async def test_reset_that_fails_the_upload_first_is_no_end(exchange):
    """Guards against a truncated response whose reset only the upload received."""
    upstream, upload, response, middleware = exchange
    ending = ResponseEnding.from_response(response, middleware.get_protocol())

    upstream.reset()
    await asyncio.sleep(0.05)
    upload.goes_on.set()
    await asyncio.sleep(0.05)

    assert len(await response.read()) < ANSWER_BYTES
    with pytest.raises(UnusableAnswerError):
        ending.check()


async def test_reset_that_the_reader_receives_is_no_end(exchange):
    """Guards against a truncated response while the upload stands still."""
    upstream, _, response, middleware = exchange
    ending = ResponseEnding.from_response(response, middleware.get_protocol())

    reading = asyncio.create_task(response.read())
    await asyncio.sleep(0.05)
    upstream.reset()

    await reading
    with pytest.raises(UnusableAnswerError):
        ending.check()


async def test_close_by_the_client_is_no_end(exchange):
    """Guards against a truncated response whose connection this process closed."""
    _, _, response, middleware = exchange
    protocol = middleware.get_protocol()
    ending = ResponseEnding.from_response(response, protocol)

    reading = asyncio.create_task(response.read())
    await asyncio.sleep(0.05)
    protocol.close()

    await reading
    with pytest.raises(UnusableAnswerError):
        ending.check()


@pytest.mark.parametrize("upload_goes_on", [False, True])
async def test_orderly_end_completes_a_response(exchange, upload_goes_on):
    """Guards against a complete response that is lost because its upload failed."""
    upstream, upload, response, middleware = exchange

    reading = asyncio.create_task(response.read())
    upstream.end()
    if upload_goes_on:
        await asyncio.sleep(0.05)
        upload.goes_on.set()

    assert len(await reading) == ANSWER_BYTES
    # The end is known even if the client has released the connection by now.
    ResponseEnding.from_response(response, middleware.get_protocol()).check()


async def test_response_whose_end_is_not_recorded_is_unusable(exchange):
    """Guards against connections of another kind, of which the end is not known."""
    _, _, response, _ = exchange
    other = ResponseHandler(asyncio.get_running_loop())

    for protocol in (None, other):
        with pytest.raises(UnusableAnswerError):
            ResponseEnding.from_response(response, protocol)
