"""Problem responses (RFC 9457) that tell a caller whether the request ran."""

from .exceptions import RefusedError
from .refusal import Execution, Refusal, refuse_not_run

__all__ = ["Execution", "Refusal", "RefusedError", "refuse_not_run"]
