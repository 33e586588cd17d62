"""HTTP connections to callers and upstreams, by aiohttp."""
