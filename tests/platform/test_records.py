"""Evacuations of failure domains, from the store's records to the discovery state."""

from __future__ import annotations

import itertools

import pytest

from verbenacross.infrastructure.key_value_store import StoredValue
from verbenacross.node.changes import EvacuationChange
from verbenacross.node.discovery_state import DiscoveryState
from verbenacross.platform.records import decode_change


@pytest.mark.parametrize("value", [None, b"", b"{}", b"\xff\x00", b"[" * 100_000])
def test_value_of_an_evacuation_is_ignored(value):
    """Guards against a failure domain in use because its value cannot be read."""
    record = StoredValue("op/evacuate/zone-a", value, 7)

    assert decode_change(record) == EvacuationChange("zone-a", 7, value is not None)


@pytest.mark.parametrize("order", [*itertools.permutations(range(3))])
def test_latest_revision_wins_in_any_order_and_more_than_once(order):
    """Guards against a peer's older record that starts or ends an evacuation."""
    changes = [
        EvacuationChange("a", 1, is_evacuated=True),
        EvacuationChange("a", 2, is_evacuated=False),
        EvacuationChange("a", 3, is_evacuated=True),
    ]
    state = DiscoveryState()
    for index in (*order, *order):
        state.apply(changes[index], "peer")

    assert state.evacuated_domains == {"a"}
    state.apply(EvacuationChange("a", 4, is_evacuated=False), "peer")
    state.apply(changes[2], "peer")
    assert state.evacuated_domains == set()
