"""Provide ports and HTTP clients for other services of the platform."""
