"""Decide which requests run, wait or are rejected when capacity is short."""
