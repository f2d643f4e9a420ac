"""Test billing."""
