"""Quotas of customers over all instances."""
