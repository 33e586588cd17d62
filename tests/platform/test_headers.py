"""Parsing of load reports, notices and statements that a request did not run."""

from __future__ import annotations

import email.utils
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from verbenacross.balancing.load_report import LoadReport
from verbenacross.balancing.upstream_notice import UpstreamNotice
from verbenacross.platform.headers import (
    MAX_BUSY_S,
    MAX_COLD_S,
    is_not_run,
    parse_cold_time,
    parse_load_after_response,
    parse_load_header,
    parse_notice,
    parse_retry_after,
)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("3,0,8", LoadReport(3, 0, 8, 1.0)),
        ("3, 2, 8, 700", LoadReport(3, 2, 8, 7.0)),
        ("3,2,8,0", LoadReport(3, 2, 8, 1.0)),
        ("3,2", None),
        ("3,x,8", None),
        ("-1,0,8", None),
        ("3,0,0", None),
        ("3,0," + "9" * 400, None),
        ("3,0," + "9" * 5000, None),
        ("9" * 400 + ",0,8", None),
        ("3,0,8," + "9" * 400, None),
        ("3,0,٨", None),
        ("", None),
    ],
)
def test_load(text, report):
    assert parse_load_header({"X-Server-Load": text}) == report


@pytest.mark.parametrize(
    ("text", "running", "waiting"), [("3,0,6", 2, 0), ("6,2,6", 6, 2), ("0,0,6", 0, 0)]
)
def test_load_that_an_answer_leaves_behind(text, running, waiting):
    report = parse_load_after_response({"X-Server-Load": text})

    assert (report.running, report.waiting) == (running, waiting)


def test_no_load():
    assert parse_load_header({}) is None


def test_statements_that_a_request_did_not_run():
    assert is_not_run(503, {"X-Not-Executed": "1"})
    assert is_not_run(421, {})
    assert not is_not_run(503, {})
    assert not is_not_run(500, {"X-Upstream-Signature": "s"})


@pytest.mark.parametrize(
    ("status", "fields", "notice"),
    [
        (200, [], UpstreamNotice()),
        (200, [("Server-Leaving", "1")], UpstreamNotice(is_leaving=True)),
        (500, [("server-leaving", " 1 ")], UpstreamNotice(is_leaving=True)),
        (200, [("Server-Leaving", "0")], UpstreamNotice()),
        (200, [("Server-Leaving", "0"), ("Server-Leaving", "1")], UpstreamNotice(True)),
        (421, [("Server-Leaving", "1"), ("Retry-After", "3")], UpstreamNotice()),
        (503, [("Retry-After", "1.5")], UpstreamNotice(busy_for_s=1.5)),
        (503, [("Retry-After", "2"), ("Retry-After", "3")], UpstreamNotice(False, 3.0)),
        (429, [("Retry-After", "2")], UpstreamNotice()),
        (200, [("Retry-After", "2")], UpstreamNotice()),
        (503, [("Server-Leaving", "1"), ("Retry-After", "2")], UpstreamNotice(True, 2)),
    ],
)
def test_notice(status, fields, notice):
    assert parse_notice(status, CIMultiDictProxy(CIMultiDict(fields))) == notice


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        (" 0.25 ", 0.25),
        (".5", 0.5),
        ("5.", 5.0),
        ("9" * 400, MAX_BUSY_S),
        ("86400", MAX_BUSY_S),
        *[(text, 0.0) for text in ("", ".", "-1", "1e3", "inf", "nan", "1,5", "٣")],
        ("Thu, 01 Jan 1970 00:00:00 GMT", 0.0),
        ("Fri, 31 Dec 9999 23:59:59 GMT", MAX_BUSY_S),
        ("Fri, 99 Dec 9999 23:59:59 GMT", 0.0),
    ],
)
def test_time_after_which_to_return(text, seconds):
    assert parse_retry_after(text) == seconds


@given(st.text())
def test_time_after_which_to_return_is_bounded(text):
    assert 0.0 <= parse_retry_after(text) <= MAX_BUSY_S


def test_date_after_which_to_return():
    text = email.utils.formatdate(time.time() + 30, usegmt=True)

    assert 28.0 <= parse_retry_after(text) <= 30.0


@pytest.mark.parametrize(
    ("texts", "seconds"),
    [
        ([], None),
        (["0"], 0.0),
        (["2500"], 2.5),
        (["2500", "3000"], 3.0),
        (["999999999"], MAX_COLD_S),
        *[([text], None) for text in ("", "-1", "+1", "1.5", "1e3", "1_0", " 1", "٣")],
        (["9" * 10], None),
        (["9" * 5_000], None),
        (["2500", "soon"], None),
    ],
)
def test_cold_time(texts, seconds):
    """Guards against a mistake of an upstream that limits it without end."""
    headers = CIMultiDict(("x-warmup-ms", text) for text in texts)

    assert parse_cold_time(CIMultiDictProxy(headers)) == seconds
