"""Estimate the quality of versions from ratings."""
