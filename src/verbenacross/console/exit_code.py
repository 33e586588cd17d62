"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command; documented in docs/operators/policies.md."""

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
