"""Stand-ins for the platform and for upstreams; not part of the package."""
