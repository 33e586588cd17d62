"""Second attempts for slow requests."""
