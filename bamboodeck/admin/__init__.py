"""Provide the administration API of entry hosts and its command line."""
