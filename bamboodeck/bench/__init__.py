"""Load generation, measurements and policy experiments."""
