"""Proxy calls to plain services."""
