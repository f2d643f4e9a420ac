"""Test sessions."""
