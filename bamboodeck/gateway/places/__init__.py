"""Decide in which places requests may run."""
