"""Problem responses (RFC 9457) that tell a caller whether the request ran."""

from .exceptions import RequestProblemError
from .refusal import Execution, Refusal, build_not_run_error

__all__ = ["Execution", "Refusal", "RequestProblemError", "build_not_run_error"]
