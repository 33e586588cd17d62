"""Lookup of the route with the longest matching prefix of a host."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from .builders import build_route, build_table

SEGMENTS = st.lists(st.sampled_from(["a", "b", "cc", "%2F"]), max_size=4)


def test_longest_prefix_wins():
    table = build_table(build_route("/a/"), build_route("/a/b/"))

    assert table.find("host.example", "/a/b/c").prefix == "/a/b/"
    assert table.find("host.example", "/a/bc").prefix == "/a/"


def test_prefix_ends_at_a_slash():
    table = build_table(build_route("/a/"))

    assert table.find("host.example", "/ab") is None
    assert table.find("host.example", "/a") is None
    assert table.find("host.example", "/a/").prefix == "/a/"


def test_host_has_no_case_but_must_match():
    table = build_table(build_route("/a/"))

    assert table.find("HOST.example", "/a/x") is not None
    assert table.find("other.example", "/a/x") is None


@given(st.lists(SEGMENTS, min_size=1, max_size=6), SEGMENTS, st.booleans())
def test_same_as_comparing_all_prefixes(prefixes, path_segments, ends_with_slash):
    routed_prefixes = {
        "/" + "".join(f"{part}/" for part in parts) for parts in prefixes
    }
    path = "/" + "/".join(path_segments) + ("/" if ends_with_slash else "")
    table = build_table(*(build_route(prefix) for prefix in routed_prefixes))

    matching = [prefix for prefix in routed_prefixes if path.startswith(prefix)]
    expected = max(matching, key=len) if matching else None
    found = table.find("host.example", path)

    assert (found.prefix if found else None) == expected
