"""Test cascades."""
