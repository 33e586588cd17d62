"""Customers, who share the services, and the API keys that identify them."""
