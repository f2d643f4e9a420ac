"""Admit requests within limits and capacity, and stop poison requests."""
