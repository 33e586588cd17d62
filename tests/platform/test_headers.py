"""Parsing of load reports and of statements that a request did not run."""

from __future__ import annotations

import pytest

from verbenacross.balancing.load_report import LoadReport
from verbenacross.platform.headers import (
    is_not_run,
    parse_load_after_response,
    parse_load_header,
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
