"""Merging of policy records, compared with a model that keeps every copy."""

import json

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenacross.policy import PolicyRecord, PolicyTable, TableProgress
from verbenacross.policy.policy_selector import PolicySelector, SelectedPolicy

KEY = "policies/cuepublish/1"


def build_record(revision, kind="active", key=KEY):
    version = int(key.rpartition("/")[2])
    policy = {"schema_version": 1, "service": "cuepublish", "version": version}
    body = json.dumps({**policy, "state": kind}).encode()
    match kind:
        case "deleted":
            body = b""
        case "invalid":
            body = b'{"schema_version": 7}'
    return PolicyRecord(key, revision, body)


COPIES = strategies.builds(
    build_record,
    strategies.integers(1, 12),
    strategies.sampled_from(["active", "retired", "deleted", "invalid"]),
    strategies.sampled_from([KEY, "policies/cuepublish/2"]),
)


def find_in_force(copies, key):
    """Returns the expected copy in force: the latest retired one, else the latest."""
    valid = [copy for copy in copies if copy.key == key and b": 7" not in copy.body]
    retired = [copy for copy in valid if b"retired" in copy.body]
    return max(retired or valid, key=lambda copy: copy[1:], default=None)


class MergeMachine(RuleBasedStateMachine):
    """Three tables receive copies in any order, some repeatedly, and exchange them."""

    def __init__(self):
        super().__init__()
        self.tables = [PolicyTable() for _ in range(3)]
        self.received = [set() for _ in range(3)]

    @rule(index=strategies.integers(0, 2), copies=strategies.lists(COPIES, max_size=6))
    def deliver(self, index, copies):
        self.tables[index].put_all(copies)
        self.received[index].update(copies)

    @rule(sender=strategies.integers(0, 2), receiver=strategies.integers(0, 2))
    def exchange(self, sender, receiver):
        self.tables[receiver].put_all(list(self.tables[sender].get_copies()))
        self.received[receiver] |= self.received[sender]

    @invariant()
    def every_table_matches_the_model(self):
        for table, received in zip(self.tables, self.received, strict=True):
            for key in {copy.key for copy in received}:
                copies = [copy for copy in received if copy.key == key]
                assert table.latest[key] == max(copies, key=lambda copy: copy[1:])
                assert table.valid.get(key) == find_in_force(received, key)

    @invariant()
    def equal_tables_have_equal_digests_and_findings(self):
        first, second = self.tables[:2]
        equal = set(first.get_copies()) == set(second.get_copies())
        digests = [table.digests.build_table_digest() for table in (first, second)]
        assert equal == (digests[0] == digests[1])
        assert not equal or first.findings == second.findings


MergeMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
TestMerge = MergeMachine.TestCase


def test_peer_that_missed_a_deletion_brings_nothing_back():
    """Guards against restoring a key that was deleted while a peer was disconnected."""
    progress = TableProgress(PolicyTable())
    progress.advance_to(60)
    progress.merge([build_record(30)])
    assert progress.table.policies[KEY].state == "retired"
    progress.merge([build_record(61, key="policies/cuepublish/2")])
    assert progress.table.policies["policies/cuepublish/2"].state == "active"


def test_selector_keeps_the_valid_copy_and_reports_the_invalid_one():
    """Guards against an invalid or reactivated record replacing the one in force."""
    table = PolicyTable()
    selector = PolicySelector(table)
    table.put_all([build_record(3), build_record(5, "invalid")])
    selected = selector.select("cuepublish", "", None)
    assert isinstance(selected, SelectedPolicy) and selected.revision == 3
    assert table.get_findings()
    table.put_all([build_record(6, "retired"), build_record(8)])
    assert not isinstance(selector.select("cuepublish", "", None), SelectedPolicy)
    assert "retired at revision 6" in str(table.get_findings()[0])


def test_finding_of_a_revived_record_names_the_last_retirement():
    """Guards against findings that depend on the arrival order of copies."""
    table = PolicyTable()
    table.put_all([build_record(3, "retired"), build_record(9)])
    table.put(build_record(5, "retired"))
    assert "retired at revision 5" in str(table.get_findings()[0])
