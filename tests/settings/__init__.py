"""Test the settings."""
