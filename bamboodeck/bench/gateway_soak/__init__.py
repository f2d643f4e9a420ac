"""Soak test of gateway processes under random load and faults."""
