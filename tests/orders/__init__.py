"""Test that orders run at most once."""
