"""Disable each mechanism and check that its test fails."""
