import pytest

from standins.fleet import Fleet

from .operator import Operator


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as running:
        yield running


@pytest.fixture
def operator(fleet, tmp_path):
    yield Operator(fleet, tmp_path, timeout_ms=1500)
    fleet.set_store_faults(down=False, delay_ms=0, lose_answers=0, hold_watches=False)
