"""Look-up of customers by their API keys."""

from __future__ import annotations

import gc

import pytest

from verbenacross.customers.customer import Customer
from verbenacross.customers.customer_table import CustomerTable

LIBRARY = Customer("library", priority=0)
SCHOOL = Customer("school")


@pytest.fixture
def table():
    return CustomerTable({"key-1": LIBRARY, "key-2": LIBRARY, "key-3": SCHOOL})


def test_each_key_leads_to_its_customer(table):
    assert [table.find(f"key-{number}") for number in (1, 2, 3)] == [
        LIBRARY,
        LIBRARY,
        SCHOOL,
    ]
    assert table.key_count == 3
    assert set(table.by_name) == {"library", "school"}


@pytest.mark.parametrize(
    "key",
    ["", "key-", "KEY-1", "key-1 ", " key-1", "key-1,key-2", "\udcff", "x" * 65536],
)
def test_other_keys_belong_to_nobody(table, key):
    assert table.find(key) is None


def test_keys_are_not_kept():
    """A state dump or a core file must not contain keys that callers use."""
    key = "".join(["a-key-", "of-this-test"])
    table = CustomerTable({key: LIBRARY})

    held = [
        value
        for value in gc.get_referrers(key)
        if isinstance(value, dict) and value is not globals()
    ]

    assert table.find(key) is LIBRARY
    assert not any(value is vars(table) or value is table._by_digest for value in held)
    assert key.encode() not in b"".join(table._by_digest)
