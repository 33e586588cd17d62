"""The entry process, which proxies the requests of callers to upstreams."""

from .entry import Entry

__all__ = ["Entry"]
