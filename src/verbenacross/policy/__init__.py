"""Policy records: format, validation, merging and selection for a request."""

from .exceptions import PolicyError
from .parser import parse_policy
from .policy import Policy
from .policy_record import PolicyRecord
from .policy_table import PolicyTable
from .table_progress import TableProgress

__all__ = [
    "Policy",
    "PolicyError",
    "PolicyRecord",
    "PolicyTable",
    "TableProgress",
    "parse_policy",
]
