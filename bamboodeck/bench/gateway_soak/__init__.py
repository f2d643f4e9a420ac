"""Run gateway processes under random load and faults, and check promises."""
