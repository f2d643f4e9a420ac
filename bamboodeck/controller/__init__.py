"""Relay for a zone, and decide for the fleet while holding its lease."""
