"""Log lines as JSON objects."""

import io
import json
import subprocess
import sys

import logbook
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenacross.observability.logs import format_record


class Unprintable:
    def __str__(self):
        raise RuntimeError("no text")


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.binary()
    | st.builds(Unprintable),
    lambda part: (
        st.lists(part, max_size=3)
        | st.dictionaries(st.integers() | st.text() | st.tuples(st.text()), part)
    ),
    max_leaves=6,
)


def log(message, *arguments, extra=None, error=None):
    stream = io.StringIO()
    handler = logbook.StreamHandler(stream)
    handler.formatter = format_record
    with handler.applicationbound():
        logbook.Logger("t").error(message, *arguments, extra=extra, exc_info=error)
    assert stream.getvalue().count("\n") == 1
    return json.loads(stream.getvalue(), parse_constant=lambda name: 1 / 0)


@settings(max_examples=300, deadline=None)
@given(st.text(), st.lists(VALUES, max_size=2), st.dictionaries(st.text(), VALUES))
def test_any_record_is_one_valid_line(message, arguments, extra):
    """Guards log collectors against lines that are not valid JSON."""
    line = log(message, *arguments, extra=extra)
    assert {"level", "logger", "message"} <= set(line)


def test_fields_of_a_request_are_members():
    """Guards the fields that identify the request of a line."""
    fields = {"request_id": "r.1", "policy_revision": 7, "upstream": "u-1"}
    line = log("attempt {} failed", 2, extra=fields | {"level": "mine"})
    assert {name: line[name] for name in fields} == fields
    assert line["message"] == "attempt 2 failed"
    assert (line["level"], line["extra_level"]) == ("error", "mine")
    assert line["time"].endswith("Z")


def test_cycles_faults_and_size_do_not_break_a_line():
    """Guards against endless recursion, lost exceptions and oversized lines."""
    cycle = {}
    cycle["self"] = cycle
    try:
        raise ValueError("cause")
    except ValueError as error:
        line = log(
            "x" * 100_000, extra={"cycle": cycle, "bad": Unprintable()}, error=error
        )
    assert "RuntimeError" in line["bad"]
    assert "ValueError: cause" in line["exception"]
    assert len(json.dumps(line)) < 20_000


def test_libraries_and_levels_of_a_process():
    """Guards against plain-text logs of libraries, and a log level without effect."""
    code = (
        "import logging, warnings, logbook\n"
        "from verbenacross.observability.logs import configure_logging\n"
        "configure_logging('INFO'); configure_logging('ERROR')\n"
        "logbook.Logger('a').info('hidden')\n"
        "logging.getLogger('asyncio').error('from a library')\n"
        "configure_logging('INFO'); warnings.warn('old call')\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert [line["logger"] for line in lines] == ["asyncio", "py.warnings"]
