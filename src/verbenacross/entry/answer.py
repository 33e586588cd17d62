"""Checks and forwards the answer of an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from ..infrastructure.upstream_signals import EXECUTION_HEADER
from ..refusals import Execution
from ..transport.exceptions import UnusableAnswerError
from ..transport.headers import REQUEST_ID_HEADER, append_via, copy_end_to_end
from ..transport.response_body import is_bodiless

if TYPE_CHECKING:
    import aiohttp
    from multidict import CIMultiDict

MAX_BUFFERED_BYTES = 65_536
HTTP_SWITCHING_PROTOCOLS = 101
HTTP_SERVER_ERROR = 500
NOT_RUN_TEXT = "not-run"


def check_head(answer: aiohttp.ClientResponse, attempt_id: str) -> None:
    """Raises ``UnusableAnswerError`` when an answer must not be passed on."""
    for echoed in answer.headers.getall(REQUEST_ID_HEADER, ()):
        if echoed != attempt_id:
            raise UnusableAnswerError(f"the answer carries request id {echoed!r}")
    if answer.status == HTTP_SWITCHING_PROTOCOLS:
        raise UnusableAnswerError("the upstream switched protocols")
    if is_bodiless(answer):
        return
    chunked = hdrs.TRANSFER_ENCODING in answer.headers
    lengths = answer.headers.getall(hdrs.CONTENT_LENGTH, ())
    if chunked and lengths:
        raise UnusableAnswerError("the answer has two kinds of length")
    if len(set(lengths)) > 1:
        raise UnusableAnswerError("the answer has conflicting lengths")
    if not chunked and not lengths:
        raise UnusableAnswerError("the answer is delimited only by its close")


def is_small(answer: aiohttp.ClientResponse) -> bool:
    """Returns whether an answer is read whole before its head is passed on."""
    length = answer.headers.get(hdrs.CONTENT_LENGTH)
    return length is not None and int(length) <= MAX_BUFFERED_BYTES


def read_execution(answer: aiohttp.ClientResponse) -> Execution:
    """Returns whether the work ran, as far as the answer's head tells.

    An upstream that answers without a server error counts as having run the work.
    """
    match answer.headers.get(EXECUTION_HEADER):
        case "not-run":
            return Execution.NOT_RUN
        case "ran":
            return Execution.RAN
        case None if answer.status < HTTP_SERVER_ERROR:
            return Execution.RAN
        case _:
            return Execution.UNKNOWN


def build_headers(
    answer: aiohttp.ClientResponse, request_id: str, *, may_have_run: bool
) -> CIMultiDict[str]:
    """Returns the headers for the caller.

    ``may_have_run`` tells that an earlier attempt may have run, which makes an
    upstream's "not run" untrue for the request. Raises ``UnusableAnswerError``.
    """
    try:
        headers = copy_end_to_end(answer.headers)
    except UnicodeEncodeError as error:
        raise UnusableAnswerError("a header of the answer is not UTF-8") from error
    append_via(headers)
    headers[REQUEST_ID_HEADER] = request_id
    if may_have_run and headers.get(EXECUTION_HEADER) == NOT_RUN_TEXT:
        headers[EXECUTION_HEADER] = Execution.UNKNOWN.value
    return headers
