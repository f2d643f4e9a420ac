"""Acquire leases and fence orders of former lease holders."""
