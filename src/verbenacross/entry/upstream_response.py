"""Validates the responses of upstreams and prepares them for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from ..infrastructure.upstream_signals import EXECUTION_HEADER
from ..refusals import Execution
from ..transport.exceptions import UnusableAnswerError
from ..transport.headers import REQUEST_ID_HEADER, append_via, copy_end_to_end
from ..transport.response_body import is_bodiless
from ..transport.response_ending import is_close_delimited
from ..transport.response_status import validate_status

if TYPE_CHECKING:
    import aiohttp
    from multidict import CIMultiDict

MAX_BUFFERED_BYTES = 65_536
HTTP_SERVER_ERROR = 500
NOT_RUN_VALUE = "not-run"


def validate_headers(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    """Raises ``UnusableAnswerError`` if a response must not reach the caller."""
    for echoed in response.headers.getall(REQUEST_ID_HEADER, ()):
        if echoed != attempt_id:
            raise UnusableAnswerError(f"the answer carries request id {echoed!r}")
    validate_status(response.status)
    if is_bodiless(response):
        return
    chunked = hdrs.TRANSFER_ENCODING in response.headers
    lengths = response.headers.getall(hdrs.CONTENT_LENGTH, ())
    if chunked and lengths:
        raise UnusableAnswerError("the answer has two kinds of length")
    if len(set(lengths)) > 1:
        raise UnusableAnswerError("the answer has conflicting lengths")
    if is_close_delimited(response):
        raise UnusableAnswerError("the answer is delimited only by its close")


def should_buffer(response: aiohttp.ClientResponse) -> bool:
    """Returns whether to read a body completely before sending the headers."""
    length = response.headers.get(hdrs.CONTENT_LENGTH)
    return length is not None and int(length) <= MAX_BUFFERED_BYTES


def read_execution(response: aiohttp.ClientResponse) -> Execution:
    """Reads from the headers of a response whether the upstream ran the request.

    "Not run" is believed only with the id of the attempt, which ``validate_headers``
    has compared: without it, the response may be that to an earlier request. Without an
    execution header, any status below 500 means that it ran.
    """
    match response.headers.get(EXECUTION_HEADER):
        case "not-run" if REQUEST_ID_HEADER not in response.headers:
            return Execution.UNKNOWN
        case "not-run":
            return Execution.NOT_RUN
        case "ran":
            return Execution.RAN
        case None if response.status < HTTP_SERVER_ERROR:
            return Execution.RAN
        case _:
            return Execution.UNKNOWN


def build_response_headers(
    response: aiohttp.ClientResponse, request_id: str, *, may_have_run: bool
) -> CIMultiDict[str]:
    """Builds the headers of the response to the caller.

    ``may_have_run`` states that an earlier attempt may have run, so that "not run" from
    this upstream does not hold for the request and is replaced by "unknown", as is one
    that is not believed. Raises ``UnusableAnswerError`` if a header is not UTF-8.
    """
    is_believed = read_execution(response) is Execution.NOT_RUN
    try:
        headers = copy_end_to_end(response.headers)
    except UnicodeEncodeError as error:
        raise UnusableAnswerError("a header of the answer is not UTF-8") from error
    append_via(headers)
    headers[REQUEST_ID_HEADER] = request_id
    if headers.get(EXECUTION_HEADER) == NOT_RUN_VALUE and (
        may_have_run or not is_believed
    ):
        headers[EXECUTION_HEADER] = Execution.UNKNOWN.value
    return headers
