"""Stand-ins for the external systems, with fault injection."""
