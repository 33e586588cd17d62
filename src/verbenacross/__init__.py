"""Load balancer for upstreams whose load changes within milliseconds."""

__version__ = "0.1.0"
