"""Checks that docs/proofs.md is complete and names only tests that exist."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "proofs.md"
TEST_REFERENCE = re.compile(r"`(tests/[\w/]+\.py)::(\w+)`")
PROMISES = ("P1", "P2", "P3", "P4", "P5", "P6", "P7")
MEASURES = ("M1", "M2", "M3", "M4")
FAULTS = (
    "kill",
    "pause and resume",
    "cut in one direction",
    "silent connection",
    "store slow",
    "store down",
    "lost answer after a write",
    "lapsed lease",
    "operator race",
    "draining",
    "cold start",
    "sudden slowness",
    "fast failure",
    "misleading reports",
    "two faults together",
)


def find_tests(path):
    tree = ast.parse((ROOT / path).read_text())
    return {
        node.name
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef)
    } | {
        target.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }


def read_rows():
    rows = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and len(cells) >= 3:
            rows[(cells[0], cells[1])] = cells[2:]
    return rows


def test_named_tests_exist():
    """Guards against a page that names a test which was renamed or removed."""
    references = TEST_REFERENCE.findall(PAGE.read_text())
    assert references
    missing = [
        f"{path}::{name}"
        for path, name in references
        if not (ROOT / path).is_file() or name not in find_tests(path)
    ]
    assert missing == []


def test_every_promise_is_crossed_with_every_fault():
    """Guards against a promise or fault that the page silently leaves out."""
    rows = read_rows()
    missing = [
        (promise, fault)
        for promise in PROMISES + MEASURES
        for fault in FAULTS
        if (promise, fault) not in rows
    ]
    assert missing == []


def test_each_cell_names_a_test_or_says_not_proved():
    """Guards against cells that claim a proof without naming it."""
    unclear = [
        place
        for place, cells in read_rows().items()
        if place[0] in PROMISES + MEASURES
        and not TEST_REFERENCE.search(cells[0])
        and not re.match(r"(not proved|does not apply): \S", cells[0])
    ]
    assert unclear == []
