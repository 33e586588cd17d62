"""The retry budget that all instances of a service share."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from verbenacross.balancing.windowed_retry_budget import WindowedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 56.0, 10.0

EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.3), st.integers(0, 4), st.sampled_from(["request", "retry"])
    ),
    max_size=400,
)


@given(EVENTS)
def test_no_window_holds_more_than_the_allowance_of_all_instances(events):
    instances = 5
    retry_budgets = [
        WindowedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(instances)
    ]
    now = 0.0
    requests, retries = [], []
    for pause_s, instance, kind in events:
        now += pause_s
        if kind == "request":
            retry_budgets[instance].record_request(now)
            requests.append(now)
        elif retry_budgets[instance].try_spend(now, instances):
            retries.append(now)

    for start in retries:
        sent = sum(1 for at in retries if start <= at < start + WINDOW_S)
        # Requests of the window and of the one before it raise the budget.
        eligible_requests = sum(
            1 for at in requests if start - WINDOW_S <= at < start + WINDOW_S
        )
        assert sent <= RATIO * eligible_requests + SLACK


def test_quiet_instance_may_use_its_part_of_the_slack():
    retry_budget = WindowedRetryBudget(RATIO, SLACK, WINDOW_S)

    granted = sum(retry_budget.try_spend(0.0, instances=4) for _ in range(50))

    assert 0 < granted <= SLACK / 4


def test_allowance_comes_back_after_the_window():
    retry_budget = WindowedRetryBudget(RATIO, 4.0, WINDOW_S)
    while retry_budget.try_spend(0.0, instances=1):
        pass

    assert not retry_budget.try_spend(WINDOW_S - 0.1, instances=1)
    assert retry_budget.try_spend(WINDOW_S + 0.1, instances=1)
