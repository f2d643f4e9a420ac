"""Implement the platform's protocol: names, formats and calls."""
