"""Tests of the HTTP behaviour that is required of an intermediary."""

from __future__ import annotations

import gzip
import http.client
import json
import socket
import time

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .raw_caller import RawCaller, build_request, read_rss_bytes, wait_for

pytestmark = pytest.mark.xdist_group("http")

BIG_BYTES = 48_000_000
MAX_GROWTH_BYTES = 12_000_000

BAD_REQUESTS = {
    "no policy for the service": (build_request("/nothing/x"), 404),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    "oversized header": (build_request("/work/x", X_Big="a" * 20_000), 431),
    "space before the colon": (b"GET /work/x HTTP/1.1\r\nHost : work\r\n\r\n", 400),
    "header name missing": (b"GET /work/x HTTP/1.1\r\n: work\r\n\r\n", 400),
    "bare line feed in a value": (build_request("/work/x", X_A="a\rb"), 400),
    "two lengths": (
        build_request("/work/x", "POST", b"abc", content_length="4"),
        400,
    ),
    "length and chunks": (
        build_request("/work/x", "POST", b"abc", Transfer_Encoding="chunked"),
        400,
    ),
    "negative length": (build_request("/work/x", "POST", Content_Length="-1"), 400),
    "length that is no number": (
        build_request("/work/x", "POST", Content_Length="1e3"),
        400,
    ),
    "no host": (b"GET /work/x HTTP/1.1\r\n\r\n", 400),
    "two hosts": (build_request("/work/x", host="other"), 400),
    "deadline of zero": (build_request("/work/x", Request_Timeout_Ms="0"), 400),
    "negative deadline": (build_request("/work/x", Request_Timeout_Ms="-5"), 400),
    "deadline that is no number": (
        build_request("/work/x", Request_Timeout_Ms="soon"),
        400,
    ),
    "endless deadline": (build_request("/work/x", Request_Timeout_Ms="9" * 6_000), 400),
    "two deadlines": (
        build_request("/work/x", Request_Timeout_Ms="5", request_timeout_ms="6"),
        400,
    ),
    "bad attempt": (build_request("/work/x", Request_Attempt="first"), 400),
    "unknown version": (
        build_request("/work/x", Verbenacross_Policy_Version="7"),
        404,
    ),
    "long request id": (build_request("/work/x", X_Request_Id="i" * 300), 400),
    "header that is not UTF-8": (
        b"GET /work/x HTTP/1.1\r\nHost: work\r\nX-A: \xff\xfe\r\n\r\n",
        400,
    ),
    "fragment in the target": (build_request("/work/x#part"), 400),
    "unknown expectation": (build_request("/work/x", Expect="miracles"), 417),
    "tunnel": (b"CONNECT work:80 HTTP/1.1\r\nHost: work:80\r\n\r\n", 501),
    "unknown transfer coding": (
        build_request("/work/x", "POST", Transfer_Encoding="gzip"),
        400,
    ),
    "body that ends early": (
        build_request("/work/x", "POST", Content_Length="x")[:-2] + b"\r\n",
        400,
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_bad_request_is_refused_as_not_run(path, name):
    """Guards against forwarding malformed requests, or failing on them."""
    data, status = BAD_REQUESTS[name]
    with RawCaller(path.get_port()) as caller:
        caller.send(data)
        response = caller.read_response()
    assert response[0] == status
    assert response[1]["Content-Type"] == "application/problem+json"
    assert response[1]["Execution-Status"] == "not-run"
    problem = json.loads(response[2])
    assert problem["execution"] == "not_run"
    assert problem["status"] == status
    assert not path.find_runs(path="/work/x")


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    line=st.sampled_from(
        ["GET /work/f HTTP/1.1", "POST /work/f HTTP/1.0", "PUT //work"]
    )
    | st.text(st.characters(min_codepoint=9, max_codepoint=255), max_size=40),
    headers=st.lists(
        st.tuples(
            st.sampled_from(
                ["Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect"]
                + ["Request-Timeout-Ms", "X-Request-Id", "Idempotency-Key", "Upgrade"]
                + ["Request-Attempt", "Verbenacross-Service", "Cookie", ""]
            ),
            st.sampled_from(["work", "0", "3", "chunked", "close", "a, b", "\xff", ""])
            | st.text(st.characters(min_codepoint=1, max_codepoint=255), max_size=12),
        ),
        max_size=6,
    ),
    body=st.binary(max_size=30),
)
def test_any_input_gets_a_truthful_answer_or_a_closed_connection(
    path, line, headers, body
):
    """Guards against input that crashes the entry, and false "not run" responses."""
    work = f"fuzz-{time.monotonic_ns()}"
    lines = [line, f"X-Work-Id: {work}", *(f"{name}: {v}" for name, v in headers)]
    data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
    with RawCaller(path.get_port(), timeout_s=1.0) as caller:
        caller.send(data)
        caller.socket.shutdown(socket.SHUT_WR)
        try:
            status, _, response = caller.read_response()
        except (http.client.HTTPException, OSError):
            return
    assert status != 500, response
    if status >= 400 and json.loads(response)["execution"] == "not_run":
        assert not path.find_runs(work)


def test_headers_of_one_hop_stay_on_it(path):
    """Guards against forwarding hop-by-hop headers, in both directions."""
    path.set_behaviour(
        keep_headers=True,
        answer_headers={"Connection": "X-Hop", "X-Hop": "1", "X-End": "1"},
    )
    request = build_request(
        "/work/hops",
        Connection="X-Mine, Host, keep-alive",
        X_Mine="1",
        TE="trailers",
        Keep_Alive="timeout=5",
        X_End="1",
        X_Request_Id="caller-7",
        Via="1.0 other",
        X_Forwarded_For="192.0.2.1",
        X_Work_Id="hops",
    )
    with RawCaller(path.get_port()) as caller:
        caller.send(request)
        _, received, _ = caller.read_response()
    [run] = path.find_runs("hops")
    seen = {name.lower(): value for name, value in run["headers"]}
    for gone in ("x-mine", "te", "keep-alive", "connection", "accept", "user-agent"):
        assert gone not in seen
    assert seen["x-end"] == "1"
    assert seen["host"] == "work"
    assert seen["via"] == "1.0 other, 1.1 verbenacross"
    assert seen["x-forwarded-for"] == "192.0.2.1, 127.0.0.1"
    assert seen["x-forwarded-proto"] == "http"
    assert seen["x-request-id"].startswith("caller-7.")
    assert "X-Hop" not in received
    assert received["X-End"] == "1"
    assert received["X-Request-Id"] == "caller-7"


def test_upload_is_streamed_with_back_pressure(path):
    """Guards against buffering complete request bodies in memory."""
    before = read_rss_bytes(path.get_pid())
    request = build_request(
        "/work/upload",
        "POST",
        Content_Length=BIG_BYTES,
        X_Read_Ms=3_000,
    )
    sent = 0
    with RawCaller(path.get_port(), timeout_s=1.0) as caller:
        caller.send(request)
        try:
            while sent < BIG_BYTES:
                sent += caller.socket.send(b"u" * 65_536)
        except TimeoutError:
            pass
        assert sent < BIG_BYTES // 2
        assert read_rss_bytes(path.get_pid()) - before < MAX_GROWTH_BYTES


@pytest.mark.parametrize("chunked", [False, True])
def test_download_is_streamed_with_back_pressure(path, chunked):
    """Guards against buffering complete responses in memory."""
    before = read_rss_bytes(path.get_pid())
    headers = {"X_Answer_Bytes": BIG_BYTES} | ({"X_Chunked": 1} if chunked else {})
    with RawCaller(path.get_port()) as caller:
        caller.send(build_request("/work/download", **headers))
        time.sleep(1.0)
        assert read_rss_bytes(path.get_pid()) - before < MAX_GROWTH_BYTES
        status, _, body = caller.read_response()
    assert (status, len(body)) == (200, BIG_BYTES)


def test_upload_in_chunks_arrives_whole(path):
    """Guards the streaming of a request body of unknown length."""
    chunks = b"".join(b"4000\r\n" + b"c" * 0x4000 + b"\r\n" for _ in range(20))
    request = build_request(
        "/work/chunks", "POST", Transfer_Encoding="chunked", X_Work_Id="chunks"
    )
    with RawCaller(path.get_port()) as caller:
        caller.send(request + chunks + b"0\r\n\r\n")
        assert caller.read_response()[0] == 200
    assert path.find_runs("chunks")[0]["received_bytes"] == 20 * 0x4000


def test_encoded_bodies_pass_unchanged(path):
    """Guards against decoding a body while its headers stay unchanged."""
    path.set_behaviour(answer_headers={"Content-Encoding": "gzip"})
    body = gzip.compress(b"z" * 5_000)
    request = build_request(
        "/work/zip", "POST", body, Content_Encoding="gzip", X_Work_Id="zip"
    )
    with RawCaller(path.get_port()) as caller:
        caller.send(request)
        status, headers, received = caller.read_response()
    assert (status, headers["Content-Encoding"], len(received)) == (200, "gzip", 200)
    assert path.find_runs("zip")[0]["received_bytes"] == 5_000


def test_deadline_is_carried_reduced_and_kept(path):
    """Guards against upstreams that continue after the caller's deadline."""
    started = time.monotonic()
    response = path.call(
        "/work/once/late", Request_Timeout_Ms=300, X_Work_Ms=5_000, X_Work_Id="late"
    )
    assert time.monotonic() - started < 1.0
    assert response[0] == 504
    assert json.loads(response[2])["execution"] == "unknown"
    [run] = path.find_runs("late")
    assert 200 <= int(run["timeout_ms"]) < 300
    assert wait_for(lambda: "cancelled" in path.find_runs("late")[0])


def test_caller_that_goes_away_cancels_the_upstream_request(path):
    """Guards against upstream requests that continue after the caller disconnected."""
    with RawCaller(path.get_port()) as caller:
        caller.send(build_request("/work/gone", X_Work_Ms=8_000, X_Work_Id="gone"))
        assert wait_for(lambda: path.find_runs("gone"))
    assert wait_for(lambda: "cancelled" in path.find_runs("gone")[0])


@pytest.mark.parametrize(
    ("method", "status", "length"),
    [
        ("HEAD", 200, "200"),
        ("GET", 204, None),
        ("GET", 304, None),
        ("HEAD", 404, "200"),
    ],
)
def test_answer_without_body_keeps_the_connection_usable(path, method, status, length):
    """Guards the framing of responses that have no body by method or status."""
    with RawCaller(path.get_port()) as caller:
        for _ in range(2):
            caller.send(build_request("/work/bare", method, X_Status=status))
            response = caller.read_response(method)
            assert (response[0], response[2]) == (status, b"")
            assert response[1].get("Content-Length") == length
            assert "Transfer-Encoding" not in response[1]
        caller.send(build_request("/work/after", X_Work_Id="after"))
        assert caller.read_response()[2].startswith(b"after")


@pytest.mark.parametrize("length", [{"Content_Length": 3}, {"Content_Length": 70_000}])
def test_interim_answer_is_sent_once_and_not_passed_on(path, length):
    """Guards ``Expect: 100-continue``: the entry sends 100, no upstream sees Expect."""
    path.set_behaviour(keep_headers=True)
    size = length["Content_Length"]
    with RawCaller(path.get_port()) as caller:
        caller.send(
            build_request(f"/work/e{size}", "PUT", Expect="100-continue", **length)
        )
        assert caller.socket.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.send(b"e" * size)
        assert caller.read_response()[0] == 200
    [run] = path.find_runs(path=f"/work/e{size}")
    assert run["received_bytes"] == size
    assert "Expect" not in dict(run["headers"])


def test_answer_that_comes_before_the_body_ends_is_passed_on(path):
    """Guards against reusing a connection on which a request is only partly sent."""
    request = build_request(
        "/work/early", "PUT", Content_Length=BIG_BYTES, X_Answer_Early=1
    )
    with RawCaller(path.get_port()) as caller:
        caller.send(request + b"e" * 100_000)
        assert caller.read_response()[0] == 200
    for number in range(6):
        response = path.call("/work/later", X_Work_Id=f"later-{number}")
        assert response[2].startswith(f"later-{number}".encode())
