"""What is known of upstreams: the directory and shared observations."""

from .upstream_directory import UpstreamDirectory

__all__ = ["UpstreamDirectory"]
