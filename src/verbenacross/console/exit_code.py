"""Exit codes of the operators' commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of an operators' command; docs/operators/policies.md lists them."""

    OK = 0
    DIFFERENT = 1
    INVALID = 2
    CONFLICT = 3
    RETIRED = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    UNKNOWN = 7
    NOT_IN_FORCE = 8
    REFUSED = 9
