"""Decides which upstream gets a request, who waits and who is refused."""
