"""Decisions of an instance and of coordinators, without a network."""

from __future__ import annotations

import random

import pytest

from verbenacross.feed.members import Member, rank
from verbenacross.quotas.codec import decode_message, encode_message
from verbenacross.quotas.coordinator_choice import list_coordinators, list_roots
from verbenacross.quotas.customer_bucket import CustomerBucket
from verbenacross.quotas.customer_usage import (
    START_GRACE_S,
    InstanceUsage,
    UsageReporter,
)
from verbenacross.quotas.exceptions import QuotaError
from verbenacross.quotas.messages import (
    CustomerCount,
    Fractions,
    Heartbeat,
    Hello,
    Report,
)
from verbenacross.quotas.quota_coordinator import QuotaCoordinator, Role
from verbenacross.quotas.quota_limit import WINDOW_S, QuotaLimit

LIMITS = {"a": QuotaLimit(100.0, 10.0)}


def create_usage(limits=None):
    usage = InstanceUsage(random.Random(1), 0.0)
    usage.set_limits(limits or LIMITS)
    return usage


def send(usage, per_s, start, end):
    """Sends regular requests; returns how many were admitted."""
    count = round(per_s * (end - start))
    return sum(
        usage.admit("a", start + (index + 0.5) / per_s) is None
        for index in range(count)
    )


def create_root(domains=("x", "y"), now=0.0):
    root = QuotaCoordinator("x", now)
    root.set_limits(LIMITS, now)
    root.set_domains(frozenset(domains))
    root.lead(now)
    root.connect("i", Hello("i", "x", False), now)
    root.connect("d", Hello("d", "y", True), now)
    return root


def test_fraction_admits_its_share_in_many_instances():
    # An instance that sees a single request must not always refuse or admit it.
    admitted = 0
    for seed in range(2_000):
        usage = InstanceUsage(random.Random(seed), 0.0)
        usage.set_limits(LIMITS)
        usage.set_fractions({"a": 0.25}, 0.0)
        admitted += usage.admit("a", 0.1) is None
    assert 430 < admitted < 570


def test_refund_lets_another_request_in_and_lowers_the_count():
    # Requests that did not run must not use up the quota.
    usage = create_usage()
    usage.set_fractions({"a": 0.01}, 0.0)
    usage.customers["a"].admitted = 3
    usage.refund("a", 0.1)  # Not counted: no request was seen since the limit was set.
    assert usage.customers["a"].admitted == 3
    while usage.admit("a", 0.1) is not None:
        pass
    usage.refund("a", 0.1)
    assert usage.customers["a"].admitted == 3
    assert usage.admit("a", 0.1) is None


def test_retry_after_stays_within_its_bounds():
    # A small fraction must not send callers away for minutes.
    usage = create_usage()
    for fraction in (0.9, 0.3, 1e-6):
        usage.set_fractions({"a": fraction}, 0.0)
        delays = [usage.admit("a", 0.1) for _ in range(20)]
        assert all(0.2 <= delay <= 10.0 for delay in delays if delay is not None)


def test_lost_coordinator_limits_to_the_rate_before():
    # A jump of the demand right after the loss must not raise the limit.
    usage = create_usage()
    usage.set_fractions({}, 0.0)
    for step in range(50):
        send(usage, 20, step / 10, (step + 1) / 10)
        usage.record_heartbeat((step + 1) / 10)
    assert send(usage, 100, 5.0, 5.4) == 40
    assert send(usage, 100, 5.5, 10.5) <= 20 * 5 * 1.05 + LIMITS["a"].margin + 1
    usage.set_fractions({}, 10.5)
    assert send(usage, 100, 10.5, 10.7) < 20
    usage.record_heartbeat(10.7)
    assert send(usage, 100, 10.75, 11.15) == 40


def test_new_instance_without_coordinator_is_limited_after_a_second():
    # An instance that never finds a coordinator must not admit everything for good.
    usage = create_usage()
    usage.instance_count = 20
    assert send(usage, 50, 0.0, 1.0) == 50
    assert send(usage, 50, 1.0, 6.0) <= 100 / 20 * 5 + 3


def test_counts_of_a_new_connection_start_from_zero():
    # The history of an instance must not reach a new coordinator as one jump.
    usage = create_usage()
    usage.set_fractions({}, 0.0)
    send(usage, 100, 0.0, 0.4)
    reporter = UsageReporter(usage)
    assert reporter.take_report(0.4) is None
    usage.admit("a", 0.45)
    assert reporter.take_report(0.5) == Report(1, (CustomerCount("a", 1, 1),))
    assert reporter.take_report(0.6) is None


def test_removed_customers_are_forgotten():
    # Memory must not grow with all customers that ever were.
    usage, root = create_usage(), create_root()
    root.receive("i", Report(1, (CustomerCount("a", 5, 5),)), 0.1)
    reporter = UsageReporter(usage)
    usage.admit("a", 0.1)
    reporter.take_report(0.1)
    usage.set_limits({})
    root.set_limits({}, 0.2)
    root.update(0.3)
    assert not usage.customers and not root.customers
    assert not root.children["i"].counts and not root.children["i"].rates
    assert usage.admit("a", 0.3) is None
    assert reporter.take_report(0.3) is None


def test_duplicated_and_old_reports_count_once():
    # A repeated message must not be taken for demand.
    root = create_root()
    for sequence, demand in ((1, 10), (1, 10), (3, 30), (2, 20)):
        root.receive("i", Report(sequence, (CustomerCount("a", demand, demand),)), 0.1)
    assert root.customers["a"].demand == 30


def test_jump_in_another_domain_is_limited_by_its_report():
    # The root must not wait for its next update.
    root = create_root()
    root.update(0.1)
    count = CustomerCount("a", 80, 80, 400.0, 400.0)
    root.receive("d", Report(1, (count,)), 0.15)
    assert root.fractions["a"] < 0.3


def test_silent_domain_keeps_its_rate_reserved():
    # A domain that is cut off goes on to admit requests.
    root = create_root()
    for step in range(1, 60):
        now = step / 10
        count = CustomerCount("a", step * 6, step * 6, 60.0, 60.0)
        if step <= 20:
            root.receive("d", Report(step, (count,)), now)
        root.receive("i", Report(step, (CustomerCount("a", step * 8, step * 8),)), now)
        root.update(now)
    assert root.customers["a"].total_demand_per_s == pytest.approx(140, rel=0.1)
    assert root.fractions["a"] < 0.8


def test_missing_domain_is_assumed_as_busy_as_the_others():
    # Two halves of a divided system must not admit the limit each.
    root = QuotaCoordinator("x", 0.0)
    root.set_limits(LIMITS, 0.0)
    root.set_domains(frozenset(("x", "y")))
    root.lead(0.0)
    root.connect("i", Hello("i", "x", False), 0.0)
    for step in range(1, 60):
        root.receive(
            "i", Report(step, (CustomerCount("a", step * 9, step * 9),)), step / 10
        )
        root.update(step / 10)
    assert root.customers["a"].total_demand_per_s == pytest.approx(180, rel=0.1)
    assert root.fractions["a"] < 0.6


def test_domain_without_root_is_limited_to_its_rate():
    # A domain that lost the root must not follow a jump of its demand.
    domain = QuotaCoordinator("y", 0.0)
    domain.set_limits(LIMITS, 0.0)
    domain.set_domains(frozenset(("x", "y")))
    domain.connect("i", Hello("i", "y", False), 0.0)
    demand = 0
    for step in range(1, 80):
        now = step / 10
        if step < 50:
            domain.record_root_heartbeat(now)
        demand += 2 if step < 50 else 20
        domain.receive("i", Report(step, (CustomerCount("a", demand, demand),)), now)
        domain.update(now)
    assert domain.role is Role.ORPHAN
    assert domain.fractions["a"] < 0.2
    domain.receive_fractions({}, 8.0)
    assert domain.role is Role.DOMAIN and not domain.fractions


def test_domain_reports_only_customers_above_the_threshold():
    # Messages between failure domains are paid for.
    domain = QuotaCoordinator("y", 0.0)
    domain.set_limits(LIMITS, 0.0)
    domain.set_domains(frozenset(("w", "x", "y", "z")))
    domain.open_root_link()
    domain.connect("i", Hello("i", "y", False), 0.0)
    reports, demand = [], 0
    for step in range(1, 60):
        demand += 1 if step < 30 else 5
        report = Report(step, (CustomerCount("a", demand, demand),))
        domain.receive("i", report, step / 10)
        domain.record_root_heartbeat(step / 10)
        domain.update(step / 10)
        reports.append(domain.take_report(step / 10))
    assert not any(reports[:29])
    sent = [report for report in reports if report]
    assert 3 <= len(sent) <= 12
    assert 0 < sent[0].counts[0].demand < 30


def test_lowered_limit_applies_at_once():
    # The next report may come a second later.
    root = create_root()
    count = CustomerCount("a", 60, 60, 60.0, 60.0)
    root.receive("d", Report(1, (count,)), 0.5)
    assert root.fractions.get("a", 1.0) == 1.0
    root.set_limits({"a": QuotaLimit(6.0, 0.0)}, 0.6)
    assert root.fractions["a"] < 0.35


def test_debt_is_made_up_for_but_not_for_ever():
    # Requests before the last window must not starve a customer.
    bucket = CustomerBucket(QuotaLimit(10.0, 0.0), 0.0)
    bucket.advance(1_000.0, 0.0)
    assert bucket.derive_fraction(100.0, None) == pytest.approx(0.005)
    bucket.advance(0.0, 4.0)
    assert bucket.derive_fraction(100.0, 0.005) > 0.09


def test_root_is_the_same_from_all_domains_and_skips_a_lost_reader():
    # Two permanent roots would each admit the limit.
    members = [Member(f"n{i}", f"h:{i}", "xyz"[i % 3]) for i in range(9)]
    first, second = list_roots(members, members[0]), list_roots(members, members[1])
    assert first[0] == second[0]
    own = sorted(members, key=rank)[-1]
    roots = list_roots(members, own)
    assert roots[-1] == own
    assert own.failure_domain not in {member.failure_domain for member in roots[:-1]}
    assert list_coordinators(members, own)[-1] == own
    assert len(list_coordinators(members, own)) == 3


@pytest.mark.parametrize(
    "message",
    [
        Hello("i", "x", True),
        Report(3, (CustomerCount("a", 5, 4), CustomerCount("b", 9, 9, 1.5, 0.25))),
        Fractions(7, {"a": 0.25, "b": 1.0}),
        Heartbeat(7),
    ],
)
def test_messages_survive_the_codec(message):
    # A field that is lost would be taken for a default.
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "data",
    ["text", b"", b"\xff", b"\x82\x03", b"\x81\x09", b"\x83\x02\x01\xa1\x61a\x00"],
)
def test_malformed_frames_are_errors(data):
    # Another exception would end the server's task.
    with pytest.raises(QuotaError):
        decode_message(data)


def test_domain_that_has_just_started_without_a_root_admits_its_share():
    """All instances restart at once: nothing is known of the rates before.

    All customers were refused for half a second after a loss of power.
    """
    domain = QuotaCoordinator("y", 0.0)
    domain.set_limits(LIMITS, 0.0)
    domain.set_domains(frozenset(("x", "y")))
    domain.connect("i", Hello("i", "y", False), 0.0)
    demand_per_s = 60.0
    for step in range(1, 31):
        now = step / 10
        demand = round(demand_per_s * now)
        domain.receive("i", Report(step, (CustomerCount("a", demand, demand),)), now)
        domain.update(now)
        if now < START_GRACE_S:
            assert domain.fractions.get("a", 1.0) == 1.0

    # Its share is half of the limit of 100 requests per second.
    assert domain.role is Role.ORPHAN
    assert 0.5 <= domain.fractions["a"] <= 1.0


def test_retry_after_leaves_time_for_the_requests_that_were_refused():
    """Callers that returned at once took the place of later ones, and were late."""
    usage = create_usage()
    usage.set_fractions({"a": 0.5}, 0.0)

    delays = [usage.admit("a", 0.1) for _ in range(20)]

    refused = [delay for delay in delays if delay is not None]
    # As many requests are refused as admitted, so a window of them takes a window.
    assert refused
    assert all(0.8 * WINDOW_S <= delay <= 1.2 * WINDOW_S for delay in refused)


def test_first_requests_come_before_repeated_ones_over_the_quota():
    """Repeats took the place of first requests, and all were answered late."""
    usage = create_usage()
    usage.set_fractions({"a": 0.25}, 0.0)
    admitted = {True: 0, False: 0}
    for number in range(400):
        is_repeat = number % 4 > 0
        usage.record_heartbeat(0.1 + number / 100)
        delay = usage.admit("a", 0.1 + number / 100, is_repeat=is_repeat)
        admitted[is_repeat] += delay is None

    # The fraction allows for as many requests as there are first ones.
    assert admitted[False] >= 95
    assert sum(admitted.values()) <= 102


def test_repeats_are_admitted_where_the_quota_has_room():
    """A customer whose callers all return must get its quota as well."""
    usage = create_usage()
    usage.set_fractions({"a": 0.5}, 0.0)
    admitted = 0
    for number in range(200):
        usage.record_heartbeat(0.1 + number / 100)
        admitted += usage.admit("a", 0.1 + number / 100, is_repeat=True) is None

    assert 95 <= admitted <= 102
