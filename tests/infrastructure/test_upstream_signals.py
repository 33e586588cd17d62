"""Load that upstreams of the product's own deployment report."""

import pytest

from verbenacross.infrastructure.probe_responses import parse_load_response
from verbenacross.infrastructure.upstream_signals import LoadReport, parse_load_header


@pytest.mark.parametrize(
    ("value", "report"),
    [
        ("7", LoadReport(7)),
        ("9" * 10, None),
        ("9" * 5_000, None),
        ("-1", None),
        ("٣", None),
    ],
)
def test_header(value, report):
    headers = {"endpoint-load-metrics": f"TEXT named_metrics.in_flight={value}"}
    assert parse_load_header(headers) == report


@pytest.mark.parametrize(
    ("body", "report"),
    [
        (b'{"in_flight": 7}', LoadReport(7)),
        (b'{"in_flight": 1' + b"0" * 400 + b"}", None),
        (b'{"in_flight": 1' + b"0" * 5_000 + b"}", None),
        (b"[" * 100_000, None),
        (b"", None),
    ],
)
def test_response_to_a_probe(body, report):
    assert parse_load_response(body) == report
