"""Quotas of tenants over all instances."""
