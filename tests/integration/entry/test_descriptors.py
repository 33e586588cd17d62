"""Tests of the file descriptors that the entry process opens."""

from __future__ import annotations

import pytest

from measure.added_latency import count_io_uring

pytestmark = pytest.mark.xdist_group("http")


def test_entry_opens_no_io_uring(path):
    """Guards the rule that no process uses io_uring."""
    assert path.call("/work/x")[0] == 200
    assert count_io_uring(path.get_pid()) == 0
