"""Contain the shipped workload files."""
