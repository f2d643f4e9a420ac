"""Reach the other services of the platform through narrow ports."""
