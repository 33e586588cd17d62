"""The setting that turns second attempts on."""

from __future__ import annotations

import json

import pytest

from verbenacross.console.exceptions import CommandError
from verbenacross.console.file_validation import validate_node_settings

ADDRESSES = ("listen", "readiness_listen", "peer_listen", "metrics_listen")
SETTINGS = dict.fromkeys(ADDRESSES, "127.0.0.1:8000") | {
    "instance": "node-1",
    "failure_domain": "a",
    "seeds": [],
    "store": "127.0.0.1:8001",
    "memory_mb": 300,
    "max_descriptors": 4100,
    "grace_period": "6s",
    "retry_ratio": 0.2,
    "retry_window": "10s",
    "retry_slack": 56,
    "probes_per_second": 60,
}


@pytest.mark.parametrize("value", [-0.01, 0.21, "0.1", True, None, "", []])
def test_ratio_out_of_range_is_a_finding(tmp_path, value):
    """Guards against a typing error that doubles the load of a service."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS | {"hedge_ratio": 0.2}))
    assert validate_node_settings(str(path)) == "instance node-1"
    path.write_text(json.dumps(SETTINGS | {"hedge_ratio": value}))
    with pytest.raises(CommandError) as caught:
        validate_node_settings(str(path))
    assert "hedge_ratio" in str(caught.value)
