from hypothesis import given, settings
from hypothesis import strategies as st

from verbenacross.routing.subset import compute_subset_size, select_subset


def select_all(upstreams, entries, connections):
    ids = [f"u{index}" for index in range(upstreams)]
    peers = [f"e{index}" for index in range(entries)]
    return {peer: select_subset(ids, peers, peer, connections) for peer in peers}


@settings(deadline=None, max_examples=60)
@given(st.integers(1, 40), st.integers(1, 120), st.integers(1, 260))
def test_connections_of_all_entries_stay_within_the_limit(
    upstreams, entries, connections
):
    """Guards the connection limit of an upstream, which covers all entries."""
    subsets = select_all(upstreams, entries, connections)
    for index in range(upstreams):
        used = sum(
            subset.pool_size
            for subset in subsets.values()
            if f"u{index}" in subset.upstreams
        )
        assert used <= connections or entries > connections


def test_thousands_of_entries_cover_every_upstream_evenly():
    """Guards against upstreams that few entries use and that would be idle."""
    subsets = select_all(25, 3000, 220)
    users = [
        sum(f"u{index}" in subset.upstreams for subset in subsets.values())
        for index in range(25)
    ]
    assert max(users) * max(subset.pool_size for subset in subsets.values()) <= 220
    assert max(users) - min(users) <= 2


def test_an_instance_less_changes_subsets_little():
    """Guards against replacing many connections when one instance fails."""
    ids = [f"u{index}" for index in range(300)]
    peers = [f"e{index}" for index in range(400)]
    changed = 0
    for peer in peers[1:]:
        before = select_subset(ids, peers, peer, 220).upstreams
        changed += len(before - select_subset(ids, peers[1:], peer, 220).upstreams)
        changed_upstreams = before - select_subset(ids[1:], peers, peer, 220).upstreams
        assert len(changed_upstreams) <= 3
    size = compute_subset_size(300, 400, 220)
    assert changed <= len(peers) * size * 0.02


def test_entries_of_the_stated_deployments_use_every_upstream():
    """Guards against subsetting where the connection limit does not require it."""
    for subset in select_all(15, 13, 220).values():
        assert len(subset.upstreams) == 15
        assert subset.pool_size * 13 <= 220
