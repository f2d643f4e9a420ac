"""Speak with the users' platform: wire names, formats and calls, no decisions."""
