"""Tests that a caller receives its complete response or a visibly broken one."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import json
import socket
import threading
import time
import uuid

import pytest

from .conftest import get_execution
from .raw_caller import RawCaller, build_request, wait_for

pytestmark = pytest.mark.xdist_group("whole")

UPLOAD_BYTES = 3_000_000
UPLOAD_PIECE_BYTES = 20_000

BROKEN_HEADS = {
    "status that HTTP does not define": ({}, {"X_Status": 600}),
    "crossed answer": ({"crossed": True}, {}),
    "small body cut short": ({"cut_body": True}, {}),
    "body that ends with the connection": ({"close_delimited": True}, {}),
    "body of another coding that ends with the connection": (
        {"close_delimited": True, "answer_headers": {"Transfer-Encoding": "identity"}},
        {},
    ),
    "two kinds of length": (
        {"answer_headers": {"Transfer-Encoding": "chunked", "Content-Length": "5"}},
        {"X_Chunked": 1},
    ),
}
BROKEN_STREAMS = {
    "length known": ({"cut_after_bytes": 400_000}, {}, {}),
    "length known, reset": (
        {"cut_after_bytes": 400_000, "cut_with": "reset"},
        {},
        {},
    ),
    "chunked, cut on the way": ({"cut_after_bytes": 400_000}, {}, {"X_Chunked": 1}),
    "chunked, cut by the upstream": ({}, {"cut_stream": True}, {"X_Chunked": 1}),
    "chunked, silence": ({}, {}, {"X_Chunked": 1, "X_Chunk_Ms": 60}),
}


@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_unusable_answer_is_not_passed_on(path, name):
    """Guards against wrong or truncated responses and reuse of their connections."""
    behaviour, headers = BROKEN_HEADS[name]
    path.set_behaviour(**behaviour)
    with RawCaller(path.get_port()) as caller:
        caller.send(build_request("/work/once", "POST", **headers))
        response = caller.read_response()
        assert (response[0], get_execution(response)) == (502, "unknown")
        path.reset()
        for _ in range(4):
            work = uuid.uuid4().hex
            caller.send(build_request("/work/own", X_Work_Id=work))
            assert caller.read_response()[2].startswith(work.encode())


def test_answer_cut_in_its_head_is_not_passed_on(path):
    """Guards against a success with an empty or short body that looks whole."""
    for cut_after_bytes in range(1, 200, 3):
        path.set_proxy_faults(cut_after_bytes=cut_after_bytes, cut_with="close")
        response = path.call("/work/once", "POST", {}, X_Work_Ms=0)
        assert (response[0], get_execution(response)) == (502, "unknown")


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("name", BROKEN_STREAMS)
def test_answer_cut_while_streaming_looks_broken(path, name, version):
    """Guards against a truncated response that looks complete, also with keep-alive.

    An HTTP/1.0 caller regards a close as the end of the body, so its connection must be
    reset.
    """
    faults, behaviour, headers = BROKEN_STREAMS[name]
    path.set_proxy_faults(**faults)
    path.set_behaviour(**behaviour)
    request = build_request(
        "/work/again/stream",
        X_Answer_Bytes=1_000_000,
        Request_Timeout_Ms=1_000,
        **headers,
    ).replace(b"HTTP/1.1", f"HTTP/{version}".encode())
    with RawCaller(path.get_port()) as caller:
        caller.send(request)
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            caller.read_response()


def test_late_answer_reaches_no_other_request(path):
    """Guards against reusing a connection after its request timed out."""
    work = [uuid.uuid4().hex for _ in range(40)]

    def send(number: int):
        slow = number % 2 == 0
        return path.call(
            "/work/again",
            X_Work_Id=work[number],
            X_Work_Ms=160 if slow else 5,
            Request_Timeout_Ms=100 if slow else 3_000,
        )

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        responses = list(pool.map(send, range(len(work))))
    for number, response in enumerate(responses):
        if number % 2:
            assert response[0] == 200
            assert response[2].startswith(work[number].encode())
        else:
            assert response[0] == 504


def test_each_attempt_has_an_id_of_its_own(path):
    """Guards the check of echoed ids, which requires a unique id per attempt."""
    path.fill_budget(20)
    first, second = path.upstreams
    path.fleet.set_behaviour(first, break_after_work=1.0)
    runs: list[dict] = []
    while len(runs) < 2:
        work = uuid.uuid4().hex
        response = path.call("/work/again", X_Work_Id=work, X_Request_Id="mine")
        assert (response[0], response[1]["X-Request-Id"]) == (200, "mine")
        runs = path.find_runs(work)
    ids = {run["id"] for run in runs}
    assert len(ids) == len(runs)
    assert all(identifier.startswith("mine.") for identifier in ids)
    assert sorted(run["attempt"] for run in runs) == ["1", "2"]


def test_failed_attempt_is_logged_with_what_operators_search_for(path):
    """Guards the log fields of failed attempts and of refused requests."""
    path.set_behaviour(cut_body=True)
    identifier = f"log-{time.monotonic_ns()}"
    path.call("/work/once", "POST", X_Request_Id=identifier)
    log = path.fleet.directory / "entry-1-entry.log"

    def read_lines() -> list[dict]:
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        return [line for line in lines if line.get("request_id") == identifier]

    assert wait_for(lambda: len(read_lines()) == 2)
    failure, refusal = read_lines()
    assert failure["upstream"] in path.upstreams
    assert failure["policy_revision"] > 0
    assert failure["execution"] == refusal["execution"] == "unknown"


@pytest.mark.parametrize("framing", ["no length", "length", "chunks"])
@pytest.mark.parametrize("path_name", ["once", "again"])
def test_early_answer_cut_while_the_upload_goes_on_looks_broken(
    path, path_name, framing
):
    """Guards against a truncated response that looks complete because of its upload.

    The writer of an upload may notice first that the connection was reset.
    """
    path.set_behaviour(close_delimited=framing == "no length")
    path.set_proxy_faults(cut_after_bytes=400_000, cut_with="reset")
    options = {"X_Answer_Early": 1, "X_Answer_Bytes": 1_000_000}
    if framing == "chunks":
        options["X_Chunked"] = 1
    for number in range(12):
        head = build_request(
            f"/work/{path_name}",
            "POST",
            Content_Length=UPLOAD_BYTES,
            Request_Timeout_Ms=1_000,
            **options,
        )
        with RawCaller(path.get_port()) as caller:
            caller.send(head)
            upload = threading.Thread(target=send_upload, args=(caller, number % 2))
            upload.start()
            try:
                response = caller.read_response()
            except (http.client.HTTPException, ConnectionError):
                assert framing != "no length"
            else:
                assert response[0] in (502, 504)
                assert get_execution(response) == "unknown"
            finally:
                with contextlib.suppress(OSError):
                    caller.socket.shutdown(socket.SHUT_RDWR)
                upload.join()


def send_upload(caller: RawCaller, pauses_ms: int) -> None:
    """Sends an upload until the entry ends the connection."""
    with contextlib.suppress(OSError):
        for _ in range(0, UPLOAD_BYTES, UPLOAD_PIECE_BYTES):
            caller.send(b"u" * UPLOAD_PIECE_BYTES)
            time.sleep(pauses_ms / 1_000)
