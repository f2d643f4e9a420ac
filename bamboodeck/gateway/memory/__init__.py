"""Bound the memory that a host holds for callers, engines and other hosts."""
