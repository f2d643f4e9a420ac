"""Test the administration API and its command line."""
