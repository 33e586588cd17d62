"""Types of settings with string values."""

from __future__ import annotations

from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator

LogLevel = Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL"]


def check_url(text: str) -> str:
    """Returns an HTTP URL unchanged; raises ``ValueError`` for anything else."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be a URL of the form http://HOST:PORT")
    if parts.query or parts.fragment:
        raise ValueError("must have no query and no fragment")
    if parts.port == 0:
        raise ValueError("port 0 cannot be connected to")
    return text


HttpUrl = Annotated[str, AfterValidator(check_url)]
