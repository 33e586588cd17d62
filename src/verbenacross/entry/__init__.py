"""The entry process: the data path between callers and upstreams."""

from .entry import Entry

__all__ = ["Entry"]
