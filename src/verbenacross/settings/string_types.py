"""Types of settings with string values."""

from __future__ import annotations

from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator

LogLevel = Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL"]


def validate_url(text: str) -> str:
    """Validates an HTTP URL; returns it unchanged or raises ``ValueError``."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be a URL of the form http://HOST:PORT")
    if parts.query or parts.fragment:
        raise ValueError("must have no query and no fragment")
    if parts.port == 0:
        raise ValueError("port 0 cannot be connected to")
    return text


HttpUrl = Annotated[str, AfterValidator(validate_url)]
