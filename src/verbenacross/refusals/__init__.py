"""Problem responses (RFC 9457) that tell a caller whether the request ran."""

from .exceptions import RequestProblemError
from .problem_details import Execution, ProblemDetails, build_not_run_error

__all__ = ["Execution", "ProblemDetails", "RequestProblemError", "build_not_run_error"]
