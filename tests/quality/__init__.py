"""Test quality estimation."""
